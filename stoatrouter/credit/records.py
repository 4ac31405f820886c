"""What heads ask of an account, and what the account answers. Amounts are whole millionths of a credit unit.

The commands go between heads and into the agreed log on disk, the answers back to the head that asked.
All are msgpack arrays (`array_like`): fields are encoded by position, never by name, and commands by
their explicit `tag`. A new field goes at the end, with a default, so that older bytes still decode.
"""

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
    """What was spent of one allotment.

    Attributes:
        allotment: The id of the allotment, as the grant gave it.
        spent: What was spent of it in all, in millionths of a credit unit.
        final: Whether this is the head's last word on it: nothing more is spent, what is left goes back.
    """

    allotment: str
    spent: int  # in all, from it
    final: bool  # nothing more will be: what is left goes back


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One customer at one head: what was spent, and how much more is wanted.

    Attributes:
        customer: The customer's name.
        holds: The ids of all its allotments at this head; the account closes, unspent, any other one
            that it granted to this head's identity (its grant never reached the head).
        settles: What was spent of some of them.
        want: How much more the head asks for, in millionths of a credit unit; 0 for nothing.
        least: The smallest grant of use to the head (its largest waiting charge), in millionths.
    """

    customer: str
    holds: tuple[str, ...] = ()  # all of its allotments here: another one never came to be known
    settles: tuple[Settle, ...] = ()
    want: int = 0
    least: int = 0  # less is of no use: a request waits for so much


class Turns(msgspec.Struct, frozen=True, array_like=True, tag="turns"):
    """What one head has to say of all its customers, in one command.

    Attributes:
        head: The name of the head.
        identity: The identity of its disk.
        number: Grows with each command of this identity; one that comes again, or late, does nothing.
        turns: One for each customer it speaks of.
    """

    head: str
    identity: str  # of its disk
    number: int  # goes up with each; one that comes again, or late, does nothing
    turns: tuple[Turn, ...]


class Expired(msgspec.Struct, frozen=True, array_like=True, tag="expired"):
    """The leader saw that these allotments' time is over."""

    allotments: tuple[str, ...]


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """A head began. What it had reserved under an earlier disk nobody can tell any more.

    Attributes:
        head: The name of the head.
        identity: The identity of its disk; "" for none.
        over: The identity that it takes over from, as far as it knows; "" for none.
        number: The number of this command, as in `Turns`.
        holds: The ids of the allotments that its disk knows of.
    """

    head: str
    identity: str
    over: str  # the identity that it takes over from, as far as it knows: "" none
    number: int
    holds: tuple[str, ...]  # what its disk knows of


Command = PutCustomer | DropCustomer | Book | Turns | Expired | Begin


# -- answers ----------------------------------------------------------------------------------------------
class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The answer to one turn: a new allotment, perhaps, and how the account stands.

    Attributes:
        customer: The customer's name.
        allotment: The id of the new allotment; "" for none.
        amount: Its size, in millionths of a credit unit.
        balance: What is not charged yet, the overdraft and allotments that are out counted in, in millionths.
        low_water: The customer's low-water mark, in millionths: under it, the pace of requests narrows.
        known: Whether the account is open; False where there is no such customer.
    """

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
    """Return what a request costs, in millionths of a credit unit, rounded up.

    Args:
        units: The request's units of work, as the decision module counts them.
        price: The price of one unit of its class, in millionths of a credit unit.
    """
    return -int(-units * price // 1)
