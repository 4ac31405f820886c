"""The texts that an expression can yield, to check at load what a rule can reach and what may be retried."""

from __future__ import annotations

from dataclasses import dataclass

from stoatrouter.expressions import syntax as s
from stoatrouter.matching.conjuncts import Condition, literal_text, split_condition

# RFC 9110, 9.2.1: safe methods. A client retries them, and so may a head.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
METHOD = ("method", "")


@dataclass(slots=True, frozen=True)
class Outcome:
    """A text that may be yielded; `safe` where only safe methods lead to it."""

    text: str
    safe: bool


def find_outcomes(node: s.Node, safe: bool) -> frozenset[Outcome] | None:
    """Find all texts that an expression can yield.

    Args:
        node: The expression.
        safe: Whether only safe methods lead to it.

    Returns:
        The texts; None where they cannot be derived from the source.
    """
    match node:
        case s.Literal():
            text = literal_text(node)
            return None if text is None else frozenset((Outcome(text, safe),))
        case s.Conditional(condition=condition, then=then, other=other):
            return unite(
                find_outcomes(then, safe or proves_safe(split_condition(condition))),
                find_outcomes(other, safe or proves_safe_if_not(condition)),
            )
        case s.Index(operand=s.MapLiteral(items=items)) | s.Select(operand=s.MapLiteral(items=items)):
            return unite(*(find_outcomes(value, safe) for _, value in items))
        case s.Call(function="orValue" | "or", receiver=s.Node() as optional, arguments=(other,)):
            return unite(find_outcomes(optional, safe), find_outcomes(other, safe))
        case s.Call(function="of", arguments=(inner,)) | s.Call(function="try", arguments=(inner,)):
            return find_outcomes(inner, safe)
        case _:
            return None


def unite(*parts: frozenset[Outcome] | None) -> frozenset[Outcome] | None:
    """Unite several sets of outcomes; returns None where one of them is not known."""
    known = [part for part in parts if part is not None]
    return frozenset().union(*known) if len(known) == len(parts) else None


def proves_safe(condition: Condition) -> bool:
    """Whether a condition holds for safe methods only."""
    return any(
        constraint.dimension == METHOD and constraint.values <= SAFE_METHODS
        for constraint in condition.constraints
    )


def proves_safe_if_not(node: s.Node) -> bool:
    """Whether a condition that does not hold leaves only safe methods, like method != "GET"."""
    match node:
        case s.Call(function="!", arguments=(inner,)):
            return proves_safe(split_condition(inner))
        case s.Call(function="!=", arguments=arguments):
            return proves_safe(split_condition(s.Call(node.at, node.depth, "==", arguments)))
        case _:
            return False
