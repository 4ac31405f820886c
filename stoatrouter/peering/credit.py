"""Prepaid credit of one head, running: draws and settles with the account, expires what is over at the
leader.

Decides nothing: what a request is charged stands in credit/escrow.py, what an account gives in
credit/ledger.py.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
from loguru import logger

from stoatrouter.core import model
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.gate import Gate, ranks
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import (
    Command,
    CommandResult,
    CreditReport,
    CustomerReport,
    Expired,
    Grants,
    RegisterHead,
    Settlement,
)
from stoatrouter.peering.agreed import NotAgreed
from stoatrouter.peering.book import SpentBook
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.settings import CreditSettings
from stoatrouter.policy import interface as api

PART = "credit"
EVERY = timedelta(milliseconds=50)
WITHIN = timedelta(seconds=3)
LAST_WORD = timedelta(milliseconds=1500)
# Leases are counted by the voters from a moment later than by their holders, and for longer by this: clocks
# that run apart by a twentieth are told from broken ones.
DRIFT, MARGIN = 1.05, timedelta(milliseconds=500)


class CreditService:
    """Runs one head's holder, and at the leader the expiry of all allotments."""

    def __init__(
        self,
        settings: CreditSettings,
        fleet: Fleet,
        ledger: Ledger,
        classes: Sequence[api.RequestClass],
        background: set[str],
        now: Callable[[], timedelta],
    ) -> None:
        # the core's time: set once at the start and monotonic since, so leases hold whatever clocks do
        self.now = now
        self.settings, self.fleet, self.ledger = settings, fleet, ledger
        path = fleet.settings.folder / "spent.book" if fleet.found.lasting else None
        self.book = SpentBook(path)
        self.before = self.book.read()  # of an earlier process
        self.holder = HeadEscrow(settings.lease, self.book)
        self.gate = Gate(self.holder, ledger.customer_of, settings.prices, ranks(classes, background))
        self.number = fleet.found.boot << 32  # of this head's words to the account
        self.begun = False
        self.kick, self.told = asyncio.Event(), asyncio.Event()
        self.seen: dict[str, timedelta] = {}  # allotments, since this head knows of them
        self.closing = False
        fleet.monitor.watchers.append(self.look)
        fleet.agreed.restored.append(self.seen.clear)  # a state that came whole: ages count anew

    def look(self) -> None:
        """What this head may do has changed: a cut-off one says so in what it refuses."""
        availability = self.fleet.monitor.latest
        self.holder.reachable = availability is not None and availability.draws

    # -- requests -----------------------------------------------------------------------------------------
    async def prepare(self, request: model.Request) -> bool:
        """Wait a moment where a customer's allotment is on its way here; whether it did."""
        holder, now = self.holder, self.now
        if not self.gate.may_wait(request, now()):
            return False
        deadline = now() + min(self.settings.wait, request.time_left / 4)
        with self.gate.waiting(request):
            while (left := deadline - now()) > timedelta(0) and self.gate.may_wait(request, now()):
                self.gate.request_allotment(request, now())
                self.kick.set()
                told = self.told
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left.total_seconds()):
                        await told.wait()
        return holder.reachable

    # -- the account --------------------------------------------------------------------------------------
    async def run(self) -> None:
        """Say what there is to be said, one word after the other."""
        while True:
            self.kick.clear()
            if self.holder.reachable:
                await self.speak()
                await self.expire()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EVERY.total_seconds()):
                    await self.kick.wait()

    async def speak(self) -> None:
        """Say what there is to be said, and take in the answer."""
        if not self.begun:
            await self.begin()
        asked_at = self.now()
        turns = self.holder.due_reports(asked_at)
        if turns:
            grants = await self.say(turns)
            # the account does not hear this head (it was written off), or an answer is lost for good
            self.begun = len(grants.grants) == len(turns)
            self.hear(turns, grants, asked_at)

    def hear(self, turns: list[CustomerReport], grants: Grants, asked_at: timedelta) -> None:
        """Take in the account's answer, and wake the requests that wait for it."""
        now = self.now()
        for turn, grant in zip(turns, grants.grants, strict=False):
            self.holder.apply_grant(turn, grant, asked_at, now)
        for turn in turns[len(grants.grants) :]:
            self.holder.forget_report(turn)
        self.told.set()
        self.told = asyncio.Event()

    async def say(self, turns: list[CustomerReport]) -> Grants:
        """One word to the account, said under one number until it is answered."""
        self.number += 1
        body = msgspec.msgpack.encode(
            CreditReport(self.fleet.settings.name, self.fleet.me.identity, self.number, tuple(turns))
        )
        answer = await self.until_answered(body)
        return msgspec.msgpack.decode(answer, type=Grants) if answer else Grants(())

    async def until_answered(self, body: bytes) -> bytes:
        """Bring one word through, again and again under its id; b"" where this head ends first."""
        id = f"credit/{self.fleet.me.identity}/{self.number}"
        while True:
            try:
                return await self.fleet.command(PART, body, id, WITHIN)
            except NotAgreed:
                if self.closing:
                    return b""

    async def begin(self) -> None:
        """The first word: what this disk knows of, and what was spent of it by the process before."""
        name, me = self.fleet.settings.name, self.fleet.me
        held = {h.id for purse in self.holder.accounts.values() for h in purse.allotments}
        over, booked = self.ledger.registered_identity(name), CommandResult(False)
        while not booked.ok and not self.closing:
            self.number += 1
            body = msgspec.msgpack.encode(
                RegisterHead(name, me.identity, over, self.number, (*self.before, *sorted(held)))
            )
            answer = await self.until_answered(body)
            booked = msgspec.msgpack.decode(answer, type=CommandResult) if answer else booked
            over = booked.reason
        if self.before:
            settles = tuple(Settlement(id, spent, True) for id, spent in self.before.items())
            await self.say([CustomerReport("", (), settles)])
            logger.info(
                "credit: settled {count} allotments of the process before",
                event="credit.settled",
                count=len(settles),
            )
        for id in self.before:
            self.book.end(id)
        self.before = {}
        self.begun = True

    async def expire(self) -> None:
        """At the leader: say which allotments' time is over, by this head's own clock since it knew of
        them.
        """
        now = self.fleet.now()
        if (
            len(self.seen) != len(self.ledger.customer_by_allotment)
            or self.seen.keys() != self.ledger.customer_by_allotment.keys()
        ):
            self.seen = {id: self.seen.get(id, now) for id in self.ledger.customer_by_allotment}
        if not self.fleet.agreed.raft.settled:
            return
        lease = self.settings.lease * DRIFT + MARGIN
        over = tuple(
            id
            for id, since in self.seen.items()
            if since + lease < now and not self.ledger.allotment(id).expired
        )
        if over:
            body = msgspec.msgpack.encode(Expired(over))
            id = f"expired/{self.fleet.me.identity}/{now.total_seconds()}"
            with contextlib.suppress(NotAgreed):
                await self.fleet.command(PART, body, id, WITHIN)

    async def close(self) -> None:
        """The last word: what is unspent goes back at once."""
        self.closing = True
        turns = self.holder.final_reports()
        if turns and self.begun and self.fleet.availability.draws:
            try:
                async with asyncio.timeout(LAST_WORD.total_seconds()):
                    await self.say(turns)
                for turn in turns:
                    for settle in turn.settlements:
                        if settle.final:
                            self.book.end(settle.allotment)
            except TimeoutError:
                logger.warning(
                    "credit: ends before its last word was heard; the next process says it",
                    event="credit.unsettled",
                )
        self.book.close()

    # -- for operators ------------------------------------------------------------------------------------
    async def command(self, command: Command, id: str, within: timedelta) -> CommandResult:
        """Bring an operator's entry through; raises NotAgreed."""
        body = msgspec.msgpack.encode(command)
        return msgspec.msgpack.decode(await self.fleet.command(PART, body, id, within), type=CommandResult)
