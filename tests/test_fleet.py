"""What many hosts, each of which sees little, do to one node together."""

from __future__ import annotations

import math
import random

import pytest

from stoatrouter.policy import Scheduler, handover
from stoatrouter.policy import interface as api
from stoatrouter.policy.units import NEVER
from tests.scheduler_driver import MS, SECOND, SchedulerDriver, answer_after

FLEET, START, WARM_UP_TIME, OVERLOAD_WINDOW, WARM_UP_FROM, UNITS = (
    60,
    100 * SECOND,
    18 * SECOND,
    3 * SECOND,
    0.16,
    34.0,
)
RULES = {
    "warm_up_from": WARM_UP_FROM,
    "warm_up_time": WARM_UP_TIME,
    "warm_up_units": UNITS,
    "overload_window": OVERLOAD_WINDOW,
}


def test_hosts_with_nothing_out_put_new_data_at_nodes_drawn_at_random():
    nodes = [api.NodeEntry(f"n{i:02}", i) for i in range(20)]
    found = set()
    for seed in range(100):
        driver = SchedulerDriver(hosts=100, nodes=nodes, seed=seed)
        driver.scheduler.nodes["n00"].window = 0.5  # was cut, and has nothing out like the others
        driver.request("r", 1, shard=-1)
        found.add(driver.sends("r")[0][1].node)
    assert "n00" not in found and len(found) == 19


def test_new_data_goes_to_warm_nodes_first():
    nodes = [api.NodeEntry(f"n{i}", i, up_since=START * (i < 3)) for i in range(4)]
    driver = SchedulerDriver(hosts=100, nodes=nodes, rules=RULES, start=START)
    for i in range(4):
        driver.request(f"r{i}", 1, shard=-1)
    assert {a.node for _, a in driver.sends()} == {"n3"}


def ask_all_while_nodes_restart(seed, rules, took):
    """All nodes restart at once; each host is asked for the data of some of them, more than they may bear.
    What each node was sent, counted from its restart; took: how long a unit takes from then on."""
    chance, taken = random.Random(seed), {i: [] for i in range(FLEET)}
    print("seed", seed)
    for me in range(FLEET):
        nodes = [api.NodeEntry(f"n{i}", i) for i in range(FLEET)]
        driver, size, up = (
            SchedulerDriver(hosts=FLEET, host_index=me, nodes=nodes, rules=rules, start=START, seed=me),
            {},
            NEVER,
        )
        reply = answer_after(20 * MS)
        mine = chance.sample(range(FLEET), chance.randint(3, 12))
        for i in range(360):
            size[f"r{i}"] = chance.choice((1, 2, 4))
            driver.request(f"r{i}", shard=chance.choice(mine), units=size[f"r{i}"])
            driver.wait(30 * MS, reply)
            if i == 160:
                up, reply = driver.now, answer_units_after(took, size)
                driver.listed(*(api.NodeEntry(n.node, n.shard, up_since=up) for n in nodes))
        for at, send in driver.sends():
            if at >= up:
                taken[int(send.node[1:])].append((at - up, size[send.request]))
    return [sorted(sent) for sent in taken.values()]


def answer_units_after(took, size):
    """A reply for SchedulerDriver.wait: each unit of an attempt takes so long."""

    def reply(driver):
        for name, _, _, sent in list(driver.open_sends):
            if driver.now - sent >= took * size[name]:
                driver.end(name)

    return reply


