"""Where keyed requests were placed: a repeat is placed as its first try was, under any table.

Nodes drop a repeat only where the first try came to: with another volume, key or shard it would run again.
So the decision for an idempotency key is kept for the repeat window of its class. Within one process and its
bound, a repeat that comes in time is placed as the first try was. A head that starts from nothing, or that
had to forget (which is counted), places by its table.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.matching.decisions import Decision

MOST = 16_384  # keys held together; beyond, the oldest is forgotten and counted


@dataclass(slots=True, frozen=True)
class Placement:
    """The decision for a key, the request it was made for, and until when it is valid."""

    decision: Decision
    fingerprint: int  # of method and query: a key names one request
    until: timedelta


class Conflict(Exception):
    """An idempotency key came with another request than before."""


class Placements:
    """Placements by host, path and key, the oldest first.

    Not by scope, as a new table may give the path to another one, and not by key alone, as clients' keys
    must not collide.
    """

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.held: OrderedDict[tuple[str, str, str], Placement] = OrderedDict()
        self.forgotten = 0  # before their time was over

    def find(self, place: tuple[str, str, str], fingerprint: int, now: timedelta) -> Decision | None:
        """The decision kept for this key, or None; raises Conflict."""
        held = self.held.get(place)
        if held is None or held.until <= now:
            return None
        # Guards data: two requests under one key would be taken for repeats of each other.
        if held.fingerprint != fingerprint:
            raise Conflict
        return held.decision

    def keep(
        self,
        place: tuple[str, str, str],
        decision: Decision,
        fingerprint: int,
        now: timedelta,
        window: timedelta,
    ) -> None:
        """Keep a decision for its window from now on; a repeat renews it, as nodes count from the latest."""
        self.held.pop(place, None)
        self.held[place] = Placement(decision, fingerprint, now + window)
        self.sweep(now)

    def sweep(self, now: timedelta) -> None:
        """Forget expired placements, and the oldest beyond the bound."""
        while self.held:
            place, oldest = next(iter(self.held.items()))
            if oldest.until > now:
                if len(self.held) <= self.most:
                    return
                self.forgotten += 1
            del self.held[place]
