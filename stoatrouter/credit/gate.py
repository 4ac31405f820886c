"""Credit control for the core: reserves and settles each request's charge at this head's escrow. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta

from stoatrouter.core import model
from stoatrouter.core.gate import AdmissionRejection
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger_knowledge import LedgerKnowledge, UnknownVolumes, reject_unowned
from stoatrouter.credit.local_account import Rank, Rejection, RejectionReason
from stoatrouter.credit.records import charge_of
from stoatrouter.policy import interface as api

OVER_CREDIT, LEDGER_UNKNOWN = "over_credit", "ledger_unknown"  # counters of rejections


def ranks(classes: Sequence[api.RequestClass], background: set[str]) -> tuple[Rank, ...]:
    """Rank each request class by the order in which classes are paced under a low balance.

    The sets are the decision module's own (docs/design/heads.md).

    Args:
        classes: The request classes of the decision module, in their order.
        background: Names of the classes whose work can wait.

    Returns:
        One rank for each class, in the order of `classes`.
    """
    return tuple(rank_of(request_class, background) for request_class in classes)


def rank_of(request_class: api.RequestClass, background: set[str]) -> Rank:
    """The rank of one request class."""
    if request_class.name in background:
        return Rank.DEFERRABLE
    return Rank.WRITE if request_class.writes else Rank.PROTECTED_READ


@dataclass(slots=True)
class UnownedCounts:
    """Requests with a price, of volumes without a known customer, while the ledger was not current.

    Attributes:
        rejected: How many were rejected.
        served: How many were admitted without a charge.
    """

    rejected: int = 0
    served: int = 0

    def copy(self) -> UnownedCounts:
        """The counts as they are now."""
        return replace(self)


@dataclass(slots=True)
class Gate:
    """Admits and settles every request of every front.

    Attributes:
        escrow: Holds this head's allotments of customers' credit.
        customer_of: The customer of a volume; None: the ledger, as this head has it, knows none.
        prices: Of one unit of a request, by class.
        ranks: The order in which classes are paced, by class.
        knowledge: What this head knows of the ledger at this very moment, also after a pause.
        unknown_volumes: What becomes of volumes without a known customer while the ledger is not current.
        unowned: What became of them since the start.
    """

    escrow: HeadEscrow
    customer_of: Callable[[str], str | None]
    prices: tuple[int, ...]
    ranks: tuple[int, ...]
    knowledge: Callable[[], LedgerKnowledge]
    unknown_volumes: UnknownVolumes = UnknownVolumes.REJECT
    unowned: UnownedCounts = field(default_factory=UnownedCounts)

    def take(self, request: model.Request, now: timedelta) -> AdmissionRejection | None:
        """Reserve a request's charge; returns the rejection where that is not possible."""
        customer = self.customer_of(request.volume)
        charge = self._charge_of(request)
        if customer is None:
            return None if charge <= 0 else self._take_unowned()
        rank = self.ranks[request.request_class]
        return rejection_of(self.escrow.reserve(request.id, customer, charge, rank, now))

    def _take_unowned(self) -> AdmissionRejection | None:
        """Admit a request that has a price, of a volume of which no customer is known, or reject it.

        Guards the sum: a ledger that is not current may lack the customer whose volume it is, and what is
        served then is never charged. So nothing is free but by a ledger that is known to be current.
        """
        knowledge = self.knowledge()
        reason = reject_unowned(knowledge, self.unknown_volumes)
        if reason is not None:
            self.unowned.rejected += 1
            return rejection_of(Rejection(None, reason))
        if knowledge is not LedgerKnowledge.CURRENT:
            self.unowned.served += 1
        return None

    def end(self, request: str, may_have_run: bool) -> None:
        """Settle a request's reservation at its final answer."""
        self.escrow.settle(request, may_have_run)

    def may_wait(self, request: model.Request, now: timedelta) -> bool:
        """Whether it is worth a moment's wait for an allotment."""
        customer = self.customer_of(request.volume)
        charge = self._charge_of(request)
        return customer is not None and charge > 0 and self.escrow.may_wait(customer, charge, now)

    @contextmanager
    def waiting(self, request: model.Request) -> Iterator[None]:
        """Count a request among those that wait for an allotment, while the context lasts."""
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
        """Ask for an allotment that is large enough for a request that waits."""
        customer = self.customer_of(request.volume)
        if customer is not None:
            self.escrow.request_allotment(customer, self._charge_of(request), now)

    def _charge_of(self, request: model.Request) -> int:
        return charge_of(request.units, self.prices[request.request_class])


def rejection_of(rejection: Rejection | None) -> AdmissionRejection | None:
    """What the core answers and counts for a rejection; None where there is none."""
    if rejection is None:
        return None
    is_unknown = rejection.reason is RejectionReason.LEDGER_UNKNOWN
    return AdmissionRejection(
        model.Refused(rejection.retry_in), LEDGER_UNKNOWN if is_unknown else OVER_CREDIT
    )
