"""What is held after many requests does not grow with their number, whatever optional settings are missing.

What happened: where the settings name no window for the retry budget (`CountedOver`), the time of each
arrival was held for ever, 25,000 after 25,000 requests. With a window it was held until the next retry was
weighed: for hours, on a head whose nodes answer well. Why: times were dropped only where the budget was
asked. They are dropped with each arrival now, and not noted where there is no window.
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

REQUESTS = 150  # of one round
INTERVAL = 20 * MS
QUIET = 70 * SECOND  # longer than anything is retained
# Each round meets other volumes, keys and shards: what is held of them has to go.
MOST_GROWTH = 20
RESTARTS_AT, GOES_AT = (20, 80), 110  # at which requests a node restarts, and another one is no longer listed

ORDERED = api.RequestClass(
    "ordered", priority_weight=3, latency_objective=400 * MS, deadline=2 * SECOND, ordered_by_key=True
)


optional = st.fixed_dictionaries(
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
general = st.fixed_dictionaries(
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


def play_round(driver: SchedulerDriver, number: int, reply) -> int:
    """Many requests of volumes, keys and shards that were not met before, then quiet; what is held."""
    for i in range(REQUESTS):
        name = f"r{number}-{i}"
        driver.request(name, i % 4, volume=f"v{name}", shard=i % 3, key=f"k{name}")
        driver.wait(INTERVAL, reply)
    driver.wait(QUIET, reply)
    driver.log.clear()
    driver.attempts.clear()
    return held(driver.scheduler)


@given(optional, general, plans, outcomes)
@settings(max_examples=12, deadline=None, phases=[Phase.generate])  # a round takes a second: no shrinking
def test_a_scheduler_holds_no_more_after_more_requests(rules, more, plan, outcome):
    nodes = [api.NodeEntry(f"n{i}", i) for i in range(3)]
    classes = (READ, WRITE, EXPORT, ORDERED)
    driver = SchedulerDriver(classes=classes, plans=(plan,), rules=rules, nodes=nodes, **more)
    reply = answer_after(10 * MS, outcome)
    play_round(driver, 0, reply)
    after_one = play_round(driver, 1, reply)
    after_two = play_round(driver, 2, reply)
    assert after_two <= after_one + MOST_GROWTH, (after_one, after_two)


def play_a_while(rules, more, plan, outcome, meets_requests: bool) -> SchedulerDriver:
    """A scheduler whose nodes restart and go while requests come, or none do; then quiet."""
    nodes = [api.NodeEntry(f"n{i}", i) for i in range(3)]
    classes = (READ, WRITE, EXPORT, ORDERED)
    driver = SchedulerDriver(classes=classes, plans=(plan,), rules=rules, nodes=nodes, **more)
    reply = answer_after(10 * MS, outcome)
    for i in range(REQUESTS):
        if i in RESTARTS_AT:
            driver.listed(api.NodeEntry("n1", 1, up_since=driver.now))
        if i == GOES_AT:
            driver.listed(api.NodeEntry("n2", 2, phase=api.Phase.GONE))
        if meets_requests:
            shard = (ANY_SHARD, i % 3, i)[i % 3]  # any, that of a node, or nobody's
            driver.request(f"r{i}", i % 4, volume=f"v{i}", shard=shard, key=f"k{i}")
        driver.wait(INTERVAL, reply)
    driver.wait(QUIET, reply)
    return driver


def without_figures(data):
    """The data handed over with each number as its type: averages and last times of a node stay."""
    if isinstance(data, dict):
        return {key: without_figures(value) for key, value in data.items()}
    if isinstance(data, list):
        return [without_figures(value) for value in data]
    return "a number" if isinstance(data, int | float) else data


def assert_nothing_is_left(rules, more, plan, outcome) -> None:
    met, none = (play_a_while(rules, more, plan, outcome, meets_requests) for meets_requests in (True, False))
    assert met.attempts and not none.attempts
    assert held(met.scheduler) == held(none.scheduler)
    handed, handed_of_none = (hand_over(driver.scheduler, driver.now) for driver in (met, none))
    assert without_figures(handed) == without_figures(handed_of_none)


@given(optional, general, plans, outcomes)
@settings(max_examples=8, deadline=None, phases=[Phase.generate])
def test_after_quiet_nothing_is_held_of_requests(rules, more, plan, outcome):
    """Guards against state of a time window that is dropped only as the next request comes."""
    assert_nothing_is_left(rules, more, plan, outcome)


def test_after_quiet_nothing_is_held_of_sends_that_timed_out():
    """Guards against sends that a node holds for ever: the drawn example that first showed it."""
    rules = {
        "retry_budget_ratio": 0.2,
        "retry_budget_min": 2.0,
        "overload_window": 500 * MS,
        "warm_up_time": 3 * SECOND,
        "key_hold_down": 300 * MS,
        "charged_on_arrival": True,
    }
    more = {"max_attempts": 3, "parallel_attempts": False}
    assert_nothing_is_left(rules, more, PLAN, api.Outcome.TIMEOUT)


def test_what_was_handed_over_is_dropped_by_the_next_process():
    """Guards against sends and keys that only the process that sent can drop."""
    rules = {"overload_window": 500 * MS}
    nodes = [api.NodeEntry("n0", 0)]
    before, after, none = (SchedulerDriver(rules=rules, nodes=nodes) for _ in range(3))
    for i in range(10):
        before.request(f"r{i}", key=f"k{i}")
        before.wait(INTERVAL, answer_after(10 * MS))
    handed = hand_over(before.scheduler, before.now)
    assert handed["nodes"]["n0"]["sent"] and handed["nodes"]["n0"]["keys"]
    after.wait(before.now - after.now)
    take_over(after.scheduler, handed)
    none.wait(before.now - none.now)
    for driver in (after, none):
        driver.wait(QUIET)
    assert held(after.scheduler) == held(none.scheduler)


def test_sends_learnt_from_a_handover_that_cannot_be_read_to_its_end_are_dropped():
    """Guards against sends held for ever where a later node's entry is of another version."""
    rules = {"overload_window": 500 * MS}
    nodes = [api.NodeEntry("n0", 0), api.NodeEntry("n1", 1)]
    before, after, none = (SchedulerDriver(rules=rules, nodes=nodes) for _ in range(3))
    for i in range(10):
        before.request(f"r{i}", shard=i % 2, key=f"k{i}")
        before.wait(INTERVAL, answer_after(10 * MS))
    handed = hand_over(before.scheduler, before.now)
    del handed["nodes"]["n1"]["throttled"]
    after.wait(before.now - after.now)
    with pytest.raises(KeyError):
        take_over(after.scheduler, handed)
    assert all(node.recent_sends for node in after.scheduler.nodes.values())
    none.wait(before.now - none.now)
    for driver in (after, none):
        driver.wait(QUIET)
    assert held(after.scheduler) == held(none.scheduler)


