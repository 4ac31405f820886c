"""Regions, zones and racks of heads, and how long a message takes between two places. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

REGIONS, ZONES, RACKS = 3, 12, 30
ZONE_SECONDS = 0.001  # one way between two zones of a region
REGION_SECONDS = {(0, 1): 0.008, (0, 2): 0.012, (1, 2): 0.015}  # one way between two regions


@dataclass(frozen=True, slots=True)
class Place:
    """A rack, with its zone and region."""

    region: int
    zone: int
    rack: int


def place_of_rack(rack: int) -> Place:
    """Return the place of a rack; racks are spread over zones, and zones over regions, in order."""
    zone = rack * ZONES // RACKS
    return Place(zone * REGIONS // ZONES, zone, rack)


def spread(names: Iterable[str]) -> dict[str, Place]:
    """Give each head a rack in turn, so that each rack has a thirtieth of them."""
    return {name: place_of_rack(index % RACKS) for index, name in enumerate(names)}


def spread_voters(names: Iterable[str]) -> dict[str, Place]:
    """Give each voter a rack of its own, two voters to a region at most (of five)."""
    per_region = RACKS // REGIONS
    return {
        name: place_of_rack((index % REGIONS) * per_region + index // REGIONS)
        for index, name in enumerate(names)
    }


def one_way_seconds(sender: Place, receiver: Place) -> float:
    """Return how long a message takes from one place to another."""
    if sender.region != receiver.region:
        low, high = sorted((sender.region, receiver.region))
        return REGION_SECONDS[low, high]
    return 0.0 if sender.zone == receiver.zone else ZONE_SECONDS
