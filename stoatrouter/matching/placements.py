"""Stores decisions by idempotency key, so that a retry is decided as its first attempt under any table.

Only the node that received the first attempt recognizes a retry: with another volume, key or shard the
request would run again. The decision for an idempotency key is therefore stored for the window in which nodes
remember the key, which the request's class defines. This holds within one process and up to a maximum number
of keys: a head that starts without state, or that had to evict the key (which is counted), decides by its
table.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from stoatrouter.matching.decisions import Decision

MAX_PLACEMENTS = 16_384  # beyond this, the oldest is evicted and counted


class PlacementKey(NamedTuple):
    """The key of a placement.

    It excludes the scope, as a new table may assign the path to another scope, and includes host and path, as
    idempotency keys of different clients must not collide.
    """

    host: str
    path: str
    idempotency_key: str


@dataclass(slots=True, frozen=True)
class Placement:
    """The decision for a key, a fingerprint of its request, and the end of its validity."""

    decision: Decision
    fingerprint: int  # hash of method and query; a key belongs to one request
    expires_at: timedelta  # since the Unix epoch


class KeyConflictError(Exception):
    """An idempotency key was used with a different request before."""


class Placements:
    """The stored placements in the order in which they were last stored."""

    def __init__(self, limit: int = MAX_PLACEMENTS) -> None:
        """Create an empty store.

        Args:
            limit: The maximum number of placements stored at a time.
        """
        self.limit = limit
        self.entries: OrderedDict[tuple[str, str, str], Placement] = OrderedDict()
        self.evicted = 0  # placements evicted while they were still valid

    def find(self, key: tuple[str, str, str], fingerprint: int, now: timedelta) -> Decision | None:
        """Return the decision stored for a key; None if there is none or it has expired.

        Args:
            key: The request's PlacementKey.
            fingerprint: A hash of the other properties that identify the request.
            now: The time since the Unix epoch.

        Raises:
            KeyConflictError: The decision was made for another request.
        """
        placement = self.entries.get(key)
        if placement is None or placement.expires_at <= now:
            return None
        # Protects data: nodes would take two requests with one key for retries of each other.
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
        """Store a decision for its window; a retry renews it, as nodes count from the latest attempt."""
        self.entries.pop(key, None)
        self.entries[key] = Placement(decision, fingerprint, now + window)
        self.evict_placements(now)

    def evict_placements(self, now: timedelta) -> None:
        """Remove expired placements, and the oldest ones beyond the limit."""
        while self.entries:
            key, oldest = next(iter(self.entries.items()))
            if oldest.expires_at > now:
                if len(self.entries) <= self.limit:
                    return
                self.evicted += 1
            del self.entries[key]