@pytest.mark.parametrize("figures", [{"burst": 5.0}, {"tolerance": 5.0}])
def test_a_volume_without_a_limit_is_forgotten_whatever_its_bucket(figures):
    """Guards against volumes held for ever, as a bucket without a limit never refills."""
    driver = SchedulerDriver(plans=(api.Plan("unlimited", 50, **figures),))
    for i in range(20):
        driver.request(f"r{i}", volume=f"v{i}")
        driver.wait(INTERVAL, answer_after(10 * MS))
    assert len(driver.scheduler.volumes) == 20
    driver.wait(QUIET)
    assert not driver.scheduler.volumes


def test_a_volume_with_open_requests_is_not_forgotten():
    """Guards a limit: those who waited for a node and those who came later had a full bucket each."""
    patient = api.RequestClass("patient", 3, latency_objective=2900 * MS, deadline=3 * SECOND)
    limited = api.Plan("limited", 50, limit=1, burst=5)
    driver = SchedulerDriver(classes=(patient,), plans=(limited,))
    driver.wait(QUIET)
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
    """Against the definition: arrivals after `now - window`, retries from there on."""
    budget = RetryBudget(api.Rules(retry_budget_window=window, retry_budget_min=1, retry_budget_ratio=ratio))
    arrivals, retries, now = [], [], 0
    for is_arrival, span in steps:
        now += span
        if is_arrival:
            arrivals.append(now)
            budget.note_arrival(now)
            continue
        counted = sum(at > now - window for at in arrivals)
        spent = sum(at >= now - window for at in retries)
        allowed = spent + 1 <= 1 + ratio * counted
        assert budget.allows_retry(now) is allowed
        if allowed:
            retries.append(now)
            budget.note_retry(now)


def take_out_and_back(r, number: int, at: timedelta, back: bool) -> None:
    """List a node of a new name, take it out, put it back perhaps, and list it no more."""
    own = node(f"n{number}")
    r.reduce(model.EndpointListReceived(at, api.ListKind.FULL, (own,)))
    assert r.reduce(model.SetAdministrativeState(at, own.id, True))
    if back:
        assert r.reduce(model.SetAdministrativeState(at, own.id, False))


def test_nodes_put_back_by_hand_are_forgotten_once_they_are_warm():
    """Guards memory: they were remembered by name for ever, one after each call."""
    r = reducer()
    interval = RETURNED_NODE_RETENTION / 10
    for number in range(200):
        take_out_and_back(r, number, START + number * interval, back=True)
    assert len(r.administrative_state.back) <= 11 and not r.administrative_state.out


def test_nodes_out_by_hand_that_are_not_listed_are_bounded(monkeypatch):
    """A node that is listed stays out whatever the bound; one put back still warms up."""
    monkeypatch.setattr(nodes, "MAX_NODES_OUT", 8)
    r = reducer()
    for number in range(20):
        take_out_and_back(r, number, START, back=False)
    assert list(r.administrative_state.out) == [f"n{number}" for number in range(12, 20)]
    listed = tuple(node(f"m{number}") for number in range(12))
    r.reduce(model.EndpointListReceived(START, api.ListKind.FULL, listed))
    for each in listed:
        assert r.reduce(model.SetAdministrativeState(START, each.id, True))
    assert list(r.administrative_state.out) == [each.id for each in listed]
    assert r.reduce(model.SetAdministrativeState(START, "m0", False))
    assert list(r.administrative_state.back) == ["m0"]
