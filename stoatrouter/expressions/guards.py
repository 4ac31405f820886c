"""Facts that a condition implies when it holds, or when it does not.

A fact states that a key exists, that a list or string is long enough, or that an optional has a value.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.environment import Environment

MIRRORED = {"<": ">", "<=": ">=", ">": "<", ">=": "<=", "==": "==", "!=": "!="}
NEGATED = {"<": ">=", "<=": ">", ">": "<=", ">=": "<", "==": "!=", "!=": "=="}


class FactKind(Enum):
    """The kind of a fact."""

    KEY = auto()  # the map `subject` has the key `key`
    LENGTH = auto()  # the list or string `subject` has at least `min_length` elements or code points
    VALUE = auto()  # the optional `subject` has a value


@dataclass(slots=True, frozen=True)
class Fact:
    """A fact that holds at some node. Subjects are compared by structure, as all expressions are pure."""

    kind: FactKind
    subject: s.Node
    key: s.Node | None = None
    min_length: int = 0


def key_fact(mapping: s.Node, key: s.Node, fold: bool) -> Fact:
    """Return the fact that a map has a key; `fold` if keys are header field names, which ignore case."""
    if fold and isinstance(key, s.Literal) and isinstance(key.value, str):
        key = replace(key, value=key.value.lower())
    return Fact(FactKind.KEY, mapping, key)


def length_fact(subject: s.Node, min_length: int) -> Fact:
    """Return the fact that a list or string has at least a length."""
    return Fact(FactKind.LENGTH, subject, min_length=min_length)


def value_fact(optional: s.Node) -> Fact:
    """Return the fact that an optional has a value."""
    return Fact(FactKind.VALUE, optional)


def implied_facts(node: s.Node, truth: bool, environment: Environment) -> frozenset[Fact]:
    """Return the facts that hold if a condition equals `truth`."""
    match node:
        case s.Logic() if (node.operator == "&&") is truth:
            return frozenset().union(*(implied_facts(term, truth, environment) for term in node.terms))
        case s.Call(function="!", arguments=(operand,)):
            return implied_facts(operand, not truth, environment)
        case s.Call(function="in", arguments=(key, mapping)) if truth:
            return frozenset((key_fact(mapping, key, has_folded_keys(mapping, environment)),))
        case s.Call(function="has", arguments=(s.Select() as field,), receiver=None) if truth:
            key = s.Literal(field.at, 1, field.field_name, "string")
            return frozenset((key_fact(field.operand, key, has_folded_keys(field.operand, environment)),))
        case s.Call(function="hasValue", arguments=(), receiver=s.Node() as optional) if truth:
            return frozenset((value_fact(optional),))
        case s.Call(function=operator, arguments=(left, right), receiver=None) if operator in MIRRORED:
            operator = operator if truth else NEGATED[operator]
            return length_facts(left, operator, right) | length_facts(right, MIRRORED[operator], left)
        case _:
            return frozenset()


def has_folded_keys(mapping: s.Node, environment: Environment) -> bool:
    """Return whether the keys of a map are header field names."""
    variable = environment.variables.get(s.path_of(mapping) or "")
    return variable is not None and isinstance(variable.type, t.MapOf) and variable.type.folded


def length_facts(left: s.Node, operator: str, right: s.Node) -> frozenset[Fact]:
    """Return the facts about x that `size(x) operator N` implies."""
    subject = sized_operand(left)
    if subject is None or not isinstance(right, s.Literal) or right.kind != "int":
        return frozenset()
    assert isinstance(right.value, int)
    if operator == "!=":  # of the inequalities, only size(x) != 0 implies a length
        return frozenset((length_fact(subject, 1),)) if right.value == 0 else frozenset()
    min_length = {">": right.value + 1, ">=": right.value, "==": right.value}.get(operator, 0)
    return frozenset((length_fact(subject, min_length),)) if min_length > 0 else frozenset()


def sized_operand(node: s.Node) -> s.Node | None:
    """Return the x of size(x) or x.size(); None for any other node."""
    if not isinstance(node, s.Call) or node.function != "size" or len(node.operands) != 1:
        return None
    return node.operands[0]
