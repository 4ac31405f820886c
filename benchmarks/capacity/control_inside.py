"""Control parts measured in this process: scheduler readings, ledger, credit reports and rule sets."""

from __future__ import annotations

import asyncio
import random
import re
import tempfile
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from benchmarks.capacity import harness
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.list_service import entry
from benchmarks.heads_rules import rules_text
from stoatrouter.core import model
from stoatrouter.core.reducer import Reducer
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import BookEntry, CreditReport, CustomerReport, Grants, PutCustomer
from stoatrouter.history.records import RuleSet, pack_rule_set
from stoatrouter.net.endpoint_list import read_node
from stoatrouter.peering.credit import CreditService
from stoatrouter.peering.settings import CreditSettings
from stoatrouter.peering.spent_journal import SpentJournal
from stoatrouter.policy.interface import ListKind
from tests.peers import head_config

NODES = (12, 120, 425, 850, 1700)
HEADS = (20, 60, 185, 370, 740)
CUSTOMERS = (1, 10, 50, 100)
RULES = (10, 100, 1000, 10000)
READING_INTERVAL = timedelta(milliseconds=100)
READINGS = 300  # those of a head in 30 s
LEASE = timedelta(seconds=5)
EXPIRY_INTERVAL = timedelta(milliseconds=50)
SECOND = timedelta(seconds=1)
REPORTS_SPAN = timedelta(seconds=60)
EXPIRY_CHECKS = 400
REQUESTS_PER_SECOND = 2.0  # per customer at a head


def measure(run: Run) -> None:
    """Run all measurements; none of them waits."""
    for nodes in NODES:
        measure_readings(run, nodes)
    for heads in HEADS:
        measure_ledger(run, heads)
    for heads in HEADS:
        measure_expiry(run, heads)
    for customers in CUSTOMERS:
        measure_reports(run, customers)
    for rules in RULES:
        measure_rule_set(run, rules)


# -- readings of the decision module, one each 100 ms -------------------------------------------------------
def measure_readings(run: Run, nodes: int) -> None:
    """Measure the readings of a head at rest, by the number of nodes in its list."""
    conf = head_config()
    reducer = Reducer(conf.settings, 1)
    listed = tuple(read_node(entry(index)) for index in range(nodes))
    (timer,) = reducer.reduce(model.EndpointListReceived(timedelta(0), ListKind.FULL, listed))
    assert isinstance(timer, model.SetTimer)

    def read() -> None:
        for number in range(1, READINGS + 1):
            effects = reducer.reduce(model.TimerDue(number * READING_INTERVAL, timer.token))
            assert any(isinstance(effect, model.SetTimer) for effect in effects)

    elapsed = harness.processor_seconds(read)
    share = elapsed / (READINGS * READING_INTERVAL.total_seconds())
    run.add(Measurement("cpu of readings, by nodes", nodes, round(100 * share, 4), "% of a core"))
    run.add(Measurement("cpu of one reading, by nodes", nodes, round(1e6 * elapsed / READINGS, 2), "us"))


# -- ledger, which each head applies ------------------------------------------------------------------------
def funded_ledger(customers: int) -> Ledger:
    """Return a ledger of customers with more credit than is ever drawn."""
    ledger = Ledger()
    for number in range(customers):
        name = f"c{number}"
        ledger.apply(0, msgspec.msgpack.encode(PutCustomer(name, (f"volume-{number}",))))
        top_up = BookEntry(f"top-up-{number}", name, 10**15, "top-up", "bench", "", "")
        ledger.apply(0, msgspec.msgpack.encode(top_up))
    return ledger


def apply_report(ledger: Ledger, head: int, number: int, customer: str, held: tuple[str, ...] = ()) -> Grants:
    """Apply the report of a head that asks for more credit of one customer."""
    customer_report = CustomerReport(customer, held, (), 1000, 1)
    body = msgspec.msgpack.encode(CreditReport(f"h{head}", f"i{head}", number, (customer_report,)))
    return msgspec.msgpack.decode(ledger.apply(number * 100_000 + head, body), type=Grants)


def measure_ledger(run: Run, heads: int) -> None:
    """Measure applying one report on a customer that all heads serve, which each head of the fleet does."""
    ledger = funded_ledger(1)
    held = {head: apply_report(ledger, head, 1, "c0").grants[0].allotment for head in range(heads)}
    reports = 100

    def apply_reports() -> None:
        for number in range(reports):
            head = number % heads
            apply_report(ledger, head, 2 + number, "c0", (held[head],))

    elapsed = harness.processor_seconds(apply_reports)
    run.add(
        Measurement(
            "cpu of one word about a customer, by heads that serve it",
            heads,
            round(1e6 * elapsed / reports, 2),
            "us",
        )
    )
    run.add(
        Measurement(
            "bytes of the ledger for one customer, by heads that serve it",
            heads,
            len(ledger.state()),
            "bytes",
        )
    )


