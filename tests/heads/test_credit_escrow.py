"""Credit at one head: pacing, allotments, the charge of a request by its outcome, the journal of spending."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stoatrouter.core import model
from stoatrouter.core.reducer import Reducer
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.gate import Gate, ranks
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.ledger_freshness import LedgerFreshness
from stoatrouter.credit.local_account import LocalAccount
from stoatrouter.credit.records import (
    BookEntry,
    CreditReport,
    Grant,
    PutCustomer,
    Settlement,
    charge_of,
)
from stoatrouter.fronts.exchange import retry_after_field
from stoatrouter.lab.fleet.credit_head import CreditDisk
from stoatrouter.peering.spent_journal import SpentJournal
from stoatrouter.policy import interface as api
from tests.peers import Node, head_config

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


def escrow_with_an_allotment(amount: int = 100, balance: int = 100, low_water: int = 0) -> HeadEscrow:
    escrow = HeadEscrow(5 * SECOND, CreditDisk())
    escrow.request_allotment("x", 1, SECOND)
    (report,) = escrow.due_reports(SECOND)
    escrow.apply_grant(report, Grant("x", "1.0", amount, balance, low_water), SECOND, SECOND)
    return escrow


def test_requests_are_paced_smoothly_deferrable_work_first_and_protected_reads_last():
    def passed(balance: int) -> list[int]:
        escrow = escrow_with_an_allotment(10**9, balance, 1000)
        return [
            sum(escrow.reserve(f"{rank}.{i}", "x", 1, rank, SECOND + i * MS) is None for i in range(300))
            for rank in range(3)
        ]

    before = [300, 300, 300]
    for balance in range(1000, -1, -50):
        now = passed(balance)
        assert all(a <= b + 1 for a, b in zip(now, before, strict=True))
        assert now[0] <= now[1] + 1 <= now[2] + 2
        before = now
    assert before == [0, 0, 0]
    assert passed(834)[1:] == [300, 300] and 100 < passed(834)[0] < 200
    assert passed(500)[0] == 0 and passed(500)[2] == 300


def test_an_exhausted_account_rejects_at_once_with_a_retry_time_only_where_it_is_known():
    escrow = escrow_with_an_allotment(10)
    assert escrow.reserve("a", "x", 10, 2, SECOND) is None
    rejection = escrow.reserve("b", "x", 1, 2, SECOND)
    assert rejection is not None and rejection.retry_in is not None  # a further allotment has been requested
    escrow.settle("a", True)
    (report,) = escrow.due_reports(SECOND)
    escrow.apply_grant(report, Grant("x", "", 0, 0, 0), SECOND, SECOND)
    rejection = escrow.reserve("c", "x", 1, 2, SECOND)
    assert rejection is not None and rejection.retry_in is None and "nothing is left" in rejection.reason
    escrow.reachable = False
    assert "cut off" in escrow.reserve("d", "x", 1, 2, SECOND).reason


def test_an_expired_allotment_is_not_reserved_from_and_is_settled_after_its_last_reservation():
    escrow = escrow_with_an_allotment()
    assert escrow.reserve("a", "x", 7, 2, 5 * SECOND) is None
    assert escrow.reserve("b", "x", 7, 2, 7 * SECOND) is not None  # requested at 1 s, for 5 s
    (report,) = escrow.due_reports(7 * SECOND)
    assert not any(s.final for s in report.settlements)
    escrow.apply_grant(report, Grant("x", "", 0, 100, 0), 7 * SECOND, 7 * SECOND)
    escrow.settle("a", True)
    (report,) = escrow.due_reports(8 * SECOND)
    assert Settlement("1.0", 7, True) in report.settlements


def test_the_account_of_an_idle_customer_gives_back_and_is_dropped():
    escrow = escrow_with_an_allotment()
    (report,) = escrow.due_reports(9 * SECOND)
    assert report.settlements == (Settlement("1.0", 0, True),) and report.wanted == 0
    escrow.apply_grant(report, Grant("x", "", 0, 100, 0), 9 * SECOND, 9 * SECOND)
    escrow.due_reports(60 * SECOND)
    assert not escrow.accounts


def test_all_requests_are_admitted_above_the_low_water_mark_and_ranks_narrow_below_it():
    account = LocalAccount("x", balance=100, low_water=100, answered_at=SECOND)
    assert [account.quota(rank) for rank in range(3)] == [1, 1, 1]
    account.balance = 50
    assert [round(account.quota(rank), 2) for rank in range(3)] == [0, 0.5, 1]


@given(st.floats(0.001, 1e4), st.integers(0, 10**9))
def test_charges_are_whole_and_rounded_up(units, price):
    charge = charge_of(units, price)
    assert charge - 1 < units * price <= charge or price == 0


# -- the reducer asks the gate once for each request -----------------------------------------------------
def run_request(*outcomes: api.Outcome | None) -> tuple[HeadEscrow, list[model.Effect]]:
    """Run a request whose attempts have these outcomes (None: no answer), until its client disconnects."""
    conf = head_config(Node("a", 0), Node("b", 0))
    reducer = Reducer(conf.settings, 1)
    nodes = tuple(model.NodeInfo(n, f"127.0.0.1:{9 + i}", 0, api.Phase.ON) for i, n in enumerate("ab"))
    reducer.reduce(model.EndpointListReceived(SECOND, api.ListKind.RESTORED, nodes))
    escrow = escrow_with_an_allotment(1000, 1000)
    classes = conf.settings.classes
    reducer.gate = Gate(
        escrow,
        lambda volume: "x" if volume == "v" else None,
        (10, 20, 30),
        ranks(classes, reducer.scheduler.background_classes),
        lambda: LedgerFreshness.CURRENT,
    )
    request = model.Request("r", 0, 1, "v", "k", 0, 2.0, 1, 2 * SECOND, False)
    effects = list(reducer.reduce(model.Arrived(SECOND, request)))
    now = SECOND
    for number, outcome in enumerate(outcomes):
        now += 20 * MS
        while not any(isinstance(e, model.SendAttempt) and e.attempt == number for e in effects):
            timers = [e for e in effects if isinstance(e, model.SetTimer)]
            if now > 4 * SECOND or not timers:
                break
            now += 20 * MS
            for timer in timers:
                effects += reducer.reduce(model.TimerDue(now, timer.token))
        if outcome is not None:
            effects += reducer.reduce(model.AttemptEnded(now, "r", number, outcome, b"x"))
    effects += reducer.reduce(model.ClientLeft(now + MS, "r"))
    return escrow, effects


Outcome = api.Outcome


@pytest.mark.parametrize(
    ("outcomes", "charged"),
    [
        ((Outcome.OK,), 20),
        ((Outcome.CONNECT_FAILED,), 0),
        ((Outcome.FULL,), 0),
        ((Outcome.MOOT,), 0),
        ((Outcome.RESET,), 20),
        ((Outcome.TIMEOUT,), 20),
        ((Outcome.ERROR,), 20),
        ((None,), 20),
        ((Outcome.CONNECT_FAILED, Outcome.OK), 20),
        ((Outcome.RESET, Outcome.OK), 20),
        ((Outcome.FULL, Outcome.FULL), 0),
        ((), 20),
    ],
)
def test_a_request_is_charged_once_by_what_may_have_run(outcomes, charged):
    escrow, effects = run_request(*outcomes)
    assert any(isinstance(e, model.SendAttempt) for e in effects)
    assert escrow.charged == charged and not escrow.reservations


def test_a_volume_of_nobody_is_free_and_another_customer_loses_nothing():
    conf = head_config(Node("a", 0))
    reducer = Reducer(conf.settings, 1)
    escrow = escrow_with_an_allotment(10, 10)
    reducer.gate = Gate(escrow, {"v": "x"}.get, (10, 20, 30), (2, 1, 0), lambda: LedgerFreshness.CURRENT)
    for i, volume in enumerate("vvww"):
        request = model.Request(f"r{i}", 0, 1, volume, "k", 0, 1.0, 1, 2 * SECOND, False)
        effects = reducer.reduce(model.Arrived(SECOND, request))
        rejected = isinstance(effects[0], model.RejectRequest)
        assert rejected == (i == 1)
        if rejected:
            assert isinstance(effects[0].answer, model.Refused)


# -- the journal of what is spent ------------------------------------------------------------------------
def test_the_book_is_read_by_the_next_process_and_has_a_bound(tmp_path):
    journal = SpentJournal(tmp_path / "journal")
    assert journal.begin("7.0") and journal.begin("8.1")
    journal.set("7.0", 12)
    journal.set("8.1", 5)
    journal.end("8.1")
    again = SpentJournal(tmp_path / "journal")  # the first one was killed
    assert again.read() == {"7.0": 12}
    assert all(again.begin(f"{i}.0") for i in range(100, 100 + 4095)) and not again.begin("x")


# Guards against `Retry-After: 0.000`: a customer with little credit was advised to retry at once, and was
# rejected again. With a quota of 0.1, ten steps add up to 0.9999999999999999 of a request, 1e-16 short of
# one, and any wait under half a millisecond was printed as zero.
@pytest.mark.parametrize("interval", [2, 3, 5, 6, 7, 10, 12, 49])
def test_a_quota_admits_each_nth_request_and_advises_a_wait_that_is_seen(interval):
    account = LocalAccount("x", low_water=3 * interval, balance=1, answered_at=SECOND)
    rank = 2
    quota = account.quota(rank)
    assert quota == pytest.approx(1 / interval)
    account.pace_tokens[rank] = 0.0
    verdicts = []
    for n in range(20 * interval):
        account.count_request(1, rank, SECOND * (1 + n))
        verdicts.append(account.pace(rank))
    admitted = [n + 1 for n, verdict in enumerate(verdicts) if verdict is None]
    assert admitted == [interval * n for n in range(1, 21)]
    least = min(verdict.retry_in for verdict in verdicts if verdict is not None)
    assert least >= timedelta(milliseconds=100)  # about the interval between requests at one per second


@given(st.integers(1, 10**7))
def test_an_advised_wait_is_never_printed_as_none(microseconds):
    printed = retry_after_field(timedelta(microseconds=microseconds))["Retry-After"]
    assert float(printed) > 0
    assert abs(float(printed) - microseconds / 1e6) <= 0.001
    assert retry_after_field(timedelta(0)) == {"Retry-After": "0.000"}  # at once


def test_a_large_request_of_long_ago_keeps_nothing_from_small_ones():
    """Guards customers with little credit: after a cut-off a head asked for the charge of an old request."""
    ledger = Ledger()
    escrow = HeadEscrow(5 * SECOND, CreditDisk())
    ledger.put_customer(PutCustomer("x", ("v",)))
    ledger.book_entry(1, BookEntry("paid", "x", 20, "top-up", "", "", ""))
    escrow.reachable = False
    now = SECOND
    assert escrow.reserve("large", "x", 100, 2, now) is not None
    while now < 10 * SECOND:
        now += SECOND / 2
        assert escrow.reserve("small", "x", 1, 2, now) is not None
    escrow.reachable = True
    (report,) = escrow.due_reports(now)
    assert report.min_useful == 1
    (grant,) = ledger.apply_report(2, CreditReport("h", "disk", 1, (report,))).grants
    escrow.apply_grant(report, grant, now, now)
    assert escrow.reserve("small", "x", 1, 2, now) is None
