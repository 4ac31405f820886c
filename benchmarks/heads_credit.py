"""Prepaid credit measured: the decision's cost, CPU a request with it on and off, and what is overspent or
refused against three baselines under the same faults.

    python -m benchmarks.heads_credit [--seeds 40] [--requests 3000]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.records import Grant
from stoatrouter.lab.fleet.credit import CreditFleet
from stoatrouter.lab.fleet.credit_account import ACCOUNT
from stoatrouter.lab.fleet.errors import InvariantViolated
from stoatrouter.lab.fleet.stories import schedule_credit_run
from stoatrouter.lab.fleet.world import World
from stoatrouter.peering.spent_journal import SpentJournal

SECOND = timedelta(seconds=1)
ANSWER_BY = timedelta(milliseconds=400)


def decision(customers: int, rounds: int = 200_000) -> str:
    """One take and one end, with the spent figure written to the mapped file."""
    with tempfile.TemporaryDirectory() as folder:
        holder, times = HeadEscrow(5 * SECOND, SpentJournal(Path(folder) / "book")), []
        for i in range(customers):
            holder.request_allotment(f"c{i}", 1, SECOND)
        for turn in holder.due_reports(SECOND, customers):
            holder.apply_grant(
                turn, Grant(turn.customer, f"{turn.customer}.0", 10**12, 10**12, 0), SECOND, SECOND
            )
        for i in range(rounds):
            customer, now = f"c{i % customers}", SECOND + timedelta(microseconds=i)
            began = time.perf_counter_ns()
            turned = holder.reserve("r", customer, 2000, 2, now)
            holder.settle("r", True)
            times.append(time.perf_counter_ns() - began)
            assert turned is None
        times.sort()
        return (
            f"{customers} customers: p50 {times[len(times) // 2] / 1000:.2f} us, p99 "
            f"{times[len(times) * 99 // 100] / 1000:.2f} us, mean {statistics.mean(times) / 1000:.2f} us"
        )


# -- baselines, over the same world, load and faults -----------------------------------------------------
class EvenSplit(CreditFleet):
    """Each head may spend its even part of what was paid in, and no more."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.spent: Counter[tuple[str, str]] = Counter()  # by head and customer

    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        if not self.world.is_running(name):
            return
        spent = self.spent[name, customer]
        if spent + charge > self.paid[customer] // len(self.names):
            self.rejected += 1
            return
        self.spent[name, customer] = spent + charge
        self.admitted += 1
        self.charged[customer] += charge
        self.check_not_overspent(customer)


class NoSharing(EvenSplit):
    """Each head believes that it alone spends."""

    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        held = self.paid
        self.paid = {c: amount * len(self.names) for c, amount in held.items()}
        try:
            super().request(name, customer, charge, rank)
        finally:
            self.paid = held


class AsksEachTime(CreditFleet):
    """Each request waits for the account's word; one that does not come in time is refused, booked or not."""

    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        if not self.world.is_running(name):
            return
        answered: list[bool] = []

        def arrive() -> None:
            account = self.account.ledger.accounts[customer]
            ok = account.balance >= charge
            if ok:
                account.charged += charge
            self.world.send(ACCOUNT, name, lambda: back(ok))

        def back(ok: bool) -> None:
            if not answered:
                answered.append(ok)
                self.done(customer, charge, ok)

        def late() -> None:
            if not answered:
                answered.append(False)
                self.rejected += 1

        self.world.send(name, ACCOUNT, arrive)
        self.world.schedule_on(name, ANSWER_BY, late)

    def done(self, customer: str, charge: int, ok: bool) -> None:
        if not ok:
            self.rejected += 1
            return
        self.admitted += 1
        self.charged[customer] += charge
        self.check_not_overspent(customer)


def compared(kind: type[CreditFleet], seed: int, uneven: bool) -> tuple[float, float, float]:
    """Served of what was paid in, overspent of what was paid in, requests refused; under one seed's
    faults."""
    names = [*(f"h{i}" for i in range(5)), ACCOUNT]
    world = World(seed, names)
    fleet = kind(world, returned=True)  # no overspending ends the run: it is what is measured
    fleet.sent_fraction, fleet.uneven = 1.0, uneven
    span = 20 * SECOND
    schedule_credit_run(fleet, seed, span, wipes=False)
    for account in fleet.account.ledger.accounts.values():
        account.low_water = 0  # none of the baselines narrows
        account.refund_expired = kind is not CreditFleet
    world.run(span)
    paid, charged = sum(fleet.paid.values()), fleet.charged
    over = sum(max(0, charged[c] - fleet.paid[c]) for c in charged)
    asked = max(1, fleet.admitted + fleet.rejected)
    return (sum(charged.values()) - over) / paid, over / paid, fleet.rejected / asked


