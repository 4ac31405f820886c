"""The budget of file descriptors: how many clients, nodes and operators may each hold.

Idle clients may take their whole budget while discovery is down; discovery, nodes and operators can still be
reached, as their budgets do not depend on what clients leave.
"""

from __future__ import annotations

from dataclasses import dataclass

OPERATORS = 12  # callers at the operators' address (management/calls.py), and some that end for them
DISCOVERY = 4  # the watch, the one after a change of address, and those that the system has not closed yet
FILES = 16  # standard streams, the loop's own, listening sockets, the old process, the state file
# clients that come before others have ended: client_table.SPARE_CONNECTIONS and two turns of MAX_ACCEPT_BATCH
ACCEPTING = 40
# Fractions of what remains; at a thousand descriptors and more a margin stays beside them, for large bodies
# stored in files.
CLIENTS_FRACTION = 0.58
NODES_FRACTION = 0.3
MAX_FIXED_FRACTION = 0.3  # of all


@dataclass(slots=True, frozen=True)
class Descriptors:
    """The budget of one head."""

    clients: int  # connections of clients, with or without a request
    nodes: int  # connections to nodes, in use or idle
    fixed: int = OPERATORS + DISCOVERY + FILES + ACCEPTING

    @property
    def total(self) -> int:
        """How many descriptors the budget gives out together."""
        return self.clients + self.nodes + self.fixed


def divide_descriptors(sockets: int) -> Descriptors:
    """Divide `sockets` descriptors.

    Down to 240 only the budgets of clients and nodes shrink. Below that all budgets shrink, at the cost of
    how many connections can be accepted at once.
    """
    fixed = min(Descriptors(0, 0).fixed, int(sockets * MAX_FIXED_FRACTION))
    remaining = sockets - fixed
    divided = CLIENTS_FRACTION + NODES_FRACTION
    clients = min(int(sockets * CLIENTS_FRACTION), int(remaining * CLIENTS_FRACTION / divided))
    nodes = min(int(sockets * NODES_FRACTION), int(remaining * NODES_FRACTION / divided))
    return Descriptors(max(1, clients), max(1, nodes), fixed)
