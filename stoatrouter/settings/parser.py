"""From the text of a settings file to its tree: a strict subset of CUE, by lark's LALR(1) parser.

The grammar is cue.lark; what stands outside of the subset is refused with a fault that names it.
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
LONGEST_TOKEN = 40  # characters of a token in a message
TOML = re.compile(r"[A-Za-z_-]+ *=[^=~]|\[[A-Za-z.\"-]+\]$")
CONSTANTS = {"true": True, "false": False, "null": None}
LEFT_OUT = {"let": "let", "if": "a comprehension", "for": "a comprehension"}

Mark = Literal["", "?", "!"]
Value = TypeVar("Value")
Parts = list[Any]  # what lark hands over for a rule: tokens, and what was built of the rules below


@dataclass(slots=True, frozen=True)
class Label:
    """A field's label, its mark, and where it stands."""

    text: str
    mark: Mark
    at: s.Place


@dataclass(slots=True, frozen=True)
class Package:
    """A package clause."""

    name: str


@dataclass(slots=True, frozen=True)
class Ellipsis:
    """The `...` that leaves a struct or list open, and in a list what further elements have to satisfy."""

    rest: s.Node | None = None


@lru_cache(maxsize=1)
def grammar() -> tuple[Lark, TreeBuilder]:
    """The parser and what it builds with, made once; a parse is never begun within another."""
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
    """The tree of one file.

    Raises:
        SettingsError: The first thing that cannot be read, with the file's name and the line.
    """
    if len(text) > MAX_LENGTH:
        fault = Fault(s.Place(name, 1), "", f"a file of {len(text)} bytes", f"{MAX_LENGTH} at most")
        raise SettingsError(fault)
    try:
        parser, builder = grammar()
        builder.name = name
        file = parser.parse(text.replace("\r\n", "\n"))
    except TooDeepError as error:
        place = s.Place(name, error.line)
        raise SettingsError(Fault(place, "", f"brackets more than {MAX_NESTING} deep")) from None
    except UnexpectedCharacters as error:
        raise SettingsError(misplaced(name, text, error.line, error.column, error.char)) from None
    except UnexpectedToken as error:
        raise SettingsError(unexpected_token(error, name, text)) from None
    except UnexpectedInput as error:
        raise SettingsError(Fault(s.Place(name, max(1, error.line)), "", "this cannot be read")) from None
    assert isinstance(file, s.File)
    return file


def unexpected_token(error: UnexpectedToken, name: str, text: str) -> Fault:
    """The fault of a token that the grammar has no place for, or of a text that ends too early."""
    token = error.token
    at_end = token.type == "$END"
    toml = next((i for i, row in enumerate(text.splitlines(), 1) if TOML.match(row.strip())), None)
    if at_end and toml is None:
        end = s.Place(name, text.count("\n") + 1)
        return Fault(end, "", "the file ends too early", "a bracket may be open")
    line = (toml if at_end else None) or token.line or 1
    if token.type == "COMMA" and token.value == ",":
        return Fault(s.Place(name, line), "", "the line ends too early, or a comma stands here for nothing")
    return misplaced(name, text, line, token.column or 1, str(token)[:LONGEST_TOKEN])


def misplaced(name: str, text: str, line: int, column: int, found: str) -> Fault:
    """The fault of a text that cannot stand where it does, with what it most likely was meant for."""
    lines = text.splitlines()
    row = lines[line - 1].strip() if line <= len(lines) else ""
    keyword = row.partition(" ")[0]
    place = s.Place(name, line)
    if keyword in LEFT_OUT:
        return Fault(place, "", f"{LEFT_OUT[keyword]} is not part of the subset that is read here")
    hint = ""
    if TOML.match(row):
        hint = "this is TOML; write 'name: value' and 'name: {...}', see docs/settings.md"
    return Fault(place, "", f"{found!r} cannot stand here (column {column})", hint)


