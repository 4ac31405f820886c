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
from stoatrouter.expressions.typed import Scope, Typed

LIST_STEPS, MAP_STEPS = 10, 30  # cel-go's costs of making one


class Stop(Exception):
    """A part has no type, so that what is above it cannot be checked."""


class CheckerBase:
    """What all checks share."""

    def __init__(self, environment: Environment, limits: Limits) -> None:
        self.environment, self.limits = environment, limits
        self.problems: list[Problem] = []

    def of(self, node: s.Node, scope: Scope) -> Typed:
        """Check a node of any kind; raises Stop where it has no type."""
        raise NotImplementedError

    def made(
        self,
        node: s.Node,
        kind: t.Type,
        op: str,
        parts: tuple[Typed, ...] = (),
        *,
        faults: tuple[Problem, ...] = (),
        own: int = 1,
        repeats: tuple[int, ...] = (),
        total: int | None = None,
        **more: Any,
    ) -> Typed:
        """A typed node with its cost; a value over the size limit is recorded as a problem."""
        typed = Typed(
            node,
            kind,
            op,
            parts,
            own=own,
            repeats=repeats,
            faults=tuple(f for part in parts for f in part.faults) + faults,
            **more,
        )
        cost = own + sum(p.cost * typed.times(i) for i, p in enumerate(parts)) if total is None else total
        # Guards memory: no value on the way may be larger than this, however few steps make it.
        if op != "variable" and typed.bound.total > self.limits.largest:
            self.wrong(
                node,
                f"{show(node)} may have a size of {typed.bound.total}, {self.limits.largest} at most",
                "limit what it is made of",
            )
        return replace(typed, cost=cost)

    def wrong(self, node: s.Node, what: str, remedy: str = "") -> Stop:
        """Record a problem at a node; returns the Stop that the caller raises."""
        self.problems.append(Problem(node.at, what, remedy))
        return Stop()

    def stopped(self, parts: Iterable[Typed]) -> Stop:
        """The Stop to raise where a part has no type; the faults of its siblings are recorded too."""
        self.problems += [fault for part in parts for fault in part.faults]
        return Stop()

    def all_of(self, nodes: Iterable[s.Node], scope: Scope) -> tuple[Typed, ...]:
        """Check siblings, so that the problems of all are found; raises Stop."""
        done, stopped = [], False
        for node in nodes:
            try:
                done.append(self.of(node, scope))
            except Stop:
                stopped = True
        if stopped:
            raise self.stopped(done)
        return tuple(done)

    def optional(self, node: s.Node, kind: t.Type, op: str, parts: tuple[Typed, ...], **more: Any) -> Typed:
        """A typed node that yields an optional; raises Stop for an optional of an optional."""
        # Guards the compiled form, in which none is told from a value: an optional holds no optional.
        if isinstance(kind, t.OptionalOf):
            raise self.wrong(node, "an optional of an optional is left out", "use orValue first")
        return self.made(node, t.OptionalOf(kind), op, parts, **more)
