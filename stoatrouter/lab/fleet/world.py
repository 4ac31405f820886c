"""Virtual time and a faulty network for machines that are reducers: no socket, no clock, one seed.

This is deterministic simulation: all randomness comes from one generator, and everything that happens is one
queue of events in the order of virtual time. Every machine's own clock runs at its own rate from its own
origin. A message to a paused machine waits until the machine resumes; a message to a stopped one is lost.
Events are recorded in a digest: two runs with the same seed are equal if and only if their digests are.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

ZERO = timedelta(0)
DEFAULT_MAX_DELAY = timedelta(milliseconds=8)  # of a link without faults
CLOCK_DRIFT = 0.02  # a machine's clock runs at most so much faster or slower than the world's
DIGEST_BYTES = 16

Action = Callable[[], None]


class ScheduledAction(NamedTuple):
    """An action in the queue; actions of one instant run in the order in which they were scheduled."""

    at: timedelta
    sequence: int
    action: Action


@dataclass(slots=True)
class Machine:
    """The machine that a reducer runs on."""

    name: str
    rate: float = 1.0  # of its clock, relative to the world's
    offset: timedelta = ZERO
    up: bool = True
    paused_until: timedelta = ZERO
    incarnation: int = 0  # how often it was started again


@dataclass(slots=True)
class Link:
    """One direction of the network between two machines."""

    cut: bool = False
    loss: float = 0.0  # probability that a message is lost
    duplication: float = 0.0  # probability that a message arrives twice
    min_delay: timedelta = timedelta(milliseconds=1)
    max_delay: timedelta = DEFAULT_MAX_DELAY


@dataclass(slots=True)
class World:
    """All machines, the links between them, and the queue of what happens next."""

    seed: int
    names: list[str]
    now: timedelta = ZERO
    queue: list[ScheduledAction] = field(default_factory=list)
    sequence: int = 0  # of the action scheduled last
    links: dict[tuple[str, str], Link] = field(default_factory=dict)  # by sender and receiver
    machines: dict[str, Machine] = field(default_factory=dict)
    rng: random.Random = field(init=False)
    digest: Any = field(default_factory=lambda: hashlib.blake2b(digest_size=DIGEST_BYTES))
    events: int = 0  # actions that have run
    messages_sent: dict[str, int] = field(default_factory=dict)  # by sender
    bytes_sent: dict[str, int] = field(default_factory=dict)  # by sender

    def __post_init__(self) -> None:
        """Draw each machine's clock and connect all machines."""
        self.rng = random.Random(f"world/{self.seed}")
        for name in self.names:
            rate = 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            self.machines[name] = Machine(name, rate, timedelta(seconds=self.rng.uniform(0, 1000)))
        self.links = {(a, b): Link() for a in self.names for b in self.names if a != b}

    # -- time ---------------------------------------------------------------------------------------------
    def clock(self, name: str) -> timedelta:
        """Read a machine's own monotonic clock."""
        machine = self.machines[name]
        return machine.offset + self.now * machine.rate

    def is_running(self, name: str) -> bool:
        """Whether a machine is up and not paused."""
        machine = self.machines[name]
        return machine.up and machine.paused_until <= self.now

    def schedule(self, delay: timedelta, action: Action) -> None:
        """Run an action after a delay; a negative delay counts as none."""
        self.sequence += 1
        heapq.heappush(self.queue, ScheduledAction(self.now + max(ZERO, delay), self.sequence, action))

    def schedule_on(self, name: str, delay: timedelta, action: Action) -> None:
        """Run an action on a machine after a delay.

        While the machine is paused the action waits; once this incarnation has ended it is dropped.
        """
        incarnation = self.machines[name].incarnation

        def run() -> None:
            machine = self.machines[name]
            if not machine.up or machine.incarnation != incarnation:
                return
            if machine.paused_until > self.now:
                self.schedule_on(name, machine.paused_until - self.now, action)
                return
            action()

        self.schedule(delay, run)

    def step(self) -> bool:
        """Run the next action; returns False where the queue is empty."""
        if not self.queue:
            return False
        at, _, action = heapq.heappop(self.queue)
        self.now = max(self.now, at)
        self.events += 1
        action()
        return True

    def run(self, until: timedelta, after_each: Action | None = None) -> None:
        """Run all actions due by a time, calling `after_each` after every one of them."""
        while self.queue and self.queue[0].at <= until:
            self.step()
            if after_each is not None:
                after_each()
        self.now = max(self.now, until)

    def record(self, event: str) -> None:
        """Add an event, with its time, to the digest."""
        self.digest.update(f"{self.now // timedelta(microseconds=1)} {event}\n".encode())

    # -- network ------------------------------------------------------------------------------------------
    def send(self, sender: str, receiver: str, deliver: Action, size: int = 0) -> None:
        """Send a message: `deliver` runs at the receiver once, twice or never, in any order.

        Args:
            sender: The sending machine, whose counts of messages and bytes grow.
            receiver: The receiving machine. A message to a machine without a link is lost.
            deliver: What the message does where it arrives.
            size: Bytes of the message, for the count alone.
        """
        self.messages_sent[sender] = self.messages_sent.get(sender, 0) + 1
        self.bytes_sent[sender] = self.bytes_sent.get(sender, 0) + size
        link = self.links.get((sender, receiver))
        if link is None or self.rng.random() < link.loss:
            return
        copies = 1 + (self.rng.random() < link.duplication)
        for _ in range(copies):
            delay = link.min_delay + (link.max_delay - link.min_delay) * self.rng.random()
            self.schedule(delay, lambda: self._arrive(sender, receiver, deliver))

    def _arrive(self, sender: str, receiver: str, deliver: Action) -> None:
        machine = self.machines[receiver]
        if self.links[sender, receiver].cut or not machine.up:
            return
        if machine.paused_until > self.now:
            pause_left = machine.paused_until - self.now
            self.schedule(pause_left, lambda: self._arrive(sender, receiver, deliver))
            return
        deliver()

    # -- faults -------------------------------------------------------------------------------------------
    def partition(self, *sides: list[str]) -> None:
        """Cut all links between machines on different sides, in both directions."""
        for i, side in enumerate(sides):
            for other_side in sides[i + 1 :]:
                for a in side:
                    for b in other_side:
                        self.links[a, b].cut = True
                        self.links[b, a].cut = True

    def heal(self) -> None:
        """Remove all faults from all links."""
        for link in self.links.values():
            link.cut = False
            link.loss = 0.0
            link.duplication = 0.0
            link.max_delay = DEFAULT_MAX_DELAY

    def pause(self, name: str, duration: timedelta) -> None:
        """Stop a machine in its tracks, as SIGSTOP does; its clock runs on."""
        self.machines[name].paused_until = self.now + duration

    def stop_machine(self, name: str) -> None:
        """End a machine's incarnation without a word to anybody."""
        self.machines[name].up = False

    def start_machine(self, name: str) -> None:
        """Begin another incarnation of a machine."""
        machine = self.machines[name]
        machine.up = True
        machine.incarnation += 1
        machine.paused_until = ZERO
