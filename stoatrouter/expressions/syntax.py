"""The syntax tree (cel-spec, doc/langdef.md, "Syntax").

Nodes compare by structure and not by position, so the checker can tell that a guard and a look-up have the
same operand.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatrouter.expressions.errors import Position

MAX_DEPTH = 100  # levels of nested operations; a deeper expression is rejected during parsing

Value = bool | int | float | str | bytes  # the value of a literal


@dataclass(slots=True, frozen=True)
class Node:
    """Any node: its position in the source, and the number of levels of its tree, itself included."""

    at: Position = field(compare=False, repr=False)
    depth: int = field(compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Literal(Node):
    """A literal; `kind` is the name of its type, as 1, 1.0 and true compare equal in Python."""

    value: Value
    kind: str = "int"


@dataclass(slots=True, frozen=True)
class Name(Node):
    """A single name: an input, or the variable of a macro."""

    name: str


@dataclass(slots=True, frozen=True)
class Select(Node):
    """`a.b`: a field of the environment, or the value of key 'b' in a map; `a.?b` if optional."""

    operand: Node
    field_name: str
    optional: bool = False


@dataclass(slots=True, frozen=True)
class Index(Node):
    """`a[b]`: an element of a list, or the value of a key in a map; `a[?b]` if optional."""

    operand: Node
    index: Node
    optional: bool = False


@dataclass(slots=True, frozen=True)
class Call(Node):
    """A call of a function, an operator (by its symbol), a method or a macro."""

    function: str
    arguments: tuple[Node, ...]
    receiver: Node | None = None

    @property
    def operands(self) -> tuple[Node, ...]:
        """Return the receiver, if there is one, and the arguments."""
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
    """`{a: b}`; items are pairs of a key and a value."""

    items: tuple[tuple[Node, Node], ...]


def path_of(node: Node) -> str | None:
    """Return the dotted name of a chain of fields; None for any other node."""
    if isinstance(node, Name):
        return node.name
    if isinstance(node, Select) and not node.optional:
        above = path_of(node.operand)
        return None if above is None else f"{above}.{node.field_name}"
    return None
