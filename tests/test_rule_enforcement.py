"""Tests that each of the seven rules for sending is enforced; they fail where one is removed."""

from __future__ import annotations

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome, Phase
from tests.scheduler_driver import CLASSES, MS, PLAN, READ, SECOND, WRITE, SchedulerDriver, answer_after

KEYED = api.RequestClass(
    "keyed",
    3,
    400 * MS,
    5 * SECOND,
    0.2,
    api.Effect.IDEMPOTENT,
    api.Group.SHARD,
    repeat_window=1 * SECOND,
    writes=True,
)
UNSAFE = api.RequestClass("unsafe", 3, 400 * MS, 5 * SECOND, 0.2, api.Effect.UNSAFE, writes=True)
ORDERED = api.RequestClass("turn", 3, 400 * MS, 5 * SECOND, 0.2, ordered_by_key=True)


# 1 one final answer, in time -----------------------------------------------------------------------------
def test_a_request_with_no_node_gets_one_answer_by_its_deadline():
    driver = SchedulerDriver(nodes=[api.NodeEntry("n1", 7)])
    driver.request("r", left=300 * MS)
    driver.wait(301 * MS)
    assert driver.finals("r") == [api.Reject("r")]
    driver.wait(2 * SECOND)
    assert len(driver.finals("r")) == 1 and not driver.sends("r")


def test_a_request_held_behind_a_silent_node_is_answered_by_its_deadline():
    driver = SchedulerDriver()
    for i in range(60):
        driver.request(f"r{i}", left=500 * MS)
    driver.wait(501 * MS)
    assert all(len(driver.finals(f"r{i}")) == 1 for i in range(60))
    sent = len(driver.sends())
    for name, *_ in list(driver.open_sends):
        driver.end(name, Outcome.TIMEOUT)
    driver.wait(3 * SECOND)
    assert len(driver.sends()) == sent, "an attempt was sent after the request's final answer"
    assert all(len(driver.finals(f"r{i}")) == 1 for i in range(60))


def test_a_request_in_retries_is_answered_by_its_deadline():
    driver = SchedulerDriver()
    driver.request("r", left=400 * MS)
    driver.wait(401 * MS, answer_after(10 * MS, Outcome.FULL))
    assert len(driver.finals("r")) == 1
    assert all(at < 100 * SECOND + 400 * MS for at, _ in driver.sends("r"))


def test_a_served_request_gets_no_second_answer():
    driver = SchedulerDriver()
    driver.request("r", left=400 * MS)
    driver.end("r")
    driver.wait(2 * SECOND)
    assert driver.finals("r") == []


def test_nothing_goes_out_after_the_client_has_gone():
    driver = SchedulerDriver()
    driver.request("r")
    driver.end("r", Outcome.FULL)
    driver.event(api.ClientGone("r"))
    driver.event(api.ClientGone("r"))
    driver.wait(3 * SECOND)
    assert len(driver.sends("r")) == 1 and driver.finals("r") == []


def test_a_started_stream_has_no_deadline():
    driver = SchedulerDriver()
    driver.request("r", left=300 * MS)
    driver.event(api.StreamStarted("r", 0, "n1"))
    driver.wait(1 * SECOND)
    assert driver.finals("r") == []


# 2 no effect twice ---------------------------------------------------------------------------------------
@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_unsafe_that_may_have_run_is_failed_and_never_resent(outcome):
    driver = SchedulerDriver(classes=(UNSAFE,))
    driver.request("r")
    driver.end("r", outcome)
    driver.wait(3 * SECOND)
    assert len(driver.sends("r")) == 1 and driver.finals("r") == [api.Fail("r")]


def test_unsafe_that_never_ran_is_resent():
    driver = SchedulerDriver(classes=(UNSAFE,))
    driver.request("r")
    driver.end("r", Outcome.FULL)
    driver.wait(1 * SECOND)
    assert len(driver.sends("r")) == 2


def test_keyed_is_resent_only_within_its_group_and_window():
    driver = SchedulerDriver(classes=(KEYED,))
    driver.request("r", left=5 * SECOND)
    driver.end("r", Outcome.RESET)
    driver.listed(api.NodeEntry("n1", 0, phase=Phase.GONE))
    driver.wait(1100 * MS)  # the shard's next node is listed once the retry window is over
    driver.listed(api.NodeEntry("n2", 0))
    driver.wait(5 * SECOND)
    assert len(driver.sends("r")) == 1 and driver.finals("r") == [api.Fail("r")]


