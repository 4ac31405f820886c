"""An index of rules: a decision tree over literal demands, so that not all rules are tried.

Each node looks at one dimension. A rule stands below the values that it demands there, or in the rest if it
demands none. The result is positions in the list, in order; the first rule that matches wins, exactly as if
all were tried.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Dimension

LEAF = 4  # so few rules are tried in turn: a look-up costs about as much
DEEPEST = 12  # dimensions asked for, one below the other
Read = Callable[[Any], str | None]


def reader(dimension: Dimension) -> Read:
    """A function that reads a dimension of a request; it returns None where the request has no value."""
    kind, name = dimension
    if kind == "segment":
        at = int(name)
        return lambda given: given.segments[at] if len(given.segments) > at else None
    if kind in ("header", "query", "cookie"):
        attribute = {"header": "headers", "query": "query", "cookie": "cookies"}[kind]
        return lambda given: getattr(given, attribute).get(name)
    attribute = {"class": "request_class"}.get(kind, kind)
    return lambda given: getattr(given, attribute)


@dataclass(slots=True, frozen=True)
class Leaf:
    """A few rules that are tried in turn."""

    positions: tuple[int, ...]

    def find(self, given: Any) -> Sequence[int]:
        """The positions of the rules to try."""
        return self.positions

    def worst(self, costs: Sequence[int]) -> int:
        """The steps of trying all of these rules; `costs` are the steps of each rule of the list."""
        return sum(costs[i] for i in self.positions)


@dataclass(slots=True, frozen=True)
class ByValue:
    """A node that looks up the one value of a dimension."""

    read: Read
    children: dict[str, Tree]
    rest: Tree

    def find(self, given: Any) -> Sequence[int]:
        """The positions of the rules to try, in the order of the list."""
        child = self.children.get(self.read(given))  # type: ignore[arg-type]
        return self.rest.find(given) if child is None else merged(child.find(given), self.rest.find(given))

    def worst(self, costs: Sequence[int]) -> int:
        """The most steps that a request may take below this node."""
        return 1 + self.rest.worst(costs) + max((c.worst(costs) for c in self.children.values()), default=0)


@dataclass(slots=True, frozen=True)
class ByPrefix:
    """A node that looks up the first `length` characters of the path.

    Demands of a whole path stand below its prefix as well.
    """

    length: int
    children: dict[str, Tree]
    rest: Tree

    def find(self, given: Any) -> Sequence[int]:
        """The positions of the rules to try, in the order of the list."""
        child = self.children.get(given.path[: self.length])
        return self.rest.find(given) if child is None else merged(child.find(given), self.rest.find(given))

    def worst(self, costs: Sequence[int]) -> int:
        """The most steps that a request may take below this node."""
        return 1 + self.rest.worst(costs) + max((c.worst(costs) for c in self.children.values()), default=0)


Tree = Leaf | ByValue | ByPrefix


def merged(a: Sequence[int], b: Sequence[int]) -> Sequence[int]:
    """Both lists of positions as one, in ascending order."""
    if not a or not b:
        return a or b
    return sorted((*a, *b))


def build(conditions: Sequence[Condition]) -> Tree:
    """The tree over a list of conditions."""
    return grown(conditions, tuple(range(len(conditions))), frozenset(), 0)


def grown(
    conditions: Sequence[Condition], positions: tuple[int, ...], asked: frozenset[object], depth: int
) -> Tree:
    """The subtree over these positions; `asked` are the dimensions that the nodes above look at."""
    if len(positions) <= LEAF or depth >= DEEPEST:
        return Leaf(positions)
    best = choose(conditions, positions, asked)
    if best is None:
        return Leaf(positions)
    groups: dict[str, list[int]] = {}
    rest = []
    for i in positions:
        values = keys(conditions[i], best)
        if values is None:
            rest.append(i)
        for value in values or ():
            groups.setdefault(value, []).append(i)
    below = asked | {best}
    children = {value: grown(conditions, tuple(group), below, depth + 1) for value, group in groups.items()}
    remaining = grown(conditions, tuple(rest), below, depth + 1)
    if isinstance(best, int):
        return ByPrefix(best, children, remaining)
    return ByValue(reader(best), children, remaining)


def keys(condition: Condition, asked: Dimension | int) -> frozenset[str] | None:
    """The values below which a rule stands; None where it demands nothing in this dimension."""
    for demand in condition.demands:
        if isinstance(asked, int):
            if demand.dimension in (PREFIX, PATH) and all(len(v) >= asked for v in demand.values):
                return frozenset(v[:asked] for v in demand.values)
        elif demand.dimension == asked:
            return demand.values
    return None


def choose(
    conditions: Sequence[Condition], positions: Sequence[int], asked: frozenset[object]
) -> Dimension | int | None:
    """The dimension that leaves the fewest rules in the worst case; None where none helps.

    What is left is the largest group and the rest. Lengths of prefixes are tried as they occur.
    """
    candidates: Counter[Dimension | int] = Counter()
    for i in positions:
        found: set[Dimension | int] = set()
        for demand in conditions[i].demands:
            if demand.dimension == PREFIX:
                found.update(len(v) for v in demand.values)
            else:
                found.add(demand.dimension)
        candidates.update(found)
    best: Dimension | int | None = None
    least = len(positions)
    for candidate, _ in candidates.most_common(16):
        if candidate in asked:
            continue
        sizes: Counter[str] = Counter()
        rest = 0
        for i in positions:
            values = keys(conditions[i], candidate)
            if values is None:
                rest += 1
            else:
                sizes.update(values)
        left = rest + max(sizes.values(), default=0)
        if left < least:
            best, least = candidate, left
    return best
