"""Types of the language. No type converts into another by itself."""

from __future__ import annotations

from dataclasses import dataclass


class Type:
    """Any type; two are the same where they are equal."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Scalar(Type):
    """A type without parts."""

    name: str

    def __str__(self) -> str:
        return self.name


BOOL, INT, DOUBLE = Scalar("bool"), Scalar("int"), Scalar("double")
STRING, BYTES, DURATION = Scalar("string"), Scalar("bytes"), Scalar("duration")
IP, CIDR = Scalar("net.IP"), Scalar("net.CIDR")
NEVER = Scalar("an element of an empty list")  # the element type of []


@dataclass(slots=True, frozen=True)
class ListOf(Type):
    element: Type

    def __str__(self) -> str:
        return f"list({self.element})"


@dataclass(slots=True, frozen=True)
class MapOf(Type):
    """Keys are strings. With `folded` they are names of header fields, alike in any case (RFC 9110, 5.1).
    With `repeated`, `values(name)` gives what came under a name more than once."""

    value: Type
    folded: bool = False
    repeated: bool = False

    def __str__(self) -> str:
        return f"map(string, {self.value})"


@dataclass(slots=True, frozen=True)
class OptionalOf(Type):
    value: Type

    def __str__(self) -> str:
        return f"optional_type({self.value})"


COMPARABLE = (INT, DOUBLE, STRING, BYTES, DURATION, BOOL)


def joined(a: Type, b: Type) -> Type | None:
    """The one type that both are; None where there is none. An empty list is a list of anything."""
    if a == b:
        return a
    if NEVER in (a, b):
        return b if a == NEVER else a
    if isinstance(a, ListOf) and isinstance(b, ListOf):
        inner = joined(a.element, b.element)
        return None if inner is None else ListOf(inner)
    if isinstance(a, OptionalOf) and isinstance(b, OptionalOf):
        inner = joined(a.value, b.value)
        return None if inner is None else OptionalOf(inner)
    if isinstance(a, MapOf) and isinstance(b, MapOf) and a.folded == b.folded:
        inner = joined(a.value, b.value)
        return None if inner is None else MapOf(inner, a.folded, a.repeated and b.repeated)
    return None


def equatable(kind: Type) -> bool:
    """Whether == is defined: for optionals and networks it is left out."""
    if isinstance(kind, ListOf):
        return equatable(kind.element)
    return kind in (*COMPARABLE, IP, NEVER)
