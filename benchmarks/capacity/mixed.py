"""A fleet on one machine, put together: hollow heads, real voters and followers, stand-in nodes.

All of it is ended with the context that opened it. A size that the machine cannot hold is refused before
anything starts.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.harness import TooLarge, require
from benchmarks.capacity.realheads import RealHeads
from stoatrouter.lab.hollow.launcher import FleetSpec, HollowFleet
from stoatrouter.lab.hollow.places import Place, spread, spread_voters
from stoatrouter.lab.hollow.worker import end_with_parent
from tests.heads.rules_clients import RULES
from tests.process_signals import kill
from tests.program_process import ROOT

MOST_PROCESSES = 200
MOST_HEADS = 1024  # that a detector holds (membership/detector.py)
HOLLOW_MB, WORKER_MB, REAL_MB = 6.0, 90.0, 110.0  # of memory, with room; docs/measurements/capacity.md
HOLLOW_DESCRIPTORS, WORKER_DESCRIPTORS = 12, 64
RELAY_DESCRIPTORS = 12  # of this process for each ordered pair of real heads
PORTS_A_HEAD = 8  # connections to one voter: 8 at most (peering/streams.py)
STEADY_FOR = 3  # looks in a row
SEES_SHARE = 0.98  # of the heads that run: what each has to see as alive before the fleet counts as steady
STEADY_WITHIN = 180.0  # seconds
MORE = (
    'credit: {prices: {"score-read": 1000, "event-write": 4000}, lease: "5s"}\n'
    'rules: {check_within: "10s", versions: 5000}\n'
)


@dataclass(frozen=True, slots=True)
class Size:
    """How large a fleet is."""

    hollow: int
    voters: int = 5
    spares: int = 2  # real heads that may come to vote
    followers: int = 8  # real heads that only follow
    workers: int = 8
    nodes: int = 60

    @property
    def real(self) -> int:
        """Processes of the program."""
        return self.voters + self.spares + self.followers

    @property
    def heads(self) -> int:
        """All heads."""
        return self.hollow + self.real

    def check(self) -> None:
        """Refuse what this machine cannot hold before anything is started; raises TooLarge."""
        if self.heads > MOST_HEADS:
            raise TooLarge(
                f"{self.heads:,} heads are asked for, a detector holds {MOST_HEADS:,}: a smaller size"
            )
        processes = self.real + self.workers + 2
        if processes > MOST_PROCESSES:
            raise TooLarge(f"{processes:,} processes are needed, {MOST_PROCESSES} may be used: fewer workers")
        in_worker = -(-self.hollow // self.workers) * HOLLOW_DESCRIPTORS + WORKER_DESCRIPTORS
        in_relay = self.real * (self.real - 1) * RELAY_DESCRIPTORS
        require(
            descriptors=max(in_worker, in_relay, self.hollow * 2, self.nodes * 2),
            memory_mb=int(self.hollow * HOLLOW_MB + self.workers * WORKER_MB + self.real * REAL_MB),
            ports=self.hollow * PORTS_A_HEAD,
        )


@dataclass(frozen=True, slots=True)
class Look:
    """One look at all heads that run, real and hollow."""

    up: int
    touched: int
    least_seen: int  # as alive, itself with them, by the head that sees the fewest
    most_seen: int
    full: int  # heads that see all that run

    @property
    def in_touch(self) -> bool:
        """Whether all are in touch with a majority."""
        return self.touched == self.up

    @property
    def steady(self) -> bool:
        """Whether all are in touch and each sees nearly all that run, and none that does not."""
        return self.in_touch and SEES_SHARE * self.up <= self.least_seen and self.most_seen <= self.up

    def __str__(self) -> str:
        return (
            f"{self.up} run, {self.touched} in touch; they see {self.least_seen} to {self.most_seen} alive, "
            f"{self.full} see all"
        )


class CapacityFleet:
    """A whole fleet: real heads, hollow ones, and where they stand."""

    def __init__(self, size: Size, real: RealHeads, hollow: HollowFleet, places: dict[str, Place]) -> None:
        self.size, self.real, self.hollow, self.places = size, real, hollow, places

    async def begin(self) -> None:
        """Start the voters, found the fleet, and then start all others at once."""
        real = self.real
        await asyncio.gather(*(real[name].start(ready=False) for name in real.voters))
        await real.leader()
        show(f"{real.voters} have founded the fleet")
        others = [name for name in real.names if name not in real.voters]
        census, *_ = await asyncio.gather(
            self.hollow.start(self.hollow.names), *(real[name].start(ready=False) for name in others)
        )
        show(census.summary())

    async def steady(self, within: float = STEADY_WITHIN, quiet: bool = False) -> float:
        """Wait until all heads that run are in touch and each sees nearly all others; seconds it took.

        Raises TimeoutError with what is missing."""
        return await self.until(lambda look: look.steady, within, quiet)

    async def in_touch(self, within: float = STEADY_WITHIN, quiet: bool = False) -> float:
        """Wait until all heads that run are in touch with a majority; seconds it took."""
        return await self.until(lambda look: look.in_touch, within, quiet)

    async def until(self, holds: Callable[[Look], bool], within: float, quiet: bool) -> float:
        """Wait until something holds at a few looks in a row; seconds until the first of them."""
        began, first, calm, look = time.monotonic(), 0.0, 0, Look(0, 0, 0, 0, 0)
        while time.monotonic() < began + within:
            look = await self.look()
            calm = calm + 1 if holds(look) else 0
            first = time.monotonic() if calm == 1 else first
            if calm >= STEADY_FOR:
                return first - began
            if not calm and not quiet:
                show(str(look))
            await asyncio.sleep(0.5 if calm else 1.0)
        raise TimeoutError(f"not steady after {within:.0f} s: {look}")

    async def look(self) -> Look:
        """How all heads that run stand now, and how many others each sees."""
        census = await self.hollow.report()
        told = await asyncio.gather(*(head.status() for head in self.real.up))
        states = [report.availability for report in census.running] + [each.get("state", "") for each in told]
        seen = [report.seen.get("alive", 0) for report in census.running]
        seen += [list(each.get("seen", {}).values()).count("alive") for each in told]
        up = len(states)
        return Look(up, states.count("in touch"), min(seen, default=0), max(seen, default=0), seen.count(up))


def show(text: str) -> None:
    """Show progress."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


