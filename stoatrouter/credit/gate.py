"""What the core asks before its module: whether a request's customer can pay, and what became of it. No I/O.

Nothing here knows of heads or accounts but through the holder.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.core import model
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.records import charge_of
from stoatrouter.policy import interface as api


def ranks(classes: Sequence[api.RequestClass], background: set[str]) -> tuple[int, ...]:
    """Rank each request class by the order in which classes narrow under a low balance.

    Work that can wait narrows first (rank 0), then writes (1), then protected reads (2). These are the
    decision module's own sets (docs/design/heads.md).

    Args:
        classes: The request classes of the decision module, in their order.
        background: Names of the classes whose work can wait.

    Returns:
        One rank for each class, in the order of `classes`.
    """
    return tuple(0 if c.name in background else 1 if c.writes else 2 for c in classes)


@dataclass(slots=True)
class Gate:
    """Asked for every request of every front."""

    escrow: HeadEscrow
    customer_of: Callable[[str], str | None]  # of a volume; None: it belongs to nobody, and is free
    prices: tuple[int, ...]  # by class
    ranks: tuple[int, ...]

    def take(self, request: model.Request, now: timedelta) -> model.Refused | None:
        """Reserve a request's charge; or the refusal, at once."""
        customer = self.customer_of(request.volume)
        if customer is None:
            return None
        charge = charge_of(request.units, self.prices[request.request_class])
        rejection = self.escrow.take(request.id, customer, charge, self.ranks[request.request_class], now)
        return None if rejection is None else model.Refused(rejection.retry_in)

    def end(self, request: str, may_have_run: bool) -> None:
        """The final answer was given."""
        self.escrow.end(request, may_have_run)

    def lacks(self, request: model.Request, now: timedelta) -> bool:
        """Whether it is worth a moment's wait for an allotment."""
        customer = self.customer_of(request.volume)
        charge = charge_of(request.units, self.prices[request.request_class])
        return customer is not None and charge > 0 and self.escrow.lacks(customer, charge, now)

    @contextmanager
    def waiting(self, request: model.Request) -> Iterator[None]:
        """While a request waits for an allotment."""
        customer = self.customer_of(request.volume)
        if customer is None:
            yield
            return
        charge = charge_of(request.units, self.prices[request.request_class])
        self.escrow.begin_wait(customer, charge)
        try:
            yield
        finally:
            self.escrow.end_wait(customer, charge)

    def want(self, request: model.Request, now: timedelta) -> None:
        """A request waits: ask for an allotment that is large enough for it."""
        customer = self.customer_of(request.volume)
        if customer is not None:
            self.escrow.want(customer, charge_of(request.units, self.prices[request.request_class]), now)
