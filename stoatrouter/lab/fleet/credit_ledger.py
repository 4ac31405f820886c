"""Credit in virtual time, each head with its own copy of the ledger: is a customer served free of charge?

Customers are made and volumes move while heads are cut off, killed, wiped and paused. What a head knows of
the ledger comes by polls over the faulty network; whose a volume was, and when, is the world's to know.
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
# A copy counts as current for CUT_OFF_AFTER on its head's clock, which may be slow.
LONGEST_BEHIND = CUT_OFF_AFTER / (1 - CLOCK_DRIFT)
CHANGE_INTERVAL = timedelta(milliseconds=600)  # between changes of whose a volume is, in the mean
MOST_MADE = 12  # customers made during the faults; they pay nothing in
UNITS_PRICE = 1  # of a unit, in every class
TIME_TO_ANSWER = timedelta(seconds=1)


@dataclass
class LoggedAccount(CreditAccount):
    """The account with the log of what it applied, which heads follow."""

    log: list[bytes] = field(default_factory=list)

    def apply(self, command: Command, id: str) -> bytes:
        """Apply a command, once under its id; returns the reply."""
        if id not in self.replies:
            self.log.append(msgspec.msgpack.encode(command))
        return super().apply(command, id)


@dataclass(eq=False)
class LedgerCopy:
    """One incarnation's copy of the ledger."""

    world: World
    account: LoggedAccount
    name: str
    stored: list[bytes]  # the disk's log: what was applied here before, and is from now on
    is_current: Callable[[], bool]  # whether no other incarnation of this head has begun
    ledger: Ledger = field(default_factory=Ledger)
    followed_at: timedelta | None = None  # on the head's clock

    def __post_init__(self) -> None:
        """Apply what is on the disk, and begin to poll."""
        for index, command in enumerate(self.stored, 1):
            self.ledger.apply(index, command)
        self.world.schedule_on(self.name, POLL_INTERVAL * self.world.rng.random(), self.poll)

    def poll(self) -> None:
        """Ask the account for what was committed, and again later."""
        asked_at, after = self.world.clock(self.name), len(self.stored)

        def answer() -> None:
            commands = self.account.log[after:]
            self.world.send(ACCOUNT, self.name, lambda: self.learn(asked_at, after, commands))

        self.world.send(self.name, ACCOUNT, answer)
        self.world.schedule_on(self.name, POLL_INTERVAL, self.poll)

    def learn(self, asked_at: timedelta, after: int, commands: list[bytes]) -> None:
        """Apply committed commands; the copy is as new as the question that brought them."""
        if not self.is_current() or after > len(self.stored):
            return
        for command in commands[len(self.stored) - after :]:
            self.stored.append(command)
            self.ledger.apply(len(self.stored), command)
        self.followed_at = max(asked_at, self.followed_at or asked_at)

    def freshness(self) -> LedgerFreshness:
        """What the head knows of the ledger at this moment."""
        now = self.world.clock(self.name)
        age = None if self.followed_at is None else now - self.followed_at
        return freshness_of(LedgerFacts(len(self.stored), age), CUT_OFF_AFTER)


class OwnedSince(msgspec.Struct, frozen=True):
    """Whose a volume is from a moment on."""

    at: timedelta
    customer: str


@dataclass
class LedgerFleet(CreditFleet):
    """Heads whose gates decide by copies of the ledger; `make_gate` builds them (mutants in tests)."""

    make_gate: Callable[..., Gate] = Gate
    unknown_volumes: UnknownVolumes = UnknownVolumes.REJECT
    gates: dict[str, Gate] = field(default_factory=dict)
    copies: dict[str, LedgerCopy] = field(default_factory=dict)
    owners: dict[str, list[OwnedSince]] = field(default_factory=dict)  # by volume
    made: int = 0  # customers, during the faults
    served_free: int = 0

    def make_account(self) -> CreditAccount:
        """The account, with the log that heads follow."""
        return LoggedAccount(self.world, self.make_ledger())

    # -- heads --------------------------------------------------------------------------------------------
    def boot(self, name: str, identity: str, disk: CreditDisk) -> None:
        """Start a head with what is on its disk: the book of what was spent, and the log."""
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
        """Make a customer, or give it other volumes, at the account; the truth notes when."""
        self.paid.setdefault(name, 0)
        self.charged.setdefault(name, 0)
        command = PutCustomer(name, volumes, low_water=LOW_WATER, refund_expired=self.refund_expired)
        self.account.apply(command, f"put{next(self.account.numbers)}")
        for volume in volumes:
            self.owners.setdefault(volume, []).append(OwnedSince(self.world.now, name))

    def change_owners(self, until: timedelta) -> None:
        """Make customers of volumes that had none, or move a volume between customers, up to a time."""
        rng = self.world.rng
        if self.world.now >= until:
            return
        if self.made < MOST_MADE and rng.random() < 0.7:
            self.put_customer(f"n{self.made}", f"w{self.made}")
            self.made += 1
        else:
            first, second = ("c0", "c1") if rng.random() < 0.5 else ("c1", "c0")
            self.put_customer(second, f"v{second[1:]}")
            self.put_customer(first, f"v{first[1:]}", "moving")
        delay = CHANGE_INTERVAL * rng.uniform(0.2, 1.8)
        self.world.schedule(delay, lambda: self.change_owners(until))

    def draw_volume(self) -> str:
        """A volume that is somebody's from the start, or moves, or may get a customer some time."""
        rng = self.world.rng
        return rng.choice(["v0", "v1", "moving", f"w{rng.randrange(MOST_MADE)}"])

    # -- requests -----------------------------------------------------------------------------------------
    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        """Make one request at a head, of a drawn volume: whose it is, the head has to know."""
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

    # -- the invariant ------------------------------------------------------------------------------------
    def _check_free(self, head: str, volume: str) -> None:
        """Check that a volume served free of charge was nobody's a moment ago, by LONGEST_BEHIND at most."""
        self.served_free += 1
        owners = self.owners.get(volume)
        if owners and owners[0].at < max(ZERO, self.world.now - LONGEST_BEHIND):
            raise InvariantViolated(
                f"{head} served {volume} of {owners[-1].customer} free of charge, "
                f"{self.world.now - owners[0].at} after it had got a customer"
            )
