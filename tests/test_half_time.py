"""A refusal is of use while its client can still try anew: what is unsent at half its time is refused.

Seen on the bench: clients paid for refusals after more than half their time with nothing written to a node.
"""

from __future__ import annotations

import pytest

from cypressworks import interface as api
from cypressworks.interface import Outcome
from tests.bench_free import MS, SECOND, Hand


def blocked() -> Hand:
    """A hand whose only node is full for this host."""
    hand = Hand(takes_advice=True, max_advice=500 * MS)
    hand.scheduler.nodes["n1"].window, hand.scheduler.nodes["n1"].out = 1.0, {("other", 0): hand.now + SECOND}
    return hand


def test_what_was_never_sent_is_refused_before_half_its_time():
    hand = blocked()
    began = hand.now
    hand.request("r", left=2 * SECOND)
    hand.wait(2 * SECOND)
    assert not hand.sends("r")
    ((answered, final),) = [(t, a) for t, a in hand.log if isinstance(a, api.Refuse | api.Fail)]
    assert isinstance(final, api.Refuse) and answered - began < SECOND


def test_what_is_out_at_half_its_time_is_waited_for():
    hand = Hand()
    hand.request("r", left=2 * SECOND)
    hand.wait(1500 * MS)
    assert hand.sends("r") and not hand.finals("r")
    hand.wait(600 * MS)
    assert len(hand.finals("r")) == 1


@pytest.mark.parametrize(("outcome", "early"), [(Outcome.CONNECT_FAILED, True), (Outcome.FULL, False)])
def test_only_what_came_to_a_node_counts_as_sent(outcome, early):
    hand = Hand(max_attempts=2)
    began = hand.now
    hand.request("r", left=2 * SECOND)
    hand.end("r", outcome)
    hand.scheduler.nodes["n1"].phase = api.Phase.GONE  # nothing more can go out
    hand.wait(2100 * MS)
    answered = [t for t, a in hand.log if isinstance(a, api.Refuse | api.Fail)]
    assert len(answered) == 1 and (answered[0] - began < SECOND) is early
