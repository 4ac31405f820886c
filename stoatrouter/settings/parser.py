"""From the text of a settings file to its tree: a strict subset of CUE, by lark's LALR(1) parser."""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import Fault, SettingsError
from stoatrouter.settings.layout import DEEPEST, Commas, TooDeep

LARGEST = 32 * 1024 * 1024  # bytes of a file
SUFFIXES = {
    "K": 10**3,
    "M": 10**6,
    "G": 10**9,
    "T": 10**12,
    "Ki": 2**10,
    "Mi": 2**20,
    "Gi": 2**30,
    "Ti": 2**40,
}
ESCAPE = re.compile(r"\\(?:([abfnrtv/\\\"])|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})|([\s\S]))")
SHORT = {
    "a": "\a",
    "b": "\b",
    "f": "\f",
    "n": "\n",
    "r": "\r",
    "t": "\t",
    "v": "\v",
    "/": "/",
    "\\": "\\",
    '"': '"',
}
TOML = re.compile(r"[A-Za-z_-]+ *=[^=~]|\[[A-Za-z.\"-]+\]$")
LEFT_OUT = {"let": "let", "if": "a comprehension", "for": "a comprehension"}


@lru_cache(maxsize=1)
def grammar() -> tuple[Lark, Builder]:
    """The parser and what it builds with, made once; a parse is never begun within another."""
    builder = Builder("")
    text = Path(__file__).with_name("cue.lark").read_text()
    return Lark(
        text,
        parser="lalr",
        lexer="contextual",
        postlex=Commas(),
        maybe_placeholders=False,
        transformer=builder,
    ), builder


def parse(text: str, name: str) -> s.File:
    """The tree of one file; raises SettingsError with file, line and what is wrong."""
    if len(text) > LARGEST:
        raise SettingsError(Fault(s.Place(name, 1), "", f"a file of {len(text)} bytes", f"{LARGEST} at most"))
    try:
        lark, builder = grammar()
        builder.name = name
        file = lark.parse(text.replace("\r\n", "\n"))
    except TooDeep as error:
        raise SettingsError(
            Fault(s.Place(name, error.line), "", f"brackets more than {DEEPEST} deep")
        ) from None
    except UnexpectedCharacters as error:
        raise SettingsError(not_here(name, text, error.line, error.column, error.char)) from None
    except UnexpectedToken as error:
        raise SettingsError(unexpected(error, name, text)) from None
    except UnexpectedInput as error:
        raise SettingsError(Fault(s.Place(name, max(1, error.line)), "", "this cannot be read")) from None
    assert isinstance(file, s.File)
    return file


def unexpected(error: UnexpectedToken, name: str, text: str) -> Fault:
    token = error.token
    toml = next((i for i, row in enumerate(text.splitlines(), 1) if TOML.match(row.strip())), None)
    if token.type == "$END" and toml is None:
        return Fault(
            s.Place(name, text.count("\n") + 1), "", "the file ends too early", "a bracket may be open"
        )
    line = (toml if token.type == "$END" else None) or token.line or 1
    if token.type == "COMMA" and token.value == ",":
        return Fault(s.Place(name, line), "", "the line ends too early, or a comma stands here for nothing")
    return not_here(name, text, line, token.column or 1, str(token)[:40])


def not_here(name: str, text: str, line: int, column: int, found: str) -> Fault:
    """Something that the grammar has no place for, with what it most likely was meant for."""
    lines = text.splitlines()
    before = lines[line - 1].strip() if line <= len(lines) else ""
    first = before.partition(" ")[0]
    if first in LEFT_OUT:
        return Fault(
            s.Place(name, line), "", f"{LEFT_OUT[first]} is not part of the subset that is read here"
        )
    hint = ""
    if TOML.match(before):
        hint = "this is TOML; write 'name: value' and 'name: {...}', see docs/settings.md"
    return Fault(s.Place(name, line), "", f"{found!r} cannot stand here (column {column})", hint)


