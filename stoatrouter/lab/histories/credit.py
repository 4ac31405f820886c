"""Checks charges and top-ups of customers against recorded requests and the accounts at the end.

Served requests are counted whether or not they were charged: if a request was served free of charge although
its volume had a customer, the charges of the account are lower than those that follow from its requests.
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
from stoatrouter.lab.histories.ownership import NO_OWNER, Ownership, ownership_of

OK, UNAVAILABLE = 200, 503


class Posting(NamedTuple):
    """An amount that was paid or (negative) charged at some time; payments sort first at equal times."""

    at: float
    is_charge: bool
    amount: int


@dataclass(slots=True)
class ChargeBounds:
    """The minimum and maximum charges of a customer that its requests allow."""

    minimum: int = 0
    maximum: int = 0


@dataclass(slots=True)
class CustomerPostings:
    """The payments and charges of one customer as seen by clients."""

    payments: list[Posting] = field(default_factory=list)
    charges: list[Posting] = field(default_factory=list)
    bounds: ChargeBounds = field(default_factory=ChargeBounds)


def check_charges(history: History) -> list[str]:
    """Check that charges never exceed payments at any time, and that the accounts match at the end.

    A served request must be charged; a rejected one must not be, unless an attempt may have run; one without
    an answer may be. A top-up counts from its invocation, as it may take effect from then on. If a volume may
    have belonged to another customer in the state of the ledger by which the head decided, or to none at some
    time during the request, each possible customer may be charged and none has to be.
    """
    requests = history.of(Request)
    owners = ChargeableCustomers(ownership_of(history.of(CustomerPut)), max_ledger_age(history))
    postings = postings_by_customer(history.of(Payment), requests, owners)
    violations = duplicate_requests(requests)
    for customer, entry in postings.items():
        violations += overspending(customer, entry)
    for settled in history.of(Settled):
        violations += settlement_errors(settled, postings[settled.customer].bounds)
    return violations


@dataclass(slots=True)
class ChargeableCustomers:
    """Determines which customers may be charged for a request."""

    ownership: Ownership
    max_ledger_age: float  # seconds; maximum age of the ledger by which a head decides

    def of(self, request: Request) -> set[str]:
        """Return the customers that may be charged for a request; NO_OWNER among them: possibly none is."""
        if not request.volume:
            return {request.customer}
        since = request.at - self.max_ledger_age
        possible = self.ownership.possible_owners(request.volume, since, request.until)
        # a call that assigns a volume to a customer answers once no head serves it free of charge any more
        free = NO_OWNER in self.ownership.possible_owners(request.volume, request.at, request.until)
        return possible if free else possible - {NO_OWNER}


def max_ledger_age(history: History) -> float:
    """Return the maximum age in seconds of a ledger by which a head may decide; 0 if none is recorded."""
    return max((line.seconds for line in history.of(LedgerBehind)), default=0.0)


def postings_by_customer(
    payments: list[Payment], requests: list[Request], owners: ChargeableCustomers
) -> defaultdict[str, CustomerPostings]:
    """Collect payments, charges and bounds of charges by customer."""
    postings: defaultdict[str, CustomerPostings] = defaultdict(CustomerPostings)
    booked: set[str] = set()
    for payment in payments:
        if payment.id not in booked:
            booked.add(payment.id)
            posting = Posting(payment.at, False, payment.amount)
            postings[payment.customer].payments.append(posting)
    for request in requests:
        if request.status == UNAVAILABLE:
            continue
        possible = owners.of(request)
        for customer in possible - {NO_OWNER}:
            postings[customer].bounds.maximum += request.charge
        if request.status == OK and len(possible) == 1 and NO_OWNER not in possible:
            entry = postings[possible.pop()]
            entry.charges.append(Posting(request.until, True, -request.charge))
            entry.bounds.minimum += request.charge
    return postings


def duplicate_requests(requests: list[Request]) -> list[str]:
    """Find ids that occur more than once: such a history is not valid evidence."""
    counts = Counter(request.id for request in requests)
    return [f"request {id} is in the history {count} times" for id, count in counts.items() if count > 1]


def overspending(customer: str, entry: CustomerPostings) -> list[str]:
    """Find the first time at which a customer was served more than was paid in."""
    left = 0
    for posting in sorted(entry.charges + entry.payments):
        left += posting.amount
        if left < 0:
            return [f"{customer} was served {-left} more than was paid in, at {posting.at:.3f}"]
    return []


def settlement_errors(settled: Settled, bounds: ChargeBounds) -> list[str]:
    """Check an account at the end for consistency, and against the bounds of its charges."""
    violations = []
    if settled.balance != settled.paid - settled.charged:
        violations.append(
            f"{settled.customer}: balance {settled.balance} of {settled.paid} less {settled.charged}"
        )
    if not bounds.minimum <= settled.charged <= bounds.maximum + settled.lost:
        violations.append(
            f"{settled.customer}: charged {settled.charged}, clients say {bounds.minimum} to "
            f"{bounds.maximum}, and {settled.lost} may be lost"
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
