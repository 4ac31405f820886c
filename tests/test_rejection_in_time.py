"""Tests that a request not sent by half of its time is refused, while its client can still retry.

On the bench, clients got refusals after more than half of their time with nothing written to a node.
"""

from __future__ import annotations

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome
from tests.scheduler_driver import MS, SECOND, SchedulerDriver


def driver_with_full_node() -> SchedulerDriver:
    """Return a driver whose only node has no place in its window."""
    driver = SchedulerDriver(accepts_retry_after=True, max_retry_after=500 * MS)
    node = driver.scheduler.nodes["n1"]
    node.window = 1.0
    node.in_flight = {("other", 0): driver.now + SECOND}
    return driver


def test_what_was_never_sent_is_refused_before_half_its_time():
    driver = driver_with_full_node()
    arrived_at = driver.now
    driver.request("r", left=2 * SECOND)
    driver.wait(2 * SECOND)
    assert not driver.sends("r")
    ((answered_at, final),) = [(at, a) for at, a in driver.log if isinstance(a, api.Reject | api.Fail)]
    assert isinstance(final, api.Reject) and answered_at - arrived_at < SECOND


def test_a_rejection_for_want_of_time_gives_no_advice_where_none_is_known():
    """It is unknown when the node has a free place, so the advice is 0 (docs/incidents/0004)."""
    driver = driver_with_full_node()
    driver.request("r", left=2 * SECOND)
    driver.wait(2 * SECOND)
    assert driver.finals("r") == [api.Reject("r", 0)]


def test_what_is_out_at_half_its_time_is_waited_for():
    driver = SchedulerDriver()
    driver.request("r", left=2 * SECOND)
    driver.wait(1500 * MS)
    assert driver.sends("r") and not driver.finals("r")
    driver.wait(600 * MS)
    assert len(driver.finals("r")) == 1


@pytest.mark.parametrize(("outcome", "early"), [(Outcome.CONNECT_FAILED, True), (Outcome.FULL, False)])
def test_only_what_came_to_a_node_counts_as_sent(outcome, early):
    driver = SchedulerDriver(max_attempts=2)
    arrived_at = driver.now
    driver.request("r", left=2 * SECOND)
    driver.end("r", outcome)
    driver.scheduler.nodes["n1"].phase = api.Phase.GONE  # no further attempt is possible
    driver.wait(2100 * MS)
    answer_times = [at for at, a in driver.log if isinstance(a, api.Reject | api.Fail)]
    assert len(answer_times) == 1 and (answer_times[0] - arrived_at < SECOND) is early
