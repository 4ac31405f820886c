"""The tables of one head: the one in force, one in shadow, and what they decided. No I/O, no clock.

A request is decided once, by the table in force at that moment, and keeps what was decided to its end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.expressions.runtime import stable_hash
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.placements import Conflict, Placements
from stoatrouter.matching.table import Decision, Refusal, Table

MOST_DIFFERENCES = 1_000  # pairs of rules whose differences are counted apart


@dataclass(slots=True)
class Matcher:
    """Decides requests. `windows` are the repeat windows of keyed classes by number; others have none."""

    table: Table
    windows: dict[int, timedelta] = field(default_factory=dict)
    shadow: Table | None = None
    placements: Placements = field(default_factory=Placements)
    matched: Counter[tuple[str, str]] = field(default_factory=Counter)  # by scope and rule
    differences: Counter[tuple[str, str]] = field(default_factory=Counter)  # rule in force, rule in shadow
    shadowed: int = 0  # requests that both tables were asked about

    def replace(self, table: Table) -> None:
        """Put a table in force, whole. Placements stay: they are of requests, not of tables."""
        self.table = table

    def put_in_shadow(self, table: Table | None) -> None:
        """Ask another table beside the one in force, or none; counts start anew."""
        self.shadow, self.shadowed = table, 0
        self.differences.clear()

    def decide(self, given: Input, now: timedelta, idempotency_key: str | None = None) -> Decision | Refusal:
        """What becomes of a request."""
        home, rule = self.table.match(given)
        decided = self.table.decided(home, rule, given)
        if self.shadow is not None:
            self.compare(given, decided, self.shadow.decide(given))
        self.matched[(decided.scope or "", decided.rule or "")] += 1
        if idempotency_key is None or home is None:
            return decided
        return self.placed(given, decided, idempotency_key, now)

    def placed(
        self, given: Input, decided: Decision | Refusal, key: str, now: timedelta
    ) -> Decision | Refusal:
        """A keyed request is placed as its first try was, also where the table has changed since."""
        place = (given.host, given.path, key)
        fingerprint = stable_hash(f"{given.method} {given.raw_query}")
        try:
            before = self.placements.find(place, fingerprint, now)
        except Conflict:
            return Refusal(422, "this Idempotency-Key came with another request", decided.scope)
        if before is not None:
            decided = before
        if isinstance(decided, Decision) and (window := self.windows.get(decided.request_class)):
            self.placements.keep(place, decided, fingerprint, now, window)
        return decided

    def compare(self, given: Input, decided: Decision | Refusal, other: Decision | Refusal) -> None:
        """Count where the table in shadow decides otherwise, by rule."""
        self.shadowed += 1
        if alike(decided, other):
            return
        pair = (named(decided), named(other))
        # Guards memory: a pair of large tables has many pairs of rules.
        if pair not in self.differences and len(self.differences) >= MOST_DIFFERENCES:
            pair = ("others", "others")
        self.differences[pair] += 1


def named(decided: Decision | Refusal) -> str:
    return f"{decided.scope or '-'}/{decided.rule or '-'}"


def alike(a: Decision | Refusal, b: Decision | Refusal) -> bool:
    """Whether two tables decide alike; the names of rules do not matter."""
    if isinstance(a, Refusal) or isinstance(b, Refusal):
        return (
            isinstance(a, Refusal) and isinstance(b, Refusal) and (a.status, a.reason) == (b.status, b.reason)
        )
    return placing(a) == placing(b)


def placing(d: Decision) -> tuple[object, ...]:
    return (d.request_class, d.volume, d.plan, d.key, d.shard, d.units, d.hosts, d.repeat, d.deadline)
