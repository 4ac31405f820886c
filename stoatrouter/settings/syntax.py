"""The syntax tree of settings files."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Place:
    """Where something stands: the file's name as it was given, and the line, from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(slots=True, frozen=True)
class Node:
    at: Place


@dataclass(slots=True, frozen=True)
class Atom(Node):
    """A concrete scalar."""

    value: str | int | float | bool | None


@dataclass(slots=True, frozen=True)
class Reference(Node):
    """A name, and the fields below it."""

    name: str
    path: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class BoundOf(Node):
    """A bound: an operator and what it compares with."""

    operator: str
    operand: Node


@dataclass(slots=True, frozen=True)
class Unified(Node):
    parts: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Disjunction(Node):
    """Alternatives, each with whether it is a default."""

    parts: tuple[tuple[bool, Node], ...]


@dataclass(slots=True, frozen=True)
class Field(Node):
    label: str
    mark: str  # "" regular, "?" optional, "!" required
    value: Node


@dataclass(slots=True, frozen=True)
class Pattern(Node):
    label: Node
    value: Node


@dataclass(slots=True, frozen=True)
class Struct(Node):
    fields: tuple[Field, ...]
    patterns: tuple[Pattern, ...] = ()
    open: bool = False


@dataclass(slots=True, frozen=True)
class ListOf(Node):
    items: tuple[Node, ...]
    rest: Node | None = None
    open: bool = False


@dataclass(slots=True, frozen=True)
class File:
    """One file: its package, what it imports by name, and its fields."""

    name: str
    package: str | None
    imports: tuple[tuple[str, str, Place], ...]  # the name here, the path, the place
    body: Struct
