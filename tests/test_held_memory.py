"""A scheduler's memory does not grow with the number of requests, whichever optional settings are absent.

Guards against a leak in the retry budget, which used to drop arrival times only when a retry was checked.
Without a window in the settings (`CountedOver`) every arrival time stayed for ever: 25,000 after 25,000
requests. With a window they stayed until the next retry, which takes hours on a head whose nodes answer well.
Arrival times are now dropped on each arrival, and not recorded where there is no window.
"""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from stoatrouter.core import model, nodes
from stoatrouter.core.nodes import RETURNED_NODE_RETENTION
from stoatrouter.policy import interface as api
from stoatrouter.policy.handover import hand_over, take_over
from stoatrouter.policy.placement import ANY_SHARD
from stoatrouter.policy.retry_budget import RetryBudget
from tests.held import held
from tests.scheduler_driver import EXPORT, MS, PLAN, READ, SECOND, WRITE, SchedulerDriver, answer_after
from tests.test_core import START, node, reducer

REQUESTS_PER_ROUND = 150
REQUEST_INTERVAL = 20 * MS
QUIET_PERIOD = 70 * SECOND  # longer than any state is retained
# Elements that may be held after a round beyond those held after the round before. Each round uses new
# volumes, keys and shards, so state that is kept for them exceeds this.
MAX_GROWTH = 20
NODE_RESTARTS_AT = (20, 80)  # indexes of the requests at which a node restarts
NODE_REMOVED_AT = 110  # index of the request at which another node leaves the endpoint list

ORDERED = api.RequestClass(
    "ordered", priority_weight=3, latency_objective=400 * MS, deadline=2 * SECOND, ordered_by_key=True
)


optional_rules = st.fixed_dictionaries(
    {},
    optional={
        "retry_budget_window": st.sampled_from([SECOND, 10 * SECOND]),
        "retry_budget_ratio": st.just(0.2),
        "retry_budget_min": st.just(2.0),
        "key_hold_down": st.just(300 * MS),
        "poll_within": st.just(SECOND),
        "warm_up_time": st.just(3 * SECOND),
        "overload_window": st.just(500 * MS),
        "charged_on_arrival": st.booleans(),
    },
)
general_settings = st.fixed_dictionaries(
    {},
    optional={
        "hosts": st.integers(1, 4),
        "parallel_attempts": st.booleans(),
        "may_cancel": st.booleans(),
        "health_checks": st.booleans(),
        "must_subscribe": st.booleans(),
        "meter_period": st.just(SECOND),
        "meters_others": st.booleans(),
        "max_attempts": st.integers(1, 3),
    },
)
plans = st.sampled_from([PLAN, api.Plan("limited", 50, limit=40, burst=5)])
outcomes = st.sampled_from([api.Outcome.OK, api.Outcome.TIMEOUT, api.Outcome.FULL, api.Outcome.RESET])


def run_round(driver: SchedulerDriver, index: int, reply) -> int:
    """Send requests with unused volumes, keys and shards, then wait; return how many elements are held."""
    for i in range(REQUESTS_PER_ROUND):
        name = f"r{index}-{i}"
        driver.request(name, i % 4, volume=f"v{name}", shard=i % 3, key=f"k{name}")
        driver.wait(REQUEST_INTERVAL, reply)
    driver.wait(QUIET_PERIOD, reply)
    driver.log.clear()
    driver.attempts.clear()
    return held(driver.scheduler)


@given(optional_rules, general_settings, plans, outcomes)
@settings(max_examples=12, deadline=None, phases=[Phase.generate])  # no shrinking: a round takes a second
def test_a_scheduler_holds_no_more_after_more_requests(rules, more_settings, plan, outcome):
    nodes = [api.NodeEntry(f"n{i}", i) for i in range(3)]
    classes = (READ, WRITE, EXPORT, ORDERED)
    driver = SchedulerDriver(classes=classes, plans=(plan,), rules=rules, nodes=nodes, **more_settings)
    reply = answer_after(10 * MS, outcome)
    run_round(driver, 0, reply)
    held_before = run_round(driver, 1, reply)
    held_after = run_round(driver, 2, reply)
    assert held_after <= held_before + MAX_GROWTH, (held_before, held_after)


