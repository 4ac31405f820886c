"""Simulated heads with credit escrows, and one account: checks charges against payments.

Charges are counted here at each final answer, independently of the state of escrows and of the account.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import PutCustomer
from stoatrouter.lab.fleet.credit_account import ACCOUNT, EXPIRY_INTERVAL, LEASE, CreditAccount
from stoatrouter.lab.fleet.credit_head import CreditDisk, CreditHead
from stoatrouter.lab.fleet.errors import InvariantViolated
from stoatrouter.lab.fleet.world import World

LOW_WATER = 200
# With an uneven load, the preferred head of a customer changes at this interval.
PREFERRED_HEAD_INTERVAL = timedelta(seconds=5)
SKEWED_LOAD_CUSTOMERS = 10  # from this number of customers on, most of them are idle
RANKS = 3  # number of priority ranks


@dataclass(slots=True, frozen=True)
class Reserved:
    """A request whose charge is reserved."""

    id: str
    customer: str
    charge: int
    is_sent: bool  # whether an attempt reaches a node, so that it may run


@dataclass
class CreditFleet:
    """Heads with credit of customers, and one account that never fails.

    `make_escrow` and `make_ledger` create the parts of the program; tests pass mutants to show that the
    invariants are checked.
    """

    world: World  # with a machine for the account
    customers: int = 2
    refund_expired: bool = False  # customers get back what failed heads held, and may overspend by it
    make_escrow: Callable[..., HeadEscrow] = HeadEscrow
    make_ledger: Callable[[], Ledger] = Ledger
    charged_if_unsent: bool = False  # a mutant: also charges requests that never reached a node
    uneven: bool = False  # most requests of a customer go to one preferred head
    sent_fraction: float = 0.9  # fraction of the admitted requests that reach a node
    heads: dict[str, CreditHead] = field(default_factory=dict)
    charged: dict[str, int] = field(default_factory=dict)  # counted at final answers, by customer
    paid: dict[str, int] = field(default_factory=dict)  # by customer
    wiped_disks: int = 0
    admitted: int = 0  # number of requests
    rejected: int = 0
    overspent: int = 0  # maximum amount by which charges of a customer exceeded its payments

    def __post_init__(self) -> None:
        """Create the customers and start all heads."""
        self.account = self.make_account()
        for i in range(self.customers):
            name = f"c{i}"
            self.charged[name] = 0
            self.paid[name] = 0
            customer = PutCustomer(name, (f"v{i}",), low_water=LOW_WATER, refund_expired=self.refund_expired)
            self.account.apply(customer, f"put{i}")
        for name in self.names:
            self.boot(name, f"{name}/0", CreditDisk())
        self.world.schedule(EXPIRY_INTERVAL, self.account.expire_allotments)

    def make_account(self) -> CreditAccount:
        """Create the account."""
        return CreditAccount(self.world, self.make_ledger())

    @property
    def names(self) -> list[str]:
        """Return the names of all heads."""
        return [name for name in self.world.names if name != ACCOUNT]

    # -- heads --------------------------------------------------------------------------------------------
    def boot(self, name: str, identity: str, disk: CreditDisk) -> None:
        """Start a head with the contents of its disk."""
        escrow = self.make_escrow(LEASE, disk)
        self.heads[name] = CreditHead(
            self.world, self.account, name, identity, disk, escrow, self._is_current
        )

    def _is_current(self, head: CreditHead) -> bool:
        return self.heads[head.name] is head

    def kill(self, name: str, wipe: bool) -> None:
        """Kill a head, and lose its disk if `wipe` is set; the account cannot be killed."""
        if name == ACCOUNT:
            return
        self.world.stop_machine(name)
        if wipe:
            self.wiped_disks += 1
            self.heads[name].disk = CreditDisk()
            self.heads[name].identity = f"{name}/{self.wiped_disks}"

    def start(self, name: str) -> None:
        """Restart a head."""
        if name == ACCOUNT:
            return
        self.world.start_machine(name)
        self.boot(name, self.heads[name].identity, self.heads[name].disk)

    # -- customers ----------------------------------------------------------------------------------------
    def pay(self, customer: str, amount: int) -> None:
        """Top up a customer; the amount counts as paid from now on, as it may be booked at any time."""
        id = f"t{next(self.account.numbers)}"
        self.paid[customer] += amount
        self.account.top_up(customer, amount, id)

    def load(self, until: timedelta, mean_interval: timedelta) -> None:
        """Make requests until a time, sometimes in bursts; of many customers, few make most requests."""
        rng = self.world.rng
        if self.world.now >= until:
            return
        for _ in range(rng.choice([1, 1, 1, 8])):
            skew = 1 if self.customers < SKEWED_LOAD_CUSTOMERS else 12
            customer = int(self.customers * rng.random() ** skew)
            head = self._choose_head(customer)
            self.request(head, f"c{customer}", rng.randint(1, 9), rng.randrange(RANKS))
        interval = mean_interval * rng.uniform(0.2, 1.8)
        self.world.schedule(interval, lambda: self.load(until, mean_interval))

    def _choose_head(self, customer: int) -> str:
        names, rng = self.names, self.world.rng
        if not self.uneven:
            return rng.choice(names)
        preferred = int(self.world.now / PREFERRED_HEAD_INTERVAL) + customer
        return names[(int(len(names) * rng.random() ** 4) + preferred) % len(names)]

    # -- requests -----------------------------------------------------------------------------------------
    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        """Make one request at a head: it is admitted or rejected now and answered later."""
        world, head = self.world, self.heads[name]
        if not world.is_running(name):
            return
        id = f"r{next(self.account.numbers)}"
        now = world.clock(name)
        if head.escrow.reserve(id, customer, charge, rank, now) is not None:
            self.rejected += 1
            return
        self.admitted += 1
        self._check_not_expired(head, id, now)
        request = Reserved(id, customer, charge, world.rng.random() < self.sent_fraction)
        time_to_answer = timedelta(seconds=world.rng.uniform(0.01, 0.4))
        world.schedule_on(name, time_to_answer, lambda: self._end_request(head, request))

    def _end_request(self, head: CreditHead, request: Reserved) -> None:
        charged_before = head.escrow.charged
        head.escrow.settle(request.id, request.is_sent or self.charged_if_unsent)
        charged = head.escrow.charged - charged_before
        self._check_charge(request, charged)
        self.charged[request.customer] += charged
        self.check_not_overspent(request.customer)

    # -- invariants ---------------------------------------------------------------------------------------
    def _check_not_expired(self, head: CreditHead, request: str, now: timedelta) -> None:
        """Check that nothing is reserved from an allotment after its lease, counted from its request."""
        reservation = head.escrow.reservations.get(request)
        if reservation is None:
            return
        allotment = reservation.allotment.id
        if now > head.asked_at[allotment] + LEASE:
            raise InvariantViolated(f"{head.name} reserved from {allotment} after it had expired")

    def _check_charge(self, request: Reserved, charged: int) -> None:
        """Check that a request is charged once, and only if an attempt may have run."""
        if charged != (request.charge if request.is_sent else 0):
            raise InvariantViolated(f"{request.id} of {request.charge} was charged {charged}")

    def check_not_overspent(self, customer: str) -> None:
        """Check that a customer is never charged more than was paid in (there is no overdraft here).

        Raises:
            InvariantViolated: The customer is, and does not get back what failed heads held.
        """
        charged, paid = self.charged[customer], self.paid[customer]
        self.overspent = max(self.overspent, charged - paid)
        if charged > paid and not self.refund_expired:
            raise InvariantViolated(f"{customer} was charged {charged} of {paid} paid in")

    def check_settled(self) -> None:
        """Check at the end that paid and charged amounts of each account are exactly those counted here.

        If a disk was lost, what its head held may be charged too.

        Raises:
            InvariantViolated: An account has outstanding allotments, or its amounts differ.
        """
        for name, account in self.account.ledger.accounts.items():
            if account.outstanding:
                raise InvariantViolated(f"{name} still has outstanding allotments: {account.outstanding}")
            if account.paid != self.paid[name]:
                raise InvariantViolated(f"{name}: {account.paid} booked of {self.paid[name]} paid in")
            charged = self.charged[name]
            lost = account.charged - charged
            if lost < 0 or (lost and not self.wiped_disks):
                raise InvariantViolated(
                    f"{name}: the account was charged {account.charged}, clients {charged}"
                )
