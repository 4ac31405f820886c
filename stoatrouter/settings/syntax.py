"""Syntax tree of settings files, for the supported subset of CUE's grammar (docs/settings.md).

Every node has its place, so that each fault can name a file and a line.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

HIDDEN = ("#", "_")  # prefixes of the names of definitions and hidden fields


@dataclass(slots=True, frozen=True, order=True)
class Place:
    """A file, by the name under which it was opened, and a line in it, counted from 1.

    Shipped schemas have names in angle brackets, such as `<rules.cue>`.
    """

    file: str
    line: int

    def __str__(self) -> str:
        """Return `file:line`, as in messages of compilers."""
        return f"{self.file}:{self.line}"

    @property
    def in_schema(self) -> bool:
        """Return whether this is a place in a shipped schema, not in an operator's file."""
        return self.file.startswith("<")


@dataclass(slots=True, frozen=True)
class Node:
    """A node of the tree, with the place where it begins."""

    at: Place


@dataclass(slots=True, frozen=True)
class Atom(Node):
    """A concrete scalar."""

    value: str | int | float | bool | None


@dataclass(slots=True, frozen=True)
class Reference(Node):
    """A name and the path of fields selected below it: `shared.limits.steps`."""

    name: str
    path: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class BoundExpression(Node):
    """A bound: an operator, such as `>=` or `=~`, and its operand."""

    operator: str
    operand: Node


@dataclass(slots=True, frozen=True)
class Conjunction(Node):
    """A conjunction, `a & b`: a value must satisfy all parts."""

    parts: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Disjunction(Node):
    """Alternatives, `*a | b`, each with a flag whether a star marks it as a default."""

    parts: tuple[tuple[bool, Node], ...]


@dataclass(slots=True, frozen=True)
class Field(Node):
    """One declaration `label: value`; the mark is "" (regular), "?" (optional) or "!" (required)."""

    label: str
    mark: Literal["", "?", "!"]
    value: Node


@dataclass(slots=True, frozen=True)
class Pattern(Node):
    """A pattern constraint `[label]: value`, for each field whose name unifies with the label."""

    label: Node
    value: Node


@dataclass(slots=True, frozen=True)
class Struct(Node):
    """The declarations between braces or of a whole file; `open` if they end with `...`."""

    fields: tuple[Field, ...]
    patterns: tuple[Pattern, ...] = ()
    open: bool = False


@dataclass(slots=True, frozen=True)
class ListLiteral(Node):
    """A list; if it is open (`...`), further elements must satisfy `rest`, if that is given."""

    items: tuple[Node, ...]
    rest: Node | None = None
    open: bool = False


@dataclass(slots=True, frozen=True)
class Import:
    """One import: its name in the file, its path and its place."""

    name: str
    path: str
    at: Place


@dataclass(slots=True, frozen=True)
class File:
    """One file: its package clause, its imports and its fields."""

    name: str
    package: str | None
    imports: tuple[Import, ...]
    body: Struct