def run_scheduler(rules, more_settings, plan, outcome, with_requests: bool) -> SchedulerDriver:
    """Run a scheduler whose nodes restart and leave the list, with or without requests, then wait."""
    nodes = [api.NodeEntry(f"n{i}", i) for i in range(3)]
    classes = (READ, WRITE, EXPORT, ORDERED)
    driver = SchedulerDriver(classes=classes, plans=(plan,), rules=rules, nodes=nodes, **more_settings)
    reply = answer_after(10 * MS, outcome)
    for i in range(REQUESTS_PER_ROUND):
        if i in NODE_RESTARTS_AT:
            driver.listed(api.NodeEntry("n1", 1, up_since=driver.now))
        if i == NODE_REMOVED_AT:
            driver.listed(api.NodeEntry("n2", 2, phase=api.Phase.GONE))
        if with_requests:
            shard = (ANY_SHARD, i % 3, i)[i % 3]  # any shard, a node's shard, or one that no node has
            driver.request(f"r{i}", i % 4, volume=f"v{i}", shard=shard, key=f"k{i}")
        driver.wait(REQUEST_INTERVAL, reply)
    driver.wait(QUIET_PERIOD, reply)
    return driver


def mask_numbers(data):
    """Return the handover data with each number masked: a node's averages and last times may differ."""
    if isinstance(data, dict):
        return {key: mask_numbers(value) for key, value in data.items()}
    if isinstance(data, list):
        return [mask_numbers(value) for value in data]
    return "a number" if isinstance(data, int | float) else data


def assert_nothing_held_after_quiet(rules, more_settings, plan, outcome) -> None:
    busy = run_scheduler(rules, more_settings, plan, outcome, with_requests=True)
    idle = run_scheduler(rules, more_settings, plan, outcome, with_requests=False)
    assert busy.attempts and not idle.attempts
    assert held(busy.scheduler) == held(idle.scheduler)
    handover_of_busy = hand_over(busy.scheduler, busy.now)
    handover_of_idle = hand_over(idle.scheduler, idle.now)
    assert mask_numbers(handover_of_busy) == mask_numbers(handover_of_idle)


@given(optional_rules, general_settings, plans, outcomes)
@settings(max_examples=8, deadline=None, phases=[Phase.generate])
def test_after_quiet_nothing_is_held_of_requests(rules, more_settings, plan, outcome):
    """Guards against windowed state that is dropped only when the next request arrives."""
    assert_nothing_held_after_quiet(rules, more_settings, plan, outcome)


def test_after_quiet_nothing_is_held_of_sends_that_timed_out():
    """Guards against sends that a node keeps for ever, with the generated example that first showed it."""
    rules = {
        "retry_budget_ratio": 0.2,
        "retry_budget_min": 2.0,
        "overload_window": 500 * MS,
        "warm_up_time": 3 * SECOND,
        "key_hold_down": 300 * MS,
        "charged_on_arrival": True,
    }
    more_settings = {"max_attempts": 3, "parallel_attempts": False}
    assert_nothing_held_after_quiet(rules, more_settings, PLAN, api.Outcome.TIMEOUT)


def test_what_was_handed_over_is_dropped_by_the_next_process():
    """Guards against records of sends and keys that only the process that made them can drop."""
    rules = {"overload_window": 500 * MS}
    nodes = [api.NodeEntry("n0", 0)]
    old_process, new_process, fresh_process = (SchedulerDriver(rules=rules, nodes=nodes) for _ in range(3))
    for i in range(10):
        old_process.request(f"r{i}", key=f"k{i}")
        old_process.wait(REQUEST_INTERVAL, answer_after(10 * MS))
    handover_data = hand_over(old_process.scheduler, old_process.now)
    assert handover_data["nodes"]["n0"]["sent"] and handover_data["nodes"]["n0"]["keys"]
    new_process.wait(old_process.now - new_process.now)
    take_over(new_process.scheduler, handover_data)
    fresh_process.wait(old_process.now - fresh_process.now)
    for driver in (new_process, fresh_process):
        driver.wait(QUIET_PERIOD)
    assert held(new_process.scheduler) == held(fresh_process.scheduler)


def test_sends_learnt_from_a_handover_that_cannot_be_read_to_its_end_are_dropped():
    """Guards against sends kept for ever when a later node's entry has another version's format."""
    rules = {"overload_window": 500 * MS}
    nodes = [api.NodeEntry("n0", 0), api.NodeEntry("n1", 1)]
    old_process, new_process, fresh_process = (SchedulerDriver(rules=rules, nodes=nodes) for _ in range(3))
    for i in range(10):
        old_process.request(f"r{i}", shard=i % 2, key=f"k{i}")
        old_process.wait(REQUEST_INTERVAL, answer_after(10 * MS))
    handover_data = hand_over(old_process.scheduler, old_process.now)
    del handover_data["nodes"]["n1"]["throttled"]
    new_process.wait(old_process.now - new_process.now)
    with pytest.raises(KeyError):
        take_over(new_process.scheduler, handover_data)
    assert all(node.recent_sends for node in new_process.scheduler.nodes.values())
    fresh_process.wait(old_process.now - fresh_process.now)
    for driver in (new_process, fresh_process):
        driver.wait(QUIET_PERIOD)
    assert held(new_process.scheduler) == held(fresh_process.scheduler)


