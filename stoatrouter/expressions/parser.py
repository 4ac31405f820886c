"""Parses source into a syntax tree with lark's LALR(1) parser, in time and memory linear in the source.

The grammar is grammar.lark. A construct of CEL that the subset does not support is rejected by name.
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

MAX_LENGTH = 8192  # code points of a source; longer ones are rejected before parsing
MAX_NODES = 2000  # nodes of a syntax tree
MAX_TOKEN_LENGTH = 40  # characters of a token shown in a message
SURROGATE = re.compile("[\ud800-\udfff]")
RESERVED_WORDS = """as break const continue else for function if import in let loop package namespace return
    var void while"""
RESERVED = frozenset(RESERVED_WORDS.split())
CONSTANTS: dict[str, bool | None] = {"true": True, "false": False, "null": None}
EXPECTED = {
    "$END": "the end of the expression",
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

Parts = list[Any]  # lark's input for a rule: tokens, and the results of the rules below


@lru_cache(maxsize=1)
def grammar() -> Lark:
    """Return the parser, created once, as building its tables takes some tens of milliseconds."""
    return Lark(
        Path(__file__).with_name("grammar.lark").read_text(),
        parser="lalr",
        lexer="contextual",
        transformer=TreeBuilder(),
        maybe_placeholders=False,
    )


def parse(source: str) -> s.Node:
    """Return the syntax tree of an expression.

    Raises:
        ExpressionError: The first syntax error, with line and column.
    """
    reject_unreadable(source)
    try:
        tree = grammar().parse(source)
    except UnexpectedCharacters as error:
        text = source[error.pos_in_stream or 0]
        raise rejection(Position(error.line, error.column), f"unexpected character {text!r}") from None
    except UnexpectedToken as error:
        raise unexpected_token(source, error) from None
    except UnexpectedEOF:
        raise rejection(end_of(source), "unexpected end of the expression") from None
    assert isinstance(tree, s.Node)
    count = count_nodes(tree)
    if count > MAX_NODES:
        raise rejection(
            tree.at, f"the expression has {count} operations and values", f"the limit is {MAX_NODES}"
        )
    return tree


def reject_unreadable(source: str) -> None:
    """Reject an invalid source before it is parsed.

    Raises:
        ExpressionError: The source is empty, too long, or cannot be encoded as UTF-8.
    """
    start = Position(1, 1)
    # Limits load time and memory for an oversized source.
    if len(source) > MAX_LENGTH:
        raise rejection(start, f"the expression has {len(source)} characters", f"the limit is {MAX_LENGTH}")
    found = SURROGATE.search(source)
    if found is not None:
        line = source.count("\n", 0, found.start()) + 1
        column = found.start() - source.rfind("\n", 0, found.start())
        raise rejection(Position(line, column), "unpaired surrogate")
    if not source.strip():
        raise rejection(start, "the expression is empty")


def unexpected_token(source: str, error: UnexpectedToken) -> ExpressionError:
    """Return the error for an unexpected token, with the tokens that are allowed in its place."""
    token = error.token
    expected = sorted({EXPECTED[name] for name in error.accepts or error.expected if name in EXPECTED})
    remedy = "expected " + " or ".join(expected) if expected else ""
    if token.type == "$END":
        return rejection(end_of(source), "unexpected end of the expression", remedy)
    place = Position(token.line, token.column)
    return rejection(place, f"unexpected {str(token)[:MAX_TOKEN_LENGTH]!r}", remedy)


def end_of(source: str) -> Position:
    """Return the position after the last character."""
    return Position(source.count("\n") + 1, len(source) - source.rfind("\n"))


def rejection(at: Position, what: str, remedy: str = "") -> ExpressionError:
    """Return the error to raise for one problem."""
    return ExpressionError(Problem(at, what, remedy))


def children(node: s.Node) -> tuple[s.Node, ...]:
    """Return the direct children of a node, in the order of the source."""
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
    """Return the number of nodes of a tree."""
    count = 0
    pending = [tree]
    while pending:
        count += 1
        pending += children(pending.pop())
    return count


class TreeBuilder(Transformer[Token, s.Node]):
    """Builds nodes as the parser reduces; lark calls the method named after a rule or alias with the parts.

    All methods raise ExpressionError if operations are nested too deeply, or a construct is not supported.
    """

    # -- operators ----------------------------------------------------------------------------------------
    def conditional(self, parts: Parts) -> s.Node:
        """Build `a ? b : c`."""
        condition, then, other = parts
        return s.Conditional(condition.at, depth_above(*parts), condition, then, other)

    def either(self, parts: Parts) -> s.Node:
        """Build `a || b || c`."""
        return s.Logic(parts[0].at, depth_above(*parts), "||", tuple(parts))

    def both(self, parts: Parts) -> s.Node:
        """Build `a && b && c`."""
        return s.Logic(parts[0].at, depth_above(*parts), "&&", tuple(parts))

    def binary(self, parts: Parts) -> s.Node:
        """Build a relation, a sum or a product: an operator between two operands."""
        left, operator, right = parts
        return s.Call(position_of(operator), depth_above(left, right), str(operator), (left, right))

    def inverse(self, parts: Parts) -> s.Node:
        """Build `!a`."""
        sign, operand = parts
        return s.Call(position_of(sign), depth_above(operand), "!", (operand,))

    def negative(self, parts: Parts) -> s.Node:
        """Build `-a`; a negated literal is a literal, so that the minimum int can be written."""
        sign, operand = parts
        place = position_of(sign)
        if sign != "-":
            raise rejection(place, "unary '+' is not supported", "remove it")
        if isinstance(operand, s.Literal) and operand.kind in ("int", "double"):
            assert isinstance(operand.value, int | float)
            return s.Literal(place, 1, -operand.value, operand.kind)
        return s.Call(place, depth_above(operand), "-", (operand,))

    def grouped(self, parts: Parts) -> s.Node:
        """Build `(a)`; an int literal must fit into 64 bits, as a minus before `(` is not part of it."""
        inner: s.Node = parts[0]
        if isinstance(inner, s.Literal) and inner.kind == "int" and not literals.in_range(inner.value):
            raise rejection(inner.at, f"{inner.value!r} does not fit into a 64-bit int")
        return inner

    # -- members and calls --------------------------------------------------------------------------------
    def select(self, parts: Parts) -> s.Node:
        """Build `a.b`."""
        operand, name = parts
        return s.Select(position_of(name), depth_above(operand), operand, identifier(name))

    def select_optional(self, parts: Parts) -> s.Node:
        """Build `a.?b`."""
        operand, name = parts
        return s.Select(position_of(name), depth_above(operand), operand, identifier(name), True)

    def method(self, parts: Parts) -> s.Node:
        """Build `a.f(b)`, a call of a method or macro."""
        receiver, name, *rest = parts
        arguments = tuple(rest[0]) if rest else ()
        depth = depth_above(receiver, *arguments)
        return s.Call(position_of(name), depth, identifier(name), arguments, receiver)

    def index(self, parts: Parts) -> s.Node:
        """Build `a[b]`."""
        operand, index = parts
        return s.Index(index.at, depth_above(operand, index), operand, index)

    def index_optional(self, parts: Parts) -> s.Node:
        """Build `a[?b]`."""
        operand, index = parts
        return s.Index(index.at, depth_above(operand, index), operand, index, True)

    def name(self, parts: Parts) -> s.Node:
        """Build a name or a constant."""
        (token,) = parts
        place = position_of(token)
        if token not in CONSTANTS:
            return s.Name(place, 1, identifier(token))
        value = CONSTANTS[token]
        if value is None:
            raise rejection(place, "null is not supported", "use an optional, for example m[?k].hasValue()")
        return s.Literal(place, 1, value, "bool")

    def function(self, parts: Parts) -> s.Node:
        """Build `f(a)`, a call of a function."""
        name, *rest = parts
        arguments = tuple(rest[0]) if rest else ()
        return s.Call(position_of(name), depth_above(*arguments), identifier(name), arguments)

    def arguments(self, parts: Parts) -> Parts:
        """Collect arguments or items, one more at each reduction."""
        return extend(parts)

    # -- literals -----------------------------------------------------------------------------------------
    def list(self, parts: Parts) -> s.Node:
        """Build `[a, b]`."""
        items = tuple(parts[1]) if len(parts) > 1 else ()
        return s.ListLiteral(position_of(parts[0]), depth_above(*items), items)

    def map(self, parts: Parts) -> s.Node:
        """Build `{a: b}`."""
        items = tuple(parts[1]) if len(parts) > 1 else ()
        depth = depth_above(*(node for item in items for node in item))
        return s.MapLiteral(position_of(parts[0]), depth, items)

    def entries(self, parts: Parts) -> Parts:
        """Collect the entries of a map, one more at each reduction."""
        return extend(parts)

    def entry(self, parts: Parts) -> tuple[s.Node, s.Node]:
        """Build the entry `a: b` of a map."""
        return parts[0], parts[1]

    def double(self, parts: Parts) -> s.Node:
        """Build a floating-point number."""
        return literal(parts[0], literals.read_double)

    def int(self, parts: Parts) -> s.Node:
        """Build an int; the checker verifies its range, as the minus of the minimum int is parsed later."""
        return literal(parts[0], literals.read_int)

    def uint(self, parts: Parts) -> s.Node:
        """Reject an unsigned int, which is not supported."""
        raise rejection(position_of(parts[0]), "uint is not supported", f"use {str(parts[0])[:-1]}")

    def string(self, parts: Parts) -> s.Node:
        """Build a string, single-line or multi-line."""
        return literal(parts[0], literals.read_string)

    def bytes(self, parts: Parts) -> s.Node:
        """Build bytes."""
        return literal(parts[0], literals.read_bytes)

    def raw(self, parts: Parts) -> s.Node:
        """Build a raw string or raw bytes."""
        return literal(parts[0], literals.read_raw)


def literal(token: Token, read: Callable[[str], s.Value]) -> s.Literal:
    """Return the node of a literal, parsed by a function of `literals`.

    Raises:
        ExpressionError: The function does not accept the literal.
    """
    place = position_of(token)
    try:
        value = read(str(token))
    except literals.LiteralError as error:
        raise rejection(place, str(error)) from None
    return s.Literal(place, 1, value, KINDS[type(value)])


def position_of(token: Token) -> Position:
    """Return the position at which a token begins."""
    assert token.line is not None and token.column is not None
    return Position(token.line, token.column)


def identifier(token: Token) -> str:
    """Return a token as an identifier.

    Raises:
        ExpressionError: The word is reserved in CEL.
    """
    if token in RESERVED:
        raise rejection(position_of(token), f"{str(token)!r} is a reserved word", "choose another name")
    return str(token)


def extend(parts: Parts) -> Parts:
    """Return the list of a left-recursive rule: its first part, or the list so far and the next part."""
    if len(parts) == 1:
        return [parts[0]]
    gathered: Parts = parts[0]
    gathered.append(parts[1])
    return gathered


def depth_above(*below: s.Node) -> int:
    """Return the depth of a node above these nodes.

    Raises:
        ExpressionError: The depth exceeds `MAX_DEPTH`.
    """
    depth = 1 + max((node.depth for node in below), default=0)
    # Protects code that walks trees, and Python's compiler, from excessive recursion.
    if depth > s.MAX_DEPTH:
        what = f"operations are nested more than {s.MAX_DEPTH} levels deep"
        raise rejection(below[0].at, what, "split the expression")
    return depth
