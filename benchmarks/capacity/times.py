"""Latencies of control: p50, p99 and slowest of each, by the size on which it may depend.

    python -m benchmarks.capacity.times --study killed --sizes 20,60,185,370,740     # virtual time
    python -m benchmarks.capacity.times --study leader --voters 3 --how kill --sizes 46,185,370,740
    python -m benchmarks.capacity.times --study leader --voters 5 --how stop --sizes 46,185,370,740
    python -m benchmarks.capacity.times --study edits --heads 5 --sizes 10,100,1000,10000
    python -m benchmarks.capacity.times --study successor --sizes 3,5,12,20

`killed` runs the real detectors in virtual time, in a fleet that has been up for a long time. All other
studies run heads of the real program; the followers of `leader` are simulated ones (followers.py) on the real
protocol.
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
from benchmarks.capacity.spread import record_times
from stoatrouter.lab.fleet.detectors import DetectorFleet
from stoatrouter.lab.fleet.world import World
from stoatrouter.membership.roster import GossipQueue, MemberUpdate, Status
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.peers import Node, listening

SECOND = timedelta(seconds=1)
REST_SPAN = 10 * SECOND  # virtual time before the kill, to measure the load at rest
DETECTION_TIMEOUT = 60 * SECOND  # of virtual time
SUCCESSIONS = 8


# -- killed head, in virtual time ---------------------------------------------------------------------------
def settled_fleet(size: int, seed: int) -> DetectorFleet:
    """Return a fleet in which all heads know each other and no membership update is left to spread."""
    names = [f"h{i:03d}" for i in range(size)]
    fleet = DetectorFleet(World(seed, names))
    for name, detector in fleet.detectors.items():
        for other in names:
            detector.roster.apply(MemberUpdate(other, 1, Status.ALIVE))
            if other != name:
                detector.roster.addresses[other] = other
        detector.gossip = GossipQueue()
    return fleet


def measure_killed_head(run: Run, arguments: argparse.Namespace) -> None:
    """Measure when the other heads see a killed head as failed, and the load of a head at rest."""
    for size in arguments.sizes:
        times: list[float] = []
        for seed in arguments.seeds:
            fleet = settled_fleet(size, seed)
            world = fleet.world
            world.run(REST_SPAN)
            seconds = REST_SPAN / SECOND
            messages = sum(world.messages_sent.values()) / size / seconds
            run.add(Measurement("datagrams of a head at rest", size, round(messages, 4), "1/s", seed))
            sent = sum(world.bytes_sent.values()) / size / seconds
            run.add(
                Measurement("bytes of datagrams of a head at rest", size, round(sent, 2), "bytes/s", seed)
            )
            times += kill_and_measure(run, fleet, seed)
        record_times(run, "a killed head known to a head", size, times)


def kill_and_measure(run: Run, fleet: DetectorFleet, seed: int) -> list[float]:
    """Kill one head; return after how many seconds each other head saw it as failed."""
    world, size = fleet.world, len(fleet.world.names)
    victim, killed_at = world.names[size // 2], world.now
    world.bytes_sent.clear()
    fleet.kill(victim)
    while world.now < killed_at + DETECTION_TIMEOUT and fleet.views(victim) != {Status.FAILED}:
        world.run(world.now + SECOND / 10)
    assert fleet.views(victim) == {Status.FAILED}, "not all heads have detected the failure"
    seconds = (world.now - killed_at) / SECOND
    sent = sum(world.bytes_sent.values()) / (size - 1) / seconds
    run.add(Measurement("bytes of datagrams of a head after a kill", size, round(sent, 2), "bytes/s", seed))
    return [
        (change.at - killed_at) / SECOND
        for change in fleet.changes
        if change.subject == victim and change.status is Status.FAILED
    ]


# -- successor of a node ------------------------------------------------------------------------------------
async def measure_successor(run: Run, arguments: argparse.Namespace) -> None:
    """Replace nodes in the list, and measure when each head has received the change and uses the new node."""
    for size in arguments.sizes:
        nodes = tuple(Node(f"n{i}", 0) for i in range(SUCCESSIONS + 1))
        service = ListService(())
        async with (
            listening(service.handle) as discovery,
            direct_heads(size, 3, nodes=nodes, discovery=discovery) as fleet,
        ):
            service.change(*(n.entry(lifecycle="DELETED") for n in nodes[1:]), nodes[0].entry())
            await asyncio.sleep(2.0)
            delays: list[float] = []
            for before, after in zip(nodes, nodes[1:], strict=False):
                delays += await replace_node(fleet, service, before, after)
        record_times(run, "a node's successor told to a head", size, delays)


async def replace_node(fleet: ProcessFleet, service: ListService, before: Node, after: Node) -> list[float]:
    """Replace one node; return the delay until each head received the list, from its log.

    A request to each head must reach the new node.
    """
    counts = [len(head.events("discovery.told")) for head in fleet]
    changed = time.time()
    service.change(before.entry(lifecycle="DELETED"), after.entry())

    def all_received() -> bool:
        return all(len(h.events("discovery.told")) > n for h, n in zip(fleet, counts, strict=True))

    await fleet.until(all_received, "all heads have received the successor")
    for head in fleet:
        request = f"{after.name}-{head.name}"
        status, _ = await head.send_request(request)
        assert status == 200 and after.ran[request] == 1, (
            f"{head.name} does not use {after.name}: status {status}"
        )
    return [list_received_at(head, n) - changed for head, n in zip(fleet, counts, strict=True)]


def list_received_at(head: HeadProcess, number: int) -> float:
    """Return when a head received its n-th list, counted from 0."""
    return times_processes.event_times(head, "discovery.told")[number]


def main() -> None:
    parser = harness.parser(__doc__ or "", "20,60,185,370,740")
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--study", choices=["killed", "leader", "edits", "successor"], required=True)
    parser.add_argument("--voters", type=int, default=3, choices=[3, 5])
    parser.add_argument("--how", choices=["kill", "stop"], default="kill", help="how the leader is ended")
    parser.add_argument("--heads", type=int, default=5, help="heads of the study edits")
    parser.add_argument("--times", type=int, default=4, help="rounds at each size")
    arguments = parser.parse_args()
    studies = {
        "leader": times_processes.measure_leader_change,
        "edits": times_processes.measure_edits,
        "successor": measure_successor,
    }
    with harness.recording(f"times --study {arguments.study}", arguments.out) as run:
        if arguments.study == "killed":
            measure_killed_head(run, arguments)
        else:
            asyncio.run(studies[arguments.study](run, arguments))


if __name__ == "__main__":
    main()
