"""Rules that can never match, as an earlier rule covers them.

Not all pairs are compared: an earlier rule is kept under one of its demands, and a later one looks only
where its own demands point. What is reported is certain; other rules may be covered in a way that needs more
than parts of conditions to prove.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Demand, Dimension

Key = tuple[Dimension, str]
MOST_COMPARED = 64  # earlier rules that one is compared with: a bound on load time, not on what is right


class Coverage:
    """Takes rules in order and finds for each an earlier rule that covers it."""

    def __init__(self, conditions: Sequence[Condition]) -> None:
        self.conditions = conditions
        self.population: Counter[Key] = Counter(key for c in conditions for key in own_keys(c))
        self.anchored: dict[Key, list[int]] = {}
        self.always: list[int] = []  # without a demand: under no key
        self.lengths = sorted(
            {len(v) for c in conditions for d in c.demands if d.dimension == PREFIX for v in d.values}
        )

    def covered(self) -> Iterator[tuple[int, int]]:
        """Pairs of a rule and the earlier one that covers it, by position."""
        for i, mine in enumerate(self.conditions):
            if mine.never or mine.contradiction() is not None:
                continue  # reported for that
            found = next((j for j in self.candidates(mine) if self.conditions[j].covers(mine)), None)
            if found is not None:
                yield i, found
            self.anchor(i, mine)

    def candidates(self, mine: Condition) -> Iterator[int]:
        """The earlier rules that may cover this one, MOST_COMPARED at most for each key."""
        yield from self.always[:MOST_COMPARED]
        for demand in mine.demands:
            for key in self.pointed(demand):
                yield from self.anchored.get(key, ())[:MOST_COMPARED]

    def pointed(self, demand: Demand) -> Iterator[Key]:
        """The keys of demands that this one may imply.

        One of several values is enough, as all of them must be implied.
        """
        value = min(demand.values)
        yield demand.dimension, value
        if demand.dimension in (PREFIX, PATH):
            for length in self.lengths:
                if length <= len(value):
                    yield PREFIX, value[:length]

    def anchor(self, i: int, mine: Condition) -> None:
        """Keep a rule under the demand that the fewest rules share, once for each of its values."""
        demands = [d for d in mine.demands if d.values]
        if not demands:
            self.always.append(i)
            return
        rarest = min(demands, key=lambda d: sum(self.population[(d.dimension, v)] for v in d.values))
        for value in rarest.values:
            self.anchored.setdefault((rarest.dimension, value), []).append(i)


def own_keys(condition: Condition) -> Iterator[Key]:
    """The keys of all demands of a condition."""
    for demand in condition.demands:
        for value in demand.values:
            yield demand.dimension, value
