"""Parts of control that are measured in this process: readings, the ledger's words, the words of one head."""

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
from benchmarks.heads_rules import text_of
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
READ_EVERY = timedelta(milliseconds=100)
READINGS = 300  # half a minute of a head's readings
LEASE, STEP, SECOND = timedelta(seconds=5), timedelta(milliseconds=50), timedelta(seconds=1)
TURNS_SPAN = timedelta(seconds=60)
LOOKS = 400
REQUESTS_A_SECOND = 2.0  # of each customer at a head


def measure(run: Run) -> None:
    """All of it; nothing here waits."""
    for nodes in NODES:
        add_readings(run, nodes)
    for heads in HEADS:
        add_ledger(run, heads)
    for heads in HEADS:
        add_expiry(run, heads)
    for customers in CUSTOMERS:
        add_words(run, customers)
    for rules in RULES:
        add_set(run, rules)


# -- the decision module's reading, each 100 ms --------------------------------------------------------------
def add_readings(run: Run, nodes: int) -> None:
    """Readings of a head at rest, by nodes of the list."""
    conf = head_config()
    reducer = Reducer(conf.settings, 1)
    listed = tuple(read_node(entry(index)) for index in range(nodes))
    (timer,) = reducer.reduce(model.EndpointListReceived(timedelta(0), ListKind.FULL, listed))
    assert isinstance(timer, model.SetTimer)

    def read() -> None:
        for number in range(1, READINGS + 1):
            effects = reducer.reduce(model.TimerDue(number * READ_EVERY, timer.token))
            assert any(isinstance(effect, model.SetTimer) for effect in effects)

    took = harness.processor_seconds(read)
    share = took / (READINGS * READ_EVERY.total_seconds())
    run.add(Measurement("cpu of readings, by nodes", nodes, round(100 * share, 4), "% of a core"))
    run.add(Measurement("cpu of one reading, by nodes", nodes, round(1e6 * took / READINGS, 2), "us"))


# -- the account, which each head applies --------------------------------------------------------------------
def rich_ledger(customers: int) -> Ledger:
    """Customers that have more than is ever drawn."""
    ledger = Ledger()
    for number in range(customers):
        name = f"c{number}"
        ledger.apply(0, msgspec.msgpack.encode(PutCustomer(name, (f"volume-{number}",))))
        booked = BookEntry(f"top-up-{number}", name, 10**15, "top-up", "bench", "", "")
        ledger.apply(0, msgspec.msgpack.encode(booked))
    return ledger


def draw(ledger: Ledger, head: int, number: int, customer: str, holds: tuple[str, ...] = ()) -> Grants:
    """One head's word: it wants more of one customer."""
    turn = CustomerReport(customer, holds, (), 1000, 1)
    body = msgspec.msgpack.encode(CreditReport(f"h{head}", f"i{head}", number, (turn,)))
    return msgspec.msgpack.decode(ledger.apply(number * 100_000 + head, body), type=Grants)


def add_ledger(run: Run, heads: int) -> None:
    """One word of a head about a customer that all heads serve: each head of the fleet applies it."""
    ledger = rich_ledger(1)
    holds = {head: draw(ledger, head, 1, "c0").grants[0].allotment for head in range(heads)}
    words = 100

    def say() -> None:
        for number in range(words):
            head = number % heads
            draw(ledger, head, 2 + number, "c0", (holds[head],))

    took = harness.processor_seconds(say)
    run.add(
        Measurement(
            "cpu of one word about a customer, by heads that serve it",
            heads,
            round(1e6 * took / words, 2),
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


def add_expiry(run: Run, heads: int, customers: int = 10) -> None:
    """What each head does every 50 ms to know how old allotments are: 10 customers that all heads serve."""
    ledger = rich_ledger(customers)
    for head in range(heads):
        for customer in range(customers):
            draw(ledger, head, 1 + customer, f"c{customer}")
    with tempfile.TemporaryDirectory() as folder:
        service = idle_service(ledger, Path(folder))
        asyncio.run(service.expire())  # the first look learns of all of them

        async def look() -> None:
            for _ in range(LOOKS):
                await service.expire()

        took = harness.processor_seconds(lambda: asyncio.run(look()))
        service.journal.close()
    share = took / (LOOKS * STEP.total_seconds())
    name = "cpu of the looks at allotments, 10 customers, by heads that serve them"
    run.add(Measurement(name, heads, round(100 * share, 4), "% of a core"))


def idle_service(ledger: Ledger, folder: Path) -> CreditService:
    """The credit of a head that does not lead, without a fleet around it."""
    fleet: Any = SimpleNamespace(
        settings=SimpleNamespace(folder=folder),
        stored=SimpleNamespace(writable=True, start_count=1),
        monitor=SimpleNamespace(watchers=[]),
        replication=SimpleNamespace(raft=SimpleNamespace(settled=False)),
        now=lambda: SECOND,
    )
    settings = CreditSettings((1000,), LEASE, SECOND)
    return CreditService(settings, cast(Any, fleet), ledger, (), set(), lambda: SECOND)


# -- how many words a head has for the account --------------------------------------------------------------
def add_words(run: Run, customers: int) -> None:
    """Words that one head puts to the log, its customers asking twice a second each; virtual time."""
    ledger = rich_ledger(customers)
    with tempfile.TemporaryDirectory() as folder:
        holder = HeadEscrow(LEASE, SpentJournal(Path(folder) / "book"))
        draws = random.Random(f"words/{customers}")
        words = turns_said = number = step = 0
        while (now := SECOND + step * STEP) < SECOND + TURNS_SPAN:
            for customer in range(customers):
                if draws.random() < REQUESTS_A_SECOND * STEP.total_seconds():
                    request = f"r{step}.{customer}"
                    holder.reserve(request, f"c{customer}", 1000, 2, now)
                    holder.settle(request, True)
            turns = holder.due_reports(now)
            if turns:
                number += 1
                words, turns_said = words + 1, turns_said + len(turns)
                body = msgspec.msgpack.encode(CreditReport("h0", "i0", number, tuple(turns)))
                grants = msgspec.msgpack.decode(ledger.apply(number, body), type=Grants)
                for turn, grant in zip(turns, grants.grants, strict=True):
                    holder.apply_grant(turn, grant, now, now)
            step += 1
    seconds = TURNS_SPAN.total_seconds()
    run.add(Measurement("commands of a head, by customers that it serves", customers, words / seconds, "1/s"))
    run.add(Measurement("turns in them, by customers that it serves", customers, turns_said / seconds, "1/s"))


# -- what an edit carries ------------------------------------------------------------------------------------
def add_set(run: Run, rules: int) -> None:
    """Bytes of a set as each head is told it: once with rules that differ by a number, once by a random path.

    The whole set travels with each edit, however little of it has changed.
    """
    draws = random.Random(f"set/{rules}")
    regular = text_of(rules, "mark")
    irregular = re.sub(r"/p[0-9]+", lambda _: f"/{draws.getrandbits(64):016x}", regular)
    for label, text in (("numbered paths", regular), ("random paths", irregular)):
        packed = len(pack_rule_set(RuleSet("rules.cue", {"rules.cue": text})))
        run.add(Measurement(f"bytes of a set to a head, {label}, by rules", rules, packed, "bytes"))
    run.add(Measurement("bytes of a set as text, by rules", rules, len(regular), "bytes"))
