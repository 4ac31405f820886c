"""Faults on the fleet on one machine: heads killed and started, regions apart, a lost machine written off."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Collection, Iterable, Iterator

from benchmarks.capacity.mixed import CapacityFleet
from benchmarks.capacity.story import Story
from stoatrouter.lab.hollow.places import Place
from tests.heads.history_clients import VOLUMES

DETECT_WITHIN = 25.0  # seconds; the judge asks for no more of a head that was down for less


class Faults:
    """What a scene breaks; each fault that the judges have to know of is written into the history."""

    def __init__(self, fleet: CapacityFleet, story: Story) -> None:
        self.fleet, self.story = fleet, story

    @contextlib.contextmanager
    def down(self, names: Iterable[str]) -> Iterator[None]:
        """Heads are down within: for the judge of what the detectors saw."""
        gone = list(names)
        self.story.interrupt(gone)
        at = time.time()
        yield
        for head in gone:
            self.story.write(
                "down",
                at,
                until=time.time(),
                head=head,
                witnesses=self.witnesses(),
                detect_within=DETECT_WITHIN,
            )

    def witnesses(self) -> list[str]:
        """Heads that were up all the while: those of this scene that went down are no witnesses."""
        away = self.story.parts[-1].interrupted if self.story.parts else set()
        there = {*self.fleet.real.heads, *self.fleet.hollow.names}
        return [name for name in self.fleet.places if name in there and name not in away]

    def numbers(self, what: str) -> list[int]:
        """The regions, zones or racks that hold any hollow head."""
        places = self.fleet.places
        return sorted({getattr(places[name], what) for name in self.fleet.hollow.names})

    def members(self, what: str, number: int) -> list[str]:
        """All heads of a region, zone or rack."""
        there = {*self.fleet.real.heads, *self.fleet.hollow.names}
        return [name for name in there if getattr(self.fleet.places[name], what) == number]

    def real_of_region(self, region: int) -> list[str]:
        """Real heads of a region."""
        places: dict[str, Place] = self.fleet.places
        return [name for name in self.fleet.real.heads if places[name].region == region]

    async def kill(self, real: Collection[str], hollow: Collection[str]) -> None:
        """Kill heads in the same moment."""
        self.story.interrupt([*real, *hollow])
        await asyncio.gather(
            *(self.fleet.real[name].kill() for name in real), self.fleet.hollow.crash(hollow)
        )

    async def start(self, real: Collection[str], hollow: Collection[str]) -> None:
        """Start heads in the same moment; returns when all hollow ones serve or died."""
        await asyncio.gather(
            *(self.fleet.real[name].start(ready=False) for name in real),
            self.fleet.hollow.start(hollow, concurrency=len(self.fleet.hollow.names)),
        )

    async def part_regions(self, first: int, second: int) -> None:
        """Nothing passes between two regions; a third hears both."""
        places, real = self.fleet.places, self.fleet.real
        sides = {name: place.region for name, place in places.items()}
        await self.fleet.hollow.partition(sides, ((first, second),))
        for sender, receiver in real.relay.links:
            if {places[sender].region, places[receiver].region} == {first, second}:
                real.relay.cut(sender, receiver, both=False)

    async def heal(self) -> None:
        """Everything passes again, delayed as before."""
        self.fleet.real.relay.heal()
        self.fleet.real.delay()
        await self.fleet.hollow.partition({})

    async def write_off(self, name: str) -> None:
        """A head is lost with its disk: all it held is charged. The history says how much that was."""
        self.story.gone[name] = self.fleet.real[name].logs
        del self.fleet.real.heads[name]
        lost: dict[str, int] = {}
        for customer in VOLUMES:
            head = self.story.random_head()
            assert head is not None
            status, told = await head.call("GET", f"/control/credit/customers/{customer}")
            if status == 200:
                lost[customer] = sum(held["amount"] for held in told["out"].values() if held["head"] == name)
        head = self.story.random_head()
        assert head is not None
        await head.call("POST", f"/control/credit/heads/{name}/write-off")
        for customer, amount in lost.items():
            self.story.lost[customer] += amount
