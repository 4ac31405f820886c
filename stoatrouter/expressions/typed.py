"""Nodes of an expression with their types, bounds and costs."""

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
    """What a node is compiled to; the comments name `Typed.detail`, where there is one.

    `..._SURE` are look-ups that cannot fail, `..._OPTIONAL` those that yield an optional.
    """

    LITERAL = "literal"  # its value
    VARIABLE = "variable"  # the attribute of the object of inputs
    LOCAL = "local"  # the name of a macro's variable
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
    OPTIONAL_MAP = "optional map"  # the name of its variable
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
    """A node with its type, bound and cost; `op` and `detail` tell the compiler what to emit.

    Attributes:
        own_steps: The steps of the node without those of its parts.
        repeats: How often each part is run, where that is not once.
        faults: Why evaluation may fail.
        cost: The steps in the worst case, parts included.
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
        """How often part i is run in the worst case."""
        return self.repeats[i] if self.repeats else 1

    @property
    def is_literal(self) -> bool:
        """Whether its value is known at load; it is the detail."""
        return self.op is Op.LITERAL


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

    variables: dict[str, Typed] = field(default_factory=dict)
    facts: frozenset[Fact] = frozenset()

    def with_facts(self, more: Iterable[Fact]) -> Scope:
        """This scope with more facts."""
        return Scope(self.variables, self.facts | frozenset(more))

    def with_variable(self, name: str, element: Typed) -> Scope:
        """This scope with one more variable of a macro."""
        return Scope({**self.variables, name: element}, self.facts)

    def known_length(self, node: s.Node) -> int:
        """The least length that a list or text is known to have."""
        lengths = (fact for fact in self.facts if fact.kind is FactKind.LENGTH)
        return max((fact.min_length for fact in lengths if fact.subject == node), default=0)


def fold_key(key: Typed) -> Typed:
    """A key in lower case, as the names of header fields are stored."""
    if key.is_literal and isinstance(key.node, s.Literal):
        lower = key.detail.lower()
        return replace(key, detail=lower, node=replace(key.node, value=lower))
    own_steps = 1 + b.scan_steps(key.bound.length)
    return replace(
        key, op=Op.FOLDED, parts=(key,), own_steps=own_steps, repeats=(), cost=key.cost + own_steps
    )
