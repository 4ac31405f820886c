"""The constraints on one value: its kinds, bounds and concrete value, and whether they can hold together.

This is unification of scalars as CUE's specification has it ("Types", "Bounds"); what structs and lists hold
is the evaluation's business.
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

# Kinds by their names in CUE: sets of the basic ones
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
COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "!=": operator.ne,
    MATCHES: lambda text, pattern: pattern.search(text) is not None,
    MATCHES_NOT: lambda text, pattern: pattern.search(text) is None,
}
NO_VALUE = object()  # no concrete value so far; None is CUE's null
LONGEST_VALUE = 80  # characters of a value in a message


@lru_cache(maxsize=256)
def compile_pattern(pattern: str, shipped: bool = False) -> Any:
    """Compile a pattern in RE2's syntax, which is CUE's.

    What the schemas ship is matched by `re`: each call of RE2's releases the interpreter lock for a moment,
    and many of them in a thread starve the event loop.

    Raises:
        re2.error: It is no pattern.
        TypeError: It is no text.
    """
    if shipped:
        return re.compile(pattern)
    options = re2.Options()
    options.log_errors = False
    return re2.compile(pattern, options)


def kind_of_value(value: Any) -> str:
    """The name of a concrete scalar's kind."""
    return KIND_OF_PYTHON_TYPE[type(value)]


def kinds_of_node(node: s.Node) -> frozenset[str] | None:
    """The kinds that a node can be as far as its text tells; None where it has to be evaluated."""
    match node:
        case s.Atom():
            return frozenset((kind_of_value(node.value),))
        case s.Struct():
            return KINDS["struct"]
        case s.ListOf():
            return KINDS["list"]
        case s.Reference() if not node.path:
            return KINDS.get(node.name)
        case _:
            return None


class Located(Protocol):
    """Whatever knows its path in the file; the path is worked out for a fault only."""

    @property
    def path(self) -> str:
        """The path from the top of the file."""


@dataclass(slots=True, frozen=True)
class Statement:
    """One constraint as text, and where it stands: the evidence in a conflict."""

    text: str
    at: s.Place


@dataclass(slots=True, frozen=True)
class Bound:
    """One bound, with its operand evaluated."""

    operator: str
    operand: Any
    at: s.Place

    def __str__(self) -> str:
        """The bound in CUE's syntax."""
        return f"{self.operator}{value_text(self.operand)}"

    def admits(self, value: Any) -> bool:
        """Whether a concrete value lies on the right side; text and number differ, but do not compare."""
        if isinstance(self.operand, str) != isinstance(value, str):
            return self.operator == "!="
        if self.operator in (MATCHES, MATCHES_NOT):
            return COMPARE[self.operator](value, compile_pattern(self.operand, self.at.in_schema))
        return COMPARE[self.operator](value, self.operand)


class Constraints:
    """All constraints on one value.

    Methods that add one take its place, the list that a fault is appended to where it cannot hold together
    with those before, and the field that the fault is about.
    """

    __slots__ = ("kinds", "value", "bounds", "statements")

    def __init__(self) -> None:
        """Begin without a constraint: any value of any kind."""
        self.kinds = BASIC
        self.value: Any = NO_VALUE
        self.bounds: list[Bound] = []
        self.statements: list[Statement] = []

    @property
    def is_concrete(self) -> bool:
        """Whether there is one concrete scalar."""
        return self.value is not NO_VALUE

    @property
    def is_struct(self) -> bool:
        """Whether it can be nothing but a struct."""
        return self.kinds == KINDS["struct"]

    @property
    def may_have_arcs(self) -> bool:
        """Whether it may have fields or elements."""
        return "struct" in self.kinds or "list" in self.kinds

    def may_be(self, kinds: frozenset[str]) -> bool:
        """Whether it may be of one of these kinds."""
        return bool(self.kinds & kinds)

    def add_kind(self, name: str, at: s.Place, faults: list[Fault], where: Located) -> None:
        """Constrain it to a kind by CUE's name; `uint` is an int that is at least 0."""
        self.narrow_kinds(KINDS[name], name, at, faults, where)
        if name == "uint":
            self.add_bound(">=", 0, at, faults, where)

    def narrow_kinds(
        self, kinds: frozenset[str], text: str, at: s.Place, faults: list[Fault], where: Located
    ) -> None:
        """Constrain it to some kinds, for the reason that the text gives."""
        if not self.kinds & kinds:
            faults.append(self.conflict(text, at, where))
            return
        self.kinds = self.kinds & kinds
        self.statements.append(Statement(text, at))

    def add_value(self, value: Any, at: s.Place, faults: list[Fault], where: Located) -> None:
        """Constrain it to one concrete scalar; 1 and 1.0 are different ones."""
        kind = kind_of_value(value)
        text = value_text(value)
        differs = self.is_concrete and (value != self.value or kind_of_value(self.value) != kind)
        if kind not in self.kinds or differs:
            faults.append(self.conflict(text, at, where))
            return
        self.kinds = frozenset((kind,))
        self.value = value
        self.statements.append(Statement(text, at))
        self.check_bounds(faults, where)

    def add_bound(self, name: str, operand: Any, at: s.Place, faults: list[Fault], where: Located) -> None:
        """Constrain it to one side of a value, or to a pattern."""
        if name in (MATCHES, MATCHES_NOT):
            try:
                compile_pattern(operand)
            except (re2.error, TypeError) as error:
                faults.append(Fault(at, where.path, f"{operand!r} is no pattern: {error}"))
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
        """Record the first bound that a concrete value violates; nothing where there is a fault already."""
        if not self.is_concrete or faults:
            return
        for bound in self.bounds:
            if not bound.admits(self.value):
                faults.append(self.violation(bound, where))
                return

    def violation(self, bound: Bound, where: Located) -> Fault:
        """The fault of a value that a bound does not admit."""
        text = value_text(self.value)
        value_at = next((entry.at for entry in reversed(self.statements) if entry.text == text), bound.at)
        if not bound.at.in_schema:
            return Fault(value_at, where.path, f"found {text}, but {bound} at {bound.at}", "both cannot hold")
        schema = [entry.text for entry in self.statements if entry.at.in_schema]
        allowed = " & ".join(dict.fromkeys(schema or [str(bound)]))
        return Fault(value_at, where.path, f"found {text}", f"allowed: {allowed}")

    def conflict(self, text: str, at: s.Place, where: Located) -> Fault:
        """The fault of a constraint that cannot hold with those before, worded for the operator."""
        statements = [*self.statements, Statement(text, at)]
        own = [entry for entry in statements if not entry.at.in_schema]
        schema = [entry.text for entry in statements if entry.at.in_schema]
        if not own:
            return Fault(at, where.path, "the schema contradicts itself: " + " & ".join(schema))
        first, last = own[0], own[-1]
        if not schema:
            what = f"found {last.text}, but {first.text} at {first.at}"
            return Fault(last.at, where.path, what, "both cannot hold")
        allowed = " & ".join(dict.fromkeys(schema))
        return Fault(last.at, where.path, f"found {last.text}", f"allowed: {allowed}")


def value_text(value: Any) -> str:
    """A scalar as text for a message, cut to `LONGEST_VALUE` characters."""
    return truncate(json_text(value), LONGEST_VALUE)
