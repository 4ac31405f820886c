"""After a quiet period the core and the credit code hold what an idle head holds: no state outlives its use.

tests/test_held_memory.py tests the decision module with generated rules.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from datetime import timedelta
from itertools import count
from types import SimpleNamespace
from unittest.mock import AsyncMock

import pytest

from stoatrouter.core import model
from stoatrouter.core.nodes import RETURNED_NODE_RETENTION
from stoatrouter.core.reducer import Reducer
from stoatrouter.credit.accounts import HeadRegistration
from stoatrouter.credit.allotment_ages import AllotmentAges
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.gate import Gate, ranks
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.ledger_freshness import LedgerFreshness
from stoatrouter.credit.records import BookEntry, CreditReport, Expired, PutCustomer
from stoatrouter.net import loop_monitor
from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.handover import Handover
from stoatrouter.net.handover_socket import Predecessor
from stoatrouter.net.listener import Drain
from stoatrouter.net.loop_monitor import monitor_loop
from stoatrouter.net.reuse_delays import SUSPECT_REUSE_DELAY, SUSPICION_DURATION, Address, ReuseDelays
from stoatrouter.peering.spent_journal import SpentJournal
from stoatrouter.policy.interface import ListKind, Outcome
from tests.held import held
from tests.peers import run, until
from tests.test_core import MS, SETTINGS, START, node

SECOND = 1000 * MS
LEASE_TIME = 2 * SECOND
REQUESTS = 150
QUIET_PERIOD = 70 * SECOND  # longer than any state is retained, except the effects of operators' calls
OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, Outcome.FULL, Outcome.RESET)


class CoreDriver:
    """Feeds events to a reducer in virtual time; each attempt ends after 10 ms."""

    def __init__(self, outcome: Outcome, streamed: bool = False) -> None:
        self.outcome = outcome
        self.stream = object() if streamed else None
        self.now = START
        self.reducer = Reducer(SETTINGS, seed=1)
        self.due: list[tuple[timedelta, int, Callable[[], model.Event]]] = []
        self.event_numbers = count()
        self.request_numbers = count()
        nodes = (node("n0"), node("n1"))
        self.put(model.EndpointListReceived(START, ListKind.FULL, nodes))

    def schedule(self, after: timedelta, make_event: Callable[[], model.Event]) -> None:
        heapq.heappush(self.due, (self.now + after, next(self.event_numbers), make_event))

    def put(self, event: model.Event) -> None:
        for effect in self.reducer.reduce(event):
            self.run(effect)

    def run(self, effect: model.Effect) -> None:
        match effect:
            case model.SetTimer(after, token):
                self.schedule(after, lambda: model.TimerDue(self.now, token))
            case model.WatchOverdue(after, name):
                self.schedule(after, lambda: model.Overdue(self.now, name))
            case model.SendAttempt(request, number):
                self.schedule(10 * MS, lambda: self.attempt_ended(request.id, number, self.outcome))
            case model.CancelAttempt(name, number):
                self.schedule(MS, lambda: self.attempt_ended(name, number, Outcome.CANCELLED))
            case model.GiveAnswer(name, model.Served(stream=stream)) if stream is not None:
                self.schedule(10 * MS, lambda: model.StreamEnded(self.now, name, True))

    def attempt_ended(self, name: str, number: int, outcome: Outcome) -> model.Event:
        stream = self.stream if outcome is Outcome.OK else None
        return model.AttemptEnded(self.now, name, number, outcome, b"", stream=stream)

    def wait(self, span: timedelta) -> None:
        until = self.now + span
        while self.due and self.due[0][0] <= until:
            at, _, make_event = heapq.heappop(self.due)
            self.now = max(self.now, at)
            self.put(make_event())
        self.now = until

    def send_requests(self, requests: int) -> None:
        for i in range(requests):
            name = f"r{next(self.request_numbers)}"  # no id is used twice
            sent = model.Request(name, i % 3, 0, f"v{i}", f"k{i}", 0, 1.0, 1, 2 * SECOND, i % 3 == 1)
            self.put(model.Arrived(self.now, sent))
            if i % 7 == 0:
                self.put(model.ClientLeft(self.now, name))
            self.wait(20 * MS)

    def stay_quiet(self) -> None:
        self.wait(QUIET_PERIOD)
        self.reducer.tally.take()  # the loop monitor does this every few seconds


def count_held_without_credit(driver: CoreDriver) -> int:
    """Return the number of elements held by a core and its decision module, without credit."""
    return held({name: value for name, value in vars(driver.reducer).items() if name != "gate"})


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("outcome", OUTCOMES)
def test_the_core_holds_after_quiet_what_it_holds_without_requests(outcome, streamed):
    """Guards against records, streams, attempts or named counts that outlive their requests."""
    busy = CoreDriver(outcome, streamed)
    idle = CoreDriver(outcome, streamed)
    busy.send_requests(REQUESTS)
    assert len(busy.reducer.tally.counts) > 1
    idle.wait(busy.now - START)
    busy.stay_quiet()
    idle.stay_quiet()
    assert count_held_without_credit(busy) == count_held_without_credit(idle)
    assert not busy.reducer.open and not busy.reducer.nodes_in_flight()


def test_nodes_that_were_put_back_are_forgotten_without_another_call():
    """Guards memory and handovers: only the operator's next call dropped the record of a returned node."""
    driver = CoreDriver(Outcome.OK)
    for name in ("n0", "n1"):
        driver.put(model.SetAdministrativeState(driver.now, name, True))
        driver.put(model.SetAdministrativeState(driver.now, name, False))
    driver.put(model.EndpointListReceived(driver.now, ListKind.FULL, (node("n2"),)))
    driver.wait(QUIET_PERIOD)
    assert list(driver.reducer.administrative_state.back) == ["n0", "n1"]
    driver.now += RETURNED_NODE_RETENTION
    driver.stay_quiet()
    assert not driver.reducer.administrative_state.back
    idle = CoreDriver(Outcome.OK)
    idle.put(model.EndpointListReceived(idle.now, ListKind.FULL, (node("n2"),)))
    idle.stay_quiet()
    assert count_held_without_credit(driver) == count_held_without_credit(idle)


