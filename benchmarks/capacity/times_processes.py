"""Times on processes: a leader that goes, and an edit of the rules until it is in force everywhere."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import time
from collections.abc import Iterable

import msgspec

from benchmarks.capacity.followers import Crowd, crowd
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    direct_heads,
    process_bytes,
    secret_of,
    voter_addresses,
)
from benchmarks.capacity.spread import add_times
from benchmarks.capacity.voter_load import CREDIT_ON, RULES_ON, Sender, sender_to
from benchmarks.heads_rules import text_of
from stoatrouter.credit.records import BookEntry
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.heads.rules_clients import edit
from tests.process_signals import send_signal

SETTLE_S = 2.0
FOLLOWERS_WITHIN_S = 12.0  # for all followers to hear of a new leader; those that do not are counted
TRY_EVERY_S = 0.02
REST_S = 4.0  # watched for the bytes at rest


def event_times(head: HeadProcess, name: str) -> list[float]:
    """When a head logged an event, each time."""
    found = []
    for line in head.logs.read_text().splitlines():
        if f'"{name}"' in line:
            record = json.loads(line)["record"]
            if record["extra"].get("event") == name:
                found.append(record["time"]["timestamp"])
    return found


# -- a leader that goes ------------------------------------------------------------------------------------
async def leader(run: Run, given: argparse.Namespace) -> None:
    """Until a command is acknowledged again, and until each follower knows the new leader."""
    label = f"{given.voters} voters, {'killed' if given.how == 'kill' else 'stopped'}"
    async with (
        direct_heads(given.voters, given.voters, CREDIT_ON) as fleet,
        crowd(voter_addresses(fleet), secret_of(fleet), FLEET) as followers,
        sender_to(fleet, await fleet.leader()) as sender,
    ):
        await sender.make_customer()
        for size in sorted(given.sizes):
            await followers.grow(size)
            await asyncio.sleep(SETTLE_S)
            acknowledged: list[float] = []
            known: list[float] = []
            missed = 0
            for _ in range(given.times):
                took, heard = await replace_leader(fleet, followers, sender, given.how)
                acknowledged.append(took)
                known += heard
                missed += size - len(heard)
            add_times(run, f"a command acknowledged again, {label}", size, acknowledged)
            if known:
                add_times(run, f"a new leader known to a follower, {label}", size, known)
            run.add(Measurement(f"followers that did not hear of it in 12 s, {label}", size, missed, "count"))


async def replace_leader(
    fleet: ProcessFleet, followers: Crowd, sender: Sender, how: str
) -> tuple[float, list[float]]:
    """One round: the leader goes and comes back. Seconds to a command's answer, and to each follower."""
    old = await fleet.leader()
    began = time.monotonic()
    if how == "kill":
        await old.kill()
    else:
        assert old.process is not None
        send_signal(old.process, signal.SIGTERM)
    took = await acknowledged_again(fleet, sender, old, began)
    new = await fleet.leader([name for name in fleet.voters if name != old.name])
    heard: list[float] = []
    while time.monotonic() < began + FOLLOWERS_WITHIN_S and len(heard) < followers.count:
        await asyncio.sleep(0.2)
        told = (await followers.totals()).leaders
        heard = [at - began for name, at in told.values() if name == new.name and at > began]
    assert old.process is not None
    await old.process.wait()
    await old.start()
    await fleet.until_all_connected()
    await asyncio.sleep(SETTLE_S)
    return took, heard


async def acknowledged_again(fleet: ProcessFleet, sender: Sender, old: HeadProcess, began: float) -> float:
    """Try a command at each other voter until one answers that it was agreed on."""
    others = [name for name in fleet.voters if name != old.name]
    number = 0
    while True:
        sender.number += 1
        book = BookEntry(f"t{sender.number}", "acme", 1, "top-up", "bench", "", "")
        body = msgspec.msgpack.encode(book)
        sender.leader = others[number % len(others)]
        number += 1
        if await sender.send(body, f"t{sender.number}"):
            return time.monotonic() - began
        await asyncio.sleep(TRY_EVERY_S)


# -- an edit -----------------------------------------------------------------------------------------------
async def edits(run: Run, given: argparse.Namespace) -> None:
    """From an edit's acceptance to its being in force, and its bytes for a head without a vote."""
    label = f"{given.heads} heads"
    for rules in given.sizes:
        async with direct_heads(given.heads, 3, RULES_ON, text_of(1, "own")) as fleet:
            newest, _, _ = await one_edit(fleet, 0, rules, "first")
            followers = [head for head in fleet if head.name not in fleet.voters]
            rest = await bytes_at_rest(fleet, followers)
            spans: list[float] = []
            taken: list[float] = []
            for number in range(given.times):
                early = bytes_of(fleet, followers)
                newest, times_of, seconds = await one_edit(fleet, newest, rules, f"v{number}")
                late = bytes_of(fleet, followers)
                spans += times_of
                taken.append((late - early) / len(followers) - rest * seconds)
        add_times(run, f"an edit in force on a head, {label}", rules, spans)
        name = f"bytes of an edit for a head without a vote, {label}"
        run.add(Measurement(name, rules, round(sum(taken) / len(taken)), "bytes", 0, {"edits": len(taken)}))
        size = len(text_of(rules, "v0"))
        run.add(Measurement("bytes of the set as text", rules, size, "bytes"))


async def one_edit(fleet: ProcessFleet, base: int, rules: int, mark: str) -> tuple[int, list[float], float]:
    """Its number, when each head had it in force since its acceptance, and how long all of it took."""
    began = time.monotonic()
    head = next(iter(fleet))
    status, told = await edit(head, f"edit-{mark}", base, text_of(rules, mark))
    accepted = time.time()
    assert status == 202, told
    number = told["number"]

    def everywhere() -> bool:
        return all(number in versions(each) for each in fleet)

    await fleet.until(everywhere, f"version {number} on all heads", timeout=150)
    await asyncio.sleep(1.0)
    spans = [versions(each)[number] - accepted for each in fleet]
    return number, spans, time.monotonic() - began


def versions(head: HeadProcess) -> dict[int, float]:
    """When each version was put in force at a head."""
    numbers = [event["number"] for event in head.events("rules.version")]
    return dict(zip(numbers, event_times(head, "rules.version"), strict=False))


def bytes_of(fleet: ProcessFleet, heads: Iterable[HeadProcess]) -> int:
    """Bytes that heads have sent to the voters' streams and received over them, both ways together."""
    count = 0
    for head in heads:
        assert head.process is not None
        for name in fleet.voters:
            count += sum(process_bytes(head.process.pid, fleet[name].host, fleet[name].stream_port))
    return count


async def bytes_at_rest(fleet: ProcessFleet, heads: list[HeadProcess]) -> float:
    """Bytes a second of one head at rest."""
    early, began = bytes_of(fleet, heads), time.monotonic()
    await asyncio.sleep(REST_S)
    return (bytes_of(fleet, heads) - early) / len(heads) / (time.monotonic() - began)
