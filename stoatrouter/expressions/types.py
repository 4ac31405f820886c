"""Types of the language (cel-spec, doc/langdef.md, "Values"). No type converts into another by itself."""

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
        """CEL's name of it."""
        return self.name


BOOL = Scalar("bool")
INT = Scalar("int")
DOUBLE = Scalar("double")
STRING = Scalar("string")
BYTES = Scalar("bytes")
DURATION = Scalar("duration")
IP = Scalar("net.IP")
CIDR = Scalar("net.CIDR")
NEVER = Scalar("an element of an empty list")  # the element type of []


@dataclass(slots=True, frozen=True)
class ListOf(Type):
    """A list whose elements are of one type."""

    element: Type

    def __str__(self) -> str:
        """The form of CEL's messages."""
        return f"list({self.element})"


@dataclass(slots=True, frozen=True)
class MapOf(Type):
    """A map from strings to values of one type.

    With `folded` the keys are names of header fields, alike in any case (RFC 9110, 5.1). With `repeated`,
    `values(name)` gives all values that came under a name.
    """

    value: Type
    folded: bool = False
    repeated: bool = False

    def __str__(self) -> str:
        """The form of CEL's messages; what keys are is left out."""
        return f"map(string, {self.value})"


@dataclass(slots=True, frozen=True)
class OptionalOf(Type):
    """A value of one type, or none (cel-spec's optional types)."""

    value: Type

    def __str__(self) -> str:
        """The form of CEL's messages."""
        return f"optional_type({self.value})"


COMPARABLE = (INT, DOUBLE, STRING, BYTES, DURATION, BOOL)


def common_type(a: Type, b: Type) -> Type | None:
    """The one type that both are; None where there is none. An empty list is a list of anything."""
    if a == b:
        return a
    if NEVER in (a, b):
        return b if a == NEVER else a
    if isinstance(a, ListOf) and isinstance(b, ListOf):
        inner = common_type(a.element, b.element)
        return None if inner is None else ListOf(inner)
    if isinstance(a, OptionalOf) and isinstance(b, OptionalOf):
        inner = common_type(a.value, b.value)
        return None if inner is None else OptionalOf(inner)
    if isinstance(a, MapOf) and isinstance(b, MapOf) and a.folded == b.folded:
        inner = common_type(a.value, b.value)
        return None if inner is None else MapOf(inner, a.folded, a.repeated and b.repeated)
    return None


def is_equatable(kind: Type) -> bool:
    """Whether == is defined: for optionals and networks it is left out."""
    if isinstance(kind, ListOf):
        return is_equatable(kind.element)
    return kind in (*COMPARABLE, IP, NEVER)