def test_keyed_by_zone_does_not_leave_its_zone():
    keyed_by_zone = api.RequestClass(
        "k", 3, 400 * MS, 5 * SECOND, 0.2, api.Effect.IDEMPOTENT, api.Group.ZONE, repeat_window=4 * SECOND
    )
    driver = SchedulerDriver(classes=(keyed_by_zone,))
    driver.request("r", left=3 * SECOND)
    driver.end("r", Outcome.ERROR)
    driver.listed(api.NodeEntry("n1", 0, phase=Phase.GONE), api.NodeEntry("n2", 0, zone=1))
    driver.wait(4 * SECOND)
    assert len(driver.sends("r")) == 1


def test_no_two_attempts_are_out_at_once():
    driver = SchedulerDriver(parallel_attempts=False)
    driver.request("r")
    driver.wait(1900 * MS)
    assert len(driver.sends("r")) == 1


# 3 drains ------------------------------------------------------------------------------------------------
@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_nothing_goes_to_a_node_that_drains_or_is_gone_after_the_grace(phase):
    driver = SchedulerDriver(rules={"drain_grace": 500 * MS})
    driver.listed(api.NodeEntry("n1", 0, phase=phase))
    driver.wait(501 * MS)
    driver.request("r")
    driver.wait(1 * SECOND)
    assert not driver.sends("r")


def test_a_node_missing_from_a_full_list_is_gone():
    driver = SchedulerDriver(rules={"drain_grace": 0}, nodes=[api.NodeEntry("n1", 0), api.NodeEntry("n2", 1)])
    driver.listed(api.NodeEntry("n2", 1), kind=api.ListKind.FULL)
    driver.wait(1 * MS)
    driver.request("r")
    driver.wait(1 * SECOND)
    assert not driver.sends("r")


# 4 cold nodes --------------------------------------------------------------------------------------------
def test_a_cold_node_gets_at_most_this_hosts_part_in_every_window():
    start = 100 * SECOND
    hosts = 4
    units = 40.0
    overload_window = 1 * SECOND
    warm_up_time = 10 * SECOND
    warm_up_from = 0.2  # part of a warm node's capacity
    driver = SchedulerDriver(
        rules={
            "warm_up_from": warm_up_from,
            "warm_up_time": warm_up_time,
            "warm_up_units": units,
            "overload_window": overload_window,
        },
        hosts=hosts,
        nodes=[api.NodeEntry("n1", 0, up_since=start)],
        start=start,
    )
    for i in range(800):
        driver.request(f"r{i}", left=2 * SECOND, units=1 + i % 3)
        driver.wait(10 * MS, answer_after(5 * MS, Outcome.FULL if i % 3 else Outcome.OK))
    size = {f"r{i}": 1 + i % 3 for i in range(800)}
    sent = [(t, size[a.request]) for t, a in driver.sends()]
    for t, _ in sent:
        capacity_fraction = warm_up_from + (1 - warm_up_from) * max(0, t - start) / warm_up_time
        warm_up_factor = capacity_fraction / warm_up_from
        units_in_window = sum(u for at, u in sent if t - overload_window <= at <= t)
        assert units_in_window <= units / hosts * warm_up_factor + 1e-6
    assert len(sent) > 50


@pytest.mark.parametrize("hosts", [2, 30, 250])
def test_all_hosts_together_keep_a_cold_node_within_what_it_bears_and_do_not_starve_it(hosts):
    start = 100 * SECOND
    units = 60.0
    overload_window = 1 * SECOND
    warm_up_time = 5 * SECOND
    warm_up_from = 0.2  # part of a warm node's capacity
    rules = {
        "warm_up_from": warm_up_from,
        "warm_up_time": warm_up_time,
        "warm_up_units": units,
        "overload_window": overload_window,
    }
    entry = api.NodeEntry("n1", 0, phase=Phase.DRAINING)
    sent = []
    # each host holds requests of every size when the restart is listed, and gets more
    for host_index in range(hosts):
        driver = SchedulerDriver(rules=rules, hosts=hosts, host_index=host_index, nodes=[entry], start=start)
        size = {}
        for i in range(60):
            size[f"r{i}"] = (2, 8, 1)[(host_index + i) % 3]
            driver.request(f"r{i}", left=2 * SECOND, units=size[f"r{i}"])
            if i == 4:
                driver.listed(api.NodeEntry("n1", 0, up_since=start))
            driver.wait(80 * MS, answer_after(30 * MS))
        sent += [(t, size[a.request]) for t, a in driver.sends()]
    sent.sort()
    for t, _ in sent:
        warm_up_factor = 1 + (1 / warm_up_from - 1) * max(0, t - start) / warm_up_time
        assert sum(u for at, u in sent if t - overload_window < at <= t) <= units * warm_up_factor + 8
    assert sum(u for t, u in sent if t < start + 1500 * MS) >= units / 4
    assert sum(u for t, u in sent) >= 3 * units
    assert {8, 2, 1} <= {u for _, u in sent}


