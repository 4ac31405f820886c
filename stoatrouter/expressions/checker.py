"""Checks an expression once at load: its type, possible failures, sizes and cost.

An operation that may fail is no error by itself: it may stand inside `try(...)`, or be guarded. An unguarded
one at the top is rejected, with the place, the reason and the way to guard it.
"""

from __future__ import annotations

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import functions as fn
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.calls import FunctionChecks
from stoatrouter.expressions.checks import LIST_STEPS, MAP_STEPS, Stop
from stoatrouter.expressions.environment import Environment, Limits
from stoatrouter.expressions.errors import ExpressionError, Position, Problem
from stoatrouter.expressions.guards import facts
from stoatrouter.expressions.macros import MacroChecks
from stoatrouter.expressions.operators import OperatorChecks
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Checked, Scope, Typed

OPTIONAL = ("hasValue", "value", "or", "orValue")


def check(
    node: s.Node, environment: Environment, want: t.Type | object | None = None, limits: Limits | None = None
) -> Checked:
    """Check a whole expression; raises ExpressionError with all problems."""
    limits = limits or Limits()
    checker = Checker(environment, limits)
    try:
        root = checker.of(node, Scope())
    except Stop:
        raise ExpressionError(*checker.problems) from None
    problems = [*checker.problems, *root.faults]
    if isinstance(want, t.Type) and t.joined(root.type, want) != want:
        problems.append(Problem(node.at, f"this yields {root.type}, but {want} is wanted here"))
    if root.cost > limits.steps:
        problems.append(
            Problem(
                node.at,
                f"it may take {root.cost} steps, {limits.steps} at most",
                "most of them: " + ", ".join(breakdown(root)),
            )
        )
    if root.bound.total > limits.result:
        problems.append(
            Problem(
                node.at,
                f"its value may have a size of {root.bound.total}, {limits.result} at most",
                "use substring or fewer parts",
            )
        )
    if problems:
        raise ExpressionError(*problems)
    return Checked(root, environment)


def breakdown(root: Typed, most: int = 3) -> list[str]:
    """The most expensive operations, with their places and steps in the worst case."""
    found: list[tuple[int, Position, str]] = []
    waiting = [(root, 1)]
    while waiting:
        typed, times = waiting.pop()
        found.append((typed.own * times, typed.node.at, show(typed.node)))
        waiting += [(part, times * typed.times(i)) for i, part in enumerate(typed.parts)]
    found.sort(key=lambda entry: (-entry[0], entry[1]))
    return [f"{steps} for {text} at {at}" for steps, at, text in found[:most]]


