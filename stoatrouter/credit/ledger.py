"""The ledger: the replicated accounts of all customers, with payments, charges and allotments to heads.

Invariants:

- Granted, charged and free amounts always add up to the paid amount plus the overdraft.
- An allotment is granted only from free credit. So the total that heads charge never exceeds the paid amount
  plus the overdraft, as long as no disk loses data (docs/design/heads.md describes the effects of a lost
  machine and of `refund_expired`).
- An entry with one id is booked once.
- A head's final settlement of an allotment is booked once, however late it arrives.

An allotment that has expired without a final settlement counts as spent, because only its head knows what was
spent. When that head returns it reports the spent amount, and the rest is released. If the head's disk has
lost the allotment, all of it is charged, and an operator may refund it. For a customer with `refund_expired`
the allotment counts as unspent from its expiry instead; the total may then be exceeded by what failed heads
had spent without reporting it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from stoatrouter.credit.accounts import (
    Account,
    Allotment,
    Entry,
    HeadRegistration,
    LedgerSnapshot,
    allotment_size,
)
from stoatrouter.credit.errors import UnknownAllotment
from stoatrouter.credit.records import (
    BookEntry,
    Command,
    CommandResult,
    CreditReport,
    CustomerReport,
    DropCustomer,
    Expired,
    Grant,
    Grants,
    PutCustomer,
    RegisterHead,
    Settlement,
)

MAX_ENTRIES = 50_000  # entries whose ids are retained; the oldest are dropped
MAX_CUSTOMERS = 20_000
CORRECTION = "correction"  # the only kind of entry whose amount may be 0 or negative
COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


@dataclass(slots=True)
class Ledger:
    """Applies committed commands. The result depends only on the state and the command."""

    accounts: dict[str, Account] = field(default_factory=dict)
    entries: OrderedDict[str, Entry] = field(default_factory=OrderedDict)
    customer_by_volume: dict[str, str] = field(default_factory=dict)
    customer_by_allotment: dict[str, str] = field(default_factory=dict)  # of those outstanding
    heads: dict[str, HeadRegistration] = field(default_factory=dict)

    def customer_of(self, volume: str) -> str | None:
        """Return the customer that a volume belongs to; None if there is none."""
        return self.customer_by_volume.get(volume)

    def allotment(self, id: str) -> Allotment:
        """Return an outstanding allotment; raise UnknownAllotment if there is none with this id."""
        account = self._account_of_allotment(id)
        if account is None:
            raise UnknownAllotment(id)
        return account.outstanding[id]

    def registered_identity(self, head: str) -> str:
        """Return the identity under which a head is registered; "" if it is not registered."""
        registration = self.heads.get(head)
        return "" if registration is None else registration.identity

    def _account_of_allotment(self, id: str) -> Account | None:
        return self.accounts.get(self.customer_by_allotment.get(id, ""))

    # -- a part of the replicated state machine -----------------------------------------------------------
    def apply(self, index: int, body: bytes) -> bytes:
        """Apply one committed command; return the encoded answer."""
        return msgspec.msgpack.encode(self._apply_command(index, COMMAND_DECODER.decode(body)))

    def _apply_command(self, index: int, command: Command) -> CommandResult | Grants:
        match command:
            case PutCustomer():
                return self.put_customer(command)
            case DropCustomer():
                return self.drop_customer(command)
            case BookEntry():
                return self.book_entry(index, command)
            case CreditReport():
                return self.apply_report(index, command)
            case Expired():
                return self.mark_expired(command)
            case RegisterHead():
                return self.register_head(command)

    def state(self) -> bytes:
        """Encode the whole ledger for a snapshot."""
        return msgspec.msgpack.encode(
            LedgerSnapshot(list(self.accounts.values()), list(self.entries.values()), self.heads)
        )

    def restore(self, state: bytes) -> None:
        """Replace the whole ledger by a snapshot's state; b"" is the initial state of a new fleet."""
        snapshot = LedgerSnapshot([], [], {})
        if state:
            snapshot = msgspec.msgpack.decode(state, type=LedgerSnapshot)
        self.heads = snapshot.heads
        self.accounts = {account.name: account for account in snapshot.accounts}
        self.entries = OrderedDict((entry.id, entry) for entry in snapshot.entries)
        self.customer_by_volume = {
            volume: account.name for account in snapshot.accounts for volume in account.volumes
        }
        self.customer_by_allotment = {
            id: account.name for account in snapshot.accounts for id in account.outstanding
        }

    # -- operators ----------------------------------------------------------------------------------------
    def put_customer(self, command: PutCustomer) -> CommandResult:
        """Create a customer, or replace its settings."""
        if command.overdraft < 0 or command.low_water < 0:
            return CommandResult(False, "overdraft and low_water are 0 or more")
        account = self.accounts.get(command.name)
        if account is None:
            if len(self.accounts) >= MAX_CUSTOMERS:
                return CommandResult(False, f"there are {MAX_CUSTOMERS} customers already")
            account = self.accounts[command.name] = Account(command.name, [])
        self._assign_volumes(account, sorted(set(command.volumes)))
        account.overdraft = command.overdraft
        account.low_water = command.low_water
        account.refund_expired = command.refund_expired
        account.open = True
        return CommandResult(True, balance=account.balance)

    def _assign_volumes(self, account: Account, volumes: list[str]) -> None:
        """Set the volumes of a customer; each is removed from the customer that it belonged to."""
        for volume in account.volumes:
            del self.customer_by_volume[volume]
        account.volumes = volumes
        for volume in volumes:
            if (before := self.customer_by_volume.get(volume)) is not None:
                self.accounts[before].volumes.remove(volume)
            self.customer_by_volume[volume] = account.name

    def drop_customer(self, command: DropCustomer) -> CommandResult:
        """Close a customer's account; it is removed once no allotment is outstanding."""
        account = self.accounts.get(command.name)
        if account is None:
            return CommandResult(False, f"there is no customer {command.name!r}")
        self._assign_volumes(account, [])
        account.open = False
        self._remove_if_settled(account)
        return CommandResult(True, balance=account.balance)

    def _remove_if_settled(self, account: Account) -> None:
        """Remove a closed account without outstanding allotments."""
        if not account.open and not account.outstanding:
            self.accounts.pop(account.name, None)

    def book_entry(self, index: int, command: BookEntry) -> CommandResult:
        """Book an entry, once for each id; `index` is the log index of the command."""
        booked = self.entries.get(command.id)
        if booked is not None:
            return self._answer_duplicate(booked, command)
        account = self.accounts.get(command.customer)
        if account is None or not account.open:
            return CommandResult(False, f"there is no customer {command.customer!r}")
        if command.kind != CORRECTION and command.amount <= 0:
            return CommandResult(False, f"a {command.kind} is more than 0")
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
        if len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return CommandResult(True, balance=account.balance)

    def _answer_duplicate(self, booked: Entry, command: BookEntry) -> CommandResult:
        """Return the answer to an entry whose id was booked before: rejected unless the entry is the same."""
        account = self.accounts.get(command.customer)
        balance = account.balance if account is not None else 0
        same = (
            booked.customer == command.customer
            and booked.amount == command.amount
            and booked.kind == command.kind
        )
        reason = "" if same else f"{command.id!r} was booked otherwise"
        return CommandResult(same, reason, balance, repeated=True)

    # -- heads --------------------------------------------------------------------------------------------
    def apply_report(self, index: int, command: CreditReport) -> Grants:
        """Settle the spending that a head reports, and grant the requested allotments if credit is free.

        Args:
            index: The log index of the command; it is part of the new allotments' ids.
            command: The report.

        Returns:
            One grant for each customer; none if the report is ignored because it is repeated, late or under
            another identity than the registered one.
        """
        # A report older than the latest one must not be booked, in whatever order reports arrive.
        if not self._accept_report(command.head, command.identity, command.number):
            return Grants(())
        grants = []
        for position, report in enumerate(command.reports):
            for settlement in report.settlements:
                self.settle(command.identity, settlement)
            self.close_unknown(command.identity, report.customer, report.allotments)
            grants.append(self.grant(f"{index}.{position}", command, report))
        return Grants(tuple(grants))

    def _accept_report(self, head: str, identity: str, number: int) -> bool:
        """Record a report's number if it is the registered identity's and later than its latest report.

        Returns whether it is.
        """
        registration = self.heads.get(head, HeadRegistration(identity, -1))
        if identity != registration.identity or number <= registration.number:
            return False
        self.heads[head] = HeadRegistration(identity, number)
        return True

    def settle(self, identity: str, settlement: Settlement) -> None:
        """Charge the spending that a head reports; one that is not outstanding was settled before."""
        account = self._account_of_allotment(settlement.allotment)
        if account is None:
            return
        allotment = account.outstanding.get(settlement.allotment)
        if allotment is None or allotment.identity != identity:
            return
        # Bounds the charge: a report can neither exceed the granted amount nor reduce what was reported.
        spent = max(allotment.spent, min(settlement.spent, allotment.amount))
        account.charged += spent - allotment.spent
        allotment.spent = spent
        if settlement.final:
            self._close(account, settlement.allotment)

    def close_unknown(self, identity: str, customer: str, known: tuple[str, ...]) -> None:
        """Close the allotments that are not among their head's: the grant was lost, so nothing was spent."""
        account = self.accounts.get(customer)
        if account is None:
            return
        unknown = [
            id
            for id, allotment in account.outstanding.items()
            if allotment.identity == identity and id not in known
        ]
        for id in unknown:
            self._close(account, id)

    def _close(self, account: Account, allotment: str) -> None:
        del account.outstanding[allotment]
        del self.customer_by_allotment[allotment]
        self._remove_if_settled(account)

    def grant(self, id: str, command: CreditReport, report: CustomerReport) -> Grant:
        """Grant an allotment with this id if there is free credit."""
        account = self.accounts.get(report.customer)
        if account is None:
            return Grant(report.customer, "", 0, 0, 0, known=False)
        amount = 0
        if account.open and report.wanted > 0:
            amount = allotment_size(account, command.head, report.wanted, report.min_useful)
        if amount > 0:
            account.outstanding[id] = Allotment(account.name, command.head, command.identity, amount)
            self.customer_by_allotment[id] = account.name
        allotment = id if amount > 0 else ""
        return Grant(account.name, allotment, amount, account.balance, account.low_water, account.open)

    def mark_expired(self, command: Expired) -> CommandResult:
        """Mark allotments as expired."""
        for id in command.allotments:
            account = self._account_of_allotment(id)
            if account is not None:
                account.outstanding[id].expired = True
        return CommandResult(True)

    def register_head(self, command: RegisterHead) -> CommandResult:
        """Register a head that has started, possibly with a new disk and so with a new identity.

        The spending of an earlier disk of the head is no longer known: its allotments are charged in full, or
        refunded if they have expired and their customer has `refund_expired`. Allotments of this identity
        that are not on its disk were never spent from, and are closed.

        Args:
            command: The head, its disk's identity, the identity that it replaces, and the allotments on its
                disk.

        Returns:
            `CommandResult(True)`; or `CommandResult(False, identity)` with the registered identity, if the
            command's identity is not the registered one and does not replace it (a late command of an
            earlier disk).
        """
        registration = self.heads.get(command.head, HeadRegistration("", -1))
        if command.identity:
            # A late registration of an earlier disk must not replace that of the current one.
            if registration.identity not in (command.identity, command.predecessor):
                return CommandResult(False, registration.identity)
            if command.identity == registration.identity and command.number <= registration.number:
                return CommandResult(True)
        number = command.number if command.identity else -1
        self.heads[command.head] = HeadRegistration(command.identity, number)
        for account in list(self.accounts.values()):
            self._close_lost(account, command)
        return CommandResult(True)

    def _close_lost(self, account: Account, command: RegisterHead) -> None:
        """Close a customer's allotments that the head no longer holds; charge those of an earlier disk."""
        for id, allotment in list(account.outstanding.items()):
            if allotment.head != command.head or id in command.allotments:
                continue
            refunded = account.refund_expired and allotment.expired
            if allotment.identity != command.identity and not refunded:
                account.charged += allotment.unreported
            self._close(account, id)
