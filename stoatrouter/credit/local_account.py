"""What one head holds of one customer's credit: its allotments, its reservations, and the pace of requests.

Amounts are whole millionths of a credit unit; times are on the head's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum, StrEnum

from stoatrouter.credit.records import Settlement

NO_TIME = timedelta(0)
USE_AVERAGING_SPAN = timedelta(seconds=2)  # the span over which recent use is averaged
MAX_RETRY_IN = timedelta(seconds=5)  # the longest wait that a rejection advises
ROUNDING_TOLERANCE = 1e-9  # of a request: what sums of quotas may be off by
MIN_REQUEST_RATE = 0.01  # requests a second, so that a wait advised to a rare class stays finite


class Rank(IntEnum):
    """The order in which request classes are paced under a low balance, the first to narrow first."""

    DEFERRABLE = 0  # work that can wait
    WRITE = 1
    PROTECTED_READ = 2


class RejectionReason(StrEnum):
    """Why this head rejects a request's charge; the values are the texts of earlier versions."""

    CUT_OFF = "this head is cut off, and what it held is spent or has expired"
    UNKNOWN_CUSTOMER = "there is no such customer"
    EXHAUSTED = "nothing is left"
    ALLOTMENT_REQUESTED = "an allotment is asked for"
    LOWER_PRIORITY_SHED = "little is left, and other work goes first"
    PACED = "little is left"
    LEDGER_UNKNOWN = "this head cannot know whether the volume belongs to a customer"


@dataclass(slots=True, frozen=True)
class Rejection:
    """A request whose charge is not reserved.

    Attributes:
        retry_in: After which time a retry may help; None where that is not known.
        reason: Why.
    """

    retry_in: timedelta | None
    reason: RejectionReason


@dataclass(slots=True)
class LocalAllotment:
    """One allotment as this head has it: size, expiry on this head's clock, what is spent and reserved."""

    id: str
    amount: int
    expires_at: timedelta
    spent: int = 0
    reserved: int = 0
    acknowledged_spent: int = 0  # spent, as the account was last notified
    closing: bool = False  # nothing more is reserved from it

    @property
    def available(self) -> int:
        """What may still be reserved from it."""
        return 0 if self.closing else self.amount - self.spent - self.reserved

    @property
    def exhausted(self) -> bool:
        """Whether nothing can be reserved from it any more."""
        return self.available <= 0 and self.spent + self.reserved >= self.amount


@dataclass(slots=True)
class LocalAccount:
    """One customer's account as this head knows it."""

    customer: str
    allotments: list[LocalAllotment] = field(default_factory=list)  # the first to expire first
    balance: int = 0
    low_water: int = 0
    known: bool = True
    answered_at: timedelta | None = None  # when the account last answered
    exhausted_at: timedelta | None = None  # when the account last had nothing to grant
    report_pending: bool = False  # a report is sent and not answered
    largest_unmet: int = 0  # the largest charge that lately found no allotment
    unmet_at: timedelta = NO_TIME  # when it found none
    waiting: int = 0  # the charges of all requests that wait for an allotment now
    use_per_second: float = 0.0  # millionths, averaged over USE_AVERAGING_SPAN
    used_at: timedelta = NO_TIME
    request_rates: list[float] = field(default_factory=lambda: [0.0] * len(Rank))  # a second, by rank
    pace_tokens: list[float] = field(default_factory=lambda: [1.0] * len(Rank))  # by rank; 1 admits one

    # -- the pace of requests -----------------------------------------------------------------------------
    def funded_fraction(self) -> float:
        """How far the account is above nothing, of its low-water mark: at 1 requests are not paced."""
        if self.answered_at is None or self.low_water <= 0:
            return 1.0
        return max(0.0, min(1.0, self.balance / self.low_water))

    def quota(self, rank: int) -> float:
        """The fraction of a rank's requests that is admitted: the lowest rank narrows first."""
        ranks = len(Rank)
        return max(0.0, min(1.0, ranks * self.funded_fraction() - (ranks - 1 - rank)))

    def count_request(self, charge: int, rank: int, now: timedelta) -> None:
        """Count a request, admitted or not: allotments follow the demand."""
        periods = (now - self.used_at) / USE_AVERAGING_SPAN
        decay = math.exp(-max(0.0, periods))
        averaged_over = USE_AVERAGING_SPAN.total_seconds()
        self.use_per_second = self.use_per_second * decay + charge / averaged_over
        self.request_rates = [rate * decay for rate in self.request_rates]
        self.request_rates[rank] += 1 / averaged_over
        self.used_at = now

    def count_unmet(self, charge: int, now: timedelta) -> None:
        """Count a charge that finds no allotment: what is asked for next is enough for the largest."""
        self.forget_unmet(now)
        if charge >= self.largest_unmet:
            self.largest_unmet, self.unmet_at = charge, now

    def forget_unmet(self, now: timedelta) -> None:
        """Forget a charge that found no allotment long ago: nobody waits for one any more."""
        if now - self.unmet_at > USE_AVERAGING_SPAN:
            self.largest_unmet = 0

    def pace(self, rank: int) -> Rejection | None:
        """Admit a request by its rank's quota, evenly spread; None where it is admitted."""
        quota = self.quota(rank)
        if quota >= 1.0:
            return None
        if quota <= 0.0:
            return Rejection(None, RejectionReason.LOWER_PRIORITY_SHED)
        self.pace_tokens[rank] += quota
        # Guards the advice: fractions that add up to a whole may be short of it by a rounding error, and the
        # rest would be a wait of nothing.
        if self.pace_tokens[rank] >= 1.0 - ROUNDING_TOLERANCE:
            self.pace_tokens[rank] = max(0.0, self.pace_tokens[rank] - 1.0)
            return None
        missing = (1.0 - self.pace_tokens[rank]) / quota  # requests until the next is admitted
        wait = timedelta(seconds=missing / max(self.request_rates[rank], MIN_REQUEST_RATE))
        return Rejection(min(wait, MAX_RETRY_IN), RejectionReason.PACED)

    # -- allotments ---------------------------------------------------------------------------------------
    def allotment_ids(self) -> tuple[str, ...]:
        """The ids of all allotments, the first to expire first."""
        return tuple(allotment.id for allotment in self.allotments)

    def close_allotments(self, now: timedelta, idle: bool) -> list[Settlement]:
        """Close what has expired, is exhausted, or is not needed by an idle customer.

        Returns:
            The final settlements of closing allotments; one that has reservations waits for them.
        """
        settlements = []
        for allotment in self.allotments:
            unneeded = idle and not allotment.reserved
            if allotment.expires_at <= now or allotment.exhausted or unneeded:
                allotment.closing = True
            if allotment.closing and not allotment.reserved:
                settlements.append(Settlement(allotment.id, allotment.spent, final=True))
        return settlements

    def unreported_spending(self) -> list[Settlement]:
        """Settlements of open allotments that were spent from since the account was last notified."""
        return [
            Settlement(allotment.id, allotment.spent, final=False)
            for allotment in self.allotments
            if allotment.spent > allotment.acknowledged_spent and not allotment.closing
        ]


@dataclass(slots=True)
class Reservation:
    """What one request may be charged, and to which allotment."""

    allotment: LocalAllotment
    charge: int
