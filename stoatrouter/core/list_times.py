"""How long each step of following the node list may take, so that a change is known in time.

A watch may fall silent in the moment in which it was asked. What it misses counts as told 6 s after discovery
had it and could be reached; where lists are pushed, what the agent got at its return counts at once, so there
only the grace of the drain rule is left. Pure figures: the network code keeps to them, the tests hold them
against those bounds."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

COUNTS_AS_TOLD = timedelta(seconds=6)  # the operators' term, whatever else is allowed
MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class ListTimes:
    """One budget, made of its parts."""

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
        """From a change that a watch misses to its answer, where the first new connection never comes up."""
        return self.hold + self.late + self.pause + self.dial + 2 * self.pause + self.answer

    @property
    def outage(self) -> timedelta:
        """From the moment in which discovery is back, one call at it just begun or a pause, to its answer."""
        return max(self.answer, self.longest_pause) + self.pause + self.answer


def list_times(pushed: bool, drain_grace: timedelta) -> ListTimes:
    """The budget of a deployment. An agent on this machine answers at no cost, so it is asked often: half of
    the grace is left. Discovery that serves all heads in turn, and refuses after 2 s, is asked as seldom as
    the term allows."""
    if pushed:
        hold = min(500 * MS, max(100 * MS, drain_grace / 4))
        late = max(100 * MS, hold / 2)
        return ListTimes(hold, late, 200 * MS, 350 * MS, MS, 50 * MS, 50 * MS, 500 * MS)
    return ListTimes(2500 * MS, 400 * MS, 400 * MS, 2100 * MS, MS, 100 * MS, 1500 * MS, 300 * MS)
