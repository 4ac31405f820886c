"""Who may hold how many of a head's descriptors: one stated budget, so that nobody's take from another's.

Clients that only rest may take all of their part while discovery is down; discovery is still reached the
moment it returns, nodes are dialled and operators heard, as none of these depends on what clients left over.
"""

from __future__ import annotations

from dataclasses import dataclass

OPERATORS = 12  # callers at the operators' address (management/calls.py), and some that end for them
DISCOVERY = 4  # the watch, the one that follows a move, and those that the system has not taken back yet
FILES = 16  # standard streams, the loop's own, listening sockets, the old process, a keyed file being written
ACCEPTING = 40  # clients that come before others have ended: clients.SPARE, two turns of ACCEPT_AT_ONCE
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
        return self.clients + self.nodes + self.fixed


def share_out(sockets: int) -> Descriptors:
    """Deal out what a head may hold. Down to 240 the parts of clients and nodes shrink and not the others';
    below, all shrink together, at the cost of what is accepted in one moment."""
    fixed = min(Descriptors(0, 0).fixed, int(sockets * LARGEST_FIXED))
    left, whole = sockets - fixed, CLIENTS + NODES
    return Descriptors(
        max(1, min(int(sockets * CLIENTS), int(left * CLIENTS / whole))),
        max(1, min(int(sockets * NODES), int(left * NODES / whole))),
        fixed,
    )
