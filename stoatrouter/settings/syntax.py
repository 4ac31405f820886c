"""The syntax tree of settings files: the part of CUE's grammar that is read (docs/settings.md).

Every node knows its place, so that each fault can name a file and a line.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

HIDDEN = ("#", "_")  # what the names of definitions and hidden fields begin with


@dataclass(slots=True, frozen=True, order=True)
class Place:
    """A file, by the name it was given, and a line in it, counted from 1.

    Shipped schemas have names in angle brackets, such as `<rules.cue>`.
    """

    file: str
    line: int

    def __str__(self) -> str:
        """The form of compilers' messages, `file:line`."""
        return f"{self.file}:{self.line}"

    @property
    def in_schema(self) -> bool:
        """Whether this is a place in a shipped schema, not in an operator's file."""
        return self.file.startswith("<")


@dataclass(slots=True, frozen=True)
class Node:
    """Any node of the tree, and where it begins."""

    at: Place


@dataclass(slots=True, frozen=True)
class Atom(Node):
    """A concrete scalar."""

    value: str | int | float | bool | None


@dataclass(slots=True, frozen=True)
class Reference(Node):
    """A name, and the fields that are selected below it: `shared.limits.steps`."""

    name: str
    path: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class BoundOf(Node):
    """A bound: an operator, such as `>=` or `=~`, and the operand that it compares with."""

    operator: str
    operand: Node


@dataclass(slots=True, frozen=True)
class Unified(Node):
    """A conjunction, `a & b`: a value has to satisfy all parts."""

    parts: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Disjunction(Node):
    """Alternatives, `*a | b`, each with whether the star marks it as a default."""

    parts: tuple[tuple[bool, Node], ...]


@dataclass(slots=True, frozen=True)
class Field(Node):
    """One declaration `label: value`; the mark is "" (regular), "?" (optional) or "!" (required)."""

    label: str
    mark: Literal["", "?", "!"]
    value: Node


@dataclass(slots=True, frozen=True)
class Pattern(Node):
    """A pattern constraint `[label]: value`, which holds for each field whose name unifies with the label."""

    label: Node
    value: Node


@dataclass(slots=True, frozen=True)
class Struct(Node):
    """The declarations between braces, or of a whole file; `open` where they end with `...`."""

    fields: tuple[Field, ...]
    patterns: tuple[Pattern, ...] = ()
    open: bool = False


@dataclass(slots=True, frozen=True)
class ListOf(Node):
    """A list; where it is open (`...`), further elements have to satisfy `rest`, if there is one."""

    items: tuple[Node, ...]
    rest: Node | None = None
    open: bool = False


@dataclass(slots=True, frozen=True)
class Import:
    """One import: the name that it has in the file, the path that it names, and where it stands."""

    name: str
    path: str
    at: Place


@dataclass(slots=True, frozen=True)
class File:
    """One file: its package clause, its imports, and its fields."""

    name: str
    package: str | None
    imports: tuple[Import, ...]
    body: Struct
