"""Parses settings files, in a strict subset of CUE, to syntax trees by lark's LALR(1) parser.

The grammar is cue.lark; syntax outside the subset is rejected with a fault that names it.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import Any, Literal, TypeVar

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from stoatrouter.settings import literals
from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import Fault, SettingsError
from stoatrouter.settings.layout import MAX_NESTING, CommaInserter, TooDeepError

MAX_LENGTH = 32 * 1024 * 1024  # characters of a file
MAX_TOKEN_SHOWN = 40  # characters of a token in a message
TOML_LINE = re.compile(r"[A-Za-z_-]+ *=[^=~]|\[[A-Za-z.\"-]+\]$")
CONSTANTS = {"true": True, "false": False, "null": None}
UNSUPPORTED_KEYWORDS = {"let": "let", "if": "a comprehension", "for": "a comprehension"}

Mark = Literal["", "?", "!"]
Value = TypeVar("Value")
Parts = list[Any]  # the children of a grammar rule: tokens, and the results of the rules below


@dataclass(slots=True, frozen=True)
class Label:
    """A field's label with its mark and place."""

    text: str
    mark: Mark
    at: s.Place


@dataclass(slots=True, frozen=True)
class Package:
    """A package clause."""

    name: str


@dataclass(slots=True, frozen=True)
class Ellipsis:
    """The `...` of an open struct or list; in a list, `rest` is the constraint on further elements."""

    rest: s.Node | None = None


@lru_cache(maxsize=1)
def create_parser() -> tuple[Lark, TreeBuilder]:
    """Return the parser and its tree builder, created once; parses must not be nested."""
    builder = TreeBuilder("")
    text = Path(__file__).with_name("cue.lark").read_text()
    parser = Lark(
        text,
        parser="lalr",
        lexer="contextual",
        postlex=CommaInserter(),
        maybe_placeholders=False,
        transformer=builder,
    )
    return parser, builder


def parse(text: str, name: str) -> s.File:
    """Parse the text of one file.

    Raises:
        SettingsError: The first syntax error, with the file's name and the line.
    """
    if len(text) > MAX_LENGTH:
        fault = Fault(
            s.Place(name, 1), "", f"the file has {len(text)} characters", f"the limit is {MAX_LENGTH}"
        )
        raise SettingsError(fault)
    try:
        parser, builder = create_parser()
        builder.name = name
        file = parser.parse(text.replace("\r\n", "\n"))
    except TooDeepError as error:
        place = s.Place(name, error.line)
        raise SettingsError(
            Fault(place, "", f"brackets are nested more than {MAX_NESTING} levels deep")
        ) from None
    except UnexpectedCharacters as error:
        raise SettingsError(unexpected_text(name, text, error.line, error.column, error.char)) from None
    except UnexpectedToken as error:
        raise SettingsError(unexpected_token(error, name, text)) from None
    except UnexpectedInput as error:
        raise SettingsError(Fault(s.Place(name, max(1, error.line)), "", "syntax error")) from None
    assert isinstance(file, s.File)
    return file


def unexpected_token(error: UnexpectedToken, name: str, text: str) -> Fault:
    """Return the fault of a token that the grammar does not allow, or of a text that ends too early."""
    token = error.token
    at_end = token.type == "$END"
    toml = next((i for i, row in enumerate(text.splitlines(), 1) if TOML_LINE.match(row.strip())), None)
    if at_end and toml is None:
        end = s.Place(name, text.count("\n") + 1)
        return Fault(end, "", "unexpected end of the file", "a closing bracket may be missing")
    line = (toml if at_end else None) or token.line or 1
    if token.type == "COMMA" and token.value == ",":
        return Fault(s.Place(name, line), "", "unexpected end of the line, or a superfluous comma")
    return unexpected_text(name, text, line, token.column or 1, str(token)[:MAX_TOKEN_SHOWN])


def unexpected_text(name: str, text: str, line: int, column: int, found: str) -> Fault:
    """Return the fault of a text that is not allowed at its place, with a hint at the likely cause."""
    lines = text.splitlines()
    row = lines[line - 1].strip() if line <= len(lines) else ""
    keyword = row.partition(" ")[0]
    place = s.Place(name, line)
    if keyword in UNSUPPORTED_KEYWORDS:
        return Fault(place, "", f"{UNSUPPORTED_KEYWORDS[keyword]} is not supported")
    hint = ""
    if TOML_LINE.match(row):
        hint = "this is TOML; write 'name: value' and 'name: {...}', see docs/settings.md"
    return Fault(place, "", f"unexpected {found!r} (column {column})", hint)


