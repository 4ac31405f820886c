"""Requests that can no longer be answered before their deadline are refused or failed at once."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome
from tests.scheduler_driver import MS, PLAN, SECOND, SchedulerDriver, answer_after


def assert_held_requests_can_be_sent(driver: SchedulerDriver) -> None:
    """Check that each request waiting to be sent can still be sent before its deadline."""
    scheduler = driver.scheduler
    for request in scheduler.requests.values():
        if not request.done and not request.in_flight() and request.node is not None:
            blocked_until = scheduler.send_rules.blocked_until(request, request.node, driver.now)
            sendable_at = max(driver.now, request.wait_until, blocked_until)
            assert sendable_at < request.deadline, (
                f"{request.id} is held but cannot be sent before {sendable_at}"
            )


def test_a_request_beyond_the_limits_store_is_refused_in_the_same_call_with_when_to_come_back():
    plan = api.Plan("small", 4, limit=2.0, burst=4.0, tolerance=0.0)
    driver = SchedulerDriver(plans=(plan,), accepts_retry_after=True, max_retry_after=500 * MS)
    driver.wait(2100 * MS)
    driver.request("first", units=3.9, left=1 * SECOND)
    # the bucket refills in two seconds, but the client waits for only one
    driver.request("second", units=3.9, left=1 * SECOND)
    assert driver.sends("first") and driver.finals("second") == [api.Reject("second", 500 * MS)]
    driver.end("first")
    # can be sent in a quarter of a second: held, then sent
    driver.request("third", units=0.5, left=1 * SECOND)
    assert not driver.finals("third")
    driver.wait(400 * MS, assert_held_requests_can_be_sent)
    assert driver.sends("third")


def test_advice_is_given_only_where_it_is_taken():
    plan = api.Plan("small", 4, limit=2.0, burst=4.0, tolerance=0.0)
    driver = SchedulerDriver(plans=(plan,), accepts_retry_after=False, max_retry_after=500 * MS)
    driver.request("r", units=4, left=1 * SECOND)
    assert driver.finals("r") == [api.Reject("r", 0)]


def test_an_idempotent_request_whose_repeat_window_is_over_is_failed_in_the_same_call():
    keyed = api.RequestClass(
        "k", 3, 400 * MS, 9 * SECOND, 0.2, api.Effect.IDEMPOTENT, api.Group.SHARD, 1 * SECOND
    )
    driver = SchedulerDriver(classes=(keyed,))
    driver.request("r", left=9 * SECOND)
    driver.wait(1100 * MS)
    assert api.Fail("r") in driver.end("r", Outcome.RESET)


def test_what_a_cold_nodes_part_cannot_bear_in_time_is_refused_in_the_same_call():
    rules = {
        "warm_up_from": 0.2,
        "warm_up_time": 60 * SECOND,
        "warm_up_units": 4.0,
        "overload_window": SECOND,
    }
    driver = SchedulerDriver(
        hosts=200, host_index=100, rules=rules, accepts_retry_after=True, max_retry_after=500 * MS
    )
    driver.listed(api.NodeEntry("n1", 0, up_since=driver.now))
    driver.request("r", units=8, left=1 * SECOND)
    assert not driver.sends("r") and len(driver.finals("r")) == 1


def test_late_requests_at_a_paced_node_are_refused_at_once_and_told_its_pace():
    driver = SchedulerDriver(hosts=200, accepts_retry_after=True, max_retry_after=500 * MS)
    node = driver.scheduler.nodes["n1"]
    node.window = 0.1
    node.last_sent_at = driver.now
    node.last_round_trip = 300.0 * MS  # paced by the window: the next send is three seconds away
    driver.request("r", left=2 * SECOND)
    assert driver.finals("r") == [api.Reject("r", 500 * MS)]


def test_nothing_is_held_past_the_moment_when_it_can_no_longer_be_sent_on_a_rough_day():
    plans = (api.Plan("small", 4, limit=6.0, burst=16.0, tolerance=1.0), PLAN)
    rules = {"retry_budget_window": 5 * SECOND, "retry_budget_min": 1, "retry_budget_ratio": 0.1}
    driver = SchedulerDriver(plans=plans, hosts=20, rules=rules)
    outcomes = [Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.OK, Outcome.TIMEOUT, Outcome.ERROR]
    for i in range(200):
        driver.request(
            f"r{i}", i % 3, volume=f"v{i % 5}", plan=i % 2, left=(100 + 37 * i % 900) * MS, units=1 + i % 4
        )
        driver.wait(30 * MS, answer_after((5 + 31 * i % 400) * MS, outcomes[i % 6]))
        assert_held_requests_can_be_sent(driver)
    driver.wait(2 * SECOND)
    done = {a.request for _, a in driver.log if isinstance(a, api.Reject | api.Fail)}
    assert len(done) > 20 and all(len(driver.finals(f"r{i}")) <= 1 for i in range(200))
