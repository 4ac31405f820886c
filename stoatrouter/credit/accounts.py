"""The replicated state of customers' accounts, as snapshots store it.

Amounts are integers, in millionths of a credit unit. The structs are encoded into snapshots as msgpack arrays
(`array_like`), by field position: a new field goes at the end, with a default.
"""

from __future__ import annotations

import msgspec


class Allotment(msgspec.Struct, array_like=True):
    """A part of a customer's credit that one head may spend."""

    customer: str
    head: str
    identity: str  # the identity of the head's disk
    amount: int
    spent: int = 0  # as last reported by the head
    expired: bool = False

    @property
    def unreported(self) -> int:
        """Return the amount that the head may still spend, or may have spent without a report."""
        return self.amount - self.spent


class Account(msgspec.Struct, array_like=True):
    """The account of one customer."""

    name: str
    volumes: list[str]
    overdraft: int = 0
    low_water: int = 0  # requests are paced while the balance is below it
    refund_expired: bool = False  # an expired allotment's unreported rest counts as unspent, not as spent
    open: bool = True
    paid: int = 0
    charged: int = 0
    outstanding: dict[str, Allotment] = msgspec.field(default_factory=dict)  # by id

    def in_flight(self) -> int:
        """Return the amount that heads may still spend, or may have spent without a report."""
        return sum(
            allotment.unreported
            for allotment in self.outstanding.values()
            if not (allotment.expired and self.refund_expired)
        )

    @property
    def free(self) -> int:
        """Return the amount that may be granted to heads."""
        return self.paid + self.overdraft - self.charged - self.in_flight()

    @property
    def balance(self) -> int:
        """Return the amount that is not charged yet, including the overdraft."""
        return self.paid + self.overdraft - self.charged


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An entry booked by an operator: a top-up, correction or refund."""

    index: int
    id: str
    customer: str
    amount: int
    kind: str
    by: str
    why: str
    when: str


class HeadRegistration(msgspec.Struct, frozen=True, array_like=True):
    """The identity under which a head's reports are accepted, and the number of its latest command."""

    identity: str
    number: int


class LedgerSnapshot(msgspec.Struct, array_like=True):
    """The ledger's state, as a snapshot stores it."""

    accounts: list[Account]
    entries: list[Entry]
    heads: dict[str, HeadRegistration]  # by name


def allotment_size(account: Account, head: str, wanted: int, min_useful: int) -> int:
    """Return the size of the allotment to grant to a head.

    The head gets the requested amount, up to its share of half the free credit; the share is divided between
    the heads that serve the customer, and the other half stays free for later requests. A head whose share is
    too small for one request still gets the smallest useful amount while that much is free.

    Args:
        account: The customer's account.
        head: The name of the requesting head.
        wanted: The requested amount, in millionths of a credit unit.
        min_useful: The smallest useful amount (the head's largest waiting charge), in millionths.

    Returns:
        The amount to grant, in millionths of a credit unit; 0 for none.
    """
    serving = {allotment.head for allotment in account.outstanding.values() if not allotment.expired}
    serving.add(head)
    free = max(0, account.free)
    amount = min(wanted, free // (2 * len(serving)))
    if amount >= min_useful:
        return amount
    return min_useful if min_useful <= free else 0
