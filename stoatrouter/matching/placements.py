"""Where idempotent requests were placed: a retry is placed as its first attempt was, under any table.

Nodes drop a retry only where the first attempt came to: with another volume, key or shard it would run again.
So the decision for an idempotency key is stored for the window in which nodes know the key, which its class
states. Within one process and its bound, a retry that comes in time is placed as the first attempt was. A
head that starts from nothing, or that had to evict the key (which is counted), places by its table.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from stoatrouter.matching.decisions import Decision

MAX_PLACEMENTS = 16_384  # beyond, the oldest is evicted and counted


class PlacementKey(NamedTuple):
    """What a placement is found by.

    Not by scope, as a new table may give the path to another one, and not by the idempotency key alone, as
    clients' keys must not collide.
    """

    host: str
    path: str
    idempotency_key: str


@dataclass(slots=True, frozen=True)
class Placement:
    """The decision for a key, the request it was made for, and until when it is valid."""

    decision: Decision
    fingerprint: int  # of method and query: a key names one request
    until: timedelta


class KeyConflictError(Exception):
    """An idempotency key came with another request than before."""


class Placements:
    """Stored placements, the oldest first."""

    def __init__(self, limit: int = MAX_PLACEMENTS) -> None:
        """Start without placements.

        Args:
            limit: The most placements that are stored at a time.
        """
        self.limit = limit
        self.entries: OrderedDict[tuple[str, str, str], Placement] = OrderedDict()
        self.evicted = 0  # evicted while they were still valid

    def find(self, key: tuple[str, str, str], fingerprint: int, now: timedelta) -> Decision | None:
        """Find the decision stored for a key.

        Args:
            key: The request's PlacementKey.
            fingerprint: A hash of what else identifies the request.
            now: The time since the Unix epoch.

        Raises:
            KeyConflictError: The decision was made for another request.
        """
        placement = self.entries.get(key)
        if placement is None or placement.until <= now:
            return None
        # Guards data: two requests under one key would be taken for retries of each other.
        if placement.fingerprint != fingerprint:
            raise KeyConflictError
        return placement.decision

    def store(
        self,
        key: tuple[str, str, str],
        decision: Decision,
        fingerprint: int,
        now: timedelta,
        window: timedelta,
    ) -> None:
        """Store a decision for its window from now on; a retry renews it, as nodes count from the latest."""
        self.entries.pop(key, None)
        self.entries[key] = Placement(decision, fingerprint, now + window)
        self.sweep(now)

    def sweep(self, now: timedelta) -> None:
        """Remove expired placements, and the oldest beyond the limit."""
        while self.entries:
            key, oldest = next(iter(self.entries.items()))
            if oldest.until > now:
                if len(self.entries) <= self.limit:
                    return
                self.evicted += 1
            del self.entries[key]
