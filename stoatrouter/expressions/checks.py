"""The base of the checks of an expression: problems, limits and typed nodes."""

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
MAP_STEPS = 30  # and of creating a map


class UntypedError(Exception):
    """A node has no type, so that what is above it cannot be checked; its problem is recorded."""


class CheckerBase:
    """What all checks share."""

    def __init__(self, environment: Environment, limits: Limits) -> None:
        """Begin a check without problems."""
        self.environment = environment
        self.limits = limits
        self.problems: list[Problem] = []

    def check_node(self, node: s.Node, scope: Scope) -> Typed:
        """Check a node of any kind.

        Raises:
            UntypedError: It has no type.
        """
        raise NotImplementedError

    def check_siblings(self, nodes: Iterable[s.Node], scope: Scope) -> tuple[Typed, ...]:
        """Check several nodes, so that the problems of all are found.

        Raises:
            UntypedError: One of them has no type.
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
        """A typed node with its cost; a value over the size limit is recorded as a problem.

        `faults` are added to those of the parts; `total` is the cost, where that is not the node's own and
        those of all parts; `more` are other attributes of `Typed`.
        """
        inherited = tuple(fault for part in parts for fault in part.faults)
        typed = Typed(node, kind, op, parts, faults=inherited + faults, **more)
        if total is None:
            total = typed.own_steps + sum(part.cost * typed.times(i) for i, part in enumerate(parts))
        # Guards memory: no value on the way may be larger than this, however few steps it takes.
        if op is not Op.VARIABLE and typed.bound.total > self.limits.max_value_size:
            what = (
                f"{show(node)} may have a size of {typed.bound.total}, {self.limits.max_value_size} at most"
            )
            self.reject(node, what, "limit what it is made of")
        return replace(typed, cost=total)

    def optional_node(
        self, node: s.Node, kind: t.Type, op: Op, parts: tuple[Typed, ...], **more: Any
    ) -> Typed:
        """A typed node that yields an optional of a type.

        Raises:
            UntypedError: It would be an optional of an optional.
        """
        # Guards the compiled form, in which none is told from a value: an optional holds no optional.
        if isinstance(kind, t.OptionalOf):
            raise self.reject(node, "an optional of an optional is left out", "use orValue first")
        return self.typed_node(node, t.OptionalOf(kind), op, parts, **more)

    def reject(self, node: s.Node, what: str, remedy: str = "") -> UntypedError:
        """Record a problem at a node; returns the error that the caller raises."""
        self.problems.append(Problem(node.at, what, remedy))
        return UntypedError()

    def abandon(self, siblings: Iterable[Typed]) -> UntypedError:
        """The error to raise where a part has no type; the faults of its siblings are recorded too."""
        self.problems += [fault for part in siblings for fault in part.faults]
        return UntypedError()


def failure_problem(node: s.Node, why: str) -> Problem:
    """The fault of an operation that may fail."""
    text = show(node)
    return Problem(node.at, f"{text} may fail: {why}", f"give it a fallback: try({text}).orValue(...)")