@contextlib.asynccontextmanager
async def nodes_process(count: int, seed: int) -> AsyncIterator[int]:
    """Stand-in nodes and discovery in a process of their own; gives discovery's port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "benchmarks.capacity.nodes",
        str(count),
        str(seed),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        preexec_fn=end_with_parent,
        start_new_session=True,
    )
    try:
        assert process.stdout is not None
        yield int(await process.stdout.readline())
    finally:
        kill(process)
        await process.wait()


@contextlib.asynccontextmanager
async def fleet_up(folder: Path, size: Size, seed: int) -> AsyncIterator[CapacityFleet]:
    """A fleet that has begun; all of it is ended at the end, also when it is interrupted."""
    size.check()
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(nodes_process(size.nodes, seed))
        names = [f"h{number}" for number in range(size.heads)]
        real_names, hollow_names = names[: size.real], tuple(names[size.real :])
        places = spread(hollow_names) | spread(real_names) | spread_voters(real_names[: size.voters])
        real = RealHeads(folder, size.real, size.voters, size.spares, seed, MORE, RULES, places, discovery)
        await real.open()
        stack.push_async_callback(real.close)
        config_file, heads_file, http_file = real.write_hollow(folder / "hollow")
        spec = FleetSpec(
            heads_file,
            config_file,
            http_file,
            hollow_names,
            {head.name: f"{head.host}:{head.datagram_port}" for head in real},
            {name: (place.region, place.zone, place.rack) for name, place in places.items()},
        )
        hollow = HollowFleet(folder / "hollow", spec, size.workers)
        real.hollow_addresses = hollow.hollow_addresses
        await stack.enter_async_context(hollow)
        fleet = CapacityFleet(size, real, hollow, places)
        await fleet.begin()
        yield fleet


def cpu_of(fleet: CapacityFleet) -> dict[str, float]:
    """Processor seconds of each worker and each real head; one that has just ended is left out."""
    used = {f"worker {number}": answer.cpu_seconds for number, answer in fleet.hollow.replies.items()}
    for head in fleet.real.up:
        with contextlib.suppress(FileNotFoundError):
            used[head.name] = head.cpu  # type: ignore[attr-defined]
    return used


def count_of(told: dict[str, object], kind: str) -> int:
    """A count of a real head's report."""
    counts = told.get("counts")
    return counts.get(kind, 0) if isinstance(counts, dict) else 0
