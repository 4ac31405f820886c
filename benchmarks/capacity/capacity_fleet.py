"""A fleet on one machine: hollow heads, real voters and followers, and stand-in nodes.

Leaving the context manager that started the fleet ends all of its processes. A size that exceeds the
machine's capacity is refused before anything starts.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.harness import CapacityExceeded, require_capacity
from benchmarks.capacity.realheads import RealHeads
from stoatrouter.lab.hollow.launcher import FleetSpec, HollowFleet
from stoatrouter.lab.hollow.places import Place, spread, spread_voters
from stoatrouter.lab.hollow.worker import end_with_parent
from tests.heads.rules_clients import RULES
from tests.process_signals import kill
from tests.program_process import ROOT

MAX_PROCESSES = 200
MAX_HEADS = 1024  # the capacity of a detector (membership/detector.py)
# Memory estimates include headroom (docs/measurements/capacity.md).
MB_PER_HOLLOW_HEAD = 6.0
MB_PER_WORKER = 90.0
MB_PER_REAL_HEAD = 110.0
DESCRIPTORS_PER_HOLLOW_HEAD = 12
DESCRIPTORS_PER_WORKER = 64
DESCRIPTORS_PER_PAIR = 12  # held by this process's relay for each ordered pair of real heads
PORTS_PER_HEAD = 8  # a head opens at most 8 connections to one voter (peering/streams.py)
CONSECUTIVE_POLLS = 3  # polls in a row at which a condition must hold
MIN_ALIVE_SHARE = 0.98  # share of the running heads that each head must see alive in a steady fleet
STEADY_TIMEOUT = 180.0  # seconds
CREDIT_AND_RULES_SETTINGS = (
    'credit: {prices: {"score-read": 1000, "event-write": 4000}, lease: "5s"}\n'
    'rules: {check_within: "10s", versions: 5000}\n'
)


@dataclass(frozen=True, slots=True)
class Size:
    """Number of heads, processes and nodes in a fleet."""

    hollow: int
    voters: int = 5
    spares: int = 2  # real heads that may become voters
    followers: int = 8  # real heads that never vote
    workers: int = 8
    nodes: int = 60

    @property
    def real(self) -> int:
        """Return the number of real heads, each a process of the program."""
        return self.voters + self.spares + self.followers

    @property
    def heads(self) -> int:
        """Return the total number of heads, real and hollow."""
        return self.hollow + self.real

    def check(self) -> None:
        """Raise CapacityExceeded for a size that this machine or a detector cannot support."""
        if self.heads > MAX_HEADS:
            raise CapacityExceeded(
                f"{self.heads:,} heads are asked for, a detector holds {MAX_HEADS:,}: a smaller size"
            )
        processes = self.real + self.workers + 2
        if processes > MAX_PROCESSES:
            raise CapacityExceeded(
                f"{processes:,} processes are needed, {MAX_PROCESSES} may be used: fewer workers"
            )
        worker_descriptors = (
            -(-self.hollow // self.workers) * DESCRIPTORS_PER_HOLLOW_HEAD + DESCRIPTORS_PER_WORKER
        )
        relay_descriptors = self.real * (self.real - 1) * DESCRIPTORS_PER_PAIR
        require_capacity(
            descriptors=max(worker_descriptors, relay_descriptors, self.hollow * 2, self.nodes * 2),
            memory_mb=int(
                self.hollow * MB_PER_HOLLOW_HEAD + self.workers * MB_PER_WORKER + self.real * MB_PER_REAL_HEAD
            ),
            ports=self.hollow * PORTS_PER_HEAD,
        )


@dataclass(frozen=True, slots=True)
class FleetState:
    """State of all running heads, real and hollow, at one poll."""

    running: int
    connected: int  # heads in touch with a majority of the voters
    min_alive: int  # heads that the head with the smallest view sees alive, including itself
    max_alive: int
    complete_views: int  # heads that see all running heads alive

    @property
    def in_touch(self) -> bool:
        """Return whether all running heads are in touch with a majority."""
        return self.connected == self.running

    @property
    def steady(self) -> bool:
        """Return whether all are in touch and each sees nearly all running heads alive, and no dead one."""
        return (
            self.in_touch
            and MIN_ALIVE_SHARE * self.running <= self.min_alive
            and self.max_alive <= self.running
        )

    def __str__(self) -> str:
        return (
            f"{self.running} heads running, {self.connected} in touch; each sees {self.min_alive} to "
            f"{self.max_alive} heads alive; {self.complete_views} see all"
        )


class CapacityFleet:
    """A whole fleet: real heads, hollow heads, and the place of each."""

    def __init__(self, size: Size, real: RealHeads, hollow: HollowFleet, places: dict[str, Place]) -> None:
        self.size = size
        self.real = real
        self.hollow = hollow
        self.places = places

    async def start(self) -> None:
        """Start the voters, wait for a leader, then start all other heads at once."""
        real = self.real
        await asyncio.gather(*(real[name].start(ready=False) for name in real.voters))
        await real.leader()
        log_progress(f"voters {real.voters} have elected a leader")
        others = [name for name in real.names if name not in real.voters]
        census, *_ = await asyncio.gather(
            self.hollow.start(self.hollow.names), *(real[name].start(ready=False) for name in others)
        )
        log_progress(census.summary())

    async def wait_steady(self, timeout: float = STEADY_TIMEOUT, quiet: bool = False) -> float:
        """Wait until the fleet is steady; return the seconds it took.

        Raises TimeoutError, with the last state, if it is not steady in time.
        """
        return await self.wait_until(lambda state: state.steady, timeout, quiet)

    async def wait_in_touch(self, timeout: float = STEADY_TIMEOUT, quiet: bool = False) -> float:
        """Wait until all running heads are in touch with a majority; return the seconds it took."""
        return await self.wait_until(lambda state: state.in_touch, timeout, quiet)

    async def wait_until(self, holds: Callable[[FleetState], bool], timeout: float, quiet: bool) -> float:
        """Wait until a condition holds at several polls in a row; return the seconds until the first one."""
        started_at = time.monotonic()
        first_held_at = 0.0
        consecutive = 0
        state = FleetState(0, 0, 0, 0, 0)
        while time.monotonic() < started_at + timeout:
            state = await self.state()
            consecutive = consecutive + 1 if holds(state) else 0
            first_held_at = time.monotonic() if consecutive == 1 else first_held_at
            if consecutive >= CONSECUTIVE_POLLS:
                return first_held_at - started_at
            if not consecutive and not quiet:
                log_progress(str(state))
            await asyncio.sleep(0.5 if consecutive else 1.0)
        raise TimeoutError(f"fleet not steady after {timeout:.0f} s: {state}")

    async def state(self) -> FleetState:
        """Poll all running heads for their availability and the heads that they see alive."""
        census = await self.hollow.report()
        statuses = await asyncio.gather(*(head.status() for head in self.real.up))
        states = [report.availability for report in census.running] + [
            status.get("state", "") for status in statuses
        ]
        seen = [report.seen.get("alive", 0) for report in census.running]
        seen += [list(status.get("seen", {}).values()).count("alive") for status in statuses]
        running = len(states)
        return FleetState(
            running, states.count("in touch"), min(seen, default=0), max(seen, default=0), seen.count(running)
        )


def log_progress(text: str) -> None:
    """Print a progress message with the time."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


