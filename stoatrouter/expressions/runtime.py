"""What compiled expressions may call, and nothing else. All of it is free of side effects."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from functools import lru_cache
from typing import Any, TypeVar

import xxhash

from stoatrouter.expressions.bounds import MOST_DURATION
from stoatrouter.expressions.errors import EvaluationError
from stoatrouter.expressions.literals import LEAST_INT, MOST_INT

T = TypeVar("T")
Address = ipaddress.IPv4Address | ipaddress.IPv6Address
Network = ipaddress.IPv4Network | ipaddress.IPv6Network

DECIMAL = re.compile(r"[+-]?[0-9]{1,40}")
FLOAT = re.compile(r"[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,6})?")
DURATION = re.compile(r"([+-]?)((?:[0-9]+(?:\.[0-9]*)?(?:ns|us|µs|μs|ms|s|m|h))+|0)")
PART = re.compile(r"([0-9]+)(?:\.([0-9]*))?(ns|us|µs|μs|ms|s|m|h)")
NANOSECONDS = {
    "ns": 1,
    "us": 1_000,
    "µs": 1_000,
    "μs": 1_000,
    "ms": 10**6,
    "s": 10**9,
    "m": 60 * 10**9,
    "h": 3600 * 10**9,
}
LONGEST_NUMBER = 64  # characters of a number or duration that is read from text
TRUE, FALSE = ("1", "t", "T", "TRUE", "true", "True"), ("0", "f", "F", "FALSE", "false", "False")
# Unicode's White_Space, which CEL's trim goes by; Python's strip() takes more
WHITE = (
    "\t\n\v\f\r \x85\xa0\u1680\u2000\u2001\u2002\u2003\u2004\u2005\u2006\u2007\u2008\u2009\u200a\u2028"
    "\u2029\u202f\u205f\u3000"
)
LOWER = {c: c + 32 for c in range(ord("A"), ord("Z") + 1)}
UPPER = {c: c - 32 for c in range(ord("a"), ord("z") + 1)}
MICROSECOND = timedelta(microseconds=1)


class Fields(dict[str, str]):
    """Values by name; `lists` has all values of a name that came more than once."""

    __slots__ = ("lists",)

    def __init__(self, values: Mapping[str, str], lists: Mapping[str, tuple[str, ...]] | None = None) -> None:
        super().__init__(values)
        self.lists: Mapping[str, tuple[str, ...]] = lists or {}


def values(fields: Fields, name: str) -> list[str]:
    """All values of a name in the order they came; none where it is missing."""
    if name in fields.lists:
        return list(fields.lists[name])
    return [fields[name]] if name in fields else []


# -- numbers ------------------------------------------------------------------------------------------------
def int_checked(number: int) -> int:
    if not LEAST_INT <= number <= MOST_INT:
        raise EvaluationError("int overflow")
    return number


def divide(a: int, b: int) -> int:
    """Truncated towards zero, as CEL has it."""
    if b == 0:
        raise EvaluationError("division by zero")
    return int_checked(abs(a) // abs(b) * (1 if (a < 0) == (b < 0) else -1))


def remainder(a: int, b: int) -> int:
    """With the sign of the dividend."""
    if b == 0:
        raise EvaluationError("division by zero")
    return abs(a) % abs(b) * (-1 if a < 0 else 1)


def divide_double(a: float, b: float) -> float:
    """IEEE 754: no error, but infinities and NaN."""
    if b != 0:
        return a / b
    if a == 0 or math.isnan(a) or math.isnan(b):
        return math.nan
    return math.copysign(math.inf, a) * math.copysign(1, b)


def int_of_text(text: str) -> int:
    if len(text) > LONGEST_NUMBER or not DECIMAL.fullmatch(text):
        raise EvaluationError("not an int")
    return int_checked(int(text))


def int_of_double(number: float) -> int:
    """Truncated towards zero; CEL refuses what lies at or beyond the ends."""
    if not LEAST_INT < number < MOST_INT:
        raise EvaluationError("out of an int's range")
    return int(number)


def double_of_text(text: str) -> float:
    if len(text) > LONGEST_NUMBER or not FLOAT.fullmatch(text) or math.isinf(number := float(text)):
        raise EvaluationError("not a double")
    return number


def bool_of_text(text: str) -> bool:
    if text in TRUE:
        return True
    if text not in FALSE:
        raise EvaluationError("not a bool")
    return False


def text_of_bool(truth: bool) -> str:
    return "true" if truth else "false"


def text_of_bytes(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise EvaluationError("not UTF-8") from None


# -- durations ----------------------------------------------------------------------------------------------
def duration_checked(span: timedelta) -> timedelta:
    if abs(span // MICROSECOND) > MOST_DURATION:
        raise EvaluationError("duration overflow")
    return span


def duration_of_text(text: str) -> timedelta:
    """As Go's time.ParseDuration reads it; stricter: whole microseconds only."""
    found = DURATION.fullmatch(text) if len(text) <= LONGEST_NUMBER else None
    if found is None:
        raise EvaluationError("not a duration")
    total = 0
    for number, fraction, unit in PART.findall(found[2]):
        digits = fraction or ""
        scaled, rest = divmod(int(number + digits) * NANOSECONDS[unit], 10 ** len(digits))
        if rest:
            raise EvaluationError("a duration finer than a microsecond")
        total += scaled
    if total % 1000 or total > MOST_DURATION * 1000:
        raise EvaluationError("a duration finer than a microsecond, or beyond 10,000 years")
    return timedelta(microseconds=-total // 1000 if found[1] == "-" else total // 1000)


def text_of_duration(span: timedelta) -> str:
    """In seconds, as protobuf's JSON form has it."""
    count = span // MICROSECOND
    seconds, fraction = divmod(abs(count), 1_000_000)
    digits = f".{fraction:06d}".rstrip("0") if fraction else ""
    return f"{'-' if count < 0 else ''}{seconds}{digits}s"


def whole_units(span: timedelta, micros: int) -> int:
    """How many whole units a duration has, truncated towards zero."""
    count = span // MICROSECOND
    return abs(count) // micros * (-1 if count < 0 else 1)


# -- text ---------------------------------------------------------------------------------------------------
def lower_ascii(text: str) -> str:
    return text.lower() if text.isascii() else text.translate(LOWER)


def upper_ascii(text: str) -> str:
    return text.upper() if text.isascii() else text.translate(UPPER)


def trim(text: str) -> str:
    return text.strip(WHITE)


def split(text: str, separator: str, most: int = -1) -> list[str]:
    """An empty separator splits into code points; a limit of 0 gives nothing, a negative one is none."""
    if most == 0:
        return []
    if not separator:
        return list(text) if most < 0 or len(text) <= most else [*text[: most - 1], text[most - 1 :]]
    return text.split(separator, most - 1 if most > 0 else -1)


def substring(text: str, start: int, stop: int | None = None) -> str:
    end = len(text) if stop is None else stop
    if not 0 <= start <= end <= len(text):
        raise EvaluationError("substring out of range")
    return text[start:end]


def stable_hash(data: str | bytes) -> int:
    """XXH3 of the UTF-8, its upper 63 bits: alike on all machines, in all versions, and never negative."""
    return xxhash.xxh3_64_intdigest(data.encode() if isinstance(data, str) else data) >> 1


def hex16(number: int) -> str:
    """Sixteen hex digits; a negative number as two's complement."""
    return f"{number & 0xFFFF_FFFF_FFFF_FFFF:016x}"


# -- addresses ----------------------------------------------------------------------------------------------
@lru_cache(maxsize=4096)  # clients come from few addresses, and reading one takes microseconds
def read_ip(text: str) -> Address | None:
    try:
        # A zone (fe80::1%eth0) has no meaning beyond its machine, and CEL's ip() refuses it.
        return None if "%" in text else ipaddress.ip_address(text)
    except ValueError:
        return None


def ip_of_text(text: str) -> Address:
    if len(text) > LONGEST_NUMBER or (address := read_ip(text)) is None:
        raise EvaluationError("not an IP address")
    return address


def is_ip(text: str) -> bool:
    return len(text) <= LONGEST_NUMBER and read_ip(text) is not None


def contains_ip(network: Network, address: Address) -> bool:
    return address.version == network.version and address in network


def contains_text(network: Network, text: str) -> bool:
    return contains_ip(network, ip_of_text(text))


# -- look-ups and logic -------------------------------------------------------------------------------------
def key(mapping: Mapping[str, T], name: str) -> T:
    try:
        return mapping[name]
    except KeyError:
        raise EvaluationError("no such key") from None


def element(items: list[T], index: int) -> T:
    if not 0 <= index < len(items):
        raise EvaluationError("index out of range")
    return items[index]


def element_or_none(items: list[T], index: int) -> T | None:
    return items[index] if 0 <= index < len(items) else None


def value(optional: T | None) -> T:
    if optional is None:
        raise EvaluationError("optional.none() has no value")
    return optional


def or_value(optional: T | None, other: T) -> T:
    return other if optional is None else optional


def or_lazy(optional: T | None, other: Callable[[], T]) -> T:
    return other() if optional is None else optional


def optional_map(optional: T | None, change: Callable[[T], Any]) -> Any:
    return None if optional is None else change(optional)


def attempt(work: Callable[[], T]) -> T | None:
    """The value, or none where it cannot be computed."""
    try:
        return work()
    except EvaluationError:
        return None


def either_way(deciding: bool, terms: Iterable[Callable[[], bool]]) -> bool:
    """&& (deciding is False) and || (True) over terms that may fail: one that decides outweighs errors, on
    whichever side it stands (cel-spec, "Logical Operators")."""
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


def over(deciding: bool, items: Iterable[T], test: Callable[[T], bool]) -> bool:
    """all() and exists() with a test that may fail."""
    return either_way(deciding, ((lambda item=item: test(item)) for item in items))


def exactly_one(truths: Iterable[bool]) -> bool:
    return sum(truths) == 1


def same_double(wanted: float, items: list[float]) -> bool:
    """`in` by ==, so that NaN is in no list (Python's own asks for identity first)."""
    return any(wanted == item for item in items)


def plain_map(items: Iterable[tuple[str, T]]) -> dict[str, T]:
    return dict(items)


def contains(text: str, part: str) -> bool:
    return part in text


def join(items: Iterable[str], between: str = "") -> str:
    return between.join(items)


def same(item: T) -> T:
    return item


def encode(text: str) -> bytes:
    return text.encode()


def hours(span: timedelta) -> int:
    return whole_units(span, 3_600_000_000)


def minutes(span: timedelta) -> int:
    return whole_units(span, 60_000_000)


def seconds(span: timedelta) -> int:
    return whole_units(span, 1_000_000)


def milliseconds(span: timedelta) -> int:
    return whole_units(span, 1_000)


def family(address: Address) -> int:
    return address.version
