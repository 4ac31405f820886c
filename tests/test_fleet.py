"""The combined load on one node of many heads, each of which sees only a small part of the traffic."""

from __future__ import annotations

import math
import random

import pytest

from stoatrouter.policy import Scheduler, handover
from stoatrouter.policy import interface as api
from stoatrouter.policy.units import NEVER
from tests.scheduler_driver import MS, SECOND, SchedulerDriver, answer_after

FLEET_SIZE = 60  # heads, and as many nodes
START = 100 * SECOND
WARM_UP_TIME = 18 * SECOND
OVERLOAD_WINDOW = 3 * SECOND
WARM_UP_FROM = 0.16  # share of its capacity that a node starts with
WARM_UP_UNITS = 34.0  # units per overload window that any node can take just after its start
RULES = {
    "warm_up_from": WARM_UP_FROM,
    "warm_up_time": WARM_UP_TIME,
    "warm_up_units": WARM_UP_UNITS,
    "overload_window": OVERLOAD_WINDOW,
}


def test_hosts_with_nothing_out_put_new_data_at_nodes_drawn_at_random():
    nodes = [api.NodeEntry(f"n{i:02}", i) for i in range(20)]
    used_nodes = set()
    for seed in range(100):
        driver = SchedulerDriver(hosts=100, nodes=nodes, seed=seed)
        driver.scheduler.nodes["n00"].window = 0.5  # reduced; like the others it has no attempt in flight
        driver.request("r", 1, shard=-1)
        used_nodes.add(driver.sends("r")[0][1].node)
    assert "n00" not in used_nodes and len(used_nodes) == 19


def test_new_data_goes_to_warm_nodes_first():
    nodes = [api.NodeEntry(f"n{i}", i, up_since=START * (i < 3)) for i in range(4)]
    driver = SchedulerDriver(hosts=100, nodes=nodes, rules=RULES, start=START)
    for i in range(4):
        driver.request(f"r{i}", 1, shard=-1)
    assert {a.node for _, a in driver.sends()} == {"n3"}


def sends_after_restart_of_all_nodes(seed, rules, time_per_unit):
    """Restart all nodes at once while each head is asked for more data of some nodes than these can serve.

    Return what each node was sent, as pairs of time since its restart and units. From the restart on a unit
    takes `time_per_unit`.
    """
    rng = random.Random(seed)
    sends_by_node = {i: [] for i in range(FLEET_SIZE)}
    print("seed", seed)
    for head_index in range(FLEET_SIZE):
        nodes = [api.NodeEntry(f"n{i}", i) for i in range(FLEET_SIZE)]
        driver = SchedulerDriver(
            hosts=FLEET_SIZE, host_index=head_index, nodes=nodes, rules=rules, start=START, seed=head_index
        )
        units_by_request = {}
        restarted_at = NEVER
        reply = answer_after(20 * MS)
        requested_shards = rng.sample(range(FLEET_SIZE), rng.randint(3, 12))
        for i in range(360):
            name = f"r{i}"
            units_by_request[name] = rng.choice((1, 2, 4))
            driver.request(name, shard=rng.choice(requested_shards), units=units_by_request[name])
            driver.wait(30 * MS, reply)
            if i == 160:
                restarted_at = driver.now
                reply = answer_units_after(time_per_unit, units_by_request)
                driver.listed(*(api.NodeEntry(n.node, n.shard, up_since=restarted_at) for n in nodes))
        for at, send in driver.sends():
            if at >= restarted_at:
                sends_by_node[int(send.node[1:])].append((at - restarted_at, units_by_request[send.request]))
    return [sorted(sent) for sent in sends_by_node.values()]


def answer_units_after(time_per_unit, units_by_request):
    """Return a reply for SchedulerDriver.wait: an attempt takes `time_per_unit` for each of its units."""

    def reply(driver):
        for name, _, _, sent_at in list(driver.open_sends):
            if driver.now - sent_at >= time_per_unit * units_by_request[name]:
                driver.end(name)

    return reply


def units_in_window(sent, end):
    """Return how many units a node was sent in the overload window that ends then."""
    return sum(units for at, units in sent if end - OVERLOAD_WINDOW < at <= end)


def capacity_growth(since_restart):
    """Return a warming node's capacity as a multiple of that at its start."""
    return 1 + (1 / WARM_UP_FROM - 1) * since_restart / WARM_UP_TIME


