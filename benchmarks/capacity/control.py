"""Control of one head at rest and in motion, each part by itself, off against on.

    python -m benchmarks.capacity.control --study nodes --sizes 12,120,425,850,1700
    python -m benchmarks.capacity.control --study detector --sizes 20,60,185,370,740
    python -m benchmarks.capacity.control --study whole --sizes 20,60,185,370,740
    python -m benchmarks.capacity.control --study parts --rates 1,5,10,20
    python -m benchmarks.capacity.control --study inside       # in this process: readings, ledger, turns

Heads are processes of the real program without requests. All heads of a study run side by side and are
watched in the same span. CPU is processor time; bytes are TCP payload, or datagrams without their IP headers.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp

from benchmarks.capacity import control_inside, harness
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import (
    FLEET,
    Usage,
    address_bytes,
    direct_heads,
    process_bytes,
    voter_addresses,
)
from benchmarks.capacity.list_service import ListService, entry, list_service
from benchmarks.capacity.one_head import SECRET, OneHead, Plan
from benchmarks.capacity.simulated_peers import SimulatedPeers
from benchmarks.capacity.voter_load import CREDIT_ON, RULES_ON, sender_to
from benchmarks.heads_rules import text_of
from tests.peers import HOST

SETTLE_S = 4.0
NEWS_RATE = 1.0  # news of heads a second, in the detector's motion
QUIET_PROBES = 1500  # after which a head has passed on the news of 740 heads' start
FEW_NODES = 12
DESIGN_HEADS, DESIGN_NODES = 740, 1700
RULES = 100  # in the set of a head with a history of rules


@contextlib.asynccontextmanager
async def heads_of(plans: list[Plan]) -> AsyncIterator[list[OneHead]]:
    """Heads that run side by side; all are ended at the end."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    with tempfile.TemporaryDirectory() as folder:
        async with aiohttp.ClientSession(connector=connector) as session:
            heads = [OneHead(Path(folder), plan, session) for plan in plans]
            try:
                await asyncio.gather(*(head.start() for head in heads))
                await asyncio.sleep(SETTLE_S)
                yield heads
            finally:
                await asyncio.gather(*(head.end() for head in heads))


async def watched(heads: list[OneHead], seconds: float) -> list[tuple[Usage, Usage]]:
    """What each used, before and after a span."""
    before = await asyncio.gather(*(head.usage() for head in heads))
    await asyncio.sleep(seconds)
    after = await asyncio.gather(*(head.usage() for head in heads))
    return list(zip(before, after, strict=True))


# -- the list of nodes -------------------------------------------------------------------------------------
async def by_nodes(run: Run, given: argparse.Namespace) -> None:
    """Heads that know each other off; the list of nodes of several sizes, at rest and with changes."""
    async with AsyncExitStack() as stack:
        services = [await stack.enter_async_context(list_service(size)) for size in given.sizes]
        plans = [
            Plan(f"nodes-{size}", tuple(service.entries.values()), port)
            for size, (service, port) in zip(given.sizes, services, strict=True)
        ]
        heads = await stack.enter_async_context(heads_of(plans))
        rest = await list_span(heads, services, given.seconds, 0.0)
        write_list(run, "at rest", given.sizes, rest, given.seconds)
        for rate in given.rates[:2]:
            motion = await list_span(heads, services, given.seconds, rate)
            write_list(run, f"{rate} changes a second", given.sizes, motion, given.seconds)


Spans = list[tuple[tuple[Usage, Usage], int, int, int]]  # of each head: usage, calls, bytes to it, from it


async def list_span(
    heads: list[OneHead], services: list[tuple[ListService, int]], seconds: float, rate: float
) -> Spans:
    """Watch while lines of each list change at a rate."""
    changing = [asyncio.create_task(keep_changing(service, rate)) for service, _ in services]
    before = [(service.calls, *address_bytes(HOST, port)) for service, port in services]
    used = await watched(heads, seconds)
    after = [(service.calls, *address_bytes(HOST, port)) for service, port in services]
    for task in changing:
        task.cancel()
    await asyncio.gather(*changing, return_exceptions=True)
    return [
        (pair, late[0] - early[0], late[1] - early[1], late[2] - early[2])
        for pair, early, late in zip(used, before, after, strict=True)
    ]


async def keep_changing(service: ListService, rate: float) -> None:
    number = 0
    while rate:
        await asyncio.sleep(1 / rate)
        number += 1
        service.change(entry(number % len(service.entries), weight=1.0 + number % 2))


