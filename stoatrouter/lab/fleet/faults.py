"""Schedules of faults drawn from a seed: what fails when, on which machines and for how long."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from stoatrouter.lab.fleet.world import Link, World

Kill = Callable[[str, bool], None]  # a machine's name, and whether its disk is lost too
Start = Callable[[str], None]


class FaultKind(StrEnum):
    """What fails. The values are part of every run's digest."""

    PARTITION = "split"  # cut from all other machines, in both directions
    ONE_WAY = "one_way"  # cut in the direction away from the machines alone
    LOSS = "loss"
    DELAY = "delay"
    DUPLICATION = "twice"
    PAUSE = "pause"
    KILL = "kill"
    WIPE = "wipe"  # killed, and the disk is lost with it


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of some machines, or of the links between them and all others."""

    at: timedelta
    kind: FaultKind
    machines: tuple[str, ...]
    duration: timedelta
    amount: float = 0.0  # a probability, or for DELAY the longest delay in seconds

    def __str__(self) -> str:
        """Describe the fault in one line; the line is recorded in the run's digest."""
        return (
            f"{self.at.total_seconds():.3f} {self.kind} {','.join(self.machines)} "
            f"for {self.duration.total_seconds():.3f} ({self.amount:.2f})"
        )


KINDS = (
    FaultKind.PARTITION,
    FaultKind.ONE_WAY,
    FaultKind.LOSS,
    FaultKind.DELAY,
    FaultKind.DUPLICATION,
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.KILL,  # drawn twice as often
    FaultKind.WIPE,
)
LINK_SETTINGS = {  # the field of `Link` that a fault of links changes
    FaultKind.PARTITION: "cut",
    FaultKind.ONE_WAY: "cut",
    FaultKind.LOSS: "loss",
    FaultKind.DELAY: "max_delay",
    FaultKind.DUPLICATION: "duplication",
}
OF_ONE_MACHINE = (FaultKind.KILL, FaultKind.WIPE, FaultKind.PAUSE)


def draw(
    seed: int,
    names: list[str],
    until: timedelta,
    kinds: tuple[FaultKind, ...] = KINDS,
    mean_interval: timedelta = timedelta(seconds=1.5),
    max_duration: timedelta = timedelta(seconds=9),
) -> list[Fault]:
    """Draw faults that overlap, some of them in one instant, and that are all over by `until`."""
    rng = random.Random(f"faults/{seed}")
    faults: list[Fault] = []
    at = timedelta(seconds=rng.uniform(0.5, 3))
    while at < until * 0.8:
        kind = rng.choice(kinds)
        duration = timedelta(seconds=rng.choice([0.05, 0.3, 1, 3, 6]) * rng.uniform(0.5, 1.5))
        count = rng.randint(1, max(1, len(names) // 2))
        machines = tuple(rng.sample(names, 1 if kind in OF_ONE_MACHINE else count))
        amount = rng.uniform(0.05, 0.6)
        faults.append(Fault(at, kind, machines, min(duration, max_duration, until - at), amount))
        if rng.random() > 0.2:  # else the next one comes in the same instant
            at += mean_interval * rng.uniform(0.2, 1.8)
    return faults


def schedule(world: World, faults: Iterable[Fault], kill: Kill, start: Start) -> None:
    """Put faults on a world's queue, with the fleet's own ways to kill and to start a head."""
    for fault in faults:
        world.schedule(fault.at - world.now, _injection(world, fault, kill, start))


def _injection(world: World, fault: Fault, kill: Kill, start: Start) -> Callable[[], None]:
    return lambda: inject(world, fault, kill, start)


def inject(world: World, fault: Fault, kill: Kill, start: Start) -> None:
    """Begin one fault now, and schedule its end."""
    world.record(str(fault))
    if fault.kind in (FaultKind.KILL, FaultKind.WIPE):
        _kill_machines(world, fault, kill, start)
    elif fault.kind is FaultKind.PAUSE:
        for name in fault.machines:
            world.pause(name, fault.duration)
    else:
        _inject_in_links(world, fault)


def _kill_machines(world: World, fault: Fault, kill: Kill, start: Start) -> None:
    def restart(name: str) -> Callable[[], None]:
        return lambda: start(name)

    for name in fault.machines:
        if world.machines[name].up:
            kill(name, fault.kind is FaultKind.WIPE)
            world.schedule(fault.duration, restart(name))


def _inject_in_links(world: World, fault: Fault) -> None:
    setting = LINK_SETTINGS[fault.kind]
    usual = getattr(Link(), setting)
    links = _affected_links(world, fault)
    _set_all(links, setting, _faulty_value(fault))
    world.schedule(fault.duration, lambda: _set_all(links, setting, usual))


def _faulty_value(fault: Fault) -> bool | float | timedelta:
    if fault.kind in (FaultKind.PARTITION, FaultKind.ONE_WAY):
        return True
    if fault.kind is FaultKind.DELAY:
        return timedelta(seconds=fault.amount)
    return fault.amount


def _affected_links(world: World, fault: Fault) -> list[Link]:
    """List the links between the fault's machines and all others; for ONE_WAY only the outgoing ones."""
    inside = set(fault.machines)
    outgoing_only = fault.kind is FaultKind.ONE_WAY
    return [
        link
        for (sender, receiver), link in world.links.items()
        if (sender in inside) != (receiver in inside) and (sender in inside or not outgoing_only)
    ]


def _set_all(links: list[Link], setting: str, value: bool | float | timedelta) -> None:
    for link in links:
        setattr(link, setting, value)
