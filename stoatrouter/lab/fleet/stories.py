"""Whole runs of virtual fleets: faults drawn from a seed, clients beside them, promises checked, then a
calm end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.agreement.raft import Raft
from stoatrouter.lab.fleet import faults
from stoatrouter.lab.fleet.credit import ACCOUNT, CreditFleet
from stoatrouter.lab.fleet.voters import Broken, VoterFleet
from stoatrouter.lab.fleet.world import World

SECOND = timedelta(seconds=1)
ROUGH = ("split", "split", "one_way", "loss", "kill", "kill", "kill", "pause", "delay")


@dataclass(slots=True, frozen=True)
class Told:
    """What a run came to."""

    digest: str
    events: int
    acknowledged: int
    reads: int
    changes: int


def agreement(
    seed: int,
    heads: int = 5,
    make: Callable[..., Raft] = Raft,
    span: timedelta = 20 * SECOND,
    script: list[faults.Fault] | None = None,
) -> Told:
    """Agreement under faults. Raises Broken (or AssertionError, the program's own) where a promise is not
    kept.
    """
    names = [f"h{i}" for i in range(heads)]
    world = World(seed, names)
    fleet = VoterFleet(world, 3 if seed % 2 else min(5, heads), make)
    drawn = faults.draw(seed, names, span)
    if seed % 4 >= 2:  # half of the seeds: slow disks, short cuts and kills that follow each other closely
        fleet.disk_most = timedelta(milliseconds=250)
        drawn = faults.draw(seed, names, span, ROUGH, timedelta(milliseconds=400), most=timedelta(seconds=1))
    faults.play(world, drawn if script is None else script, fleet.kill, fleet.start)
    for client in range(3):
        fleet.client(client + 1, 0.1 * SECOND, span)
    fleet.change_voters(span)
    world.run(span)
    world.heal()
    fleet.disk_most = timedelta(milliseconds=12)
    for name in names:
        if not world.machines[name].up:
            fleet.start(name)
    world.run(span + 12 * SECOND)
    fleet.check_settled()
    reads = check_reads(fleet)
    return Told(world.digest.hexdigest(), world.events, len(fleet.acknowledged), reads, fleet.changes)


def check_reads(fleet: VoterFleet) -> int:
    """Promise: a read shows all that was acknowledged before it was asked, and values in the order of the
    log. (For a list that only grows this is linearizability.)
    """
    asked, done, reads = {}, [], 0
    final = [entry.body for _, entry in sorted(fleet.applied.items()) if entry.kind == "c"]
    for what, who, at, value in fleet.history:
        if what == "ask":
            asked[who] = at
        elif what == "put":
            done.append((at, value))
        elif what == "read" and value is not None:
            reads += 1
            if list(value) != final[: len(value)]:
                raise Broken(f"a read at {at} shows values in another order than the log's")
            missing = [v for when, v in done if when < asked[who] and v not in value]
            if missing:
                raise Broken(f"a read asked at {asked[who]} does not show {missing[0]!r}, told before")
    return reads


def credit(
    seed: int, heads: int = 5, span: timedelta = 20 * SECOND, wipes: bool = True, **how: object
) -> CreditFleet:
    """Credit under faults, a little of it: accounts run empty again and again. Raises Broken."""
    names = [*(f"h{i}" for i in range(heads)), ACCOUNT]
    world = World(seed, names)
    fleet = CreditFleet(world, **how)  # type: ignore[arg-type]
    kinds = tuple(k for k in (*faults.KINDS, "pause", "twice") if wipes or k != "wipe")
    faults.play(world, faults.draw(seed, names, span, kinds), fleet.kill, fleet.start)
    fleet.load(span, timedelta(milliseconds=25))
    for i in range(16):
        amount = world.draws.choice([20, 200, 1500])
        world.at(span * i / 16, lambda c=f"c{i % fleet.customers}", a=amount: fleet.pay(c, a))
    world.run(span)
    world.heal()
    for name in fleet.names:
        if not world.machines[name].up:
            fleet.start(name)
    world.run(span + 20 * SECOND)
    fleet.check_settled()
    return fleet
