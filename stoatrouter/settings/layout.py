"""Inserts commas at line ends after tokens that can end a field (CUE's specification, "Commas")."""

from __future__ import annotations

from collections.abc import Iterator

from lark import Token

MAX_NESTING = 64  # levels of brackets
OPENING = ("{", "[", "(")
CLOSING = ("}", "]", ")")
ENDING_TYPES = frozenset(
    ("WORD", "NUMBER", "STRING", "MULTILINE", "RAW", "RBRACE", "RSQB", "RPAR", "__ANON_0")
)
ENDING_TEXTS = frozenset(("...", "?", "]", "}", ")"))


class TooDeepError(Exception):
    """Brackets are nested more than `MAX_NESTING` levels deep."""

    def __init__(self, line: int) -> None:
        """Store the line, counted from 1, of the first bracket beyond the limit."""
        super().__init__(line)
        self.line = line


class CommaInserter:
    """Replaces line ends by commas where CUE inserts them, and drops the others.

    This is a post-lexer for lark: lark calls `process` between its lexer and its parser, and lets the lexer
    yield the tokens of `always_accept` in any context.
    """

    always_accept = ("NEWLINE",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """Yield the tokens for the parser.

        Raises:
            TooDeepError: Brackets are nested deeper than `MAX_NESTING`.
        """
        last: Token | None = None
        depth = 0
        for token in stream:
            if token.value in OPENING:
                depth += 1
                # Limits the recursion depth of the code that walks trees.
                if depth > MAX_NESTING:
                    raise TooDeepError(token.line or 1)
            elif token.value in CLOSING:
                depth -= 1
            if token.type != "NEWLINE":
                last = token
                yield token
            elif last is not None and ends_declaration(last):
                last = Token.new_borrow_pos("COMMA", ",", token)
                yield last


def ends_declaration(token: Token) -> bool:
    """Return whether a line that ends with this token ends a field, an import or an element."""
    return token.type in ENDING_TYPES or token.value in ENDING_TEXTS
