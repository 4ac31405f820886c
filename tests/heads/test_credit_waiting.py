"""Requests that wait for an allotment at one head: the head asks for enough credit for all of them."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from stoatrouter.core import model
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.local_account import LocalAccount, LocalAllotment
from stoatrouter.credit.records import (
    BookEntry,
    CommandResult,
    CreditReport,
    Grants,
    PutCustomer,
    RegisterHead,
    charge_of,
)
from stoatrouter.lab.fleet.credit_head import CreditDisk
from stoatrouter.peering.credit import CreditService
from stoatrouter.peering.settings import CreditSettings
from tests.peers import Node, head_config, run

SECOND = timedelta(seconds=1)
LEASE = 2 * SECOND
PRICE = 1_000
UNITS = 2.0
CHARGE = charge_of(UNITS, PRICE)
FEW = 3
MANY = 40


class HeadWithAccount:
    """A head and the account: its reports are answered only when a test allows it."""

    def __init__(self, tmp_path, paid: int) -> None:
        self.ledger = Ledger()
        self.reports = []
        self.answers = asyncio.Semaphore(0)
        self.ledger.put_customer(PutCustomer("acme", ("v",)))
        self.ledger.book_entry(1, BookEntry("t", "acme", paid, "top-up", "x", "y", "z"))
        replication = SimpleNamespace(raft=SimpleNamespace(settled=False), machine=SimpleNamespace(index=1))
        fleet = SimpleNamespace(
            settings=SimpleNamespace(folder=tmp_path, name="h0", cut_off_after=3 * SECOND),
            stored=SimpleNamespace(writable=False, start_count=1),
            me=SimpleNamespace(identity="h0/0"),
            monitor=SimpleNamespace(watchers=[]),
            replication=replication,
            followed_age=timedelta(0),
            now=self.now,
            command=self.command,
        )
        conf = head_config(Node("a", 0))
        classes = conf.settings.classes
        settings = CreditSettings(tuple(PRICE for _ in classes), LEASE, wait=60 * SECOND)
        self.service = CreditService(settings, fleet, self.ledger, classes, set(), self.now)

    @staticmethod
    def now() -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def command(self, part, body, id, timeout) -> bytes:
        """Return the account's answer once a test allows it."""
        command = msgspec.msgpack.decode(body, type=RegisterHead | CreditReport)
        if isinstance(command, CreditReport):
            self.reports.append(command)
            await self.answers.acquire()
        return self.ledger.apply(len(self.reports) + 1, body)

    async def request(self, number: int) -> bool:
        """Send one request, which waits for an allotment if that helps; return whether it is admitted."""
        request = model.Request(f"r{number}", 0, 1, "v", "k", 0, UNITS, 1, 600 * SECOND, False)
        await self.service.prepare(request)
        return self.service.gate.take(request, self.now()) is None


async def run_pending_tasks(times: int = 50) -> None:
    """Run all tasks that are ready."""
    for _ in range(times):
        await asyncio.sleep(0)


@pytest.mark.parametrize("count", [1, FEW, MANY])
def test_all_waiting_requests_are_admitted_after_one_answer(tmp_path, count):
    async def story():
        head = HeadWithAccount(tmp_path, paid=1_000 * CHARGE)
        requests = [asyncio.create_task(head.request(i)) for i in range(count)]
        await run_pending_tasks()  # all wait before the first report is sent
        service_task = asyncio.create_task(head.service.run())
        await run_pending_tasks()
        head.answers.release()
        while not all(r.done() for r in requests) and len(head.reports) == 1:
            await asyncio.sleep(0.01)
        service_task.cancel()
        assert len(head.reports) == 1, f"{sum(r.done() for r in requests)} of {count} after one answer"
        assert all([await r for r in requests])
        assert head.service.escrow.accounts["acme"].waiting == 0

    run(story())


def test_no_allotment_is_asked_for_a_request_that_gave_up_waiting(tmp_path):
    async def story():
        head = HeadWithAccount(tmp_path, paid=1_000 * CHARGE)
        requests = [asyncio.create_task(head.request(i)) for i in range(FEW)]
        await run_pending_tasks()
        assert head.service.escrow.accounts["acme"].waiting == FEW * CHARGE
        for request in requests[1:]:
            request.cancel()
        await asyncio.gather(*requests[1:], return_exceptions=True)
        assert head.service.escrow.accounts["acme"].waiting == CHARGE
        requests[0].cancel()

    run(story())


def test_remainders_of_small_allotments_do_not_keep_a_head_from_asking():
    """Two allotments of 1,500 cover a charge of 2,000 by their sum, but neither covers it alone."""
    escrow = HeadEscrow(LEASE, CreditDisk())
    held = [LocalAllotment(f"{number}.0", 1_500, SECOND + LEASE) for number in (1, 2)]
    escrow.accounts["acme"] = LocalAccount("acme", held, answered_at=SECOND)
    assert escrow.reserve("r2", "acme", 2_000, 2, SECOND) is not None
    (report,) = escrow.due_reports(SECOND)
    assert report.min_useful == 2_000 and report.wanted >= 2_000


def test_a_grant_for_all_that_wait_is_bounded_by_the_account(tmp_path):
    """The account grants a head at most half of what is free: the other requests wait for the next report."""
    ledger = Ledger()
    ledger.put_customer(PutCustomer("acme", ("v",)))
    ledger.book_entry(1, BookEntry("t", "acme", 10 * CHARGE, "top-up", "x", "y", "z"))
    escrow = HeadEscrow(LEASE, CreditDisk())
    for _ in range(MANY):
        escrow.add_waiting("acme", CHARGE)
        escrow.request_allotment("acme", CHARGE, SECOND)
    reports = tuple(escrow.due_reports(SECOND))
    assert reports[0].wanted == MANY * CHARGE and reports[0].min_useful == CHARGE
    assert msgspec.msgpack.decode(
        ledger.apply(2, msgspec.msgpack.encode(RegisterHead("h0", "h0/0", "", 0, ()))), type=CommandResult
    ).ok
    answer = ledger.apply(3, msgspec.msgpack.encode(CreditReport("h0", "h0/0", 1, reports)))
    (grant,) = msgspec.msgpack.decode(answer, type=Grants).grants
    assert grant.amount == 5 * CHARGE