@pytest.mark.parametrize("figures", [{"burst": 5.0}, {"tolerance": 5.0}])
def test_a_volume_without_a_limit_is_forgotten_whatever_its_bucket(figures):
    """Guards against volumes kept for ever because a bucket without a limit never refills."""
    driver = SchedulerDriver(plans=(api.Plan("unlimited", 50, **figures),))
    for i in range(20):
        driver.request(f"r{i}", volume=f"v{i}")
        driver.wait(REQUEST_INTERVAL, answer_after(10 * MS))
    assert len(driver.scheduler.volumes) == 20
    driver.wait(QUIET_PERIOD)
    assert not driver.scheduler.volumes


def test_a_volume_with_open_requests_is_not_forgotten():
    """Guards a limit: requests that waited for a node and later ones each got a full bucket."""
    long_deadline = api.RequestClass("patient", 3, latency_objective=2900 * MS, deadline=3 * SECOND)
    limited = api.Plan("limited", 50, limit=1, burst=5)
    driver = SchedulerDriver(classes=(long_deadline,), plans=(limited,))
    driver.wait(QUIET_PERIOD)
    for group in ("early", "late"):
        for i in range(5):
            driver.request(f"{group}{i}", shard=1, left=3 * SECOND)
        driver.wait(1100 * MS if group == "early" else 0)
    driver.listed(api.NodeEntry("n2", 1))
    driver.wait(200 * MS)
    assert len(driver.sends()) == 5


def test_arrivals_are_held_for_the_window_alone_though_nothing_is_retried():
    rules = api.Rules(retry_budget_window=SECOND, retry_budget_ratio=0.1)
    budget = RetryBudget(rules)
    for i in range(10_000):
        budget.note_arrival(i * 10 * MS)
        assert len(budget.arrivals) <= 101
    without_window = RetryBudget(api.Rules())
    for i in range(1000):
        without_window.note_arrival(i)
        without_window.note_retry(i)
    assert not without_window.arrivals and not without_window.retries


@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, 400)), max_size=80),
    st.integers(1, 1000),
    st.sampled_from([0.0, 0.1, 0.5]),
)
def test_dropping_early_changes_no_answer(steps, window, ratio):
    """Compares with the definition: arrivals after `now - window`, retries from `now - window` on."""
    budget = RetryBudget(api.Rules(retry_budget_window=window, retry_budget_min=1, retry_budget_ratio=ratio))
    arrivals = []
    retries = []
    now = 0
    for is_arrival, span in steps:
        now += span
        if is_arrival:
            arrivals.append(now)
            budget.note_arrival(now)
            continue
        arrivals_in_window = sum(at > now - window for at in arrivals)
        retries_in_window = sum(at >= now - window for at in retries)
        allowed = retries_in_window + 1 <= 1 + ratio * arrivals_in_window
        assert budget.allows_retry(now) is allowed
        if allowed:
            retries.append(now)
            budget.note_retry(now)


def list_and_take_out(r, index: int, at: timedelta, put_back: bool) -> None:
    """List only a node with a new name, take it out, and put it back if asked."""
    new_node = node(f"n{index}")
    r.reduce(model.EndpointListReceived(at, api.ListKind.FULL, (new_node,)))
    assert r.reduce(model.SetAdministrativeState(at, new_node.id, True))
    if put_back:
        assert r.reduce(model.SetAdministrativeState(at, new_node.id, False))


def test_nodes_put_back_by_hand_are_forgotten_once_they_are_warm():
    """Guards against a leak: each operator call left the node's name in memory for ever."""
    r = reducer()
    interval = RETURNED_NODE_RETENTION / 10
    for index in range(200):
        list_and_take_out(r, index, START + index * interval, put_back=True)
    assert len(r.administrative_state.back) <= 11 and not r.administrative_state.out


def test_nodes_out_by_hand_that_are_not_listed_are_bounded(monkeypatch):
    """A listed node stays out whatever the bound; one that is put back still warms up."""
    monkeypatch.setattr(nodes, "MAX_NODES_OUT", 8)
    r = reducer()
    for index in range(20):
        list_and_take_out(r, index, START, put_back=False)
    assert list(r.administrative_state.out) == [f"n{index}" for index in range(12, 20)]
    listed = tuple(node(f"m{index}") for index in range(12))
    r.reduce(model.EndpointListReceived(START, api.ListKind.FULL, listed))
    for each in listed:
        assert r.reduce(model.SetAdministrativeState(START, each.id, True))
    assert list(r.administrative_state.out) == [each.id for each in listed]
    assert r.reduce(model.SetAdministrativeState(START, "m0", False))
    assert list(r.administrative_state.back) == ["m0"]
