"""Timeouts of watching the node list, chosen so that a change takes effect in time.

A watch may stop responding as soon as it was sent. A change that it misses is binding 6 s after discovery has
it and can be reached. Where lists are pushed to an agent, a change is binding as soon as the agent has it,
which leaves only the grace period of the drain rule. The network code uses these timeouts; the tests check
them against those bounds.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

MAX_NOTIFICATION_DELAY = timedelta(seconds=6)  # set by the operators, regardless of any other allowance
MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class DiscoveryTimeouts:
    """The timeouts of one deployment."""

    hold: timedelta  # the longest requested hold of a watch; the actual one is random, from 3/4 of it up
    hold_grace: timedelta  # beyond the hold, until the watch counts as unresponsive
    connect: timedelta  # for a connection to open
    answer: timedelta  # for the answer to a call that is not held, connecting included
    short_hold: timedelta  # the hold requested by such a call
    backoff: timedelta  # before the first call after a failed one
    max_backoff: timedelta  # the upper bound of the doubling backoff, where calls are costly
    first_answer: timedelta  # how long a start waits for the first answer

    @property
    def max_change_delay(self) -> timedelta:
        """The longest time from a change that a watch misses until the change arrives.

        It includes the failure of the first new connection to open.
        """
        return self.hold + self.hold_grace + self.backoff + self.connect + 2 * self.backoff + self.answer

    @property
    def max_recovery_delay(self) -> timedelta:
        """The longest time from discovery's recovery to its answer, with a call or a backoff just begun."""
        return max(self.answer, self.max_backoff) + self.backoff + self.answer


def discovery_timeouts(pushed: bool, drain_grace: timedelta) -> DiscoveryTimeouts:
    """Return the timeouts of a deployment.

    With `pushed`, an agent on this machine answers at no cost, so it is polled often enough to leave half of
    the drain grace. Otherwise one discovery service serves all heads one after the other and rejects calls
    after 2 s, so it is polled as rarely as the 6 s allow.
    """
    if pushed:
        hold = min(500 * MS, max(100 * MS, drain_grace / 4))
        hold_grace = max(100 * MS, hold / 2)
        return DiscoveryTimeouts(
            hold,
            hold_grace,
            connect=200 * MS,
            answer=350 * MS,
            short_hold=MS,
            backoff=50 * MS,
            max_backoff=50 * MS,
            first_answer=500 * MS,
        )
    return DiscoveryTimeouts(
        hold=2500 * MS,
        hold_grace=400 * MS,
        connect=400 * MS,
        answer=2100 * MS,
        short_hold=MS,
        backoff=100 * MS,
        max_backoff=1500 * MS,
        first_answer=300 * MS,
    )
