"""Light followers: many of them in one process, which ask voters as heads without a vote do.

They speak the program's own wire (`Streams`, `Fetch`) in the cadence of `peering/fleet.py`: an answer is
followed by the next question at once, a refusal by a pause that doubles from 50 ms to 1 s with jitter and by
another voter. They hold no state, no detector and no rules.

Run as a program, this module is one such process: it reads its task as a JSON line, answers each further line
with its totals, and ends with its input.
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
from stoatrouter.peering.rule_rollout import PART as RULES
from stoatrouter.peering.rule_rollout import HeadReport
from stoatrouter.peering.streams import Streams
from tests.process_signals import kill

ROOT = Path(__file__).parent.parent.parent
MOST_IN_PROCESS = 93  # followers; more of them would make the measuring process the bottleneck
CUT_OFF_AFTER_S = 3.0  # the default of the heads' settings
REFUSED_ENDING = "answered 503"
KEPT_COMMITS = 4096  # times at which a follower learnt of an index, the newest


class Task(msgspec.Struct, frozen=True):
    """What one process of followers is to do."""

    names: list[str]
    voters: dict[str, str]  # addresses by name
    secret: bytes
    fleet: str
    report_every: float = 0.0  # seconds; how often each says to the leader which rules it has; 0: never


class Totals(msgspec.Struct):
    """What the followers of one process have done and seen so far."""

    asked: int = 0
    served: int = 0
    empty: int = 0  # of those served: nothing new
    refused: int = 0  # told 503
    failed: int = 0  # no answer, or one from a voter that hears no majority
    body_bytes_out: int = 0
    body_bytes_in: int = 0
    reports: int = 0
    reports_refused: int = 0
    longest_gap_s: float = 0.0  # between two answers to one follower
    behind_s: float = 0.0  # since the last answer to the follower that waits for the longest
    cut_off: int = 0  # followers that had no answer for longer than a head takes to count as cut off
    leaders: dict[str, tuple[str, float]] = msgspec.field(
        default_factory=dict
    )  # by follower: who, since when
    commits: list[tuple[int, float]] = msgspec.field(default_factory=list)  # index and time, of all followers


@dataclass
class CountingSealer(EnvelopeSealer):
    """Counts the bytes of the answers that are unsealed."""

    opened: int = 0

    def unseal(self, data: bytes) -> Envelope:
        self.opened += len(data)
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
        self.draws = random.Random(f"follower/{self.name}")
        self.counters = MessageCounters()
        self.seal = CountingSealer(self.task.secret, self.task.fleet, self.name)
        me = Voter(self.name, f"{voter_offset(self.name):032x}")
        process = time.time_ns() // 1_000_000
        self.streams = Streams(self.seal, me, process, self.task.voters, self.counters, self.take, lambda: "")

    async def take(self, envelope: Envelope) -> bytes | None:
        raise MessageRejected("a follower answers nothing")

    async def follow(self) -> None:
        """Ask for ever, in the cadence of a head."""
        wait = FIRST_BACKOFF
        await asyncio.sleep(self.draws.random() / 2)  # heads do not start in the same moment
        while True:
            if await self.fetch(self.next_voter()):
                wait = FIRST_BACKOFF
            else:
                await asyncio.sleep(wait.total_seconds() * (0.5 + self.draws.random()))
                wait = min(2 * wait, MAX_BACKOFF)

    def next_voter(self) -> str:
        names = list(self.task.voters)
        self.turn += 1
        return names[(self.turn + voter_offset(self.name)) % len(names)]

    async def fetch(self, voter: str) -> bool:
        totals, opened = self.totals, self.seal.opened
        body = msgspec.msgpack.encode(calls.Fetch(self.after, self.after_term))
        totals.asked += 1
        sent = self.counters.by_name["streams.bytes"]
        try:
            _, answer = await self.streams.request(voter, calls.FETCH, body)
            told = msgspec.msgpack.decode(answer, type=calls.Fetched)
        except (PeerUnreachable, msgspec.MsgspecError) as error:
            refused = str(error).endswith(REFUSED_ENDING)
            totals.refused += refused
            totals.failed += not refused
            return False
        finally:
            totals.body_bytes_out += self.counters.by_name["streams.bytes"] - sent
            totals.body_bytes_in += self.seal.opened - opened
        self.learn(told)
        if not told.majority_connected:
            totals.failed += 1
            return False
        self.turn -= 1  # stay with a voter that serves
        self.answered(told)
        return True

    def learn(self, told: calls.Fetched) -> None:
        now = time.monotonic()
        self.totals.empty += told.majority_connected and told.snapshot is None and not told.entries
        if told.snapshot is not None:
            self.after, self.after_term = told.snapshot.index, told.snapshot.term
        if told.entries:
            self.after, self.after_term = told.entries[-1].index, told.entries[-1].term
            self.totals.commits.append((self.after, now))
            del self.totals.commits[:-KEPT_COMMITS]

    def answered(self, told: calls.Fetched) -> None:
        now, totals = time.monotonic(), self.totals
        totals.served += 1
        totals.longest_gap_s = max(totals.longest_gap_s, now - self.served_at)
        self.served_at = now
        if told.leader != self.leader and told.leader is not None:
            self.leader = told.leader
            totals.leaders[self.name] = (told.leader, now)

    async def report(self) -> None:
        """Say to the leader which version is in force, as heads with a history of rules do."""
        body, every = msgspec.msgpack.encode(HeadReport(0)), self.task.report_every
        await asyncio.sleep(self.draws.random() * every)
        while True:
            if self.leader is not None:
                self.totals.reports += 1
                try:
                    await self.streams.request(self.leader, RULES, body)
                except PeerUnreachable:
                    self.totals.reports_refused += 1
            await asyncio.sleep(every)


async def run_process(task: Task, lines: asyncio.StreamReader) -> None:
    """Follow until the input ends; each line of it is answered with the totals."""
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
        totals.cut_off = sum(now - follower.served_at > CUT_OFF_AFTER_S for follower in followers)
        sys.stdout.buffer.write(msgspec.json.encode(totals) + b"\n")
        sys.stdout.buffer.flush()
        totals.longest_gap_s = 0.0
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for follower in followers:
        await follower.streams.close()


class FollowerProcess:
    """One started process of followers."""

    def __init__(self, process: asyncio.subprocess.Process, task: Task) -> None:
        self.process, self.task = process, task

    async def totals(self) -> Totals:
        """Ask for its totals."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(b"\n")
        await self.process.stdin.drain()
        return msgspec.json.decode(await self.process.stdout.readline(), type=Totals)

    async def end(self) -> None:
        """Close its input, which ends it; kill it if that does not."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5)
        except TimeoutError:
            kill(self.process)
            await self.process.wait()


@dataclass
class Crowd:
    """All followers of a measurement."""

    voters: dict[str, str]
    secret: bytes
    fleet: str
    report_every: float = 0.0
    processes: list[FollowerProcess] = field(default_factory=list)

    @property
    def count(self) -> int:
        return sum(len(each.task.names) for each in self.processes)

    async def grow(self, count: int) -> None:
        """Start followers until there are so many."""
        while (missing := count - self.count) > 0:
            first = self.count
            names = [f"f{i}" for i in range(first, first + min(missing, MOST_IN_PROCESS))]
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
        """The totals of all processes together."""
        whole = Totals()
        for told in await asyncio.gather(*(each.totals() for each in self.processes)):
            for name in SUMMED:
                setattr(whole, name, getattr(whole, name) + getattr(told, name))
            whole.longest_gap_s = max(whole.longest_gap_s, told.longest_gap_s)
            whole.behind_s = max(whole.behind_s, told.behind_s)
            whole.leaders |= told.leaders
            whole.commits += told.commits
        return whole


SUMMED = (
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
async def crowd(
    voters: dict[str, str], secret: bytes, fleet: str, report_every: float = 0.0
) -> AsyncIterator[Crowd]:
    """Followers that are all ended at the end."""
    made = Crowd(voters, secret, fleet, report_every)
    try:
        yield made
    finally:
        await asyncio.gather(*(each.end() for each in made.processes))


async def main() -> None:
    reader = asyncio.StreamReader(limit=1024 * 1024)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    task = msgspec.json.decode(await reader.readline(), type=Task)
    await run_process(task, reader)


if __name__ == "__main__":
    asyncio.run(main())