def most_in_a_window(sent, units):
    """Of what a node was sent in any window, the largest part of what it bears then."""
    return max(
        (
            sum(u for at, u in sent if end - OVERLOAD_WINDOW < at <= end)
            / units
            / (1 + (1 / WARM_UP_FROM - 1) * end / WARM_UP_TIME)
            for end, _ in sent
        ),
        default=0.0,
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_cold_nodes_bear_what_all_hosts_send_and_are_not_starved(seed):
    all_sent = ask_all_while_nodes_restart(seed, RULES, 200 * MS)
    # what a node is said to bear always, and half of it again for one that many hosts send to
    assert max(most_in_a_window(sent, UNITS) for sent in all_sent) <= 1.5
    # an even part for each of all hosts would be under a tenth of what nodes bear in these six seconds
    assert sum(u for sent in all_sent for _, u in sent) > 0.3 * FLEET * 2 * UNITS


@pytest.mark.parametrize(("took", "quick"), [(50 * MS, True), (800 * MS, False)])
def test_cold_nodes_get_what_their_answers_show_that_they_bear(took, quick):
    """What is always borne is for the slowest node there may be: a quick one gets more, a slow one not."""
    rules = RULES | {"warm_up_units": UNITS / 8, "overload_multiple": 3.0}
    all_sent = ask_all_while_nodes_restart(1, rules, took)
    sent = sum(u for sent in all_sent for _, u in sent)
    bears = rules["overload_multiple"] * OVERLOAD_WINDOW / took * WARM_UP_FROM  # with one place
    assert max(most_in_a_window(sent, max(bears, UNITS / 8)) for sent in all_sent) <= 1.5
    print("sent", sent)
    assert (sent > 2 * FLEET * 2 * UNITS / 8) == quick


def test_a_host_counts_all_hosts_until_it_has_been_asked_for_a_while_and_hands_on_what_it_knows():
    nodes = [api.NodeEntry(f"n{i}", i) for i in range(100)]
    driver = SchedulerDriver(hosts=100, nodes=nodes, rules=RULES)
    driver.request("r", shard=3)
    assert driver.scheduler.slow_start.expected_senders(driver.now) == 100
    driver.wait(4 * SECOND)
    few = driver.scheduler.slow_start.expected_senders(driver.now)
    assert 1 <= few < 10
    after = Scheduler(driver.scheduler.settings, 2)
    after.handle(driver.now, api.EndpointList(api.ListKind.RESTORED, tuple(nodes)))
    handover.take_over(after, handover.hand_over(driver.scheduler, driver.now))
    assert after.slow_start.expected_senders(driver.now) == few


# -- heads restarted in the same seconds as nodes
# --------------------------------------------------------------
HEARD = SECOND // 2  # after a node's start its heads are told


def sends_to_restarted_nodes(seed, heads, units, restarts, count=12):
    """Units sent to each node that restarted, by heads that had been told of it: some nodes restart, seven in
    ten heads in the same seconds or none, nodes are asked for several times as often as others, and heads ask
    differently."""
    chance, up = random.Random(f"cold/{seed}"), START + 5 * SECOND
    rules = RULES | {"warm_up_units": units, "overload_multiple": 3.0}
    cold = [i for i in range(count) if chance.random() < 0.6]
    weight = [(1 + 3 * chance.random()) ** 2 for _ in range(count)]
    taken = {i: [] for i in cold}
    for me in range(heads):
        dead = restarts and chance.random() < 0.7
        after = [api.NodeEntry(f"n{i}", i, up_since=up * (i in cold)) for i in range(count)]
        before = [api.NodeEntry(f"n{i}", i) for i in range(count)]
        driver = SchedulerDriver(
            hosts=heads,
            host_index=me,
            nodes=after if dead else before,
            rules=rules,
            start=up + int(chance.random() * 4 * SECOND) if dead else START,
            seed=seed * 100 + me,
        )
        own, size, told = [w * (0.3 + 3 * chance.random()) for w in weight], {}, dead
        pace, reply = int(15 * MS * (0.4 + 1.6 * chance.random())), answer_units_after(300 * MS, size)
        while driver.now < up + 9 * SECOND:
            name = f"r{len(size)}"
            size[name] = chance.choice((1, 1, 2, 2, 4))
            driver.request(name, shard=chance.choices(range(count), own)[0], units=size[name])
            driver.wait(pace, reply)
            if not told and driver.now >= up + HEARD:
                told = True
                driver.listed(*after)
        for at, send in driver.sends():
            if (node := int(send.node[1:])) in taken and at > up + HEARD:
                taken[node].append((at - up, size[send.request]))
    return list(taken.values())


@pytest.mark.parametrize(("heads", "restarts"), [(20, False), (20, True), (30, False), (30, True)])
@pytest.mark.parametrize("units", [4.0, 34.0])
def test_all_heads_together_keep_to_what_a_cold_node_bears_and_chance(heads, restarts, units):
    """Beyond N calls of mean work that the slowest node bears in the time, 2 sqrt(N) + 2 are put down to
    chance."""
    mean = 2.0  # units of a call
    print("seed 1", heads, restarts, units)
    sends = sends_to_restarted_nodes(1, heads, units, restarts)
    assert sum(len(sent) for sent in sends) > 20
    for sent in sends:
        for end, _ in sent:
            bears = (
                units / mean * (1 + (1 / WARM_UP_FROM - 1) * max(0, end - OVERLOAD_WINDOW / 2) / WARM_UP_TIME)
            )
            calls = sum(u for at, u in sent if end - OVERLOAD_WINDOW < at <= end) / mean
            assert calls <= bears + 2 * math.sqrt(bears) + 2
