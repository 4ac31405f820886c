"""Holders and an account in virtual time: what clients were charged, against what was paid in.

The account stands for the agreement (lab/fleet/voters.py has that): one state, asked over a network that
loses, repeats and reorders; an answer may be lost after it was booked, as when a leader dies in between. What
is true is counted here, at each final answer, and never asked of a holder or the account.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import (
    BookEntry,
    Command,
    CommandResult,
    CreditReport,
    CustomerReport,
    Expired,
    Grants,
    PutCustomer,
    RegisterHead,
    Settlement,
)
from stoatrouter.lab.fleet.voters import Broken
from stoatrouter.lab.fleet.world import World

LEASE = timedelta(seconds=2)
AGAIN = timedelta(milliseconds=300)
ACCOUNT = "account"


@dataclass(slots=True)
class Disk:
    """What a head's process leaves behind."""

    spent: dict[str, int] = field(default_factory=dict)

    def begin(self, allotment: str) -> bool:
        """Keep a record of an allotment."""
        self.spent[allotment] = 0
        return True

    def set(self, allotment: str, spent: int) -> None:
        """Keep what was spent of it in all."""
        self.spent[allotment] = spent

    def end(self, allotment: str) -> None:
        """Forget it."""
        self.spent.pop(allotment, None)


@dataclass
class Here:
    """One head."""

    identity: str
    disk: Disk
    holder: HeadEscrow
    number: int
    life: int
    begun: bool = False
    before: dict[str, int] = field(default_factory=dict)  # spent by an earlier process
    over: str = ""  # the identity that it takes over from
    saying: int | None = None  # the number of the word that waits for its answer
    asked_at: dict[str, timedelta] = field(default_factory=dict)  # of each allotment, by this head's clock


