"""Decides requests by the active table, compares a shadow table and counts decisions. No I/O, no clock.

A request is decided once, by the table that is active at that time, and keeps the decision until it ends.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.expressions.runtime import stable_hash
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.placements import KeyConflictError, PlacementKey, Placements
from stoatrouter.matching.table import Table

MAX_DIFFERENCES = 1_000  # pairs of rules whose differences are counted separately
OTHER_RULES = ("others", "others")  # the pair under which all further differences are counted


@dataclass(slots=True)
class Matcher:
    """Decides requests.

    Attributes:
        table: The active table.
        windows: How long nodes remember idempotency keys, by class index; only idempotent classes have one.
        shadow: The shadow table, whose decisions are only compared.
        placements: The stored decisions of idempotency keys.
        matched: Counts of requests by scope and rule.
        differences: Counts of requests that the shadow table decides differently, by both rules.
        shadowed: The number of requests that both tables decided.
    """

    table: Table
    windows: dict[int, timedelta] = field(default_factory=dict)
    shadow: Table | None = None
    placements: Placements = field(default_factory=Placements)
    matched: Counter[tuple[str, str]] = field(default_factory=Counter)
    differences: Counter[tuple[str, str]] = field(default_factory=Counter)
    shadowed: int = 0

    def replace(self, table: Table) -> None:
        """Activate a table. Placements are kept, as they belong to requests and not to tables."""
        self.table = table

    def set_shadow(self, table: Table | None) -> None:
        """Set or remove the shadow table and reset the counts of its comparison."""
        self.shadow = table
        self.shadowed = 0
        self.differences.clear()

    def decide(
        self, request: Input, now: timedelta, idempotency_key: str | None = None
    ) -> Decision | Refusal:
        """Decide a request.

        Args:
            request: The request.
            now: The time since the Unix epoch.
            idempotency_key: The client's key, if any; only requests with one reuse an earlier decision.
        """
        match = self.table.match(request)
        decision = self.table.decide_match(match, request)
        if self.shadow is not None:
            self.compare(decision, self.shadow.decide(request))
        self.matched[(decision.scope or "", decision.rule or "")] += 1
        if idempotency_key is None or match.scope is None:
            return decision
        return self.place_as_before(request, decision, idempotency_key, now)

    def place_as_before(
        self, request: Input, decision: Decision | Refusal, idempotency_key: str, now: timedelta
    ) -> Decision | Refusal:
        """Decide an idempotent request as its first attempt was, even if the table has changed since."""
        key = PlacementKey(request.host, request.path, idempotency_key)
        fingerprint = stable_hash(f"{request.method} {request.raw_query}")
        try:
            earlier = self.placements.find(key, fingerprint, now)
        except KeyConflictError:
            return Refusal(422, "this Idempotency-Key came with another request", decision.scope)
        if earlier is not None:
            decision = earlier
        if isinstance(decision, Decision) and (window := self.windows.get(decision.request_class)):
            self.placements.store(key, decision, fingerprint, now, window)
        return decision

    def compare(self, decision: Decision | Refusal, shadow: Decision | Refusal) -> None:
        """Count a request that both tables decided, and, if the decisions differ, the pair of rules."""
        self.shadowed += 1
        if are_equivalent(decision, shadow):
            return
        pair = (rule_label(decision), rule_label(shadow))
        # Bounds memory: two large tables have many pairs of rules.
        if pair not in self.differences and len(self.differences) >= MAX_DIFFERENCES:
            pair = OTHER_RULES
        self.differences[pair] += 1


def rule_label(decision: Decision | Refusal) -> str:
    """Return the scope and rule of a decision, as a label for counts of differences."""
    return f"{decision.scope or '-'}/{decision.rule or '-'}"


def are_equivalent(first: Decision | Refusal, second: Decision | Refusal) -> bool:
    """Return whether two decisions are the same apart from the names of scope and rule."""
    if isinstance(first, Decision) and isinstance(second, Decision):
        return yielded_values(first) == yielded_values(second)
    if isinstance(first, Refusal) and isinstance(second, Refusal):
        return (first.status, first.reason) == (second.status, second.reason)
    return False


def yielded_values(decision: Decision) -> tuple[object, ...]:
    """Return the values of a decision without the names of scope and rule."""
    return (
        decision.request_class,
        decision.volume,
        decision.plan,
        decision.key,
        decision.shard,
        decision.units,
        decision.hosts,
        decision.repeat,
        decision.deadline,
    )
