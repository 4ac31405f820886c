"""Cost of prepaid credit: time of a decision, CPU per request with credit on and off, time of agreement.

Overspending and refusals are compared with three baselines under the same faults.

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
from stoatrouter.lab.fleet.scenarios import schedule_credit_run
from stoatrouter.lab.fleet.world import World
from stoatrouter.peering.spent_journal import SpentJournal

SECOND = timedelta(seconds=1)
ANSWER_TIMEOUT = timedelta(milliseconds=400)


def measure_decision(customers: int, rounds: int = 200_000) -> str:
    """Measure one reservation and its settlement, including the write to the mapped spent journal."""
    with tempfile.TemporaryDirectory() as folder:
        escrow = HeadEscrow(5 * SECOND, SpentJournal(Path(folder) / "book"))
        times = []
        for i in range(customers):
            escrow.request_allotment(f"c{i}", 1, SECOND)
        for report in escrow.due_reports(SECOND, customers):
            escrow.apply_grant(
                report, Grant(report.customer, f"{report.customer}.0", 10**12, 10**12, 0), SECOND, SECOND
            )
        for i in range(rounds):
            customer, now = f"c{i % customers}", SECOND + timedelta(microseconds=i)
            started_at = time.perf_counter_ns()
            rejection = escrow.reserve("r", customer, 2000, 2, now)
            escrow.settle("r", True)
            times.append(time.perf_counter_ns() - started_at)
            assert rejection is None
        times.sort()
        return (
            f"{customers} customers: p50 {times[len(times) // 2] / 1000:.2f} us, p99 "
            f"{times[len(times) * 99 // 100] / 1000:.2f} us, mean {statistics.mean(times) / 1000:.2f} us"
        )


# -- baselines, over the same world, load and faults -----------------------------------------------------
class EvenSplit(CreditFleet):
    """Each head may spend an equal part of the paid amount."""

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
    """Each head may spend the whole paid amount."""

    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        paid = self.paid
        self.paid = {c: amount * len(self.names) for c, amount in paid.items()}
        try:
            super().request(name, customer, charge, rank)
        finally:
            self.paid = paid


class CentralAccount(CreditFleet):
    """Each request waits for an answer of the account; it is refused after a timeout, even if charged."""

    def request(self, name: str, customer: str, charge: int, rank: int) -> None:
        if not self.world.is_running(name):
            return
        answered: list[bool] = []

        def handle_request() -> None:
            account = self.account.ledger.accounts[customer]
            ok = account.balance >= charge
            if ok:
                account.charged += charge
            self.world.send(ACCOUNT, name, lambda: receive_answer(ok))

        def receive_answer(ok: bool) -> None:
            if not answered:
                answered.append(ok)
                self.record_answer(customer, charge, ok)

        def expire() -> None:
            if not answered:
                answered.append(False)
                self.rejected += 1

        self.world.send(name, ACCOUNT, handle_request)
        self.world.schedule_on(name, ANSWER_TIMEOUT, expire)

    def record_answer(self, customer: str, charge: int, ok: bool) -> None:
        if not ok:
            self.rejected += 1
            return
        self.admitted += 1
        self.charged[customer] += charge
        self.check_not_overspent(customer)


def run_seed(fleet_class: type[CreditFleet], seed: int, uneven: bool) -> tuple[float, float, float]:
    """Run one seed; return the served and the overspent share of the paid amount, and the refused share."""
    names = [*(f"h{i}" for i in range(5)), ACCOUNT]
    world = World(seed, names)
    fleet = fleet_class(
        world, refund_expired=True
    )  # overspending is measured here, so it does not end the run
    fleet.sent_fraction = 1.0
    fleet.uneven = uneven
    span = 20 * SECOND
    schedule_credit_run(fleet, seed, span, wipes=False)
    for account in fleet.account.ledger.accounts.values():
        account.low_water = 0  # the baselines do not reduce allotments, so no fleet here does
        account.refund_expired = fleet_class is not CreditFleet
    world.run(span)
    paid, charged = sum(fleet.paid.values()), fleet.charged
    overspent = sum(max(0, charged[c] - fleet.paid[c]) for c in charged)
    total = max(1, fleet.admitted + fleet.rejected)
    return (sum(charged.values()) - overspent) / paid, overspent / paid, fleet.rejected / total


def compare_baselines(seeds: int, uneven: bool) -> None:
    print(
        "\ncustomers come through one head above all, which changes"
        if uneven
        else "\ncustomers come through all heads alike"
    )
    print(
        "\n| way | served of what was paid in | overspent, worst seed | refused |\n| --- | --- | --- | --- |"
    )
    for fleet_class, title in (
        (CreditFleet, "allotments, as shipped"),
        (EvenSplit, "even split"),
        (CentralAccount, "a call for each request"),
        (NoSharing, "no sharing"),
    ):
        rows = []
        for seed in range(seeds):
            try:
                rows.append(run_seed(fleet_class, seed, uneven))
            except InvariantViolated as violation:
                print(f"seed {seed}: {violation}")
        print(
            f"| {title} | {statistics.mean(r[0] for r in rows):.1%} | {max(r[1] for r in rows):.1%} | "
            f"{statistics.mean(r[2] for r in rows):.1%} |",
            flush=True,
        )


# -- CPU of a head ---------------------------------------------------------------------------------------
async def measure_request_cpu(
    more: str, requests: int, prepare: Callable | None = None
) -> tuple[float, float]:
    """Return the CPU milliseconds per request and the memory in MB of one head of the real program."""
    from benchmarks.heads import process_usage
    from tests.heads.processes import running_heads

    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(Path(folder), count=1, voters=1, extra_settings=more) as fleet:
            head = fleet["h0"]
            if prepare is not None:
                await prepare(head)
            for i in range(200):
                await head.send_request(f"w{i}")
            assert head.process is not None
            before = process_usage(head.process.pid)
            served = 0
            for i in range(requests):
                served += (await head.send_request(f"r{i}"))[0] == 200
            after = process_usage(head.process.pid)
            assert served == requests, f"{served} of {requests} served"
            return (after.cpu_s - before.cpu_s) / requests * 1000, after.rss_mb


async def measure_credit_cpu(requests: int) -> None:
    from tests.heads.credit_clients import CREDIT_SETTINGS, VOLUME, put_customer

    async def prepare(head: object) -> None:
        await put_customer(head, "acme", VOLUME, paid=10**12)

    for _ in range(3):
        off = await measure_request_cpu("", requests)
        on = await measure_request_cpu(CREDIT_SETTINGS, requests, prepare)
        print(
            f"CPU a request: off {off[0]:.3f} ms, on {on[0]:.3f} ms ({on[0] / off[0] - 1:+.1%}); "
            f"memory {off[1]:.1f} and {on[1]:.1f} MB",
            flush=True,
        )


async def measure_agreement(commands: int) -> str:
    """Measure the time of a top-up at the leader and at a follower, and the CPU of all heads for one."""
    from benchmarks.heads import process_usage
    from tests.heads.credit_clients import CREDIT_SETTINGS, VOLUME, pay, put_customer
    from tests.heads.processes import running_heads

    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(Path(folder), extra_settings=CREDIT_SETTINGS) as fleet:
            await put_customer(fleet["h0"], "acme", VOLUME)
            leader, lines = await fleet.leader(), []
            for head in (leader, fleet["h4"]):
                before = sum(process_usage(h.process.pid).cpu_s for h in fleet if h.process)
                times = []
                for i in range(commands):
                    started_at = time.perf_counter()
                    assert (await pay(head, "acme", 1, f"{head.name}-{i}"))[0] == 200
                    times.append((time.perf_counter() - started_at) * 1000)
                times.sort()
                cpu = (
                    sum(process_usage(h.process.pid).cpu_s for h in fleet if h.process) - before
                ) / commands
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
    arguments = parser.parse_args()
    for customers in (1, 1000):
        print(measure_decision(customers), flush=True)
    for uneven in (False, True):
        compare_baselines(arguments.seeds, uneven)
    if arguments.commands:
        print(asyncio.run(measure_agreement(arguments.commands)), flush=True)
    if arguments.requests:
        asyncio.run(measure_credit_cpu(arguments.requests))


if __name__ == "__main__":
    main()