class TreeBuilder(Transformer[Token, Any]):
    """Makes the tree; lark calls the method of a rule, or of an alternative's alias, with its parts."""

    def __init__(self, name: str) -> None:
        """A builder for the file of this name; the name may be set anew for each parse."""
        super().__init__()
        self.name = name

    def place(self, part: Any) -> s.Place:
        """Where a token or a node stands."""
        if isinstance(part, s.Node):
            return part.at
        return s.Place(self.name, part.line or 1)

    def rejection(self, part: Any, what: str, remedy: str = "") -> SettingsError:
        """The error to raise for a token or node that is well-formed, but not accepted."""
        return SettingsError(Fault(self.place(part), "", what, remedy))

    # -- files --------------------------------------------------------------------------------------------
    def start(self, parts: Parts) -> s.File:
        """A whole file: its clauses, then its declarations."""
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
        """The clause `package name`."""
        return Package(str(parts[0]))

    def import_(self, parts: Parts) -> s.Import:
        """An import without a name: it has the one after the path's colon, or else its last segment."""
        path = self.value(parts[0], literals.read_string)
        return s.Import(path.rpartition("/")[2].rpartition(":")[2], path, self.place(parts[0]))

    def import_as(self, parts: Parts) -> s.Import:
        """An import that gives the package a name."""
        return s.Import(str(parts[0]), self.value(parts[1], literals.read_string), self.place(parts[0]))

    # -- declarations -------------------------------------------------------------------------------------
    def decls(self, parts: Parts) -> Parts:
        """Declarations, one more at each reduction."""
        return extend(parts)

    def items(self, parts: Parts) -> Parts:
        """Elements of a list, one more at each reduction."""
        return extend(parts)

    def decl(self, parts: Parts) -> Any:
        """Any one declaration."""
        return parts[0]

    def pattern(self, parts: Parts) -> s.Pattern:
        """A pattern constraint, `[label]: value`."""
        return s.Pattern(self.place(parts[0]), parts[1], parts[2])

    def ellipsis(self, parts: Parts) -> Ellipsis:
        """The `...` of a struct."""
        return Ellipsis()

    def field(self, parts: Parts) -> s.Field:
        """A field, `label: value`."""
        label, value = parts
        return s.Field(label.at, label.text, label.mark, value)

    def nested(self, parts: Parts) -> s.Struct:
        """The short form `a: b: value`: a struct with one field."""
        return s.Struct(parts[0].at, (parts[0],))

    def label_of_word(self, token: Token, mark: Mark) -> Label:
        """A label without quotes, which must not be a constant.

        Raises:
            SettingsError: It is `_`, `true`, `false` or `null`.
        """
        if token in ("_", *CONSTANTS):
            raise self.rejection(token, f"{str(token)!r} names no field", "put it in quotes")
        return Label(str(token), mark, self.place(token))

    def label_of_string(self, token: Token, mark: Mark) -> Label:
        """A label in quotes, which must not look like that of a hidden field or a definition.

        Raises:
            SettingsError: It is empty or begins with `#` or `_`; such a field would be dropped in silence.
        """
        text = self.value(token, literals.read_string)
        if not text or text.startswith(s.HIDDEN):
            what = f"found {token} as a field's name"
            raise self.rejection(token, what, "a name that is not empty and begins with neither # nor _")
        return Label(text, mark, self.place(token))

    def regular(self, parts: Parts) -> Label:
        """The label of a field that has a value: `name`."""
        return self.label_of_word(parts[0], "")

    def optional(self, parts: Parts) -> Label:
        """The label of a field that may be left out: `name?`."""
        return self.label_of_word(parts[0], "?")

    def required(self, parts: Parts) -> Label:
        """The label of a field that has to be given elsewhere: `name!`."""
        return self.label_of_word(parts[0], "!")

    def quoted(self, parts: Parts) -> Label:
        """As `regular`, in quotes."""
        return self.label_of_string(parts[0], "")

    def quoted_optional(self, parts: Parts) -> Label:
        """As `optional`, in quotes."""
        return self.label_of_string(parts[0], "?")

    def quoted_required(self, parts: Parts) -> Label:
        """As `required`, in quotes."""
        return self.label_of_string(parts[0], "!")

    # -- expressions --------------------------------------------------------------------------------------
    def alternatives(self, parts: Parts) -> s.Node:
        """A disjunction; a default of one alternative is that alternative."""
        _, first = parts[0]
        return first if len(parts) == 1 else s.Disjunction(first.at, tuple(parts))

    def plain_alternative(self, parts: Parts) -> tuple[bool, s.Node]:
        """An alternative that is no default."""
        return False, parts[0]

    def default(self, parts: Parts) -> tuple[bool, s.Node]:
        """An alternative that a star marks as a default."""
        return True, parts[0]

    def unified(self, parts: Parts) -> s.Node:
        """A conjunction, or its only part."""
        first: s.Node = parts[0]
        return first if len(parts) == 1 else s.Unified(first.at, tuple(parts))

    def bound(self, parts: Parts) -> s.Node:
        """A comparison with one side, `>= 5`."""
        return s.BoundOf(self.place(parts[0]), str(parts[0]), parts[1])

    def select(self, parts: Parts) -> s.Node:
        """A field below a name, `a.b`.

        Raises:
            SettingsError: The operand is no name.
        """
        operand, name = parts
        if not isinstance(operand, s.Reference):
            raise self.rejection(name, "a field can be selected of a name alone")
        return s.Reference(operand.at, operand.name, (*operand.path, str(name)))

    def named(self, parts: Parts) -> s.Node:
        """A constant or a reference."""
        (token,) = parts
        if token in CONSTANTS:
            return s.Atom(self.place(token), CONSTANTS[str(token)])
        return s.Reference(self.place(token), str(token))

    # -- literals -----------------------------------------------------------------------------------------
    def value(self, token: Token, read: Callable[[str], Value]) -> Value:
        """The value that a function of `literals` reads from a token.

        Raises:
            SettingsError: It does not accept the literal.
        """
        try:
            return read(str(token))
        except literals.LiteralError as error:
            raise self.rejection(token, error.what, error.remedy) from None

    def number(self, parts: Parts) -> s.Node:
        """A number without a sign."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_number))

    def negative(self, parts: Parts) -> s.Node:
        """A number with a minus."""
        return s.Atom(self.place(parts[0]), -self.value(parts[0], literals.read_number))

    def string(self, parts: Parts) -> s.Node:
        """A string in one line."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_string))

    def multiline(self, parts: Parts) -> s.Node:
        """A string of several lines."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_multiline))

    def raw(self, parts: Parts) -> s.Node:
        """A string without escapes, in one line or several."""
        return s.Atom(self.place(parts[0]), self.value(parts[0], literals.read_raw))

    # -- structs and lists --------------------------------------------------------------------------------
    def struct(self, parts: Parts) -> s.Struct:
        """Declarations between braces."""
        return self.body(self.place(parts[0]), parts[1] if len(parts) > 1 else [])

    def body(self, place: s.Place, declarations: Parts) -> s.Struct:
        """The struct of some declarations."""
        return s.Struct(
            place,
            tuple(each for each in declarations if isinstance(each, s.Field)),
            tuple(each for each in declarations if isinstance(each, s.Pattern)),
            any(isinstance(each, Ellipsis) for each in declarations),
        )

    def list(self, parts: Parts) -> s.ListOf:
        """Elements between brackets.

        Raises:
            SettingsError: An ellipsis is followed by an element.
        """
        items = parts[1] if len(parts) > 1 else []
        *_, last = items or [None]
        elements = items[:-1] if isinstance(last, Ellipsis) else items
        if any(isinstance(item, Ellipsis) for item in elements):
            raise self.rejection(parts[0], "'...' stands last in a list")
        place = self.place(parts[0])
        if isinstance(last, Ellipsis):
            return s.ListOf(place, tuple(elements), last.rest, True)
        return s.ListOf(place, tuple(elements))

    def element(self, parts: Parts) -> s.Node:
        """One element of a list."""
        node: s.Node = parts[0]
        return node

    def rest_any(self, parts: Parts) -> Ellipsis:
        """The `...` of a list to which anything may be added."""
        return Ellipsis()

    def rest(self, parts: Parts) -> Ellipsis:
        """The `...value` of a list to which such values may be added."""
        return Ellipsis(parts[1])


def extend(parts: Parts) -> Parts:
    """What a left-recursive rule has gathered: its first part, or the list so far and the last part."""
    if len(parts) == 1:
        return [parts[0]]
    gathered: Parts = parts[0]
    gathered.append(parts[-1])
    return gathered
