"""Extracts the literal constraints of a condition, for the index and the checks for unreachable rules.

A constraint has the form `dimension in values`, with the dimensions defined below. Other conjuncts of a
condition are compared as written.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from stoatrouter.expressions import syntax as s
from stoatrouter.expressions.errors import Position

# A dimension is a kind and an element: ("method", ""), ("header", "x-team"), ("segment", "2") ...
Dimension = tuple[str, str]
SCALAR_DIMENSIONS = {
    "request.method": "method",
    "request.host": "host",
    "request.path": "path",
    "request.class": "class",
    "object.bucket": "bucket",
    "object.operation": "operation",
}
MAP_DIMENSIONS = {"request.headers": "header", "request.query": "query", "request.cookies": "cookie"}
SYNTHETIC_POSITION = Position(1, 1)  # of nodes that no source text contains
# The expression `size(request.segments)`, which guards of path segments compare with a literal.
SEGMENT_COUNT = s.Call(
    SYNTHETIC_POSITION,
    1,
    "size",
    (s.Select(SYNTHETIC_POSITION, 1, s.Name(SYNTHETIC_POSITION, 1, "request"), "segments"),),
)
PREFIX: Dimension = ("prefix", "")
PATH: Dimension = ("path", "")


@dataclass(slots=True, frozen=True)
class Constraint:
    """Requires one of some values in a dimension of a request; for PREFIX, a path that starts with one."""

    dimension: Dimension
    values: frozenset[str]

    def implies(self, other: Constraint) -> bool:
        """Return whether every request that meets this constraint also meets the other."""
        if self.dimension == other.dimension and self.dimension != PREFIX:
            return self.values <= other.values
        if other.dimension == PREFIX and self.dimension in (PREFIX, PATH):
            return all(any(value.startswith(prefix) for prefix in other.values) for value in self.values)
        return False

    def excludes(self, other: Constraint) -> bool:
        """Return whether no request can meet both constraints."""
        if PREFIX not in (self.dimension, other.dimension):
            return self.dimension == other.dimension and not self.values & other.values
        if not {self.dimension, other.dimension} <= {PREFIX, PATH}:
            return False
        if self.dimension == other.dimension:
            return not any(a.startswith(b) or b.startswith(a) for a in self.values for b in other.values)
        path, prefix = (self, other) if self.dimension == PATH else (other, self)
        return not any(value.startswith(start) for value in path.values for start in prefix.values)


class Contradiction(NamedTuple):
    """Two constraints of one condition that no request can meet at the same time."""

    first: Constraint
    second: Constraint


class Presence(NamedTuple):
    """The element that a guard requires to be present: a field, or the path segments up to an index."""

    dimension: Dimension
    segment: int = 0  # for ("segment", ""): the index of the last required segment


@dataclass(slots=True, frozen=True)
class Condition:
    """A condition, split into its conjuncts.

    Attributes:
        constraints: The conjuncts that are literal constraints, in order.
        others: The other conjuncts.
        is_false: Whether the literal `false` is one of the conjuncts.
    """

    constraints: tuple[Constraint, ...]
    others: frozenset[s.Node]
    is_false: bool = False

    def find_contradiction(self) -> Contradiction | None:
        """Return two constraints that no request can meet at the same time, or None."""
        for number, second in enumerate(self.constraints):
            for first in self.constraints[:number]:
                if second.excludes(first):
                    return Contradiction(first, second)
        return None

    def covers(self, other: Condition) -> bool:
        """Return whether this condition provably holds whenever the other one holds.

        The result is False if a proof would need more than a comparison of the conjuncts.
        """
        implied = all(any(theirs.implies(mine) for theirs in other.constraints) for mine in self.constraints)
        return implied and all(term in other.others or other.guarantees(term) for term in self.others)

    def guarantees(self, term: s.Node) -> bool:
        """Return whether a guard holds because some constraint cannot be met otherwise."""
        required = find_presence(term)
        if required is None:
            return False
        if required.dimension[0] == "segment":
            return any(
                constraint.dimension[0] == "segment" and int(constraint.dimension[1]) >= required.segment
                for constraint in self.constraints
            )
        return any(constraint.dimension == required.dimension for constraint in self.constraints)


def split_condition(node: s.Node) -> Condition:
    """Split a condition into literal constraints and other conjuncts."""
    constraints: list[Constraint] = []
    others: set[s.Node] = set()
    is_false = False
    for term in flatten_conjuncts(node):
        if isinstance(term, s.Literal):
            is_false = is_false or term.value is False  # `true` constrains nothing
        elif (constraint := parse_constraint(term)) is not None:
            constraints.append(constraint)
        else:
            others.add(term)
    return Condition(tuple(constraints), frozenset(others), is_false)


def flatten_conjuncts(node: s.Node) -> list[s.Node]:
    """Return the terms of a conjunction in order, with nested conjunctions flattened."""
    if isinstance(node, s.Logic) and node.operator == "&&":
        return [term for part in node.terms for term in flatten_conjuncts(part)]
    return [node]


def parse_constraint(node: s.Node) -> Constraint | None:
    """Return the literal constraint that a conjunct states, or None."""
    match node:
        case s.Call(function="==", arguments=(left, right)):
            return parse_equality(left, right) or parse_equality(right, left)
        case s.Call(function="in", arguments=(subject, s.ListLiteral(items=items))) if items:
            return parse_membership(subject, [literal_text(item) for item in items])
        case s.Call(function="startsWith", receiver=s.Node() as receiver, arguments=(prefix,)):
            text = literal_text(prefix)
            if text and s.path_of(receiver) == "request.path":
                return Constraint(PREFIX, frozenset((text,)))
    return None


def parse_equality(subject: s.Node, value: s.Node) -> Constraint | None:
    """Return the constraint that `subject == value` states, or None."""
    text = literal_text(value)
    if text is None:
        return None
    dimension = find_dimension(subject, text)
    return None if dimension is None else Constraint(dimension, frozenset((text,)))


def parse_membership(subject: s.Node, texts: list[str | None]) -> Constraint | None:
    """Return the constraint that `subject in [...]` states; None if an item is not a string literal."""
    values = frozenset(text for text in texts if text is not None)
    if len(values) == 0 or None in texts:
        return None
    dimensions = {find_dimension(subject, value) for value in values}
    if len(dimensions) != 1:
        return None
    dimension = dimensions.pop()
    return None if dimension is None else Constraint(dimension, values)


def find_dimension(node: s.Node, value: str) -> Dimension | None:
    """Return the dimension whose value an expression yields when it equals `value`; None if there is none."""
    path = s.path_of(node)
    if path in SCALAR_DIMENSIONS:
        return SCALAR_DIMENSIONS[path], ""
    match node:
        case s.Index(operand=operand, index=index, optional=False):
            return element_dimension(operand, index)
        case s.Select(operand=operand, field_name=name, optional=False):
            return map_dimension(operand, name)
        case s.Call(
            function="orValue",
            receiver=s.Index(operand=operand, index=index, optional=True),
            arguments=(default,),
        ):
            # If the default equals the value, a request without the field matches too: no constraint.
            fallback = literal_text(default)
            return element_dimension(operand, index) if fallback is not None and fallback != value else None
    return None


def element_dimension(operand: s.Node, index: s.Node) -> Dimension | None:
    """Return the dimension that an index into a map or the path segments reads; None for other operands."""
    name = literal_text(index)
    if name is not None:
        return map_dimension(operand, name)
    if s.path_of(operand) == "request.segments" and isinstance(index, s.Literal) and index.kind == "int":
        return "segment", str(index.value)
    return None


def map_dimension(operand: s.Node, name: str) -> Dimension | None:
    """Return the dimension of a name in a map of the request; header names are lowercased."""
    path = s.path_of(operand)
    if path not in MAP_DIMENSIONS:
        return None
    return MAP_DIMENSIONS[path], name.lower() if path == "request.headers" else name


def find_presence(node: s.Node) -> Presence | None:
    """Return what a guard requires to be present; None if the node is not a guard."""
    match node:
        case s.Call(function="in", arguments=(key, mapping)):
            name = literal_text(key)
            dimension = None if name is None else map_dimension(mapping, name)
            return None if dimension is None else Presence(dimension)
        case s.Call(function="has", arguments=(s.Select(operand=mapping, field_name=name),), receiver=None):
            dimension = map_dimension(mapping, name)
            return None if dimension is None else Presence(dimension)
        case s.Call(function=operator, arguments=(measured, s.Literal(kind="int", value=int(minimum)))):
            if operator in (">", ">=") and measured == SEGMENT_COUNT:
                return Presence(("segment", ""), minimum if operator == ">" else minimum - 1)
    return None


def literal_text(node: s.Node) -> str | None:
    """Return the text of a string literal; None for other nodes."""
    return node.value if isinstance(node, s.Literal) and isinstance(node.value, str) else None
