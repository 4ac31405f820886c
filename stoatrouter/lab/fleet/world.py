"""Virtual time and a network with faults, for machines that are reducers. No socket, no clock, one seed.

A machine's own clock runs at its own rate from its own beginning. What is sent to a machine that is paused
waits until it goes on; to one that is down it is lost. Every event goes into a digest: two runs of one seed
are the same if their digests are.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

ZERO = timedelta(0)


@dataclass(slots=True)
class Machine:
    """Where a reducer runs."""

    name: str
    rate: float = 1.0  # of its clock
    offset: timedelta = ZERO
    up: bool = True
    paused_until: timedelta = ZERO
    life: int = 0  # how often it was started


@dataclass(slots=True)
class Link:
    """One direction between two machines."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    least: timedelta = timedelta(milliseconds=1)
    most: timedelta = timedelta(milliseconds=8)


@dataclass(slots=True)
class World:
    """All machines, what is between them, and what happens next."""

    seed: int
    names: list[str]
    now: timedelta = ZERO
    queue: list[tuple[timedelta, int, Callable[[], None]]] = field(default_factory=list)
    order: int = 0
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    draws: random.Random = field(init=False)
    digest: Any = field(default_factory=lambda: hashlib.blake2b(digest_size=16))
    events: int = 0
    sent: dict[str, int] = field(default_factory=dict)  # messages by sender
    bytes: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.draws = random.Random(f"world/{self.seed}")
        for name in self.names:
            drift = 1 + self.draws.uniform(-0.02, 0.02)
            self.machines[name] = Machine(name, drift, timedelta(seconds=self.draws.uniform(0, 1000)))
        self.links = {(a, b): Link() for a in self.names for b in self.names if a != b}

    def clock(self, name: str) -> timedelta:
        """A machine's own monotonic time."""
        machine = self.machines[name]
        return machine.offset + self.now * machine.rate

    def at(self, after: timedelta, what: Callable[[], None]) -> None:
        """Let something happen after a span."""
        self.order += 1
        heapq.heappush(self.queue, (self.now + max(ZERO, after), self.order, what))

    def on(self, name: str, after: timedelta, what: Callable[[], None]) -> None:
        """On a machine, in its present life; while it is paused, later."""
        life = self.machines[name].life

        def run() -> None:
            machine = self.machines[name]
            if not machine.up or machine.life != life:
                return
            if machine.paused_until > self.now:
                return self.on(name, machine.paused_until - self.now, what)
            what()

        self.at(after, run)

    def send(self, a: str, b: str, what: Callable[[], None], size: int = 0) -> None:
        """A message: `what` happens at B when it arrives, once, twice or never, in any order."""
        self.sent[a] = self.sent.get(a, 0) + 1
        self.bytes[a] = self.bytes.get(a, 0) + size
        link = self.links.get((a, b))
        if link is None or self.draws.random() < link.loss:
            return
        for _ in range(1 + (self.draws.random() < link.twice)):
            delay = link.least + (link.most - link.least) * self.draws.random()
            self.at(delay, lambda: self.arrive(a, b, what))

    def arrive(self, a: str, b: str, what: Callable[[], None]) -> None:
        """A message arrives, unless the link is cut or the machine is down."""
        machine = self.machines[b]
        if self.links[a, b].cut or not machine.up:
            return
        if machine.paused_until > self.now:
            return self.at(machine.paused_until - self.now, lambda: self.arrive(a, b, what))
        what()

    def note(self, what: str) -> None:
        """Into the digest."""
        self.digest.update(f"{self.now // timedelta(microseconds=1)} {what}\n".encode())

    def step(self) -> bool:
        """Let the next thing happen; whether there was one."""
        if not self.queue:
            return False
        at, _, what = heapq.heappop(self.queue)
        self.now = max(self.now, at)
        self.events += 1
        what()
        return True

    def run(self, until: timedelta, after_each: Callable[[], None] | None = None) -> None:
        """Let everything happen up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.step()
            if after_each is not None:
                after_each()
        self.now = max(self.now, until)

    # -- faults -------------------------------------------------------------------------------------------
    def split(self, *sides: list[str], both: bool = True) -> None:
        """Cut all links between these sides."""
        for i, side in enumerate(sides):
            for other in sides[i + 1 :]:
                for a in side:
                    for b in other:
                        self.links[a, b].cut = True
                        if both:
                            self.links[b, a].cut = True

    def heal(self) -> None:
        """All links are whole again."""
        for link in self.links.values():
            link.cut, link.loss, link.twice, link.most = False, 0.0, 0.0, timedelta(milliseconds=8)

    def pause(self, name: str, span: timedelta) -> None:
        """A machine stands still for a span."""
        self.machines[name].paused_until = self.now + span

    def down(self, name: str) -> None:
        """A machine ends."""
        self.machines[name].up = False

    def up(self, name: str) -> None:
        """A machine starts, in another life."""
        machine = self.machines[name]
        machine.up, machine.life, machine.paused_until = True, machine.life + 1, ZERO
