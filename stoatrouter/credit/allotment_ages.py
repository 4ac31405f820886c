"""The ages of outstanding allotments, by which a leader expires those whose lease is over. No I/O.

An allotment's id contains the index of the log entry that granted it, so an id always means the same
allotment. Its age is therefore kept when the ledger is replaced by a snapshot.
"""

from __future__ import annotations

from collections.abc import Set
from datetime import timedelta

# The leader starts counting a lease later than the head that holds it, and lets it run longer by this factor
# and margin, so clock rates that differ by up to a twentieth are tolerated.
MAX_CLOCK_DRIFT = 1.05
LEASE_MARGIN = timedelta(milliseconds=500)


class AllotmentAges:
    """When one head first observed each outstanding allotment, on its monotonic clock."""

    def __init__(self, lease: timedelta) -> None:
        """Start without any allotment; `lease` is how long a head may spend one."""
        self._lease_timeout = lease * MAX_CLOCK_DRIFT + LEASE_MARGIN
        self._known_since: dict[str, timedelta] = {}

    def observe(self, outstanding: Set[str], now: timedelta) -> None:
        """Record the ids that are outstanding at time `now`, and drop those that no longer are."""
        if self._known_since.keys() != outstanding:
            self._known_since = {id: self._known_since.get(id, now) for id in outstanding}

    def overdue(self, now: timedelta) -> list[str]:
        """Return the ids of the allotments that their heads may no longer spend."""
        return [id for id, since in self._known_since.items() if since + self._lease_timeout < now]
