"""Worst-case sizes of values and costs of operations, derived from the declared bounds of the inputs.

A step is a unit of cel-go's cost model (checker/cost.go): one for each operation, and a tenth for each code
point, byte or element that is scanned.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from stoatrouter.expressions import types as t
from stoatrouter.expressions.literals import MAX_INT, MIN_INT

MAX_DURATION = 315_576_000_000 * 1_000_000  # microseconds, the resolution of timedelta: CEL's 10,000 years
MAX_INT_LENGTH = 20  # characters of a 64-bit int with its sign
ELEMENTS_PER_STEP = 10


@dataclass(slots=True, frozen=True)
class Bound:
    """Bounds of the size and range of a value.

    Attributes:
        length: The maximum number of code points, bytes or elements; 1 for a value without a length.
        min_length: The minimum number of these.
        low: The minimum value of an int, or of a duration in microseconds.
        high: The maximum value of an int, or of a duration in microseconds.
        inner: The bound of the elements of a list or the values of a map.
        max_total: The maximum number of code points, bytes or scalars of all elements together, if known.
    """

    length: int = 1
    min_length: int = 0
    low: int = MIN_INT
    high: int = MAX_INT
    inner: Bound | None = None
    max_total: int | None = None

    @property
    def total(self) -> int:
        """Return the maximum number of code points, bytes or scalars in the whole value."""
        total = max(1, self.length) * (self.inner.total if self.inner is not None else 1)
        return total if self.max_total is None else min(total, self.max_total)

    def union(self, other: Bound) -> Bound:
        """Return the bound of a value that satisfies either bound."""
        inner = self.inner if other.inner is None else other.inner
        if self.inner is not None and other.inner is not None:
            inner = self.inner.union(other.inner)
        return Bound(
            max(self.length, other.length),
            min(self.min_length, other.min_length),
            min(self.low, other.low),
            max(self.high, other.high),
            inner,
            None
            if None in (self.max_total, other.max_total)
            else max(self.max_total or 0, other.max_total or 0),
        )


ANY = Bound()
BOOL_BOUND = Bound(low=0, high=1)


def text_bound(max_length: int, min_length: int = 0) -> Bound:
    """Return the bound of a string with these numbers of code points."""
    return Bound(max_length, min_length)


def int_bound(low: int, high: int) -> Bound:
    """Return the bound of an int, or of a duration in microseconds."""
    return Bound(low=low, high=high)


def list_bound(max_length: int, inner: Bound, min_length: int = 0, max_total: int | None = None) -> Bound:
    """Return the bound of a list with these numbers of elements, or of a map with these numbers of keys."""
    return Bound(max_length, min_length, inner=inner, max_total=max_total)


def fits_type(low: int, high: int, kind: t.Type = t.INT) -> bool:
    """Return whether no value from low to high overflows an int, or a duration in microseconds."""
    if kind == t.DURATION:
        return low >= -MAX_DURATION and high <= MAX_DURATION
    return low >= MIN_INT and high <= MAX_INT


def clip(low: int, high: int, kind: t.Type = t.INT) -> Bound:
    """Return the bound of a result that is checked for overflow, which is an error and yields no value."""
    minimum, maximum = (-MAX_DURATION, MAX_DURATION) if kind == t.DURATION else (MIN_INT, MAX_INT)
    return int_bound(min(max(low, minimum), maximum), max(min(high, maximum), minimum))


def arithmetic_interval(operator: str, left: Bound, right: Bound) -> tuple[int, int]:
    """Return the interval of a sum, a difference or a product, overflow not yet considered."""
    if operator == "+":
        return left.low + right.low, left.high + right.high
    if operator == "-":
        return left.low - right.high, left.high - right.low
    corners = [x * y for x in (left.low, left.high) for y in (right.low, right.high)]
    return min(corners), max(corners)


def division_interval(operator: str, left: Bound, right: Bound) -> tuple[int, int]:
    """Return the interval of a / b or a % b, truncated towards zero, for a divisor other than 0."""
    greatest_dividend = max(abs(left.low), abs(left.high))
    if operator == "/":
        low = 0 if left.low >= 0 and right.low >= 0 else -greatest_dividend
        return low, greatest_dividend
    greatest_remainder = min(max(abs(right.low), abs(right.high)) - 1, greatest_dividend)
    return (0 if left.low >= 0 else -greatest_remainder), (0 if left.high <= 0 else greatest_remainder)


def scan_steps(length: int) -> int:
    """Return the steps for scanning a number of code points, bytes or elements, rounded up."""
    return -(-length // ELEMENTS_PER_STEP)


def comparison_steps(left: Bound, right: Bound) -> int:
    """Return the steps for comparing two values: the shorter one is scanned."""
    return 1 + scan_steps(min(left.total, right.total))


def with_min_length(bound: Bound, min_length: int) -> Bound:
    """Return the bound for a value that is known to have at least this length."""
    return replace(bound, min_length=max(bound.min_length, min_length))
