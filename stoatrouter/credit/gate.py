"""Credit control for the core: reserves and settles request charges at this head's escrow. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta

from stoatrouter.core import model
from stoatrouter.core.gate import AdmissionRejection
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger_freshness import LedgerFreshness, UnknownVolumes, reject_unowned
from stoatrouter.credit.local_account import Rank, Rejection, RejectionReason
from stoatrouter.credit.records import charge_of
from stoatrouter.policy import interface as api

OVER_CREDIT, LEDGER_UNKNOWN = "over_credit", "ledger_unknown"  # counters of rejections


def ranks(classes: Sequence[api.RequestClass], background: set[str]) -> tuple[Rank, ...]:
    """Return the rank of each request class: the order in which classes are paced at a low balance.

    Both arguments come from the decision module (docs/design/heads.md).

    Args:
        classes: The request classes of the decision module, in their order.
        background: The names of the background classes, whose requests can wait.

    Returns:
        One rank for each class, in the order of `classes`.
    """
    return tuple(rank_of(request_class, background) for request_class in classes)


def rank_of(request_class: api.RequestClass, background: set[str]) -> Rank:
    """Return the rank of one request class."""
    if request_class.name in background:
        return Rank.DEFERRABLE
    return Rank.WRITE if request_class.writes else Rank.PROTECTED_READ


@dataclass(slots=True)
class UnownedCounts:
    """Counts of requests with a price for volumes without a known customer while the ledger is not current.

    Attributes:
        rejected: The number of rejected requests.
        served: The number of requests admitted without a charge.
    """

    rejected: int = 0
    served: int = 0

    def copy(self) -> UnownedCounts:
        """Return a copy of the counts."""
        return replace(self)


@dataclass(slots=True)
class Gate:
    """Admits and settles the requests of all fronts.

    Attributes:
        escrow: This head's allotments of customers' credit.
        customer_of: Returns the customer of a volume; None if this head's copy of the ledger has none.
        prices: The price of one unit, by request class.
        ranks: The rank, by request class.
        freshness: Returns the freshness of this head's copy of the ledger at the time of the call, so that a
            paused process does not use an old value.
        unknown_volumes: How to treat volumes without a known customer while the ledger is not current.
        unowned: Counts of the requests treated in this way since the start.
    """

    escrow: HeadEscrow
    customer_of: Callable[[str], str | None]
    prices: tuple[int, ...]
    ranks: tuple[int, ...]
    freshness: Callable[[], LedgerFreshness]
    unknown_volumes: UnknownVolumes = UnknownVolumes.REJECT
    unowned: UnownedCounts = field(default_factory=UnownedCounts)

    def take(self, request: model.Request, now: timedelta) -> AdmissionRejection | None:
        """Reserve a request's charge; return a rejection if that is not possible, else None."""
        customer = self.customer_of(request.volume)
        charge = self._charge_of(request)
        if customer is None:
            return None if charge <= 0 else self._admit_unowned()
        rank = self.ranks[request.request_class]
        return rejection_of(self.escrow.reserve(request.id, customer, charge, rank, now))

    def _admit_unowned(self) -> AdmissionRejection | None:
        """Admit or reject a request that has a price, for a volume without a known customer.

        A ledger that is not current may lack the volume's customer, and a request served then is never
        charged. So by default a volume counts as free only if the ledger is known to be current.
        """
        freshness = self.freshness()
        reason = reject_unowned(freshness, self.unknown_volumes)
        if reason is not None:
            self.unowned.rejected += 1
            return rejection_of(Rejection(None, reason))
        if freshness is not LedgerFreshness.CURRENT:
            self.unowned.served += 1
        return None

    def end(self, request: str, may_have_run: bool) -> None:
        """Settle a request's reservation at its final answer."""
        self.escrow.settle(request, may_have_run)

    def may_wait(self, request: model.Request, now: timedelta) -> bool:
        """Return whether a request should wait for an allotment to be granted."""
        customer = self.customer_of(request.volume)
        charge = self._charge_of(request)
        return customer is not None and charge > 0 and self.escrow.may_wait(customer, charge, now)

    @contextmanager
    def waiting(self, request: model.Request) -> Iterator[None]:
        """Count a request as waiting for an allotment for the duration of the context."""
        customer = self.customer_of(request.volume)
        if customer is None:
            yield
            return
        charge = self._charge_of(request)
        self.escrow.add_waiting(customer, charge)
        try:
            yield
        finally:
            self.escrow.remove_waiting(customer, charge)

    def request_allotment(self, request: model.Request, now: timedelta) -> None:
        """Request an allotment that is large enough for a waiting request."""
        customer = self.customer_of(request.volume)
        if customer is not None:
            self.escrow.request_allotment(customer, self._charge_of(request), now)

    def _charge_of(self, request: model.Request) -> int:
        return charge_of(request.units, self.prices[request.request_class])


def rejection_of(rejection: Rejection | None) -> AdmissionRejection | None:
    """Return the answer and the counter of a rejection for the core; None for no rejection."""
    if rejection is None:
        return None
    is_unknown = rejection.reason is RejectionReason.LEDGER_UNKNOWN
    return AdmissionRejection(
        model.Refused(rejection.retry_in), LEDGER_UNKNOWN if is_unknown else OVER_CREDIT
    )
