"""Checks an expression once at load: its type, possible failures, sizes and cost.

An operation that may fail is no error by itself: it may stand inside `try(...)`, or be guarded. An unguarded
one at the top is rejected, with the place, the reason and the way to guard it.
"""

from __future__ import annotations

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import macros, operators, optionals
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.calls import FunctionChecks
from stoatrouter.expressions.checks import LIST_STEPS, MAP_STEPS, UntypedError
from stoatrouter.expressions.environment import Environment, Limits
from stoatrouter.expressions.errors import ExpressionError, Position, Problem
from stoatrouter.expressions.guards import implied_facts
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Checked, Op, Scope, Typed

MAX_OPERATIONS_SHOWN = 3  # operations that are named where an expression costs too much


def check(
    node: s.Node,
    environment: Environment,
    expected_type: t.Type | object | None = None,
    limits: Limits | None = None,
) -> Checked:
    """Check a whole expression.

    Args:
        node: The tree of the expression.
        environment: The inputs that it may refer to.
        expected_type: The type that it must yield; anything but a type stands for any.
        limits: What it may take; the default limits where it is None.

    Raises:
        ExpressionError: All problems.
    """
    limits = limits or Limits()
    checker = Checker(environment, limits)
    try:
        root = checker.check_node(node, Scope())
    except UntypedError:
        raise ExpressionError(*checker.problems) from None
    problems = [*checker.problems, *root.faults, *exceeded_limits(root, limits)]
    if isinstance(expected_type, t.Type) and t.common_type(root.type, expected_type) != expected_type:
        problems.append(Problem(node.at, f"this yields {root.type}, but {expected_type} is wanted here"))
    if problems:
        raise ExpressionError(*problems)
    return Checked(root, environment)


def exceeded_limits(root: Typed, limits: Limits) -> list[Problem]:
    """The limits of steps and size that an expression exceeds."""
    at = root.node.at
    problems = []
    if root.cost > limits.max_steps:
        what = f"it may take {root.cost} steps, {limits.max_steps} at most"
        problems.append(Problem(at, what, "most of them: " + ", ".join(most_expensive_operations(root))))
    if root.bound.total > limits.max_result_size:
        what = f"its value may have a size of {root.bound.total}, {limits.max_result_size} at most"
        problems.append(Problem(at, what, "use substring or fewer parts"))
    return problems


def most_expensive_operations(root: Typed, count: int = MAX_OPERATIONS_SHOWN) -> list[str]:
    """The most expensive operations, with their places and steps in the worst case."""
    found: list[tuple[int, Position, str]] = []
    pending = [(root, 1)]
    while pending:
        typed, times = pending.pop()
        found.append((typed.own_steps * times, typed.node.at, show(typed.node)))
        pending += [(part, times * typed.times(i)) for i, part in enumerate(typed.parts)]
    found.sort(key=lambda entry: (-entry[0], entry[1]))
    return [f"{steps} for {text} at {at}" for steps, at, text in found[:count]]


