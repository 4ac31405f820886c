"""Nodes of an expression with their types, bounds and costs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.environment import Environment
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.guards import Fact


@dataclass(slots=True, frozen=True)
class Typed:
    """A node with its type, bound and cost; `op` and `detail` tell the compiler what to emit."""

    node: s.Node
    type: t.Type
    op: str
    parts: tuple[Typed, ...] = ()
    detail: Any = None
    bound: b.Bound = b.ANY
    own: int = 1  # steps without those of the parts
    repeats: tuple[int, ...] = ()  # how often each part is run, where that is not once
    faults: tuple[Problem, ...] = ()  # why evaluation may fail
    cost: int = 0

    def times(self, i: int) -> int:
        """How often part i is run in the worst case."""
        return self.repeats[i] if self.repeats else 1


@dataclass(slots=True, frozen=True)
class Checked:
    """An expression that passed: it is within the limits and cannot fail."""

    root: Typed
    environment: Environment

    @property
    def type(self) -> t.Type:
        """The type of the value."""
        return self.root.type

    @property
    def cost(self) -> int:
        """The steps in the worst case."""
        return self.root.cost

    @property
    def bound(self) -> b.Bound:
        """The bounds of the value."""
        return self.root.bound


@dataclass(slots=True, frozen=True)
class Scope:
    """What holds at one place of an expression: variables of macros, and facts that guards have shown."""

    locals: dict[str, Typed] = field(default_factory=dict)
    known: frozenset[Fact] = frozenset()

    def knowing(self, more: Iterable[Fact]) -> Scope:
        """This scope with more facts."""
        return Scope(self.locals, self.known | frozenset(more))

    def longest(self, node: s.Node) -> int:
        """The least length that a list or text is known to have."""
        return max((f.least for f in self.known if f.kind == "length" and f.subject == node), default=0)


def folded(key: Typed) -> Typed:
    """A key in lower case, as header fields are kept."""
    if key.op == "literal":
        return replace(key, detail=key.detail.lower(), node=replace(key.node, value=key.detail.lower()))
    return replace(
        key,
        op="folded",
        parts=(key,),
        own=1 + b.walk(key.bound.length),
        repeats=(),
        cost=key.cost + 1 + b.walk(key.bound.length),
    )
