"""How large a value can be and how many steps an operation can take, from the declared bounds of inputs.

A step is a unit of cel-go's cost model (checker/cost.go): one for each operation, and a tenth for each code
point, byte or element that is gone through.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from stoatrouter.expressions import types as t
from stoatrouter.expressions.literals import MAX_INT, MIN_INT

MAX_DURATION = 315_576_000_000 * 1_000_000  # microseconds: CEL's 10,000 years, in what timedelta counts
MAX_INT_LENGTH = 20  # of an int of 64 bits with its sign
ELEMENTS_PER_STEP = 10


@dataclass(slots=True, frozen=True)
class Bound:
    """The worst that a value can be.

    Attributes:
        length: The most code points, bytes or elements; 1 for a value without a length.
        min_length: The fewest of these.
        low: The least value of an int, or of a duration in microseconds.
        high: The greatest value of one.
        inner: The bound of an element, or of a map's values.
        max_total: The most code points, bytes or scalars of all elements together, where that is known.
    """

    length: int = 1
    min_length: int = 0
    low: int = MIN_INT
    high: int = MAX_INT
    inner: Bound | None = None
    max_total: int | None = None

    @property
    def total(self) -> int:
        """The most code points, bytes or scalars in all."""
        total = max(1, self.length) * (self.inner.total if self.inner is not None else 1)
        return total if self.max_total is None else min(total, self.max_total)

    def union(self, other: Bound) -> Bound:
        """The bound of a value that is one of the two."""
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
    """The bound of a text of so many code points."""
    return Bound(max_length, min_length)


def int_bound(low: int, high: int) -> Bound:
    """The bound of an int, or of a duration in microseconds."""
    return Bound(low=low, high=high)


def list_bound(max_length: int, inner: Bound, min_length: int = 0, max_total: int | None = None) -> Bound:
    """The bound of a list of so many elements, or of a map of so many keys; `max_total` as in `Bound`."""
    return Bound(max_length, min_length, inner=inner, max_total=max_total)


def fits_type(low: int, high: int, kind: t.Type = t.INT) -> bool:
    """Whether nothing between these overflows an int, or a duration in microseconds."""
    if kind == t.DURATION:
        return low >= -MAX_DURATION and high <= MAX_DURATION
    return low >= MIN_INT and high <= MAX_INT


def clip(low: int, high: int, kind: t.Type = t.INT) -> Bound:
    """The bound of a checked result: what overflows is an error, not a value."""
    minimum, maximum = (-MAX_DURATION, MAX_DURATION) if kind == t.DURATION else (MIN_INT, MAX_INT)
    return int_bound(min(max(low, minimum), maximum), max(min(high, maximum), minimum))


def arithmetic_interval(operator: str, left: Bound, right: Bound) -> tuple[int, int]:
    """The interval of a sum, a difference or a product, before overflow is looked at."""
    if operator == "+":
        return left.low + right.low, left.high + right.high
    if operator == "-":
        return left.low - right.high, left.high - right.low
    corners = [x * y for x in (left.low, left.high) for y in (right.low, right.high)]
    return min(corners), max(corners)


def division_interval(operator: str, left: Bound, right: Bound) -> tuple[int, int]:
    """The interval of a / b or a % b, truncated towards zero, for a b that is not 0."""
    greatest_dividend = max(abs(left.low), abs(left.high))
    if operator == "/":
        low = 0 if left.low >= 0 and right.low >= 0 else -greatest_dividend
        return low, greatest_dividend
    greatest_remainder = min(max(abs(right.low), abs(right.high)) - 1, greatest_dividend)
    return (0 if left.low >= 0 else -greatest_remainder), (0 if left.high <= 0 else greatest_remainder)


def scan_steps(length: int) -> int:
    """The steps of going through so many code points, bytes or elements, rounded up."""
    return -(-length // ELEMENTS_PER_STEP)


def comparison_steps(left: Bound, right: Bound) -> int:
    """The steps of comparing two values: the shorter one is gone through."""
    return 1 + scan_steps(min(left.total, right.total))


def with_min_length(bound: Bound, min_length: int) -> Bound:
    """The same bound for a value that is known to be so long at least."""
    return replace(bound, min_length=max(bound.min_length, min_length))