class Checker(MacroChecks, OperatorChecks, FunctionChecks):
    """One check of one expression; it collects the problems."""

    def of(self, node: s.Node, scope: Scope) -> Typed:
        """Check a node by its kind; raises Stop where it has no type."""
        match node:
            case s.Literal():
                return self.literal(node)
            case s.Name() | s.Select():
                return self.named(node, scope)
            case s.Index():
                return self.indexed(node, scope)
            case s.Logic():
                return self.logic(node, scope)
            case s.Conditional():
                return self.conditional(node, scope)
            case s.ListLiteral():
                return self.list_literal(node, scope)
            case s.MapLiteral():
                return self.map_literal(node, scope)
            case s.Call():
                return self.call(node, scope)
        raise AssertionError(node)

    def logic(self, node: s.Logic, scope: Scope) -> Typed:
        """Check && or ||: each term is checked with what those before it have shown; raises Stop."""
        parts, inner, stopped = [], scope, False
        for term in node.terms:
            try:
                part = self.of(term, inner)
                if part.type != t.BOOL:
                    raise self.wrong(
                        term,
                        f"{node.operator} wants bool, not {part.type}",
                        "nothing is converted by itself: compare it",
                    )
                parts.append(part)
            except Stop:
                stopped = True
            inner = inner.knowing(facts(term, node.operator == "&&", self.environment))
        if stopped:
            raise self.stopped(parts)
        return self.made(
            node, t.BOOL, "logic", tuple(parts), detail=node.operator, bound=b.TRUTH, own=len(parts) - 1
        )

    def conditional(self, node: s.Conditional, scope: Scope) -> Typed:
        """Check ?: with what the condition shows in either branch; raises Stop."""
        condition = self.of(node.condition, scope)
        if condition.type != t.BOOL:
            raise self.wrong(node.condition, f"?: wants bool, not {condition.type}", "compare it")
        then = self.of(node.then, scope.knowing(facts(node.condition, True, self.environment)))
        other = self.of(node.other, scope.knowing(facts(node.condition, False, self.environment)))
        kind = t.joined(then.type, other.type)
        if kind is None:
            raise self.wrong(node.other, f"?: yields {then.type} or {other.type}", "both must be of one type")
        return self.made(
            node,
            kind,
            "conditional",
            (condition, then, other),
            bound=then.bound.joined(other.bound),
            total=1 + condition.cost + max(then.cost, other.cost),
        )

    def list_literal(self, node: s.ListLiteral, scope: Scope) -> Typed:
        """Check a list literal, whose items are of one type; raises Stop."""
        parts = self.all_of(node.items, scope)
        kind: t.Type = t.NEVER
        inner: b.Bound | None = None
        for part in parts:
            together = t.joined(kind, part.type)
            if together is None:
                raise self.wrong(part.node, f"a list of {kind} has no {part.type}", "all must be of one type")
            kind, inner = together, part.bound if inner is None else inner.joined(part.bound)
        if isinstance(kind, t.OptionalOf):
            raise self.wrong(node, "a list of optionals is left out", "use orValue first")
        return self.made(
            node,
            t.ListOf(kind),
            "list",
            parts,
            bound=b.many(len(parts), inner or b.ANY, len(parts)),
            own=LIST_STEPS,
        )

    def map_literal(self, node: s.MapLiteral, scope: Scope) -> Typed:
        """Check a map literal with literal keys and values of one type; raises Stop."""
        parts = self.all_of((part for item in node.items for part in item), scope)
        kind, inner, seen = t.NEVER, None, set()
        for key, value in zip(parts[::2], parts[1::2], strict=True):
            if key.type != t.STRING or key.op != "literal":
                raise self.wrong(key.node, "a key of a map is a string literal")
            if key.detail in seen:
                raise self.wrong(key.node, f"the key {key.detail!r} stands twice")
            seen.add(key.detail)
            together = t.joined(kind, value.type)
            if together is None or isinstance(value.type, t.OptionalOf):
                raise self.wrong(
                    value.node, f"a map to {kind} has no {value.type}", "all must be of one type"
                )
            kind, inner = together, value.bound if inner is None else inner.joined(value.bound)
        return self.made(
            node,
            t.MapOf(kind),
            "map",
            parts,
            own=MAP_STEPS,
            bound=b.many(len(node.items), inner or b.ANY, len(node.items)),
        )

    def call(self, node: s.Call, scope: Scope) -> Typed:
        """Check a call: a macro, an operator, an optional's method or a function; raises Stop."""
        name, count = node.function, len(node.arguments)
        if node.receiver is not None and name in fn.MACROS:
            return self.macro(node, scope)
        if node.receiver is None and name == "has" and count == 1:
            return self.has(node, scope)
        if node.receiver is None and name == "try" and count == 1:
            return self.tried(node, scope)
        if node.receiver is not None and name == "optMap" and count == 2:
            return self.optional_map(node, scope)
        if node.receiver == s.Name(node.at, 1, "optional") and name in ("of", "none", "ofNonZeroValue"):
            return self.optional_of(node, scope)
        given = (*((node.receiver,) if node.receiver is not None else ()), *node.arguments)
        parts = self.all_of(given, scope)
        if name in ("==", "!=", "<", "<=", ">", ">=", "in", "+", "-", "*", "/", "%", "!"):
            return self.operator(node, parts)
        if node.receiver is not None and name in OPTIONAL and isinstance(parts[0].type, t.OptionalOf):
            return self.of_optional(node, parts, scope)
        if name == "size" and len(parts) == 1:
            return self.size(node, parts, scope)
        return self.function(node, parts, scope)
