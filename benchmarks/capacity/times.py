"""How long control takes: each time as p50, p99 and slowest, by the size that it may grow with.

    python -m benchmarks.capacity.times --study killed --sizes 20,60,185,370,740     # virtual time
    python -m benchmarks.capacity.times --study leader --voters 3 --how kill --sizes 46,185,370,740
    python -m benchmarks.capacity.times --study leader --voters 5 --how stop --sizes 46,185,370,740
    python -m benchmarks.capacity.times --study edits --heads 5 --sizes 10,100,1000,10000
    python -m benchmarks.capacity.times --study successor --sizes 3,5,12,20

`killed` is counted in virtual time over the real datagrams, in a fleet that has long been up. All others are
heads of the real program; where followers are named they are light ones on the real wire.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from datetime import timedelta

from benchmarks.capacity import harness, times_processes
from benchmarks.capacity.harness import Measurement, Run
from benchmarks.capacity.head_processes import direct_heads
from benchmarks.capacity.list_service import ListService
from benchmarks.capacity.spread import add_times
from stoatrouter.lab.fleet.detectors import DetectorFleet
from stoatrouter.lab.fleet.world import World
from stoatrouter.membership.roster import GossipQueue, MemberUpdate, Status
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.peers import Node, listening

SECOND = timedelta(seconds=1)
REST = 10 * SECOND  # watched before the kill, for the load at rest
KNOWN_WITHIN = 60 * SECOND
SUCCESSIONS = 8


# -- a killed head, in virtual time ----------------------------------------------------------------------
def settled_fleet(size: int, seed: int) -> DetectorFleet:
    """A fleet that has been up for long: each head knows each other, and no news is left to pass on."""
    names = [f"h{i:03d}" for i in range(size)]
    fleet = DetectorFleet(World(seed, names))
    for name, detector in fleet.detectors.items():
        for other in names:
            detector.roster.apply(MemberUpdate(other, 1, Status.ALIVE))
            if other != name:
                detector.roster.addresses[other] = other
        detector.gossip = GossipQueue()
    return fleet


def killed(run: Run, given: argparse.Namespace) -> None:
    """When each of the others takes a killed head for failed, and the load of a head at rest."""
    for size in given.sizes:
        times: list[float] = []
        for seed in given.seeds:
            fleet = settled_fleet(size, seed)
            world = fleet.world
            world.run(REST)
            seconds = REST / SECOND
            messages = sum(world.messages_sent.values()) / size / seconds
            run.add(Measurement("datagrams of a head at rest", size, round(messages, 4), "1/s", seed))
            sent = sum(world.bytes_sent.values()) / size / seconds
            run.add(
                Measurement("bytes of datagrams of a head at rest", size, round(sent, 2), "bytes/s", seed)
            )
            times += known_after_kill(run, fleet, seed)
        add_times(run, "a killed head known to a head", size, times)


def known_after_kill(run: Run, fleet: DetectorFleet, seed: int) -> list[float]:
    """Kill one; when each other head took it for failed, in seconds."""
    world, size = fleet.world, len(fleet.world.names)
    victim, began = world.names[size // 2], world.now
    world.bytes_sent.clear()
    fleet.kill(victim)
    while world.now < began + KNOWN_WITHIN and fleet.views(victim) != {Status.FAILED}:
        world.run(world.now + SECOND / 10)
    assert fleet.views(victim) == {Status.FAILED}, "not all know of it"
    seconds = (world.now - began) / SECOND
    sent = sum(world.bytes_sent.values()) / (size - 1) / seconds
    run.add(Measurement("bytes of datagrams of a head after a kill", size, round(sent, 2), "bytes/s", seed))
    return [
        (change.at - began) / SECOND
        for change in fleet.changes
        if change.subject == victim and change.status is Status.FAILED
    ]


# -- a node's successor ----------------------------------------------------------------------------------
async def successor(run: Run, given: argparse.Namespace) -> None:
    """A node leaves the list and another takes its place: when each head has heard of it, and uses it."""
    for size in given.sizes:
        nodes = tuple(Node(f"n{i}", 0) for i in range(SUCCESSIONS + 1))
        service = ListService(())
        async with (
            listening(service.handle) as discovery,
            direct_heads(size, 3, nodes=nodes, discovery=discovery) as fleet,
        ):
            service.change(*(n.entry(lifecycle="DELETED") for n in nodes[1:]), nodes[0].entry())
            await asyncio.sleep(2.0)
            heard: list[float] = []
            for before, after in zip(nodes, nodes[1:], strict=False):
                heard += await succeed(fleet, service, before, after)
        add_times(run, "a node's successor told to a head", size, heard)


async def succeed(fleet: ProcessFleet, service: ListService, before: Node, after: Node) -> list[float]:
    """One succession; when each head was told, by its log. A request to each head must reach the new node."""
    counts = [len(head.events("discovery.told")) for head in fleet]
    changed = time.time()
    service.change(before.entry(lifecycle="DELETED"), after.entry())

    def all_told() -> bool:
        return all(len(h.events("discovery.told")) > n for h, n in zip(fleet, counts, strict=True))

    await fleet.until(all_told, "the successor told to all heads")
    for head in fleet:
        request = f"{after.name}-{head.name}"
        status, _ = await head.send_request(request)
        assert status == 200 and after.ran[request] == 1, f"{head.name} does not use {after.name}: {status}"
    return [told_at(head, n) - changed for head, n in zip(fleet, counts, strict=True)]


def told_at(head: HeadProcess, number: int) -> float:
    """When a head was told its list for the n-th time, counted from 0."""
    return times_processes.event_times(head, "discovery.told")[number]


def main() -> None:
    parser = harness.parser(__doc__ or "", "20,60,185,370,740")
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--study", choices=["killed", "leader", "edits", "successor"], required=True)
    parser.add_argument("--voters", type=int, default=3, choices=[3, 5])
    parser.add_argument("--how", choices=["kill", "stop"], default="kill", help="how the leader goes")
    parser.add_argument("--heads", type=int, default=5, help="of the study of edits")
    parser.add_argument("--times", type=int, default=4, help="rounds at each size")
    given = parser.parse_args()
    studies = {"leader": times_processes.leader, "edits": times_processes.edits, "successor": successor}
    with harness.recording(f"times --study {given.study}", given.out) as run:
        if given.study == "killed":
            killed(run, given)
        else:
            asyncio.run(studies[given.study](run, given))


if __name__ == "__main__":
    main()
