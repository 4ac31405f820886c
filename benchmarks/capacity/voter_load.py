"""What commands and edits cost the voters, with light followers that learn of each."""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from benchmarks.capacity.followers import Crowd, Totals, crowd
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    Usage,
    direct_heads,
    secret_of,
    usage,
    voter_addresses,
)
from benchmarks.heads_rules import text_of
from stoatrouter.agreement.machine import Command
from stoatrouter.agreement.records import Voter
from stoatrouter.credit.records import BookEntry, PutCustomer
from stoatrouter.peering import calls
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.credit import PART as CREDIT
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.streams import Streams
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.heads.rules_clients import edit

CREDIT_ON = 'credit: prices: "score-read": 1000\n'
RULES_ON = 'rules: {check_within: "120s", largest: 16Mi}\n'
EDITS_OF_A_SIZE = 3
SETTLE_S = 4.0
MOST_WAITING = 400  # commands under way; beyond, one is not sent and counted


@dataclass
class Sender:
    """Sends commands to the leader, as a head passes them on."""

    streams: Streams
    leader: str
    acknowledged: list[float] = field(default_factory=list)  # seconds each took
    failed: int = 0
    not_sent: int = 0
    number: int = 0
    waiting: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(self, body: bytes, id: str) -> bool:
        command = Command(id, CREDIT, body, "sender")
        began = time.monotonic()
        try:
            _, said = await self.streams.request(self.leader, calls.COMMAND, msgspec.msgpack.encode(command))
        except PeerUnreachable:
            self.failed += 1
            return False
        ok = msgspec.msgpack.decode(said, type=calls.Answer).ok
        self.failed += not ok
        if ok:
            self.acknowledged.append(time.monotonic() - began)
        return ok

    async def make_customer(self) -> None:
        """Whose account is topped up."""
        customer = PutCustomer("acme", ("00000003b4d60021",))
        assert await self.send(msgspec.msgpack.encode(customer), "customer"), "no customer"

    async def top_up(self) -> None:
        self.number += 1
        id = f"t{self.number}"
        book = BookEntry(id, "acme", 1, "top-up", "bench", "", "")
        await self.send(msgspec.msgpack.encode(book), id)

    async def pace(self, rate: float, seconds: float) -> None:
        """Send at an even rate, whether earlier ones are answered or not."""
        began = time.monotonic()
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, began + i / rate - time.monotonic()))
            if len(self.waiting) >= MOST_WAITING:
                self.not_sent += 1
                continue
            task = asyncio.create_task(self.top_up())
            self.waiting.add(task)
            task.add_done_callback(self.waiting.discard)
        await asyncio.gather(*self.waiting)


@asynccontextmanager
async def sender_to(fleet: ProcessFleet, leader: HeadProcess) -> AsyncIterator[Sender]:
    """A sender of commands that knows the fleet's secret."""

    async def take(envelope: Envelope) -> bytes | None:
        return None

    seal = EnvelopeSealer(secret_of(fleet), FLEET, "sender")
    me, process = Voter("sender", "5" * 32), time.time_ns() // 1_000_000
    streams = Streams(seal, me, process, voter_addresses(fleet), MessageCounters(), take, lambda: "")
    await streams.start(None)
    try:
        yield Sender(streams, leader.name)
    finally:
        await streams.close()


@dataclass(slots=True)
class Before:
    """What was used when a span began."""

    usages: dict[str, Usage]
    totals: Totals


async def before_of(fleet: ProcessFleet, followers: Crowd) -> Before:
    return Before({head.name: await usage(head) for head in fleet.up}, await followers.totals())


async def by_commands(run: Run, given: argparse.Namespace) -> None:
    """Commands at several rates, each for a while; they book top-ups."""
    label = f"{given.voters} voters, {given.followers} followers"
    async with (
        direct_heads(given.voters, given.voters, CREDIT_ON) as fleet,
        crowd(voter_addresses(fleet), secret_of(fleet), FLEET) as followers,
    ):
        await followers.grow(given.followers)
        await asyncio.sleep(SETTLE_S)
        leader = await fleet.leader()
        async with sender_to(fleet, leader) as sender:
            await sender.make_customer()
            for rate in given.rates:
                before = await before_of(fleet, followers)
                sender.acknowledged, sender.failed, sender.not_sent = [], 0, 0
                await sender.pace(rate, given.seconds)
                after = await before_of(fleet, followers)
                write_commands(run, label, rate, leader.name, before, after, sender, given.followers)


def write_commands(
    run: Run,
    label: str,
    rate: int,
    leader: str,
    before: Before,
    after: Before,
    sender: Sender,
    followers: int,
) -> None:
    """The figures of one rate."""
    spans = {name: (before.usages[name], after.usages[name]) for name in after.usages}
    lead_before, lead_after = spans[leader]
    seconds = lead_after.at - lead_before.at
    others = [100 * late.cores(early) for name, (early, late) in spans.items() if name != leader]
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


async def by_edits(run: Run, given: argparse.Namespace) -> None:
    """Edits of sets of several sizes, one rule changed in each."""
    label = f"{given.voters} voters, {given.followers} followers"
    for rules in given.rules:
        async with (
            direct_heads(given.voters, given.voters, RULES_ON, text_of(1, "own")) as fleet,
            crowd(voter_addresses(fleet), secret_of(fleet), FLEET) as followers,
        ):
            await followers.grow(given.followers)
            await asyncio.sleep(SETTLE_S)
            leader = await fleet.leader()
            newest = await put_in_force(fleet, leader, 0, rules, "first")
            before = await before_of(fleet, followers)
            for number in range(EDITS_OF_A_SIZE):
                newest = await put_in_force(fleet, leader, newest, rules, f"v{number}")
            after = await before_of(fleet, followers)
            write_edits(run, label, rules, leader.name, before, after, given.followers)


async def put_in_force(fleet: ProcessFleet, leader: HeadProcess, base: int, rules: int, mark: str) -> int:
    """An edit, until each voter decides by it; its number."""
    status, told = await edit(leader, f"edit-{mark}", base, text_of(rules, mark))
    assert status == 202, told

    def everywhere() -> bool:
        return all(
            any(event["number"] == told["number"] for event in head.events("rules.version")) for head in fleet
        )

    await fleet.until(everywhere, f"version {told['number']} on all voters", timeout=100)
    await asyncio.sleep(1.0)  # followers learn of it, the disk's writes end
    return told["number"]


def write_edits(
    run: Run, label: str, rules: int, leader: str, before: Before, after: Before, followers: int
) -> None:
    """The figures of one size of set, for each edit."""
    early, late = before.usages[leader], after.usages[leader]
    others = [name for name in after.usages if name != leader]

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, {label}", rules, round(value / EDITS_OF_A_SIZE, 4), unit))

    add("cpu of the leader for an edit", late.cpu_s - early.cpu_s, "s")
    cpu = [after.usages[name].cpu_s - before.usages[name].cpu_s for name in others]
    add("cpu of another voter for an edit", statistics.mean(cpu) if cpu else 0.0, "s")
    add("disk writes of the leader for an edit", late.writes - early.writes, "writes")
    add("bytes from the leader's streams for an edit", late.bytes_out - early.bytes_out, "bytes")
    run.add(Measurement(f"memory of the leader, {label}", rules, late.memory_mb, "MB"))
    if followers:
        body = after.totals.body_bytes_in - before.totals.body_bytes_in
        add("body bytes to a follower for an edit, its rest with it", body / followers, "bytes")
