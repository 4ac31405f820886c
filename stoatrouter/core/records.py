"""The reducer's records of open requests, and its counts for operators."""

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
    in_flight: bool = True  # sent, and its end not yet reported
    never_ran: bool = False  # as its end has shown


@dataclass(slots=True)
class Record:
    """A request that is not yet answered or has an attempt open."""

    request: Request
    deadline: timedelta  # by when it is owed an answer
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    def attempt_in_flight(self, number: int) -> Attempt | None:
        """The attempt of this number; None where there is none or its end was reported already."""
        if number >= len(self.attempts) or not self.attempts[number].in_flight:
            return None
        return self.attempts[number]

    def may_have_run(self) -> bool:
        """Whether any node may have executed the request."""
        return any(not attempt.never_ran for attempt in self.attempts)

    def is_finished(self) -> bool:
        """Whether the request is answered and no attempt is open."""
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
    """Counts that are written to the log from time to time."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str) -> None:
        """Count one occurrence under a name."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def take(self) -> dict[str, int]:
        """Return the counts since the last call, and start again from none."""
        counts = self.counts
        self.counts = {}
        return counts
