"""Deterministic simulation of machines that run reducers: virtual time and a network with faults.

All randomness derives from one seed, and all actions are in one queue ordered by virtual time; no socket and
no real clock is used. The clock of each machine has its own rate and origin. A message to a paused machine
waits until the machine resumes; a message to a stopped one is lost. Events are recorded in a digest: two runs
with the same seed are equal if and only if their digests are.
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
CLOCK_DRIFT = 0.02  # maximum fraction by which the clock of a machine is faster or slower than world time
DIGEST_BYTES = 16

Action = Callable[[], None]


class ScheduledAction(NamedTuple):
    """An action in the queue; actions with equal times run in the order in which they were scheduled."""

    at: timedelta
    sequence: int
    action: Action


@dataclass(slots=True)
class Machine:
    """A machine that runs a reducer."""

    name: str
    rate: float = 1.0  # of its clock, relative to world time
    offset: timedelta = ZERO
    up: bool = True
    paused_until: timedelta = ZERO
    incarnation: int = 0  # number of restarts


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
    """All machines, the links between them, and the queue of scheduled actions."""

    seed: int
    names: list[str]
    now: timedelta = ZERO
    queue: list[ScheduledAction] = field(default_factory=list)
    sequence: int = 0  # number of the last scheduled action
    links: dict[tuple[str, str], Link] = field(default_factory=dict)  # by sender and receiver
    machines: dict[str, Machine] = field(default_factory=dict)
    rng: random.Random = field(init=False)
    digest: Any = field(default_factory=lambda: hashlib.blake2b(digest_size=DIGEST_BYTES))
    events: int = 0  # number of actions that have run
    messages_sent: dict[str, int] = field(default_factory=dict)  # by sender
    bytes_sent: dict[str, int] = field(default_factory=dict)  # by sender

    def __post_init__(self) -> None:
        """Draw the clock of each machine and connect all machines."""
        self.rng = random.Random(f"world/{self.seed}")
        for name in self.names:
            rate = 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            self.machines[name] = Machine(name, rate, timedelta(seconds=self.rng.uniform(0, 1000)))
        self.links = {(a, b): Link() for a in self.names for b in self.names if a != b}

    # -- time ---------------------------------------------------------------------------------------------
    def clock(self, name: str) -> timedelta:
        """Return the time of the monotonic clock of a machine."""
        machine = self.machines[name]
        return machine.offset + self.now * machine.rate

    def is_running(self, name: str) -> bool:
        """Whether a machine is up and not paused."""
        machine = self.machines[name]
        return machine.up and machine.paused_until <= self.now

    def schedule(self, delay: timedelta, action: Action) -> None:
        """Schedule an action after a delay; a negative delay counts as zero."""
        self.sequence += 1
        heapq.heappush(self.queue, ScheduledAction(self.now + max(ZERO, delay), self.sequence, action))

    def schedule_on(self, name: str, delay: timedelta, action: Action) -> None:
        """Schedule an action on a machine after a delay.

        The action waits while the machine is paused, and is dropped if its current incarnation has ended.
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
        """Run the next action; returns False if the queue is empty."""
        if not self.queue:
            return False
        at, _, action = heapq.heappop(self.queue)
        self.now = max(self.now, at)
        self.events += 1
        action()
        return True

    def run(self, until: timedelta, after_each: Action | None = None) -> None:
        """Run all actions that are due by a time, and call `after_each` after each of them."""
        while self.queue and self.queue[0].at <= until:
            self.step()
            if after_each is not None:
                after_each()
        self.now = max(self.now, until)

    def record(self, event: str) -> None:
        """Add an event and its time to the digest."""
        self.digest.update(f"{self.now // timedelta(microseconds=1)} {event}\n".encode())

    # -- network ------------------------------------------------------------------------------------------
    def send(self, sender: str, receiver: str, deliver: Action, size: int = 0) -> None:
        """Send a message: `deliver` runs at the receiver once, twice or never; messages may be reordered.

        Args:
            sender: The sending machine, to whose counters of messages and bytes it is added.
            receiver: The receiving machine. A message to a machine without a link is lost.
            deliver: The action to run when the message arrives.
            size: Bytes of the message, only for the counter.
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
        """Remove the faults of all links."""
        for link in self.links.values():
            link.cut = False
            link.loss = 0.0
            link.duplication = 0.0
            link.max_delay = DEFAULT_MAX_DELAY

    def pause(self, name: str, duration: timedelta) -> None:
        """Suspend a machine as SIGSTOP does; its clock keeps running."""
        self.machines[name].paused_until = self.now + duration

    def stop_machine(self, name: str) -> None:
        """Stop a machine without notice to the others."""
        self.machines[name].up = False

    def start_machine(self, name: str) -> None:
        """Restart a machine as a new incarnation."""
        machine = self.machines[name]
        machine.up = True
        machine.incarnation += 1
        machine.paused_until = ZERO
