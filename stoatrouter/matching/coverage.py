"""Finds rules that can never match because an earlier rule covers them.

Not all pairs are compared: an earlier rule is indexed under one of its constraints, and a later rule is
compared only with those found under its own constraints. Every reported rule is certainly unreachable;
further rules may be covered in ways that a comparison of conjuncts cannot prove.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Constraint, Dimension

# Earlier rules compared with a rule for each key. Bounds the load time: a covered rule may go unreported, but
# no rule is reported wrongly.
MAX_COMPARED = 64


class ConstraintKey(NamedTuple):
    """One value of a constraint; rules are indexed by it."""

    dimension: Dimension
    value: str


class CoveredRule(NamedTuple):
    """The positions of a rule that can never match and of the earlier rule that covers it."""

    rule: int
    covered_by: int


class Coverage:
    """Searches for the rules of a scope that an earlier rule covers."""

    def __init__(self, conditions: Sequence[Condition]) -> None:
        """Prepare the search.

        Args:
            conditions: The conditions of a scope's rules, in order.
        """
        self.conditions = conditions
        self.rules_per_key: Counter[ConstraintKey] = Counter(
            key for condition in conditions for key in constraint_keys(condition)
        )
        self.rules_by_key: dict[ConstraintKey, list[int]] = {}
        self.unconstrained: list[int] = []  # rules without a constraint, which have no key
        self.prefix_lengths = sorted(
            {len(key.value) for key in self.rules_per_key if key.dimension == PREFIX}
        )

    def find_covered(self) -> Iterator[CoveredRule]:
        """Yield the rules that an earlier one covers, in order."""
        for position, condition in enumerate(self.conditions):
            if condition.is_false or condition.find_contradiction() is not None:
                continue  # reported as a false or contradictory condition
            candidates = self.find_candidates(condition)
            covering = next((c for c in candidates if self.conditions[c].covers(condition)), None)
            if covering is not None:
                yield CoveredRule(position, covering)
            self.index_rule(position, condition)

    def find_candidates(self, condition: Condition) -> Iterator[int]:
        """Yield the earlier rules that may cover a condition, at most MAX_COMPARED for each key."""
        yield from self.unconstrained[:MAX_COMPARED]
        for constraint in condition.constraints:
            for key in self.implied_keys(constraint):
                yield from self.rules_by_key.get(key, ())[:MAX_COMPARED]

    def implied_keys(self, constraint: Constraint) -> Iterator[ConstraintKey]:
        """Yield the keys of the constraints that this one may imply.

        A single value is enough: an implied constraint covers every value of this one.
        """
        value = min(constraint.values)
        yield ConstraintKey(constraint.dimension, value)
        if constraint.dimension in (PREFIX, PATH):
            for length in self.prefix_lengths:
                if length <= len(value):
                    yield ConstraintKey(PREFIX, value[:length])

    def index_rule(self, position: int, condition: Condition) -> None:
        """Index a rule under the constraint that the fewest rules share, once for each of its values."""
        constraints = [constraint for constraint in condition.constraints if constraint.values]
        if not constraints:
            self.unconstrained.append(position)
            return
        rarest = min(constraints, key=self.count_sharing)
        for value in rarest.values:
            self.rules_by_key.setdefault(ConstraintKey(rarest.dimension, value), []).append(position)

    def count_sharing(self, constraint: Constraint) -> int:
        """Count the rules that share a value with a constraint."""
        return sum(
            self.rules_per_key[ConstraintKey(constraint.dimension, value)] for value in constraint.values
        )


def constraint_keys(condition: Condition) -> Iterator[ConstraintKey]:
    """Yield the keys of all constraints of a condition."""
    for constraint in condition.constraints:
        for value in constraint.values:
            yield ConstraintKey(constraint.dimension, value)
