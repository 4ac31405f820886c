"""Judges what customers were charged and paid, by their requests and top-ups and the accounts at the end.

What was served is counted whether or not anybody was charged for it: a request that was served free of charge
though its volume had a customer makes that account's charges less than its clients say.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from stoatrouter.lab.histories.history import (
    CustomerPut,
    History,
    LedgerBehind,
    Payment,
    Request,
    Settled,
)
from stoatrouter.lab.histories.ownership import NOBODY, Ownership, ownership_of

OK, UNAVAILABLE = 200, 503


class Posting(NamedTuple):
    """An amount that was paid in or, negative, charged at a moment; of one moment payments come first."""

    at: float
    is_charge: bool
    amount: int


@dataclass(slots=True)
class ChargeBounds:
    """What a customer must and may have been charged, as its clients know."""

    least: int = 0
    most: int = 0


@dataclass(slots=True)
class CustomerBooks:
    """What clients know of one customer."""

    payments: list[Posting] = field(default_factory=list)
    charges: list[Posting] = field(default_factory=list)
    bounds: ChargeBounds = field(default_factory=ChargeBounds)


def check_charges(history: History) -> list[str]:
    """Check that charges never pass what was paid in, at any moment, and that the accounts agree in the end.

    A served request is charged for sure; one that was rejected is not, unless an attempt may have run; one
    without an answer may be. A top-up counts from its invocation, as it may take effect from then on. Where a
    volume may have been another customer's at some moment that the head may have decided by, or nobody's at
    some moment of the request, each of them may be charged and none must be.
    """
    requests = history.of(Request)
    owners = Owners(ownership_of(history.of(CustomerPut)), longest_behind(history))
    books = books_of(history.of(Payment), requests, owners)
    violations = duplicate_requests(requests)
    for customer, book in books.items():
        violations += overspending(customer, book)
    for settled in history.of(Settled):
        violations += settlement_errors(settled, books[settled.customer].bounds)
    return violations


@dataclass(slots=True)
class Owners:
    """Who may be charged for a request."""

    ownership: Ownership
    behind: float  # seconds that the ledger may be old by which a head decides

    def of(self, request: Request) -> set[str]:
        """The customers that may be charged for a request; NOBODY among them: perhaps nobody is."""
        if not request.volume:
            return {request.customer}
        since = request.at - self.behind
        possible = self.ownership.possible_owners(request.volume, since, request.until)
        # a call that gives a volume its customer answers once no head serves it free of charge any more
        free = NOBODY in self.ownership.possible_owners(request.volume, request.at, request.until)
        return possible if free else possible - {NOBODY}


def longest_behind(history: History) -> float:
    """The age of the oldest ledger by which a head may decide, in seconds; 0 where none is named."""
    return max((line.seconds for line in history.of(LedgerBehind)), default=0.0)


def books_of(
    payments: list[Payment], requests: list[Request], owners: Owners
) -> defaultdict[str, CustomerBooks]:
    """Sum up, by customer, what clients paid and asked for."""
    books: defaultdict[str, CustomerBooks] = defaultdict(CustomerBooks)
    booked: set[str] = set()
    for payment in payments:
        if payment.id not in booked:
            booked.add(payment.id)
            posting = Posting(payment.at, False, payment.amount)
            books[payment.customer].payments.append(posting)
    for request in requests:
        if request.status == UNAVAILABLE:
            continue
        possible = owners.of(request)
        for customer in possible - {NOBODY}:
            books[customer].bounds.most += request.charge
        if request.status == OK and len(possible) == 1 and NOBODY not in possible:
            book = books[possible.pop()]
            book.charges.append(Posting(request.until, True, -request.charge))
            book.bounds.least += request.charge
    return books


def duplicate_requests(requests: list[Request]) -> list[str]:
    """Find ids that are in the history more than once: such a history proves nothing."""
    counts = Counter(request.id for request in requests)
    return [f"request {id} is in the history {count} times" for id, count in counts.items() if count > 1]


def overspending(customer: str, book: CustomerBooks) -> list[str]:
    """Find the first moment at which a customer was served more than was paid in."""
    left = 0
    for posting in sorted(book.charges + book.payments):
        left += posting.amount
        if left < 0:
            return [f"{customer} was served {-left} more than was paid in, at {posting.at:.3f}"]
    return []


def settlement_errors(settled: Settled, bounds: ChargeBounds) -> list[str]:
    """Compare an account at the end with itself and with what its clients know."""
    violations = []
    if settled.balance != settled.paid - settled.charged:
        violations.append(
            f"{settled.customer}: balance {settled.balance} of {settled.paid} less {settled.charged}"
        )
    if not bounds.least <= settled.charged <= bounds.most + settled.lost:
        violations.append(
            f"{settled.customer}: charged {settled.charged}, clients say {bounds.least} to "
            f"{bounds.most}, and {settled.lost} may be lost"
        )
    return violations


def check_top_ups(history: History) -> list[str]:
    """Check that no acknowledged top-up is lost and none is booked twice."""
    violations = []
    payments = history.of(Payment)
    for settled in history.of(Settled):
        own = [payment for payment in payments if payment.customer == settled.customer]
        acknowledged = sum_by_id([payment for payment in own if payment.status == OK])
        asked = sum_by_id(own)
        if not acknowledged <= settled.paid <= asked:
            violations.append(
                f"{settled.customer}: {settled.paid} is booked, {acknowledged} was "
                f"acknowledged and {asked} asked for"
            )
    return violations


def sum_by_id(payments: list[Payment]) -> int:
    """Sum up payments, counting each id once."""
    return sum({payment.id: payment.amount for payment in payments}.values())
