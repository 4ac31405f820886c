"""The state of one customer at one head: its allotments, their reservations, and the pacing of requests.

Amounts are integers, in millionths of a credit unit; times are on the head's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum, StrEnum

from stoatrouter.credit.records import Settlement

NO_TIME = timedelta(0)
USE_AVERAGING_SPAN = timedelta(seconds=2)  # the time constant of the averages of recent use
MAX_RETRY_IN = timedelta(seconds=5)  # the longest retry delay that a rejection suggests
ROUNDING_TOLERANCE = 1e-9  # in requests; the rounding error allowed in sums of quotas
MIN_REQUEST_RATE = 0.01  # requests per second; keeps the retry delay of a rarely used class finite


class Rank(IntEnum):
    """The order in which request classes are paced at a low balance; the lowest rank is paced first."""

    DEFERRABLE = 0  # background work
    WRITE = 1
    PROTECTED_READ = 2


class RejectionReason(StrEnum):
    """Why this head rejects a request's charge; the texts are those of earlier versions."""

    CUT_OFF = "this head is cut off, and what it held is spent or has expired"
    UNKNOWN_CUSTOMER = "there is no such customer"
    EXHAUSTED = "nothing is left"
    ALLOTMENT_REQUESTED = "an allotment is asked for"
    LOWER_PRIORITY_SHED = "little is left, and other work goes first"
    PACED = "little is left"
    LEDGER_UNKNOWN = "this head cannot know whether the volume belongs to a customer"


@dataclass(slots=True, frozen=True)
class Rejection:
    """The rejection of a request whose charge was not reserved.

    Attributes:
        retry_in: The delay after which a retry may succeed; None if unknown.
        reason: Why the charge was not reserved.
    """

    retry_in: timedelta | None
    reason: RejectionReason


@dataclass(slots=True)
class LocalAllotment:
    """An allotment at the head that holds it; it expires on that head's clock."""

    id: str
    amount: int
    expires_at: timedelta
    spent: int = 0
    reserved: int = 0
    acknowledged_spent: int = 0  # the spent amount last acknowledged by the ledger
    closing: bool = False  # no further charges are reserved from it

    @property
    def available(self) -> int:
        """Return the amount that may still be reserved."""
        return 0 if self.closing else self.amount - self.spent - self.reserved

    @property
    def exhausted(self) -> bool:
        """Return whether all of it is spent or reserved."""
        return self.available <= 0 and self.spent + self.reserved >= self.amount


@dataclass(slots=True)
class LocalAccount:
    """A customer's account as this head knows it."""

    customer: str
    allotments: list[LocalAllotment] = field(default_factory=list)  # in order of expiry
    balance: int = 0
    low_water: int = 0
    known: bool = True  # whether the ledger has an open account for the customer
    answered_at: timedelta | None = None  # when the ledger last answered a report
    exhausted_at: timedelta | None = None  # when the ledger last had nothing to grant
    report_pending: bool = False  # a report was sent and not answered
    max_unmet_charge: int = 0  # the largest recent charge that no allotment could cover
    unmet_at: timedelta = NO_TIME  # the time of that charge
    waiting: int = 0  # the total charge of all requests waiting for an allotment
    use_per_second: float = 0.0  # millionths of a credit unit, averaged over USE_AVERAGING_SPAN
    used_at: timedelta = NO_TIME  # the time of the latest request
    request_rates: list[float] = field(default_factory=lambda: [0.0] * len(Rank))  # per second, by rank
    pace_tokens: list[float] = field(default_factory=lambda: [1.0] * len(Rank))  # by rank; a request takes 1

    # -- pacing of requests -------------------------------------------------------------------------------
    def funded_fraction(self) -> float:
        """Return the balance as a fraction of the low-water mark, 0 to 1; at 1 requests are not paced."""
        if self.answered_at is None or self.low_water <= 0:
            return 1.0
        return max(0.0, min(1.0, self.balance / self.low_water))

    def quota(self, rank: int) -> float:
        """Return the fraction of a rank's requests to admit; it falls for the lowest rank first."""
        ranks = len(Rank)
        return max(0.0, min(1.0, ranks * self.funded_fraction() - (ranks - 1 - rank)))

    def count_request(self, charge: int, rank: int, now: timedelta) -> None:
        """Count a request, admitted or not; the size of requested allotments follows the demand."""
        periods = (now - self.used_at) / USE_AVERAGING_SPAN
        decay = math.exp(-max(0.0, periods))
        averaged_over = USE_AVERAGING_SPAN.total_seconds()
        self.use_per_second = self.use_per_second * decay + charge / averaged_over
        self.request_rates = [rate * decay for rate in self.request_rates]
        self.request_rates[rank] += 1 / averaged_over
        self.used_at = now

    def count_unmet(self, charge: int, now: timedelta) -> None:
        """Record a charge that no allotment can cover; the next requested amount covers the largest one."""
        self.forget_unmet(now)
        if charge >= self.max_unmet_charge:
            self.max_unmet_charge, self.unmet_at = charge, now

    def forget_unmet(self, now: timedelta) -> None:
        """Drop an uncovered charge older than USE_AVERAGING_SPAN: no request waits for it any more."""
        if now - self.unmet_at > USE_AVERAGING_SPAN:
            self.max_unmet_charge = 0

    def pace(self, rank: int) -> Rejection | None:
        """Admit the quota of a rank's requests, evenly spread; return None if this one is admitted."""
        quota = self.quota(rank)
        if quota >= 1.0:
            return None
        if quota <= 0.0:
            return Rejection(None, RejectionReason.LOWER_PRIORITY_SHED)
        self.pace_tokens[rank] += quota
        # Quotas that add up to 1 may fall short of it by a rounding error; without the tolerance the request
        # would be rejected with a retry delay of almost 0.
        if self.pace_tokens[rank] >= 1.0 - ROUNDING_TOLERANCE:
            self.pace_tokens[rank] = max(0.0, self.pace_tokens[rank] - 1.0)
            return None
        missing = (1.0 - self.pace_tokens[rank]) / quota  # requests until the next one is admitted
        wait = timedelta(seconds=missing / max(self.request_rates[rank], MIN_REQUEST_RATE))
        return Rejection(min(wait, MAX_RETRY_IN), RejectionReason.PACED)

    # -- allotments ---------------------------------------------------------------------------------------
    def allotment_ids(self) -> tuple[str, ...]:
        """Return the ids of all allotments, in order of expiry."""
        return tuple(allotment.id for allotment in self.allotments)

    def close_allotments(self, now: timedelta, idle: bool) -> list[Settlement]:
        """Close allotments that have expired, are exhausted, or belong to an idle customer.

        Returns:
            The final settlements of closing allotments without reservations.
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
        """Return settlements of open allotments whose spending the ledger has not acknowledged."""
        return [
            Settlement(allotment.id, allotment.spent, final=False)
            for allotment in self.allotments
            if allotment.spent > allotment.acknowledged_spent and not allotment.closing
        ]


@dataclass(slots=True)
class Reservation:
    """A request's reserved charge, and the allotment that it is reserved from."""

    allotment: LocalAllotment
    charge: int
