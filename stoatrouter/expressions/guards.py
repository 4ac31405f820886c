"""What a condition shows where it holds, or does not: that a key is there, a list long enough, an optional
set."""

from __future__ import annotations

from dataclasses import dataclass, replace

from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.environment import Environment

MIRRORED = {"<": ">", "<=": ">=", ">": "<", ">=": "<=", "==": "==", "!=": "!="}
DENIED = {"<": ">=", "<=": ">", ">": "<=", ">=": "<", "==": "!=", "!=": "=="}


@dataclass(slots=True, frozen=True)
class Fact:
    """Something that holds at a place. Subjects are compared by structure: all expressions are pure."""

    kind: str  # key, length or value
    subject: s.Node
    key: s.Node | None = None
    least: int = 0


def key_fact(mapping: s.Node, key: s.Node, fold: bool) -> Fact:
    if fold and isinstance(key, s.Literal) and isinstance(key.value, str):
        key = replace(key, value=key.value.lower())
    return Fact("key", mapping, key)


def length_fact(subject: s.Node, least: int) -> Fact:
    return Fact("length", subject, least=least)


def value_fact(optional: s.Node) -> Fact:
    return Fact("value", optional)


def facts(node: s.Node, truth: bool, environment: Environment) -> frozenset[Fact]:
    """What is known where this condition is `truth`."""
    match node:
        case s.Logic() if (node.operator == "&&") is truth:
            return frozenset().union(*(facts(term, truth, environment) for term in node.terms))
        case s.Call(function="!", arguments=(operand,)):
            return facts(operand, not truth, environment)
        case s.Call(function="in", arguments=(key, mapping)) if truth:
            return frozenset((key_fact(mapping, key, folds(mapping, environment)),))
        case s.Call(function="has", arguments=(s.Select() as wanted,), receiver=None) if truth:
            key = s.Literal(wanted.at, 1, wanted.field_name, "string")
            return frozenset((key_fact(wanted.operand, key, folds(wanted.operand, environment)),))
        case s.Call(function="hasValue", arguments=(), receiver=s.Node() as optional) if truth:
            return frozenset((value_fact(optional),))
        case s.Call(function=operator, arguments=(left, right)) if (
            operator in MIRRORED and node.receiver is None
        ):
            operator = operator if truth else DENIED[operator]
            return lengths(left, operator, right) | lengths(right, MIRRORED[operator], left)
        case _:
            return frozenset()


def folds(mapping: s.Node, environment: Environment) -> bool:
    """Whether a map's keys are names of header fields."""
    variable = environment.variables.get(s.path_of(mapping) or "")
    return variable is not None and isinstance(variable.type, t.MapOf) and variable.type.folded


def lengths(left: s.Node, operator: str, right: s.Node) -> frozenset[Fact]:
    """What `size(x) operator N` shows of x."""
    subject = measured(left)
    if subject is None or not isinstance(right, s.Literal) or right.kind != "int":
        return frozenset()
    assert isinstance(right.value, int)
    if operator == "!=":  # only not being empty says something
        return frozenset((length_fact(subject, 1),)) if right.value == 0 else frozenset()
    least = {">": right.value + 1, ">=": right.value, "==": right.value}.get(operator, 0)
    return frozenset((length_fact(subject, least),)) if least > 0 else frozenset()


def measured(node: s.Node) -> s.Node | None:
    """The x of size(x) or x.size()."""
    if not isinstance(node, s.Call) or node.function != "size":
        return None
    given = (*((node.receiver,) if node.receiver is not None else ()), *node.arguments)
    return given[0] if len(given) == 1 else None
