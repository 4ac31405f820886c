"""Reuse delays: how long a connection to a node stays unused after an answer, to detect duplicate answers.

An answer carries no request id. If a node sends one twice, the duplicate would be given to the next request
on the connection, and that request's own answer to the one after it. Bytes that arrive during the delay are
unsolicited: they belong to no request, so the connection is closed (`node_connection`). Bytes that arrive
later, after the next request was written, cannot be distinguished from its answer.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

REUSE_DELAY = timedelta(milliseconds=50)  # after an answer whose duplicate could not be detected
SUSPECT_REUSE_DELAY = timedelta(milliseconds=100)  # for a node that recently sent unsolicited bytes
SUSPICION_DURATION = timedelta(seconds=30)  # how long a node stays suspect after unsolicited bytes
MAX_SUSPECTS = 4_096  # beyond this, the one that sent unsolicited bytes longest ago is dropped


class Address(NamedTuple):
    """The host and port of a node."""

    host: str
    port: int


class ReuseDelays:
    """The reuse delays of connections, by node; times are in seconds of the loop."""

    def __init__(self) -> None:
        """Start without suspect nodes."""
        self._suspect_until: OrderedDict[Address, float] = OrderedDict()

    def record_unsolicited_bytes(self, node: Address, now: float) -> bool:
        """Record that a node sent unsolicited bytes; returns whether it is newly suspect."""
        is_new = now >= self._suspect_until.get(node, 0.0)
        self._suspect_until[node] = now + SUSPICION_DURATION.total_seconds()
        self._suspect_until.move_to_end(node)
        if len(self._suspect_until) > MAX_SUSPECTS:
            self._suspect_until.popitem(last=False)
        return is_new

    def forget_old(self, now: float) -> None:
        """Drop the nodes that are no longer suspect; they are ordered by their last unsolicited bytes."""
        while self._suspect_until and next(iter(self._suspect_until.values())) <= now:
            self._suspect_until.popitem(last=False)

    def delay_for(self, node: Address, now: float, needs_delay: bool) -> float:
        """Return the reuse delay of a connection to a node, in seconds.

        Args:
            node: The address of the node.
            now: The current time.
            needs_delay: Whether a duplicate of its last answer could not be detected.
        """
        if self._suspect_until and now < self._suspect_until.get(node, 0.0):
            return SUSPECT_REUSE_DELAY.total_seconds()
        return REUSE_DELAY.total_seconds() if needs_delay else 0.0
