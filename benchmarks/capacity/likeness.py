"""Hollow heads beside real ones at sizes that both can reach: messages, bytes and processor time.

    PYTHONPATH=. python -m benchmarks.capacity.likeness --sizes 5,12,20 [--seconds 15] [--out FILE]

Each size is run with real followers alone and with hollow followers alone, before the same three real voters,
without delays. Real heads without `STOATROUTER_HEADS` are run as well: what a real follower uses beyond them
is its control part. Each is measured while calm, and again while edits come in force.
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

from benchmarks.capacity.fleet import interruptible
from benchmarks.capacity.harness import Measurement, Run, TooLarge, parser, recording
from benchmarks.capacity.mixed import MORE, RULES, Size, count_of, nodes_process, show
from benchmarks.capacity.realheads import RealHeads
from stoatrouter.lab.hollow.census import Census
from stoatrouter.lab.hollow.launcher import FleetSpec, HollowFleet
from tests.heads.rules_clients import edit, rules

VOTERS = 3
SETTLE = 6.0  # seconds after the start: first news of heads has gone round
EDIT_EVERY = 3.0  # seconds
NODES = 12
KINDS = ("datagrams.sent", "datagrams.received", "datagrams.bytes", "streams.sent", "streams.bytes")


class Fleet:
    """Real voters, and followers of one kind."""

    def __init__(self, real: RealHeads, hollow: HollowFleet | None) -> None:
        self.real, self.hollow = real, hollow
        self.followers = [name for name in real.names if name not in real.voters]
        self.version = 0

    async def counts(self) -> dict[str, dict[str, int]]:
        """What each follower has counted."""
        if self.hollow is None:
            told = {name: await self.real[name].status() for name in self.followers}
            return {name: {kind: count_of(each, kind) for kind in KINDS} for name, each in told.items()}
        census: Census = await self.hollow.report()
        assert not census.died, census.summary()
        return {report.name: report.counts for report in census.running}

    async def cpu(self) -> float:
        """Processor seconds of all followers."""
        if self.hollow is None:
            return sum(self.real[name].cpu for name in self.followers)  # type: ignore[attr-defined]
        await self.hollow.report()
        return sum(answer.cpu_seconds for answer in self.hollow.replies.values())

    async def edit_for(self, seconds: float) -> int:
        """Edits in force one after the other; how many."""
        until, count = time.monotonic() + seconds, 0
        while time.monotonic() < until:
            began = time.monotonic()
            head = self.real[self.real.voters[0]]
            status, told = await edit(head, f"edit-{self.version}", self.version, rules(f"v{self.version}"))
            if status == 202:
                self.version, count = told["number"], count + 1
            await asyncio.sleep(max(0.0, EDIT_EVERY - (time.monotonic() - began)))
        return count


@contextlib.asynccontextmanager
async def fleet_up(
    folder: Path, size: int, hollow: bool, seed: int, heads_on: bool = True, watches: bool = True
) -> AsyncIterator[Fleet]:
    """A fleet of this size: voters of the program, followers hollow or not."""
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(nodes_process(NODES, seed))
        names = tuple(f"h{number}" for number in range(size))
        count = VOTERS if hollow else size
        real = RealHeads(folder, count, VOTERS, 0, seed, MORE, RULES, {}, discovery, heads_on)
        await real.open()
        stack.push_async_callback(real.close)
        made = None
        if hollow:
            config_file, heads_file, http_file = real.write_hollow(folder / "hollow")
            addresses = {head.name: f"{head.host}:{head.datagram_port}" for head in real}
            spec = FleetSpec(heads_file, config_file, http_file, names[count:], addresses, {}, watches)
            made = HollowFleet(folder / "hollow", spec, 1)
            real.hollow_addresses = made.hollow_addresses
            await stack.enter_async_context(made)
        await asyncio.gather(*(head.start(ready=False) for head in real))
        if made is not None:
            await made.start(made.names)
        await asyncio.gather(*(head.until_ready() for head in real))
        if heads_on:
            await real.until_all_connected()
        await asyncio.sleep(SETTLE)
        yield Fleet(real, made)


async def measure(
    run: Run, fleet: Fleet, what: str, size: int, seed: int, seconds: float, edits: bool
) -> None:
    """One window: rates of the followers, and what of them differs most."""
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


async def play(run: Run, size: int, seed: int, seconds: float) -> None:
    """One size: real followers, hollow ones, hollow ones without discovery, and heads that know no others."""
    for what, hollow, heads_on, watches in (
        ("real", False, True, True),
        ("real, heads off", False, False, True),
        ("hollow", True, True, True),
        ("hollow, no list watch", True, True, False),
    ):
        with tempfile.TemporaryDirectory(prefix="likeness-") as folder:
            async with fleet_up(Path(folder), size, hollow, seed, heads_on, watches) as fleet:
                show(f"{size} heads: {what}")
                await measure(run, fleet, what, size, seed, seconds, edits=False)
                if heads_on and watches:
                    await measure(run, fleet, what, size, seed, seconds, edits=True)


def main() -> int:
    """The command."""
    made = parser(__doc__ or "", "5,12,20")
    made.add_argument("--seconds", type=float, default=15.0, help="of each window")
    given = made.parse_args()
    try:
        for size in given.sizes:
            Size(0, VOTERS, 0, size - VOTERS, 1, NODES).check()
    except TooLarge as error:
        print(f"refused: {error}", file=sys.stderr)
        return 2
    try:
        with recording("likeness", given.out) as run:
            for size in given.sizes:
                for seed in given.seeds:
                    interruptible(play(run, size, seed, given.seconds))
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
