"""The budget of file descriptors: how many clients, nodes and operators may each hold.

Idle clients may take their whole share while discovery is down; discovery, nodes and operators can still be
reached, as their shares do not depend on what clients leave.
"""

from __future__ import annotations

from dataclasses import dataclass

OPERATORS = 12  # callers at the operators' address (management/calls.py), and some that end for them
DISCOVERY = 4  # the watch, the one that follows a move, and those that the system has not taken back yet
FILES = 16  # standard streams, the loop's own, listening sockets, the old process, a keyed file being written
# clients that come before others have ended: client_table.SPARE_CONNECTIONS and two turns of ACCEPT_AT_ONCE
ACCEPTING = 40
# parts of what is left; at a thousand descriptors and more a margin stays beside them, for large bodies kept
# in files
CLIENTS, NODES, LARGEST_FIXED = 0.58, 0.3, 0.3


@dataclass(slots=True, frozen=True)
class Descriptors:
    """The budget of one head."""

    clients: int  # connections of clients, with or without a request
    nodes: int  # connections to nodes, in use or idle
    fixed: int = OPERATORS + DISCOVERY + FILES + ACCEPTING

    @property
    def all(self) -> int:
        """How many descriptors the budget gives out in all."""
        return self.clients + self.nodes + self.fixed


def divide_descriptors(sockets: int) -> Descriptors:
    """Divide `sockets` descriptors.

    Down to 240 only the shares of clients and nodes shrink. Below that all shares shrink, at the cost of how
    many connections can be accepted at once.
    """
    fixed = min(Descriptors(0, 0).fixed, int(sockets * LARGEST_FIXED))
    left, whole = sockets - fixed, CLIENTS + NODES
    return Descriptors(
        max(1, min(int(sockets * CLIENTS), int(left * CLIENTS / whole))),
        max(1, min(int(sockets * NODES), int(left * NODES / whole))),
        fixed,
    )
