"""From source to syntax tree, by lark's LALR(1) parser: time and memory linear in the source.

The grammar is grammar.lark; what CEL has and the subset has not is rejected with a problem that names it.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from stoatrouter.expressions import literals
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions.errors import ExpressionError, Position, Problem

MAX_LENGTH = 8192  # code points of a source; longer ones are rejected unread
MAX_NODES = 2000  # of a tree
MAX_TOKEN_LENGTH = 40  # characters of a token in a message
SURROGATE = re.compile("[\ud800-\udfff]")
RESERVED_WORDS = """as break const continue else for function if import in let loop package namespace return
    var void while"""
RESERVED = frozenset(RESERVED_WORDS.split())
CONSTANTS: dict[str, bool | None] = {"true": True, "false": False, "null": None}
EXPECTED = {
    "$END": "the end",
    "WORD": "a name",
    "INT": "a number",
    "STRING": "a string",
    "LPAR": "'('",
    "RPAR": "')'",
    "RSQB": "']'",
    "RBRACE": "'}'",
    "COLON": "':'",
    "RELATION": "a comparison",
}
KINDS = {int: "int", float: "double", str: "string", bytes: "bytes"}

Parts = list[Any]  # what lark hands over for a rule: tokens, and what was built of the rules below


@lru_cache(maxsize=1)
def grammar() -> Lark:
    """The parser, made once: its tables take some tens of milliseconds."""
    return Lark(
        Path(__file__).with_name("grammar.lark").read_text(),
        parser="lalr",
        lexer="contextual",
        transformer=TreeBuilder(),
        maybe_placeholders=False,
    )


def parse(source: str) -> s.Node:
    """The tree of one expression.

    Raises:
        ExpressionError: The first thing that cannot be read, with line and column.
    """
    reject_unreadable(source)
    try:
        tree = grammar().parse(source)
    except UnexpectedCharacters as error:
        text = source[error.pos_in_stream or 0]
        raise rejection(Position(error.line, error.column), f"{text!r} cannot stand here") from None
    except UnexpectedToken as error:
        raise unexpected_token(source, error) from None
    except UnexpectedEOF:
        raise rejection(end_of(source), "the expression ends too early") from None
    assert isinstance(tree, s.Node)
    count = count_nodes(tree)
    if count > MAX_NODES:
        raise rejection(tree.at, f"an expression of {count} operations and values", f"{MAX_NODES} at most")
    return tree


def reject_unreadable(source: str) -> None:
    """Reject a source that need not be parsed.

    Raises:
        ExpressionError: It is empty, too long, or no text that could be written as UTF-8.
    """
    start = Position(1, 1)
    # Guards load time and memory against a source that was written to be large.
    if len(source) > MAX_LENGTH:
        raise rejection(start, f"an expression of {len(source)} characters", f"{MAX_LENGTH} at most")
    found = SURROGATE.search(source)
    if found is not None:
        line = source.count("\n", 0, found.start()) + 1
        column = found.start() - source.rfind("\n", 0, found.start())
        raise rejection(Position(line, column), "half of a surrogate pair is no character")
    if not source.strip():
        raise rejection(start, "an empty expression")


def unexpected_token(source: str, error: UnexpectedToken) -> ExpressionError:
    """The error of a token that the grammar has no place for, with what could stand there."""
    token = error.token
    expected = sorted({EXPECTED[name] for name in error.accepts or error.expected if name in EXPECTED})
    remedy = "expected " + " or ".join(expected) if expected else ""
    if token.type == "$END":
        return rejection(end_of(source), "the expression ends too early", remedy)
    place = Position(token.line, token.column)
    return rejection(place, f"{str(token)[:MAX_TOKEN_LENGTH]!r} cannot stand here", remedy)


def end_of(source: str) -> Position:
    """The position after the last character."""
    return Position(source.count("\n") + 1, len(source) - source.rfind("\n"))


def rejection(at: Position, what: str, remedy: str = "") -> ExpressionError:
    """The error to raise for one problem."""
    return ExpressionError(Problem(at, what, remedy))


def children(node: s.Node) -> tuple[s.Node, ...]:
    """The nodes right below one, in the order of the source."""
    match node:
        case s.Select():
            return (node.operand,)
        case s.Index():
            return node.operand, node.index
        case s.Call():
            return node.operands
        case s.Logic():
            return node.terms
        case s.Conditional():
            return node.condition, node.then, node.other
        case s.ListLiteral():
            return node.items
        case s.MapLiteral():
            return tuple(part for item in node.items for part in item)
        case _:
            return ()


def count_nodes(tree: s.Node) -> int:
    """How many nodes a tree has."""
    count = 0
    pending = [tree]
    while pending:
        count += 1
        pending += children(pending.pop())
    return count


class TreeBuilder(Transformer[Token, s.Node]):
    """Makes nodes as the parser reduces; lark calls the method of a rule, or of an alias, with its parts.

    All methods raise ExpressionError where operations are nested too deep, or a part is left out of the
    subset.
    """

    # -- operators ----------------------------------------------------------------------------------------
    def conditional(self, parts: Parts) -> s.Node:
        """`a ? b : c`."""
        condition, then, other = parts
        return s.Conditional(condition.at, depth_above(*parts), condition, then, other)

    def either(self, parts: Parts) -> s.Node:
        """`a || b || c`."""
        return s.Logic(parts[0].at, depth_above(*parts), "||", tuple(parts))

    def both(self, parts: Parts) -> s.Node:
        """`a && b && c`."""
        return s.Logic(parts[0].at, depth_above(*parts), "&&", tuple(parts))

    def binary(self, parts: Parts) -> s.Node:
        """A relation, a sum or a product: the operator stands between its operands."""
        left, operator, right = parts
        return s.Call(position_of(operator), depth_above(left, right), str(operator), (left, right))

    def inverse(self, parts: Parts) -> s.Node:
        """`!a`."""
        sign, operand = parts
        return s.Call(position_of(sign), depth_above(operand), "!", (operand,))

    def negative(self, parts: Parts) -> s.Node:
        """`-a`; of a literal it is a literal again, so that the least int can be written."""
        sign, operand = parts
        place = position_of(sign)
        if sign != "-":
            raise rejection(place, "there is no unary '+'", "leave it away")
        if isinstance(operand, s.Literal) and operand.kind in ("int", "double"):
            assert isinstance(operand.value, int | float)
            return s.Literal(place, 1, -operand.value, operand.kind)
        return s.Call(place, depth_above(operand), "-", (operand,))

    def grouped(self, parts: Parts) -> s.Node:
        """`(a)`: a minus before it is no part of a literal, which therefore must have 64 bits."""
        inner: s.Node = parts[0]
        if isinstance(inner, s.Literal) and inner.kind == "int" and not literals.in_range(inner.value):
            raise rejection(inner.at, f"{inner.value!r} is out of an int's 64 bits")
        return inner

    # -- members and calls --------------------------------------------------------------------------------
    def select(self, parts: Parts) -> s.Node:
        """`a.b`."""
        operand, name = parts
        return s.Select(position_of(name), depth_above(operand), operand, identifier(name))

    def select_optional(self, parts: Parts) -> s.Node:
        """`a.?b`."""
        operand, name = parts
        return s.Select(position_of(name), depth_above(operand), operand, identifier(name), True)

    def method(self, parts: Parts) -> s.Node:
        """`a.f(b)`: a method or a macro."""
        receiver, name, *rest = parts
        arguments = tuple(rest[0]) if rest else ()
        depth = depth_above(receiver, *arguments)
        return s.Call(position_of(name), depth, identifier(name), arguments, receiver)

    def index(self, parts: Parts) -> s.Node:
        """`a[b]`."""
        operand, index = parts
        return s.Index(index.at, depth_above(operand, index), operand, index)

    def index_optional(self, parts: Parts) -> s.Node:
        """`a[?b]`."""
        operand, index = parts
        return s.Index(index.at, depth_above(operand, index), operand, index, True)

    def name(self, parts: Parts) -> s.Node:
        """A name by itself, or a constant."""
        (token,) = parts
        place = position_of(token)
        if token not in CONSTANTS:
            return s.Name(place, 1, identifier(token))
        value = CONSTANTS[token]
        if value is None:
            raise rejection(place, "null is left out", "use an optional, e.g. m[?k].hasValue()")
        return s.Literal(place, 1, value, "bool")

    def function(self, parts: Parts) -> s.Node:
        """`f(a)`."""
        name, *rest = parts
        arguments = tuple(rest[0]) if rest else ()
        return s.Call(position_of(name), depth_above(*arguments), identifier(name), arguments)

    def arguments(self, parts: Parts) -> Parts:
        """Arguments or items, one more at each reduction."""
        return extend(parts)

    # -- literals -----------------------------------------------------------------------------------------
    def list(self, parts: Parts) -> s.Node:
        """`[a, b]`."""
        items = tuple(parts[1]) if len(parts) > 1 else ()
        return s.ListLiteral(position_of(parts[0]), depth_above(*items), items)

    def map(self, parts: Parts) -> s.Node:
        """`{a: b}`."""
        items = tuple(parts[1]) if len(parts) > 1 else ()
        depth = depth_above(*(node for item in items for node in item))
        return s.MapLiteral(position_of(parts[0]), depth, items)

    def entries(self, parts: Parts) -> Parts:
        """Entries of a map, one more at each reduction."""
        return extend(parts)

    def entry(self, parts: Parts) -> tuple[s.Node, s.Node]:
        """`a: b` in a map."""
        return parts[0], parts[1]

    def double(self, parts: Parts) -> s.Node:
        """A floating point number."""
        return literal(parts[0], literals.read_double)

    def int(self, parts: Parts) -> s.Node:
        """An int; its range is the checker's business, as the least one is read before its minus."""
        return literal(parts[0], literals.read_int)

    def uint(self, parts: Parts) -> s.Node:
        """An unsigned int, which is left out."""
        raise rejection(position_of(parts[0]), "uint is left out", f"write {str(parts[0])[:-1]}")

    def string(self, parts: Parts) -> s.Node:
        """A string, in one line or several."""
        return literal(parts[0], literals.read_string)

    def bytes(self, parts: Parts) -> s.Node:
        """Bytes."""
        return literal(parts[0], literals.read_bytes)

    def raw(self, parts: Parts) -> s.Node:
        """A string or bytes without escapes."""
        return literal(parts[0], literals.read_raw)