class Builder(Transformer[Token, Any]):
    """Makes the tree; lark calls a method for each rule."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name

    def place(self, token: Any) -> s.Place:
        if isinstance(token, s.Node):
            return token.at
        return s.Place(self.name, token.line or 1)

    def refused(self, token: Any, what: str, remedy: str = "") -> SettingsError:
        return SettingsError(Fault(self.place(token), "", what, remedy))

    # -- files --------------------------------------------------------------------------------------------
    def start(self, parts: list[Any]) -> s.File:
        package, imports, body = None, [], s.Struct(s.Place(self.name, 1), ())
        for part in parts:
            if isinstance(part, list):
                body = self.body(s.Place(self.name, 1), part)
            elif part[0] == "package":
                package = part[1]
            elif part[0] == "import":
                imports.append(part[1:])
        return s.File(self.name, package, tuple(imports), body)

    def package(self, parts: list[Any]) -> Any:
        return "package", str(parts[0])

    def import_(self, parts: list[Any]) -> Any:
        path = self.text(parts[0])
        return "import", path.rpartition("/")[2].rpartition(":")[2], path, self.place(parts[0])

    def import_as(self, parts: list[Any]) -> Any:
        return "import", str(parts[0]), self.text(parts[1]), self.place(parts[0])

    # -- declarations -------------------------------------------------------------------------------------
    def decls(self, parts: list[Any]) -> list[Any]:
        return [parts[0]] if len(parts) == 1 else grown(parts)

    items = decls

    def decl(self, parts: list[Any]) -> Any:
        return parts[0]

    def pattern(self, parts: list[Any]) -> s.Pattern:
        return s.Pattern(self.place(parts[0]), parts[1], parts[2])

    def ellipsis(self, parts: list[Any]) -> str:
        return "..."

    def field(self, parts: list[Any]) -> s.Field:
        (label, mark, place), value = parts
        return s.Field(place, label, mark, value)

    def nested(self, parts: list[Any]) -> s.Struct:
        return s.Struct(parts[0].at, (parts[0],))

    def labelled(self, mark: str, quoted: bool) -> Callable[[list[Any]], Any]:
        return lambda parts: (
            self.text(parts[0]) if quoted else self.plain(parts[0]),
            mark,
            self.place(parts[0]),
        )

    def plain(self, token: Token) -> str:
        if token in ("_", "true", "false", "null"):
            raise self.refused(token, f"{str(token)!r} names no field", "put it in quotes")
        return str(token)

    def regular(self, parts: list[Any]) -> Any:
        return self.labelled("", False)(parts)

    def optional(self, parts: list[Any]) -> Any:
        return self.labelled("?", False)(parts)

    def required(self, parts: list[Any]) -> Any:
        return self.labelled("!", False)(parts)

    def quoted(self, parts: list[Any]) -> Any:
        return self.labelled("", True)(parts)

    def quoted_optional(self, parts: list[Any]) -> Any:
        return self.labelled("?", True)(parts)

    def quoted_required(self, parts: list[Any]) -> Any:
        return self.labelled("!", True)(parts)

    # -- expressions --------------------------------------------------------------------------------------
    def alternatives(self, parts: list[Any]) -> s.Node:
        if len(parts) == 1:
            return parts[0][1]  # a default of one alternative is that alternative
        return s.Disjunction(parts[0][1].at, tuple(parts))

    def plain_alternative(self, parts: list[Any]) -> Any:
        return False, parts[0]

    def default(self, parts: list[Any]) -> Any:
        return True, parts[0]

    def unified(self, parts: list[Any]) -> s.Node:
        return parts[0] if len(parts) == 1 else s.Unified(parts[0].at, tuple(parts))

    def bound(self, parts: list[Any]) -> s.Node:
        return s.BoundOf(self.place(parts[0]), str(parts[0]), parts[1])

    def negative(self, parts: list[Any]) -> s.Node:
        return s.Atom(self.place(parts[0]), -self.value(parts[0]))

    def select(self, parts: list[Any]) -> s.Node:
        operand, name = parts
        if not isinstance(operand, s.Reference):
            raise self.refused(name, "a field can be selected of a name alone")
        return s.Reference(operand.at, operand.name, (*operand.path, str(name)))

    def named(self, parts: list[Any]) -> s.Node:
        (token,) = parts
        if token in ("true", "false", "null"):
            return s.Atom(self.place(token), {"true": True, "false": False, "null": None}[str(token)])
        return s.Reference(self.place(token), str(token))

    def number(self, parts: list[Any]) -> s.Node:
        return s.Atom(self.place(parts[0]), self.value(parts[0]))

    def value(self, token: Token) -> int | float:
        text = str(token).replace("_", "")
        if text[:2] == "0x":
            return int(text, 16)
        found = re.fullmatch(r"(.*?)([KMGT]i?)?", text)
        assert found is not None
        digits, factor = found[1], SUFFIXES.get(found[2] or "", 1)
        # Guards Python's bound on digits, and typing slips: CUE has no numbers that start with 0 either.
        if len(digits) > 300 or re.match("0[0-9]", digits):
            raise self.refused(token, f"{str(token)[:40]} is no number")
        if "." in digits or "e" in digits.lower():
            number = float(digits) * factor
            return int(number) if factor > 1 and number == int(number) else number
        return int(digits) * factor

    def string(self, parts: list[Any]) -> s.Node:
        return s.Atom(self.place(parts[0]), self.text(parts[0]))

    def text(self, token: Token) -> str:
        return self.unescaped(token, str(token)[1:-1])

    def multiline(self, parts: list[Any]) -> s.Node:
        lines = self.dedented(parts[0], str(parts[0])[4:-3])
        return s.Atom(self.place(parts[0]), self.unescaped(parts[0], lines))

    def raw(self, parts: list[Any]) -> s.Node:
        text = str(parts[0])
        many = text.startswith('#"""')
        inner = self.dedented(parts[0], text[5:-4]) if many else text[2:-2]
        if "\\#" in inner:
            raise self.refused(
                parts[0], 'escapes within #"..."# are not part of the subset that is read here'
            )
        return s.Atom(self.place(parts[0]), inner)

    def dedented(self, token: Token, text: str) -> str:
        """The lines of a multi-line string without the white space that stands before its closing quotes."""
        *lines, last = text.split("\n")
        if last.strip(" \t"):
            raise self.refused(
                token, "the closing quotes of a multi-line string stand on a line of their own"
            )
        if any(line.strip(" \t") and not line.startswith(last) for line in lines):
            raise self.refused(
                token, "a line of a multi-line string is indented less than its closing quotes"
            )
        return "\n".join(line.removeprefix(last) for line in lines)

    def unescaped(self, token: Token, text: str) -> str:
        def character(found: re.Match[str]) -> str:
            short, four, eight, other = found.groups()
            if short is not None:
                return SHORT[short]
            if other == "(":
                raise self.refused(token, "interpolation is not part of the subset that is read here")
            number = int(four or eight or "110000", 16)
            if other is not None or number > 0x10FFFF or 0xD800 <= number < 0xE000:
                raise self.refused(token, f"unknown escape {found[0]}", 'write \\\\ or use #"..."#')
            return chr(number)

        return ESCAPE.sub(character, text) if "\\" in text else text

    def struct(self, parts: list[Any]) -> s.Struct:
        return self.body(self.place(parts[0]), parts[1] if len(parts) > 1 else [])

    def body(self, place: s.Place, decls: list[Any]) -> s.Struct:
        return s.Struct(
            place,
            tuple(d for d in decls if isinstance(d, s.Field)),
            tuple(d for d in decls if isinstance(d, s.Pattern)),
            "..." in decls,
        )

    def list(self, parts: list[Any]) -> s.ListOf:
        items = parts[1] if len(parts) > 1 else []
        rests = [i for i, (kind, _) in enumerate(items) if kind == "rest"]
        if rests and rests != [len(items) - 1]:
            raise self.refused(parts[0], "'...' stands last in a list")
        rest = items[-1][1] if rests else None
        return s.ListOf(
            self.place(parts[0]),
            tuple(value for kind, value in items if kind == "element"),
            rest,
            bool(rests),
        )

    def element(self, parts: list[Any]) -> Any:
        return "element", parts[0]

    def rest_any(self, parts: list[Any]) -> Any:
        return "rest", None

    def rest(self, parts: list[Any]) -> Any:
        return "rest", parts[1]


def grown(parts: list[Any]) -> list[Any]:
    parts[0].append(parts[-1])
    return parts[0]
