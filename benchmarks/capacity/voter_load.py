"""Load of commands and edits on the voters, with simulated followers that fetch each of them."""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from benchmarks.capacity.followers import FollowerGroup, Totals, running_followers
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    Usage,
    direct_heads,
    fleet_key,
    usage,
    voter_addresses,
)
from benchmarks.heads_rules import rules_text
from stoatrouter.agreement.machine import Command
from stoatrouter.agreement.records import Voter
from stoatrouter.credit.records import BookEntry, PutCustomer
from stoatrouter.peering import calls
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.parts import CREDIT
from stoatrouter.peering.streams import Streams
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.heads.rules_clients import edit

CREDIT_ON = 'credit: prices: "score-read": 1000\n'
RULES_ON = 'rules: {check_within: "120s", largest: 16Mi}\n'
EDITS_PER_SIZE = 3
SETTLE_S = 4.0
MAX_WAITING = 400  # open commands; further ones are not sent, and counted as such


@dataclass
class Sender:
    """Sends commands to the leader, as a head forwards them."""

    streams: Streams
    leader: str
    acknowledged: list[float] = field(default_factory=list)  # latency of each, in seconds
    failed: int = 0
    not_sent: int = 0
    number: int = 0
    waiting: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(self, body: bytes, id: str) -> bool:
        command = Command(id, CREDIT, body, "sender")
        started_at = time.monotonic()
        try:
            _, answer = await self.streams.request(
                self.leader, calls.COMMAND, msgspec.msgpack.encode(command)
            )
        except PeerUnreachable:
            self.failed += 1
            return False
        ok = msgspec.msgpack.decode(answer, type=calls.Answer).ok
        self.failed += not ok
        if ok:
            self.acknowledged.append(time.monotonic() - started_at)
        return ok

    async def make_customer(self) -> None:
        """Create the customer whose account is topped up."""
        customer = PutCustomer("acme", ("00000003b4d60021",))
        assert await self.send(msgspec.msgpack.encode(customer), "customer"), "the customer was not created"

    async def top_up(self) -> None:
        self.number += 1
        id = f"t{self.number}"
        entry = BookEntry(id, "acme", 1, "top-up", "bench", "", "")
        await self.send(msgspec.msgpack.encode(entry), id)

    async def send_at_rate(self, rate: float, seconds: float) -> None:
        """Send commands at a constant rate, without waiting for the answers to earlier ones."""
        started_at = time.monotonic()
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + i / rate - time.monotonic()))
            if len(self.waiting) >= MAX_WAITING:
                self.not_sent += 1
                continue
            task = asyncio.create_task(self.top_up())
            self.waiting.add(task)
            task.add_done_callback(self.waiting.discard)
        await asyncio.gather(*self.waiting)


@asynccontextmanager
async def command_sender(fleet: ProcessFleet, leader: HeadProcess) -> AsyncIterator[Sender]:
    """Run a sender of commands that knows the key of the fleet."""

    async def ignore_message(envelope: Envelope) -> bytes | None:
        return None

    sealer = EnvelopeSealer(fleet_key(fleet), FLEET, "sender")
    me, process = Voter("sender", "5" * 32), time.time_ns() // 1_000_000
    streams = Streams(
        sealer, me, process, voter_addresses(fleet), MessageCounters(), ignore_message, lambda: ""
    )
    await streams.start(None)
    try:
        yield Sender(streams, leader.name)
    finally:
        await streams.close()


@dataclass(slots=True)
class LoadSnapshot:
    """Usage of the heads and counts of the followers at one time."""

    usages: dict[str, Usage]
    totals: Totals


async def take_snapshot(fleet: ProcessFleet, followers: FollowerGroup) -> LoadSnapshot:
    return LoadSnapshot({head.name: await usage(head) for head in fleet.up}, await followers.totals())


async def measure_commands(run: Run, arguments: argparse.Namespace) -> None:
    """Measure top-up commands at several rates."""
    label = f"{arguments.voters} voters, {arguments.followers} followers"
    async with (
        direct_heads(arguments.voters, arguments.voters, CREDIT_ON) as fleet,
        running_followers(voter_addresses(fleet), fleet_key(fleet), FLEET) as followers,
    ):
        await followers.grow(arguments.followers)
        await asyncio.sleep(SETTLE_S)
        leader = await fleet.leader()
        async with command_sender(fleet, leader) as sender:
            await sender.make_customer()
            for rate in arguments.rates:
                before = await take_snapshot(fleet, followers)
                sender.acknowledged, sender.failed, sender.not_sent = [], 0, 0
                await sender.send_at_rate(rate, arguments.seconds)
                after = await take_snapshot(fleet, followers)
                record_commands(run, label, rate, leader.name, before, after, sender, arguments.followers)


