"""CUE's commas: a line's end is one after a token that can end a field (CUE's specification, "Commas")."""

from __future__ import annotations

from collections.abc import Iterator

from lark import Token

DEEPEST = 64  # brackets in brackets
OPENING, CLOSING = ("{", "[", "("), ("}", "]", ")")
ENDING = frozenset(("WORD", "NUMBER", "STRING", "MULTILINE", "RAW", "RBRACE", "RSQB", "RPAR", "__ANON_0"))


class TooDeep(Exception):
    """Brackets are nested too deep, at this line."""

    def __init__(self, line: int) -> None:
        super().__init__(line)
        self.line = line


class Commas:
    """Turns line ends into commas where CUE has them, and drops the others. lark calls it after its lexer."""

    always_accept = ("NEWLINE",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        last: Token | None = None
        depth = 0
        for token in stream:
            if token.value in OPENING:
                depth += 1
                # Guards all that walks trees against brackets without end.
                if depth > DEEPEST:
                    raise TooDeep(token.line or 1)
            elif token.value in CLOSING:
                depth -= 1
            if token.type != "NEWLINE":
                last = token
                yield token
            elif last is not None and ends(last):
                last = Token.new_borrow_pos("COMMA", ",", token)
                yield last


def ends(token: Token) -> bool:
    """Whether a line that ends with this token ends a field, an import or an element."""
    return token.type in ENDING or token.value in ("...", "?", "]", "}", ")")
