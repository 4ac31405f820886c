"""Unifies the constraints on one value: its kinds, bounds and concrete value.

This is the unification of scalars of CUE's specification ("Types", "Bounds"); `evaluate` unifies the contents
of structs and lists.
"""

from __future__ import annotations

import operator
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, Protocol

import re2  # type: ignore[import-untyped]  # google-re2 ships neither stubs nor a marker

from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import Fault, json_text, truncate

# Kinds by their names in CUE, as sets of basic kinds
BASIC = frozenset(("null", "bool", "int", "float", "string", "struct", "list"))
KINDS: dict[str, frozenset[str]] = {
    "_": BASIC,
    "null": frozenset(("null",)),
    "bool": frozenset(("bool",)),
    "int": frozenset(("int",)),
    "float": frozenset(("float",)),
    "number": frozenset(("int", "float")),
    "string": frozenset(("string",)),
    "uint": frozenset(("int",)),
    "struct": frozenset(("struct",)),
    "list": frozenset(("list",)),
}
KIND_OF_PYTHON_TYPE = {type(None): "null", bool: "bool", int: "int", float: "float", str: "string"}
MATCHES = "=~"
MATCHES_NOT = "!~"
COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "!=": operator.ne,
    MATCHES: lambda text, pattern: pattern.search(text) is not None,
    MATCHES_NOT: lambda text, pattern: pattern.search(text) is None,
}
NO_VALUE = object()  # no concrete value yet; None is CUE's null
MAX_VALUE_LENGTH = 80  # characters of a value in a message


@lru_cache(maxsize=256)
def compile_pattern(pattern: str, shipped: bool = False) -> Any:
    """Compile a pattern in RE2's syntax, which CUE uses.

    Patterns of the shipped schemas are matched by `re`: each call of RE2 releases the interpreter lock
    briefly, and many such calls in a thread starve the event loop.

    Raises:
        re2.error: The pattern is malformed.
        TypeError: The pattern is not a string.
    """
    if shipped:
        return re.compile(pattern)
    options = re2.Options()
    options.log_errors = False
    return re2.compile(pattern, options)


def kind_of_value(value: Any) -> str:
    """Return the name of a concrete scalar's kind."""
    return KIND_OF_PYTHON_TYPE[type(value)]


def kinds_of_node(node: s.Node) -> frozenset[str] | None:
    """Return the kinds that a node can have by its syntax alone; None if it has to be evaluated."""
    match node:
        case s.Atom():
            return frozenset((kind_of_value(node.value),))
        case s.Struct():
            return KINDS["struct"]
        case s.ListLiteral():
            return KINDS["list"]
        case s.Reference() if not node.path:
            return KINDS.get(node.name)
        case _:
            return None


class Located(Protocol):
    """An object that knows its path in the file; the path is computed only for faults."""

    @property
    def path(self) -> str:
        """Return the path from the top of the file."""


@dataclass(slots=True, frozen=True)
class Statement:
    """One constraint as text, with its place; reported if it conflicts with another one."""

    text: str
    at: s.Place


@dataclass(slots=True, frozen=True)
class Bound:
    """One bound with an evaluated operand."""

    operator: str
    operand: Any
    at: s.Place

    def __str__(self) -> str:
        """Return the bound in CUE's syntax."""
        return f"{self.operator}{value_text(self.operand)}"

    def admits(self, value: Any) -> bool:
        """Return whether a concrete value meets the bound; a string and a number only satisfy `!=`."""
        if isinstance(self.operand, str) != isinstance(value, str):
            return self.operator == "!="
        if self.operator in (MATCHES, MATCHES_NOT):
            return COMPARISONS[self.operator](value, compile_pattern(self.operand, self.at.in_schema))
        return COMPARISONS[self.operator](value, self.operand)


