"""Derives the texts that an expression can yield, so that loading can check the values of a rule."""

from __future__ import annotations

from dataclasses import dataclass

from stoatrouter.expressions import syntax as s
from stoatrouter.matching.conjuncts import Condition, literal_text, split_condition

# RFC 9110, 9.2.1: safe methods. Clients may retry them, and so may a head.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
METHOD = ("method", "")


@dataclass(slots=True, frozen=True)
class YieldedText:
    """A text that may be yielded; `safe` if only requests with safe methods yield it."""

    text: str
    safe: bool


def find_yielded_texts(node: s.Node, safe: bool) -> frozenset[YieldedText] | None:
    """Return all texts that an expression can yield.

    Args:
        node: The expression.
        safe: Whether only requests with safe methods reach the expression.

    Returns:
        The texts; None if they cannot be derived from the source.
    """
    match node:
        case s.Literal():
            text = literal_text(node)
            return None if text is None else frozenset((YieldedText(text, safe),))
        case s.Conditional(condition=condition, then=then, other=other):
            return combine_yielded_texts(
                find_yielded_texts(then, safe or implies_safe_method(split_condition(condition))),
                find_yielded_texts(other, safe or negation_implies_safe_method(condition)),
            )
        case s.Index(operand=s.MapLiteral(items=items)) | s.Select(operand=s.MapLiteral(items=items)):
            return combine_yielded_texts(*(find_yielded_texts(value, safe) for _, value in items))
        case s.Call(function="orValue" | "or", receiver=s.Node() as optional, arguments=(other,)):
            return combine_yielded_texts(find_yielded_texts(optional, safe), find_yielded_texts(other, safe))
        case s.Call(function="of", arguments=(inner,)) | s.Call(function="try", arguments=(inner,)):
            return find_yielded_texts(inner, safe)
        case _:
            return None


def combine_yielded_texts(*parts: frozenset[YieldedText] | None) -> frozenset[YieldedText] | None:
    """Return the union of several sets; None if one of them is not known."""
    known = [part for part in parts if part is not None]
    return frozenset().union(*known) if len(known) == len(parts) else None


def implies_safe_method(condition: Condition) -> bool:
    """Return whether a condition holds for safe methods only."""
    return any(
        constraint.dimension == METHOD and constraint.values <= SAFE_METHODS
        for constraint in condition.constraints
    )


def negation_implies_safe_method(node: s.Node) -> bool:
    """Return whether the negation of a condition leaves only safe methods, as with method != "GET"."""
    match node:
        case s.Call(function="!", arguments=(inner,)):
            return implies_safe_method(split_condition(inner))
        case s.Call(function="!=", arguments=arguments):
            return implies_safe_method(split_condition(s.Call(node.at, node.depth, "==", arguments)))
        case _:
            return False
