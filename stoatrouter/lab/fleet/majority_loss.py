"""Simulated runs in which a fleet loses the majority of its voters in one of several ways."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.lab.fleet.contacts import SECOND, ContactFleet
from stoatrouter.lab.fleet.world import World

INITIAL_PERIOD = 6 * SECOND  # without faults, at the start
OUTAGE_PERIOD = 20 * SECOND
RECOVERY_PERIOD = 12 * SECOND


class Loss(StrEnum):
    """How a fleet loses its majority."""

    KILL = "kill"
    WIPE = "wipe"
    PARTITION = "split"
    PAUSE = "pause"
    REGION = "region"  # a minority of the voters is cut off, with some of the other heads


LOSSES = tuple(Loss)


def run_majority_loss(seed: int, make_contact: Callable[[], MajorityContact] = MajorityContact) -> None:
    """Run a fleet that loses its majority, or of which a region does; it recovers unless disks are lost.

    Args:
        seed: Seed of all random choices; it also selects how the majority is lost.
        make_contact: Creates the record of what a head knows of the majority.

    Raises:
        InvariantViolated: An invariant does not hold after some step.
    """
    voters = 3 if seed % 2 else 5
    world = World(seed, [f"h{i}" for i in range(voters + seed % 4)])
    fleet = ContactFleet(world, voters, make_contact=make_contact)
    fleet.poll_targets = draw_topology(world, voters)
    world.run(INITIAL_PERIOD, fleet.check_contact)
    fleet.check_all_connected("before the faults")
    loss = LOSSES[seed // 4 % len(LOSSES)]
    lose_majority(fleet, loss)
    fleet.check_contact()
    inject_disturbances(fleet, world.now + OUTAGE_PERIOD)
    world.run(INITIAL_PERIOD + OUTAGE_PERIOD, fleet.check_contact)
    if loss is Loss.WIPE:
        return
    world.heal()
    for name in world.names:
        if not world.machines[name].up:
            fleet.start(name)
    world.run(world.now + RECOVERY_PERIOD, fleet.check_contact)
    fleet.check_all_connected("after the faults")


def draw_topology(world: World, voters: int) -> dict[str, list[str]]:
    """Draw which heads a follower polls: any head, its predecessor in a chain, or mostly followers."""
    first, rest = world.names[:voters], world.names[voters:]
    match world.rng.randrange(3):
        case 0:
            return {}
        case 1:
            return {name: [world.names[voters + i - 1]] for i, name in enumerate(rest)}
        case _:
            return {name: [*(n for n in rest if n != name), first[0]] for name in rest}


def lose_majority(fleet: ContactFleet, loss: Loss) -> None:
    """Make a majority of the voters, or all of them, unavailable."""
    world = fleet.world
    voters = [voter.name for voter in fleet.founders]
    if loss is Loss.REGION:
        cut_off_region(world, voters)
        return
    lost = world.rng.sample(voters, world.rng.randint(len(voters) // 2 + 1, len(voters)))
    for name in lost:
        match loss:
            case Loss.KILL:
                fleet.kill(name, wipe=False)
            case Loss.WIPE:
                restart_without_disk(fleet, name)
            case Loss.PARTITION:
                world.partition([name], [other for other in world.names if other != name])
            case Loss.PAUSE:
                world.pause(name, OUTAGE_PERIOD)


def cut_off_region(world: World, voters: list[str]) -> None:
    """Partition a minority of the voters, with some of the other heads, from the majority."""
    minority = world.rng.sample(voters, world.rng.randint(1, len(voters) // 2))
    others = [name for name in world.names[len(voters) :] if world.rng.random() < 0.5]
    region = minority + others
    world.partition(region, [name for name in world.names if name not in region])


def restart_without_disk(fleet: ContactFleet, name: str) -> None:
    """Kill a head and restart it within a second with an empty disk, and thus with a new identity."""
    fleet.kill(name, wipe=False)
    fleet.wipe(name)
    fleet.world.schedule(SECOND * fleet.world.rng.random(), lambda: fleet.start(name))


def inject_disturbances(fleet: ContactFleet, until: timedelta) -> None:
    """Every second until a time, set random loss and delay on all links and sometimes pause a follower."""
    world = fleet.world
    followers = world.names[len(fleet.founders) :]
    if world.now >= until:
        return
    if followers and world.rng.random() < 0.3:
        world.pause(world.rng.choice(followers), 5 * SECOND * world.rng.random())
    for link in world.links.values():
        link.loss = 0.1 * world.rng.random()
        link.max_delay = SECOND * world.rng.random() ** 4
    world.schedule(SECOND, lambda: inject_disturbances(fleet, until))
