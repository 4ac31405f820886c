"""How long ago a majority of the voters was connected, as far as one head knows. No I/O, no clock of its own.

Only a leader hears a majority itself. A round of its messages that a majority has answered proves that the
majority was connected no earlier than the round began, so a leader counts from that beginning and not from
the last answer. Everybody else learns of it second hand, as an age, and counts from when the question was
asked: a contact never becomes younger on its way, however many heads pass it on and however long one of them
was paused. So two heads that ask each other cannot keep each other fresh.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

NO_TIME = timedelta(0)
MAX_CLOCK_DRIFT = 1.05  # clocks of two heads run apart by no more
ROUND_SPACING = timedelta(milliseconds=10)  # rounds closer than this count from the first of them
MAX_ROUNDS = 1_024  # remembered; beyond, the oldest are dropped, and a late answer to one proves nothing


@dataclass(slots=True)
class MajorityContact:
    """The latest moment, on this head's clock, at which a majority is known to have been connected."""

    latest: timedelta | None = None

    def record(self, at: timedelta | None) -> None:
        """Record that a majority was connected at this moment or later; None: nothing is known."""
        if at is not None and (self.latest is None or at > self.latest):
            self.latest = at

    def record_report(self, asked_at: timedelta, wait_at_answerer: timedelta, age: timedelta) -> None:
        """Record a majority that another head reported, by its age.

        Args:
            asked_at: When the question was asked, on this head's clock.
            wait_at_answerer: How long the answering head had the question before it answered; the answer
                was given no earlier than `asked_at` plus this, slowed by the most drift of clocks.
            age: How long before its answer the answering head knew of a connected majority.
        """
        self.record(asked_at + max(NO_TIME, wait_at_answerer) / MAX_CLOCK_DRIFT - max(NO_TIME, age))

    def age(self, now: timedelta) -> timedelta | None:
        """How long ago a majority was connected; None: it is not known that there ever was one."""
        return None if self.latest is None else max(NO_TIME, now - self.latest)


@dataclass(slots=True, frozen=True)
class Round:
    """A round of a leader's heartbeats: its number, and when it began on the leader's clock."""

    number: int
    began_at: timedelta


@dataclass(slots=True)
class RoundStarts:
    """When the latest rounds of one leader began."""

    starts: deque[Round] = field(default_factory=lambda: deque(maxlen=MAX_ROUNDS))

    def record(self, number: int, now: timedelta) -> None:
        """Remember a round, unless one began just before: that one stands for both."""
        if not self.starts or now >= self.starts[-1].began_at + ROUND_SPACING:
            self.starts.append(Round(number, now))

    def start_of(self, number: int) -> timedelta | None:
        """When a round began, or one just before it; None: too long ago. Forgets the rounds before."""
        while len(self.starts) > 1 and self.starts[1].number <= number:
            self.starts.popleft()
        if not self.starts or self.starts[0].number > number:
            return None
        return self.starts[0].began_at
