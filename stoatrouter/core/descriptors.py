"""The budget of file descriptors, divided among clients, nodes and operators.

Clients cannot use more than their budget. Even when idle clients exhaust it while discovery is down,
discovery, nodes and operators can still be reached.
"""

from __future__ import annotations

from dataclasses import dataclass

# Callers at the operators' address (management/calls.py), and some connections being closed to admit them.
OPERATOR_DESCRIPTORS = 12
# The watch, its successor after a change of address, and those that the system has not closed yet.
DISCOVERY_DESCRIPTORS = 4
FILE_DESCRIPTORS = 16  # standard streams, the loop's own, listening sockets, the old process, the state file
# Clients accepted before others have closed: client_table.SPARE_CONNECTIONS and two rounds of
# MAX_ACCEPT_BATCH.
ACCEPT_DESCRIPTORS = 40
# Fractions of the remainder. From a thousand descriptors on, they leave a margin for large bodies stored in
# files.
CLIENTS_FRACTION = 0.58
NODES_FRACTION = 0.3
MAX_FIXED_FRACTION = 0.3  # of all descriptors


@dataclass(slots=True, frozen=True)
class Descriptors:
    """The descriptor budget of one head."""

    clients: int  # connections of clients, with or without a request
    nodes: int  # connections to nodes, in use or idle
    fixed: int = OPERATOR_DESCRIPTORS + DISCOVERY_DESCRIPTORS + FILE_DESCRIPTORS + ACCEPT_DESCRIPTORS

    @property
    def total(self) -> int:
        """The number of descriptors in the whole budget."""
        return self.clients + self.nodes + self.fixed


def divide_descriptors(sockets: int) -> Descriptors:
    """Divide `sockets` descriptors among clients, nodes and fixed uses.

    Down to 240 descriptors, only the budgets of clients and nodes shrink. Below that, all budgets shrink, and
    fewer connections can be accepted at once.
    """
    fixed = min(Descriptors(0, 0).fixed, int(sockets * MAX_FIXED_FRACTION))
    remaining = sockets - fixed
    divided = CLIENTS_FRACTION + NODES_FRACTION
    clients = min(int(sockets * CLIENTS_FRACTION), int(remaining * CLIENTS_FRACTION / divided))
    nodes = min(int(sockets * NODES_FRACTION), int(remaining * NODES_FRACTION / divided))
    return Descriptors(max(1, clients), max(1, nodes), fixed)
