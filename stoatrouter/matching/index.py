"""An index of rules: a decision tree over literal constraints, so that not all rules are tried.

Each node looks at one dimension. A rule stands below the values that it requires there, or in the rest if it
requires none. The result is positions in the list, in order; the first rule that matches wins, exactly as if
all were tried.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Dimension

MAX_LEAF_RULES = 4  # so few rules are tried in turn: a look-up costs about as much
MAX_DEPTH = 12  # nodes, one below the other
MAX_CANDIDATES = 16  # criteria that are compared at one node, those that the most rules share
Read = Callable[[Any], str | None]
# What a node looks at: a dimension, or so many first characters of the path.
Criterion = Dimension | int
MAP_ATTRIBUTES = {"header": "headers", "query": "query", "cookie": "cookies"}


def create_reader(dimension: Dimension) -> Read:
    """Create the function that reads a dimension of a request; it returns None where there is no value."""
    kind, name = dimension
    if kind == "segment":
        position = int(name)
        return lambda request: request.segments[position] if len(request.segments) > position else None
    if kind in MAP_ATTRIBUTES:
        mapping = MAP_ATTRIBUTES[kind]
        return lambda request: getattr(request, mapping).get(name)
    attribute = "request_class" if kind == "class" else kind
    return lambda request: getattr(request, attribute)


@dataclass(slots=True, frozen=True)
class Leaf:
    """A few rules that are tried in turn."""

    positions: tuple[int, ...]

    def find(self, request: Any) -> Sequence[int]:
        """Find the positions of the rules to try."""
        return self.positions

    def max_steps(self, costs: Sequence[int]) -> int:
        """The steps of trying all of these rules; `costs` are the steps of each rule of the list."""
        return sum(costs[position] for position in self.positions)


@dataclass(slots=True, frozen=True)
class ByValue:
    """A node that looks up the one value of a dimension."""

    read: Read
    children: dict[str, Tree]
    rest: Tree

    def find(self, request: Any) -> Sequence[int]:
        """Find the positions of the rules to try, in the order of the list."""
        child = self.children.get(self.read(request))  # type: ignore[arg-type]  # None is no key
        if child is None:
            return self.rest.find(request)
        return merge(child.find(request), self.rest.find(request))

    def max_steps(self, costs: Sequence[int]) -> int:
        """The most steps that a request may take below this node."""
        return branch_steps(self.children.values(), self.rest, costs)


@dataclass(slots=True, frozen=True)
class ByPrefix:
    """A node that looks up the first `length` characters of the path.

    Constraints of a complete path stand below its prefix as well.
    """

    length: int
    children: dict[str, Tree]
    rest: Tree

    def find(self, request: Any) -> Sequence[int]:
        """Find the positions of the rules to try, in the order of the list."""
        child = self.children.get(request.path[: self.length])
        if child is None:
            return self.rest.find(request)
        return merge(child.find(request), self.rest.find(request))

    def max_steps(self, costs: Sequence[int]) -> int:
        """The most steps that a request may take below this node."""
        return branch_steps(self.children.values(), self.rest, costs)


Tree = Leaf | ByValue | ByPrefix


def branch_steps(children: Iterable[Tree], rest: Tree, costs: Sequence[int]) -> int:
    """The most steps that a request may take at a node: the look-up, one child and the rest."""
    return 1 + rest.max_steps(costs) + max((child.max_steps(costs) for child in children), default=0)


def merge(first: Sequence[int], second: Sequence[int]) -> Sequence[int]:
    """Merge two lists of positions in ascending order."""
    if not first or not second:
        return first or second
    return sorted((*first, *second))


def build(conditions: Sequence[Condition]) -> Tree:
    """Build the tree over a list of conditions."""
    return build_subtree(conditions, tuple(range(len(conditions))), frozenset(), 0)


def build_subtree(
    conditions: Sequence[Condition], positions: tuple[int, ...], used: frozenset[Criterion], depth: int
) -> Tree:
    """Build the subtree over some of the conditions.

    Args:
        conditions: All conditions.
        positions: The positions of those in the subtree, ascending.
        used: The criteria of the nodes above.
        depth: How many nodes there are above.
    """
    if len(positions) <= MAX_LEAF_RULES or depth >= MAX_DEPTH:
        return Leaf(positions)
    criterion = choose_criterion(conditions, positions, used)
    if criterion is None:
        return Leaf(positions)
    groups: dict[str, list[int]] = {}
    rest: list[int] = []
    for position in positions:
        values = required_values(conditions[position], criterion)
        if values is None:
            rest.append(position)
        for value in values or ():
            groups.setdefault(value, []).append(position)
    used = used | {criterion}
    children = {
        value: build_subtree(conditions, tuple(group), used, depth + 1) for value, group in groups.items()
    }
    remaining = build_subtree(conditions, tuple(rest), used, depth + 1)
    if isinstance(criterion, int):
        return ByPrefix(criterion, children, remaining)
    return ByValue(create_reader(criterion), children, remaining)


def required_values(condition: Condition, criterion: Criterion) -> frozenset[str] | None:
    """The values below which a rule stands; None where it requires nothing by this criterion."""
    for constraint in condition.constraints:
        if isinstance(criterion, int):
            is_path = constraint.dimension in (PREFIX, PATH)
            if is_path and all(len(value) >= criterion for value in constraint.values):
                return frozenset(value[:criterion] for value in constraint.values)
        elif constraint.dimension == criterion:
            return constraint.values
    return None


def choose_criterion(
    conditions: Sequence[Condition], positions: Sequence[int], used: frozenset[Criterion]
) -> Criterion | None:
    """Choose the criterion that leaves the fewest rules in the worst case; None where none helps.

    Lengths of prefixes are tried as they occur.
    """
    shared_by: Counter[Criterion] = Counter()
    for position in positions:
        shared_by.update(condition_criteria(conditions[position]))
    best: Criterion | None = None
    fewest = len(positions)
    for criterion, _ in shared_by.most_common(MAX_CANDIDATES):
        if criterion in used:
            continue
        left = count_left(conditions, positions, criterion)
        if left < fewest:
            best, fewest = criterion, left
    return best


def condition_criteria(condition: Condition) -> set[Criterion]:
    """The criteria by which a rule can be told from others."""
    criteria: set[Criterion] = set()
    for constraint in condition.constraints:
        if constraint.dimension == PREFIX:
            criteria.update(len(value) for value in constraint.values)
        else:
            criteria.add(constraint.dimension)
    return criteria


def count_left(conditions: Sequence[Condition], positions: Sequence[int], criterion: Criterion) -> int:
    """Count the rules that a criterion leaves in the worst case: the largest group and the rest."""
    group_sizes: Counter[str] = Counter()
    rest = 0
    for position in positions:
        values = required_values(conditions[position], criterion)
        if values is None:
            rest += 1
        else:
            group_sizes.update(values)
    return rest + max(group_sizes.values(), default=0)
