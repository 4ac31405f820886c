"""What compiled expressions may call, with conversions.py and nothing else. It is free of side effects.

Meanings are those of cel-spec (doc/langdef.md), of cel-go's ext/strings and of Kubernetes' CEL library for
networks. Most functions stand on the path of every request: they check nothing that the checker has.
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

# Unicode's White_Space, which CEL's trim goes by; Python's strip() takes more
WHITE_SPACE = (
    "\t\n\v\f\r \x85\xa0\u1680\u2000\u2001\u2002\u2003\u2004\u2005\u2006\u2007\u2008\u2009\u200a\u2028"
    "\u2029\u202f\u205f\u3000"
)
LOWER = {c: c + 32 for c in range(ord("A"), ord("Z") + 1)}
UPPER = {c: c - 32 for c in range(ord("a"), ord("z") + 1)}
MAX_ADDRESS_LENGTH = 64  # characters of a text that is read as an address; longer ones are none
ADDRESS_CACHE_SIZE = 4096  # addresses that are parsed once; the least recently used are dropped


class Fields(dict[str, str]):
    """Values by name, such as header fields; `lists` has all values of a name that came more than once."""

    __slots__ = ("lists",)

    def __init__(self, values: Mapping[str, str], lists: Mapping[str, tuple[str, ...]] | None = None) -> None:
        """Take the joined values, and all values of those names that came more than once."""
        super().__init__(values)
        self.lists: Mapping[str, tuple[str, ...]] = lists or {}


def values(fields: Fields, name: str) -> list[str]:
    """CEL's `values`: all values of a name in the order they came; none where it is missing."""
    if name in fields.lists:
        return list(fields.lists[name])
    return [fields[name]] if name in fields else []


# -- text ---------------------------------------------------------------------------------------------------
def lower_ascii(text: str) -> str:
    """CEL's `lowerAscii`: other letters stay as they are."""
    return text.lower() if text.isascii() else text.translate(LOWER)


def upper_ascii(text: str) -> str:
    """CEL's `upperAscii`: other letters stay as they are."""
    return text.upper() if text.isascii() else text.translate(UPPER)


def trim(text: str) -> str:
    """CEL's `trim`: without Unicode's white space at both ends."""
    return text.strip(WHITE_SPACE)


def split(text: str, separator: str, limit: int = -1) -> list[str]:
    """CEL's `split`: an empty separator splits into code points.

    A limit of 0 gives nothing, a negative one is none.
    """
    if limit == 0:
        return []
    if not separator:
        return list(text) if limit < 0 or len(text) <= limit else [*text[: limit - 1], text[limit - 1 :]]
    return text.split(separator, limit - 1 if limit > 0 else -1)


def substring(text: str, start: int, stop: int | None = None) -> str:
    """CEL's `substring`, from `start` up to and without `stop`, which is the end where it is left out.

    Raises:
        EvaluationError: The range lies outside of the text.
    """
    end = len(text) if stop is None else stop
    if not 0 <= start <= end <= len(text):
        raise EvaluationError("substring out of range")
    return text[start:end]


def stable_hash(data: str | bytes) -> int:
    """CEL's `hash`: the upper 63 bits of XXH3 over the UTF-8.

    It is alike on all machines, in all versions, and never negative.
    """
    return xxhash.xxh3_64_intdigest(data.encode() if isinstance(data, str) else data) >> 1


def hex16(number: int) -> str:
    """CEL's `hex16`: sixteen hex digits; a negative number as two's complement."""
    return f"{number & 0xFFFF_FFFF_FFFF_FFFF:016x}"


# -- addresses ----------------------------------------------------------------------------------------------
@lru_cache(maxsize=ADDRESS_CACHE_SIZE)  # clients come from few addresses, and reading one takes microseconds
def read_ip(text: str) -> Address | None:
    """The address that a text is, or None. A zone (fe80::1%eth0) has no meaning beyond its machine."""
    try:
        return None if "%" in text else ipaddress.ip_address(text)
    except ValueError:
        return None


def ip_of_text(text: str) -> Address:
    """CEL's `ip` of a text.

    Raises:
        EvaluationError: It is no address, or one with a zone.
    """
    if len(text) > MAX_ADDRESS_LENGTH or (address := read_ip(text)) is None:
        raise EvaluationError("not an IP address")
    return address


def is_ip(text: str) -> bool:
    """CEL's `isIP`: whether `ip` of a text would succeed."""
    return len(text) <= MAX_ADDRESS_LENGTH and read_ip(text) is not None


def contains_ip(network: Network, address: Address) -> bool:
    """CEL's `containsIP` of an address; one of the other family is in no network."""
    return address.version == network.version and address in network


def contains_text(network: Network, text: str) -> bool:
    """CEL's `containsIP` of a text.

    Raises:
        EvaluationError: It is no address.
    """
    return contains_ip(network, ip_of_text(text))


# -- look-ups and logic -------------------------------------------------------------------------------------
def key(mapping: Mapping[str, T], name: str) -> T:
    """`mapping[name]`, where no guard has shown that the key is there.

    Raises:
        EvaluationError: It is missing.
    """
    try:
        return mapping[name]
    except KeyError:
        raise EvaluationError("no such key") from None


def element(items: list[T], index: int) -> T:
    """`items[index]`, where no guard has shown that it lies within.

    Raises:
        EvaluationError: It lies outside; negative ones do, too.
    """
    if not 0 <= index < len(items):
        raise EvaluationError("index out of range")
    return items[index]


def element_or_none(items: list[T], index: int) -> T | None:
    """`items[?index]`; None is the empty optional."""
    return items[index] if 0 <= index < len(items) else None


def value(optional: T | None) -> T:
    """CEL's `value` of an optional.

    Raises:
        EvaluationError: It is empty.
    """
    if optional is None:
        raise EvaluationError("optional.none() has no value")
    return optional


def or_value(optional: T | None, other: T) -> T:
    """CEL's `orValue` and `or` with an alternative that cannot fail."""
    return other if optional is None else optional


def or_lazy(optional: T | None, other: Callable[[], T]) -> T:
    """The same with an alternative that may fail, and is evaluated only where it is needed."""
    return other() if optional is None else optional


def optional_map(optional: T | None, change: Callable[[T], Any]) -> Any:
    """CEL's `optMap`."""
    return None if optional is None else change(optional)


def attempt(work: Callable[[], T]) -> T | None:
    """CEL's `try`: the value, or None where it cannot be computed."""
    try:
        return work()
    except EvaluationError:
        return None


def decide_fallible(deciding: bool, terms: Iterable[Callable[[], bool]]) -> bool:
    """&& (deciding is False) and || (True) over terms that may fail.

    One that decides outweighs errors, on whichever side it stands (cel-spec, "Logical Operators").

    Raises:
        EvaluationError: The last error, where no term decides.
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
    """CEL's `all` (deciding is False) and `exists` (True) with a test that may fail; as `decide_fallible`."""
    return decide_fallible(deciding, (partial(test, item) for item in items))


def exactly_one(truths: Iterable[bool]) -> bool:
    """CEL's `exists_one`."""
    return sum(truths) == 1


def contains_double(number: float, items: list[float]) -> bool:
    """`in` by ==, so that NaN is in no list (Python's own asks for identity first)."""
    return any(number == item for item in items)


def join(items: Iterable[str], separator: str = "") -> str:
    """CEL's `join`."""
    return separator.join(items)


def encode(text: str) -> bytes:
    """CEL's `bytes` of a text: its UTF-8."""
    return text.encode()


def family(address: Address) -> int:
    """CEL's `family`: 4 or 6."""
    return address.version
