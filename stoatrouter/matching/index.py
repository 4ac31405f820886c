"""Index of rules: a decision tree over literal constraints, which avoids trying every rule.

Each node tests one dimension. A rule is placed below the values that it requires in that dimension, or in the
rest if it requires none. A look-up returns positions in the list of rules in ascending order; the first rule
that matches wins, exactly as if all rules were tried.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition, Dimension

MAX_LEAF_RULES = 4  # trying so few rules in turn costs about as much as a look-up
MAX_DEPTH = 12  # levels of nodes
MAX_CANDIDATES = 16  # criteria compared at one node: those that the most rules share
DimensionReader = Callable[[Any], str | None]
# What a node tests: a dimension, or the prefix of the path with this many characters.
Criterion = Dimension | int
MAP_ATTRIBUTES = {"header": "headers", "query": "query", "cookie": "cookies"}


def create_reader(dimension: Dimension) -> DimensionReader:
    """Create the function that returns a request's value in a dimension, or None if there is none."""
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
    """A few rules, which are tried in turn."""

    positions: tuple[int, ...]

    def find(self, request: Any) -> Sequence[int]:
        """Return the positions of the rules to try."""
        return self.positions

    def max_steps(self, costs: Sequence[int]) -> int:
        """Return the steps to try all rules of the leaf; `costs` holds the steps of each rule of the list."""
        return sum(costs[position] for position in self.positions)


@dataclass(slots=True, frozen=True)
class ValueNode:
    """A node that looks up the value of a dimension."""

    read: DimensionReader
    children: dict[str, Tree]
    rest: Tree

    def find(self, request: Any) -> Sequence[int]:
        """Return the positions of the rules to try, in ascending order."""
        child = self.children.get(self.read(request))  # type: ignore[arg-type]  # None is never a key
        if child is None:
            return self.rest.find(request)
        return merge(child.find(request), self.rest.find(request))

    def max_steps(self, costs: Sequence[int]) -> int:
        """Return the maximum number of steps of a request at and below this node."""
        return branch_steps(self.children.values(), self.rest, costs)


@dataclass(slots=True, frozen=True)
class PrefixNode:
    """A node that looks up the first `length` characters of the path.

    Rules that require a complete path are placed below the prefix of that path too.
    """

    length: int
    children: dict[str, Tree]
    rest: Tree

    def find(self, request: Any) -> Sequence[int]:
        """Return the positions of the rules to try, in ascending order."""
        child = self.children.get(request.path[: self.length])
        if child is None:
            return self.rest.find(request)
        return merge(child.find(request), self.rest.find(request))

    def max_steps(self, costs: Sequence[int]) -> int:
        """Return the maximum number of steps of a request at and below this node."""
        return branch_steps(self.children.values(), self.rest, costs)


Tree = Leaf | ValueNode | PrefixNode


def branch_steps(children: Iterable[Tree], rest: Tree, costs: Sequence[int]) -> int:
    """Return the maximum number of steps of a request at a node: the look-up, one child and the rest."""
    return 1 + rest.max_steps(costs) + max((child.max_steps(costs) for child in children), default=0)


def merge(first: Sequence[int], second: Sequence[int]) -> Sequence[int]:
    """Merge two ascending lists of positions."""
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
        positions: The positions of the conditions in the subtree, ascending.
        used: The criteria of the nodes above.
        depth: The number of nodes above.
    """
    if len(positions) <= MAX_LEAF_RULES or depth >= MAX_DEPTH:
        return Leaf(positions)
    criterion = choose_criterion(conditions, positions, used)
    if criterion is None:
        return Leaf(positions)
    groups, rest = group_by(conditions, positions, criterion)
    used = used | {criterion}
    children = {value: build_subtree(conditions, group, used, depth + 1) for value, group in groups.items()}
    remaining = build_subtree(conditions, rest, used, depth + 1)
    if isinstance(criterion, int):
        return PrefixNode(criterion, children, remaining)
    return ValueNode(create_reader(criterion), children, remaining)


def group_by(
    conditions: Sequence[Condition], positions: Sequence[int], criterion: Criterion
) -> tuple[dict[str, tuple[int, ...]], tuple[int, ...]]:
    """Group rules by the values that they require; return the groups and the rules that require none."""
    groups: dict[str, list[int]] = {}
    rest: list[int] = []
    for position in positions:
        values = required_values(conditions[position], criterion)
        if values is None:
            rest.append(position)
        for value in values or ():
            groups.setdefault(value, []).append(position)
    return {value: tuple(group) for value, group in groups.items()}, tuple(rest)


def required_values(condition: Condition, criterion: Criterion) -> frozenset[str] | None:
    """Return the values that a rule requires by a criterion; None if it requires none."""
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
    """Return the criterion that leaves the fewest rules in the worst case; None if none leaves fewer.

    The prefix lengths tried are those that occur in the conditions.
    """
    shared_by: Counter[Criterion] = Counter()
    for position in positions:
        shared_by.update(condition_criteria(conditions[position]))
    best: Criterion | None = None
    fewest = len(positions)
    for criterion, _ in shared_by.most_common(MAX_CANDIDATES):
        if criterion in used:
            continue
        left = count_remaining(conditions, positions, criterion)
        if left < fewest:
            best, fewest = criterion, left
    return best


def condition_criteria(condition: Condition) -> set[Criterion]:
    """Return the criteria that distinguish a rule from others."""
    criteria: set[Criterion] = set()
    for constraint in condition.constraints:
        if constraint.dimension == PREFIX:
            criteria.update(len(value) for value in constraint.values)
        else:
            criteria.add(constraint.dimension)
    return criteria


def count_remaining(conditions: Sequence[Condition], positions: Sequence[int], criterion: Criterion) -> int:
    """Count the rules that a criterion leaves in the worst case: the largest group plus the rest."""
    group_sizes: Counter[str] = Counter()
    rest = 0
    for position in positions:
        values = required_values(conditions[position], criterion)
        if values is None:
            rest += 1
        else:
            group_sizes.update(values)
    return rest + max(group_sizes.values(), default=0)