def literal(token: Token, read: Callable[[str], s.Value]) -> s.Literal:
    """The node of the literal that a function of `literals` reads from a token.

    Raises:
        ExpressionError: It does not accept the literal.
    """
    place = position_of(token)
    try:
        value = read(str(token))
    except literals.LiteralError as error:
        raise rejection(place, str(error)) from None
    return s.Literal(place, 1, value, KINDS[type(value)])


def position_of(token: Token) -> Position:
    """Where a token begins."""
    assert token.line is not None and token.column is not None
    return Position(token.line, token.column)


def identifier(token: Token) -> str:
    """A name that may stand for something.

    Raises:
        ExpressionError: CEL reserves it.
    """
    if token in RESERVED:
        raise rejection(position_of(token), f"{str(token)!r} is a reserved word", "choose another name")
    return str(token)


def extend(parts: Parts) -> Parts:
    """What a left-recursive rule has gathered: its first part, or the list so far and the last part."""
    if len(parts) == 1:
        return [parts[0]]
    gathered: Parts = parts[0]
    gathered.append(parts[1])
    return gathered


def depth_above(*below: s.Node) -> int:
    """The depth of a node above these.

    Raises:
        ExpressionError: It is more than `MAX_DEPTH`.
    """
    depth = 1 + max((node.depth for node in below), default=0)
    # Guards all that walks trees, and Python's own compiler, against recursion without end.
    if depth > s.MAX_DEPTH:
        what = f"operations are nested more than {s.MAX_DEPTH} deep"
        raise rejection(below[0].at, what, "split the expression")
    return depth