def write_list(run: Run, label: str, sizes: list[int], spans: Spans, seconds: float) -> None:
    for size, ((before, after), calls, to_head, from_head) in zip(sizes, spans, strict=True):

        def add(name: str, value: float, unit: str, size: int = size) -> None:
            run.add(Measurement(f"{name}, {label}, by nodes", size, round(value, 3), unit))

        add("cpu of a head", 100 * after.cores(before), "% of a core")
        add("memory of a head", after.memory_mb, "MB")
        add("calls for the list", calls / seconds, "1/s")
        add("bytes of the list to a head", to_head / seconds, "bytes/s")
        add("bytes of the list from a head", from_head / seconds, "bytes/s")


# -- the detector, and all of control together --------------------------------------------------------------
async def by_heads(run: Run, given: argparse.Namespace) -> None:
    """One real head for each size, all others of its fleet simulated; the base has no detector.

    In the study of the whole, these heads have every part on and a list of nodes as large as their fleet
    would have, and the base has none of it.
    """
    whole = given.study == "whole"
    harness.require_capacity(descriptors=sum(given.sizes) + 500, ports=sum(given.sizes) + 500)
    crowds = [SimulatedPeers(size - 1, read_key(), FLEET) for size in given.sizes]
    http = text_of(RULES, "own")
    more = CREDIT_ON + RULES_ON
    async with AsyncExitStack() as stack:
        voters = await stack.enter_async_context(
            direct_heads(1, 1, more, http) if whole else direct_heads(1, 1)
        )
        streams = voter_addresses(voters)
        _, discovery = await stack.enter_async_context(list_service(FEW_NODES))
        plans = [Plan("base", few_nodes(), discovery, None if whole else streams)]
        for crowd in crowds:
            plan = Plan(f"heads-{crowd.count + 1}", few_nodes(), discovery, streams, await crowd.start())
            if whole:
                service, port = await stack.enter_async_context(list_service(nodes_of(crowd.count + 1)))
                nodes = tuple(service.entries.values())
                plan = replace(plan, nodes=nodes, discovery=port, more=more, rules=http)
            plans.append(plan)
        heads = await stack.enter_async_context(heads_of(plans))
        await detector_spans(run, heads, crowds, given)
    for crowd in crowds:
        crowd.close()


async def detector_spans(
    run: Run, heads: list[OneHead], crowds: list[SimulatedPeers], given: argparse.Namespace
) -> None:
    """A span at rest, and one in which heads start anew."""
    for crowd, head in zip(crowds, heads[1:], strict=True):
        crowd.head = head.peer_address
    await asyncio.gather(*(crowd.acquaint() for crowd in crowds))
    await asyncio.gather(*(crowd.quiet(QUIET_PROBES) for crowd in crowds))
    living = [asyncio.create_task(crowd.live()) for crowd in crowds]
    await asyncio.sleep(SETTLE_S)
    await detector_span(run, "at rest", heads, crowds, given)
    for crowd in crowds:
        crowd.news_rate = NEWS_RATE
        living.append(asyncio.create_task(crowd.restart_some()))
    await asyncio.sleep(SETTLE_S)
    await detector_span(run, f"{NEWS_RATE:g} start a second", heads, crowds, given)
    for task in living:
        task.cancel()
    await asyncio.gather(*living, return_exceptions=True)


def read_key() -> bytes:
    """The key that heads make of their secret."""
    return hashlib.blake2b(SECRET.encode(), digest_size=64).digest()


def nodes_of(heads: int) -> int:
    """How many nodes a fleet of so many heads has, at the design's proportion."""
    return round(heads * DESIGN_NODES / DESIGN_HEADS)


def few_nodes() -> tuple[dict[str, Any], ...]:
    return tuple(entry(index) for index in range(FEW_NODES))


