"""What a condition shows where it holds, or does not hold.

That is: a key is there, a list or text is long enough, an optional has a value.
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
    """What a fact is about."""

    KEY = auto()  # the map `subject` has the key `key`
    LENGTH = auto()  # the list or text `subject` has the length at least `min_length`
    VALUE = auto()  # the optional `subject` has a value


@dataclass(slots=True, frozen=True)
class Fact:
    """Something that holds at a place. Subjects are compared by structure: all expressions are pure."""

    kind: FactKind
    subject: s.Node
    key: s.Node | None = None
    min_length: int = 0


def key_fact(mapping: s.Node, key: s.Node, fold: bool) -> Fact:
    """The fact that a map has a key; `fold` where keys are names of header fields, alike in any case."""
    if fold and isinstance(key, s.Literal) and isinstance(key.value, str):
        key = replace(key, value=key.value.lower())
    return Fact(FactKind.KEY, mapping, key)


def length_fact(subject: s.Node, min_length: int) -> Fact:
    """The fact that a list or text is so long at least."""
    return Fact(FactKind.LENGTH, subject, min_length=min_length)


def value_fact(optional: s.Node) -> Fact:
    """The fact that an optional has a value."""
    return Fact(FactKind.VALUE, optional)


def implied_facts(node: s.Node, truth: bool, environment: Environment) -> frozenset[Fact]:
    """What is known where this condition is `truth`."""
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
    """Whether a map's keys are names of header fields."""
    variable = environment.variables.get(s.path_of(mapping) or "")
    return variable is not None and isinstance(variable.type, t.MapOf) and variable.type.folded


def length_facts(left: s.Node, operator: str, right: s.Node) -> frozenset[Fact]:
    """What `size(x) operator N` shows of x."""
    subject = sized_operand(left)
    if subject is None or not isinstance(right, s.Literal) or right.kind != "int":
        return frozenset()
    assert isinstance(right.value, int)
    if operator == "!=":  # only not being empty shows something
        return frozenset((length_fact(subject, 1),)) if right.value == 0 else frozenset()
    min_length = {">": right.value + 1, ">=": right.value, "==": right.value}.get(operator, 0)
    return frozenset((length_fact(subject, min_length),)) if min_length > 0 else frozenset()


def sized_operand(node: s.Node) -> s.Node | None:
    """The x of size(x) or x.size(); None for anything else."""
    if not isinstance(node, s.Call) or node.function != "size" or len(node.operands) != 1:
        return None
    return node.operands[0]
