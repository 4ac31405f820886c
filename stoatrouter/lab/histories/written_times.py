"""Matches the times at which nodes saw attempts with the debug records of when heads wrote them.

A delayed node sees an attempt late although it was written in time. Only a record can show that; without one,
the time at the node is used.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from stoatrouter.lab.histories.request_lines import Attempt, AttemptWritten, RequestHistory


@dataclass(slots=True, frozen=True)
class TimedAttempt:
    """An attempt as seen by its node, with the matching record of its head."""

    seen: Attempt
    record: AttemptWritten | None = None  # of its write, if it can be identified
    earliest: float = float("inf")  # time at which it may have been written, by any record that may match

    @property
    def latest_write(self) -> float:
        """The latest time at which the first byte may have been written."""
        return self.seen.first if self.record is None else self.record.at

    @property
    def earliest_effect(self) -> float:
        """The earliest time from which its effect may count."""
        return min(self.seen.first, self.earliest)


def timed_attempts(request: RequestHistory) -> list[TimedAttempt]:
    """Return the attempts of a request with their records, in the order in which nodes saw them."""
    timed: dict[int, TimedAttempt] = {}
    for attempts, records in by_node(request):
        for attempt in attempts:
            timed[id(attempt)] = TimedAttempt(attempt)
        if len(records) < len(attempts):
            continue  # it is unknown which attempt has no record
        earliest = records[0].began
        # Backwards, each attempt gets its latest possible record, so that none counts as written too early.
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
            continue  # the attempt that was seen first may have no record
        for attempt, record in zip(attempts, records, strict=False):
            if record.began > attempt.first:
                yield (
                    f"{request.id}: seen by {attempt.node} at {attempt.first:.3f}, before its head "
                    f"began to write it at {record.began:.3f}"
                )


def by_node(request: RequestHistory) -> Iterator[tuple[list[Attempt], list[AttemptWritten]]]:
    """Yield the attempts at each node and their records, both in order."""
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
    """The delay of an attempt after some event, and its limit, in seconds."""

    violation: str  # description of the violation if the limit is exceeded
    limit: float
    seen: float  # by the time at its node
    written: float | None  # by the record of its head

    @property
    def is_violation(self) -> bool:
        """Whether the limit is exceeded, by the record if there is one."""
        return (self.seen if self.written is None else self.written) > self.limit

    @property
    def is_read_late(self) -> bool:
        """Whether the limit is exceeded only by the time at the node."""
        return self.written is not None and self.written <= self.limit < self.seen

    def __str__(self) -> str:
        """Return the description with both times and the limit."""
        written = "with no record" if self.written is None else f"written after {self.written:.3f} s"
        return f"{self.violation} ({written}, seen after {self.seen:.3f} s, limit {self.limit:.3f} s)"
