"""The time since a majority of the voters was connected, as one head knows it. No I/O; callers pass the time.

Only a leader hears a majority directly. When a majority has answered a heartbeat round, the majority was
connected no earlier than the start of that round, so the leader counts from the start of the round and not
from the last answer. Other heads receive the contact as an age, and count it from when they sent their
request: relaying a contact never makes it younger, however many heads relay it and however long one of them
was paused. Two heads that poll each other therefore cannot keep a contact fresh.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

NO_TIME = timedelta(0)
MAX_CLOCK_DRIFT = 1.05  # maximum ratio between the rates of two heads' clocks
ROUND_SPACING = timedelta(milliseconds=10)  # rounds closer together than this share the start of the first
MAX_ROUNDS = 1_024  # stored round starts; the oldest are dropped, and late answers to those are not counted


@dataclass(slots=True)
class MajorityContact:
    """The latest time, on this head's clock, at which a majority is known to have been connected."""

    latest: timedelta | None = None

    def record(self, at: timedelta | None) -> None:
        """Record that a majority was connected at time `at` or later; None changes nothing."""
        if at is not None and (self.latest is None or at > self.latest):
            self.latest = at

    def record_report(self, asked_at: timedelta, wait_at_answerer: timedelta, age: timedelta) -> None:
        """Record a majority contact that another head reported as an age.

        Args:
            asked_at: When the request was sent, on this head's clock.
            wait_at_answerer: How long the answering head held the request before it answered; the answer was
                sent no earlier than `asked_at` plus this, divided by the maximum clock drift.
            age: The age of the contact at the answering head when it answered.
        """
        self.record(asked_at + max(NO_TIME, wait_at_answerer) / MAX_CLOCK_DRIFT - max(NO_TIME, age))

    def age(self, now: timedelta) -> timedelta | None:
        """Return the time since a majority was connected; None if no contact is known."""
        return None if self.latest is None else max(NO_TIME, now - self.latest)


@dataclass(slots=True, frozen=True)
class Round:
    """A heartbeat round of a leader: its number, and its start on the leader's clock."""

    number: int
    began_at: timedelta


@dataclass(slots=True)
class RoundStarts:
    """The start times of the latest heartbeat rounds of one leader."""

    starts: deque[Round] = field(default_factory=lambda: deque(maxlen=MAX_ROUNDS))

    def record(self, number: int, now: timedelta) -> None:
        """Store the start of a round, unless one started less than ROUND_SPACING before: it covers both."""
        if not self.starts or now >= self.starts[-1].began_at + ROUND_SPACING:
            self.starts.append(Round(number, now))

    def start_of(self, number: int) -> timedelta | None:
        """Return the start of a round, or of the one that covers it, and drop all rounds before it.

        Returns None if the round is no longer stored.
        """
        while len(self.starts) > 1 and self.starts[1].number <= number:
            self.starts.popleft()
        if not self.starts or self.starts[0].number > number:
            return None
        return self.starts[0].began_at