def max_load(sent, units):
    """Return the largest load in any overload window, as a share of the node's capacity at that time."""
    return max((units_in_window(sent, end) / units / capacity_growth(end) for end, _ in sent), default=0.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_cold_nodes_bear_what_all_hosts_send_and_are_not_starved(seed):
    all_sent = sends_after_restart_of_all_nodes(seed, RULES, 200 * MS)
    # the configured capacity, and half as much again for a node that many heads send to
    assert max(max_load(sent, WARM_UP_UNITS) for sent in all_sent) <= 1.5
    # equal shares for all heads would use less than a tenth of the nodes' capacity in these six seconds
    assert sum(units for sent in all_sent for _, units in sent) > 0.3 * FLEET_SIZE * 2 * WARM_UP_UNITS


@pytest.mark.parametrize(("time_per_unit", "fast"), [(50 * MS, True), (800 * MS, False)])
def test_cold_nodes_get_what_their_answers_show_that_they_bear(time_per_unit, fast):
    """The configured capacity is that of the slowest node: a fast node gets more, a slow one does not."""
    rules = RULES | {"warm_up_units": WARM_UP_UNITS / 8, "overload_multiple": 3.0}
    all_sent = sends_after_restart_of_all_nodes(1, rules, time_per_unit)
    units_sent = sum(units for sent in all_sent for _, units in sent)
    # units in an overload window just after the start, with one attempt at a time
    capacity = rules["overload_multiple"] * OVERLOAD_WINDOW / time_per_unit * WARM_UP_FROM
    assert max(max_load(sent, max(capacity, WARM_UP_UNITS / 8)) for sent in all_sent) <= 1.5
    print("sent", units_sent)
    assert (units_sent > 2 * FLEET_SIZE * 2 * WARM_UP_UNITS / 8) == fast


def test_a_host_counts_all_hosts_until_it_has_been_asked_for_a_while_and_hands_on_what_it_knows():
    nodes = [api.NodeEntry(f"n{i}", i) for i in range(100)]
    driver = SchedulerDriver(hosts=100, nodes=nodes, rules=RULES)
    driver.request("r", shard=3)
    assert driver.scheduler.slow_start.expected_senders(driver.now) == 100
    driver.wait(4 * SECOND)
    expected_senders = driver.scheduler.slow_start.expected_senders(driver.now)
    assert 1 <= expected_senders < 10
    successor = Scheduler(driver.scheduler.settings, 2)
    successor.handle(driver.now, api.EndpointList(api.ListKind.RESTORED, tuple(nodes)))
    handover.take_over(successor, handover.hand_over(driver.scheduler, driver.now))
    assert successor.slow_start.expected_senders(driver.now) == expected_senders


# -- heads restarted in the same seconds as nodes -----------------------------------------------------------
LIST_DELAY = SECOND // 2  # from a node's start until the heads are notified


def sends_to_restarted_nodes(seed, heads, units, restarts, count=12):
    """Return the units sent to each restarted node by heads that knew of its restart, with times since then.

    Six in ten of the nodes restart. With `restarts`, seven in ten of the heads restart in the same seconds.
    Some nodes are requested several times as often as others, and heads differ in their rate and choice of
    nodes.
    """
    rng = random.Random(f"cold/{seed}")
    restarted_at = START + 5 * SECOND
    rules = RULES | {"warm_up_units": units, "overload_multiple": 3.0}
    restarted_nodes = [i for i in range(count) if rng.random() < 0.6]
    node_weights = [(1 + 3 * rng.random()) ** 2 for _ in range(count)]
    sends_by_node = {i: [] for i in restarted_nodes}
    for head_index in range(heads):
        head_restarts = restarts and rng.random() < 0.7
        entries_after = [
            api.NodeEntry(f"n{i}", i, up_since=restarted_at * (i in restarted_nodes)) for i in range(count)
        ]
        entries_before = [api.NodeEntry(f"n{i}", i) for i in range(count)]
        driver = SchedulerDriver(
            hosts=heads,
            host_index=head_index,
            nodes=entries_after if head_restarts else entries_before,
            rules=rules,
            start=restarted_at + int(rng.random() * 4 * SECOND) if head_restarts else START,
            seed=seed * 100 + head_index,
        )
        head_weights = [weight * (0.3 + 3 * rng.random()) for weight in node_weights]
        units_by_request = {}
        notified = head_restarts
        request_interval = int(15 * MS * (0.4 + 1.6 * rng.random()))
        reply = answer_units_after(300 * MS, units_by_request)
        while driver.now < restarted_at + 9 * SECOND:
            name = f"r{len(units_by_request)}"
            units_by_request[name] = rng.choice((1, 1, 2, 2, 4))
            shard = rng.choices(range(count), head_weights)[0]
            driver.request(name, shard=shard, units=units_by_request[name])
            driver.wait(request_interval, reply)
            if not notified and driver.now >= restarted_at + LIST_DELAY:
                notified = True
                driver.listed(*entries_after)
        for at, send in driver.sends():
            node = int(send.node[1:])
            if node in sends_by_node and at > restarted_at + LIST_DELAY:
                sends_by_node[node].append((at - restarted_at, units_by_request[send.request]))
    return list(sends_by_node.values())


@pytest.mark.parametrize(("heads", "restarts"), [(20, False), (20, True), (30, False), (30, True)])
@pytest.mark.parametrize("units", [4.0, 34.0])
def test_all_heads_together_keep_to_what_a_cold_node_bears_and_chance(heads, restarts, units):
    """Beyond the N average requests that the slowest node can take, 2 sqrt(N) + 2 are allowed for chance."""
    mean_units = 2.0  # units of a request
    print("seed 1", heads, restarts, units)
    sends = sends_to_restarted_nodes(1, heads, units, restarts)
    assert sum(len(sent) for sent in sends) > 20
    for sent in sends:
        for end, _ in sent:
            capacity = units / mean_units * capacity_growth(max(0, end - OVERLOAD_WINDOW / 2))
            calls = units_in_window(sent, end) / mean_units
            assert calls <= capacity + 2 * math.sqrt(capacity) + 2