class Constraints:
    """All constraints on one value.

    Methods that add a constraint take its place, the list to which a fault is appended if it contradicts
    earlier constraints, and the field that the fault is about.
    """

    __slots__ = ("kinds", "value", "bounds", "statements")

    def __init__(self) -> None:
        """Start without constraints: any value of any kind is allowed."""
        self.kinds = BASIC
        self.value: Any = NO_VALUE
        self.bounds: list[Bound] = []
        self.statements: list[Statement] = []

    @property
    def is_concrete(self) -> bool:
        """Return whether the value is a concrete scalar."""
        return self.value is not NO_VALUE

    @property
    def is_struct(self) -> bool:
        """Return whether the value can only be a struct."""
        return self.kinds == KINDS["struct"]

    @property
    def may_have_arcs(self) -> bool:
        """Return whether the value may have fields or elements."""
        return "struct" in self.kinds or "list" in self.kinds

    def may_be(self, kinds: frozenset[str]) -> bool:
        """Return whether the value may have one of these kinds."""
        return bool(self.kinds & kinds)

    def add_kind(self, name: str, at: s.Place, faults: list[Fault], where: Located) -> None:
        """Constrain the value to a kind by its CUE name; `uint` is an int of at least 0."""
        self.narrow_kinds(KINDS[name], name, at, faults, where)
        if name == "uint":
            self.add_bound(">=", 0, at, faults, where)

    def narrow_kinds(
        self, kinds: frozenset[str], text: str, at: s.Place, faults: list[Fault], where: Located
    ) -> None:
        """Constrain the value to some kinds; `text` is the constraint that requires them."""
        if not self.kinds & kinds:
            faults.append(self.conflict_fault(text, at, where))
            return
        self.kinds = self.kinds & kinds
        self.statements.append(Statement(text, at))

    def add_value(self, value: Any, at: s.Place, faults: list[Fault], where: Located) -> None:
        """Constrain the value to one concrete scalar; 1 and 1.0 are different scalars."""
        kind = kind_of_value(value)
        text = value_text(value)
        differs = self.is_concrete and (value != self.value or kind_of_value(self.value) != kind)
        if kind not in self.kinds or differs:
            faults.append(self.conflict_fault(text, at, where))
            return
        self.kinds = frozenset((kind,))
        self.value = value
        self.statements.append(Statement(text, at))
        self.check_bounds(faults, where)

    def add_bound(self, name: str, operand: Any, at: s.Place, faults: list[Fault], where: Located) -> None:
        """Constrain the value by a comparison or a pattern."""
        if name in (MATCHES, MATCHES_NOT):
            try:
                compile_pattern(operand)
            except (re2.error, TypeError) as error:
                faults.append(Fault(at, where.path, f"{operand!r} is not a valid pattern: {error}"))
                return
        bound = Bound(name, operand, at)
        if name != "!=":
            kinds = KINDS["number"] if isinstance(operand, int | float) else KINDS["string"]
            self.narrow_kinds(kinds, str(bound), at, faults, where)
        else:
            self.statements.append(Statement(str(bound), at))
        self.bounds.append(bound)
        self.check_bounds(faults, where)

    def check_bounds(self, faults: list[Fault], where: Located) -> None:
        """Record the first bound that a concrete value violates, unless there is a fault already."""
        if not self.is_concrete or faults:
            return
        for bound in self.bounds:
            if not bound.admits(self.value):
                faults.append(self.bound_fault(bound, where))
                return

    def bound_fault(self, bound: Bound, where: Located) -> Fault:
        """Return the fault of a value that violates a bound."""
        text = value_text(self.value)
        value_at = next((entry.at for entry in reversed(self.statements) if entry.text == text), bound.at)
        if not bound.at.in_schema:
            return Fault(
                value_at, where.path, f"found {text}, but {bound} at {bound.at}", "the constraints conflict"
            )
        schema = [entry.text for entry in self.statements if entry.at.in_schema]
        allowed = " & ".join(dict.fromkeys(schema or [str(bound)]))
        return Fault(value_at, where.path, f"found {text}", f"allowed: {allowed}")

    def conflict_fault(self, text: str, at: s.Place, where: Located) -> Fault:
        """Return the fault of a constraint that contradicts earlier ones, worded for the operator."""
        statements = [*self.statements, Statement(text, at)]
        own = [entry for entry in statements if not entry.at.in_schema]
        schema = [entry.text for entry in statements if entry.at.in_schema]
        if not own:
            return Fault(at, where.path, "the schema contradicts itself: " + " & ".join(schema))
        first, last = own[0], own[-1]
        if not schema:
            what = f"found {last.text}, but {first.text} at {first.at}"
            return Fault(last.at, where.path, what, "the constraints conflict")
        allowed = " & ".join(dict.fromkeys(schema))
        return Fault(last.at, where.path, f"found {last.text}", f"allowed: {allowed}")


def value_text(value: Any) -> str:
    """Return a scalar as text for a message, truncated to `MAX_VALUE_LENGTH` characters."""
    return truncate(json_text(value), MAX_VALUE_LENGTH)
