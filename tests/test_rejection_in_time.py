"""A refusal is of use while its client can still try anew: what is unsent at half its time is refused.

Seen on the bench: clients paid for refusals after more than half their time with nothing written to a node.
"""

from __future__ import annotations

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome
from tests.scheduler_driver import MS, SECOND, SchedulerDriver


def blocked() -> SchedulerDriver:
    """A driver whose only node is full for this host."""
    driver = SchedulerDriver(accepts_retry_after=True, max_retry_after=500 * MS)
    driver.scheduler.nodes["n1"].window, driver.scheduler.nodes["n1"].in_flight = (
        1.0,
        {("other", 0): driver.now + SECOND},
    )
    return driver


def test_what_was_never_sent_is_refused_before_half_its_time():
    driver = blocked()
    began = driver.now
    driver.request("r", left=2 * SECOND)
    driver.wait(2 * SECOND)
    assert not driver.sends("r")
    ((answered, final),) = [(t, a) for t, a in driver.log if isinstance(a, api.Reject | api.Fail)]
    assert isinstance(final, api.Reject) and answered - began < SECOND


def test_a_rejection_for_want_of_time_gives_no_advice_where_none_is_known():
    """Forced: nobody knows when the node opens, so the advice is 0 (docs/incidents/0004)."""
    driver = blocked()
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
    began = driver.now
    driver.request("r", left=2 * SECOND)
    driver.end("r", outcome)
    driver.scheduler.nodes["n1"].phase = api.Phase.GONE  # nothing more can go out
    driver.wait(2100 * MS)
    answered = [t for t, a in driver.log if isinstance(a, api.Reject | api.Fail)]
    assert len(answered) == 1 and (answered[0] - began < SECOND) is early
