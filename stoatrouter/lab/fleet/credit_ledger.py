"""Simulated credit with a copy of the ledger on each head: checks that no customer is served free of charge.

Customers are created and volumes move while heads are cut off, killed, wiped and paused. Heads learn of the
ledger by polls over the faulty network; the actual owners of volumes over time are recorded here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from stoatrouter.core import model
from stoatrouter.credit.gate import Gate
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.ledger_freshness import LedgerFacts, LedgerFreshness, UnknownVolumes, freshness_of
from stoatrouter.credit.records import Command, PutCustomer
from stoatrouter.lab.fleet.credit import LOW_WATER, RANKS, CreditFleet, Reserved
from stoatrouter.lab.fleet.credit_account import ACCOUNT, CreditAccount
from stoatrouter.lab.fleet.credit_head import CreditDisk
from stoatrouter.lab.fleet.errors import InvariantViolated
from stoatrouter.lab.fleet.world import CLOCK_DRIFT, ZERO, World

POLL_INTERVAL = timedelta(milliseconds=100)
CUT_OFF_AFTER = timedelta(seconds=1)
# A copy counts as current for CUT_OFF_AFTER on the clock of its head, which may be slow.
MAX_LEDGER_AGE = CUT_OFF_AFTER / (1 - CLOCK_DRIFT)
CHANGE_INTERVAL = timedelta(milliseconds=600)  # mean interval between changes of owners of volumes
MAX_NEW_CUSTOMERS = 12  # customers created during the faults; they pay nothing
UNITS_PRICE = 1  # price of a unit in every class
TIME_TO_ANSWER = timedelta(seconds=1)


@dataclass
class LoggedAccount(CreditAccount):
    """The account with the log of the commands that it has applied, which heads follow."""

    log: list[bytes] = field(default_factory=list)

    def apply(self, command: Command, id: str) -> bytes:
        """Apply and log a command unless its id was applied before; returns the reply."""
        if id not in self.replies:
            self.log.append(msgspec.msgpack.encode(command))
        return super().apply(command, id)


@dataclass(eq=False)
class LedgerCopy:
    """The copy of the ledger of one incarnation of a head."""

    world: World
    account: LoggedAccount
    name: str
    stored: list[bytes]  # the log on the disk; commands are appended as they are applied
    is_current: Callable[[], bool]  # whether no later incarnation of this head has started
    ledger: Ledger = field(default_factory=Ledger)
    followed_at: timedelta | None = None  # on the clock of the head

    def __post_init__(self) -> None:
        """Apply the log on the disk, and schedule the first poll."""
        for index, command in enumerate(self.stored, 1):
            self.ledger.apply(index, command)
        self.world.schedule_on(self.name, POLL_INTERVAL * self.world.rng.random(), self.poll)

    def poll(self) -> None:
        """Poll the account for committed commands, and schedule the next poll."""
        asked_at, after = self.world.clock(self.name), len(self.stored)

        def answer() -> None:
            commands = self.account.log[after:]
            self.world.send(ACCOUNT, self.name, lambda: self.apply_commands(asked_at, after, commands))

        self.world.send(self.name, ACCOUNT, answer)
        self.world.schedule_on(self.name, POLL_INTERVAL, self.poll)

    def apply_commands(self, asked_at: timedelta, after: int, commands: list[bytes]) -> None:
        """Apply committed commands; the copy is current as of the time of the poll."""
        if not self.is_current() or after > len(self.stored):
            return
        for command in commands[len(self.stored) - after :]:
            self.stored.append(command)
            self.ledger.apply(len(self.stored), command)
        self.followed_at = max(asked_at, self.followed_at or asked_at)

    def freshness(self) -> LedgerFreshness:
        """Return how current the copy is now."""
        now = self.world.clock(self.name)
        age = None if self.followed_at is None else now - self.followed_at
        return freshness_of(LedgerFacts(len(self.stored), age), CUT_OFF_AFTER)


class OwnedSince(msgspec.Struct, frozen=True):
    """The owner of a volume from a time on."""

    at: timedelta
    customer: str


@dataclass
class LedgerFleet(CreditFleet):
    """Heads whose gates decide by copies of the ledger; `make_gate` creates a gate (tests pass mutants)."""

    make_gate: Callable[..., Gate] = Gate
    unknown_volumes: UnknownVolumes = UnknownVolumes.REJECT
    gates: dict[str, Gate] = field(default_factory=dict)
    copies: dict[str, LedgerCopy] = field(default_factory=dict)
    owners: dict[str, list[OwnedSince]] = field(default_factory=dict)  # by volume
    new_customers: int = 0  # number of customers created during the faults
    served_free: int = 0  # number of requests of volumes without a customer

    def make_account(self) -> CreditAccount:
        """Create the account with the log that heads follow."""
        return LoggedAccount(self.world, self.make_ledger())

    # -- heads --------------------------------------------------------------------------------------------
    def boot(self, name: str, identity: str, disk: CreditDisk) -> None:
        """Start a head with the contents of its disk: amounts spent and the log."""
        super().boot(name, identity, disk)
        head, account = self.heads[name], self.account
        assert isinstance(account, LoggedAccount)
        copy = LedgerCopy(self.world, account, name, disk.log, lambda: self._is_current(head))
        self.copies[name] = copy
        prices, ranks = (UNITS_PRICE,) * RANKS, tuple(range(RANKS))
        self.gates[name] = self.make_gate(
            head.escrow, copy.ledger.customer_of, prices, ranks, copy.freshness, self.unknown_volumes
        )

    # -- customers ----------------------------------------------------------------------------------------
    def put_customer(self, name: str, *volumes: str) -> None:
        """Create a customer or change its volumes at the account, and record the time."""
        self.paid.setdefault(name, 0)
        self.charged.setdefault(name, 0)
        command = PutCustomer(name, volumes, low_water=LOW_WATER, refund_expired=self.refund_expired)
        self.account.apply(command, f"put{next(self.account.numbers)}")
        for volume in volumes:
            self.owners.setdefault(volume, []).append(OwnedSince(self.world.now, name))

    def change_owners(self, until: timedelta) -> None:
        """Until a time, create customers for volumes without one, or move a volume between customers."""
        rng = self.world.rng
        if self.world.now >= until:
            return
        if self.new_customers < MAX_NEW_CUSTOMERS and rng.random() < 0.7:
            self.put_customer(f"n{self.new_customers}", f"w{self.new_customers}")
            self.new_customers += 1
        else:
            first, second = ("c0", "c1") if rng.random() < 0.5 else ("c1", "c0")
            self.put_customer(second, f"v{second[1:]}")
            self.put_customer(first, f"v{first[1:]}", "moving")
        delay = CHANGE_INTERVAL * rng.uniform(0.2, 1.8)
        self.world.schedule(delay, lambda: self.change_owners(until))

    def draw_volume(self) -> str:
        """Draw a volume that has a customer from the start, that moves, or that may get a customer."""
        rng = self.world.rng
        return rng.choice(["v0", "v1", "moving", f"w{rng.randrange(MAX_NEW_CUSTOMERS)}"])

    # -- requests -----------------------------------------------------------------------------------------
    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        """Make one request of a random volume at a head, which has to know the customer of the volume."""
        world, head, gate = self.world, self.heads[name], self.gates[name]
        if not world.is_running(name):
            return
        id, now, volume = f"r{next(self.account.numbers)}", world.clock(name), self.draw_volume()
        known_customer = self.copies[name].ledger.customer_of(volume)
        request = model.Request(id, rank, 0, volume, "k", 0, float(charge), 1, TIME_TO_ANSWER, False)
        if gate.take(request, now) is not None:
            self.rejected += 1
            return
        self.admitted += 1
        if known_customer is None:
            self._check_free(name, volume)
            return
        self._check_not_expired(head, id, now)
        reserved = Reserved(id, known_customer, charge, world.rng.random() < self.sent_fraction)
        delay = timedelta(seconds=world.rng.uniform(0.01, 0.4))
        world.schedule_on(name, delay, lambda: self._end_request(head, reserved))

    # -- invariant ----------------------------------------------------------------------------------------
    def _check_free(self, head: str, volume: str) -> None:
        """Check that a volume served free of charge had no customer MAX_LEDGER_AGE ago."""
        self.served_free += 1
        owners = self.owners.get(volume)
        if owners and owners[0].at < max(ZERO, self.world.now - MAX_LEDGER_AGE):
            raise InvariantViolated(
                f"{head} served {volume} of {owners[-1].customer} free of charge, "
                f"{self.world.now - owners[0].at} after it had got a customer"
            )
