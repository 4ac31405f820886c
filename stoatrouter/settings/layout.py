"""CUE's commas: a line's end is one after a token that can end a field (CUE's specification, "Commas")."""

from __future__ import annotations

from collections.abc import Iterator

from lark import Token

MAX_NESTING = 64  # brackets within brackets
OPENING = ("{", "[", "(")
CLOSING = ("}", "]", ")")
ENDING_TYPES = frozenset(
    ("WORD", "NUMBER", "STRING", "MULTILINE", "RAW", "RBRACE", "RSQB", "RPAR", "__ANON_0")
)
ENDING_TEXTS = frozenset(("...", "?", "]", "}", ")"))


class TooDeepError(Exception):
    """Brackets are nested deeper than `MAX_NESTING`."""

    def __init__(self, line: int) -> None:
        """Keep the line, from 1, of the bracket that is one too many."""
        super().__init__(line)
        self.line = line


class CommaInserter:
    """Turns line ends into commas where CUE has them, and drops the others.

    It is lark's post-lexer: lark calls `process` between its lexer and its parser, and lets the lexer yield
    the tokens of `always_accept` wherever they stand.
    """

    always_accept = ("NEWLINE",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """The tokens that the parser is to see.

        Raises:
            TooDeepError: Brackets are nested deeper than `MAX_NESTING`.
        """
        last: Token | None = None
        depth = 0
        for token in stream:
            if token.value in OPENING:
                depth += 1
                # Guards all that walks trees against brackets without end.
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
    """Whether a line that ends with this token ends a field, an import or an element."""
    return token.type in ENDING_TYPES or token.value in ENDING_TEXTS
