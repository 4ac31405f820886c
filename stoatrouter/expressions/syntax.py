"""The syntax tree (cel-spec, doc/langdef.md, "Syntax").

Nodes compare by structure, not by position, so that the checker can tell when a guard and a look-up mean the
same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatrouter.expressions.errors import Position

MAX_DEPTH = 100  # of nested operations; a deeper expression is rejected while it is parsed

Value = bool | int | float | str | bytes  # of a literal


@dataclass(slots=True, frozen=True)
class Node:
    """Any node: where it stands in the source, and how many levels of nodes it has, itself included."""

    at: Position = field(compare=False, repr=False)
    depth: int = field(compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Literal(Node):
    """A literal; `kind` is the name of its type, as 1 and 1.0 and true are equal in Python."""

    value: Value
    kind: str = "int"


@dataclass(slots=True, frozen=True)
class Name(Node):
    """A name by itself: an input, or the variable of a macro."""

    name: str


@dataclass(slots=True, frozen=True)
class Select(Node):
    """`a.b`: a field of the environment, or the value under the key 'b' of a map; `a.?b` where optional."""

    operand: Node
    field_name: str
    optional: bool = False


@dataclass(slots=True, frozen=True)
class Index(Node):
    """`a[b]`: an element of a list, or the value under a key of a map; `a[?b]` where optional."""

    operand: Node
    index: Node
    optional: bool = False


@dataclass(slots=True, frozen=True)
class Call(Node):
    """A function, an operator by its symbol, a method or a macro."""

    function: str
    arguments: tuple[Node, ...]
    receiver: Node | None = None

    @property
    def operands(self) -> tuple[Node, ...]:
        """The receiver, if there is one, and the arguments."""
        return self.arguments if self.receiver is None else (self.receiver, *self.arguments)


@dataclass(slots=True, frozen=True)
class Logic(Node):
    """A chain of && or of ||, in the order of the source."""

    operator: str
    terms: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Conditional(Node):
    """`condition ? then : other`."""

    condition: Node
    then: Node
    other: Node


@dataclass(slots=True, frozen=True)
class ListLiteral(Node):
    """`[a, b]`."""

    items: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class MapLiteral(Node):
    """`{a: b}`; the items are pairs of a key and a value."""

    items: tuple[tuple[Node, Node], ...]


def path_of(node: Node) -> str | None:
    """The dotted name that a chain of fields spells; None for anything else."""
    if isinstance(node, Name):
        return node.name
    if isinstance(node, Select) and not node.optional:
        above = path_of(node.operand)
        return None if above is None else f"{above}.{node.field_name}"
    return None
