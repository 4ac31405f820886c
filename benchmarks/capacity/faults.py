"""Faults on a fleet on one machine: killed heads, partitioned regions, a lost machine that is written off."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Collection, Iterable, Iterator

from benchmarks.capacity.capacity_fleet import CapacityFleet
from benchmarks.capacity.scene_clients import SceneClients
from stoatrouter.lab.hollow.places import Place
from tests.heads.history_clients import VOLUMES

DETECTION_TIMEOUT = 25.0  # seconds; the checker requires no detection of a head that was down for less


class Faults:
    """Injects the faults of a scene, and writes those that the checker needs to the history."""

    def __init__(self, fleet: CapacityFleet, clients: SceneClients) -> None:
        self.fleet = fleet
        self.clients = clients

    @contextlib.contextmanager
    def down(self, names: Iterable[str]) -> Iterator[None]:
        """Record that heads are down for the length of the context, for the check of failure detection."""
        names_down = list(names)
        self.clients.mark_interrupted(names_down)
        at = time.time()
        yield
        for head in names_down:
            self.clients.write(
                "down",
                at,
                until=time.time(),
                head=head,
                witnesses=self.witnesses(),
                detect_within=DETECTION_TIMEOUT,
            )

    def witnesses(self) -> list[str]:
        """Return the heads that have stayed up since the scene began."""
        interrupted = self.clients.scene_parts[-1].interrupted if self.clients.scene_parts else set()
        present = {*self.fleet.real.heads, *self.fleet.hollow.names}
        return [name for name in self.fleet.places if name in present and name not in interrupted]

    def occupied_places(self, kind: str) -> list[int]:
        """Return the numbers of the regions, zones or racks with at least one hollow head."""
        places = self.fleet.places
        return sorted({getattr(places[name], kind) for name in self.fleet.hollow.names})

    def members(self, kind: str, number: int) -> list[str]:
        """Return all heads of a region, zone or rack."""
        present = {*self.fleet.real.heads, *self.fleet.hollow.names}
        return [name for name in present if getattr(self.fleet.places[name], kind) == number]

    def real_of_region(self, region: int) -> list[str]:
        """Return the real heads of a region."""
        places: dict[str, Place] = self.fleet.places
        return [name for name in self.fleet.real.heads if places[name].region == region]

    async def kill(self, real: Collection[str], hollow: Collection[str]) -> None:
        """Kill heads at once."""
        self.clients.mark_interrupted([*real, *hollow])
        await asyncio.gather(
            *(self.fleet.real[name].kill() for name in real), self.fleet.hollow.crash(hollow)
        )

    async def start(self, real: Collection[str], hollow: Collection[str]) -> None:
        """Start heads at once; returns when each hollow one serves or has died."""
        await asyncio.gather(
            *(self.fleet.real[name].start(ready=False) for name in real),
            self.fleet.hollow.start(hollow, concurrency=len(self.fleet.hollow.names)),
        )

    async def part_regions(self, first: int, second: int) -> None:
        """Cut all traffic between two regions; other regions still reach both."""
        places, real = self.fleet.places, self.fleet.real
        regions = {name: place.region for name, place in places.items()}
        await self.fleet.hollow.partition(regions, ((first, second),))
        for sender, receiver in real.relay.links:
            if {places[sender].region, places[receiver].region} == {first, second}:
                real.relay.cut(sender, receiver, both=False)

    async def heal(self) -> None:
        """Restore all traffic, with the configured delays."""
        self.fleet.real.relay.heal()
        self.fleet.real.delay()
        await self.fleet.hollow.partition({})

    async def write_off(self, name: str) -> None:
        """Write off a head that was lost with its disk.

        All credit that it held is charged; the amounts go into the history.
        """
        self.clients.logs_of_lost_heads[name] = self.fleet.real[name].logs
        del self.fleet.real.heads[name]
        lost: dict[str, int] = {}
        for customer in VOLUMES:
            head = self.clients.random_head()
            assert head is not None
            status, account = await head.call("GET", f"/control/credit/customers/{customer}")
            if status == 200:
                lost[customer] = sum(
                    held["amount"] for held in account["out"].values() if held["head"] == name
                )
        head = self.clients.random_head()
        assert head is not None
        await head.call("POST", f"/control/credit/heads/{name}/write-off")
        for customer, amount in lost.items():
            self.clients.lost[customer] += amount