def measure_expiry(run: Run, heads: int, customers: int = 10) -> None:
    """Measure the expiry check of allotments, which each head makes every 50 ms."""
    ledger = funded_ledger(customers)
    for head in range(heads):
        for customer in range(customers):
            apply_report(ledger, head, 1 + customer, f"c{customer}")
    with tempfile.TemporaryDirectory() as folder:
        service = idle_service(ledger, Path(folder))
        asyncio.run(service.expire())  # the first check registers all allotments

        async def expire_repeatedly() -> None:
            for _ in range(EXPIRY_CHECKS):
                await service.expire()

        elapsed = harness.processor_seconds(lambda: asyncio.run(expire_repeatedly()))
        service.journal.close()
    share = elapsed / (EXPIRY_CHECKS * EXPIRY_INTERVAL.total_seconds())
    name = "cpu of the looks at allotments, 10 customers, by heads that serve them"
    run.add(Measurement(name, heads, round(100 * share, 4), "% of a core"))


def idle_service(ledger: Ledger, folder: Path) -> CreditService:
    """Return the credit service of a head that is not the leader, with a stub in place of its fleet."""
    fleet: Any = SimpleNamespace(
        settings=SimpleNamespace(folder=folder),
        stored=SimpleNamespace(writable=True, start_count=1),
        monitor=SimpleNamespace(watchers=[]),
        replication=SimpleNamespace(raft=SimpleNamespace(settled=False)),
        now=lambda: SECOND,
    )
    settings = CreditSettings((1000,), LEASE, SECOND)
    return CreditService(settings, cast(Any, fleet), ledger, (), set(), lambda: SECOND)


# -- credit reports of one head -----------------------------------------------------------------------------
def measure_reports(run: Run, customers: int) -> None:
    """Count the reports of one head in virtual time, at 2 requests a second per customer."""
    ledger = funded_ledger(customers)
    with tempfile.TemporaryDirectory() as folder:
        escrow = HeadEscrow(LEASE, SpentJournal(Path(folder) / "book"))
        rng = random.Random(f"words/{customers}")
        reports = customer_report_count = number = step = 0
        while (now := SECOND + step * EXPIRY_INTERVAL) < SECOND + REPORTS_SPAN:
            for customer in range(customers):
                if rng.random() < REQUESTS_PER_SECOND * EXPIRY_INTERVAL.total_seconds():
                    request = f"r{step}.{customer}"
                    escrow.reserve(request, f"c{customer}", 1000, 2, now)
                    escrow.settle(request, True)
            customer_reports = escrow.due_reports(now)
            if customer_reports:
                number += 1
                reports, customer_report_count = reports + 1, customer_report_count + len(customer_reports)
                body = msgspec.msgpack.encode(CreditReport("h0", "i0", number, tuple(customer_reports)))
                grants = msgspec.msgpack.decode(ledger.apply(number, body), type=Grants)
                for customer_report, grant in zip(customer_reports, grants.grants, strict=True):
                    escrow.apply_grant(customer_report, grant, now, now)
            step += 1
    seconds = REPORTS_SPAN.total_seconds()
    run.add(
        Measurement("commands of a head, by customers that it serves", customers, reports / seconds, "1/s")
    )
    run.add(
        Measurement(
            "turns in them, by customers that it serves", customers, customer_report_count / seconds, "1/s"
        )
    )


# -- size of an edit ----------------------------------------------------------------------------------------
def measure_rule_set(run: Run, rules: int) -> None:
    """Measure the bytes of a rule set as sent to each head, with numbered and with random paths.

    Each edit sends the whole set, however little of it has changed.
    """
    rng = random.Random(f"set/{rules}")
    regular = rules_text(rules, "mark")
    irregular = re.sub(r"/p[0-9]+", lambda _: f"/{rng.getrandbits(64):016x}", regular)
    for label, text in (("numbered paths", regular), ("random paths", irregular)):
        packed = len(pack_rule_set(RuleSet("rules.cue", {"rules.cue": text})))
        run.add(Measurement(f"bytes of a set to a head, {label}, by rules", rules, packed, "bytes"))
    run.add(Measurement("bytes of a set as text, by rules", rules, len(regular), "bytes"))
