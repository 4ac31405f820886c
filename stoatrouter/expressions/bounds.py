"""How large a value can be and how many steps an operation can take, from the declared bounds of inputs.

A step is a unit of cel-go's cost model (checker/cost.go): one for each operation, and a tenth for each code
point, byte or element that is gone through.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from stoatrouter.expressions import types as t
from stoatrouter.expressions.literals import LEAST_INT, MOST_INT

MOST_DURATION = 315_576_000_000 * 1_000_000  # microseconds: CEL's 10,000 years, in what timedelta counts
DIGITS = 20  # of an int of 64 bits with its sign


@dataclass(slots=True, frozen=True)
class Bound:
    """The worst that a value can be."""

    length: int = 1  # most code points, bytes or elements; 1 for what has no length
    least: int = 0  # fewest of these
    low: int = LEAST_INT  # of an int; of a duration in microseconds
    high: int = MOST_INT
    inner: Bound | None = None  # of an element, or of a map's values
    cap: int | None = None  # most that all elements are together, where that is known

    @property
    def total(self) -> int:
        """Code points, bytes or scalars in all."""
        total = max(1, self.length) * (self.inner.total if self.inner is not None else 1)
        return total if self.cap is None else min(total, self.cap)

    def joined(self, other: Bound) -> Bound:
        """The bound of a value that is one of the two."""
        inner = self.inner if other.inner is None else other.inner
        if self.inner is not None and other.inner is not None:
            inner = self.inner.joined(other.inner)
        return Bound(
            max(self.length, other.length),
            min(self.least, other.least),
            min(self.low, other.low),
            max(self.high, other.high),
            inner,
            None if None in (self.cap, other.cap) else max(self.cap or 0, other.cap or 0),
        )


ANY = Bound()
TRUTH = Bound(low=0, high=1)


def text(most: int, least: int = 0) -> Bound:
    return Bound(most, least)


def whole(low: int, high: int) -> Bound:
    return Bound(low=low, high=high)


def many(most: int, inner: Bound, least: int = 0, cap: int | None = None) -> Bound:
    return Bound(most, least, inner=inner, cap=cap)


def fits(low: int, high: int, kind: t.Type = t.INT) -> bool:
    """Whether nothing between these overflows its type."""
    if kind == t.DURATION:
        return low >= -MOST_DURATION and high <= MOST_DURATION
    return low >= LEAST_INT and high <= MOST_INT


def clipped(low: int, high: int, kind: t.Type = t.INT) -> Bound:
    """The bound of a checked result: what overflows is an error, not a value."""
    least, most = (-MOST_DURATION, MOST_DURATION) if kind == t.DURATION else (LEAST_INT, MOST_INT)
    return whole(min(max(low, least), most), max(min(high, most), least))


def arithmetic(operator: str, a: Bound, b: Bound) -> tuple[int, int]:
    """The interval of a sum, a difference or a product, before overflow is looked at."""
    if operator == "+":
        return a.low + b.low, a.high + b.high
    if operator == "-":
        return a.low - b.high, a.high - b.low
    corners = [x * y for x in (a.low, a.high) for y in (b.low, b.high)]
    return min(corners), max(corners)


def quotient(operator: str, a: Bound, b: Bound) -> tuple[int, int]:
    """The interval of a / b or a % b, truncated towards zero, for a b that is not 0."""
    if operator == "/":
        most = max(abs(a.low), abs(a.high))
        return (0 if a.low >= 0 and b.low >= 0 else -most), most
    most = min(max(abs(b.low), abs(b.high)) - 1, max(abs(a.low), abs(a.high)))
    return (0 if a.low >= 0 else -most), (0 if a.high <= 0 else most)


def walk(length: int) -> int:
    """Steps of going through so many code points, bytes or elements."""
    return -(-length // 10)


def comparing(a: Bound, b: Bound) -> int:
    """Steps of comparing two values: the shorter one is gone through."""
    return 1 + walk(min(a.total, b.total))


def narrowed(bound: Bound, least: int) -> Bound:
    """The same, known to be so long at least."""
    return replace(bound, least=max(bound.least, least))
