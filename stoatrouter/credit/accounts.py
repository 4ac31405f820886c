"""The state of each customer's account, as every head agrees on it and as a snapshot stores it.

Amounts are whole millionths of a credit unit. The structs are encoded as msgpack arrays (`array_like`),
by the position of their fields, into snapshots on disk: new fields go at the end, with a default.
"""

from __future__ import annotations

import msgspec


class Allotment(msgspec.Struct, array_like=True):
    """What one head may spend."""

    customer: str
    head: str
    identity: str
    amount: int
    spent: int = 0  # as far as its head said
    expired: bool = False


class Account(msgspec.Struct, array_like=True):
    """One customer's account."""

    name: str
    volumes: list[str]
    overdraft: int = 0
    low_water: int = 0
    returned: bool = False
    open: bool = True
    paid: int = 0
    charged: int = 0
    out: dict[str, Allotment] = msgspec.field(default_factory=dict)

    def in_flight(self) -> int:
        """What heads may still spend, or may have spent and not said."""
        return sum(a.amount - a.spent for a in self.out.values() if not (a.expired and self.returned))

    @property
    def free(self) -> int:
        """What may be handed out."""
        return self.paid + self.overdraft - self.charged - self.in_flight()

    @property
    def balance(self) -> int:
        """What is not charged yet, the overdraft counted in."""
        return self.paid + self.overdraft - self.charged


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One line of the account's book."""

    index: int
    id: str
    customer: str
    amount: int
    kind: str
    by: str
    why: str
    when: str


class LedgerSnapshot(msgspec.Struct, array_like=True):
    """The ledger's state, as a snapshot has it."""

    accounts: list[Account]
    entries: list[Entry]
    heads: dict[str, tuple[str, int]]


def size(account: Account, head: str, want: int, least: int) -> int:
    """Size the allotment that one head is given.

    The head gets what it wants while the account is rich, less the nearer the account is to nothing and
    the more heads serve the customer: half of what is free stays for the others. The very last goes to
    whoever can use it for a request.

    Args:
        account: The customer's account.
        head: The name of the head that asks.
        want: What the head asks for, in millionths of a credit unit.
        least: The smallest amount of use to it (its largest waiting charge), in millionths.

    Returns:
        The amount to grant, in millionths of a credit unit; 0 for none.
    """
    others = {a.head for a in account.out.values() if not a.expired} | {head}
    free = max(0, account.free)
    amount = min(want, free // (2 * len(others)))
    if amount < least:
        amount = least if least <= free else 0
    return amount
