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
CLOCK_DRIFT = 1.05  # clocks of two heads run apart by no more
ROUND_SPACING = timedelta(milliseconds=10)  # rounds closer than this count from the first of them
MOST_ROUNDS = 1_024  # beginnings that are kept; the oldest go first, and a late answer then proves nothing


@dataclass(slots=True)
class MajorityContact:
    """The latest moment, on this head's clock, at which a majority is known to have been connected."""

    at: timedelta | None = None

    def seen(self, at: timedelta | None) -> None:
        """A majority was connected at this moment or later."""
        if at is not None and (self.at is None or at > self.at):
            self.at = at

    def learned(self, asked_at: timedelta, wait_at_answerer: timedelta, age: timedelta) -> None:
        """Learn of a majority from an answer that reported its age.

        Args:
            asked_at: When the question was asked, on this head's clock.
            wait_at_answerer: How long the answering head had the question before it answered; the answer
                was given no earlier than `asked_at` plus this, slowed by the most drift of clocks.
            age: How long before its answer the answering head knew of a connected majority.
        """
        self.seen(asked_at + max(NO_TIME, wait_at_answerer) / CLOCK_DRIFT - max(NO_TIME, age))

    def age(self, now: timedelta) -> timedelta | None:
        """How long ago it was; None: it is not known that there ever was one."""
        return None if self.at is None else max(NO_TIME, now - self.at)


@dataclass(slots=True)
class RoundStarts:
    """When the rounds of one leader began."""

    starts: deque[tuple[int, timedelta]] = field(default_factory=lambda: deque(maxlen=MOST_ROUNDS))

    def began(self, number: int, now: timedelta) -> None:
        """Remember a round, unless one began just before: that one stands for both."""
        if not self.starts or now >= self.starts[-1][1] + ROUND_SPACING:
            self.starts.append((number, now))

    def start_of(self, number: int) -> timedelta | None:
        """When a round began, or one just before it; None: too long ago. Forgets the rounds before."""
        while len(self.starts) > 1 and self.starts[1][0] <= number:
            self.starts.popleft()
        if not self.starts or self.starts[0][0] > number:
            return None
        return self.starts[0][1]
