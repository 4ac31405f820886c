"""Fault schedules drawn from a seed: the time, kind, machines and duration of each fault."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from stoatrouter.lab.fleet.world import Link, World

Kill = Callable[[str, bool], None]  # called with the name of a machine and whether its disk is lost too
Start = Callable[[str], None]


class FaultKind(StrEnum):
    """The kinds of faults. The values are part of the digest of a run."""

    PARTITION = "split"  # links to all other machines are cut in both directions
    ONE_WAY = "one_way"  # only outgoing links are cut
    LOSS = "loss"
    DELAY = "delay"
    DUPLICATION = "twice"
    PAUSE = "pause"
    KILL = "kill"
    WIPE = "wipe"  # killed, and its disk is lost


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of some machines or of the links between them and all others."""

    at: timedelta
    kind: FaultKind
    machines: tuple[str, ...]
    duration: timedelta
    amount: float = 0.0  # a probability, or for DELAY the maximum delay in seconds

    def __str__(self) -> str:
        """Describe the fault in one line, which is recorded in the digest of the run."""
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
LINK_SETTINGS = {  # field of `Link` that a link fault changes
    FaultKind.PARTITION: "cut",
    FaultKind.ONE_WAY: "cut",
    FaultKind.LOSS: "loss",
    FaultKind.DELAY: "max_delay",
    FaultKind.DUPLICATION: "duplication",
}
SINGLE_MACHINE_KINDS = (FaultKind.KILL, FaultKind.WIPE, FaultKind.PAUSE)


def draw(
    seed: int,
    names: list[str],
    until: timedelta,
    kinds: tuple[FaultKind, ...] = KINDS,
    mean_interval: timedelta = timedelta(seconds=1.5),
    max_duration: timedelta = timedelta(seconds=9),
) -> list[Fault]:
    """Draw faults that may overlap or begin at the same instant, and that all end by `until`."""
    rng = random.Random(f"faults/{seed}")
    faults: list[Fault] = []
    at = timedelta(seconds=rng.uniform(0.5, 3))
    while at < until * 0.8:
        kind = rng.choice(kinds)
        duration = timedelta(seconds=rng.choice([0.05, 0.3, 1, 3, 6]) * rng.uniform(0.5, 1.5))
        count = rng.randint(1, max(1, len(names) // 2))
        machines = tuple(rng.sample(names, 1 if kind in SINGLE_MACHINE_KINDS else count))
        amount = rng.uniform(0.05, 0.6)
        faults.append(Fault(at, kind, machines, min(duration, max_duration, until - at), amount))
        if rng.random() > 0.2:  # otherwise the next fault begins at the same instant
            at += mean_interval * rng.uniform(0.2, 1.8)
    return faults


def schedule(world: World, faults: Iterable[Fault], kill: Kill, start: Start) -> None:
    """Schedule faults in a world; `kill` and `start` stop and restart a head of the fleet."""
    for fault in faults:
        world.schedule(fault.at - world.now, _injection(world, fault, kill, start))


def _injection(world: World, fault: Fault, kill: Kill, start: Start) -> Callable[[], None]:
    return lambda: inject(world, fault, kill, start)


def inject(world: World, fault: Fault, kill: Kill, start: Start) -> None:
    """Start a fault now, and schedule its end."""
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
    default_value = getattr(Link(), setting)
    links = _affected_links(world, fault)
    _set_all(links, setting, _faulty_value(fault))
    world.schedule(fault.duration, lambda: _set_all(links, setting, default_value))


def _faulty_value(fault: Fault) -> bool | float | timedelta:
    if fault.kind in (FaultKind.PARTITION, FaultKind.ONE_WAY):
        return True
    if fault.kind is FaultKind.DELAY:
        return timedelta(seconds=fault.amount)
    return fault.amount


def _affected_links(world: World, fault: Fault) -> list[Link]:
    """Return the links between the machines of a fault and all others; for ONE_WAY only the outgoing ones."""
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
