"""The division of a head's memory: the program, its connections, and what peers may make it hold.

Whatever a peer can make a head hold is charged to one account (net/memory.py) before it is held. Connections
are the exception: their number is bounded, so their part is set aside as a whole.
"""

from __future__ import annotations

from dataclasses import dataclass

from stoatrouter.core.descriptors import Descriptors

MEGABYTE = 1_000_000  # bytes; the unit of the setting
USABLE_FRACTION = 0.86  # of the setting; the rest covers what an allocator loses to fragments
PROGRAM_BYTES = 46_000_000  # a head without connections and requests
# A connection with its transport, its parser, and one read of input.
CLIENT_CONNECTION_BYTES = 20 * 1024
NODE_CONNECTION_BYTES = 12 * 1024
# The most that connections may take of what the program leaves.
MAX_CLIENTS_FRACTION = 0.4
MAX_NODES_FRACTION = 0.1
# Of the account; the rest stays for requests beside large bodies.
LARGE_BODIES_FRACTION = 0.85
# An open request: its records, an answer that is checked as a whole, and what a slow reader leaves of it.
REQUEST_BYTES = 112 * 1024
# Of the account, and of the connections to nodes: a stream occupies one until its client has read it.
STREAMS_MEMORY_FRACTION = 0.6
STREAMS_CONNECTIONS_FRACTION = 0.5
SPENT_IDS_FRACTION = 0.05  # of what the program leaves
SPENT_ID_BYTES = 220  # an id with its time
VOLUMES_FRACTION = 0.08  # of what the program leaves
VOLUME_BYTES = 640  # a volume's record, and what parts of the decision module remember under its name
MIN_LEFT_BYTES = 2_000_000  # beside the program; with less, nothing could be served


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """The parts of a head's memory that depend on its peers, in bytes where not said otherwise."""

    account: int  # for all that is charged
    large_bodies: int  # the part of the account that bodies in files may use
    max_clients: int  # the number of clients' connections
    max_nodes: int  # the number of connections to nodes
    max_streams: int  # the number of answers that are streamed at once
    max_spent_ids: int  # the number of ids that are remembered (spent_ids.py)
    max_volumes: int  # the number of volumes with a record (policy/state.py)


def divide_memory(memory_mb: int, descriptors: Descriptors) -> MemoryBudget:
    """Divide `memory_mb` megabytes among the program, its connections, and the account."""
    left = max(MIN_LEFT_BYTES, int(memory_mb * MEGABYTE * USABLE_FRACTION) - PROGRAM_BYTES)
    clients = max(1, min(descriptors.clients, int(left * MAX_CLIENTS_FRACTION / CLIENT_CONNECTION_BYTES)))
    nodes = max(1, min(descriptors.nodes, int(left * MAX_NODES_FRACTION / NODE_CONNECTION_BYTES)))
    spent_ids = int(left * SPENT_IDS_FRACTION)
    volumes = int(left * VOLUMES_FRACTION)
    account = left - spent_ids - volumes - clients * CLIENT_CONNECTION_BYTES - nodes * NODE_CONNECTION_BYTES
    streams = min(nodes * STREAMS_CONNECTIONS_FRACTION, account * STREAMS_MEMORY_FRACTION / REQUEST_BYTES)
    return MemoryBudget(
        account,
        int(account * LARGE_BODIES_FRACTION),
        clients,
        nodes,
        max_streams=max(1, int(streams)),
        max_spent_ids=spent_ids // SPENT_ID_BYTES,
        max_volumes=volumes // VOLUME_BYTES,
    )
