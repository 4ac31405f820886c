"""Functions that compiled expressions call, besides those of conversions.py. All are free of side effects.

The semantics are those of cel-spec (doc/langdef.md), of cel-go's ext/strings and, for networks, of
Kubernetes' CEL library. Most functions run for every request, so they do not repeat what the checker has
verified.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache, partial
from typing import Any, TypeVar

import xxhash

from stoatrouter.expressions.errors import EvaluationError

T = TypeVar("T")
Address = ipaddress.IPv4Address | ipaddress.IPv6Address
Network = ipaddress.IPv4Network | ipaddress.IPv6Network

# Unicode's White_Space, which CEL's trim removes; Python's strip() removes more
WHITE_SPACE = (
    "\t\n\v\f\r \x85\xa0\u1680\u2000\u2001\u2002\u2003\u2004\u2005\u2006\u2007\u2008\u2009\u200a\u2028"
    "\u2029\u202f\u205f\u3000"
)
LOWER = {c: c + 32 for c in range(ord("A"), ord("Z") + 1)}
UPPER = {c: c - 32 for c in range(ord("a"), ord("z") + 1)}
MAX_ADDRESS_LENGTH = 64  # characters of a string parsed as an address; longer ones are rejected
ADDRESS_CACHE_SIZE = 4096  # parsed addresses that are cached; the least recently used is evicted


class Fields(dict[str, str]):
    """Values by name, such as header fields; `lists` has all values of each name that occurred repeatedly."""

    __slots__ = ("lists",)

    def __init__(self, values: Mapping[str, str], lists: Mapping[str, tuple[str, ...]] | None = None) -> None:
        """Store the joined values, and all values of each name that occurred more than once."""
        super().__init__(values)
        self.lists: Mapping[str, tuple[str, ...]] = lists or {}


def values(fields: Fields, name: str) -> list[str]:
    """Return all values of a name in the order of the request; none if the name is missing."""
    if name in fields.lists:
        return list(fields.lists[name])
    return [fields[name]] if name in fields else []


# -- text ---------------------------------------------------------------------------------------------------
def lower_ascii(text: str) -> str:
    """Return CEL's `lowerAscii`, which leaves letters outside ASCII unchanged."""
    return text.lower() if text.isascii() else text.translate(LOWER)


def upper_ascii(text: str) -> str:
    """Return CEL's `upperAscii`, which leaves letters outside ASCII unchanged."""
    return text.upper() if text.isascii() else text.translate(UPPER)


def trim(text: str) -> str:
    """Return CEL's `trim`, which removes Unicode white space at both ends."""
    return text.strip(WHITE_SPACE)


def split(text: str, separator: str, limit: int = -1) -> list[str]:
    """Return CEL's `split`; an empty separator splits into code points.

    A limit of 0 yields an empty list, a negative one means no limit.
    """
    if limit == 0:
        return []
    if not separator:
        return list(text) if limit < 0 or len(text) <= limit else [*text[: limit - 1], text[limit - 1 :]]
    return text.split(separator, limit - 1 if limit > 0 else -1)


def substring(text: str, start: int, stop: int | None = None) -> str:
    """Return CEL's `substring` from `start` up to but excluding `stop`; without `stop`, up to the end.

    Raises:
        EvaluationError: The range exceeds the string.
    """
    end = len(text) if stop is None else stop
    if not 0 <= start <= end <= len(text):
        raise EvaluationError("substring out of range")
    return text[start:end]


def stable_hash(data: str | bytes) -> int:
    """Return `hash`: the upper 63 bits of XXH3 over the UTF-8 encoding.

    The hash is the same on all machines and in all versions, and never negative.
    """
    return xxhash.xxh3_64_intdigest(data.encode() if isinstance(data, str) else data) >> 1


def hex16(number: int) -> str:
    """Return `hex16`: sixteen hex digits, a negative number as two's complement."""
    return f"{number & 0xFFFF_FFFF_FFFF_FFFF:016x}"


# -- addresses ----------------------------------------------------------------------------------------------
@lru_cache(maxsize=ADDRESS_CACHE_SIZE)  # few distinct client addresses, and parsing one takes microseconds
def read_ip(text: str) -> Address | None:
    """Return the address, or None. A zone (fe80::1%eth0) is rejected, as it is only valid on its machine."""
    try:
        return None if "%" in text else ipaddress.ip_address(text)
    except ValueError:
        return None


