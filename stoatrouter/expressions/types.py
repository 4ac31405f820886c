"""Types of the language (cel-spec, doc/langdef.md, "Values"). There are no implicit conversions."""

from __future__ import annotations

from dataclasses import dataclass


class Type:
    """Base class of types; types compare by structure."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Scalar(Type):
    """A type without type parameters."""

    name: str

    def __str__(self) -> str:
        """Return the name in CEL."""
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
    """A list whose elements have the same type."""

    element: Type

    def __str__(self) -> str:
        """Return the type as messages of CEL show it."""
        return f"list({self.element})"


@dataclass(slots=True, frozen=True)
class MapOf(Type):
    """A map from strings to values of the same type.

    With `folded`, keys are header field names, which ignore case (RFC 9110, 5.1). With `repeated`,
    `values(name)` returns all values of a name.
    """

    value: Type
    folded: bool = False
    repeated: bool = False

    def __str__(self) -> str:
        """Return the type as messages of CEL show it, without `folded` and `repeated`."""
        return f"map(string, {self.value})"


@dataclass(slots=True, frozen=True)
class OptionalOf(Type):
    """A value of a type, or no value (cel-spec's optional types)."""

    value: Type

    def __str__(self) -> str:
        """Return the type as messages of CEL show it."""
        return f"optional_type({self.value})"


COMPARABLE = (INT, DOUBLE, STRING, BYTES, DURATION, BOOL)


def common_type(a: Type, b: Type) -> Type | None:
    """Return the common type of two types, or None; an empty list is compatible with any list."""
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
    """Return whether == is defined, which it is not for optionals, maps and networks."""
    if isinstance(kind, ListOf):
        return is_equatable(kind.element)
    return kind in (*COMPARABLE, IP, NEVER)