class TreeBuilder(Transformer[Token, Any]):
    """Builds the tree; lark calls the method named after a rule, or an alias, with the parts."""

    def __init__(self, name: str) -> None:
        """Create a builder for the file of this name; the name may be changed for each parse."""
        super().__init__()
        self.name = name

    def place(self, part: Any) -> s.Place:
        """Return the place of a token or a node."""
        if isinstance(part, s.Node):
            return part.at
        return s.Place(self.name, part.line or 1)

    def rejection(self, part: Any, what: str, remedy: str = "") -> SettingsError:
        """Return the error to raise for a token or node that is well-formed but not accepted."""
        return SettingsError(Fault(self.place(part), "", what, remedy))

    # -- files --------------------------------------------------------------------------------------------
    def start(self, parts: Parts) -> s.File:
        """Build a file from its clauses and declarations."""
        package = None
        imports = []
        body = s.Struct(s.Place(self.name, 1), ())
        for part in parts:
            if isinstance(part, list):
                body = self.body(s.Place(self.name, 1), part)
            elif isinstance(part, Package):
                package = part.name
            elif isinstance(part, s.Import):
                imports.append(part)
        return s.File(self.name, package, tuple(imports), body)

    def package(self, parts: Parts) -> Package:
        """Build the clause `package name`."""
        return Package(str(parts[0]))

    def import_(self, parts: Parts) -> s.Import:
        """Build an import without a name: the name is that after the path's colon, or the last segment."""
        path = self.value(parts[0], literals.read_string)
        return s.Import(path.rpartition("/")[2].rpartition(":")[2], path, self.place(parts[0]))

    def import_as(self, parts: Parts) -> s.Import:
        """Build an import that gives the package a name."""
        return s.Import(str(parts[0]), self.value(parts[1], literals.read_string), self.place(parts[0]))

    # -- declarations -------------------------------------------------------------------------------------
    def decls(self, parts: Parts) -> Parts:
        """Collect declarations, one more at each reduction."""
        return append_part(parts)

    def items(self, parts: Parts) -> Parts:
        """Collect elements of a list, one more at each reduction."""
        return append_part(parts)

    def decl(self, parts: Parts) -> Any:
        """Return the only part of a declaration."""
        return parts[0]

    def pattern(self, parts: Parts) -> s.Pattern:
        """Build a pattern constraint, `[label]: value`."""
        return s.Pattern(self.place(parts[0]), parts[1], parts[2])

    def ellipsis(self, parts: Parts) -> Ellipsis:
        """Build the `...` of a struct."""
        return Ellipsis()

    def field(self, parts: Parts) -> s.Field:
        """Build a field, `label: value`."""
        label, value = parts
        return s.Field(label.at, label.text, label.mark, value)

    def nested(self, parts: Parts) -> s.Struct:
        """Build the value of the short form `a: b: value`: a struct with one field."""
        return s.Struct(parts[0].at, (parts[0],))

    def label_of_word(self, token: Token, mark: Mark) -> Label:
        """Build an unquoted label, which must not be a constant.

        Raises:
            SettingsError: The label is `_`, `true`, `false` or `null`.
        """
        if token in ("_", *CONSTANTS):
            raise self.rejection(token, f"{str(token)!r} cannot be a field name", "quote it")
        return Label(str(token), mark, self.place(token))

    def label_of_string(self, token: Token, mark: Mark) -> Label:
        """Build a quoted label, which must not look like that of a hidden field or a definition.

        Raises:
            SettingsError: The label is empty or begins with `#` or `_`, and would be dropped silently.
        """
        text = self.value(token, literals.read_string)
        if not text or text.startswith(s.HIDDEN):
            what = f"found {token} as a field name"
            raise self.rejection(token, what, "a field name must not be empty or begin with # or _")
        return Label(text, mark, self.place(token))

    def regular(self, parts: Parts) -> Label:
        """Build the label of a regular field, `name`."""
        return self.label_of_word(parts[0], "")

    def optional(self, parts: Parts) -> Label:
        """Build the label of an optional field, `name?`."""
        return self.label_of_word(parts[0], "?")

    def required(self, parts: Parts) -> Label:
        """Build the label of a required field, `name!`, whose value must be given elsewhere."""
        return self.label_of_word(parts[0], "!")

    def quoted(self, parts: Parts) -> Label:
        """Build the label of a regular field, in quotes."""
        return self.label_of_string(parts[0], "")

    def quoted_optional(self, parts: Parts) -> Label:
        """Build the label of an optional field, in quotes."""
        return self.label_of_string(parts[0], "?")

    def quoted_required(self, parts: Parts) -> Label:
        """Build the label of a required field, in quotes."""
        return self.label_of_string(parts[0], "!")

    # -- expressions --------------------------------------------------------------------------------------
    def alternatives(self, parts: Parts) -> s.Node:
        """Build a disjunction; a single alternative stands for itself, also if it is marked as default."""
        _, first = parts[0]
        return first if len(parts) == 1 else s.Disjunction(first.at, tuple(parts))

    def plain_alternative(self, parts: Parts) -> tuple[bool, s.Node]:
        """Build an alternative that is not a default."""
        return False, parts[0]

    def default(self, parts: Parts) -> tuple[bool, s.Node]:
        """Build an alternative that a star marks as a default."""
        return True, parts[0]

    def unified(self, parts: Parts) -> s.Node:
        """Build a conjunction, or return its only part."""
        first: s.Node = parts[0]
        return first if len(parts) == 1 else s.Conjunction(first.at, tuple(parts))

    def bound(self, parts: Parts) -> s.Node:
        """Build a bound, `>= 5`."""
        return s.BoundExpression(self.place(parts[0]), str(parts[0]), parts[1])

    def select(self, parts: Parts) -> s.Node:
        """Build a selection of a field, `a.b`.

        Raises:
            SettingsError: The operand is not a name.
        """
        operand, name = parts
        if not isinstance(operand, s.Reference):
            raise self.rejection(name, "a field can only be selected from a name")
        return s.Reference(operand.at, operand.name, (*operand.path, str(name)))

    def named(self, parts: Parts) -> s.Node:
        """Build a constant or a reference."""
        (token,) = parts
        if token in CONSTANTS:
            return s.Atom(self.place(token), CONSTANTS[str(token)])
        return s.Reference(self.place(token), str(token))

    # -- literals -----------------------------------------------------------------------------------------
    def value(self, token: Token, read: Callable[[str], Value]) -> Value:
        """Return the value of a literal, parsed by a function of `literals`.

        Raises:
            SettingsError: The function does not accept the literal.
        """
        try:
            return read(str(token))
        except literals.LiteralError as error:
            raise self.rejection(token, error.what, error.remedy) from None

    def number(self, parts: Parts) -> s.Node:
        """Build an unsigned number."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_number))

    def negative(self, parts: Parts) -> s.Node:
        """Build a negative number."""
        return s.Atom(self.place(parts[0]), -self.value(parts[0], literals.read_number))

    def string(self, parts: Parts) -> s.Node:
        """Build a single-line string."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_string))

    def multiline(self, parts: Parts) -> s.Node:
        """Build a multi-line string."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_multiline))

    def raw(self, parts: Parts) -> s.Node:
        """Build a raw string, single-line or multi-line."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_raw))

    # -- structs and lists --------------------------------------------------------------------------------
    def struct(self, parts: Parts) -> s.Struct:
        """Build a struct from the declarations between braces."""
        return self.body(self.place(parts[0]), parts[1] if len(parts) > 1 else [])

    def body(self, place: s.Place, declarations: Parts) -> s.Struct:
        """Build a struct from declarations."""
        return s.Struct(
            place,
            tuple(each for each in declarations if isinstance(each, s.Field)),
            tuple(each for each in declarations if isinstance(each, s.Pattern)),
            any(isinstance(each, Ellipsis) for each in declarations),
        )

    def list(self, parts: Parts) -> s.ListLiteral:
        """Build a list from the elements between brackets.

        Raises:
            SettingsError: An element follows an ellipsis.
        """
        items = parts[1] if len(parts) > 1 else []
        *_, last = items or [None]
        elements = items[:-1] if isinstance(last, Ellipsis) else items
        if any(isinstance(item, Ellipsis) for item in elements):
            raise self.rejection(parts[0], "'...' must be the last element of a list")
        place = self.place(parts[0])
        if isinstance(last, Ellipsis):
            return s.ListLiteral(place, tuple(elements), last.rest, True)
        return s.ListLiteral(place, tuple(elements))

    def element(self, parts: Parts) -> s.Node:
        """Return the only part of a list element."""
        node: s.Node = parts[0]
        return node

    def rest_any(self, parts: Parts) -> Ellipsis:
        """Build the `...` of a list that allows any further elements."""
        return Ellipsis()

    def rest(self, parts: Parts) -> Ellipsis:
        """Build the `...value` of a list whose further elements must satisfy the value."""
        return Ellipsis(parts[1])


def append_part(parts: Parts) -> Parts:
    """Return the parts of a left-recursive rule as a list: the first one, or the list so far and one more."""
    if len(parts) == 1:
        return [parts[0]]
    collected: Parts = parts[0]
    collected.append(parts[-1])
    return collected
