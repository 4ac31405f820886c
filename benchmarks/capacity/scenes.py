"""Fault scenes on a fleet on one machine, each driven by a seed; the recorded history is checked afterwards.

    PYTHONPATH=. python -m benchmarks.capacity.scenes --sizes 185 --scenes leader,restart [--seeds 1]

Scenes: leader (the leader is killed), restart (all heads are restarted at once), machine (a voter and its
disk are lost for good), day (the faults of an ordinary day within minutes), region, zone, rack (all heads
there are killed and started again later), apart (two regions are partitioned, with edits on both sides). They
run one after the other on one fleet, each from one steady state to the next; the history of all of them is
checked at the end. An interrupted run gives no verdict.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from benchmarks.capacity.capacity_fleet import CapacityFleet, Size, log_progress, running_fleet
from benchmarks.capacity.faults import Faults
from benchmarks.capacity.fleet import add_sizes, interruptible, size_of
from benchmarks.capacity.harness import CapacityExceeded, Measurement, Run, parser, recording
from benchmarks.capacity.samples import Sampler
from benchmarks.capacity.scene_clients import SceneClients
from benchmarks.capacity.spans import ScenePart, describe_spans, in_force_spans, seen_failed

EDITS_PER_DAY = 1_200  # on an ordinary day
SPEED_UP = 20  # factor by which the pace of edits exceeds that of an ordinary day
EDIT_EVERY = 86_400 / EDITS_PER_DAY / SPEED_UP  # seconds: 3.6
RESTARTS_PER_DAY = 150  # on an ordinary day
FAILURES_PER_DAY = 3  # on an ordinary day
DETECTION_TIMEOUT = 25.0  # seconds; the checker requires no detection of a head that was down for less
MAX_FAILED_HEADS_RECORDED = 3  # killed heads of a scene whose detection times are recorded
DOWNTIME = 30.0  # seconds for which a leader, rack, zone or region stays down
LEADER_TIMEOUT = 60.0  # seconds to wait for a working leader
RETRY_INTERVAL = 0.1  # seconds
IN_TOUCH_TIMEOUT = 45.0  # seconds to wait at the end of a scene
STEADY_TIMEOUT = 10.0  # seconds to wait after that
INITIAL_STEADY_TIMEOUT = 25.0  # seconds; the scenes start even if the fleet is not steady by then


@dataclass
class SceneContext:
    """Fleet, clients and faults that a scene uses, and the figures that it records."""

    fleet: CapacityFleet
    clients: SceneClients
    sampler: Sampler
    faults: Faults
    rng: random.Random
    seconds: float  # length of the scenes "day" and "apart"
    figures: dict[str, float] = field(default_factory=dict)

    async def wait_acknowledged(self, since: float) -> float:
        """Send commands to random real heads; return the seconds until one is acknowledged."""
        while time.monotonic() < since + LEADER_TIMEOUT:
            head = self.clients.random_head()
            if head is not None and await self.clients.pay(head, "acme", 1_000) == 200:
                return time.monotonic() - since
            await asyncio.sleep(RETRY_INTERVAL)
        return float("inf")

    async def wait_all_follow(self, since: float, old_leader: str) -> float:
        """Return the seconds until all running hollow heads are in touch and follow a new leader."""
        while time.monotonic() < since + LEADER_TIMEOUT:
            census = await self.fleet.hollow.report()
            if all(
                report.availability == "in touch" and report.leader not in ("", old_leader)
                for report in census.running
            ):
                return time.monotonic() - since
            await asyncio.sleep(0.2)
        return float("inf")


Scene = Callable[[SceneContext], Awaitable[None]]


async def leader_killed(context: SceneContext) -> None:
    """Kill the leader and start it again later."""
    leader = await context.fleet.real.leader()
    with context.faults.down([leader.name]):
        killed = time.monotonic()
        await leader.kill()
        follow = asyncio.create_task(context.wait_all_follow(killed, leader.name))
        context.figures["first command acknowledged after, s"] = await context.wait_acknowledged(killed)
        context.figures["all hollow heads follow the next leader after, s"] = await follow
        await asyncio.sleep(max(0.0, killed + DOWNTIME - time.monotonic()))
    await leader.start(ready=False)


async def everything_restarted(context: SceneContext) -> None:
    """Kill all heads at once and start them again at once."""
    fleet = context.fleet
    real = [head.name for head in fleet.real.up]
    await context.faults.kill(real, fleet.hollow.names)
    started_at = time.monotonic()
    start = asyncio.create_task(context.faults.start(real, fleet.hollow.names))
    context.figures["first command acknowledged after, s"] = await context.wait_acknowledged(started_at)
    await start
    context.figures["all hollow heads serve after, s"] = time.monotonic() - started_at


async def machine_lost(context: SceneContext) -> None:
    """Lose a voter with its disk, replace it by a spare and write off the credit that it held."""
    fleet, real = context.fleet, context.fleet.real
    leader = await real.leader()
    voting = [name for name in (await leader.status())["voters"] if name != leader.name]
    lost = context.rng.choice(sorted(voting))
    spare = next(
        name for name in real.streams if name not in (leader.name, *voting) and real[name] in real.up
    )
    with context.faults.down([lost]):
        started_at = time.monotonic()
        await real[lost].kill()
        shutil.rmtree(real[lost].disk)
        context.figures["voter replaced after, s"] = await replace_voter(context, lost, spare, started_at)
        await context.faults.write_off(lost)
        await asyncio.sleep(max(0.0, started_at + DOWNTIME - time.monotonic()))
    fleet.real.voters[fleet.real.voters.index(lost)] = spare


async def replace_voter(context: SceneContext, lost: str, spare: str, started_at: float) -> float:
    """Add the spare as a voter, then remove the lost one; return the seconds until both are agreed on."""
    for method, name in (("POST", spare), ("DELETE", lost)):
        status = 0
        while status != 200 and time.monotonic() < started_at + LEADER_TIMEOUT:
            leader = await context.fleet.real.leader()
            status, _ = await leader.call(method, f"/control/heads/voters/{name}")
            if status != 200:
                await asyncio.sleep(0.3)
    return time.monotonic() - started_at


async def ordinary_day(context: SceneContext) -> None:
    """Run the failures and restarts of a day within minutes, with edits at 20 times their usual pace."""
    hollow, rng = context.fleet.hollow, context.rng
    ends_at = time.monotonic() + context.seconds
    schedule = sorted(
        [(rng.uniform(0, context.seconds * 0.8), "restart") for _ in range(RESTARTS_PER_DAY)]
        + [(rng.uniform(0, context.seconds * 0.6), "fail") for _ in range(FAILURES_PER_DAY)]
    )
    started_at, unavailable, tasks = time.monotonic(), set[str](), []

    async def apply_event(kind: str, name: str) -> None:
        if kind == "fail":
            with context.faults.down([name]):
                await hollow.crash([name])
                await asyncio.sleep(DETECTION_TIMEOUT + 1)
        else:
            context.clients.mark_interrupted([name])
            await hollow.stop([name])
        await hollow.start([name])
        unavailable.discard(name)

    for offset, kind in schedule:
        await asyncio.sleep(max(0.0, started_at + offset - time.monotonic()))
        name = rng.choice([name for name in hollow.names if name not in unavailable])
        unavailable.add(name)
        tasks.append(asyncio.create_task(apply_event(kind, name)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(max(0.0, ends_at - time.monotonic()))


def place_lost(kind: str) -> Scene:
    """Return a scene that kills all heads of a random region, zone or rack and starts them again later."""

    async def scene(context: SceneContext) -> None:
        number = context.rng.choice(context.faults.occupied_places(kind))
        names = context.faults.members(kind, number)
        real = [name for name in names if name in context.fleet.real.heads]
        hollow = [name for name in names if name in context.fleet.hollow.names]
        voters = [name for name in real if name in context.fleet.real.voters]
        log_progress(f"{kind} {number}: {len(hollow)} hollow heads, {len(real)} real heads, voters {voters}")
        with context.faults.down([*real, *hollow]):
            started_at = time.monotonic()
            await context.faults.kill(real, hollow)
            context.figures["first command acknowledged after, s"] = await context.wait_acknowledged(
                started_at
            )
            await asyncio.sleep(max(0.0, started_at + DOWNTIME - time.monotonic()))
        restored_at = time.monotonic()
        await context.faults.start(real, hollow)
        context.figures["all that came back serve after, s"] = time.monotonic() - restored_at

    return scene


async def regions_partitioned(context: SceneContext) -> None:
    """Partition regions 0 and 1, while region 2 reaches both; editors send edits on both sides."""
    editors = context.clients.editors
    editors["ann"], editors["bob"] = context.faults.real_of_region(0), context.faults.real_of_region(1)
    before = context.clients.accepted
    await context.faults.part_regions(0, 1)
    started_at = time.monotonic()
    acknowledged_after = {who: await wait_acknowledged_at(context, names) for who, names in editors.items()}
    await asyncio.sleep(max(0.0, started_at + context.seconds - time.monotonic()))
    for who, seconds in acknowledged_after.items():
        side = 0 if who == "ann" else 1
        context.figures[f"a command on the side of region {side} acknowledged after, s"] = seconds
    context.figures["edits accepted while apart"] = context.clients.accepted - before
    await context.faults.heal()
    editors["ann"], editors["bob"] = [], []


async def wait_acknowledged_at(context: SceneContext, names: list[str]) -> float:
    """Send commands to the named heads; return the seconds until one is acknowledged."""
    started_at = time.monotonic()
    while time.monotonic() < started_at + LEADER_TIMEOUT / 3:
        head = context.clients.at(names)
        if head is not None and await context.clients.pay(head, "acme", 1_000) == 200:
            return time.monotonic() - started_at
        await asyncio.sleep(RETRY_INTERVAL)
    return float("inf")


SCENES: dict[str, Scene] = {
    "leader": leader_killed,
    "restart": everything_restarted,
    "machine": machine_lost,
    "day": ordinary_day,
    "region": place_lost("region"),
    "apart": regions_partitioned,
    "rack": place_lost("rack"),
    "zone": place_lost("zone"),
}


async def run_scenes(run: Run, size: Size, seed: int, names: list[str], seconds: float, spend: float) -> None:
    """Run all scenes on one fleet, then check their history."""
    with tempfile.TemporaryDirectory(prefix="scenes-") as directory:
        folder = Path(directory)
        async with running_fleet(folder, size, seed) as fleet:
            elapsed = await fleet.wait_in_touch()
            run.add(Measurement("start to in touch", size.heads, elapsed, "s", seed))
            elapsed += await elapsed_or_infinity(fleet.wait_steady(INITIAL_STEADY_TIMEOUT))
            run.add(Measurement("start to all seeing 98%", size.heads, elapsed, "s", seed))
            clients = SceneClients(fleet, seed, folder / "history.jsonl", EDIT_EVERY)
            sampler = Sampler(fleet)
            context = SceneContext(
                fleet, clients, sampler, Faults(fleet, clients), random.Random(f"scenes/{seed}"), seconds
            )
            await clients.start(spend)
            sampler.start()
            for name in names:
                await run_scene(run, context, name, seed)
            await sampler.stop()
            log_progress("settling")
            await clients.finish()
            record_verdict(run, context, names, seed)


async def run_scene(run: Run, context: SceneContext, name: str, seed: int) -> None:
    """Run one scene until the fleet is steady again, and record its figures."""
    log_progress(f"scene: {name}")
    started_at, part = time.monotonic(), ScenePart(name, time.time())
    part.interrupted.update(context.clients.logs_of_lost_heads)
    context.clients.scene_parts.append(part)
    context.figures = {}
    await SCENES[name](context)
    ended_at = time.monotonic()
    fleet, figures = context.fleet, context.figures
    figures["from its end to all in touch, s"] = await elapsed_or_infinity(
        fleet.wait_in_touch(IN_TOUCH_TIMEOUT)
    )
    figures["from then to all seeing 98%, s"] = await elapsed_or_infinity(fleet.wait_steady(STEADY_TIMEOUT))
    window = context.sampler.window(started_at)
    versions = context.sampler.samples[-1].versions
    details = {key: str(value) for key, value in asdict(window).items() if isinstance(value, dict)}
    details["versions at its end"] = str(dict(versions.most_common(4)))
    heads = context.fleet.size.heads
    for kind, value in figures.items():
        run.add(Measurement(f"{name}: {kind}", heads, value, "s", seed))
    for kind, value in asdict(window).items():
        if not isinstance(value, dict):
            run.add(Measurement(f"{name}: {kind}", heads, float(value), UNITS.get(kind, ""), seed))
    run.add(Measurement(f"{name}: length", heads, ended_at - started_at, "s", seed, dict(details)))
    part.until = time.time()


UNITS = {
    "mean_bytes": "bytes a head and second",
    "peak_bytes": "bytes a head and second",
    "busiest_bytes": "bytes a second",
    "mean_bytes_answered": "bytes a head and second",
    "hollow_cpu": "% of a core a head",
    "hollow_cpu_peak": "% of a core a head",
    "voter_cpu": "% of a core",
    "voter_cpu_peak": "% of a core",
    "cut_off_most": "hollow heads",
    "longest_lag": "s",
}


async def elapsed_or_infinity(wait: Awaitable[float]) -> float:
    """Return the seconds that a wait took, or infinity if it timed out."""
    try:
        return await wait
    except TimeoutError as error:
        log_progress(str(error))
        return float("inf")


def record_verdict(run: Run, context: SceneContext, names: Iterable[str], seed: int) -> None:
    """Record the violations found in the whole run, and the durations computed from the logs."""
    history, violations = context.clients.check_history()
    heads = context.fleet.size.heads
    label = "+".join(names)
    for text in violations[:20]:
        log_progress(f"BROKEN: {text}")
    details = {"first": violations[0][:300] if violations else "", "lines": len(history.lines)}
    run.add(Measurement(f"{label}: promises broken", heads, len(violations), "", seed, details))
    for part in context.clients.scene_parts:
        if spans := in_force_spans(history, part):
            span_details: dict[str, float | int | str] = {"edits": describe_spans(spans)}
            run.add(
                Measurement(
                    f"{part.name}: edit in force, slowest", heads, max(spans), "s", seed, span_details
                )
            )
        for observed in seen_failed(history, part)[:MAX_FAILED_HEADS_RECORDED]:
            failure_details: dict[str, float | int | str] = {
                "head": observed.head,
                "witnesses": observed.witnesses,
                "first": round(observed.first, 1),
            }
            run.add(
                Measurement(
                    f"{part.name}: seen as failed by all", heads, observed.last, "s", seed, failure_details
                )
            )


def main() -> int:
    """Run the command."""
    arguments_parser = parser(__doc__ or "", "60")
    add_sizes(arguments_parser)
    arguments_parser.add_argument(
        "--scenes", default="leader", help=f"from {', '.join(SCENES)}; default leader"
    )
    arguments_parser.add_argument(
        "--seconds", type=float, default=90.0, help="length of the scenes day and apart; default 90"
    )
    arguments_parser.add_argument(
        "--spend", type=float, default=0.0, help="requests per second of each hollow head"
    )
    arguments = arguments_parser.parse_args()
    names = arguments.scenes.split(",")
    try:
        if unknown := [name for name in names if name not in SCENES]:
            raise CapacityExceeded(f"unknown scenes: {', '.join(unknown)} (known: {', '.join(SCENES)})")
        sizes = [size_of(arguments, heads) for heads in arguments.sizes]
        for size in sizes:
            size.check()
    except CapacityExceeded as error:
        print(f"refused: {error}", file=sys.stderr)
        return 2
    with contextlib.suppress(KeyboardInterrupt):
        with recording("scenes", arguments.out) as run:
            for size in sizes:
                for seed in arguments.seeds:
                    interruptible(run_scenes(run, size, seed, names, arguments.seconds, arguments.spend))
        return 0
    return 130


if __name__ == "__main__":
    raise SystemExit(main())
