"""The reducer's records of open requests, and its counters for operators."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.core.requests import Answer, Failed, Refused, Request, Served


@dataclass(slots=True)
class Attempt:
    """The reducer's record of one attempt at a node."""

    node: str
    shard: int
    sent: timedelta
    in_flight: bool = True  # sent, with its end not yet reported
    never_ran: bool = False  # known from its outcome


@dataclass(slots=True)
class Record:
    """A request that is not yet answered or has an attempt open."""

    request: Request
    deadline: timedelta  # by when it must be answered
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    def attempt_in_flight(self, number: int) -> Attempt | None:
        """Return the attempt with this number; None if it does not exist or its end was already reported."""
        if number >= len(self.attempts) or not self.attempts[number].in_flight:
            return None
        return self.attempts[number]

    def in_flight(self) -> list[int]:
        """Return the numbers of the attempts in flight."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.in_flight]

    def may_have_run(self) -> bool:
        """Return whether any node may have executed the request."""
        return any(not attempt.never_ran for attempt in self.attempts)

    def is_finished(self) -> bool:
        """Return whether the request is answered and no attempt is in flight."""
        return self.answered and not any(attempt.in_flight for attempt in self.attempts)


@dataclass(slots=True)
class Counters:
    """Counters and gauges for operators: answers by class since the start, and open requests."""

    ok: list[int]
    shed: list[int]
    errors: list[int]
    active: int = 0

    def count(self, request_class: int, answer: Answer) -> None:
        """Count a final answer under its class and kind."""
        counts = {Served: self.ok, Refused: self.shed, Failed: self.errors}[type(answer)]
        counts[request_class] += 1


@dataclass(slots=True)
class Tally:
    """Counters that are written to the log periodically."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str) -> None:
        """Increment the counter of a name."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def take(self) -> dict[str, int]:
        """Return the counts since the last call, and reset them."""
        counts = self.counts
        self.counts = {}
        return counts
