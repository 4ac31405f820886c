"""Resource use of one head's control parts, each measured alone, at rest and with changes.

    python -m benchmarks.capacity.control --study nodes --sizes 12,120,425,850,1700
    python -m benchmarks.capacity.control --study detector --sizes 20,60,185,370,740
    python -m benchmarks.capacity.control --study whole --sizes 20,60,185,370,740
    python -m benchmarks.capacity.control --study parts --rates 1,5,10,20
    python -m benchmarks.capacity.control --study inside       # in this process: readings, ledger, reports

Heads are processes of the real program that get no requests. The cost of a part is the difference between a
head with it and one without. All heads of a study run side by side and are measured over the same span. CPU
is processor time; bytes are TCP payload, or datagrams without their IP headers.
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
from benchmarks.capacity.one_head import SECRET, HeadPlan, OneHead
from benchmarks.capacity.simulated_peers import SimulatedPeers
from benchmarks.capacity.voter_load import CREDIT_ON, RULES_ON, command_sender
from benchmarks.heads_rules import rules_text
from tests.peers import HOST

SETTLE_S = 4.0  # between the start of heads and a measurement
RESTART_RATE = 1.0  # restarts of heads a second, in the second span of the detector study
START_UPDATE_PROBES = 1500  # enough for a head to pass on the start of 740 heads by gossip
FEW_NODES = 12
DESIGN_HEADS = 740
DESIGN_NODES = 1700
RULES = 100  # rules of a head that keeps a rule history


@contextlib.asynccontextmanager
async def running_heads(plans: list[HeadPlan]) -> AsyncIterator[list[OneHead]]:
    """Run heads side by side; all are ended on exit."""
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


async def usage_over(heads: list[OneHead], seconds: float) -> list[tuple[Usage, Usage]]:
    """Return the usage of each head before and after a span."""
    before = await asyncio.gather(*(head.usage() for head in heads))
    await asyncio.sleep(seconds)
    after = await asyncio.gather(*(head.usage() for head in heads))
    return list(zip(before, after, strict=True))


# -- node list ----------------------------------------------------------------------------------------------
async def measure_by_nodes(run: Run, arguments: argparse.Namespace) -> None:
    """Measure heads without peering and with node lists of several sizes, at rest and with changes."""
    async with AsyncExitStack() as stack:
        services = [await stack.enter_async_context(list_service(size)) for size in arguments.sizes]
        plans = [
            HeadPlan(f"nodes-{size}", tuple(service.entries.values()), port)
            for size, (service, port) in zip(arguments.sizes, services, strict=True)
        ]
        heads = await stack.enter_async_context(running_heads(plans))
        rest_spans = await measure_list_span(heads, services, arguments.seconds, 0.0)
        record_list_span(run, "at rest", arguments.sizes, rest_spans, arguments.seconds)
        for rate in arguments.rates[:2]:
            changing_spans = await measure_list_span(heads, services, arguments.seconds, rate)
            record_list_span(
                run, f"{rate} changes a second", arguments.sizes, changing_spans, arguments.seconds
            )


ListSpans = list[
    tuple[tuple[Usage, Usage], int, int, int]
]  # of each head: usage before and after, list calls, bytes to the head, bytes from it


async def measure_list_span(
    heads: list[OneHead], services: list[tuple[ListService, int]], seconds: float, rate: float
) -> ListSpans:
    """Measure usage and list traffic while entries of each list change at a rate."""
    changing = [asyncio.create_task(change_periodically(service, rate)) for service, _ in services]
    before = [(service.calls, *address_bytes(HOST, port)) for service, port in services]
    usages = await usage_over(heads, seconds)
    after = [(service.calls, *address_bytes(HOST, port)) for service, port in services]
    for task in changing:
        task.cancel()
    await asyncio.gather(*changing, return_exceptions=True)
    return [
        (pair, later[0] - earlier[0], later[1] - earlier[1], later[2] - earlier[2])
        for pair, earlier, later in zip(usages, before, after, strict=True)
    ]


async def change_periodically(service: ListService, rate: float) -> None:
    number = 0
    while rate:
        await asyncio.sleep(1 / rate)
        number += 1
        service.change(entry(number % len(service.entries), weight=1.0 + number % 2))


def record_list_span(run: Run, label: str, sizes: list[int], spans: ListSpans, seconds: float) -> None:
    for size, ((before, after), calls, to_head, from_head) in zip(sizes, spans, strict=True):

        def add(name: str, value: float, unit: str, size: int = size) -> None:
            run.add(Measurement(f"{name}, {label}, by nodes", size, round(value, 3), unit))

        add("cpu of a head", 100 * after.cores(before), "% of a core")
        add("memory of a head", after.memory_mb, "MB")
        add("calls for the list", calls / seconds, "1/s")
        add("bytes of the list to a head", to_head / seconds, "bytes/s")
        add("bytes of the list from a head", from_head / seconds, "bytes/s")


# -- detector, and all control parts together ---------------------------------------------------------------
async def measure_by_heads(run: Run, arguments: argparse.Namespace) -> None:
    """Measure one real head per size of fleet, with all its peers simulated, and a base without detector.

    In the study "whole", these heads have every part on and a node list of the size that their fleet would
    have, and the base has every part off.
    """
    whole = arguments.study == "whole"
    harness.require_capacity(descriptors=sum(arguments.sizes) + 500, ports=sum(arguments.sizes) + 500)
    peer_fleets = [SimulatedPeers(size - 1, read_key(), FLEET) for size in arguments.sizes]
    http = rules_text(RULES, "own")
    more = CREDIT_ON + RULES_ON
    async with AsyncExitStack() as stack:
        voters = await stack.enter_async_context(
            direct_heads(1, 1, more, http) if whole else direct_heads(1, 1)
        )
        streams = voter_addresses(voters)
        _, discovery = await stack.enter_async_context(list_service(FEW_NODES))
        plans = [HeadPlan("base", few_nodes(), discovery, None if whole else streams)]
        for peer_fleet in peer_fleets:
            plan = HeadPlan(
                f"heads-{peer_fleet.count + 1}", few_nodes(), discovery, streams, await peer_fleet.start()
            )
            if whole:
                service, port = await stack.enter_async_context(list_service(nodes_of(peer_fleet.count + 1)))
                nodes = tuple(service.entries.values())
                plan = replace(plan, nodes=nodes, discovery=port, more=more, rules=http)
            plans.append(plan)
        heads = await stack.enter_async_context(running_heads(plans))
        await measure_detector(run, heads, peer_fleets, arguments)
    for peer_fleet in peer_fleets:
        peer_fleet.close()


async def measure_detector(
    run: Run, heads: list[OneHead], peer_fleets: list[SimulatedPeers], arguments: argparse.Namespace
) -> None:
    """Measure one span at rest and one in which peers restart."""
    for peer_fleet, head in zip(peer_fleets, heads[1:], strict=True):
        peer_fleet.head = head.peer_address
    await asyncio.gather(*(peer_fleet.introduce() for peer_fleet in peer_fleets))
    await asyncio.gather(*(peer_fleet.drain_updates(START_UPDATE_PROBES) for peer_fleet in peer_fleets))
    peer_tasks = [asyncio.create_task(peer_fleet.probe_periodically()) for peer_fleet in peer_fleets]
    await asyncio.sleep(SETTLE_S)
    await measure_detector_span(run, "at rest", heads, peer_fleets, arguments)
    for peer_fleet in peer_fleets:
        peer_fleet.restart_rate = RESTART_RATE
        peer_tasks.append(asyncio.create_task(peer_fleet.restart_periodically()))
    await asyncio.sleep(SETTLE_S)
    await measure_detector_span(run, f"{RESTART_RATE:g} start a second", heads, peer_fleets, arguments)
    for task in peer_tasks:
        task.cancel()
    await asyncio.gather(*peer_tasks, return_exceptions=True)


def read_key() -> bytes:
    """Return the key that heads derive from their secret."""
    return hashlib.blake2b(SECRET.encode(), digest_size=64).digest()


def nodes_of(heads: int) -> int:
    """Return the number of nodes for a number of heads, in the proportion of the design."""
    return round(heads * DESIGN_NODES / DESIGN_HEADS)


def few_nodes() -> tuple[dict[str, Any], ...]:
    return tuple(entry(index) for index in range(FEW_NODES))


async def measure_detector_span(
    run: Run,
    label: str,
    heads: list[OneHead],
    peer_fleets: list[SimulatedPeers],
    arguments: argparse.Namespace,
) -> None:
    before = [(c.received, c.received_bytes, c.sent, c.sent_bytes) for c in peer_fleets]
    (base_before, base_after), *usages = await usage_over(heads, arguments.seconds)
    base = 100 * base_after.cores(base_before)
    subject = "all control" if arguments.study == "whole" else "the detector"
    for head, peer_fleet, earlier, (began, ended) in zip(heads[1:], peer_fleets, before, usages, strict=True):
        details: dict[str, float | int | str] = {
            "cpu_of_the_base": round(base, 3),
            "memory_of_the_base": round(base_after.memory_mb, 1),
            "alive_in_view": await count_alive(head),
            "nodes": len(head.plan.nodes),
        }

        def add(name: str, value: float, unit: str, size=peer_fleet.count + 1, details=details) -> None:
            measurement = Measurement(f"{name}, {label}, by heads", size, round(value, 3), unit, 0, details)
            run.add(measurement)

        add(f"cpu of {subject}", 100 * ended.cores(began) - base, "% of a core")
        add(f"memory of a head with {subject}", ended.memory_mb, "MB")
        add("datagrams from a head", (peer_fleet.received - earlier[0]) / arguments.seconds, "1/s")
        add(
            "bytes of datagrams from a head",
            (peer_fleet.received_bytes - earlier[1]) / arguments.seconds,
            "bytes/s",
        )
        add("datagrams to a head", (peer_fleet.sent - earlier[2]) / arguments.seconds, "1/s")
        add(
            "bytes of datagrams to a head",
            (peer_fleet.sent_bytes - earlier[3]) / arguments.seconds,
            "bytes/s",
        )


async def count_alive(head: OneHead) -> int:
    """Return how many heads a head sees alive, including itself."""
    _, answer = await head.call("/control/heads")
    return sum(status == "alive" for status in answer["seen"].values())


# -- following, credit and rules ----------------------------------------------------------------------------
async def measure_by_commands(run: Run, arguments: argparse.Namespace) -> None:
    """Measure heads with one more part on each, following one voter, at rest and with agreed commands."""
    http = rules_text(RULES, "own")
    async with (
        direct_heads(1, 1, CREDIT_ON + RULES_ON, http) as voters,
        list_service(FEW_NODES) as (_, discovery),
    ):
        streams = voter_addresses(voters)
        off = HeadPlan("off", few_nodes(), discovery)
        plans = [
            off,
            replace(off, name="http alone", rules=http),
            replace(off, name="following", streams=streams),
            replace(off, name="credit", streams=streams, more=CREDIT_ON),
            replace(off, name="rules", streams=streams, more=RULES_ON, rules=http),
        ]
        async with running_heads(plans) as heads, command_sender(voters, voters["h0"]) as sender:
            voter = (voters["h0"].host, voters["h0"].stream_port)
            await measure_parts_span(run, heads, voter, 0, arguments.seconds)
            await sender.make_customer()
            for rate in arguments.rates:
                sending = asyncio.create_task(sender.send_at_rate(rate, arguments.seconds + 2))
                await asyncio.sleep(1.0)
                await measure_parts_span(run, heads, voter, rate, arguments.seconds)
                await sending


async def measure_parts_span(
    run: Run, heads: list[OneHead], voter: tuple[str, int], rate: int, seconds: float
) -> None:
    """Record the usage of each part, and the bytes that following takes."""
    following = next(head for head in heads if head.plan.name == "following")
    earlier = process_bytes(following.pid, *voter)
    usages = dict(zip([head.plan.name for head in heads], await usage_over(heads, seconds), strict=True))
    later = process_bytes(following.pid, *voter)
    cpu = {name: 100 * after.cores(before) for name, (before, after) in usages.items()}
    memory = {name: after.memory_mb for name, (_, after) in usages.items()}

    def add(name: str, value: float, unit: str) -> None:
        run.add(Measurement(f"{name}, by commands a second", rate, round(value, 3), unit))

    add("cpu of a head with all off", cpu["off"], "% of a core")
    add("memory of a head with all off", memory["off"], "MB")
    add("memory of a head with the HTTP front alone", memory["http alone"], "MB")
    for part, base in (("following", "off"), ("credit", "following"), ("rules", "following")):
        http = part == "rules"  # this head has the HTTP front too, which is subtracted
        http_cpu = cpu["http alone"] - cpu["off"] if http else 0.0
        add(f"cpu of {part}", cpu[part] - cpu[base] - http_cpu, "% of a core")
        add(f"memory of a head with {part}", memory[part], "MB")
    add("bytes of following from a head", (later[0] - earlier[0]) / seconds, "bytes/s")
    add("bytes of following to a head", (later[1] - earlier[1]) / seconds, "bytes/s")


def main() -> None:
    parser = harness.parser(__doc__ or "", "12,120,425,850,1700")
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--study", choices=["nodes", "detector", "whole", "parts", "inside"], required=True)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of each measured span")
    parser.add_argument("--rates", type=harness.parse_ints, default=[1, 5, 10, 20], help="changes a second")
    arguments = parser.parse_args()
    with harness.recording(f"control --study {arguments.study}", arguments.out) as run:
        if arguments.study == "inside":
            control_inside.measure(run)
            return
        studies = {
            "nodes": measure_by_nodes,
            "detector": measure_by_heads,
            "whole": measure_by_heads,
            "parts": measure_by_commands,
        }
        asyncio.run(studies[arguments.study](run, arguments))


if __name__ == "__main__":
    main()
