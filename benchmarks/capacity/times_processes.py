"""Latencies measured on processes: a change of leader, and an edit of the rules until it is in force."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import time
from collections.abc import Iterable

import msgspec

from benchmarks.capacity.followers import FollowerGroup, running_followers
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    direct_heads,
    fleet_key,
    process_bytes,
    voter_addresses,
)
from benchmarks.capacity.spread import record_times
from benchmarks.capacity.voter_load import CREDIT_ON, RULES_ON, Sender, command_sender
from benchmarks.heads_rules import rules_text
from stoatrouter.credit.records import BookEntry
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.heads.rules_clients import edit
from tests.process_signals import send_signal

SETTLE_S = 2.0
FOLLOWERS_TIMEOUT_S = 12.0  # for followers to learn of a new leader; later ones are counted as missed
RETRY_INTERVAL_S = 0.02
REST_S = 4.0  # to measure the bytes at rest


def event_times(head: HeadProcess, name: str) -> list[float]:
    """Return the times at which a head logged an event."""
    found = []
    for line in head.logs.read_text().splitlines():
        if f'"{name}"' in line:
            record = json.loads(line)["record"]
            if record["extra"].get("event") == name:
                found.append(record["time"]["timestamp"])
    return found


# -- change of leader ---------------------------------------------------------------------------------------
async def measure_leader_change(run: Run, arguments: argparse.Namespace) -> None:
    """Measure the time until a command is acknowledged again and until each follower knows the leader."""
    label = f"{arguments.voters} voters, {'killed' if arguments.how == 'kill' else 'stopped'}"
    async with (
        direct_heads(arguments.voters, arguments.voters, CREDIT_ON) as fleet,
        running_followers(voter_addresses(fleet), fleet_key(fleet), FLEET) as followers,
        command_sender(fleet, await fleet.leader()) as sender,
    ):
        await sender.make_customer()
        for size in sorted(arguments.sizes):
            await followers.grow(size)
            await asyncio.sleep(SETTLE_S)
            acknowledged: list[float] = []
            follower_delays: list[float] = []
            missed = 0
            for _ in range(arguments.times):
                elapsed, delays = await replace_leader(fleet, followers, sender, arguments.how)
                acknowledged.append(elapsed)
                follower_delays += delays
                missed += size - len(delays)
            record_times(run, f"a command acknowledged again, {label}", size, acknowledged)
            if follower_delays:
                record_times(run, f"a new leader known to a follower, {label}", size, follower_delays)
            run.add(Measurement(f"followers that did not hear of it in 12 s, {label}", size, missed, "count"))


async def replace_leader(
    fleet: ProcessFleet, followers: FollowerGroup, sender: Sender, how: str
) -> tuple[float, list[float]]:
    """End the leader and start it again.

    Returns the seconds until a command is acknowledged and until each follower knows the new leader.
    """
    old = await fleet.leader()
    started_at = time.monotonic()
    if how == "kill":
        await old.kill()
    else:
        assert old.process is not None
        send_signal(old.process, signal.SIGTERM)
    elapsed = await wait_acknowledged(fleet, sender, old, started_at)
    new = await fleet.leader([name for name in fleet.voters if name != old.name])
    delays: list[float] = []
    while time.monotonic() < started_at + FOLLOWERS_TIMEOUT_S and len(delays) < followers.count:
        await asyncio.sleep(0.2)
        leaders = (await followers.totals()).leaders
        delays = [at - started_at for name, at in leaders.values() if name == new.name and at > started_at]
    assert old.process is not None
    await old.process.wait()
    await old.start()
    await fleet.until_all_connected()
    await asyncio.sleep(SETTLE_S)
    return elapsed, delays


async def wait_acknowledged(
    fleet: ProcessFleet, sender: Sender, old: HeadProcess, started_at: float
) -> float:
    """Send commands to the other voters in turn; return the seconds until one is acknowledged."""
    others = [name for name in fleet.voters if name != old.name]
    number = 0
    while True:
        sender.number += 1
        entry = BookEntry(f"t{sender.number}", "acme", 1, "top-up", "bench", "", "")
        body = msgspec.msgpack.encode(entry)
        sender.leader = others[number % len(others)]
        number += 1
        if await sender.send(body, f"t{sender.number}"):
            return time.monotonic() - started_at
        await asyncio.sleep(RETRY_INTERVAL_S)


# -- edits --------------------------------------------------------------------------------------------------
async def measure_edits(run: Run, arguments: argparse.Namespace) -> None:
    """Measure the time from acceptance of an edit until it is in force, and its bytes for a follower."""
    label = f"{arguments.heads} heads"
    for rules in arguments.sizes:
        async with direct_heads(arguments.heads, 3, RULES_ON, rules_text(1, "own")) as fleet:
            newest, _, _ = await make_edit(fleet, 0, rules, "first")
            followers = [head for head in fleet if head.name not in fleet.voters]
            rest_rate = await bytes_at_rest(fleet, followers)
            spans: list[float] = []
            bytes_per_edit: list[float] = []
            for number in range(arguments.times):
                bytes_before = stream_bytes(fleet, followers)
                newest, times_of, seconds = await make_edit(fleet, newest, rules, f"v{number}")
                bytes_after = stream_bytes(fleet, followers)
                spans += times_of
                bytes_per_edit.append((bytes_after - bytes_before) / len(followers) - rest_rate * seconds)
        record_times(run, f"an edit in force on a head, {label}", rules, spans)
        name = f"bytes of an edit for a head without a vote, {label}"
        run.add(
            Measurement(
                name,
                rules,
                round(sum(bytes_per_edit) / len(bytes_per_edit)),
                "bytes",
                0,
                {"edits": len(bytes_per_edit)},
            )
        )
        size = len(rules_text(rules, "v0"))
        run.add(Measurement("bytes of the set as text", rules, size, "bytes"))


async def make_edit(fleet: ProcessFleet, base: int, rules: int, mark: str) -> tuple[int, list[float], float]:
    """Make an edit; return its version, the delay until it is in force on each head, and the total time."""
    started_at = time.monotonic()
    head = next(iter(fleet))
    status, answer = await edit(head, f"edit-{mark}", base, rules_text(rules, mark))
    accepted = time.time()
    assert status == 202, answer
    number = answer["number"]

    def in_force_everywhere() -> bool:
        return all(number in version_times(each) for each in fleet)

    await fleet.until(in_force_everywhere, f"version {number} on all heads", timeout=150)
    await asyncio.sleep(1.0)
    spans = [version_times(each)[number] - accepted for each in fleet]
    return number, spans, time.monotonic() - started_at


def version_times(head: HeadProcess) -> dict[int, float]:
    """Return when each version came into force on a head."""
    numbers = [event["number"] for event in head.events("rules.version")]
    return dict(zip(numbers, event_times(head, "rules.version"), strict=False))


def stream_bytes(fleet: ProcessFleet, heads: Iterable[HeadProcess]) -> int:
    """Return the bytes, in both directions, of the streams from heads to the voters."""
    count = 0
    for head in heads:
        assert head.process is not None
        for name in fleet.voters:
            count += sum(process_bytes(head.process.pid, fleet[name].host, fleet[name].stream_port))
    return count


async def bytes_at_rest(fleet: ProcessFleet, heads: list[HeadProcess]) -> float:
    """Return the bytes per second of one head at rest."""
    bytes_before, started_at = stream_bytes(fleet, heads), time.monotonic()
    await asyncio.sleep(REST_S)
    return (stream_bytes(fleet, heads) - bytes_before) / len(heads) / (time.monotonic() - started_at)