@contextlib.asynccontextmanager
async def nodes_process(count: int, seed: int) -> AsyncIterator[int]:
    """Run stand-in nodes and discovery in a process of their own; yields the port of discovery."""
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
async def running_fleet(folder: Path, size: Size, seed: int) -> AsyncIterator[CapacityFleet]:
    """Run a fleet, and end all of it on exit, including when interrupted."""
    size.check()
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(nodes_process(size.nodes, seed))
        names = [f"h{number}" for number in range(size.heads)]
        real_names, hollow_names = names[: size.real], tuple(names[size.real :])
        places = spread(hollow_names) | spread(real_names) | spread_voters(real_names[: size.voters])
        real = RealHeads(
            folder,
            size.real,
            size.voters,
            size.spares,
            seed,
            CREDIT_AND_RULES_SETTINGS,
            RULES,
            places,
            discovery,
        )
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
        await fleet.start()
        yield fleet


def cpu_seconds_by_process(fleet: CapacityFleet) -> dict[str, float]:
    """Return the processor seconds of each worker and each real head.

    A head whose process has just ended is left out.
    """
    used = {f"worker {number}": answer.cpu_seconds for number, answer in fleet.hollow.replies.items()}
    for head in fleet.real.up:
        with contextlib.suppress(FileNotFoundError):
            used[head.name] = head.cpu  # type: ignore[attr-defined]
    return used


def message_count(status: dict[str, object], kind: str) -> int:
    """Return one message counter from the status of a real head."""
    counts = status.get("counts")
    return counts.get(kind, 0) if isinstance(counts, dict) else 0
