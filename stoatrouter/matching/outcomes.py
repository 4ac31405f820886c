"""The texts that an expression can yield, to check at load what a rule can reach and repeat."""

from __future__ import annotations

from dataclasses import dataclass

from stoatrouter.expressions import syntax as s
from stoatrouter.matching.conjuncts import Condition, condition, literal_text

# RFC 9110, 9.2.1: safe methods. A client repeats them, and so may a head.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


@dataclass(slots=True, frozen=True)
class Outcome:
    """A text that may be yielded; `safe` where only safe methods lead to it."""

    text: str
    safe: bool


def outcomes(node: s.Node, safe: bool) -> frozenset[Outcome] | None:
    """All texts that an expression can yield; None where they cannot be derived from its source."""
    match node:
        case s.Literal():
            text = literal_text(node)
            return None if text is None else frozenset((Outcome(text, safe),))
        case s.Conditional(condition=asked, then=then, other=other):
            return united(
                outcomes(then, safe or proves_safe(condition(asked))),
                outcomes(other, safe or proves_safe_if_not(asked)),
            )
        case s.Index(operand=s.MapLiteral(items=items)) | s.Select(operand=s.MapLiteral(items=items)):
            return united(*(outcomes(value, safe) for _, value in items))
        case s.Call(function="orValue" | "or", receiver=s.Node() as optional, arguments=(other,)):
            return united(outcomes(optional, safe), outcomes(other, safe))
        case s.Call(function="of", arguments=(inner,)) | s.Call(function="try", arguments=(inner,)):
            return outcomes(inner, safe)
        case _:
            return None


def united(*parts: frozenset[Outcome] | None) -> frozenset[Outcome] | None:
    """The union of several sets of outcomes; None where one of them cannot be told."""
    if any(part is None for part in parts):
        return None
    return frozenset().union(*(part for part in parts if part is not None))


def proves_safe(known: Condition) -> bool:
    """Whether a condition holds for safe methods only."""
    return any(d.dimension == ("method", "") and d.values <= SAFE_METHODS for d in known.demands)


def proves_safe_if_not(asked: s.Node) -> bool:
    """Whether a condition that does not hold leaves only safe methods, like method != "GET"."""
    match asked:
        case s.Call(function="!", arguments=(inner,)):
            return proves_safe(condition(inner))
        case s.Call(function="!=", arguments=arguments):
            return proves_safe(condition(s.Call(asked.at, asked.depth, "==", arguments)))
        case _:
            return False