# -- credit -----------------------------------------------------------------------------------------------
def new_ledger() -> Ledger:
    ledger = Ledger()
    for name, paid in (("rich", 10**9), ("poor", 3_000)):
        volumes = tuple(f"v{i}" for i in range(REQUESTS) if (i % 5 == 0) == (name == "poor"))
        assert ledger.put_customer(PutCustomer(name, volumes, low_water=1_000)).ok
        assert ledger.book_entry(1, BookEntry(f"paid by {name}", name, paid, "top-up", "", "", "")).ok
    return ledger


class CreditDriver(CoreDriver):
    """Drives a core whose requests are charged; it reports to the ledger every 50 ms."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome)
        self.ledger = new_ledger()
        self.journal = SpentJournal(None)
        self.ages = AllotmentAges(LEASE_TIME)
        self.escrow = HeadEscrow(LEASE_TIME, self.journal)
        settings = self.reducer.scheduler.settings
        background = self.reducer.scheduler.background_classes
        self.reducer.gate = self.gate = Gate(
            self.escrow,
            self.ledger.customer_of,
            (100, 200, 300),
            ranks(settings.classes, background),
            lambda: LedgerFreshness.CURRENT,
        )
        self.report_number = 0

    def put(self, event: model.Event) -> None:
        if isinstance(event, model.Arrived) and self.gate.may_wait(event.request, self.now):
            with self.gate.waiting(event.request):
                self.gate.request_allotment(event.request, self.now)
                self.exchange()
        super().put(event)

    def exchange(self) -> None:
        reports = self.escrow.due_reports(self.now) if self.escrow.reachable else []
        if reports:
            self.report_number += 1
            command = CreditReport("h", "disk", self.report_number, tuple(reports))
            grants = self.ledger.apply_report(100 + self.report_number, command).grants
            for report, grant in zip(reports, grants, strict=True):
                self.escrow.apply_grant(report, grant, self.now, self.now)
        self.ages.observe(self.ledger.customer_by_allotment.keys(), self.now)
        self.ledger.mark_expired(Expired(tuple(self.ages.overdue(self.now))))

    def wait(self, span: timedelta) -> None:
        until = self.now + span
        while self.now < until:
            super().wait(min(50 * MS, until - self.now))
            self.exchange()


@pytest.mark.parametrize("cut_off", [False, True])
@pytest.mark.parametrize("outcome", OUTCOMES)
def test_credit_holds_after_quiet_what_it_holds_without_requests(outcome, cut_off):
    """Guards against an allotment, reservation, slot or local account that is never released."""
    driver = CreditDriver(outcome)
    driver.send_requests(REQUESTS // 2)
    assert driver.ledger.customer_by_allotment and driver.ages._known_since and driver.journal._slots
    driver.escrow.reachable = not cut_off
    driver.send_requests(REQUESTS)
    driver.escrow.reachable = True
    driver.stay_quiet()
    idle = CoreDriver(outcome)
    idle.stay_quiet()
    assert count_held_without_credit(driver) == count_held_without_credit(idle)
    assert held(driver.escrow) == held(HeadEscrow(LEASE_TIME, SpentJournal(None)))
    assert held(driver.ages) == held(AllotmentAges(LEASE_TIME))
    assert not driver.escrow.accounts and not driver.escrow.reservations and not driver.journal._slots
    # only the customers' charges and the number of this head's latest report remain
    expected = new_ledger()
    for name, account in expected.accounts.items():
        account.charged = driver.ledger.accounts[name].charged
    expected.heads["h"] = HeadRegistration("disk", driver.report_number)
    assert driver.ledger == expected
    assert driver.escrow.charged == sum(account.charged for account in expected.accounts.values())


# -- the network ------------------------------------------------------------------------------------------
def test_nodes_are_forgotten_as_suspects_though_no_connection_is_used(monkeypatch):
    """Guards against a leak: a suspicion of 30 s was kept until 4,096 other nodes were suspected."""

    async def scenario():
        now = asyncio.get_running_loop().time()
        reuse_delays = ReuseDelays()
        for number in range(100):
            reuse_delays.record_unsolicited_bytes(
                Address("n", number), now - SUSPICION_DURATION.total_seconds()
            )
        reuse_delays.record_unsolicited_bytes(Address("late", 1), now)
        engine = SimpleNamespace(
            reducer=Reducer(SETTINGS, seed=1),
            nodes=SimpleNamespace(pool=SimpleNamespace(reuse_delays=reuse_delays)),
        )
        monitoring = asyncio.create_task(monitor_loop(engine, ClientTable(1, 1, 1)))
        await until(lambda: len(reuse_delays._suspect_until) == 1)
        monitoring.cancel()
        assert reuse_delays.delay_for(Address("late", 1), now, False) == SUSPECT_REUSE_DELAY.total_seconds()

    monkeypatch.setattr(loop_monitor, "CHECKS_PER_TALLY", 1)
    run(scenario())


def test_what_the_previous_process_handed_over_is_not_held_on():
    """Guards against a leak: the new process kept all handover data as decoded JSON for as long as it ran."""

    async def scenario():
        reader = asyncio.StreamReader()
        reader.feed_eof()
        clients = SimpleNamespace(max_connections=9, tighten_busy_limit=lambda span: None)
        pool = SimpleNamespace(max_connections=9, set_limit=lambda limit: None)
        engine = SimpleNamespace(
            nodes=SimpleNamespace(pool=pool),
            dispatch=lambda event: None,
            clock=SimpleNamespace(now=lambda: START),
        )
        handover = Handover(engine, SimpleNamespace(), clients, Drain(clients), None, run, run)
        state = {
            "generation": 1,
            "out_of_service": False,
            "nodes": [],
            "holds": {},
            "by_hand": {"out": {}, "back": {}},
            "module": {"nodes": dict.fromkeys(range(1000))},
        }
        predecessor = Predecessor(reader, SimpleNamespace(close=lambda: None), state)
        handover.socket.take_over = AsyncMock(return_value=predecessor)
        assert await handover.take_over()
        assert not any(held(value) for value in vars(predecessor).values() if isinstance(value, dict))
        await handover.follow()
        assert handover.predecessor is None

    run(scenario())
