"""A single account, called over a faulty network, that stands in for the replicated ledger of the voters.

A reply may be lost after its command was applied, as when a leader crashes in between. `voters.py` simulates
the replication itself.
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

ACCOUNT = "account"  # name of its machine; all other machines are heads
LEASE = timedelta(seconds=2)
EXPIRY_MARGIN = 1.05  # the account waits longer than the lease by this factor, as clocks differ
EXPIRY_INTERVAL = LEASE / 4
RETRY_INTERVAL = timedelta(milliseconds=300)
REPLY_DROP_PROBABILITY = 0.05  # probability that the reply is gone when a command arrives


@dataclass
class CreditAccount:
    """The ledger on its own machine, with the replies to commands by id."""

    world: World
    ledger: Ledger
    replies: dict[str, bytes] = field(default_factory=dict)
    index: int = 0  # of the last applied command
    first_seen: dict[str, timedelta] = field(default_factory=dict)  # by allotment, on the account's clock
    acknowledged: set[str] = field(default_factory=set)  # ids of top-ups
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))  # source of unique ids

    def apply(self, command: Command, id: str) -> bytes:
        """Apply a command unless its id was applied before; returns the reply."""
        if id not in self.replies:
            self.index += 1
            self.replies[id] = self.ledger.apply(self.index, msgspec.msgpack.encode(command))
        return self.replies[id]

    def maybe_drop_reply(self, id: str) -> None:
        """Drop a stored reply with a small probability, as the replicated ledger drops old replies.

        Only the number in the command then prevents its effect from being applied twice.
        """
        if self.world.rng.random() < REPLY_DROP_PROBABILITY:
            self.replies.pop(id, None)

    def expire_allotments(self) -> None:
        """Expire the allotments whose lease is over, and schedule the next check."""
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
        """Top up a customer; like an operator, retry through random heads until it is acknowledged."""
        if id in self.acknowledged:
            return
        head = self.world.rng.choice([name for name in self.world.names if name != ACCOUNT])
        number = next(self.numbers)
        is_new_call = self.world.rng.random() < 0.5  # otherwise a retry repeats the same call
        call = f"{id}/{number if is_new_call else 0}"

        def arrive() -> None:
            self.apply(BookEntry(id, customer, amount, "top-up", "x", "y", "z"), call)
            self.world.send(ACCOUNT, head, lambda: self.acknowledged.add(id))

        self.world.send(head, ACCOUNT, arrive)
        self.world.schedule(RETRY_INTERVAL, lambda: self.top_up(customer, amount, id))
