"""The literal demands of a condition, for the index, for coverage and for contradictions.

A demand is `dimension in values`, with the dimensions below. Other parts of a condition are kept as they are
written.
"""

from __future__ import annotations

from dataclasses import dataclass

from stoatrouter.expressions import syntax as s
from stoatrouter.expressions.errors import Position

# A dimension is a name with what it is about: ("method", ""), ("header", "x-team"), ("segment", "2") ...
Dimension = tuple[str, str]
WHOLE = {
    "request.method": "method",
    "request.host": "host",
    "request.path": "path",
    "request.class": "class",
    "object.bucket": "bucket",
    "object.operation": "operation",
}
MAPS = {"request.headers": "header", "request.query": "query", "request.cookies": "cookie"}
NOWHERE = Position(1, 1)
SIZE = s.Call(NOWHERE, 1, "size", (s.Select(NOWHERE, 1, s.Name(NOWHERE, 1, "request"), "segments"),))
PREFIX: Dimension = ("prefix", "")
PATH: Dimension = ("path", "")


@dataclass(slots=True, frozen=True)
class Demand:
    """A request must have one of these values in a dimension; for PREFIX its path starts with one."""

    dimension: Dimension
    values: frozenset[str]

    def implies(self, other: Demand) -> bool:
        """Whether every request that meets this demand meets the other."""
        if self.dimension == other.dimension and self.dimension != PREFIX:
            return self.values <= other.values
        if other.dimension == PREFIX and self.dimension in (PREFIX, PATH):
            return all(any(v.startswith(p) for p in other.values) for v in self.values)
        return False

    def excludes(self, other: Demand) -> bool:
        """Whether no request can meet both demands."""
        if PREFIX in (self.dimension, other.dimension):
            if not {self.dimension, other.dimension} <= {PREFIX, PATH}:
                return False
            if self.dimension == other.dimension:
                return not any(a.startswith(b) or b.startswith(a) for a in self.values for b in other.values)
            path, prefix = (self, other) if self.dimension == PATH else (other, self)
            return not any(v.startswith(p) for v in path.values for p in prefix.values)
        return self.dimension == other.dimension and not self.values & other.values


@dataclass(slots=True, frozen=True)
class Condition:
    """A condition in its parts: demands, and the other conjuncts."""

    demands: tuple[Demand, ...]
    others: frozenset[s.Node]
    never: bool = False  # it is the literal false

    def contradiction(self) -> tuple[Demand, Demand] | None:
        """Two demands that no request can meet together, or None."""
        for i, a in enumerate(self.demands):
            for b in self.demands[:i]:
                if a.excludes(b):
                    return b, a
        return None

    def covers(self, other: Condition) -> bool:
        """Whether this condition certainly holds wherever the other does.

        False where a proof would need more than the parts.
        """
        return all(any(d.implies(mine) for d in other.demands) for mine in self.demands) and all(
            term in other.others or other.shows(term) for term in self.others
        )

    def shows(self, term: s.Node) -> bool:
        """Whether a guard holds because a demand could not be met without it."""
        found = presence(term)
        if found is None:
            return False
        dimension, least = found
        if dimension[0] == "segment":
            return any(d.dimension[0] == "segment" and int(d.dimension[1]) >= least for d in self.demands)
        return any(d.dimension == dimension for d in self.demands)


def condition(node: s.Node) -> Condition:
    """Split a condition into demands and other conjuncts."""
    demands, others, never = [], set(), False
    for term in conjuncts(node):
        if isinstance(term, s.Literal):
            never = never or term.value is False  # `true` demands nothing
        elif (demand := demanded(term)) is not None:
            demands.append(demand)
        else:
            others.add(term)
    return Condition(tuple(demands), frozenset(others), never)


def conjuncts(node: s.Node) -> list[s.Node]:
    """The terms that must all hold, in order."""
    if isinstance(node, s.Logic) and node.operator == "&&":
        return [term for part in node.terms for term in conjuncts(part)]
    return [node]


def demanded(node: s.Node) -> Demand | None:
    """The demand that a conjunct states, or None."""
    match node:
        case s.Call(function="==", arguments=(left, right)):
            for subject, value in ((left, right), (right, left)):
                text = literal_text(value)
                dimension = subject_of(subject, text) if text is not None else None
                if dimension is not None and text is not None:
                    return Demand(dimension, frozenset((text,)))
        case s.Call(function="in", arguments=(subject, s.ListLiteral(items=items))) if items:
            texts = [literal_text(item) for item in items]
            wanted = frozenset(text for text in texts if text is not None)
            dimensions = {subject_of(subject, text) for text in wanted}
            if None not in texts and len(dimensions) == 1 and (dimension := dimensions.pop()) is not None:
                return Demand(dimension, wanted)
        case s.Call(function="startsWith", receiver=s.Node() as receiver, arguments=(prefix,)):
            text = literal_text(prefix)
            if text and s.path_of(receiver) == "request.path":
                return Demand(PREFIX, frozenset((text,)))
    return None


def subject_of(node: s.Node, value: str) -> Dimension | None:
    """The dimension that an expression reads where it then equals `value`, or None."""
    path = s.path_of(node)
    if path in WHOLE:
        return WHOLE[path], ""
    match node:
        case s.Index(operand=operand, index=index, optional=False):
            return element(operand, index)
        case s.Select(operand=operand, field_name=name, optional=False) if s.path_of(operand) in MAPS:
            return MAPS[s.path_of(operand) or ""], folded(operand, name)
        case s.Call(
            function="orValue",
            receiver=s.Index(operand=operand, index=index, optional=True),
            arguments=(default,),
        ):
            # With the default equal to the value, a missing one matches too: no demand of the field.
            fallback = literal_text(default)
            return element(operand, index) if fallback is not None and fallback != value else None
    return None


def element(operand: s.Node, index: s.Node) -> Dimension | None:
    """The dimension that an index into a map or into the path's segments reads, or None."""
    path = s.path_of(operand)
    if path in MAPS and (name := literal_text(index)) is not None:
        return MAPS[path], folded(operand, name)
    if path == "request.segments" and isinstance(index, s.Literal) and index.kind == "int":
        return "segment", str(index.value)
    return None


def folded(operand: s.Node, name: str) -> str:
    """A name as its map has it: header fields are in lower case."""
    return name.lower() if s.path_of(operand) == "request.headers" else name


def presence(node: s.Node) -> tuple[Dimension, int] | None:
    """The dimension that a guard requires to be present, with the highest segment for paths; or None."""
    match node:
        case s.Call(function="in", arguments=(key, mapping)) if s.path_of(mapping) in MAPS:
            name = literal_text(key)
            return None if name is None else ((MAPS[s.path_of(mapping) or ""], folded(mapping, name)), 0)
        case s.Call(function="has", arguments=(s.Select(operand=mapping, field_name=name),), receiver=None):
            path = s.path_of(mapping) or ""
            return ((MAPS[path], folded(mapping, name)), 0) if path in MAPS else None
        case s.Call(function=operator, arguments=(measured, s.Literal(kind="int", value=int(least)))):
            if operator in (">", ">=") and measured == SIZE:
                return ("segment", ""), least if operator == ">" else least - 1
    return None


def literal_text(node: s.Node) -> str | None:
    """The text of a string literal, or None."""
    return node.value if isinstance(node, s.Literal) and isinstance(node.value, str) else None
