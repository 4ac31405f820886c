"""Typed nodes of an expression, with their bounds and costs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from stoatrouter.expressions import bounds as b
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions import types as t
from stoatrouter.expressions.environment import Environment
from stoatrouter.expressions.errors import Problem
from stoatrouter.expressions.guards import Fact, FactKind


class Op(StrEnum):
    """The operation that a node is compiled to; comments describe `Typed.detail`, if there is one.

    `..._SURE` are look-ups that cannot fail, `..._OPTIONAL` look-ups that yield an optional.
    """

    LITERAL = "literal"  # the value
    VARIABLE = "variable"  # the attribute of the object of inputs
    LOCAL = "local"  # the name of the variable of a macro
    LIST = "list"
    MAP = "map"
    SAME = "same"  # the part itself
    FOLDED = "folded"  # the part in lower case
    KEY = "key"
    KEY_SURE = "key!"
    KEY_OPTIONAL = "key?"
    ELEMENT = "element"
    ELEMENT_SURE = "element!"
    ELEMENT_OPTIONAL = "element?"
    HAS_VALUE = "has value"
    VALUE = "value"
    OR = "or"
    OPTIONAL_MAP = "optional map"  # the name of the variable
    TRY = "try"
    LOGIC = "logic"  # the operator
    NOT = "not"
    CONDITIONAL = "conditional"
    COMPARE = "compare"  # the operator
    IN_MAP = "in map"
    IN_LIST = "in list"
    NEGATE = "negate"  # an ArithmeticDetail
    ADD = "add"
    ARITHMETIC = "arithmetic"  # an ArithmeticDetail
    SIZE = "size"
    CALL = "call"  # a CallDetail
    MACRO = "macro"  # a MacroDetail


@dataclass(slots=True, frozen=True)
class Typed:
    """A node with its type, bound and cost; `op` and `detail` determine the code to emit.

    Attributes:
        own_steps: The steps of the node without those of its parts.
        repeats: How often each part is evaluated in the worst case; empty if once.
        faults: The reasons why evaluation may fail.
        cost: The steps in the worst case, including those of the parts.
    """

    node: s.Node
    type: t.Type
    op: Op
    parts: tuple[Typed, ...] = ()
    detail: Any = None
    bound: b.Bound = b.ANY
    own_steps: int = 1
    repeats: tuple[int, ...] = ()
    faults: tuple[Problem, ...] = ()
    cost: int = 0

    def times(self, i: int) -> int:
        """Return how often part i is evaluated in the worst case."""
        return self.repeats[i] if self.repeats else 1

    @property
    def is_literal(self) -> bool:
        """Return whether the value is known at load; `detail` is the value then."""
        return self.op is Op.LITERAL


@dataclass(slots=True, frozen=True)
class Checked:
    """An expression that passed all checks: it is within the limits and cannot fail."""

    root: Typed
    environment: Environment

    @property
    def type(self) -> t.Type:
        """Return the type of the value."""
        return self.root.type

    @property
    def cost(self) -> int:
        """Return the number of steps in the worst case."""
        return self.root.cost

    @property
    def bound(self) -> b.Bound:
        """Return the bound of the value."""
        return self.root.bound


@dataclass(slots=True, frozen=True)
class Scope:
    """The variables of macros and the facts implied by guards that are valid at a node."""

    variables: dict[str, Typed] = field(default_factory=dict)
    facts: frozenset[Fact] = frozenset()

    def with_facts(self, more: Iterable[Fact]) -> Scope:
        """Return this scope with more facts."""
        return Scope(self.variables, self.facts | frozenset(more))

    def with_variable(self, name: str, element: Typed) -> Scope:
        """Return this scope with one more variable of a macro."""
        return Scope({**self.variables, name: element}, self.facts)

    def known_length(self, node: s.Node) -> int:
        """Return the minimum length that the facts imply for a list or string."""
        lengths = (fact for fact in self.facts if fact.kind is FactKind.LENGTH)
        return max((fact.min_length for fact in lengths if fact.subject == node), default=0)


def fold_key(key: Typed) -> Typed:
    """Return a key in lower case, as header field names are stored."""
    if key.is_literal and isinstance(key.node, s.Literal):
        lower = key.detail.lower()
        return replace(key, detail=lower, node=replace(key.node, value=lower))
    own_steps = 1 + b.scan_steps(key.bound.length)
    return replace(
        key, op=Op.FOLDED, parts=(key,), own_steps=own_steps, repeats=(), cost=key.cost + own_steps
    )
