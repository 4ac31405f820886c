"""Checks an expression once at load: its type, possible failures, sizes and cost.

An operation that may fail is allowed inside `try(...)` or behind a guard. Anywhere else it is rejected, with
its position, the reason and a way to guard it.
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

MAX_OPERATIONS_SHOWN = 3  # operations that the message about an expression over the cost limit lists


def check(
    node: s.Node,
    environment: Environment,
    expected_type: t.Type | object | None = None,
    limits: Limits | None = None,
) -> Checked:
    """Check a whole expression.

    Args:
        node: The syntax tree of the expression.
        environment: The inputs that the expression may refer to.
        expected_type: The type that the expression must yield; a value that is not a `Type` allows any.
        limits: Limits of its cost and sizes; None for the default limits.

    Raises:
        ExpressionError: All problems that were found.
    """
    limits = limits or Limits()
    checker = Checker(environment, limits)
    try:
        root = checker.check_node(node, Scope())
    except UntypedError:
        raise ExpressionError(*checker.problems) from None
    problems = [*checker.problems, *root.faults, *exceeded_limits(root, limits)]
    if isinstance(expected_type, t.Type) and t.common_type(root.type, expected_type) != expected_type:
        problems.append(Problem(node.at, f"this yields {root.type}, but {expected_type} is expected here"))
    if problems:
        raise ExpressionError(*problems)
    return Checked(root, environment)


def exceeded_limits(root: Typed, limits: Limits) -> list[Problem]:
    """Return a problem for each limit that the expression exceeds: its steps or the size of its result."""
    at = root.node.at
    problems = []
    if root.cost > limits.max_steps:
        what = f"this may take {root.cost} steps; the limit is {limits.max_steps}"
        problems.append(Problem(at, what, "most expensive: " + ", ".join(most_expensive_operations(root))))
    if root.bound.total > limits.max_result_size:
        what = f"the result may have a size of {root.bound.total}; the limit is {limits.max_result_size}"
        problems.append(Problem(at, what, "use substring() or fewer operands"))
    return problems


def most_expensive_operations(root: Typed, count: int = MAX_OPERATIONS_SHOWN) -> list[str]:
    """Return the most expensive operations, with their positions and worst-case steps."""
    found: list[tuple[int, Position, str]] = []
    pending = [(root, 1)]
    while pending:
        typed, times = pending.pop()
        found.append((typed.own_steps * times, typed.node.at, show(typed.node)))
        pending += [(part, times * typed.times(i)) for i, part in enumerate(typed.parts)]
    found.sort(key=lambda entry: (-entry[0], entry[1]))
    return [f"{steps} for {text} at {at}" for steps, at, text in found[:count]]


class Checker(optionals.OptionalChecks, operators.OperatorChecks, FunctionChecks):
    """Checks one expression and collects its problems."""

    def check_node(self, node: s.Node, scope: Scope) -> Typed:
        """Check a node by its kind.

        Raises:
            UntypedError: The node cannot be typed.
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
        """Check && or ||: each term is checked with the facts that the terms before it imply.

        Raises:
            UntypedError: A term cannot be typed or is not a bool.
        """
        parts = []
        inner = scope
        failed = False
        for term in node.terms:
            try:
                part = self.check_node(term, inner)
                if part.type != t.BOOL:
                    what = f"{node.operator} requires bool, not {part.type}"
                    raise self.reject(term, what, "there is no implicit conversion: write a comparison")
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
        """Check ?: with the facts that the condition implies in each branch; the costlier branch counts.

        Raises:
            UntypedError: The condition is not a bool, or the branches have no common type.
        """
        condition = self.check_node(node.condition, scope)
        if condition.type != t.BOOL:
            raise self.reject(node.condition, f"?: requires bool, not {condition.type}", "write a comparison")
        then = self.check_node(node.then, self.branch_scope(node, True, scope))
        other = self.check_node(node.other, self.branch_scope(node, False, scope))
        kind = t.common_type(then.type, other.type)
        if kind is None:
            what = f"?: yields {then.type} or {other.type}"
            raise self.reject(node.other, what, "both branches must have the same type")
        return self.typed_node(
            node,
            kind,
            Op.CONDITIONAL,
            (condition, then, other),
            bound=then.bound.union(other.bound),
            total=1 + condition.cost + max(then.cost, other.cost),
        )

    def branch_scope(self, node: s.Conditional, truth: bool, scope: Scope) -> Scope:
        """Return the scope of the branch that is taken if the condition equals `truth`."""
        return scope.with_facts(implied_facts(node.condition, truth, self.environment))

    def check_list(self, node: s.ListLiteral, scope: Scope) -> Typed:
        """Check a list literal.

        Raises:
            UntypedError: The items have no common type, or are optionals.
        """
        parts = self.check_siblings(node.items, scope)
        kind: t.Type = t.NEVER
        for part in parts:
            together = t.common_type(kind, part.type)
            if together is None:
                what = f"a list of {kind} cannot hold {part.type}"
                raise self.reject(part.node, what, "all elements must have the same type")
            kind = together
        if isinstance(kind, t.OptionalOf):
            raise self.reject(node, "a list of optionals is not supported", "use orValue first")
        bound = b.list_bound(len(parts), common_bound(parts), len(parts))
        return self.typed_node(node, t.ListOf(kind), Op.LIST, parts, bound=bound, own_steps=LIST_STEPS)

    def check_map(self, node: s.MapLiteral, scope: Scope) -> Typed:
        """Check a map literal.

        Raises:
            UntypedError: A key is not a string literal or is repeated, or the values have no common type.
        """
        parts = self.check_siblings((part for item in node.items for part in item), scope)
        kind: t.Type = t.NEVER
        seen = set()
        for key, value in zip(parts[::2], parts[1::2], strict=True):
            if key.type != t.STRING or not key.is_literal:
                raise self.reject(key.node, "a key of a map must be a string literal")
            if key.detail in seen:
                raise self.reject(key.node, f"duplicate key {key.detail!r}")
            seen.add(key.detail)
            together = t.common_type(kind, value.type)
            if together is None or isinstance(value.type, t.OptionalOf):
                what = f"a map to {kind} cannot hold {value.type}"
                raise self.reject(value.node, what, "all values must have the same type")
            kind = together
        count = len(node.items)
        bound = b.list_bound(count, common_bound(parts[1::2]), count)
        return self.typed_node(node, t.MapOf(kind), Op.MAP, parts, own_steps=MAP_STEPS, bound=bound)

    def check_call(self, node: s.Call, scope: Scope) -> Typed:
        """Check a call: a macro, an operator, an optional's method or a function.

        Raises:
            UntypedError: The call cannot be typed.
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
        """Check a call whose arguments are not all plain values; return None for any other call."""
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
    """Return the bound of a value that is any of the parts; without parts, the widest bound."""
    if not parts:
        return b.ANY
    bound = parts[0].bound
    for part in parts[1:]:
        bound = bound.union(part.bound)
    return bound
