"""From source to syntax tree, by lark's LALR(1) parser: time and memory linear in the source."""

from __future__ import annotations

import re
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from stoatrouter.expressions import literals
from stoatrouter.expressions import syntax as s
from stoatrouter.expressions.errors import ExpressionError, Position, Problem

LONGEST = 8192  # code points of a source; longer ones are refused unread
MOST_NODES = 2000  # of a tree
SURROGATE = re.compile("[\ud800-\udfff]")
RESERVED_WORDS = """as break const continue else for function if import in let loop package namespace return
    var void while"""
RESERVED = frozenset(RESERVED_WORDS.split())
NAMED: dict[str, bool | None] = {"true": True, "false": False, "null": None}
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


@lru_cache(maxsize=1)
def grammar() -> Lark:
    """The parser, made once: its tables take some tens of milliseconds."""
    return Lark(
        Path(__file__).with_name("grammar.lark").read_text(),
        parser="lalr",
        lexer="contextual",
        transformer=Builder(),
        maybe_placeholders=False,
    )


def parse(source: str) -> s.Node:
    """The tree of one expression; raises ExpressionError with line and column of what cannot be read."""
    # Guards load time and memory against a source that was written to be large.
    if len(source) > LONGEST:
        raise refused(Position(1, 1), f"an expression of {len(source)} characters", f"{LONGEST} at most")
    if (found := SURROGATE.search(source)) is not None:
        line = source.count("\n", 0, found.start()) + 1
        column = found.start() - source.rfind("\n", 0, found.start())
        raise refused(Position(line, column), "half of a surrogate pair is no character")
    if not source.strip():
        raise refused(Position(1, 1), "an empty expression")
    try:
        tree = grammar().parse(source)
    except UnexpectedCharacters as error:
        text = source[error.pos_in_stream or 0]
        raise refused(Position(error.line, error.column), f"{text!r} cannot stand here") from None
    except UnexpectedToken as error:
        raise unexpected(source, error) from None
    except UnexpectedEOF:
        raise refused(end_of(source), "the expression ends too early") from None
    assert isinstance(tree, s.Node)
    if (count := size(tree)) > MOST_NODES:
        raise refused(tree.at, f"an expression of {count} operations and values", f"{MOST_NODES} at most")
    return tree


def unexpected(source: str, error: UnexpectedToken) -> ExpressionError:
    token = error.token
    wanted = sorted({EXPECTED[name] for name in error.accepts or error.expected if name in EXPECTED})
    remedy = "expected " + " or ".join(wanted) if wanted else ""
    if token.type == "$END":
        return refused(end_of(source), "the expression ends too early", remedy)
    return refused(Position(token.line, token.column), f"{str(token)[:40]!r} cannot stand here", remedy)


def end_of(source: str) -> Position:
    return Position(source.count("\n") + 1, len(source) - source.rfind("\n"))


def refused(at: Position, what: str, remedy: str = "") -> ExpressionError:
    return ExpressionError(Problem(at, what, remedy))


def children(node: s.Node) -> tuple[s.Node, ...]:
    """The nodes right below one, in the order of the source."""
    match node:
        case s.Select():
            return (node.operand,)
        case s.Index():
            return node.operand, node.index
        case s.Call():
            return (*((node.receiver,) if node.receiver is not None else ()), *node.arguments)
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


def size(tree: s.Node) -> int:
    """How many nodes a tree has."""
    count, waiting = 0, [tree]
    while waiting:
        count += 1
        waiting += children(waiting.pop())
    return count


