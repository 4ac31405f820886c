"""Possible owners of volumes over time, derived from the calls that create customers or change their volumes.

An acknowledged call takes effect between its invocation and its answer; any other may take effect at any time
after its invocation, or never.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from stoatrouter.lab.histories.history import CustomerPut

OK = 200
REJECTED = range(400, 500)  # status codes of calls that never take effect
NO_OWNER = ""  # the owner of a volume without a customer


@dataclass(slots=True, frozen=True)
class Assignment:
    """A call that may change the owner of a volume.

    Attributes:
        invoked: Earliest time at which it may take effect.
        done: Latest time at which it has taken effect; infinite if unknown.
        owner: The new owner.
    """

    invoked: float
    done: float
    owner: str


@dataclass(slots=True)
class Ownership:
    """The assignments of all volumes."""

    by_volume: dict[str, list[Assignment]] = field(default_factory=dict)

    def possible_owners(self, volume: str, since: float, until: float) -> set[str]:
        """Return all owners that a volume may have had during a span; NO_OWNER stands for none.

        An assignment is excluded if another one was invoked after it was done and was done before the span.
        """
        assignments = [Assignment(-math.inf, -math.inf, NO_OWNER), *self.by_volume.get(volume, [])]
        latest_start = max(known.invoked for known in assignments if known.done <= since)
        return {known.owner for known in assignments if known.invoked <= until and known.done >= latest_start}


def ownership_of(puts: list[CustomerPut]) -> Ownership:
    """Collect the assignments of all volumes; a repeated put removes the volumes that it does not name."""
    by_volume: defaultdict[str, list[Assignment]] = defaultdict(list)
    volumes_of: defaultdict[str, set[str]] = defaultdict(set)
    for put in sorted(puts, key=lambda put: put.at):
        if put.status in REJECTED:
            continue
        done = put.until if put.status == OK else math.inf
        for volume in put.volumes:
            by_volume[volume].append(Assignment(put.at, done, put.customer))
        for volume in volumes_of[put.customer] - set(put.volumes):
            by_volume[volume].append(Assignment(put.at, done, NO_OWNER))
        volumes_of[put.customer] |= set(put.volumes)
    return Ownership(dict(by_volume))
