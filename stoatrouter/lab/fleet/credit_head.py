"""One head of a simulated fleet with credit: its escrow, its disk and its numbered calls to the account."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.records import (
    CommandResult,
    CreditReport,
    CustomerReport,
    Grants,
    RegisterHead,
    Settlement,
)
from stoatrouter.lab.fleet.credit_account import ACCOUNT, RETRY_INTERVAL, CreditAccount
from stoatrouter.lab.fleet.world import World

FIRST_TICK = timedelta(milliseconds=30)
TICK = timedelta(milliseconds=50)


@dataclass(slots=True)
class CreditDisk:
    """What survives a head process: the amount spent of each allotment; a `SpentStore`."""

    spent: dict[str, int] = field(default_factory=dict)
    log: list[bytes] = field(default_factory=list)  # committed commands, if heads follow the ledger

    def begin(self, allotment: str) -> bool:
        """Record an allotment; there is always space for one more."""
        self.spent[allotment] = 0
        return True

    def set(self, allotment: str, spent: int) -> None:
        """Record the total amount spent of an allotment."""
        self.spent[allotment] = spent

    def end(self, allotment: str) -> None:
        """Delete the record of an allotment."""
        self.spent.pop(allotment, None)


@dataclass(eq=False)
class CreditHead:
    """One incarnation of a head. Replies that arrive after the next incarnation has started are dropped."""

    world: World
    account: CreditAccount
    name: str
    identity: str  # of its disk
    disk: CreditDisk
    escrow: HeadEscrow
    is_current: Callable[[CreditHead], bool]  # whether no later incarnation has started
    number: int = 0  # of the last call
    is_registered: bool = False  # registered at the account, and the previous incarnation is settled
    spent_before: dict[str, int] = field(default_factory=dict)  # by earlier incarnations, by allotment
    predecessor: str = ""  # the identity that this one replaces
    pending_call: int | None = None  # number of the call that has no reply yet
    asked_at: dict[str, timedelta] = field(default_factory=dict)  # by allotment, on this clock

    def __post_init__(self) -> None:
        """Choose the first call number from the incarnation, and schedule the first tick."""
        self.number = self.world.machines[self.name].incarnation << 32
        self.spent_before = dict(self.disk.spent)
        self.world.schedule_on(self.name, FIRST_TICK, self.tick)

    def tick(self) -> None:
        """Call the account unless a call is pending, and schedule the next tick."""
        now = self.world.clock(self.name)
        if self.pending_call is None:
            if not self.is_registered:
                self._call_register()
            elif reports := self.escrow.due_reports(now):
                self._call_report(reports, now)
        self.world.schedule_on(self.name, TICK, self.tick)

    # -- calls --------------------------------------------------------------------------------------------
    def _next_number(self) -> int:
        self.number += 1
        return self.number

    def _call_register(self) -> None:
        held = tuple(self.disk.spent)
        command = RegisterHead(self.name, self.identity, self.predecessor, self._next_number(), held)
        self._call(command, self._on_registered)

    def _on_registered(self, reply: bytes) -> None:
        """Settle what the previous incarnation had spent, now that the account knows this one."""
        result = msgspec.msgpack.decode(reply, type=CommandResult)
        if not result.ok:
            self.predecessor = result.reason  # sent with the next tick
            return
        spent_before = self.spent_before
        if not spent_before:
            self.is_registered = True
            return
        report = CustomerReport(
            "", (), tuple(Settlement(id, spent, True) for id, spent in spent_before.items())
        )

        def on_settled(_: bytes) -> None:
            for id in spent_before:
                self.disk.end(id)
            self.is_registered = True
            self.spent_before = {}

        self._call(CreditReport(self.name, self.identity, self._next_number(), (report,)), on_settled)

    def _call_report(self, reports: list[CustomerReport], asked_at: timedelta) -> None:
        command = CreditReport(self.name, self.identity, self._next_number(), tuple(reports))
        self._call(command, lambda reply: self._on_granted(reports, reply, asked_at))

    def _on_granted(self, reports: list[CustomerReport], reply: bytes, asked_at: timedelta) -> None:
        """Apply grants; a report without a grant means that the account knows another identity."""
        now = self.world.clock(self.name)
        grants = msgspec.msgpack.decode(reply, type=Grants).grants
        for report, grant in zip(reports, grants, strict=False):
            self.escrow.apply_grant(report, grant, asked_at, now)
            self.asked_at[grant.allotment] = asked_at
        for report in reports[len(grants) :]:
            self.escrow.forget_report(report)
            self.is_registered = False
            self.predecessor = self.identity

    def _call(self, command: CreditReport | RegisterHead, on_reply: Callable[[bytes], None]) -> None:
        """Send a command, and resend it under the same number until a reply arrives."""
        number = command.number
        self.pending_call = number

        def is_pending() -> bool:
            return self.is_current(self) and self.pending_call == number

        def send() -> None:
            if is_pending():
                self.world.send(self.name, ACCOUNT, arrive)
                self.world.schedule_on(self.name, RETRY_INTERVAL, send)

        def arrive() -> None:
            id = f"{self.identity}/{number}"
            self.account.maybe_drop_reply(id)
            reply = self.account.apply(command, id)
            self.world.send(ACCOUNT, self.name, lambda: receive(reply))

        def receive(reply: bytes) -> None:
            if is_pending():
                self.pending_call = None
                on_reply(reply)

        send()
