"""Comparison of hollow heads with real ones at sizes that both can reach: messages, bytes, processor time.

    PYTHONPATH=. python -m benchmarks.capacity.likeness --sizes 5,12,20 [--seconds 15] [--out FILE]

Each size is run with real followers only and with hollow followers only, each time with three real voters and
without network delays. Real heads without `STOATROUTER_HEADS` are run as well, as the difference to them is
the cost of control. Each fleet is measured at rest, and again while edits come into force.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path

from benchmarks.capacity.capacity_fleet import (
    CREDIT_AND_RULES_SETTINGS,
    RULES,
    Size,
    log_progress,
    message_count,
    nodes_process,
)
from benchmarks.capacity.fleet import interruptible
from benchmarks.capacity.harness import CapacityExceeded, Measurement, Run, parser, recording
from benchmarks.capacity.realheads import RealHeads
from stoatrouter.lab.hollow.fleet_report import FleetReport
from stoatrouter.lab.hollow.launcher import FleetSpec, HollowFleet
from tests.heads.rules_clients import edit, rules

VOTERS = 3
SETTLE_TIME = 6.0  # seconds after the start, for the first membership updates to spread
EDIT_INTERVAL = 3.0  # seconds
NODES = 12
KINDS = ("datagrams.sent", "datagrams.received", "datagrams.bytes", "streams.sent", "streams.bytes")


class ComparedFleet:
    """Real voters, and followers that are all real or all hollow."""

    def __init__(self, real: RealHeads, hollow: HollowFleet | None) -> None:
        self.real, self.hollow = real, hollow
        self.followers = [name for name in real.names if name not in real.voters]
        self.version = 0

    async def counts(self) -> dict[str, dict[str, int]]:
        """Return the counters of each follower."""
        if self.hollow is None:
            statuses = {name: await self.real[name].status() for name in self.followers}
            return {
                name: {kind: message_count(status, kind) for kind in KINDS}
                for name, status in statuses.items()
            }
        census: FleetReport = await self.hollow.report()
        assert not census.died, census.summary()
        return {report.name: report.counts for report in census.running}

    async def cpu(self) -> float:
        """Return the processor seconds of all followers."""
        if self.hollow is None:
            return sum(self.real[name].cpu for name in self.followers)  # type: ignore[attr-defined]
        await self.hollow.report()
        return sum(answer.cpu_seconds for answer in self.hollow.replies.values())

    async def edit_for(self, seconds: float) -> int:
        """Make edits one after the other; return how many were accepted."""
        ends_at = time.monotonic() + seconds
        count = 0
        while time.monotonic() < ends_at:
            started_at = time.monotonic()
            head = self.real[self.real.voters[0]]
            status, answer = await edit(head, f"edit-{self.version}", self.version, rules(f"v{self.version}"))
            if status == 202:
                self.version = answer["number"]
                count += 1
            await asyncio.sleep(max(0.0, EDIT_INTERVAL - (time.monotonic() - started_at)))
        return count


@contextlib.asynccontextmanager
async def running_fleet(
    folder: Path, size: int, hollow: bool, seed: int, heads_on: bool = True, watches: bool = True
) -> AsyncIterator[ComparedFleet]:
    """Run a fleet with real voters and with hollow or real followers."""
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(nodes_process(NODES, seed))
        names = tuple(f"h{number}" for number in range(size))
        count = VOTERS if hollow else size
        real = RealHeads(
            folder, count, VOTERS, 0, seed, CREDIT_AND_RULES_SETTINGS, RULES, {}, discovery, heads_on
        )
        await real.open()
        stack.push_async_callback(real.close)
        hollow_fleet = None
        if hollow:
            config_file, heads_file, http_file = real.write_hollow(folder / "hollow")
            addresses = {head.name: f"{head.host}:{head.datagram_port}" for head in real}
            spec = FleetSpec(heads_file, config_file, http_file, names[count:], addresses, {}, watches)
            hollow_fleet = HollowFleet(folder / "hollow", spec, 1)
            real.hollow_addresses = hollow_fleet.hollow_addresses
            await stack.enter_async_context(hollow_fleet)
        await asyncio.gather(*(head.start(ready=False) for head in real))
        if hollow_fleet is not None:
            await hollow_fleet.start(hollow_fleet.names)
        await asyncio.gather(*(head.until_ready() for head in real))
        if heads_on:
            await real.until_all_connected()
        await asyncio.sleep(SETTLE_TIME)
        yield ComparedFleet(real, hollow_fleet)


async def measure(
    run: Run, fleet: ComparedFleet, what: str, size: int, seed: int, seconds: float, edits: bool
) -> None:
    """Measure the rates of the followers over one window, with the lowest and the highest."""
    before, cpu = await fleet.counts(), await fleet.cpu()
    began = time.monotonic()
    count = await fleet.edit_for(seconds) if edits else await asyncio.sleep(seconds, 0)
    span = time.monotonic() - began
    after, cpu = await fleet.counts(), await fleet.cpu() - cpu
    name = f"{what}, {'edits' if edits else 'calm'}"
    for kind in KINDS:
        each = [(after[head].get(kind, 0) - before[head].get(kind, 0)) / span for head in sorted(after)]
        details = {
            "least": round(min(each), 2),
            "most": round(max(each), 2),
            "heads": len(each),
            "edits": count,
        }
        mean = statistics.mean(each)
        run.add(Measurement(f"{name}: {kind}", size, mean, "a head and second", seed, details))
    share = cpu / span / len(after) * 100
    run.add(Measurement(f"{name}: processor", size, share, "% of a core a head", seed))


async def compare_size(run: Run, size: int, seed: int, seconds: float) -> None:
    """Measure one size: real followers, hollow ones, hollow ones without discovery, heads without peering."""
    for what, hollow, heads_on, watches in (
        ("real", False, True, True),
        ("real, heads off", False, False, True),
        ("hollow", True, True, True),
        ("hollow, no list watch", True, True, False),
    ):
        with tempfile.TemporaryDirectory(prefix="likeness-") as folder:
            async with running_fleet(Path(folder), size, hollow, seed, heads_on, watches) as fleet:
                log_progress(f"{size} heads: {what}")
                await measure(run, fleet, what, size, seed, seconds, edits=False)
                if heads_on and watches:
                    await measure(run, fleet, what, size, seed, seconds, edits=True)


def main() -> int:
    """Run the command."""
    arguments_parser = parser(__doc__ or "", "5,12,20")
    arguments_parser.add_argument("--seconds", type=float, default=15.0, help="length of each window")
    arguments = arguments_parser.parse_args()
    try:
        for size in arguments.sizes:
            Size(0, VOTERS, 0, size - VOTERS, 1, NODES).check()
    except CapacityExceeded as error:
        print(f"refused: {error}", file=sys.stderr)
        return 2
    try:
        with recording("likeness", arguments.out) as run:
            for size in arguments.sizes:
                for seed in arguments.seeds:
                    interruptible(compare_size(run, size, seed, arguments.seconds))
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
