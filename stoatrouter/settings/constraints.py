"""What is said of a scalar: its kind, bounds and concrete value, and whether they can hold together."""

from __future__ import annotations

import operator
import re
from collections.abc import Callable
from functools import lru_cache
from typing import Any, Protocol

import re2

from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import Fault

# Kinds by their names: sets of the basic ones
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
COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "!=": operator.ne,
    "=~": lambda text, pattern: pattern.search(text) is not None,
    "!~": lambda text, pattern: pattern.search(text) is None,
}
NOTHING = object()


@lru_cache(maxsize=256)
def compiled(pattern: str, shipped: bool = False) -> Any:
    """A pattern in RE2's syntax, which is CUE's. What the schemas ship is matched by `re`: each call of RE2's
    lets go of the interpreter for a moment, and many of them in a thread leave the loop none of its turns.
    """
    if shipped:
        return re.compile(pattern)
    options = re2.Options()
    options.log_errors = False
    return re2.compile(pattern, options)


def kind_of_value(value: Any) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "bool"
    return {int: "int", float: "float", str: "string"}[type(value)]


def kind_of(node: s.Node) -> frozenset[str] | None:
    """The kinds that a node can be, where its text tells."""
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
    """What knows its path; it is asked for it only when something is wrong."""

    @property
    def path(self) -> str: ...


class Constraints:
    """All that is said of one value. What cannot hold is added to the faults that are passed in."""

    __slots__ = ("kinds", "value", "bounds", "said")

    def __init__(self) -> None:
        self.kinds = BASIC
        self.value: Any = NOTHING
        self.bounds: list[tuple[str, Any, s.Place]] = []
        self.said: list[tuple[str, s.Place]] = []

    @property
    def is_concrete(self) -> bool:
        return self.value is not NOTHING

    @property
    def is_struct(self) -> bool:
        return self.kinds == KINDS["struct"]

    @property
    def may_hold(self) -> bool:
        """Whether it may have fields or elements."""
        return "struct" in self.kinds or "list" in self.kinds

    def may_be(self, kinds: frozenset[str]) -> bool:
        return bool(self.kinds & kinds)

    def kind(self, name: str, at: s.Place, faults: list[Fault], where: Located) -> None:
        """It is of this kind."""
        self.narrow(KINDS[name], name, at, faults, where)
        if name == "uint":
            self.bound(">=", 0, at, faults, where)

    def narrow(
        self, kinds: frozenset[str], name: str, at: s.Place, faults: list[Fault], where: Located
    ) -> None:
        if not self.kinds & kinds:
            faults.append(self.conflict(name, at, where))
            return
        self.kinds = self.kinds & kinds
        self.said.append((name, at))

    def atom(self, value: Any, at: s.Place, faults: list[Fault], where: Located) -> None:
        """It is this value."""
        kind = kind_of_value(value)
        shown = s_text(value)
        if not self.kinds & {kind}:
            faults.append(self.conflict(shown, at, where))
            return
        if self.is_concrete and (value != self.value or kind_of_value(self.value) != kind):
            faults.append(self.conflict(shown, at, where))
            return
        self.kinds, self.value = frozenset((kind,)), value
        self.said.append((shown, at))
        self.hold(faults, where)

    def bound(self, name: str, operand: Any, at: s.Place, faults: list[Fault], where: Located) -> None:
        """It lies on this side of a value, or matches a pattern."""
        if name in ("=~", "!~"):
            try:
                compiled(operand)
            except (re2.error, TypeError) as error:
                faults.append(Fault(at, where.path, f"{operand!r} is no pattern: {error}"))
                return
        if name != "!=":
            kinds = KINDS["number"] if isinstance(operand, int | float) else KINDS["string"]
            self.narrow(kinds, f"{name}{s_text(operand)}", at, faults, where)
        else:
            self.said.append((f"{name}{s_text(operand)}", at))
        self.bounds.append((name, operand, at))
        self.hold(faults, where)

    def hold(self, faults: list[Fault], where: Located) -> None:
        """Check the value against the bounds, once there is one."""
        if not self.is_concrete or faults:
            return
        for name, operand, at in self.bounds:
            comparable = isinstance(operand, str) == isinstance(self.value, str)
            against = compiled(operand, at.file.startswith("<")) if name in ("=~", "!~") else operand
            if (comparable and not COMPARE[name](self.value, against)) or (not comparable and name != "!="):
                faults.append(self.beyond(f"{name}{s_text(operand)}", at, where))
                return

    def beyond(self, bound: str, at: s.Place, where: Located) -> Fault:
        """The value lies on the wrong side of a bound."""
        shown = s_text(self.value)
        value_at = next((place for text, place in reversed(self.said) if text == shown), at)
        if at.file.startswith("<"):
            schema = [text for text, place in self.said if place.file.startswith("<")]
            allowed = " & ".join(dict.fromkeys(schema or [bound]))
            return Fault(value_at, where.path, f"found {shown}", f"allowed: {allowed}")
        return Fault(value_at, where.path, f"found {shown}, but {bound} at {at}", "both cannot hold")

    def conflict(self, new: str, at: s.Place, where: Located) -> Fault:
        """Two things that cannot both hold, said from the operator's side."""
        said = [*self.said, (new, at)]
        own = [entry for entry in said if not entry[1].file.startswith("<")]
        schema = [text for text, place in said if place.file.startswith("<")]
        if not own:
            return Fault(
                at, where.path, "the schema contradicts itself: " + " & ".join(text for text, _ in said)
            )
        if not schema:
            first, last = own[0], own[-1]
            return Fault(
                last[1], where.path, f"found {last[0]}, but {first[0]} at {first[1]}", "both cannot hold"
            )
        return Fault(
            own[-1][1], where.path, f"found {own[-1][0]}", "allowed: " + " & ".join(dict.fromkeys(schema))
        )


def s_text(value: Any) -> str:
    import json

    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= 80 else text[:77] + "..."
