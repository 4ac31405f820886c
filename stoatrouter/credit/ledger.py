"""The account of each customer, the same at every head: what was paid in, charged, and handed out to heads.

One sentence for each promise. What is handed out, charged and free is together what was paid in plus the
overdraft, always. An allotment is handed out only from what is free, so the sum of what heads charge never
passes what was paid in plus the overdraft: not by a unit, as long as no disk forgets (docs/design/heads.md
has what a lost machine adds, and what `returned` does). An entry of one id is booked once. A head's last word
on an allotment is booked once, however late.

An allotment that has expired without a last word counts as spent: nobody else can know. Its head, when it is
back, says what was spent, and the rest goes back; if that head's disk forgot, all of it is charged, and an
operator may refund it. Where a customer is marked `returned`, it counts as unspent from its expiry on
instead; then the sum may be passed by what failed heads had spent and not said.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from stoatrouter.credit.accounts import Account, Allotment, Entry, LedgerSnapshot, size
from stoatrouter.credit.records import (
    Begin,
    Book,
    Booked,
    Command,
    DropCustomer,
    Expired,
    Grant,
    Grants,
    PutCustomer,
    Settle,
    Turn,
    Turns,
)

MOST_ENTRIES = 50_000  # ids of entries that are known; the oldest go first
MOST_CUSTOMERS = 20_000
CORRECTION = "correction"  # the kind of entry that may be negative (or 0)


@dataclass(slots=True)
class Ledger:
    """Applies commands. Nothing here depends on when, where or by whom it is run."""

    accounts: dict[str, Account] = field(default_factory=dict)
    entries: OrderedDict[str, Entry] = field(default_factory=OrderedDict)
    customers: dict[str, str] = field(default_factory=dict)  # by volume
    places: dict[str, str] = field(default_factory=dict)  # customers, by allotment
    # by head: the identity under which it is heard, and the number of its last word
    heads: dict[str, tuple[str, int]] = field(default_factory=dict)
    read: msgspec.msgpack.Decoder = field(default_factory=lambda: msgspec.msgpack.Decoder(Command))

    def customers_of(self, volume: str) -> str | None:
        """Whose volume it is; None: nobody's."""
        return self.customers.get(volume)

    def allotment(self, id: str) -> Allotment:
        """An allotment that is out; raises KeyError where there is none."""
        return self.accounts[self.places[id]].out[id]

    # -- a part of what the heads agree on ----------------------------------------------------------------
    def apply(self, index: int, body: bytes) -> bytes:
        """Apply one command; its answer."""
        command = self.read.decode(body)
        match command:
            case PutCustomer():
                answer = self.put(command)
            case DropCustomer():
                answer = self.drop(command)
            case Book():
                answer = self.book(index, command)
            case Turns():
                answer = self.turns(index, command)
            case Expired():
                answer = self.expired(command)
            case Begin():
                answer = self.begin(command)
        return msgspec.msgpack.encode(answer)

    def state(self) -> bytes:
        """All accounts, for a snapshot."""
        return msgspec.msgpack.encode(
            LedgerSnapshot(list(self.accounts.values()), list(self.entries.values()), self.heads)
        )

    def restore(self, state: bytes) -> None:
        """Replace everything by a snapshot's state; b"" is that of a fleet just founded."""
        snapshot = msgspec.msgpack.decode(state, type=LedgerSnapshot) if state else LedgerSnapshot([], [], {})
        self.heads = snapshot.heads
        self.accounts = {account.name: account for account in snapshot.accounts}
        self.entries = OrderedDict((entry.id, entry) for entry in snapshot.entries)
        self.customers = {v: a.name for a in snapshot.accounts for v in a.volumes}
        self.places = {id: a.name for a in snapshot.accounts for id in a.out}

    # -- operators ----------------------------------------------------------------------------------------
    def put(self, command: PutCustomer) -> Booked:
        """Make a customer, or change what is said of it."""
        if command.overdraft < 0 or command.low_water < 0:
            return Booked(False, "overdraft and low_water are 0 or more")
        account = self.accounts.get(command.name)
        if account is None:
            if len(self.accounts) >= MOST_CUSTOMERS:
                return Booked(False, f"there are {MOST_CUSTOMERS} customers already")
            account = self.accounts[command.name] = Account(command.name, [])
        for volume in account.volumes:
            del self.customers[volume]
        account.volumes = sorted(set(command.volumes))
        for volume in account.volumes:
            if (before := self.customers.get(volume)) is not None:
                self.accounts[before].volumes.remove(volume)
            self.customers[volume] = command.name
        account.overdraft, account.low_water = command.overdraft, command.low_water
        account.returned, account.open = command.returned, True
        return Booked(True, balance=account.balance)

    def drop(self, command: DropCustomer) -> Booked:
        """Close a customer's account."""
        account = self.accounts.get(command.name)
        if account is None:
            return Booked(False, f"there is no customer {command.name!r}")
        for volume in account.volumes:
            del self.customers[volume]
        account.volumes, account.open = [], False
        self._forget(account)
        return Booked(True, balance=account.balance)

    def _forget(self, account: Account) -> None:
        """A customer that was dropped goes once nothing of it is out."""
        if not account.open and not account.out:
            self.accounts.pop(account.name, None)

    def book(self, index: int, command: Book) -> Booked:
        """Book an entry, once under its id."""
        before = self.entries.get(command.id)
        account = self.accounts.get(command.customer)
        if before is not None:
            same = (before.customer, before.amount, before.kind) == (
                command.customer,
                command.amount,
                command.kind,
            )
            balance = account.balance if account is not None else 0
            return Booked(same, "" if same else f"{command.id!r} was booked otherwise", balance, again=True)
        if account is None or not account.open:
            return Booked(False, f"there is no customer {command.customer!r}")
        if command.kind != CORRECTION and command.amount <= 0:
            return Booked(False, f"a {command.kind} is more than 0")
        account.paid += command.amount
        self.entries[command.id] = Entry(
            index,
            command.id,
            command.customer,
            command.amount,
            command.kind,
            command.by,
            command.why,
            command.when,
        )
        if len(self.entries) > MOST_ENTRIES:
            self.entries.popitem(last=False)
        return Booked(True, balance=account.balance)

    # -- heads --------------------------------------------------------------------------------------------
    def turns(self, index: int, command: Turns) -> Grants:
        """Take in what a head says of its customers, and hand out what it wants."""
        # Guards the sum: what a head said before its last word is no news, in whatever order it comes.
        if not self._heard(command.head, command.identity, command.number):
            return Grants(())
        grants = []
        for number, turn in enumerate(command.turns):
            for settle in turn.settles:
                self.settle(command.identity, settle)
            self.drop_unknown(command.identity, turn.customer, turn.holds)
            grants.append(self.grant(f"{index}.{number}", command, turn))
        return Grants(tuple(grants))

    def _heard(self, head: str, identity: str, number: int) -> bool:
        """Whether this is a word of the identity that stands, later than its last one."""
        stands, last = self.heads.get(head, (identity, -1))
        if identity != stands or number <= last:
            return False
        self.heads[head] = (identity, number)
        return True

    def settle(self, identity: str, settle: Settle) -> None:
        """Book what a head says of an allotment. What is not out any more was booked before."""
        account = self.accounts.get(self.places.get(settle.allotment, ""))
        allotment = account.out.get(settle.allotment) if account is not None else None
        if account is None or allotment is None or allotment.identity != identity:
            return
        # Guards the sum: a head spends no more than it was given, whatever it says, and never takes back.
        spent = max(allotment.spent, min(settle.spent, allotment.amount))
        account.charged += spent - allotment.spent
        allotment.spent = spent
        if settle.final:
            self._close(account, settle.allotment)

    def drop_unknown(self, identity: str, customer: str, holds: tuple[str, ...]) -> None:
        """An allotment whose grant its head never heard of was never spent from."""
        account = self.accounts.get(customer)
        if account is not None:
            for id in [i for i, a in account.out.items() if a.identity == identity and i not in holds]:
                self._close(account, id)

    def _close(self, account: Account, allotment: str) -> None:
        del account.out[allotment], self.places[allotment]
        self._forget(account)

    def grant(self, id: str, command: Turns, turn: Turn) -> Grant:
        """Hand out an allotment, as far as there is something."""
        account = self.accounts.get(turn.customer)
        if account is None:
            return Grant(turn.customer, "", 0, 0, 0, known=False)
        amount = size(account, command.head, turn.want, turn.least) if account.open and turn.want > 0 else 0
        if amount > 0:
            account.out[id] = Allotment(account.name, command.head, command.identity, amount)
            self.places[id] = account.name
        return Grant(
            account.name, id if amount > 0 else "", amount, account.balance, account.low_water, account.open
        )

    def expired(self, command: Expired) -> Booked:
        """Note that the time of allotments is over."""
        for id in command.allotments:
            account = self.accounts.get(self.places.get(id, ""))
            if account is not None:
                account.out[id].expired = True
        return Booked(True)

    def begin(self, command: Begin) -> Booked:
        """Take in that a head began, perhaps with a new disk (a new identity).

        What an earlier disk of the head had reserved, nobody can tell any more: it is charged (or returned,
        for a customer marked `returned` once it has expired). What this disk never heard of was never
        spent from, and is closed.

        Args:
            command: The head, its disk's identity, the identity it takes over from, and the allotments
                its disk knows of.

        Returns:
            `Booked(True)`; or `Booked(False, identity)` with the identity that stands, where the command's
            identity is neither that one nor takes over from it (the first word of an earlier disk, late).
        """
        stands, last = self.heads.get(command.head, ("", -1))
        # Guards a head against its own past: the first word of an earlier disk may come late.
        if command.identity and command.identity != stands and command.over != stands:
            return Booked(False, stands)
        if command.identity and command.identity == stands and command.number <= last:
            return Booked(True)
        self.heads[command.head] = (command.identity, command.number if command.identity else -1)
        for account in list(self.accounts.values()):
            for id, allotment in list(account.out.items()):
                if allotment.head != command.head or id in command.holds:
                    continue
                if allotment.identity != command.identity and not (account.returned and allotment.expired):
                    account.charged += allotment.amount - allotment.spent
                self._close(account, id)
        return Booked(True)