async def detector_span(
    run: Run, label: str, heads: list[OneHead], crowds: list[SimulatedPeers], given: argparse.Namespace
) -> None:
    before = [(c.received, c.received_bytes, c.sent, c.sent_bytes) for c in crowds]
    (base_before, base_after), *used = await watched(heads, given.seconds)
    base = 100 * base_after.cores(base_before)
    what = "all control" if given.study == "whole" else "the detector"
    for head, crowd, early, (began, ended) in zip(heads[1:], crowds, before, used, strict=True):
        details: dict[str, float | int | str] = {
            "cpu_of_the_base": round(base, 3),
            "memory_of_the_base": round(base_after.memory_mb, 1),
            "alive_in_view": await seen_alive(head),
            "nodes": len(head.plan.nodes),
        }

        def add(name: str, value: float, unit: str, size=crowd.count + 1, details=details) -> None:
            made = Measurement(f"{name}, {label}, by heads", size, round(value, 3), unit, 0, details)
            run.add(made)

        add(f"cpu of {what}", 100 * ended.cores(began) - base, "% of a core")
        add(f"memory of a head with {what}", ended.memory_mb, "MB")
        add("datagrams from a head", (crowd.received - early[0]) / given.seconds, "1/s")
        add("bytes of datagrams from a head", (crowd.received_bytes - early[1]) / given.seconds, "bytes/s")
        add("datagrams to a head", (crowd.sent - early[2]) / given.seconds, "1/s")
        add("bytes of datagrams to a head", (crowd.sent_bytes - early[3]) / given.seconds, "bytes/s")


async def seen_alive(head: OneHead) -> int:
    """How many heads it sees alive, itself among them."""
    _, told = await head.call("/control/heads")
    return sum(status == "alive" for status in told["seen"].values())


# -- following, credit and rules ---------------------------------------------------------------------------
async def by_commands(run: Run, given: argparse.Namespace) -> None:
    """Heads with one part more each, that follow one voter; at rest, then with commands agreed on."""
    http = text_of(RULES, "own")
    async with (
        direct_heads(1, 1, CREDIT_ON + RULES_ON, http) as voters,
        list_service(FEW_NODES) as (_, discovery),
    ):
        streams = voter_addresses(voters)
        off = Plan("off", few_nodes(), discovery)
        plans = [
            off,
            replace(off, name="http alone", rules=http),
            replace(off, name="following", streams=streams),
            replace(off, name="credit", streams=streams, more=CREDIT_ON),
            replace(off, name="rules", streams=streams, more=RULES_ON, rules=http),
        ]
        async with heads_of(plans) as heads, sender_to(voters, voters["h0"]) as sender:
            voter = (voters["h0"].host, voters["h0"].streams)
            await part_span(run, heads, voter, 0, given.seconds)
            await sender.make_customer()
            for rate in given.rates:
                sending = asyncio.create_task(sender.pace(rate, given.seconds + 2))
                await asyncio.sleep(1.0)
                await part_span(run, heads, voter, rate, given.seconds)
                await sending


async def part_span(
    run: Run, heads: list[OneHead], voter: tuple[str, int], rate: int, seconds: float
) -> None:
    """Each part's own use, and what following costs in bytes."""
    following = next(head for head in heads if head.plan.name == "following")
    early = process_bytes(following.pid, *voter)
    used = dict(zip([head.plan.name for head in heads], await watched(heads, seconds), strict=True))
    late = process_bytes(following.pid, *voter)
    cpu = {name: 100 * after.cores(before) for name, (before, after) in used.items()}
    memory = {name: after.memory_mb for name, (_, after) in used.items()}

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, by commands a second", rate, round(value, 3), unit))

    add("cpu of a head with all off", cpu["off"], "% of a core")
    add("memory of a head with all off", memory["off"], "MB")
    add("memory of a head with the HTTP front alone", memory["http alone"], "MB")
    for part, base in (("following", "off"), ("credit", "following"), ("rules", "following")):
        http = part == "rules"  # that head has the HTTP front too
        front = cpu["http alone"] - cpu["off"] if http else 0.0
        add(f"cpu of {part}", cpu[part] - cpu[base] - front, "% of a core")
        add(f"memory of a head with {part}", memory[part], "MB")
    add("bytes of following from a head", (late[0] - early[0]) / seconds, "bytes/s")
    add("bytes of following to a head", (late[1] - early[1]) / seconds, "bytes/s")


def main() -> None:
    parser = harness.parser(__doc__ or "", "12,120,425,850,1700")
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--study", choices=["nodes", "detector", "whole", "parts", "inside"], required=True)
    parser.add_argument("--seconds", type=float, default=20.0, help="watched each time")
    parser.add_argument("--rates", type=harness.numbers, default=[1, 5, 10, 20], help="changes a second")
    given = parser.parse_args()
    with harness.recording(f"control --study {given.study}", given.out) as run:
        if given.study == "inside":
            control_inside.measure(run)
            return
        studies = {"nodes": by_nodes, "detector": by_heads, "whole": by_heads, "parts": by_commands}
        asyncio.run(studies[given.study](run, given))


if __name__ == "__main__":
    main()
