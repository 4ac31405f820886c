"""One account that is always right, asked over a faulty network: it stands for the agreement of the voters.

An answer may be lost after its command was booked, as when a leader dies in between. `voters.py` has the
agreement itself.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import BookEntry, Command, Expired
from stoatrouter.lab.fleet.world import World

ACCOUNT = "account"  # the machine; all others are heads
LEASE = timedelta(seconds=2)
EXPIRY_MARGIN = 1.05  # the account waits so much longer than the lease, as clocks differ
EXPIRY_INTERVAL = LEASE / 4
RETRY_INTERVAL = timedelta(milliseconds=300)
REPLY_LOST = 0.05  # probability that the account has forgotten its reply when a command comes


@dataclass
class CreditAccount:
    """The ledger on its machine, with the replies to commands by their ids."""

    world: World
    ledger: Ledger
    replies: dict[str, bytes] = field(default_factory=dict)
    index: int = 0  # of the command applied last
    first_seen: dict[str, timedelta] = field(default_factory=dict)  # by allotment, on the account's clock
    acknowledged: set[str] = field(default_factory=set)  # ids of top-ups
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))  # for ids of all kinds

    def apply(self, command: Command, id: str) -> bytes:
        """Apply a command, once under its id; returns the reply."""
        if id not in self.replies:
            self.index += 1
            self.replies[id] = self.ledger.apply(self.index, msgspec.msgpack.encode(command))
        return self.replies[id]

    def forget_reply_at_times(self, id: str) -> None:
        """Forget a reply now and then, as the agreement does in the end.

        The command's number is then all that guards against applying it twice.
        """
        if self.world.rng.random() < REPLY_LOST:
            self.replies.pop(id, None)

    def expire_allotments(self) -> None:
        """Expire the allotments whose lease is over, now and again later."""
        now = self.world.clock(ACCOUNT)
        self.first_seen = {id: self.first_seen.get(id, now) for id in self.ledger.customer_by_allotment}
        expired = tuple(
            id
            for id, since in self.first_seen.items()
            if since + LEASE * EXPIRY_MARGIN < now and not self.ledger.allotment(id).expired
        )
        if expired:
            self.apply(Expired(expired), f"expired{self.index}")
        self.world.schedule(EXPIRY_INTERVAL, self.expire_allotments)

    def top_up(self, customer: str, amount: int, id: str) -> None:
        """Pay in as an operator does, who retries through any head until the top-up is acknowledged."""
        if id in self.acknowledged:
            return
        head = self.world.rng.choice([name for name in self.world.names if name != ACCOUNT])
        number = next(self.numbers)
        is_new_call = self.world.rng.random() < 0.5  # else a retry is the same call once more
        call = f"{id}/{number if is_new_call else 0}"

        def arrive() -> None:
            self.apply(BookEntry(id, customer, amount, "top-up", "x", "y", "z"), call)
            self.world.send(ACCOUNT, head, lambda: self.acknowledged.add(id))

        self.world.send(head, ACCOUNT, arrive)
        self.world.schedule(RETRY_INTERVAL, lambda: self.top_up(customer, amount, id))
