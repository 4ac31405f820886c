"""The prepaid credit service of one head: requests and settles allotments; the leader's also expires them.

credit/escrow.py decides what a request is charged, and credit/ledger.py what an account grants. Amounts are
whole millionths of a credit unit.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
from loguru import logger

from stoatrouter.core import model
from stoatrouter.credit.allotment_ages import AllotmentAges
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.gate import Gate, ranks
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.ledger_freshness import LedgerFacts, LedgerFreshness, freshness_of
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
from stoatrouter.peering.errors import ReplicationError
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.ledger_monitor import LedgerMonitor
from stoatrouter.peering.parts import CREDIT
from stoatrouter.peering.settings import CreditSettings
from stoatrouter.peering.spent_journal import SpentJournal
from stoatrouter.policy import interface as api

SPENT_FILE = "spent.book"
EXCHANGE_INTERVAL = timedelta(milliseconds=50)  # when no request waits; a waiting one triggers it at once
COMMAND_TIMEOUT = timedelta(seconds=3)
FINAL_SETTLE_TIMEOUT = timedelta(milliseconds=1500)
MAX_WAIT_DIVISOR = 4  # a request waits for an allotment for at most a quarter of the time it has left


class CreditService:
    """Exchanges reports and grants with the accounts; expires the allotments of all heads while it leads."""

    def __init__(
        self,
        settings: CreditSettings,
        fleet: Fleet,
        ledger: Ledger,
        classes: Sequence[api.RequestClass],
        background: set[str],
        now: Callable[[], timedelta],
    ) -> None:
        """Read what an earlier process of this head spent; nothing is sent yet.

        Args:
            settings: The operator's credit settings.
            fleet: The heads.
            ledger: The replicated accounts.
            classes: The classes of requests, in the order of their prices.
            background: The names of the classes that are throttled first.
            now: The core's monotonic time: leases must not depend on a clock that can be set.
        """
        self.settings, self.fleet, self.ledger, self.now = settings, fleet, ledger, now
        self.journal = SpentJournal(fleet.settings.folder / SPENT_FILE if fleet.stored.writable else None)
        self.escrow = HeadEscrow(settings.lease, self.journal)
        self.gate = Gate(
            self.escrow,
            ledger.customer_of,
            settings.prices,
            ranks(classes, background),
            self.ledger_freshness,
            settings.unknown_volumes,
        )
        self.ledger_monitor = LedgerMonitor(
            self.ledger_freshness, self.gate.unowned, settings.unknown_volumes, fleet.now
        )
        self.registered = False  # whether the ledger knows this process
        self._previously_spent = self.journal.read()  # by an earlier process, by allotment
        self._command_number = fleet.stored.start_count << 32  # of the last command to the ledger
        self._request_waiting = asyncio.Event()
        self._answered = asyncio.Event()  # replaced after each answer of the ledger
        self._ages = AllotmentAges(settings.lease)  # of all heads
        self._closing = False
        fleet.monitor.watchers.append(self._update_reachability)

    def _update_reachability(self) -> None:
        """Follow the head's availability: rejections by a head that is cut off say so."""
        availability = self.fleet.monitor.latest
        self.escrow.reachable = availability is not None and availability.draws

    def ledger_freshness(self) -> LedgerFreshness:
        """Return how well this head knows the ledger now."""
        facts = LedgerFacts(self.fleet.replication.machine.index, self.fleet.followed_age)
        return freshness_of(facts, self.fleet.settings.cut_off_after)

    # -- requests -----------------------------------------------------------------------------------------
    async def prepare(self, request: model.Request) -> bool:
        """Wait for a bounded time if an allotment for the request's customer may be on its way.

        Returns:
            Whether it waited and the ledger is still reachable.
        """
        now = self.now
        if not self.gate.may_wait(request, now()):
            return False
        deadline = now() + min(self.settings.wait, request.time_left / MAX_WAIT_DIVISOR)
        with self.gate.waiting(request):
            while (left := deadline - now()) > timedelta(0) and self.gate.may_wait(request, now()):
                self.gate.request_allotment(request, now())
                self._request_waiting.set()
                answered = self._answered
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left.total_seconds()):
                        await answered.wait()
        return self.escrow.reachable

    # -- the ledger ---------------------------------------------------------------------------------------
    async def run(self) -> None:
        """Exchange with the ledger, one command at a time, until cancelled."""
        while True:
            self._request_waiting.clear()
            self.ledger_monitor.refresh()
            if self.escrow.reachable:
                await self._exchange()
                await self.expire()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_INTERVAL.total_seconds()):
                    await self._request_waiting.wait()

    async def _exchange(self) -> None:
        """Send the reports that are due, and apply the ledger's answer."""
        if not self.registered:
            await self._register_and_settle()
        asked_at = self.now()
        reports = self.escrow.due_reports(asked_at)
        if reports:
            grants = await self._send_reports(reports)
            # If a grant is missing, the ledger does not know this head (it was written off), or an answer
            # is lost for good: the head registers again.
            self.registered = len(grants.grants) == len(reports)
            self._apply_grants(reports, grants, asked_at)

    def _apply_grants(self, reports: list[CustomerReport], grants: Grants, asked_at: timedelta) -> None:
        """Apply the ledger's answer, and wake the requests that wait for it."""
        now = self.now()
        for report, grant in zip(reports, grants.grants, strict=False):
            self.escrow.apply_grant(report, grant, asked_at, now)
        for report in reports[len(grants.grants) :]:
            self.escrow.forget_report(report)
        self._answered.set()
        self._answered = asyncio.Event()

    async def _send_reports(self, reports: list[CustomerReport]) -> Grants:
        """Send reports to the ledger under the next number; no grants if this head stops first."""
        self._command_number += 1
        name, identity = self.fleet.settings.name, self.fleet.me.identity
        answer = await self._submit_until_answered(
            CreditReport(name, identity, self._command_number, tuple(reports))
        )
        return msgspec.msgpack.decode(answer, type=Grants) if answer else Grants(())

    async def _submit_until_answered(self, command: CreditReport | RegisterHead) -> bytes:
        """Retry a command under its id until it is answered; b"" if this head stops first."""
        body = msgspec.msgpack.encode(command)
        id = f"credit/{self.fleet.me.identity}/{self._command_number}"
        while True:
            try:
                return await self.fleet.command(CREDIT, body, id, COMMAND_TIMEOUT)
            except ReplicationError:
                if self._closing:
                    return b""

    async def _register_and_settle(self) -> None:
        """Register this process with the ledger, and settle what its predecessor spent."""
        await self._register()
        if self._previously_spent:
            await self._settle_previous()
        self.registered = True

    async def _register(self) -> None:
        """Register this process and the allotments that its disk and memory hold, until accepted."""
        name, identity = self.fleet.settings.name, self.fleet.me.identity
        allotments = sorted({a.id for account in self.escrow.accounts.values() for a in account.allotments})
        predecessor = self.ledger.registered_identity(name)
        result = CommandResult(False)
        while not result.ok and not self._closing:
            self._command_number += 1
            known = (*self._previously_spent, *allotments)
            answer = await self._submit_until_answered(
                RegisterHead(name, identity, predecessor, self._command_number, known)
            )
            result = msgspec.msgpack.decode(answer, type=CommandResult) if answer else result
            predecessor = result.reason

    async def _settle_previous(self) -> None:
        settlements = tuple(Settlement(id, spent, True) for id, spent in self._previously_spent.items())
        await self._send_reports([CustomerReport("", (), settlements)])
        logger.info(
            "credit: settled {count} allotments of the previous process",
            event="credit.settled",
            count=len(settlements),
        )
        for id in self._previously_spent:
            self.journal.end(id)
        self._previously_spent = {}

    # -- the leader ---------------------------------------------------------------------------------------
    async def expire(self) -> None:
        """Expire overdue allotments, if this head leads: by its own clock, from when it learnt of each."""
        now = self.fleet.now()
        self._ages.observe(self.ledger.customer_by_allotment.keys(), now)
        if not self.fleet.replication.raft.settled:
            return
        expired = tuple(id for id in self._ages.overdue(now) if not self.ledger.allotment(id).expired)
        if expired:
            body = msgspec.msgpack.encode(Expired(expired))
            command_id = f"expired/{self.fleet.me.identity}/{now.total_seconds()}"
            with contextlib.suppress(ReplicationError):
                await self.fleet.command(CREDIT, body, command_id, COMMAND_TIMEOUT)

    async def close(self) -> None:
        """Settle a last time, so that unspent credit is returned at once; then close the journal."""
        self._closing = True
        reports = self.escrow.final_reports()
        if reports and self.registered and self.fleet.availability.draws:
            try:
                async with asyncio.timeout(FINAL_SETTLE_TIMEOUT.total_seconds()):
                    await self._send_reports(reports)
                self._forget_settled(reports)
            except TimeoutError:
                logger.warning(
                    "credit: stopped before the final settlement was confirmed; the next process will settle",
                    event="credit.unsettled",
                )
        self.ledger_monitor.close()
        self.journal.close()

    def _forget_settled(self, reports: list[CustomerReport]) -> None:
        for report in reports:
            for settlement in report.settlements:
                if settlement.final:
                    self.journal.end(settlement.allotment)

    # -- for operators ------------------------------------------------------------------------------------
    async def submit_command(self, command: Command, id: str, timeout: timedelta) -> CommandResult:
        """Submit an operator's command to the ledger under an idempotency key.

        Raises:
            ReplicationError: No leader confirmed it in time; it may still be applied.
        """
        body = msgspec.msgpack.encode(command)
        return msgspec.msgpack.decode(await self.fleet.command(CREDIT, body, id, timeout), type=CommandResult)
