"""Resource use of a fleet on one machine: hollow heads, real voters and some other real heads, on loopback.

    PYTHONPATH=. python -m benchmarks.capacity.fleet --sizes 20,60,185 [--workers 8] [--seconds 20] [--out F]

For each size the whole fleet is started at once, given time to become steady, and measured for some seconds
without faults. Rates are means over all hollow heads; if a hollow head died, it is named and no figures are
recorded. Sizes that exceed the machine's capacity are refused before anything starts.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from argparse import ArgumentParser, Namespace
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path

from benchmarks.capacity.capacity_fleet import (
    CapacityFleet,
    Size,
    cpu_seconds_by_process,
    log_progress,
    message_count,
    running_fleet,
)
from benchmarks.capacity.harness import (
    CapacityExceeded,
    Measurement,
    Run,
    parser,
    process_memory_mb,
    recording,
)
from stoatrouter.lab.hollow.fleet_report import FleetReport, IncompleteReport, differences


async def measure(run: Run, fleet: CapacityFleet, seconds: float, seed: int) -> None:
    """Measure message rates, processor time and memory of hollow and real heads while nothing fails."""
    hollow, real = fleet.hollow, fleet.real
    before, cpu_before = await hollow.report(), cpu_seconds_by_process(fleet)
    real_before = {head.name: await head.status() for head in real.up}
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    span = time.monotonic() - started_at
    after, cpu_after = await hollow.report(), cpu_seconds_by_process(fleet)
    real_after = {head.name: await head.status() for head in real.up}
    log_progress(after.summary())
    lag = max(answer.longest_lag for answer in hollow.replies.values())
    late = max(answer.late_fraction for answer in hollow.replies.values())
    details: dict[str, float | int | str] = {
        "running": len(after.running),
        "expected": len(hollow.names),
        "workers": len(hollow.workers),
        "longest_lag_s": round(lag, 3),
        "late_wakes": round(late, 4),
    }
    heads = fleet.size.heads
    try:
        means = after.mean_rates(before, span)
    except IncompleteReport as error:
        log_progress(f"no figures recorded: {error}")
        return
    for kind in ("datagrams.sent", "datagrams.received", "datagrams.bytes", "streams.sent", "streams.bytes"):
        run.add(
            Measurement(f"hollow {kind}", heads, means.get(kind, 0.0), "a head and second", seed, details)
        )
    record_unanswered_fetches(run, fleet, before, after, seed)
    record_cpu_and_memory(run, fleet, cpu_before, cpu_after, span, seed)
    record_messages(run, fleet, real_before, real_after, span, seed)


def record_unanswered_fetches(
    run: Run, fleet: CapacityFleet, before: FleetReport, after: FleetReport, seed: int
) -> None:
    """Record the share of fetches of hollow heads that got no answer, with the counts by reason."""
    total: Counter[str] = Counter()
    for report in after.running:
        total.update(differences(report.counts, before.reports[report.name].counts))
    asked, prefix = total["hollow.asked.fetch"], "hollow.unanswered.fetch."
    reasons = {kind.removeprefix(prefix): count for kind, count in total.items() if kind.startswith(prefix)}
    unanswered = sum(reasons.values())
    details: dict[str, float | int | str] = {"asked": asked} | reasons
    share = unanswered / asked * 100 if asked else 0.0
    run.add(Measurement("fetches without an answer", fleet.size.heads, share, "%", seed, details))


def record_cpu_and_memory(
    run: Run,
    fleet: CapacityFleet,
    before: dict[str, float],
    after: dict[str, float],
    span: float,
    seed: int,
) -> None:
    """Record processor time and memory of hollow heads, real followers and voters."""
    heads, real = fleet.size.heads, fleet.real
    workers = [name for name in after if name.startswith("worker")]
    cpu_percent = {name: (after[name] - before.get(name, 0.0)) / span * 100 for name in after}
    per_head = sum(cpu_percent[name] for name in workers) / len(fleet.hollow.names)
    run.add(Measurement("hollow processor", heads, per_head, "% of a core a head", seed))
    memory = sum(process_memory_mb(worker.process.pid) for worker in fleet.hollow.workers)
    hollow = len(fleet.hollow.names)
    run.add(Measurement("workers' memory for each hollow head", heads, memory / hollow, "MB", seed))
    run.add(
        Measurement("busiest worker", heads, max(cpu_percent[name] for name in workers), "% of a core", seed)
    )
    followers = [head.name for head in real.up if head.name not in real.voters]
    for what, names in (("real follower", followers), ("voter", real.voters)):
        percents = [cpu_percent[name] for name in names if name in cpu_percent]
        if percents:
            mean, highest = sum(percents) / len(percents), max(percents)
            run.add(
                Measurement(
                    f"{what} processor", heads, mean, "% of a core", seed, {"most": round(highest, 2)}
                )
            )
            memory = max(real[name].memory_mb for name in names)
            run.add(Measurement(f"{what} memory, most", heads, memory, "MB", seed))


def record_messages(
    run: Run,
    fleet: CapacityFleet,
    before: dict[str, dict[str, object]],
    after: dict[str, dict[str, object]],
    span: float,
    seed: int,
) -> None:
    """Record the message rates of voters and real followers."""
    groups = {
        "voter": fleet.real.voters,
        "real follower": [name for name in fleet.real.names if name not in fleet.real.voters],
    }
    for what, names in groups.items():
        for kind in (
            "datagrams.sent",
            "datagrams.received",
            "datagrams.bytes",
            "streams.sent",
            "streams.received",
        ):
            rates = [
                (message_count(after[name], kind) - message_count(before[name], kind)) / span
                for name in names
                if name in after and name in before
            ]
            if rates:
                mean, highest = sum(rates) / len(rates), max(rates)
                details = {"most": round(highest, 2)}
                run.add(
                    Measurement(f"{what} {kind}", fleet.size.heads, mean, "a head and second", seed, details)
                )


async def run_size(run: Run, size: Size, seed: int, seconds: float, steady_within: float) -> None:
    """Start a fleet, wait until it is steady or the time is up, and measure it."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        async with running_fleet(Path(folder), size, seed) as fleet:
            elapsed = await fleet.wait_in_touch()
            run.add(Measurement("start to in touch", size.heads, elapsed, "s", seed))
            try:
                elapsed += await fleet.wait_steady(steady_within)
            except TimeoutError as error:
                log_progress(str(error))
                elapsed = float("inf")
            run.add(Measurement("start to all seeing 98%", size.heads, elapsed, "s", seed))
            await measure(run, fleet, seconds, seed)
            state = await fleet.state()
            run.add(Measurement("fewest heads seen alive", size.heads, state.min_alive, "heads", seed))


