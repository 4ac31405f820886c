"""Timeouts of following the node list, chosen so that a change takes effect in time.

A watch may fall silent in the moment in which it was sent. A change it misses is binding 6 s after discovery
had it and could be reached. Where lists are pushed to an agent, a change is binding as soon as the agent has
it, which leaves only the grace period of the drain rule. The network code keeps to these figures; the tests
check them against those bounds.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

MAX_NOTIFICATION_DELAY = timedelta(seconds=6)  # the operators' term, whatever else is allowed
MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class ListTimes:
    """The timeouts of one deployment."""

    hold: timedelta  # the requested hold of a watch; drawn from three quarters of it up
    hold_grace: timedelta  # past the hold, until the watch counts as silent
    connect: timedelta  # for a connection to open
    answer: timedelta  # for the answer to a call that is not held, its connect included
    short_hold: timedelta  # the hold that such a call requests
    backoff: timedelta  # before the first call after one that failed
    max_backoff: timedelta  # the backoff doubles up to this, where calls cost
    first_answer: timedelta  # for how long a start waits for its first answer

    @property
    def max_change_delay(self) -> timedelta:
        """The longest time from a change that a watch misses to its arrival.

        It includes a first new connection that never opens.
        """
        return self.hold + self.hold_grace + self.backoff + self.connect + 2 * self.backoff + self.answer

    @property
    def max_recovery_delay(self) -> timedelta:
        """The longest time from discovery's return to its answer, with a call or a backoff just begun."""
        return max(self.answer, self.max_backoff) + self.backoff + self.answer


def list_times(pushed: bool, drain_grace: timedelta) -> ListTimes:
    """The timeouts of a deployment.

    With `pushed` an agent on this machine answers at no cost, so it is polled often, which leaves half of the
    drain grace. Otherwise one discovery service serves all heads in turn and rejects calls after 2 s, so it
    is polled as seldom as the 6 s allow.
    """
    if pushed:
        hold = min(500 * MS, max(100 * MS, drain_grace / 4))
        hold_grace = max(100 * MS, hold / 2)
        return ListTimes(
            hold,
            hold_grace,
            connect=200 * MS,
            answer=350 * MS,
            short_hold=MS,
            backoff=50 * MS,
            max_backoff=50 * MS,
            first_answer=500 * MS,
        )
    return ListTimes(
        hold=2500 * MS,
        hold_grace=400 * MS,
        connect=400 * MS,
        answer=2100 * MS,
        short_hold=MS,
        backoff=100 * MS,
        max_backoff=1500 * MS,
        first_answer=300 * MS,
    )
