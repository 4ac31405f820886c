"""The commands that heads send to the accounts, and the answers. Amounts: whole millionths of a credit unit.

The commands go between heads and into the agreed log on disk, the answers back to the head that asked.
All are msgpack arrays (`array_like`): fields are encoded by position, never by name, and commands by
their explicit `tag`. A new field goes at the end, with a default, so that older bytes still decode.
"""

from __future__ import annotations

import msgspec

MILLION = 1_000_000  # of a credit unit


class PutCustomer(msgspec.Struct, frozen=True, array_like=True, tag="customer"):
    """Create a customer, or change its settings. Its volumes are taken from whoever had them."""

    name: str
    volumes: tuple[str, ...]
    overdraft: int = 0
    low_water: int = 0  # under this requests are paced
    refund_expired: bool = False  # an allotment of a failed head counts as unspent once it has expired
    by: str = ""
    why: str = ""
    when: str = ""


class DropCustomer(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Close a customer's account: nothing more is granted; outstanding allotments are still settled."""

    name: str
    by: str = ""
    why: str = ""
    when: str = ""


class BookEntry(msgspec.Struct, frozen=True, array_like=True, tag="book"):
    """A top-up, correction or refund; its id is an idempotency key."""

    id: str
    customer: str
    amount: int  # more than 0, except in a correction
    kind: str
    by: str
    why: str
    when: str


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """What was spent of one allotment.

    Attributes:
        allotment: The id of the allotment, as the grant gave it.
        spent: What was spent of it in all, in millionths of a credit unit.
        final: Whether nothing more will be spent of it: the account takes the rest back.
    """

    allotment: str
    spent: int
    final: bool


class CustomerReport(msgspec.Struct, frozen=True, array_like=True):
    """What one head reports of one customer: what was spent, and how much more is wanted.

    Attributes:
        customer: The customer's name.
        allotments: The ids of all its allotments at this head; the account closes, unspent, any other one
            that it granted to this head's identity (its grant never reached the head).
        settlements: What was spent of some of them.
        wanted: How much more the head asks for, in millionths of a credit unit; 0 for nothing.
        min_useful: The smallest grant of use to the head (its largest waiting charge), in millionths.
    """

    customer: str
    allotments: tuple[str, ...] = ()
    settlements: tuple[Settlement, ...] = ()
    wanted: int = 0
    min_useful: int = 0


class CreditReport(msgspec.Struct, frozen=True, array_like=True, tag="turns"):
    """What one head reports of its customers, in one command.

    Attributes:
        head: The name of the head.
        identity: The identity of its disk.
        number: Grows with each command of this identity; a repeated or late one does nothing.
        reports: One for each customer with something to report.
    """

    head: str
    identity: str
    number: int
    reports: tuple[CustomerReport, ...]


class Expired(msgspec.Struct, frozen=True, array_like=True, tag="expired"):
    """The leader reports that these allotments have expired."""

    allotments: tuple[str, ...]


class RegisterHead(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """A head started. What it had reserved under an earlier disk is unknown from now on.

    Attributes:
        head: The name of the head.
        identity: The identity of its disk; "" for none.
        predecessor: The identity that it takes over from, as far as it knows; "" for none.
        number: The number of this command, as in `CreditReport`.
        allotments: The ids of the allotments that its disk knows of.
    """

    head: str
    identity: str
    predecessor: str
    number: int
    allotments: tuple[str, ...]


Command = PutCustomer | DropCustomer | BookEntry | CreditReport | Expired | RegisterHead


# -- answers ----------------------------------------------------------------------------------------------
class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The answer to one customer's report: a new allotment, perhaps, and the state of the account.

    Attributes:
        customer: The customer's name.
        allotment: The id of the new allotment; "" for none.
        amount: Its size, in millionths of a credit unit.
        balance: What is not charged yet, the overdraft and outstanding allotments counted in, in millionths.
        low_water: The customer's low-water mark, in millionths: under it, requests are paced.
        known: Whether the account is open; False where there is no such customer.
    """

    customer: str
    allotment: str
    amount: int
    balance: int
    low_water: int
    known: bool = True


class Grants(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a CreditReport: one grant for each customer, in order; none where it was ignored."""

    grants: tuple[Grant, ...]


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to any other command.

    Attributes:
        ok: Whether the command was applied.
        reason: Why not; to RegisterHead, the identity that is registered instead.
        balance: The balance of the customer's account, in millionths of a credit unit.
        repeated: Whether the entry had been booked before.
    """

    ok: bool
    reason: str = ""
    balance: int = 0
    repeated: bool = False


def charge_of(units: float, price: int) -> int:
    """Return what a request costs, in millionths of a credit unit, rounded up.

    Args:
        units: The request's units of work, as the decision module counts them.
        price: The price of one unit of its class, in millionths of a credit unit.
    """
    return -int(-units * price // 1)
