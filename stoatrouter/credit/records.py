"""What heads ask of an account, and what they are told. Amounts are whole millionths of a credit unit."""

from __future__ import annotations

import msgspec

MILLION = 1_000_000  # of a credit unit


class PutCustomer(msgspec.Struct, frozen=True, array_like=True, tag="customer"):
    """Make a customer, or change what is said of it. Volumes move from whoever had them."""

    name: str
    volumes: tuple[str, ...]
    overdraft: int = 0
    low_water: int = 0  # under this the pace narrows
    returned: bool = False  # what a failed head held counts as unspent once it has expired, not as spent
    by: str = ""
    why: str = ""
    when: str = ""


class DropCustomer(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """No more is drawn; what is out is still settled, and the account stays until it is."""

    name: str
    by: str = ""
    why: str = ""
    when: str = ""


class Book(msgspec.Struct, frozen=True, array_like=True, tag="book"):
    """A top-up, correction or refund; under one id it is booked once."""

    id: str
    customer: str
    amount: int  # a correction may be negative
    kind: str
    by: str
    why: str
    when: str


class Settle(msgspec.Struct, frozen=True, array_like=True):
    """What was spent of one allotment."""

    allotment: str
    spent: int  # in all, from it
    final: bool  # nothing more will be: what is left goes back


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One customer at one head: what was spent, and how much more is wanted."""

    customer: str
    holds: tuple[str, ...] = ()  # all of its allotments here: another one never came to be known
    settles: tuple[Settle, ...] = ()
    want: int = 0
    least: int = 0  # less is of no use: a request waits for so much


class Turns(msgspec.Struct, frozen=True, array_like=True, tag="turns"):
    """What one head has to say of all its customers."""

    head: str
    identity: str  # of its disk
    number: int  # goes up with each; one that comes again, or late, does nothing
    turns: tuple[Turn, ...]


class Expired(msgspec.Struct, frozen=True, array_like=True, tag="expired"):
    """The leader saw that these allotments' time is over."""

    allotments: tuple[str, ...]


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """A head began. What it held under an earlier disk nobody can tell any more."""

    head: str
    identity: str
    over: str  # the identity that it takes over from, as far as it knows: "" none
    number: int
    holds: tuple[str, ...]  # what its disk knows of


Command = PutCustomer | DropCustomer | Book | Turns | Expired | Begin


# -- answers ----------------------------------------------------------------------------------------------
class Grant(msgspec.Struct, frozen=True, array_like=True):
    """To one turn: a new allotment, perhaps, and how the account stands."""

    customer: str
    allotment: str  # "": none
    amount: int
    balance: int  # what is not charged yet, allotments that are out counted in
    low_water: int
    known: bool = True


class Grants(msgspec.Struct, frozen=True, array_like=True):
    """To all turns of one word, in their order; none where the word was not heard."""

    grants: tuple[Grant, ...]


class Booked(msgspec.Struct, frozen=True, array_like=True):
    """To an operator's entry."""

    ok: bool
    why: str = ""  # to Begin: the identity that stands
    balance: int = 0
    again: bool = False  # it had been booked before


def charge_of(units: float, price: int) -> int:
    """What a request of so many units costs, rounded up."""
    return -int(-units * price // 1)
