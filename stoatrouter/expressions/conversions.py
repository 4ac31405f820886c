"""Arithmetic and conversions that compiled expressions call: numbers, bools, strings and durations.

The semantics are those of cel-spec, doc/langdef.md. All functions are free of side effects.
"""

from __future__ import annotations

import math
import re
from datetime import timedelta

from stoatrouter.expressions.bounds import MAX_DURATION
from stoatrouter.expressions.errors import EvaluationError
from stoatrouter.expressions.literals import MAX_INT, MIN_INT

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
MAX_NUMBER_LENGTH = 64  # characters of a number or duration parsed from a string; longer ones are rejected
TRUE = ("1", "t", "T", "TRUE", "true", "True")
FALSE = ("0", "f", "F", "FALSE", "false", "False")
MICROSECOND = timedelta(microseconds=1)
MICROS_PER_MILLISECOND = 1_000
MICROS_PER_SECOND = 1_000_000
MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND
MICROS_PER_HOUR = 60 * MICROS_PER_MINUTE
NANOS_PER_MICRO = 1_000


# -- numbers ------------------------------------------------------------------------------------------------
def int_checked(number: int) -> int:
    """Return the result of int arithmetic.

    Raises:
        EvaluationError: The result does not fit into 64 bits.
    """
    if not MIN_INT <= number <= MAX_INT:
        raise EvaluationError("int overflow")
    return number


def divide(a: int, b: int) -> int:
    """Return the quotient, truncated towards zero as CEL requires.

    Raises:
        EvaluationError: The divisor is 0, or the result does not fit into 64 bits.
    """
    if b == 0:
        raise EvaluationError("division by zero")
    return int_checked(abs(a) // abs(b) * (1 if (a < 0) == (b < 0) else -1))


def remainder(a: int, b: int) -> int:
    """Return the remainder, which has the sign of the dividend.

    Raises:
        EvaluationError: The divisor is 0.
    """
    if b == 0:
        raise EvaluationError("division by zero")
    return abs(a) % abs(b) * (-1 if a < 0 else 1)


def divide_double(a: float, b: float) -> float:
    """Return the quotient by IEEE 754, which yields infinities and NaN instead of errors."""
    if b != 0:
        return a / b
    if a == 0 or math.isnan(a) or math.isnan(b):
        return math.nan
    return math.copysign(math.inf, a) * math.copysign(1, b)


def int_of_text(text: str) -> int:
    """Return CEL's `int` of a decimal string.

    Raises:
        EvaluationError: The string is not an int, or does not fit into 64 bits.
    """
    if len(text) > MAX_NUMBER_LENGTH or not DECIMAL.fullmatch(text):
        raise EvaluationError("not an int")
    return int_checked(int(text))


def int_of_double(number: float) -> int:
    """Return CEL's `int` of a double, truncated towards zero.

    Raises:
        EvaluationError: The double is at or beyond either end of the int range, which CEL excludes.
    """
    if not MIN_INT < number < MAX_INT:
        raise EvaluationError("out of the range of int")
    return int(number)


def double_of_text(text: str) -> float:
    """Return CEL's `double` of a decimal string with or without a fraction and an exponent.

    Raises:
        EvaluationError: The string is not a number, or too large.
    """
    if len(text) > MAX_NUMBER_LENGTH or not FLOAT.fullmatch(text) or math.isinf(number := float(text)):
        raise EvaluationError("not a double")
    return number


def bool_of_text(text: str) -> bool:
    """Return CEL's `bool` of one of the words that CEL accepts.

    Raises:
        EvaluationError: The string is none of these words.
    """
    if text in TRUE:
        return True
    if text not in FALSE:
        raise EvaluationError("not a bool")
    return False


def text_of_bool(truth: bool) -> str:
    """Return CEL's `string` of a bool."""
    return "true" if truth else "false"


def text_of_bytes(data: bytes) -> str:
    """Return CEL's `string` of bytes.

    Raises:
        EvaluationError: The bytes are not valid UTF-8.
    """
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise EvaluationError("not valid UTF-8") from None


# -- durations ----------------------------------------------------------------------------------------------
def duration_checked(span: timedelta) -> timedelta:
    """Return the result of duration arithmetic.

    Raises:
        EvaluationError: The result exceeds CEL's limit of 10,000 years.
    """
    if abs(span // MICROSECOND) > MAX_DURATION:
        raise EvaluationError("duration overflow")
    return span


def duration_of_text(text: str) -> timedelta:
    """Return CEL's `duration` of a string such as '1h30m', in the syntax of Go's time.ParseDuration.

    Raises:
        EvaluationError: The string is not a duration, is finer than a microsecond, or exceeds CEL's limit of
            10,000 years.
    """
    found = DURATION.fullmatch(text) if len(text) <= MAX_NUMBER_LENGTH else None
    if found is None:
        raise EvaluationError("not a duration")
    total = 0
    for number, fraction, unit in PART.findall(found[2]):
        digits = fraction or ""
        scaled, rest = divmod(int(number + digits) * NANOSECONDS[unit], 10 ** len(digits))
        if rest:
            raise EvaluationError("the duration is finer than a microsecond")
        total += scaled
    if total % NANOS_PER_MICRO or total > MAX_DURATION * NANOS_PER_MICRO:
        raise EvaluationError("the duration is finer than a microsecond or exceeds 10,000 years")
    return timedelta(microseconds=-total // NANOS_PER_MICRO if found[1] == "-" else total // NANOS_PER_MICRO)


def text_of_duration(span: timedelta) -> str:
    """Return CEL's `string` of a duration: seconds, as in the JSON format of protobuf."""
    count = span // MICROSECOND
    seconds, fraction = divmod(abs(count), MICROS_PER_SECOND)
    digits = f".{fraction:06d}".rstrip("0") if fraction else ""
    return f"{'-' if count < 0 else ''}{seconds}{digits}s"


def whole_units(span: timedelta, micros: int) -> int:
    """Return the number of whole units in a duration, truncated towards zero."""
    count = span // MICROSECOND
    return abs(count) // micros * (-1 if count < 0 else 1)


def hours(span: timedelta) -> int:
    """Return CEL's `getHours`: the whole hours of a duration, truncated towards zero."""
    return whole_units(span, MICROS_PER_HOUR)


def minutes(span: timedelta) -> int:
    """Return CEL's `getMinutes`: the whole minutes of a duration, truncated towards zero."""
    return whole_units(span, MICROS_PER_MINUTE)


def seconds(span: timedelta) -> int:
    """Return CEL's `getSeconds`: the whole seconds of a duration, truncated towards zero."""
    return whole_units(span, MICROS_PER_SECOND)


def milliseconds(span: timedelta) -> int:
    """Return CEL's `getMilliseconds`: the whole milliseconds of a duration, truncated towards zero."""
    return whole_units(span, MICROS_PER_MILLISECOND)
