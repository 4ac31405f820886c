"""What one head holds of one customer's credit: its allotments, its reservations, and why it rejects.

Amounts are whole millionths of a credit unit; times are on the head's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

NO_TIME = timedelta(0)
RANKS = 3  # work that can wait, writes, protected reads: the order in which they narrow


class RejectionReason(StrEnum):
    """Why this head rejects a request's charge; the values are the texts of earlier versions."""

    CUT_OFF = "this head is cut off, and what it held is spent or has expired"
    UNKNOWN_CUSTOMER = "there is no such customer"
    EXHAUSTED = "nothing is left"
    ALLOTMENT_REQUESTED = "an allotment is asked for"
    LOWER_PRIORITY_SHED = "little is left, and other work goes first"
    PACED = "little is left"


@dataclass(slots=True)
class LocalAllotment:
    """One allotment as this head has it: size, expiry on this head's clock, what is spent and reserved."""

    id: str
    amount: int
    expires: timedelta
    spent: int = 0
    reserved: int = 0
    notified_spent: int = 0  # spent, as the account was last notified
    closing: bool = False  # nothing more is taken from it

    @property
    def left(self) -> int:
        """What may still be reserved from it."""
        return 0 if self.closing else self.amount - self.spent - self.reserved


@dataclass(slots=True)
class Purse:
    """One customer at this head."""

    customer: str
    allotments: list[LocalAllotment] = field(default_factory=list)
    balance: int = 0
    low_water: int = 0
    known: bool = True
    answered_at: timedelta | None = None  # when the account last answered
    empty_since: timedelta | None = None  # told that nothing is left
    asking: bool = False
    least: int = 0  # the largest charge that found nothing
    waiting: int = 0  # the charges of all requests that wait for an allotment now
    use: float = 0.0  # a second, averaged
    used_at: timedelta = NO_TIME
    gaps: list[float] = field(default_factory=lambda: [0.0] * RANKS)  # requests a second, by rank
    credit: list[float] = field(default_factory=lambda: [1.0] * RANKS)  # of the pace

    def fraction(self) -> float:
        """How far the account is above nothing, of its low-water mark: 1 and it is not narrowed."""
        if self.answered_at is None or self.low_water <= 0:
            return 1.0
        return max(0.0, min(1.0, self.balance / self.low_water))

    def quota(self, rank: int) -> float:
        """How much of a rank's work passes: work that can wait narrows first, protected reads last."""
        return max(0.0, min(1.0, RANKS * self.fraction() - (RANKS - 1 - rank)))


@dataclass(slots=True)
class Reservation:
    """What one request may be charged, and where."""

    purse: Purse
    allotment: LocalAllotment
    charge: int


@dataclass(slots=True, frozen=True)
class Rejection:
    """A request whose charge is not reserved: after which time a retry may help, where that is known."""

    retry_in: timedelta | None
    why: RejectionReason