def against_baselines(seeds: int, uneven: bool) -> None:
    print(
        "\ncustomers come through one head above all, which changes"
        if uneven
        else "\ncustomers come through all heads alike"
    )
    print(
        "\n| way | served of what was paid in | overspent, worst seed | refused |\n| --- | --- | --- | --- |"
    )
    for kind, title in (
        (CreditFleet, "allotments, as shipped"),
        (EvenSplit, "even split"),
        (AsksEachTime, "a call for each request"),
        (NoSharing, "no sharing"),
    ):
        rows = []
        for seed in range(seeds):
            try:
                rows.append(compared(kind, seed, uneven))
            except InvariantViolated as broken:
                print(f"seed {seed}: {broken}")
        print(
            f"| {title} | {statistics.mean(r[0] for r in rows):.1%} | {max(r[1] for r in rows):.1%} | "
            f"{statistics.mean(r[2] for r in rows):.1%} |",
            flush=True,
        )


# -- CPU of a head ---------------------------------------------------------------------------------------
async def cpu_a_request(more: str, requests: int, prepare: Callable | None = None) -> tuple[float, float]:
    """Milliseconds of CPU for each request, and memory in MB, of one head of the real program."""
    from benchmarks.heads import used
    from tests.heads.processes import running_heads

    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(Path(folder), count=1, voters=1, extra_settings=more) as fleet:
            head = fleet["h0"]
            if prepare is not None:
                await prepare(head)
            for i in range(200):
                await head.send_request(f"w{i}")
            assert head.process is not None
            before = used(head.process.pid)
            served = 0
            for i in range(requests):
                served += (await head.send_request(f"r{i}"))[0] == 200
            after = used(head.process.pid)
            assert served == requests, f"{served} of {requests} served"
            return (after.cpu_s - before.cpu_s) / requests * 1000, after.rss_mb


async def on_and_off(requests: int) -> None:
    from tests.heads.credit_clients import CREDIT_SETTINGS, VOLUME, put_customer

    async def prepare(head: object) -> None:
        await put_customer(head, "acme", VOLUME, paid=10**12)

    for _ in range(3):
        off = await cpu_a_request("", requests)
        on = await cpu_a_request(CREDIT_SETTINGS, requests, prepare)
        print(
            f"CPU a request: off {off[0]:.3f} ms, on {on[0]:.3f} ms ({on[0] / off[0] - 1:+.1%}); "
            f"memory {off[1]:.1f} and {on[1]:.1f} MB",
            flush=True,
        )


async def agreement_time(commands: int) -> str:
    """How long a top-up takes at the leader and at a head without a vote, and all heads' CPU for one."""
    from benchmarks.heads import used
    from tests.heads.credit_clients import CREDIT_SETTINGS, VOLUME, pay, put_customer
    from tests.heads.processes import running_heads

    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(Path(folder), extra_settings=CREDIT_SETTINGS) as fleet:
            await put_customer(fleet["h0"], "acme", VOLUME)
            leader, lines = await fleet.leader(), []
            for head in (leader, fleet["h4"]):
                before = sum(used(h.process.pid).cpu_s for h in fleet if h.process)
                times = []
                for i in range(commands):
                    began = time.perf_counter()
                    assert (await pay(head, "acme", 1, f"{head.name}-{i}"))[0] == 200
                    times.append((time.perf_counter() - began) * 1000)
                times.sort()
                cpu = (sum(used(h.process.pid).cpu_s for h in fleet if h.process) - before) / commands
                where = "the leader" if head is leader else "a follower"
                lines.append(
                    f"at {where}: p50 {times[commands // 2]:.1f} ms, "
                    f"p99 {times[commands * 99 // 100]:.1f} ms, "
                    f"{cpu * 1000:.1f} ms of CPU of five heads"
                )
            return "a top-up agreed on, 5 heads, 3 voters, " + "; ".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--commands", type=int, default=300)
    given = parser.parse_args()
    for customers in (1, 1000):
        print(decision(customers), flush=True)
    for uneven in (False, True):
        against_baselines(given.seeds, uneven)
    if given.commands:
        print(asyncio.run(agreement_time(given.commands)), flush=True)
    if given.requests:
        asyncio.run(on_and_off(given.requests))


if __name__ == "__main__":
    main()
