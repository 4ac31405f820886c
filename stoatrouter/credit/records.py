"""The ledger's commands and answers. Amounts are integers, in millionths of a credit unit.

Commands are sent between heads and stored in the log on disk; answers are sent back to the head that asked.
All are msgpack arrays (`array_like`): fields are encoded by position, not by name, and commands are
identified by their explicit `tag`. A new field goes at the end, with a default, so that older bytes still
decode.
"""

from __future__ import annotations

import msgspec

MILLION = 1_000_000  # millionths in a credit unit


class PutCustomer(msgspec.Struct, frozen=True, array_like=True, tag="customer"):
    """Create a customer, or replace its settings; its volumes are removed from other customers."""

    name: str
    volumes: tuple[str, ...]
    overdraft: int = 0
    low_water: int = 0  # requests are paced while the balance is below it
    refund_expired: bool = False  # an allotment that has expired unsettled counts as unspent
    by: str = ""
    why: str = ""
    when: str = ""


class DropCustomer(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Close a customer's account: no more grants; outstanding allotments are still settled."""

    name: str
    by: str = ""
    why: str = ""
    when: str = ""


class BookEntry(msgspec.Struct, frozen=True, array_like=True, tag="book"):
    """Book a top-up, correction or refund."""

    id: str  # the idempotency key
    customer: str
    amount: int  # greater than 0, except in a correction
    kind: str
    by: str
    why: str
    when: str


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """The spending reported for one allotment.

    Attributes:
        allotment: The id of the allotment, from its grant.
        spent: The total amount spent from it, in millionths of a credit unit.
        final: Whether nothing more will be spent from it; the rest is then released.
    """

    allotment: str
    spent: int
    final: bool


class CustomerReport(msgspec.Struct, frozen=True, array_like=True):
    """One head's report for one customer: its spending, and the requested amount.

    Attributes:
        customer: The customer's name.
        allotments: The ids of all the customer's allotments at this head; the ledger closes, as unspent, any
            other one that was granted to this head's identity (its grant never reached the head).
        settlements: The spending from some of them.
        wanted: The requested amount, in millionths of a credit unit; 0 for none.
        min_useful: The smallest useful grant (the head's largest waiting charge), in millionths.
    """

    customer: str
    allotments: tuple[str, ...] = ()
    settlements: tuple[Settlement, ...] = ()
    wanted: int = 0
    min_useful: int = 0


class CreditReport(msgspec.Struct, frozen=True, array_like=True, tag="turns"):
    """The reports of one head for its customers, in one command.

    Attributes:
        head: The name of the head.
        identity: The identity of its disk.
        number: Increases with each command of this identity; a repeated or late command is ignored.
        reports: One for each customer with something to report.
    """

    head: str
    identity: str
    number: int
    reports: tuple[CustomerReport, ...]


class Expired(msgspec.Struct, frozen=True, array_like=True, tag="expired"):
    """Mark allotments as expired; proposed by the leader."""

    allotments: tuple[str, ...]


class RegisterHead(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """Register a head that has started. The spending of an earlier disk of it is no longer known.

    Attributes:
        head: The name of the head.
        identity: The identity of its disk; "" for none.
        predecessor: The identity that it replaces, as far as the head knows; "" for none.
        number: The number of this command, as in `CreditReport`.
        allotments: The ids of the allotments recorded on its disk.
    """

    head: str
    identity: str
    predecessor: str
    number: int
    allotments: tuple[str, ...]


Command = PutCustomer | DropCustomer | BookEntry | CreditReport | Expired | RegisterHead


# -- answers ----------------------------------------------------------------------------------------------
class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The answer to one customer's report: a new allotment, if any, and the state of the account.

    Attributes:
        customer: The customer's name.
        allotment: The id of the new allotment; "" for none.
        amount: Its size, in millionths of a credit unit.
        balance: The uncharged amount, including the overdraft and outstanding allotments, in millionths.
        low_water: The customer's low-water mark, in millionths; below it, requests are paced.
        known: Whether the customer exists and its account is open.
    """

    customer: str
    allotment: str
    amount: int
    balance: int
    low_water: int
    known: bool = True


class Grants(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a CreditReport: one grant for each customer, in order; none if it was ignored."""

    grants: tuple[Grant, ...]


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer to any other command.

    Attributes:
        ok: Whether the command was applied.
        reason: Why it was not applied; for RegisterHead, the identity that is registered instead.
        balance: The balance of the customer's account, in millionths of a credit unit.
        repeated: Whether an entry with the same id was booked before.
    """

    ok: bool
    reason: str = ""
    balance: int = 0
    repeated: bool = False


def charge_of(units: float, price: int) -> int:
    """Return the price of a request, in millionths of a credit unit, rounded up.

    Args:
        units: The request's units of work, as the decision module counts them.
        price: The price of one unit of its class, in millionths of a credit unit.
    """
    return -int(-units * price // 1)
