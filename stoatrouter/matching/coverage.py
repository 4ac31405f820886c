"""Rules that can never match, as an earlier rule covers them.

Not all pairs are compared: an earlier rule is indexed under one of its constraints, and a later one looks
only where its own constraints point. What is reported is certain; other rules may be covered in a way that
needs more than parts of conditions to prove.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Constraint, Dimension

# Earlier rules that one is compared with for each key: a bound on load time, not on what is right.
MAX_COMPARED = 64


class Key(NamedTuple):
    """One value of a constraint, under which rules are indexed."""

    dimension: Dimension
    value: str


class CoveredRule(NamedTuple):
    """A rule that can never match, and the earlier one that covers it, by position."""

    rule: int
    covered_by: int


class Coverage:
    """Takes rules in order and finds for each an earlier rule that covers it."""

    def __init__(self, conditions: Sequence[Condition]) -> None:
        """Prepare the search.

        Args:
            conditions: The conditions of a scope's rules, in order.
        """
        self.conditions = conditions
        self.population: Counter[Key] = Counter(
            key for condition in conditions for key in condition_keys(condition)
        )
        self.anchored: dict[Key, list[int]] = {}
        self.unconstrained: list[int] = []  # rules without a constraint: under no key
        self.prefix_lengths = sorted({len(key.value) for key in self.population if key.dimension == PREFIX})

    def find_covered(self) -> Iterator[CoveredRule]:
        """Yield the rules that an earlier one covers, in order."""
        for position, condition in enumerate(self.conditions):
            if condition.is_false or condition.find_contradiction() is not None:
                continue  # reported for that
            candidates = self.find_candidates(condition)
            covering = next((c for c in candidates if self.conditions[c].covers(condition)), None)
            if covering is not None:
                yield CoveredRule(position, covering)
            self.anchor(position, condition)

    def find_candidates(self, condition: Condition) -> Iterator[int]:
        """Yield the earlier rules that may cover a condition, MAX_COMPARED at most for each key."""
        yield from self.unconstrained[:MAX_COMPARED]
        for constraint in condition.constraints:
            for key in self.implied_keys(constraint):
                yield from self.anchored.get(key, ())[:MAX_COMPARED]

    def implied_keys(self, constraint: Constraint) -> Iterator[Key]:
        """Yield the keys of constraints that this one may imply.

        One of several values is enough, as all of them must be implied.
        """
        value = min(constraint.values)
        yield Key(constraint.dimension, value)
        if constraint.dimension in (PREFIX, PATH):
            for length in self.prefix_lengths:
                if length <= len(value):
                    yield Key(PREFIX, value[:length])

    def anchor(self, position: int, condition: Condition) -> None:
        """Index a rule under its constraint that the fewest rules share, once for each of its values."""
        constraints = [constraint for constraint in condition.constraints if constraint.values]
        if not constraints:
            self.unconstrained.append(position)
            return
        rarest = min(constraints, key=self.count_sharing)
        for value in rarest.values:
            self.anchored.setdefault(Key(rarest.dimension, value), []).append(position)

    def count_sharing(self, constraint: Constraint) -> int:
        """Count the rules that share a value of a constraint."""
        return sum(self.population[Key(constraint.dimension, value)] for value in constraint.values)


def condition_keys(condition: Condition) -> Iterator[Key]:
    """Yield the keys of all constraints of a condition."""
    for constraint in condition.constraints:
        for value in constraint.values:
            yield Key(constraint.dimension, value)
