"""A fleet of detectors in virtual time, over real datagrams: what each believes of each, against what is
so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

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


@dataclass
class DetectorFleet:
    """Detectors, one a machine. Addresses are the machines' names; a restarted one has lost its incarnation
    and begins with its own clock's, as a head without a disk does.
    """

    world: World
    make: Callable[..., Detector] = Detector
    timing: Timing = field(default_factory=Timing)
    detectors: dict[str, Detector] = field(default_factory=dict)
    # when, who saw, whom, as what, and whether that one was down
    changes: list[tuple[timedelta, str, str, Status, bool]] = field(default_factory=list)
    largest: int = 0  # bytes of a datagram
    down_since: dict[str, timedelta] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name in self.world.names:
            self.boot(name, 1)

    def boot(self, name: str, incarnation: int) -> None:
        """Start a head's detector."""
        peers = tuple(other for other in self.world.names if other != name)
        self.detectors[name] = self.make(
            name, incarnation, peers, self.world.seed * 7 + self.world.machines[name].life, self.timing
        )
        self.world.on(name, self.timing.period * self.world.draws.random(), lambda: self.tick(name))

    def tick(self, name: str) -> None:
        """Let time pass for a head."""
        self.put(name, Tick(self.world.clock(name)))
        self.world.on(name, TICK, lambda: self.tick(name))

    def put(self, name: str, event: Event) -> None:
        """Reduce an event, and run its effects."""
        for effect in self.detectors[name].reduce(event):
            match effect:
                case SendTo():
                    data = encode(effect.message, SECRET, "fleet")
                    self.largest = max(self.largest, len(data))
                    self.world.note(f"{name}>{effect.address} {len(data)}")
                    self.world.send(
                        name,
                        effect.address,
                        lambda a=effect.address, d=data: self.put(
                            a, DatagramReceived(self.world.clock(a), name, decode(d, SECRET, "fleet"))
                        ),
                        len(data),
                    )
                case StatusChanged():
                    so = effect.name in self.down_since
                    self.changes.append((self.world.now, name, effect.name, effect.status, so))

    def kill(self, name: str, wipe: bool = False) -> None:
        """End a head without a word."""
        self.world.down(name)
        self.down_since[name] = self.world.now

    def start(self, name: str) -> None:
        """Start a head again."""
        self.down_since.pop(name, None)
        self.world.up(name)
        self.boot(name, 1 + self.world.machines[name].life if self.world.draws.random() < 0.5 else 1)

    def leave(self, name: str) -> None:
        """End a head that says so."""
        self.put(name, Leaving(self.world.clock(name)))
        self.kill(name)

    # -- what is measured and promised --------------------------------------------------------------------
    def views(self, of: str) -> set[Status | None]:
        """How those that are up see a head."""
        return {
            d.roster.status(of) for n, d in self.detectors.items() if self.world.machines[n].up and n != of
        }

    def complete(self) -> bool:
        """Each head that is down is seen as gone by all that are up, each that is up as alive."""
        return all(
            views <= {Status.FAILED, Status.LEFT, None} if n in self.down_since else views == {Status.ALIVE}
            for n in self.world.names
            if (views := self.views(n))
        )

    def false_failures(self) -> int:
        """Heads that were up and taken for failed, counted by who did first."""
        return len(
            {
                (of, at // timedelta(seconds=30))
                for at, _, of, status, so in self.changes
                if status is Status.FAILED and not so
            }
        )

    def suspicions(self) -> int:
        """How often a head that was up was suspected."""
        return sum(status is Status.SUSPECT and not so for _, _, _, status, so in self.changes)
