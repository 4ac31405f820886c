"""How long a connection to a node rests before it is used again, so that a second answer shows itself.

An answer names no request: one that a node writes twice would be given to whoever uses the connection next,
and that request's own answer to the one after it. Bytes that come while a connection rests belong to nobody,
and end it (`node_connection`). What comes later, once the next request is written, cannot be distinguished.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

REUSE_AFTER = timedelta(milliseconds=50)  # where an answer cannot be distinguished from an earlier one
SUSPECT_REUSE_AFTER = timedelta(milliseconds=100)  # at a node that has lately sent too much
SUSPICION_TIME = timedelta(seconds=30)
MAX_SUSPECTS = 4_096  # beyond, the first that was suspected is forgotten


class Address(NamedTuple):
    """A node's host and port."""

    host: str
    port: int


class RestTimes:
    """How long connections rest, by node; times are in seconds of the loop."""

    def __init__(self) -> None:
        """Suspect no node."""
        self._suspect_until: OrderedDict[Address, float] = OrderedDict()

    def record_surplus(self, node: Address, now: float) -> bool:
        """Record that a node has sent bytes that belong to no request; whether it was not suspected yet."""
        is_new = now >= self._suspect_until.get(node, 0.0)
        self._suspect_until[node] = now + SUSPICION_TIME.total_seconds()
        self._suspect_until.move_to_end(node)
        if len(self._suspect_until) > MAX_SUSPECTS:
            self._suspect_until.popitem(last=False)
        return is_new

    def forget_old(self, now: float) -> None:
        """Forget the nodes that are suspected no more; the first that was suspected goes first."""
        while self._suspect_until and next(iter(self._suspect_until.values())) <= now:
            self._suspect_until.popitem(last=False)

    def rest_of(self, node: Address, now: float, is_alike: bool) -> float:
        """How long a connection to a node has to rest, in seconds.

        Args:
            node: Where it leads to.
            now: The present time.
            is_alike: Whether its last answer could not be distinguished from a second one of the same.
        """
        if self._suspect_until and now < self._suspect_until.get(node, 0.0):
            return SUSPECT_REUSE_AFTER.total_seconds()
        return REUSE_AFTER.total_seconds() if is_alike else 0.0
