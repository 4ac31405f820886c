"""Whose a volume may have been, by the calls that made customers: for the judge of charges.

A call that was acknowledged takes effect between its invocation and its answer; one that was not may take
effect at any time after its invocation, or never.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from stoatrouter.lab.histories.history import CustomerPut

OK = 200
REJECTED = range(400, 500)  # statuses of a call that never takes effect
NOBODY = ""  # the owner of a free volume


@dataclass(slots=True, frozen=True)
class Assignment:
    """A call that may make a volume somebody's.

    Attributes:
        invoked: When it may first take effect.
        done: When it has taken effect at the latest; infinite where that is not known.
        owner: Whose the volume is then.
    """

    invoked: float
    done: float
    owner: str


@dataclass(slots=True)
class Ownership:
    """The assignments of all volumes."""

    by_volume: dict[str, list[Assignment]] = field(default_factory=dict)

    def possible_owners(self, volume: str, since: float, until: float) -> set[str]:
        """Whose a volume may have been at some moment of a span; NOBODY among them: free.

        An assignment is out of the question where another one began after it was done and was done before the
        span.
        """
        assignments = [Assignment(-math.inf, -math.inf, NOBODY), *self.by_volume.get(volume, [])]
        latest_start = max(known.invoked for known in assignments if known.done <= since)
        return {known.owner for known in assignments if known.invoked <= until and known.done >= latest_start}


def ownership_of(puts: list[CustomerPut]) -> Ownership:
    """Collect the assignments of all volumes. A customer that is put again loses the volumes not named."""
    by_volume: defaultdict[str, list[Assignment]] = defaultdict(list)
    volumes_of: defaultdict[str, set[str]] = defaultdict(set)
    for put in sorted(puts, key=lambda put: put.at):
        if put.status in REJECTED:
            continue
        done = put.until if put.status == OK else math.inf
        for volume in put.volumes:
            by_volume[volume].append(Assignment(put.at, done, put.customer))
        for volume in volumes_of[put.customer] - set(put.volumes):
            by_volume[volume].append(Assignment(put.at, done, NOBODY))
        volumes_of[put.customer] |= set(put.volumes)
    return Ownership(dict(by_volume))