@dataclass
class CreditFleet:
    """Heads with customers' credit, beside one account that is always right."""

    world: World  # the account is the machine named so; all others are heads
    customers: int = 2
    returned: bool = False
    make: Callable[..., HeadEscrow] = HeadEscrow
    make_ledger: Callable[[], Ledger] = Ledger
    charged_if_unsent: bool = False
    uneven: bool = False
    sent: float = 0.9  # of the requests that are taken; the others never reach a node
    heads: dict[str, Here] = field(default_factory=dict)
    true: dict[str, int] = field(default_factory=dict)  # charged at final answers, by customer
    charges: dict[str, int] = field(default_factory=dict)  # how often, by request
    paid: dict[str, int] = field(default_factory=dict)
    acknowledged: set[str] = field(default_factory=set)
    answers: dict[str, bytes] = field(default_factory=dict)
    wiped: int = 0
    taken: int = 0
    turned: int = 0
    count: int = 0
    index: int = 0
    seen: dict[str, timedelta] = field(default_factory=dict)
    overspent: int = 0

    def __post_init__(self) -> None:
        self.ledger = self.make_ledger()
        for i in range(self.customers):
            name = f"c{i}"
            self.true[name] = self.paid[name] = 0
            self.apply(PutCustomer(name, (f"v{i}",), low_water=200, refund_expired=self.returned), f"put{i}")
        for name in self.names:
            self.boot(name, f"{name}/0", Disk())
        self.world.at(LEASE / 4, self.expire)

    @property
    def names(self) -> list[str]:
        """All heads."""
        return [name for name in self.world.names if name != ACCOUNT]

    # -- the account --------------------------------------------------------------------------------------
    def apply(self, command: Command, id: str) -> bytes:
        """Apply a command at the account, once under its id; its answer."""
        if id not in self.answers:
            self.index += 1
            self.answers[id] = self.ledger.apply(self.index, msgspec.msgpack.encode(command))
        return self.answers[id]

    def expire(self) -> None:
        """At the account: note which allotments' time is over."""
        now = self.world.clock(ACCOUNT)
        self.seen = {id: self.seen.get(id, now) for id in self.ledger.customer_by_allotment}
        over = tuple(
            id
            for id, since in self.seen.items()
            if since + LEASE * 1.05 < now and not self.ledger.allotment(id).expired
        )
        if over:
            self.apply(Expired(over), f"expired{self.index}")
        self.world.at(LEASE / 4, self.expire)

    def top_up(self, customer: str, amount: int, id: str) -> None:
        """An operator pays in, and asks again until told that it is booked."""
        if id in self.acknowledged:
            return
        via = self.world.draws.choice(self.names)
        self.count += 1
        call = f"{id}/{self.count if self.world.draws.random() < 0.5 else 0}"  # the same call, or a new one

        def arrive() -> None:
            self.apply(BookEntry(id, customer, amount, "top-up", "x", "y", "z"), call)
            self.world.send(ACCOUNT, via, lambda: self.acknowledged.add(id))

        self.world.send(via, ACCOUNT, arrive)
        self.world.at(AGAIN, lambda: self.top_up(customer, amount, id))

    def pay(self, customer: str, amount: int) -> None:
        """Pay in for a customer."""
        self.count += 1
        self.paid[customer] += amount
        self.top_up(customer, amount, f"t{self.count}")

    # -- heads --------------------------------------------------------------------------------------------
    def boot(self, name: str, identity: str, disk: Disk) -> None:
        """Start a head with what its disk holds."""
        life = self.world.machines[name].life
        holder = self.make(LEASE, disk)
        self.heads[name] = Here(identity, disk, holder, life << 32, life, before=dict(disk.spent))
        self.world.on(name, timedelta(milliseconds=30), lambda: self.tick(name))

    def kill(self, name: str, wipe: bool) -> None:
        """End a head, perhaps with its disk."""
        if name == ACCOUNT:
            return
        self.world.down(name)
        if wipe:
            self.wiped += 1
            self.heads[name].disk = Disk()
            self.heads[name].identity = f"{name}/{self.wiped}"

    def start(self, name: str) -> None:
        """Start a head again."""
        if name == ACCOUNT:
            return
        self.world.up(name)
        self.boot(name, self.heads[name].identity, self.heads[name].disk)

    def tick(self, name: str) -> None:
        """A head says what there is to be said to the account."""
        here, now = self.heads[name], self.world.clock(name)
        if here.saying is None:
            if not here.begun:
                self.say(
                    name,
                    RegisterHead(name, here.identity, here.over, self.next(here), tuple(here.disk.spent)),
                    lambda answer: self.begun(name, answer),
                )
            else:
                turns = here.holder.due_reports(now)
                if turns:
                    self.say(
                        name,
                        CreditReport(name, here.identity, self.next(here), tuple(turns)),
                        lambda answer: self.granted(name, turns, answer, now),
                    )
        self.world.on(name, timedelta(milliseconds=50), lambda: self.tick(name))

    @staticmethod
    def next(here: Here) -> int:
        """The number of a head's next word."""
        here.number += 1
        return here.number

    def begun(self, name: str, answer: bytes) -> None:
        """The account has heard a head's first word: settle what the process before had spent."""
        here = self.heads[name]
        before = here.before
        booked = msgspec.msgpack.decode(answer, type=CommandResult)
        if not booked.ok:
            here.over = booked.reason  # said again with the next tick
            return
        if not before:
            here.begun = True
            return
        turn = CustomerReport("", (), tuple(Settlement(id, spent, True) for id, spent in before.items()))

        def settled(_: bytes) -> None:
            for id in before:
                here.disk.end(id)
            here.begun, here.before = True, {}

        self.say(name, CreditReport(name, here.identity, self.next(here), (turn,)), settled)

    def say(self, name: str, command: CreditReport | RegisterHead, answered: Callable[[bytes], None]) -> None:
        """One word, again and again under its number, until it is answered."""
        here = self.heads[name]
        here.saying = command.number

        def send() -> None:
            if here.saying != command.number or self.heads[name] is not here:
                return
            self.world.send(name, ACCOUNT, arrive)
            self.world.on(name, AGAIN, send)

        def arrive() -> None:
            # the agreement forgets answers in the end: then the number alone guards against doing it twice
            id = f"{here.identity}/{command.number}"
            if self.world.draws.random() < 0.05:
                self.answers.pop(id, None)
            answer = self.apply(command, id)
            self.world.send(ACCOUNT, name, lambda: back(answer))

        def back(answer: bytes) -> None:
            if self.heads[name] is here and here.saying == command.number:
                here.saying = None
                answered(answer)

        send()

    def granted(self, name: str, turns: list[CustomerReport], answer: bytes, asked_at: timedelta) -> None:
        """The account has answered a head's turns."""
        here, now = self.heads[name], self.world.clock(name)
        grants = msgspec.msgpack.decode(answer, type=Grants).grants
        for turn, grant in zip(turns, grants, strict=False):
            here.holder.apply_grant(turn, grant, asked_at, now)
            here.asked_at[grant.allotment] = asked_at
        for turn in turns[len(grants) :]:
            here.holder.forget_report(turn)
            here.begun, here.over = False, here.identity

    # -- requests -----------------------------------------------------------------------------------------
    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        """One request: taken or turned away now, answered a little later; some never reach a node."""
        world, here = self.world, self.heads[name]
        machine = world.machines[name]
        if not machine.up or machine.paused_until > world.now:
            return
        self.count += 1
        id, now = f"r{self.count}", world.clock(name)
        if here.holder.reserve(id, customer, charge, rank, now) is not None:
            self.turned += 1
            return
        self.taken += 1
        reservation = here.holder.reservations.get(id)
        # Promise: nothing is taken from an allotment after its time, counted from its asking.
        if reservation is not None and now > here.asked_at[reservation.allotment.id] + LEASE:
            raise Broken(f"{name} took from {reservation.allotment.id} after it had expired")
        sent = world.draws.random() < self.sent

        def attempt() -> None:
            self.end(name, here, id, customer, charge, sent)

        world.on(name, timedelta(seconds=world.draws.uniform(0.01, 0.4)), attempt)

    def end(self, name: str, here: Here, id: str, customer: str, charge: int, sent: bool) -> None:
        """A request ends; what was charged is held against what should be."""
        before = here.holder.charged
        here.holder.settle(id, sent or self.charged_if_unsent)
        charged = here.holder.charged - before
        # Promise: once a request, and only where an attempt may have run.
        if charged != (charge if sent else 0):
            raise Broken(f"{id} of {charge} was charged {charged}")
        self.true[customer] += charged
        self.check(customer)

    def check(self, customer: str) -> None:
        """Promise: what was charged never passes what was paid in (here with no overdraft)."""
        over = self.true[customer] - self.paid[customer]
        self.overspent = max(self.overspent, over)
        if over > 0 and not self.returned:
            raise Broken(f"{customer} was charged {self.true[customer]} of {self.paid[customer]} paid in")

    def load(self, until: timedelta, every: timedelta) -> None:
        """Requests, now and then many at once, on few customers."""
        draws = self.world.draws
        if self.world.now >= until:
            return
        for _ in range(draws.choice([1, 1, 1, 8])):
            # where there are many customers, most are idle
            customer = int(self.customers * draws.random() ** (1 if self.customers < 10 else 12))
            names = self.names
            # uneven: a customer comes through one head above all, and which one that is changes every 5 s
            turn = int(self.world.now / timedelta(seconds=5)) + customer
            name = (
                names[(int(len(names) * draws.random() ** 4) + turn) % len(names)]
                if self.uneven
                else draws.choice(names)
            )
            self.request(name, f"c{customer}", draws.randint(1, 9), draws.randrange(3))
        self.world.at(every * draws.uniform(0.2, 1.8), lambda: self.load(until, every))

    # -- at the end ---------------------------------------------------------------------------------------
    def check_settled(self) -> None:
        """Promise: balance = paid in - charged, exactly; where a disk was lost, what it held is charged
        too.
        """
        for name, account in self.ledger.accounts.items():
            if account.outstanding:
                raise Broken(f"{name} still has allotments out: {account.outstanding}")
            if account.paid != self.paid[name]:
                raise Broken(f"{name}: {account.paid} booked of {self.paid[name]} paid in")
            lost = account.charged - self.true[name]
            if lost < 0 or (lost and not self.wiped):
                raise Broken(f"{name}: the account was charged {account.charged}, clients {self.true[name]}")