# 5 limits ------------------------------------------------------------------------------------------------
LIMITED = api.Plan("limited", usual_rate=5, weight=1, limit=20, burst=48, tolerance=8)


def test_first_attempts_stay_within_this_hosts_part_even_over_a_restart():
    hosts = 2
    sent = []
    for process_index in range(2):  # the second process has no state of the first
        driver = SchedulerDriver(plans=(LIMITED,), start=(100 + 3 * process_index) * SECOND)
        for i in range(300):
            driver.request(f"r{process_index}.{i}", units=2, hosts=hosts)
            driver.wait(10 * MS, answer_after(5 * MS))
        sent += [(t, 2) for t, _ in driver.sends()]
    tokens = LIMITED.burst / hosts
    last_sent_at = 100 * SECOND
    for t, units in sent:
        filled = LIMITED.limit / hosts * (t - last_sent_at) / SECOND
        tokens = min(LIMITED.burst / hosts, tokens + filled) - units
        last_sent_at = t
        assert tokens >= -LIMITED.tolerance / hosts - 1e-6
    assert len(sent) > 15


def test_a_retry_does_not_draw_from_the_limit_again():
    driver = SchedulerDriver(plans=(LIMITED,))
    driver.wait(100 * MS)
    driver.request("r0", units=1, left=1 * SECOND)  # creates the volume's token bucket
    driver.wait(200 * MS, answer_after(5 * MS))
    driver.request("r", units=4)
    before = driver.scheduler.volumes["v1"].limit_tokens
    driver.wait(400 * MS, answer_after(5 * MS, Outcome.FULL))
    assert len(driver.sends("r")) >= 2
    tokens_left = driver.scheduler.volumes["v1"].limit_tokens
    assert tokens_left > before - 4.1 and tokens_left > -8


# 6 order -------------------------------------------------------------------------------------------------
def test_requests_of_one_key_go_one_at_a_time_and_in_turn():
    driver = SchedulerDriver(classes=(ORDERED,), rules={"key_hold_down": 300 * MS})
    for name in ("a", "b", "c"):
        driver.request(name, key="k")
    driver.wait(100 * MS)
    assert [a.request for _, a in driver.sends()] == ["a"]
    driver.end("a")
    driver.wait(10 * MS)
    assert [a.request for _, a in driver.sends()] == ["a", "b"]


def test_a_key_rests_after_an_attempt_that_may_still_run():
    driver = SchedulerDriver(classes=(ORDERED,), rules={"key_hold_down": 300 * MS}, max_attempts=1)
    driver.request("a", key="k")
    driver.request("b", key="k")
    driver.end("a", Outcome.RESET)
    at = driver.now
    driver.wait(290 * MS)
    assert not driver.sends("b")
    driver.wait(300 * MS)
    assert driver.sends("b") and driver.sends("b")[0][0] >= at + 300 * MS


def test_a_later_arrival_waits_out_the_rest_too():
    driver = SchedulerDriver(classes=(ORDERED,), rules={"key_hold_down": 300 * MS}, max_attempts=1)
    driver.request("a", key="k")
    driver.end("a", Outcome.RESET)
    driver.wait(100 * MS)
    driver.request("b", key="k")
    assert not driver.sends("b")
    driver.wait(700 * MS)
    assert driver.sends("b")


# 7 budget ------------------------------------------------------------------------------------------------
def test_further_attempts_stay_within_the_budget_over_every_window():
    rules = {"retry_budget_window": 2 * SECOND, "retry_budget_min": 3, "retry_budget_ratio": 0.1}
    driver = SchedulerDriver(rules=rules, classes=CLASSES)
    for i in range(400):
        driver.request(f"r{i}", left=1 * SECOND, volume=f"v{i % 20}")
        driver.wait(20 * MS, answer_after(5 * MS, Outcome.FULL if i % 2 else Outcome.OK))
    seen = set()
    retry_times = []
    for t, a in driver.sends():
        if a.request in seen:
            retry_times.append(t)
        seen.add(a.request)
    arrivals = [100 * SECOND + i * 20 * MS for i in range(400)]
    for t in retry_times:
        retries = sum(1 for at in retry_times if t - 2 * SECOND <= at <= t)
        assert retries <= 3 + 0.1 * sum(1 for at in arrivals if t - 2 * SECOND < at <= t + 20 * MS)
    assert len(retry_times) > 10


