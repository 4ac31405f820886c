"""Converts the core's requests and nodes to the decision module's events and entries."""

from __future__ import annotations

from stoatrouter.core import model
from stoatrouter.core.durations import to_microseconds
from stoatrouter.policy import interface as api


def request_arrived(request: model.Request) -> api.RequestArrived:
    """Convert an admitted request to the decision module's event."""
    return api.RequestArrived(
        request=request.id,
        volume=request.volume,
        plan=request.plan,
        request_class=request.request_class,
        shard=request.shard,
        time_left=to_microseconds(request.time_left),
        units=request.units,
        hosts=request.hosts,
        key=request.key,
        repeat=request.repeat,
        write=request.write,
    )


def node_entry(node: model.NodeInfo) -> api.NodeEntry:
    """Convert a listed node to the decision module's entry; start time in microseconds since the epoch."""
    return api.NodeEntry(
        node.id, node.shard, node.zone, node.phase, node.weight, to_microseconds(node.started)
    )
