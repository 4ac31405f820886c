"""Requests that wait for an allotment at one head: what the head asks for is enough for all of them."""

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
PRICE, UNITS = 1_000, 2.0
CHARGE = charge_of(UNITS, PRICE)
FEW, MANY = 3, 40


class OneHead:
    """A head beside an account: words to it are answered only when a test lets them be."""

    def __init__(self, tmp_path, paid: int) -> None:
        self.ledger, self.asked, self.answers = Ledger(), [], asyncio.Semaphore(0)
        self.ledger.put_customer(PutCustomer("acme", ("v",)))
        self.ledger.book_entry(1, BookEntry("t", "acme", paid, "top-up", "x", "y", "z"))
        agreed = SimpleNamespace(raft=SimpleNamespace(settled=False), machine=SimpleNamespace(index=1))
        fleet = SimpleNamespace(
            settings=SimpleNamespace(folder=tmp_path, name="h0", cut_off_after=3 * SECOND),
            stored=SimpleNamespace(writable=False, start_count=1),
            me=SimpleNamespace(identity="h0/0"),
            monitor=SimpleNamespace(watchers=[]),
            replication=agreed,
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

    async def command(self, part, body, id, within) -> bytes:
        """The account's answer, once it may be given."""
        command = msgspec.msgpack.decode(body, type=RegisterHead | CreditReport)
        if isinstance(command, CreditReport):
            self.asked.append(command)
            await self.answers.acquire()
        return self.ledger.apply(len(self.asked) + 1, body)

    async def request(self, number: int) -> bool:
        """One request: waits for an allotment where that helps; whether it is taken."""
        request = model.Request(f"r{number}", 0, 1, "v", "k", 0, UNITS, 1, 600 * SECOND, False)
        await self.service.prepare(request)
        return self.service.gate.take(request, self.now()) is None


async def settle(times: int = 50) -> None:
    """Let all that can go on go on."""
    for _ in range(times):
        await asyncio.sleep(0)


@pytest.mark.parametrize("count", [1, FEW, MANY])
def test_all_waiting_requests_are_admitted_after_one_answer(tmp_path, count):
    async def story():
        head = OneHead(tmp_path, paid=1_000 * CHARGE)
        requests = [asyncio.create_task(head.request(i)) for i in range(count)]
        await settle()  # all wait before anything is asked
        speaking = asyncio.create_task(head.service.run())
        await settle()
        head.answers.release()
        while not all(r.done() for r in requests) and len(head.asked) == 1:
            await asyncio.sleep(0.01)
        speaking.cancel()
        assert len(head.asked) == 1, f"{sum(r.done() for r in requests)} of {count} after one answer"
        assert all([await r for r in requests])
        assert head.service.escrow.accounts["acme"].waiting == 0

    run(story())


def test_no_allotment_is_asked_for_a_request_that_gave_up_waiting(tmp_path):
    async def story():
        head = OneHead(tmp_path, paid=1_000 * CHARGE)
        requests = [asyncio.create_task(head.request(i)) for i in range(FEW)]
        await settle()
        assert head.service.escrow.accounts["acme"].waiting == FEW * CHARGE
        for request in requests[1:]:
            request.cancel()
        await asyncio.gather(*requests[1:], return_exceptions=True)
        assert head.service.escrow.accounts["acme"].waiting == CHARGE
        requests[0].cancel()

    run(story())


def test_remainders_of_small_allotments_do_not_keep_a_head_from_asking():
    """Two allotments with 1,500 each are enough for one charge of 2,000 by their sum, and not by either."""
    holder = HeadEscrow(LEASE, CreditDisk())
    held = [LocalAllotment(f"{number}.0", 1_500, SECOND + LEASE) for number in (1, 2)]
    holder.accounts["acme"] = LocalAccount("acme", held, answered_at=SECOND)
    assert holder.reserve("r2", "acme", 2_000, 2, SECOND) is not None
    (report,) = holder.due_reports(SECOND)
    assert report.min_useful == 2_000 and report.wanted >= 2_000


def test_a_grant_for_all_that_wait_is_bounded_by_the_account(tmp_path):
    """The account gives a head half of what is free at most: the others wait for the next word."""
    ledger = Ledger()
    ledger.put_customer(PutCustomer("acme", ("v",)))
    ledger.book_entry(1, BookEntry("t", "acme", 10 * CHARGE, "top-up", "x", "y", "z"))
    holder = HeadEscrow(LEASE, CreditDisk())
    for _ in range(MANY):
        holder.add_waiting("acme", CHARGE)
        holder.request_allotment("acme", CHARGE, SECOND)
    reports = tuple(holder.due_reports(SECOND))
    assert reports[0].wanted == MANY * CHARGE and reports[0].min_useful == CHARGE
    assert msgspec.msgpack.decode(
        ledger.apply(2, msgspec.msgpack.encode(RegisterHead("h0", "h0/0", "", 0, ()))), type=CommandResult
    ).ok
    answer = ledger.apply(3, msgspec.msgpack.encode(CreditReport("h0", "h0/0", 1, reports)))
    (grant,) = msgspec.msgpack.decode(answer, type=Grants).grants
    assert grant.amount == 5 * CHARGE
