"""Simulated followers: many in one process, which fetch from voters as heads without a vote do.

They use the program's own protocol (`Streams`, `Fetch`) with the timing of `peering/fleet.py`: after an
answer the next fetch follows at once; after a refusal a follower tries another voter, following a delay with
jitter that doubles from 50 ms to 1 s. Followers hold no state and run no detector and no rules.

Run as a program, this module is one such process. It reads its task as a JSON line, answers each further line
with its totals, and exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from stoatrouter.agreement.records import Voter
from stoatrouter.peering import calls
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import MessageRejected, PeerUnreachable
from stoatrouter.peering.follower import FIRST_BACKOFF, MAX_BACKOFF, voter_offset
from stoatrouter.peering.rule_rollout import REPORT, HeadReport
from stoatrouter.peering.streams import Streams
from tests.process_signals import kill

ROOT = Path(__file__).parent.parent.parent
MAX_FOLLOWERS_PER_PROCESS = 93  # more would make the follower process the bottleneck
CUT_OFF_TIMEOUT_S = 3.0  # default in the settings of heads
REFUSAL_SUFFIX = "answered 503"
MAX_COMMITS = 4096  # newest times, kept per process, at which a follower learned of an index


class Task(msgspec.Struct, frozen=True):
    """Task of one follower process."""

    names: list[str]
    voters: dict[str, str]  # addresses by name
    secret: bytes
    fleet: str
    report_every: float = 0.0  # seconds between reports of the version in force to the leader; 0: none


class Totals(msgspec.Struct):
    """Counts of all followers of one process since its start."""

    asked: int = 0
    served: int = 0
    empty: int = 0  # of those served, without a new entry or snapshot
    refused: int = 0  # answered 503
    failed: int = 0  # no answer, or one from a voter without contact to a majority
    body_bytes_out: int = 0
    body_bytes_in: int = 0
    reports: int = 0
    reports_refused: int = 0
    longest_gap_s: float = 0.0  # between two answers to one follower
    behind_s: float = 0.0  # time since the last answer to the follower that has waited longest
    cut_off: int = 0  # followers without an answer for longer than CUT_OFF_TIMEOUT_S
    leaders: dict[str, tuple[str, float]] = msgspec.field(
        default_factory=dict
    )  # by follower: name of the leader, time learned
    commits: list[tuple[int, float]] = msgspec.field(
        default_factory=list
    )  # index and time learned, for all followers


@dataclass
class CountingSealer(EnvelopeSealer):
    """Counts the bytes of the messages that it unseals."""

    unsealed_bytes: int = 0

    def unseal(self, data: bytes) -> Envelope:
        self.unsealed_bytes += len(data)
        return super().unseal(data)


@dataclass
class Follower:
    """One head without a vote, as voters see it."""

    name: str
    task: Task
    totals: Totals
    after: int = 0
    after_term: int = 0
    turn: int = 0
    leader: str | None = None
    served_at: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"follower/{self.name}")
        self.counters = MessageCounters()
        self.sealer = CountingSealer(self.task.secret, self.task.fleet, self.name)
        me = Voter(self.name, f"{voter_offset(self.name):032x}")
        process = time.time_ns() // 1_000_000
        self.streams = Streams(
            self.sealer, me, process, self.task.voters, self.counters, self.reject_message, lambda: ""
        )

    async def reject_message(self, envelope: Envelope) -> bytes | None:
        raise MessageRejected("simulated followers accept no requests")

    async def follow(self) -> None:
        """Fetch until cancelled, with the timing of a head."""
        wait = FIRST_BACKOFF
        await asyncio.sleep(self.rng.random() / 2)  # heads do not all start at once
        while True:
            if await self.fetch(self.next_voter()):
                wait = FIRST_BACKOFF
            else:
                await asyncio.sleep(wait.total_seconds() * (0.5 + self.rng.random()))
                wait = min(2 * wait, MAX_BACKOFF)

    def next_voter(self) -> str:
        names = list(self.task.voters)
        self.turn += 1
        return names[(self.turn + voter_offset(self.name)) % len(names)]

    async def fetch(self, voter: str) -> bool:
        totals, unsealed_bytes = self.totals, self.sealer.unsealed_bytes
        body = msgspec.msgpack.encode(calls.Fetch(self.after, self.after_term))
        totals.asked += 1
        sent = self.counters.by_name["streams.bytes"]
        try:
            _, answer = await self.streams.request(voter, calls.FETCH, body)
            fetched = msgspec.msgpack.decode(answer, type=calls.Fetched)
        except (PeerUnreachable, msgspec.MsgspecError) as error:
            refused = str(error).endswith(REFUSAL_SUFFIX)
            totals.refused += refused
            totals.failed += not refused
            return False
        finally:
            totals.body_bytes_out += self.counters.by_name["streams.bytes"] - sent
            totals.body_bytes_in += self.sealer.unsealed_bytes - unsealed_bytes
        self.apply_fetched(fetched)
        if not fetched.majority_connected:
            totals.failed += 1
            return False
        self.turn -= 1  # keep a voter that serves
        self.record_served(fetched)
        return True

    def apply_fetched(self, fetched: calls.Fetched) -> None:
        now = time.monotonic()
        self.totals.empty += fetched.majority_connected and fetched.snapshot is None and not fetched.entries
        if fetched.snapshot is not None:
            self.after, self.after_term = fetched.snapshot.index, fetched.snapshot.term
        if fetched.entries:
            self.after, self.after_term = fetched.entries[-1].index, fetched.entries[-1].term
            self.totals.commits.append((self.after, now))
            del self.totals.commits[:-MAX_COMMITS]

    def record_served(self, fetched: calls.Fetched) -> None:
        now, totals = time.monotonic(), self.totals
        totals.served += 1
        totals.longest_gap_s = max(totals.longest_gap_s, now - self.served_at)
        self.served_at = now
        if fetched.leader != self.leader and fetched.leader is not None:
            self.leader = fetched.leader
            totals.leaders[self.name] = (fetched.leader, now)

    async def report(self) -> None:
        """Report the version in force to the leader, as heads with a rule history do."""
        body, every = msgspec.msgpack.encode(HeadReport(0)), self.task.report_every
        await asyncio.sleep(self.rng.random() * every)
        while True:
            if self.leader is not None:
                self.totals.reports += 1
                try:
                    await self.streams.request(self.leader, REPORT, body)
                except PeerUnreachable:
                    self.totals.reports_refused += 1
            await asyncio.sleep(every)


async def run_process(task: Task, lines: asyncio.StreamReader) -> None:
    """Run followers until the input ends, and answer each of its lines with the totals."""
    totals = Totals()
    followers = [Follower(name, task, totals) for name in task.names]
    tasks: list[asyncio.Task[None]] = []
    for follower in followers:
        await follower.streams.start(None)
        tasks.append(asyncio.create_task(follower.follow()))
        if task.report_every:
            tasks.append(asyncio.create_task(follower.report()))
    while await lines.readline():
        now = time.monotonic()
        totals.behind_s = now - min(follower.served_at for follower in followers)
        totals.cut_off = sum(now - follower.served_at > CUT_OFF_TIMEOUT_S for follower in followers)
        sys.stdout.buffer.write(msgspec.json.encode(totals) + b"\n")
        sys.stdout.buffer.flush()
        totals.longest_gap_s = 0.0
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for follower in followers:
        await follower.streams.close()


class FollowerProcess:
    """One running follower process."""

    def __init__(self, process: asyncio.subprocess.Process, task: Task) -> None:
        self.process = process
        self.task = task

    async def totals(self) -> Totals:
        """Request its totals."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(b"\n")
        await self.process.stdin.drain()
        return msgspec.json.decode(await self.process.stdout.readline(), type=Totals)

    async def end(self) -> None:
        """Close its input, which ends it; kill it after 5 s."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5)
        except TimeoutError:
            kill(self.process)
            await self.process.wait()


@dataclass
class FollowerGroup:
    """All followers of a measurement, in one or more processes."""

    voters: dict[str, str]
    secret: bytes
    fleet: str
    report_every: float = 0.0
    processes: list[FollowerProcess] = field(default_factory=list)

    @property
    def count(self) -> int:
        return sum(len(each.task.names) for each in self.processes)

    async def grow(self, count: int) -> None:
        """Start followers until there are `count`."""
        while (missing := count - self.count) > 0:
            first = self.count
            names = [f"f{i}" for i in range(first, first + min(missing, MAX_FOLLOWERS_PER_PROCESS))]
            await self.start(Task(names, self.voters, self.secret, self.fleet, self.report_every))

    async def start(self, task: Task) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.capacity.followers",
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=64 * 1024 * 1024,
        )
        assert process.stdin is not None
        process.stdin.write(msgspec.json.encode(task) + b"\n")
        self.processes.append(FollowerProcess(process, task))

    async def totals(self) -> Totals:
        """Return the totals of all processes together."""
        combined = Totals()
        for totals in await asyncio.gather(*(each.totals() for each in self.processes)):
            for name in SUMMED_TOTALS:
                setattr(combined, name, getattr(combined, name) + getattr(totals, name))
            combined.longest_gap_s = max(combined.longest_gap_s, totals.longest_gap_s)
            combined.behind_s = max(combined.behind_s, totals.behind_s)
            combined.leaders |= totals.leaders
            combined.commits += totals.commits
        return combined


SUMMED_TOTALS = (
    "asked",
    "served",
    "empty",
    "refused",
    "failed",
    "body_bytes_out",
    "body_bytes_in",
    "reports",
    "reports_refused",
    "cut_off",
)


@contextlib.asynccontextmanager
async def running_followers(
    voters: dict[str, str], secret: bytes, fleet: str, report_every: float = 0.0
) -> AsyncIterator[FollowerGroup]:
    """Run a group of followers; all of its processes are ended on exit."""
    group = FollowerGroup(voters, secret, fleet, report_every)
    try:
        yield group
    finally:
        await asyncio.gather(*(each.end() for each in group.processes))


async def main() -> None:
    reader = asyncio.StreamReader(limit=1024 * 1024)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    task = msgspec.json.decode(await reader.readline(), type=Task)
    await run_process(task, reader)


if __name__ == "__main__":
    asyncio.run(main())