class Checker(optionals.OptionalChecks, operators.OperatorChecks, FunctionChecks):
    """One check of one expression; it collects the problems."""

    def check_node(self, node: s.Node, scope: Scope) -> Typed:
        """Check a node by its kind.

        Raises:
            UntypedError: It has no type.
        """
        match node:
            case s.Literal():
                return self.check_literal(node)
            case s.Name() | s.Select():
                return self.check_name(node, scope)
            case s.Index():
                return self.check_index(node, scope)
            case s.Logic():
                return self.check_logic(node, scope)
            case s.Conditional():
                return self.check_conditional(node, scope)
            case s.ListLiteral():
                return self.check_list(node, scope)
            case s.MapLiteral():
                return self.check_map(node, scope)
            case s.Call():
                return self.check_call(node, scope)
        raise AssertionError(node)

    def check_logic(self, node: s.Logic, scope: Scope) -> Typed:
        """Check && or ||: each term is checked with what those before it have shown.

        Raises:
            UntypedError: A term has no type, or is no bool.
        """
        parts = []
        inner = scope
        failed = False
        for term in node.terms:
            try:
                part = self.check_node(term, inner)
                if part.type != t.BOOL:
                    what = f"{node.operator} wants bool, not {part.type}"
                    raise self.reject(term, what, "nothing is converted by itself: compare it")
                parts.append(part)
            except UntypedError:
                failed = True
            inner = inner.with_facts(implied_facts(term, node.operator == "&&", self.environment))
        if failed:
            raise self.abandon(parts)
        own_steps = len(parts) - 1
        return self.typed_node(
            node,
            t.BOOL,
            Op.LOGIC,
            tuple(parts),
            detail=node.operator,
            bound=b.BOOL_BOUND,
            own_steps=own_steps,
        )

    def check_conditional(self, node: s.Conditional, scope: Scope) -> Typed:
        """Check ?: with what the condition shows in either branch; the cost is that of the dearer one.

        Raises:
            UntypedError: The condition is no bool, or the branches are of two types.
        """
        condition = self.check_node(node.condition, scope)
        if condition.type != t.BOOL:
            raise self.reject(node.condition, f"?: wants bool, not {condition.type}", "compare it")
        then = self.check_node(node.then, self.branch_scope(node, True, scope))
        other = self.check_node(node.other, self.branch_scope(node, False, scope))
        kind = t.common_type(then.type, other.type)
        if kind is None:
            what = f"?: yields {then.type} or {other.type}"
            raise self.reject(node.other, what, "both must be of one type")
        return self.typed_node(
            node,
            kind,
            Op.CONDITIONAL,
            (condition, then, other),
            bound=then.bound.union(other.bound),
            total=1 + condition.cost + max(then.cost, other.cost),
        )

    def branch_scope(self, node: s.Conditional, truth: bool, scope: Scope) -> Scope:
        """The scope of the branch that is taken where the condition is `truth`."""
        return scope.with_facts(implied_facts(node.condition, truth, self.environment))

    def check_list(self, node: s.ListLiteral, scope: Scope) -> Typed:
        """Check a list literal.

        Raises:
            UntypedError: Its items are not of one type, or are optionals.
        """
        parts = self.check_siblings(node.items, scope)
        kind: t.Type = t.NEVER
        for part in parts:
            together = t.common_type(kind, part.type)
            if together is None:
                what = f"a list of {kind} has no {part.type}"
                raise self.reject(part.node, what, "all must be of one type")
            kind = together
        if isinstance(kind, t.OptionalOf):
            raise self.reject(node, "a list of optionals is left out", "use orValue first")
        bound = b.list_bound(len(parts), common_bound(parts), len(parts))
        return self.typed_node(node, t.ListOf(kind), Op.LIST, parts, bound=bound, own_steps=LIST_STEPS)

    def check_map(self, node: s.MapLiteral, scope: Scope) -> Typed:
        """Check a map literal.

        Raises:
            UntypedError: A key is no string literal, or stands twice, or the values are not of one type.
        """
        parts = self.check_siblings((part for item in node.items for part in item), scope)
        kind: t.Type = t.NEVER
        seen = set()
        for key, value in zip(parts[::2], parts[1::2], strict=True):
            if key.type != t.STRING or not key.is_literal:
                raise self.reject(key.node, "a key of a map is a string literal")
            if key.detail in seen:
                raise self.reject(key.node, f"the key {key.detail!r} stands twice")
            seen.add(key.detail)
            together = t.common_type(kind, value.type)
            if together is None or isinstance(value.type, t.OptionalOf):
                what = f"a map to {kind} has no {value.type}"
                raise self.reject(value.node, what, "all must be of one type")
            kind = together
        count = len(node.items)
        bound = b.list_bound(count, common_bound(parts[1::2]), count)
        return self.typed_node(node, t.MapOf(kind), Op.MAP, parts, own_steps=MAP_STEPS, bound=bound)

    def check_call(self, node: s.Call, scope: Scope) -> Typed:
        """Check a call: a macro, an operator, an optional's method or a function.

        Raises:
            UntypedError: It has no type.
        """
        macro = self.check_macro_call(node, scope)
        if macro is not None:
            return macro
        name = node.function
        parts = self.check_siblings(node.operands, scope)
        if name in operators.OPERATORS:
            return self.check_operator(node, parts)
        if (
            node.receiver is not None
            and name in optionals.METHODS
            and isinstance(parts[0].type, t.OptionalOf)
        ):
            return self.check_optional_method(node, parts, scope)
        if name == "size" and len(parts) == 1:
            return self.check_size(node, parts, scope)
        return self.check_function(node, parts, scope)

    def check_macro_call(self, node: s.Call, scope: Scope) -> Typed | None:
        """Check a call whose arguments are not all values, to be checked before it; None for others."""
        name, count = node.function, len(node.arguments)
        if node.receiver is None:
            if name == "has" and count == 1:
                return self.check_has(node, scope)
            if name == "try" and count == 1:
                return self.check_try(node, scope)
            return None
        if name in macros.MACROS:
            return self.check_macro(node, scope)
        if name == "optMap" and count == 2:
            return self.check_optional_map(node, scope)
        is_optional = node.receiver == s.Name(node.at, 1, macros.OPTIONAL_NAME)
        if is_optional and name in optionals.CONSTRUCTORS:
            return self.check_optional_of(node, scope)
        return None


def common_bound(parts: tuple[Typed, ...]) -> b.Bound:
    """The bound of a value that is any of these; any bound where there are none."""
    if not parts:
        return b.ANY
    bound = parts[0].bound
    for part in parts[1:]:
        bound = bound.union(part.bound)
    return bound
