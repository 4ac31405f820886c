"""Failure detector: time to detect a killed head, false suspicions and load, with local health on and off.

    python -m benchmarks.heads_detector [--sizes 3,20,100,200] [--processes 5,12,20]

Runs the real detector in simulated fleets. The baselines in the same run are the detector with direct probes
only, and without local health. With --processes, heads of the real program are killed.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from stoatrouter.lab.fleet.detectors import DetectorFleet
from stoatrouter.lab.fleet.world import World
from stoatrouter.membership.detector_records import Timing
from stoatrouter.membership.roster import Status

SECOND = timedelta(seconds=1)


def simulate(size: int, loss: float, timing: Timing, seeds: int, span: int, pauses: bool = False) -> str:
    """Simulate one case; return a table row of medians over the seeds."""
    first_seen, last_seen, message_rates, byte_rates, suspected, failed = [], [], [], [], 0, 0
    for seed in range(seeds):
        world = World(seed, [f"h{i:03d}" for i in range(size)])
        fleet = DetectorFleet(world, timing=timing)
        world.run(15 * SECOND)
        for link in world.links.values():
            link.loss = loss
        fleet.changes.clear()
        world.messages_sent.clear()
        world.bytes_sent.clear()
        started_at = world.now
        if pauses:  # one head in five pauses for 1.5 s every 7 s
            for i, name in enumerate(world.names[::5]):
                for at in range(2 + i % 5, span, 7):
                    world.schedule(
                        at * SECOND, lambda name=name, world=world: world.pause(name, 1.5 * SECOND)
                    )
        world.run(started_at + span * SECOND)
        message_rates.append(sum(world.messages_sent.values()) / size / span)
        byte_rates.append(sum(world.bytes_sent.values()) / size / span)
        suspected += fleet.suspicions()
        failed += fleet.false_failures()
        victim = world.names[size // 2]
        fleet.kill(victim)
        killed_at = world.now
        while world.now < killed_at + 60 * SECOND and fleet.views(victim) != {Status.FAILED}:
            world.run(world.now + SECOND / 10)
            if Status.FAILED in fleet.views(victim) and len(first_seen) == seed:
                first_seen.append((world.now - killed_at) / SECOND)
        last_seen.append((world.now - killed_at) / SECOND)
    return (
        f"| {size} | {loss:.0%} | {statistics.median(first_seen):.1f} | {statistics.median(last_seen):.1f} | "
        f"{suspected / size / seeds / span * 3600:.0f} | {failed} in {seeds * span} s | "
        f"{statistics.median(message_rates):.1f} | {statistics.median(byte_rates):.0f} |"
    )


HEADING = (
    "| heads | loss | first sees it, s | all see it, s | false suspicions by one head, an hour "
    "| taken for failed wrongly | messages a head and second | bytes |\n" + "| --- " * 8 + "|"
)


async def measure_processes(size: int) -> str:
    """Kill one head of a fleet of the real program; return a table row."""
    from tests.heads.processes import running_heads

    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(Path(folder), count=size, seed=size) as fleet:
            await asyncio.sleep(5)
            before = [await h.status() for h in fleet]
            cpu = [cpu_seconds(h.process.pid) for h in fleet if h.process]
            await asyncio.sleep(10)
            after = [await h.status() for h in fleet]
            cpu_used = [
                a - b
                for a, b in zip([cpu_seconds(h.process.pid) for h in fleet if h.process], cpu, strict=True)
            ]

            def rate(counter: str) -> float:
                return statistics.median(
                    (a["counts"].get(counter, 0) - b["counts"].get(counter, 0)) / 10
                    for a, b in zip(after, before, strict=True)
                )

            victim = fleet[fleet.names[-1]]
            await victim.kill()
            killed_at, first_seen = time.monotonic(), 0.0
            while True:
                seen = [(await h.status()).get("seen", {}).get(victim.name) == "failed" for h in fleet.up]
                first_seen = first_seen or (time.monotonic() - killed_at if any(seen) else 0.0)
                if all(seen):
                    break
                await asyncio.sleep(0.05)
            all_seen_s = time.monotonic() - killed_at
            false_verdicts = sum(
                e["status"] in ("suspect", "failed") and e["head"] != victim.name
                for h in fleet
                for e in h.events("heads.seen")
            )
            return (
                f"| {size} | {first_seen:.1f} | {all_seen_s:.1f} | {false_verdicts} | "
                f"{rate('datagrams.sent'):.1f} | {rate('datagrams.bytes'):.0f} | "
                f"{rate('streams.sent'):.1f} | "
                f"{rate('streams.bytes'):.0f} | {statistics.median(cpu_used) * 10:.2f}% |"
            )


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,20,100,200")
    parser.add_argument("--processes", default="")
    arguments = parser.parse_args()
    for title, timing, pauses in (
        ("as shipped", Timing(), False),
        ("without asking others", Timing(indirect_checks=0), False),
        ("heads that pause, local health 4", Timing(max_local_health=4), True),
        ("heads that pause, no local health", Timing(max_local_health=0), True),
    ):
        print(f"\n{title}\n\n{HEADING}", flush=True)
        for size in [int(s) for s in arguments.sizes.split(",") if s]:
            if title != "as shipped" and size not in (20, 100):
                continue
            for loss in (0.05,) if pauses else (0.0, 0.05, 0.2):
                seeds, span = (6, 60) if size <= 20 else (2, 30) if size <= 100 else (1, 20)
                print(simulate(size, loss, timing, seeds, span, pauses), flush=True)
    for size in [int(s) for s in arguments.processes.split(",") if s]:
        print(asyncio.run(measure_processes(size)), flush=True)


if __name__ == "__main__":
    main()