def record_commands(
    run: Run,
    label: str,
    rate: int,
    leader: str,
    before: LoadSnapshot,
    after: LoadSnapshot,
    sender: Sender,
    followers: int,
) -> None:
    """Record the figures of one rate."""
    spans = {name: (before.usages[name], after.usages[name]) for name in after.usages}
    lead_before, lead_after = spans[leader]
    seconds = lead_after.at - lead_before.at
    others = [100 * later.cores(earlier) for name, (earlier, later) in spans.items() if name != leader]
    times = sorted(sender.acknowledged) or [0.0]
    details: dict[str, float | int | str] = {
        "acknowledged": len(sender.acknowledged),
        "failed": sender.failed,
        "not_sent": sender.not_sent,
    }

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, {label}", rate, round(value, 5), unit, details=details))

    add("cpu of the leader", 100 * lead_after.cores(lead_before), "% of a core")
    add("cpu of another voter", statistics.mean(others) if others else 0.0, "% of a core")
    add("memory of the leader", lead_after.memory_mb, "MB")
    add("disk writes of the leader", lead_after.rate("writes", lead_before), "writes/s")
    add("bytes from the leader's streams", lead_after.rate("bytes_out", lead_before), "bytes/s")
    add("bytes to the leader's streams", lead_after.rate("bytes_in", lead_before), "bytes/s")
    add("acknowledged, p50", 1000 * times[len(times) // 2], "ms")
    add("acknowledged, p99", 1000 * times[len(times) * 99 // 100], "ms")
    if followers:
        asked = after.totals.asked - before.totals.asked
        refused = after.totals.refused - before.totals.refused
        add("questions of a follower", asked / followers / seconds, "1/s")
        add("refused, of all asked", refused / max(1, asked), "share")


async def measure_edits(run: Run, arguments: argparse.Namespace) -> None:
    """Measure edits of rule sets of several sizes, with one changed rule in each."""
    label = f"{arguments.voters} voters, {arguments.followers} followers"
    for rules in arguments.rules:
        async with (
            direct_heads(arguments.voters, arguments.voters, RULES_ON, rules_text(1, "own")) as fleet,
            running_followers(voter_addresses(fleet), fleet_key(fleet), FLEET) as followers,
        ):
            await followers.grow(arguments.followers)
            await asyncio.sleep(SETTLE_S)
            leader = await fleet.leader()
            newest = await make_edit(fleet, leader, 0, rules, "first")
            before = await take_snapshot(fleet, followers)
            for number in range(EDITS_PER_SIZE):
                newest = await make_edit(fleet, leader, newest, rules, f"v{number}")
            after = await take_snapshot(fleet, followers)
            record_edits(run, label, rules, leader.name, before, after, arguments.followers)


async def make_edit(fleet: ProcessFleet, leader: HeadProcess, base: int, rules: int, mark: str) -> int:
    """Make an edit, wait until it is in force on each voter, and return its version."""
    status, answer = await edit(leader, f"edit-{mark}", base, rules_text(rules, mark))
    assert status == 202, answer

    def in_force_everywhere() -> bool:
        return all(
            any(event["number"] == answer["number"] for event in head.events("rules.version"))
            for head in fleet
        )

    await fleet.until(in_force_everywhere, f"version {answer['number']} on all voters", timeout=100)
    await asyncio.sleep(1.0)  # for followers to fetch it and disk writes to end
    return answer["number"]


def record_edits(
    run: Run, label: str, rules: int, leader: str, before: LoadSnapshot, after: LoadSnapshot, followers: int
) -> None:
    """Record the figures per edit of one size of rule set."""
    earlier, later = before.usages[leader], after.usages[leader]
    others = [name for name in after.usages if name != leader]

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, {label}", rules, round(value / EDITS_PER_SIZE, 4), unit))

    add("cpu of the leader for an edit", later.cpu_s - earlier.cpu_s, "s")
    cpu = [after.usages[name].cpu_s - before.usages[name].cpu_s for name in others]
    add("cpu of another voter for an edit", statistics.mean(cpu) if cpu else 0.0, "s")
    add("disk writes of the leader for an edit", later.writes - earlier.writes, "writes")
    add("bytes from the leader's streams for an edit", later.bytes_out - earlier.bytes_out, "bytes")
    run.add(Measurement(f"memory of the leader, {label}", rules, later.memory_mb, "MB"))
    if followers:
        body = after.totals.body_bytes_in - before.totals.body_bytes_in
        add("body bytes to a follower for an edit, its rest with it", body / followers, "bytes")
