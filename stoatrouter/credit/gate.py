"""Credit control for the core: reserves and settles each request's charge at this head's escrow. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.core import model
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.local_account import Rank
from stoatrouter.credit.records import charge_of
from stoatrouter.policy import interface as api


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
class Gate:
    """Admits and settles every request of every front."""

    escrow: HeadEscrow
    customer_of: Callable[[str], str | None]  # of a volume; None: it belongs to nobody, and is free
    prices: tuple[int, ...]  # by class
    ranks: tuple[int, ...]

    def take(self, request: model.Request, now: timedelta) -> model.Refused | None:
        """Reserve a request's charge; returns the rejection where that is not possible."""
        customer = self.customer_of(request.volume)
        if customer is None:
            return None
        rank = self.ranks[request.request_class]
        rejection = self.escrow.reserve(request.id, customer, self._charge_of(request), rank, now)
        return None if rejection is None else model.Refused(rejection.retry_in)

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
