"""For how long a leader has known each outstanding allotment: it expires those whose lease is over. No I/O.

An allotment's id names the log entry that granted it, so an id that is known stands for the same allotment
for ever, also after the ledger was replaced by a snapshot: its age is not counted anew then.
"""

from __future__ import annotations

from collections.abc import Set
from datetime import timedelta

# The voters count a lease from a moment later than its holder, and for longer by this: clocks that drift
# apart by up to a twentieth are tolerated.
MAX_CLOCK_DRIFT = 1.05
LEASE_MARGIN = timedelta(milliseconds=500)


class AllotmentAges:
    """When one head first knew each outstanding allotment, on its monotonic clock."""

    def __init__(self, lease: timedelta) -> None:
        """Know no allotment yet; `lease` is how long a holder may spend one."""
        self._lease_timeout = lease * MAX_CLOCK_DRIFT + LEASE_MARGIN
        self._known_since: dict[str, timedelta] = {}

    def observe(self, outstanding: Set[str], now: timedelta) -> None:
        """Take in which allotments are outstanding now; those that are not any more are forgotten."""
        if self._known_since.keys() != outstanding:
            self._known_since = {id: self._known_since.get(id, now) for id in outstanding}

    def overdue(self, now: timedelta) -> list[str]:
        """The allotments that no holder may spend any more."""
        return [id for id, since in self._known_since.items() if since + self._lease_timeout < now]