class Builder(Transformer[Token, s.Node]):
    """Makes nodes as the parser reduces; lark calls a method for each rule with its parts."""

    def conditional(self, parts: list[Any]) -> s.Node:
        condition, then, other = parts
        return s.Conditional(condition.at, deeper(*parts), condition, then, other)

    def either(self, parts: list[Any]) -> s.Node:
        return s.Logic(parts[0].at, deeper(*parts), "||", tuple(parts))

    def both(self, parts: list[Any]) -> s.Node:
        return s.Logic(parts[0].at, deeper(*parts), "&&", tuple(parts))

    def binary(self, parts: list[Any]) -> s.Node:
        left, operator, right = parts
        return s.Call(at(operator), deeper(left, right), str(operator), (left, right))

    def inverse(self, parts: list[Any]) -> s.Node:
        return s.Call(at(parts[0]), deeper(parts[1]), "!", (parts[1],))

    def negative(self, parts: list[Any]) -> s.Node:
        sign, operand = parts
        if sign != "-":
            raise refused(at(sign), "there is no unary '+'", "leave it away")
        if isinstance(operand, s.Literal) and operand.kind in ("int", "double"):
            assert isinstance(operand.value, int | float)
            return s.Literal(at(sign), 1, -operand.value, operand.kind)
        return s.Call(at(sign), deeper(operand), "-", (operand,))

    def select(self, parts: list[Any]) -> s.Node:
        return s.Select(at(parts[1]), deeper(parts[0]), parts[0], word(parts[1]))

    def select_optional(self, parts: list[Any]) -> s.Node:
        return s.Select(at(parts[1]), deeper(parts[0]), parts[0], word(parts[1]), True)

    def method(self, parts: list[Any]) -> s.Node:
        receiver, name, *rest = parts
        arguments = tuple(rest[0]) if rest else ()
        return s.Call(at(name), deeper(receiver, *arguments), word(name), arguments, receiver)

    def index(self, parts: list[Any]) -> s.Node:
        return s.Index(parts[1].at, deeper(*parts), parts[0], parts[1])

    def index_optional(self, parts: list[Any]) -> s.Node:
        return s.Index(parts[1].at, deeper(*parts), parts[0], parts[1], True)

    def name(self, parts: list[Any]) -> s.Node:
        (token,) = parts
        if token in NAMED:
            if NAMED[token] is None:
                raise refused(at(token), "null is left out", "use an optional, e.g. m[?k].hasValue()")
            return s.Literal(at(token), 1, bool(NAMED[token]), "bool")
        return s.Name(at(token), 1, word(token))

    def function(self, parts: list[Any]) -> s.Node:
        name, *rest = parts
        arguments = tuple(rest[0]) if rest else ()
        return s.Call(at(name), deeper(*arguments), word(name), arguments)

    def list(self, parts: list[Any]) -> s.Node:
        items = tuple(parts[1]) if len(parts) > 1 else ()
        return s.ListLiteral(at(parts[0]), deeper(*items), items)

    def map(self, parts: list[Any]) -> s.Node:
        items = tuple(parts[1]) if len(parts) > 1 else ()
        return s.MapLiteral(at(parts[0]), deeper(*(n for item in items for n in item)), items)

    def arguments(self, parts: list[Any]) -> Any:
        return grown(parts)

    entries = arguments

    def entry(self, parts: list[Any]) -> Any:
        return parts[0], parts[1]

    def grouped(self, parts: list[Any]) -> s.Node:
        literal = parts[0]
        if isinstance(literal, s.Literal) and literal.kind == "int" and not literals.in_range(literal.value):
            raise refused(literal.at, f"{literal.value} is out of an int's 64 bits")
        return literal

    def double(self, parts: list[Any]) -> s.Node:
        return number(at(parts[0]), literals.double, str(parts[0]))

    def int(self, parts: list[Any]) -> s.Node:
        # its range is the checker's: the least int is read before its minus
        return number(at(parts[0]), literals.integer, str(parts[0]))

    def uint(self, parts: list[Any]) -> s.Node:
        raise refused(at(parts[0]), "uint is left out", f"write {str(parts[0])[:-1]}")

    def string(self, parts: list[Any]) -> s.Node:
        return number(at(parts[0]), literals.string, str(parts[0]))

    def bytes(self, parts: list[Any]) -> s.Node:
        return number(at(parts[0]), literals.byte_string, str(parts[0]))

    def raw(self, parts: list[Any]) -> s.Node:
        return number(at(parts[0]), literals.raw, str(parts[0]))


KINDS = {int: "int", float: "double", str: "string", bytes: "bytes"}


def number(where: Position, read: Any, text: str, *more: Any) -> s.Literal:
    """A literal that `read` makes of its text."""
    try:
        value = read(text, *more)
    except literals.BadLiteral as error:
        raise refused(where, str(error)) from None
    return s.Literal(where, 1, value, KINDS[type(value)])


def at(token: Token) -> Position:
    assert token.line is not None and token.column is not None
    return Position(token.line, token.column)


def word(token: Token) -> str:
    """A name that may stand for something."""
    if token in RESERVED:
        raise refused(at(token), f"{str(token)!r} is a reserved word", "choose another name")
    return str(token)


def grown(parts: list[Any]) -> list[Any]:
    """A list, one longer at each reduction."""
    if len(parts) == 1:
        return [parts[0]]
    parts[0].append(parts[1])
    return parts[0]


def deeper(*below: s.Node) -> int:
    """The depth of a node above these."""
    depth = 1 + max((node.depth for node in below), default=0)
    # Guards all that walks trees, and Python's own compiler, against recursion without end.
    if depth > s.DEEPEST:
        raise refused(
            below[0].at, f"operations are nested more than {s.DEEPEST} deep", "split the expression"
        )
    return depth
