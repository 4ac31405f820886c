"""The tables of one head, in force and in shadow, and counts of their decisions. No I/O, no clock.

A request is decided once, by the table in force at that moment, and keeps that decision to its end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.expressions.runtime import stable_hash
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.placements import Conflict, Placements
from stoatrouter.matching.table import Table

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
        """Put a table in force. Placements stay, as they belong to requests and not to tables."""
        self.table = table

    def put_in_shadow(self, table: Table | None) -> None:
        """Run another table beside the one in force, or none; counts start again."""
        self.shadow, self.shadowed = table, 0
        self.differences.clear()

    def decide(self, given: Input, now: timedelta, idempotency_key: str | None = None) -> Decision | Refusal:
        """Decide a request."""
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
        """Place a keyed request as its first try was, even where the table has changed since."""
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
        """Count a request that the shadow table decides differently, by the rules that decided."""
        self.shadowed += 1
        if alike(decided, other):
            return
        pair = (named(decided), named(other))
        # Guards memory: a pair of large tables has many pairs of rules.
        if pair not in self.differences and len(self.differences) >= MOST_DIFFERENCES:
            pair = ("others", "others")
        self.differences[pair] += 1


def named(decided: Decision | Refusal) -> str:
    """The scope and rule of a decision, as differences are counted."""
    return f"{decided.scope or '-'}/{decided.rule or '-'}"


def alike(a: Decision | Refusal, b: Decision | Refusal) -> bool:
    """Whether two decisions are the same apart from the names of their rules."""
    if isinstance(a, Refusal) or isinstance(b, Refusal):
        return (
            isinstance(a, Refusal) and isinstance(b, Refusal) and (a.status, a.reason) == (b.status, b.reason)
        )
    return placing(a) == placing(b)


def placing(d: Decision) -> tuple[object, ...]:
    """All that a decision says of the request, without the names of scope and rule."""
    return (d.request_class, d.volume, d.plan, d.key, d.shard, d.units, d.hosts, d.repeat, d.deadline)
