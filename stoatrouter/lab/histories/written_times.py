"""When attempts were written, by their heads' debug records, beside when their nodes saw them.

A node that was held up sees an attempt late, though it was written in time. Only a record shows that: where
one is missing, what the node saw is all there is.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from stoatrouter.lab.histories.request_lines import Attempt, AttemptWritten, RequestHistory


@dataclass(slots=True, frozen=True)
class TimedAttempt:
    """An attempt as its node saw it, with what its head recorded of it."""

    seen: Attempt
    record: AttemptWritten | None = None  # of its writing, if it is known which one is its own
    earliest: float = float("inf")  # at which it may have been written, by any record that may be its own

    @property
    def last_moment(self) -> float:
        """The latest moment at which its first byte may have been written."""
        return self.seen.first if self.record is None else self.record.at

    @property
    def first_moment(self) -> float:
        """The earliest moment from which its effect may count."""
        return min(self.seen.first, self.earliest)


def timed_attempts(request: RequestHistory) -> list[TimedAttempt]:
    """The attempts of a request, in the order in which their nodes saw them, with their records."""
    timed: dict[int, TimedAttempt] = {}
    for attempts, records in by_node(request):
        for attempt in attempts:
            timed[id(attempt)] = TimedAttempt(attempt)
        if len(records) < len(attempts):
            continue  # whose record is missing is not known
        earliest = records[0].began
        # From the end on, each has the latest that it can have: none is taken for earlier than it was.
        for attempt in reversed(attempts):
            while records and records[-1].began > attempt.first:
                records.pop()
            if records:
                timed[id(attempt)] = TimedAttempt(attempt, records.pop(), earliest)
    return [timed[id(attempt)] for attempt in request.attempts]


def check_order(request: RequestHistory) -> Iterator[str]:
    """Check that no node saw an attempt before its head began to write it."""
    for attempts, records in by_node(request):
        if len(records) < len(attempts):
            continue  # what was seen first may be what has no record
        for attempt, record in zip(attempts, records, strict=False):
            if record.began > attempt.first:
                yield (
                    f"{request.id}: seen by {attempt.node} at {attempt.first:.3f}, before its head "
                    f"began to write it at {record.began:.3f}"
                )


def by_node(request: RequestHistory) -> Iterator[tuple[list[Attempt], list[AttemptWritten]]]:
    """The attempts at each node and the records of them, both in order."""
    records: dict[str, list[AttemptWritten]] = defaultdict(list)
    for record in sorted(request.attempts_written, key=lambda line: line.began):
        records[record.node].append(record)
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(request.attempts, key=lambda line: line.first):
        attempts[attempt.node].append(attempt)
    for node, seen in attempts.items():
        yield seen, records[node]


@dataclass(slots=True, frozen=True)
class Delay:
    """How long after something an attempt began, and how long it may: seconds."""

    violation: str  # what it is where that is too long
    limit: float
    seen: float  # by its node's clock
    written: float | None  # by its head's record

    @property
    def is_violation(self) -> bool:
        """Whether it was too long; the record decides where there is one."""
        return (self.seen if self.written is None else self.written) > self.limit

    @property
    def is_read_late(self) -> bool:
        """Whether only the node was late."""
        return self.written is not None and self.written <= self.limit < self.seen

    def __str__(self) -> str:
        """The attempt, with both times."""
        written = "with no record" if self.written is None else f"written after {self.written:.3f} s"
        return f"{self.violation} ({written}, seen after {self.seen:.3f} s, limit {self.limit:.3f} s)"
