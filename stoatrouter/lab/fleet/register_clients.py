"""Simulated clients of the replicated list, which put values and read at random heads."""

from __future__ import annotations

from datetime import timedelta

from stoatrouter.agreement.records import Propose, Read
from stoatrouter.lab.fleet.voters import VoterFleet

PUT_FRACTION = 0.6  # fraction of puts among the requests; the others are reads


def run_client(fleet: VoterFleet, client: int, mean_interval: timedelta, until: timedelta) -> None:
    """Put a value or read at a random head, if it is running, and repeat this until a time."""
    world = fleet.world
    if world.now >= until:
        return
    name = world.rng.choice(world.names)
    if world.is_running(name):
        if world.rng.random() < PUT_FRACTION:
            put_value(fleet, client, name)
        else:
            read_list(fleet, name)
    interval = mean_interval * world.rng.uniform(0.5, 1.5)
    world.schedule(interval, lambda: run_client(fleet, client, mean_interval, until))


def put_value(fleet: VoterFleet, client: int, name: str) -> None:
    """Propose a unique value."""
    world, history = fleet.world, fleet.history
    value = f"{client}.{len(history.operations)}.{world.sequence}".encode()
    id = history.invoke_put(client, world.now, value)
    fleet.reduce(name, Propose(world.clock(name), id, value))


def read_list(fleet: VoterFleet, name: str) -> None:
    """Request a linearizable read from a head."""
    world = fleet.world
    id = fleet.history.invoke_read(name, world.sequence, world.now)
    fleet.reduce(name, Read(world.clock(name), id))