def test_no_budget_stated_leaves_retries_to_the_attempt_limit():
    driver = SchedulerDriver(classes=(READ, WRITE), plans=(PLAN,), max_attempts=3)
    driver.request("r")
    driver.wait(1900 * MS, answer_after(5 * MS, Outcome.FULL))
    assert len(driver.sends("r")) == 3


def test_of_a_cold_nodes_part_half_is_kept_for_what_can_still_be_in_time():
    driver = SchedulerDriver(
        rules={
            "warm_up_from": 0.2,
            "warm_up_time": 10 * SECOND,
            "warm_up_units": 40.0,
            "overload_window": SECOND,
        },
        hosts=4,
        nodes=[api.NodeEntry("n0", 1), api.NodeEntry("n1", 0, up_since=100 * SECOND)],
    )
    for i in range(20):
        driver.scheduler.nodes["n1"].read_latency = 300.0 * MS  # no read can meet its objective
        driver.request(f"r{i}")
        driver.wait(5 * MS, answer_after(1 * MS))
    assert 4 <= len(driver.sends()) <= 6
    driver.request("w", 2)
    assert driver.sends("w")


def test_the_limits_part_fills_from_the_hosts_start_and_not_from_a_volumes_first_request():
    driver = SchedulerDriver(plans=(LIMITED,))
    driver.wait(3 * SECOND)
    driver.request("r", units=8, hosts=4)  # needs the tokens of 1.6 s
    assert driver.sends("r")


def test_another_number_of_hosts_is_followed_on_the_safe_side():
    driver = SchedulerDriver(plans=(LIMITED,))
    driver.wait(10 * SECOND)
    driver.request("a", hosts=4)
    volume = driver.scheduler.volumes["v1"]
    driver.request("b", hosts=2)  # the hosts that left may have spent their parts
    assert volume.hosts == 2 and volume.limit_tokens <= -LIMITED.tolerance / 2 and not driver.sends("b")
    driver.request("c", hosts=8)
    assert volume.hosts == 8 and volume.refill(driver.now).limit_tokens <= -LIMITED.tolerance / 8


def test_an_attempt_that_fails_just_before_the_deadline_leaves_no_request_without_its_answer():
    driver = SchedulerDriver()
    driver.request("r", left=1 * SECOND)
    driver.wait(980 * MS)  # past the time at which held requests are rejected
    driver.listed(api.NodeEntry("n1", 0, phase=Phase.GONE))
    assert api.Reject("r") in driver.end("r", Outcome.RESET)  # at once: no retry delay fits
    driver = SchedulerDriver()
    driver.scheduler.nodes["n1"].in_flight[("other", 0)] = driver.now
    driver.request("r", left=1 * SECOND)
    driver.wait(900 * MS)
    driver.listed(api.NodeEntry("n1", 0, phase=Phase.GONE))
    for name, *_ in list(driver.open_sends):
        driver.end(name, Outcome.RESET)
    driver.wait(100 * MS)
    assert len(driver.finals("r")) == 1


def test_a_draining_node_is_used_within_the_grace_while_its_shard_has_no_other_and_never_after():
    rules = {"drain_grace": 2 * SECOND}
    driver = SchedulerDriver(rules=rules, tick=2 * MS)
    driver.wait(300 * MS)
    driver.listed(api.NodeEntry("n1", 0, phase=Phase.DRAINING))
    drain_listed_at = driver.now
    driver.request("within", left=5 * SECOND)
    assert driver.sends("within")
    driver.end("within")
    for i in range(60):
        driver.request(f"r{i}", left=5 * SECOND)
        driver.wait(50 * MS, answer_after(10 * MS))
        # listed again: the grace does not restart
        driver.listed(api.NodeEntry("n1", 0, phase=Phase.DRAINING))
    assert driver.sends("r30") and max(t for t, _ in driver.sends()) < drain_listed_at + 2 * SECOND
    driver.listed(api.NodeEntry("n2", 0))
    driver.request("successor")
    assert [a.node for _, a in driver.sends("successor")] == ["n2"]
    # a node that was listed as draining before this process started
    driver = SchedulerDriver(rules=rules, nodes=[api.NodeEntry("n1", 0, phase=Phase.DRAINING)])
    driver.request("r")
    assert not driver.sends("r")
