"""One head of a virtual fleet with credit: its escrow, its disk, and its numbered calls to the account."""

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
    """What a head's process leaves behind: what was spent of each allotment, as an escrow's `Record`."""

    spent: dict[str, int] = field(default_factory=dict)
    log: list[bytes] = field(default_factory=list)  # of committed commands, where heads follow the ledger

    def begin(self, allotment: str) -> bool:
        """Record an allotment; there is always space for it."""
        self.spent[allotment] = 0
        return True

    def set(self, allotment: str, spent: int) -> None:
        """Record what was spent of an allotment in all."""
        self.spent[allotment] = spent

    def end(self, allotment: str) -> None:
        """Forget an allotment."""
        self.spent.pop(allotment, None)


@dataclass(eq=False)
class CreditHead:
    """One incarnation of a head. Once another one has begun, what still comes for this one is dropped."""

    world: World
    account: CreditAccount
    name: str
    identity: str  # of its disk
    disk: CreditDisk
    escrow: HeadEscrow
    is_current: Callable[[CreditHead], bool]  # whether no other incarnation has begun
    number: int = 0  # of the call made last
    has_begun: bool = False  # the account has answered `Begin`, and the last incarnation is settled
    spent_before: dict[str, int] = field(default_factory=dict)  # by an earlier incarnation, by allotment
    predecessor: str = ""  # the identity that it takes over from
    pending_call: int | None = None  # the number of the call that waits for its reply
    asked_at: dict[str, timedelta] = field(default_factory=dict)  # of each allotment, by this head's clock

    def __post_init__(self) -> None:
        """Number calls from the incarnation on, and begin to tick."""
        self.number = self.world.machines[self.name].incarnation << 32
        self.spent_before = dict(self.disk.spent)
        self.world.schedule_on(self.name, FIRST_TICK, self.tick)

    def tick(self) -> None:
        """Call the account, unless a call is pending, and again later."""
        now = self.world.clock(self.name)
        if self.pending_call is None:
            if not self.has_begun:
                self._call_begin()
            elif turns := self.escrow.due_reports(now):
                self._call_turns(turns, now)
        self.world.schedule_on(self.name, TICK, self.tick)

    # -- calls --------------------------------------------------------------------------------------------
    def _next_number(self) -> int:
        self.number += 1
        return self.number

    def _call_begin(self) -> None:
        holds = tuple(self.disk.spent)
        command = RegisterHead(self.name, self.identity, self.predecessor, self._next_number(), holds)
        self._call(command, self._on_begun)

    def _on_begun(self, reply: bytes) -> None:
        """Settle what the incarnation before had spent, now that the account knows this one."""
        booked = msgspec.msgpack.decode(reply, type=CommandResult)
        if not booked.ok:
            self.predecessor = booked.reason  # sent with the next tick
            return
        spent_before = self.spent_before
        if not spent_before:
            self.has_begun = True
            return
        turn = CustomerReport(
            "", (), tuple(Settlement(id, spent, True) for id, spent in spent_before.items())
        )

        def on_settled(_: bytes) -> None:
            for id in spent_before:
                self.disk.end(id)
            self.has_begun = True
            self.spent_before = {}

        self._call(CreditReport(self.name, self.identity, self._next_number(), (turn,)), on_settled)

    def _call_turns(self, turns: list[CustomerReport], asked_at: timedelta) -> None:
        command = CreditReport(self.name, self.identity, self._next_number(), tuple(turns))
        self._call(command, lambda reply: self._on_granted(turns, reply, asked_at))

    def _on_granted(self, turns: list[CustomerReport], reply: bytes, asked_at: timedelta) -> None:
        """Hand the grants to the escrow; turns without one mean that the account knows another identity."""
        now = self.world.clock(self.name)
        grants = msgspec.msgpack.decode(reply, type=Grants).grants
        for turn, grant in zip(turns, grants, strict=False):
            self.escrow.apply_grant(turn, grant, asked_at, now)
            self.asked_at[grant.allotment] = asked_at
        for turn in turns[len(grants) :]:
            self.escrow.forget_report(turn)
            self.has_begun = False
            self.predecessor = self.identity

    def _call(self, command: CreditReport | RegisterHead, on_reply: Callable[[bytes], None]) -> None:
        """Send a command under its number until there is a reply."""
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
            self.account.forget_reply_at_times(id)
            reply = self.account.apply(command, id)
            self.world.send(ACCOUNT, self.name, lambda: receive(reply))

        def receive(reply: bytes) -> None:
            if is_pending():
                self.pending_call = None
                on_reply(reply)

        send()
