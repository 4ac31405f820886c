"""Whole runs of virtual fleets that lose the majority of their voters in one of several ways."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.lab.fleet.contacts import SECOND, ContactFleet
from stoatrouter.lab.fleet.world import World

CALM = 6 * SECOND  # at the start
WITHOUT_MAJORITY = 20 * SECOND
RECOVERY = 12 * SECOND


class Loss(StrEnum):
    """How a fleet loses its majority."""

    KILL = "kill"
    WIPE = "wipe"
    PARTITION = "split"
    PAUSE = "pause"
    REGION = "region"  # a minority of the voters is cut off, with some of the other heads


LOSSES = tuple(Loss)


def run_majority_loss(seed: int, make_contact: Callable[[], MajorityContact] = MajorityContact) -> None:
    """Run a fleet, or a region of it, that loses its majority, and gets it back where its disks are left.

    Args:
        seed: Everything that is random, and which way the majority is lost.
        make_contact: Builds what a head knows of the majority.

    Raises:
        InvariantViolated: An invariant does not hold at some moment.
    """
    voters = 3 if seed % 2 else 5
    world = World(seed, [f"h{i}" for i in range(voters + seed % 4)])
    fleet = ContactFleet(world, voters, make_contact=make_contact)
    fleet.polled = draw_topology(world, voters)
    world.run(CALM, fleet.check_contact)
    fleet.check_all_connected("while all is calm")
    loss = LOSSES[seed // 4 % len(LOSSES)]
    lose_majority(fleet, loss)
    fleet.check_contact()
    disturb(fleet, world.now + WITHOUT_MAJORITY)
    world.run(CALM + WITHOUT_MAJORITY, fleet.check_contact)
    if loss is Loss.WIPE:
        return
    world.heal()
    for name in world.names:
        if not world.machines[name].up:
            fleet.start(name)
    world.run(world.now + RECOVERY, fleet.check_contact)
    fleet.check_all_connected("after the faults")


def draw_topology(world: World, voters: int) -> dict[str, list[str]]:
    """Draw whom heads without a vote poll: anybody, their predecessor in a chain, or mostly each other."""
    first, rest = world.names[:voters], world.names[voters:]
    match world.rng.randrange(3):
        case 0:
            return {}
        case 1:
            return {name: [world.names[voters + i - 1]] for i, name in enumerate(rest)}
        case _:
            return {name: [*(n for n in rest if n != name), first[0]] for name in rest}


def lose_majority(fleet: ContactFleet, loss: Loss) -> None:
    """Take so many voters away that the others are no majority; perhaps all of them."""
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
                world.pause(name, WITHOUT_MAJORITY)


def cut_off_region(world: World, voters: list[str]) -> None:
    """Partition a minority of the voters, with some of the other heads, from the majority."""
    minority = world.rng.sample(voters, world.rng.randint(1, len(voters) // 2))
    others = [name for name in world.names[len(voters) :] if world.rng.random() < 0.5]
    region = minority + others
    world.partition(region, [name for name in world.names if name not in region])


def restart_without_disk(fleet: ContactFleet, name: str) -> None:
    """Kill a head and start it again within a second with an empty disk, which is another identity."""
    fleet.kill(name, wipe=False)
    fleet.wipe(name)
    fleet.world.schedule(SECOND * fleet.world.rng.random(), lambda: fleet.start(name))


def disturb(fleet: ContactFleet, until: timedelta) -> None:
    """Pause heads without a vote, and delay and lose messages, now and then up to a time."""
    world = fleet.world
    followers = world.names[len(fleet.founders) :]
    if world.now >= until:
        return
    if followers and world.rng.random() < 0.3:
        world.pause(world.rng.choice(followers), 5 * SECOND * world.rng.random())
    for link in world.links.values():
        link.loss = 0.1 * world.rng.random()
        link.max_delay = SECOND * world.rng.random() ** 4
    world.schedule(SECOND, lambda: disturb(fleet, until))
