"""Scripts of faults drawn from a seed: what happens when, and to whom."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.lab.fleet.world import World


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault; `whom` are machines, `span` how long it lasts."""

    at: timedelta
    what: str
    whom: tuple[str, ...]
    span: timedelta
    amount: float = 0.0

    def __str__(self) -> str:
        return (
            f"{self.at.total_seconds():.3f} {self.what} {','.join(self.whom)} "
            f"for {self.span.total_seconds():.3f} ({self.amount:.2f})"
        )


KINDS = ("split", "one_way", "loss", "delay", "twice", "pause", "kill", "kill", "wipe")


def draw(
    seed: int,
    names: list[str],
    until: timedelta,
    kinds: tuple[str, ...] = KINDS,
    every: timedelta = timedelta(seconds=1.5),
    most: timedelta = timedelta(seconds=9),
) -> list[Fault]:
    """Faults that overlap, some in one instant, all over by `until`."""
    draws = random.Random(f"faults/{seed}")
    faults, at = [], timedelta(seconds=draws.uniform(0.5, 3))
    while at < until * 0.8:
        what = draws.choice(kinds)
        span = timedelta(seconds=draws.choice([0.05, 0.3, 1, 3, 6]) * draws.uniform(0.5, 1.5))
        some = draws.randint(1, max(1, len(names) // 2))
        whom = tuple(draws.sample(names, 1 if what in ("kill", "wipe", "pause") else some))
        faults.append(Fault(at, what, whom, min(span, most, until - at), draws.uniform(0.05, 0.6)))
        if draws.random() > 0.2:  # else the next comes in the same instant
            at += every * draws.uniform(0.2, 1.8)
    return faults


def play(
    world: World, faults: list[Fault], kill: Callable[[str, bool], None], start: Callable[[str], None]
) -> None:
    """Put a script on a world's clock. `kill` takes a name and whether its disk goes too."""
    for fault in faults:
        world.at(fault.at - world.now, lambda fault=fault: strike(world, fault, kill, start))


def strike(
    world: World, fault: Fault, kill: Callable[[str, bool], None], start: Callable[[str], None]
) -> None:
    """Let one fault begin, and end after its span."""
    world.note(str(fault))
    whom = set(fault.whom)
    links = [link for (a, b), link in world.links.items() if (a in whom) != (b in whom)]
    match fault.what:
        case "split" | "one_way":
            chosen = (
                links
                if fault.what == "split"
                else [link for (a, b), link in world.links.items() if a in whom and b not in whom]
            )
            for link in chosen:
                link.cut = True
            world.at(fault.span, lambda: [setattr(link, "cut", False) for link in chosen])
        case "loss":
            for link in links:
                link.loss = fault.amount
            world.at(fault.span, lambda: [setattr(link, "loss", 0.0) for link in links])
        case "twice":
            for link in links:
                link.twice = fault.amount
            world.at(fault.span, lambda: [setattr(link, "twice", 0.0) for link in links])
        case "delay":
            for link in links:
                link.most = timedelta(seconds=fault.amount)
            usual = timedelta(milliseconds=8)
            world.at(fault.span, lambda: [setattr(link, "most", usual) for link in links])
        case "pause":
            for name in fault.whom:
                world.pause(name, fault.span)
        case "kill" | "wipe":
            for name in fault.whom:
                if world.machines[name].up:
                    kill(name, fault.what == "wipe")
                    world.at(fault.span, lambda name=name: start(name))
