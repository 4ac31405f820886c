"""Timeouts of following the node list, chosen so that a change takes effect in time.

A watch may fall silent in the moment in which it was sent. A change it misses is binding 6 s after discovery
had it and could be reached. Where lists are pushed to an agent, a change is binding as soon as the agent has
it, which leaves only the grace period of the drain rule. The network code keeps to these figures; the tests
check them against those bounds.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

COUNTS_AS_NOTIFIED = timedelta(seconds=6)  # the operators' term, whatever else is allowed
MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class ListTimes:
    """The timeouts of one deployment."""

    hold: timedelta  # for how long discovery is asked to hold a watch; drawn from three quarters of it up
    late: timedelta  # past that the watch has fallen silent
    dial: timedelta  # for a connection to come up
    answer: timedelta  # for the answer to a call that is not held, its dial included
    brief: timedelta  # what such a call asks discovery to wait
    pause: timedelta  # before the first call after one that failed
    longest_pause: timedelta  # pauses double up to this, where calls cost
    first: timedelta  # for how long a start waits for its first answer

    @property
    def silence(self) -> timedelta:
        """The longest time from a change that a watch misses to its arrival.

        It includes a first new connection that never comes up.
        """
        return self.hold + self.late + self.pause + self.dial + 2 * self.pause + self.answer

    @property
    def outage(self) -> timedelta:
        """The longest time from discovery's return to its answer, with a call or a pause just begun."""
        return max(self.answer, self.longest_pause) + self.pause + self.answer


def list_times(pushed: bool, drain_grace: timedelta) -> ListTimes:
    """The timeouts of a deployment.

    With `pushed` an agent on this machine answers at no cost, so it is asked often, which leaves half of the
    drain grace. Otherwise one discovery service serves all heads in turn and refuses calls after 2 s, so it
    is asked as seldom as the 6 s allow.
    """
    if pushed:
        hold = min(500 * MS, max(100 * MS, drain_grace / 4))
        late = max(100 * MS, hold / 2)
        return ListTimes(hold, late, 200 * MS, 350 * MS, MS, 50 * MS, 50 * MS, 500 * MS)
    return ListTimes(2500 * MS, 400 * MS, 400 * MS, 2100 * MS, MS, 100 * MS, 1500 * MS, 300 * MS)