def add_sizes(arguments_parser: ArgumentParser) -> None:
    """Add the arguments that, with `--sizes` (the count of all heads), define a fleet."""
    arguments_parser.add_argument(
        "--workers", type=int, default=8, help="processes of hollow heads, default 8"
    )
    arguments_parser.add_argument(
        "--nodes", type=int, default=60, help="stand-in nodes that listen, default 60"
    )
    arguments_parser.add_argument(
        "--followers", type=int, default=8, help="real heads that never vote, default 8"
    )
    arguments_parser.add_argument("--voters", type=int, default=5, help="default 5")
    arguments_parser.add_argument(
        "--spares", type=int, default=2, help="real heads that may become voters, default 2"
    )


def size_of(arguments: Namespace, heads: int) -> Size:
    """Return the fleet size that the arguments ask for."""
    real = arguments.voters + arguments.spares + arguments.followers
    if heads <= real:
        raise CapacityExceeded(
            f"{heads} heads requested, but {real} are real: use fewer --followers or a larger size"
        )
    return Size(
        heads - real,
        arguments.voters,
        arguments.spares,
        arguments.followers,
        arguments.workers,
        arguments.nodes,
    )


def interruptible(work: Coroutine[None, None, None]) -> None:
    """Run a coroutine to its end or to the first SIGINT or SIGTERM, which cancels it so that it cleans up.

    Handlers are set explicitly because shells start background commands with SIGINT ignored.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    asyncio.run(work)


def main() -> int:
    """Run the command."""
    arguments_parser = parser(__doc__ or "", "20,60,185")
    add_sizes(arguments_parser)
    arguments_parser.add_argument("--seconds", type=float, default=20.0, help="duration of the measurement")
    arguments_parser.add_argument(
        "--steady-within",
        type=float,
        default=90.0,
        help="seconds to wait for a steady fleet before measuring anyway",
    )
    arguments = arguments_parser.parse_args()
    try:
        sizes = [size_of(arguments, heads) for heads in arguments.sizes]
        for size in sizes:
            size.check()
    except CapacityExceeded as error:
        print(f"refused: {error}", file=sys.stderr)
        return 2
    try:
        with recording("fleet", arguments.out) as run:
            for size in sizes:
                for seed in arguments.seeds:
                    interruptible(run_size(run, size, seed, arguments.seconds, arguments.steady_within))
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
