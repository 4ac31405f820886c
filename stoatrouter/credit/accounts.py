"""The state of each customer's account, as every head agrees on it and as a snapshot stores it.

Amounts are whole millionths of a credit unit. The structs are encoded as msgpack arrays (`array_like`),
by the position of their fields, into snapshots on disk: new fields go at the end, with a default.
"""

from __future__ import annotations

import msgspec


class Allotment(msgspec.Struct, array_like=True):
    """What one head may spend of a customer's credit."""

    customer: str
    head: str
    identity: str
    amount: int
    spent: int = 0  # as far as its head has reported
    expired: bool = False

    @property
    def unreported(self) -> int:
        """What its head may still spend, or may have spent and not reported."""
        return self.amount - self.spent


class Account(msgspec.Struct, array_like=True):
    """One customer's account."""

    name: str
    volumes: list[str]
    overdraft: int = 0
    low_water: int = 0
    refund_expired: bool = False  # an expired allotment counts as unspent, not as spent
    open: bool = True
    paid: int = 0
    charged: int = 0
    outstanding: dict[str, Allotment] = msgspec.field(default_factory=dict)  # by id

    def in_flight(self) -> int:
        """What heads may still spend, or may have spent and not reported."""
        return sum(
            allotment.unreported
            for allotment in self.outstanding.values()
            if not (allotment.expired and self.refund_expired)
        )

    @property
    def free(self) -> int:
        """What may be granted to heads."""
        return self.paid + self.overdraft - self.charged - self.in_flight()

    @property
    def balance(self) -> int:
        """What is not charged yet, the overdraft counted in."""
        return self.paid + self.overdraft - self.charged


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An operator's entry: a top-up, correction or refund."""

    index: int
    id: str
    customer: str
    amount: int
    kind: str
    by: str
    why: str
    when: str


class HeadRegistration(msgspec.Struct, frozen=True, array_like=True):
    """The identity under which a head's reports are taken, and the number of its latest one."""

    identity: str
    number: int


class LedgerSnapshot(msgspec.Struct, array_like=True):
    """The ledger's state, as a snapshot has it."""

    accounts: list[Account]
    entries: list[Entry]
    heads: dict[str, HeadRegistration]  # by name


def allotment_size(account: Account, head: str, wanted: int, min_useful: int) -> int:
    """Size the allotment that one head is given.

    The head gets what it wants while the account is rich, less the nearer the account is to nothing and
    the more heads serve the customer: half of what is free stays for the others. The very last goes to
    whoever can use it for a request.

    Args:
        account: The customer's account.
        head: The name of the head that asks.
        wanted: What the head asks for, in millionths of a credit unit.
        min_useful: The smallest amount of use to it (its largest waiting charge), in millionths.

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
