"""The base class of the checks of an expression: problems, limits and typed nodes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.environment import Environment, Limits
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.show import show
from stoatrouter.expressions.typed import Op, Scope, Typed

LIST_STEPS = 10  # cel-go's cost of creating a list
MAP_STEPS = 30  # cel-go's cost of creating a map


class UntypedError(Exception):
    """A node cannot be typed, so its parents cannot be checked; the problem is already recorded."""


class CheckerBase:
    """State and helpers that all checks share."""

    def __init__(self, environment: Environment, limits: Limits) -> None:
        """Start a check without problems."""
        self.environment = environment
        self.limits = limits
        self.problems: list[Problem] = []

    def check_node(self, node: s.Node, scope: Scope) -> Typed:
        """Check a node of any kind.

        Raises:
            UntypedError: The node cannot be typed.
        """
        raise NotImplementedError

    def check_siblings(self, nodes: Iterable[s.Node], scope: Scope) -> tuple[Typed, ...]:
        """Check several nodes; the problems of all of them are recorded.

        Raises:
            UntypedError: One of the nodes cannot be typed.
        """
        checked = []
        failed = False
        for node in nodes:
            try:
                checked.append(self.check_node(node, scope))
            except UntypedError:
                failed = True
        if failed:
            raise self.abandon(checked)
        return tuple(checked)

    def typed_node(
        self,
        node: s.Node,
        kind: t.Type,
        op: Op,
        parts: tuple[Typed, ...] = (),
        *,
        faults: tuple[Problem, ...] = (),
        total: int | None = None,
        **more: Any,
    ) -> Typed:
        """Return a typed node with its cost; a value over the size limit is recorded as a problem.

        `faults` are added to those of the parts. `total` is the cost, if it is not the sum of the node's own
        steps and the cost of all parts. `more` are other attributes of `Typed`.
        """
        inherited = tuple(fault for part in parts for fault in part.faults)
        typed = Typed(node, kind, op, parts, faults=inherited + faults, **more)
        if total is None:
            total = typed.own_steps + sum(part.cost * typed.times(i) for i, part in enumerate(parts))
        # Limits memory: no intermediate value may exceed this size, however few steps it takes.
        if op is not Op.VARIABLE and typed.bound.total > self.limits.max_value_size:
            what = (
                f"{show(node)} may have a size of {typed.bound.total}; "
                f"the limit is {self.limits.max_value_size}"
            )
            self.reject(node, what, "use smaller operands")
        return replace(typed, cost=total)

    def optional_node(
        self, node: s.Node, kind: t.Type, op: Op, parts: tuple[Typed, ...], **more: Any
    ) -> Typed:
        """Return a typed node that yields an optional of a type.

        Raises:
            UntypedError: The node would yield an optional of an optional.
        """
        # Compiled code represents an empty optional as None, so nested optionals could not be told apart.
        if isinstance(kind, t.OptionalOf):
            raise self.reject(node, "an optional of an optional is not supported", "use orValue first")
        return self.typed_node(node, t.OptionalOf(kind), op, parts, **more)

    def reject(self, node: s.Node, what: str, remedy: str = "") -> UntypedError:
        """Record a problem at a node; return the error for the caller to raise."""
        self.problems.append(Problem(node.at, what, remedy))
        return UntypedError()

    def abandon(self, siblings: Iterable[Typed]) -> UntypedError:
        """Record the faults of the siblings of an untyped part; return the error for the caller to raise."""
        self.problems += [fault for part in siblings for fault in part.faults]
        return UntypedError()


def failure_problem(node: s.Node, why: str) -> Problem:
    """Return the fault of an operation that may fail."""
    text = show(node)
    return Problem(node.at, f"{text} may fail: {why}", f"add a fallback: try({text}).orValue(...)")