def ip_of_text(text: str) -> Address:
    """Return CEL's `ip` of a string.

    Raises:
        EvaluationError: The string is not an address, or has a zone.
    """
    if len(text) > MAX_ADDRESS_LENGTH or (address := read_ip(text)) is None:
        raise EvaluationError("not an IP address")
    return address


def is_ip(text: str) -> bool:
    """Return CEL's `isIP`: whether `ip` of the string would succeed."""
    return len(text) <= MAX_ADDRESS_LENGTH and read_ip(text) is not None


def contains_ip(network: Network, address: Address) -> bool:
    """Return CEL's `containsIP` of an address; false if the families differ."""
    return address.version == network.version and address in network


def contains_text(network: Network, text: str) -> bool:
    """Return CEL's `containsIP` of a string.

    Raises:
        EvaluationError: The string is not an address.
    """
    return contains_ip(network, ip_of_text(text))


# -- look-ups and logic -------------------------------------------------------------------------------------
def key(mapping: Mapping[str, T], name: str) -> T:
    """Return `mapping[name]`, for a key that no guard has proven to exist.

    Raises:
        EvaluationError: The key is missing.
    """
    try:
        return mapping[name]
    except KeyError:
        raise EvaluationError("no such key") from None


def element(items: list[T], index: int) -> T:
    """Return `items[index]`, for an index that no guard has proven to be in range.

    Raises:
        EvaluationError: The index is out of range; a negative one always is.
    """
    if not 0 <= index < len(items):
        raise EvaluationError("index out of range")
    return items[index]


def element_or_none(items: list[T], index: int) -> T | None:
    """Return `items[?index]`; None is the empty optional."""
    return items[index] if 0 <= index < len(items) else None


def value(optional: T | None) -> T:
    """Return CEL's `value` of an optional.

    Raises:
        EvaluationError: The optional is empty.
    """
    if optional is None:
        raise EvaluationError("optional.none() has no value")
    return optional


def or_value(optional: T | None, other: T) -> T:
    """Return CEL's `orValue` or `or` with an alternative that cannot fail."""
    return other if optional is None else optional


def or_lazy(optional: T | None, other: Callable[[], T]) -> T:
    """Return CEL's `orValue` or `or` with an alternative that may fail, evaluated only if it is needed."""
    return other() if optional is None else optional


def optional_map(optional: T | None, change: Callable[[T], Any]) -> Any:
    """Return CEL's `optMap`."""
    return None if optional is None else change(optional)


def attempt(work: Callable[[], T]) -> T | None:
    """Return `try`: the value, or None if it cannot be computed."""
    try:
        return work()
    except EvaluationError:
        return None


def decide_fallible(deciding: bool, terms: Iterable[Callable[[], bool]]) -> bool:
    """Return && (deciding is False) or || (deciding is True) of terms that may fail.

    A deciding term outweighs errors of terms before or after it (cel-spec, "Logical Operators").

    Raises:
        EvaluationError: A term failed and none decides; the last error is raised.
    """
    failed: EvaluationError | None = None
    for term in terms:
        try:
            if term() is deciding:
                return deciding
        except EvaluationError as error:
            failed = error
    if failed is not None:
        raise failed
    return not deciding


def decide_fallible_test(deciding: bool, items: Iterable[T], test: Callable[[T], bool]) -> bool:
    """Return CEL's `all` (deciding is False) or `exists` (True) of a fallible test; see `decide_fallible`."""
    return decide_fallible(deciding, (partial(test, item) for item in items))


def exactly_one(truths: Iterable[bool]) -> bool:
    """Return CEL's `exists_one`."""
    return sum(truths) == 1


def contains_double(number: float, items: list[float]) -> bool:
    """Return `in` by ==, so that no list contains NaN; Python's `in` compares identity first."""
    return any(number == item for item in items)


def join(items: Iterable[str], separator: str = "") -> str:
    """Return CEL's `join`."""
    return separator.join(items)


def encode(text: str) -> bytes:
    """Return CEL's `bytes` of a string: its UTF-8 encoding."""
    return text.encode()


def family(address: Address) -> int:
    """Return CEL's `family`: 4 or 6."""
    return address.version
