"""A simulated fleet of failure detectors that exchange encoded datagrams; views are compared with reality."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from stoatrouter.lab.fleet.world import World
from stoatrouter.membership.datagram import decode, encode
from stoatrouter.membership.detector import Detector
from stoatrouter.membership.detector_records import (
    DatagramReceived,
    Event,
    Leaving,
    SendTo,
    StatusChanged,
    Tick,
    Timing,
)
from stoatrouter.membership.roster import Status

TICK = timedelta(milliseconds=50)
SECRET = b"s" * 64
FLEET = "fleet"  # fleet name with which datagrams are authenticated
FALSE_FAILURE_WINDOW = timedelta(seconds=30)  # false reports of one head within it are counted once


class StatusChange(NamedTuple):
    """A change of the status that one head gives to another."""

    at: timedelta
    observer: str
    subject: str
    status: Status
    subject_was_down: bool


@dataclass
class DetectorFleet:
    """One detector on each machine; the name of a machine is its address.

    A restarted head has lost its incarnation number and derives a new one from its clock, as a head without a
    disk does. `make_detector` creates a detector; tests pass a mutant to show that faults are found.
    """

    world: World
    make_detector: Callable[..., Detector] = Detector
    timing: Timing = field(default_factory=Timing)
    detectors: dict[str, Detector] = field(default_factory=dict)
    changes: list[StatusChange] = field(default_factory=list)
    largest_datagram: int = 0  # bytes
    down_since: dict[str, timedelta] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start a detector on every machine."""
        for name in self.world.names:
            self.boot(name, 1)

    def boot(self, name: str, incarnation: int) -> None:
        """Start the detector of a head."""
        peers = tuple(other for other in self.world.names if other != name)
        seed = self.world.seed * 7 + self.world.machines[name].incarnation
        self.detectors[name] = self.make_detector(name, incarnation, peers, seed, self.timing)
        first_tick = self.timing.period * self.world.rng.random()
        self.world.schedule_on(name, first_tick, lambda: self.tick(name))

    def tick(self, name: str) -> None:
        """Send a tick to a head, and schedule the next one."""
        self.reduce(name, Tick(self.world.clock(name)))
        self.world.schedule_on(name, TICK, lambda: self.tick(name))

    def reduce(self, name: str, event: Event) -> None:
        """Apply an event to the detector of a head, and run the effects."""
        for effect in self.detectors[name].reduce(event):
            match effect:
                case SendTo():
                    self._send(name, effect)
                case StatusChanged():
                    was_down = effect.name in self.down_since
                    change = StatusChange(self.world.now, name, effect.name, effect.status, was_down)
                    self.changes.append(change)

    def _send(self, sender: str, effect: SendTo) -> None:
        receiver = effect.address
        data = encode(effect.message, SECRET, FLEET)
        self.largest_datagram = max(self.largest_datagram, len(data))
        self.world.record(f"{sender}>{receiver} {len(data)}")

        def deliver() -> None:
            self.reduce(
                receiver, DatagramReceived(self.world.clock(receiver), sender, decode(data, SECRET, FLEET))
            )

        self.world.send(sender, receiver, deliver, len(data))

    # -- faults -------------------------------------------------------------------------------------------
    def kill(self, name: str, wipe: bool = False) -> None:
        """Kill a head without notice; there is no disk to wipe."""
        self.world.stop_machine(name)
        self.down_since[name] = self.world.now

    def start(self, name: str) -> None:
        """Restart a head."""
        self.down_since.pop(name, None)
        self.world.start_machine(name)
        clock_advanced = self.world.rng.random() < 0.5
        self.boot(name, 1 + self.world.machines[name].incarnation if clock_advanced else 1)

    def leave(self, name: str) -> None:
        """Stop a head that announces that it leaves."""
        self.reduce(name, Leaving(self.world.clock(name)))
        self.kill(name)

    # -- measurements and invariants ----------------------------------------------------------------------
    def views(self, subject: str) -> set[Status | None]:
        """Return the statuses that the other running heads give to a head."""
        return {
            detector.roster.status(subject)
            for name, detector in self.detectors.items()
            if self.world.machines[name].up and name != subject
        }

    def complete(self) -> bool:
        """Whether all running heads see stopped heads as failed or left, and running ones as alive."""
        return all(self._is_seen_correctly(name) for name in self.world.names)

    def _is_seen_correctly(self, name: str) -> bool:
        views = self.views(name)
        if not views:
            return True
        if name in self.down_since:
            return views <= {Status.FAILED, Status.LEFT, None}
        return views == {Status.ALIVE}

    def false_failures(self) -> int:
        """Count reports of running heads as failed, at most one for each head and window."""
        false_reports = [c for c in self.changes if c.status is Status.FAILED and not c.subject_was_down]
        return len({(change.subject, change.at // FALSE_FAILURE_WINDOW) for change in false_reports})

    def suspicions(self) -> int:
        """Count how often a running head was suspected."""
        return sum(c.status is Status.SUSPECT and not c.subject_was_down for c in self.changes)
