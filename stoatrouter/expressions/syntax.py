"""The syntax tree. Nodes compare by structure, not by position, so that the checker can tell when a guard and
a look-up mean the same."""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatrouter.expressions.errors import Position

DEEPEST = 100  # of nested operations; a deeper expression is refused while it is parsed


@dataclass(slots=True, frozen=True)
class Node:
    at: Position = field(compare=False, repr=False)
    depth: int = field(compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Literal(Node):
    value: bool | int | float | str | bytes
    kind: str = "int"  # the name of its type: 1 and 1.0 and true are not the same


@dataclass(slots=True, frozen=True)
class Name(Node):
    name: str


@dataclass(slots=True, frozen=True)
class Select(Node):
    """`a.b`: a field of the environment, or the value under the key 'b' of a map."""

    operand: Node
    field_name: str
    optional: bool = False  # a.?b


@dataclass(slots=True, frozen=True)
class Index(Node):
    operand: Node
    index: Node
    optional: bool = False  # a[?b]


@dataclass(slots=True, frozen=True)
class Call(Node):
    """A function, an operator by its symbol, a method or a macro."""

    function: str
    arguments: tuple[Node, ...]
    receiver: Node | None = None


@dataclass(slots=True, frozen=True)
class Logic(Node):
    """A chain of && or of ||, in the order of the source."""

    operator: str
    terms: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Conditional(Node):
    condition: Node
    then: Node
    other: Node


@dataclass(slots=True, frozen=True)
class ListLiteral(Node):
    items: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class MapLiteral(Node):
    items: tuple[tuple[Node, Node], ...]


def path_of(node: Node) -> str | None:
    """The dotted name that a chain of fields spells; None for anything else."""
    if isinstance(node, Name):
        return node.name
    if isinstance(node, Select) and not node.optional:
        above = path_of(node.operand)
        return None if above is None else f"{above}.{node.field_name}"
    return None
