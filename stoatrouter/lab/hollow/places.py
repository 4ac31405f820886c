"""The network topology: regions, zones and racks of heads, and delays between them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

REGIONS, ZONES, RACKS = 3, 12, 30
ZONE_SECONDS = 0.001  # one-way delay between two zones of a region
REGION_SECONDS = {(0, 1): 0.008, (0, 2): 0.012, (1, 2): 0.015}  # one-way delays between two regions


@dataclass(frozen=True, slots=True)
class Place:
    """The location of a head: its region, zone and rack."""

    region: int
    zone: int
    rack: int


def place_of_rack(rack: int) -> Place:
    """Return the place of a rack; racks are distributed over zones, and zones over regions, in order."""
    zone = rack * ZONES // RACKS
    return Place(zone * REGIONS // ZONES, zone, rack)


def spread(names: Iterable[str]) -> dict[str, Place]:
    """Assign heads to racks in turn, so that each of the 30 racks has an equal share."""
    return {name: place_of_rack(index % RACKS) for index, name in enumerate(names)}


def spread_voters(names: Iterable[str]) -> dict[str, Place]:
    """Assign each voter to its own rack; of five voters, at most two are in the same region."""
    per_region = RACKS // REGIONS
    return {
        name: place_of_rack((index % REGIONS) * per_region + index // REGIONS)
        for index, name in enumerate(names)
    }


def one_way_seconds(sender: Place, receiver: Place) -> float:
    """Return the one-way delay between two places in seconds."""
    if sender.region != receiver.region:
        low, high = sorted((sender.region, receiver.region))
        return REGION_SECONDS[low, high]
    return 0.0 if sender.zone == receiver.zone else ZONE_SECONDS
