"""The JSON format of the state that processes of a head hand over or save."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from stoatrouter.core.durations import from_microseconds, to_microseconds
from stoatrouter.core.model import AdministrativeState, NodeInfo
from stoatrouter.policy.interface import Phase

PARSE_ERRORS = (KeyError, TypeError, AttributeError, OverflowError, ValueError)


JsonObject = dict[str, Any]


@dataclass(slots=True, frozen=True)
class OpenResources:
    """What a process still has open while its successor serves, as limits apply to both together."""

    clients: int = 0  # client connections
    connections: int = 0  # connections to nodes
    attempts: dict[str, int] = field(default_factory=dict)  # attempts in flight, by node
    busy: int = 0  # client connections with an open request
    spent: tuple[str, ...] = ()  # ids that nodes are about to run


def write_open_resources(open_resources: OpenResources) -> JsonObject:
    """Return the open resources as plain data, to be read by read_open_resources."""
    return {
        "clients": open_resources.clients,
        "connections": open_resources.connections,
        "out": open_resources.attempts,
        "busy": open_resources.busy,
    } | ({"spent": list(open_resources.spent)} if open_resources.spent else {})


def read_open_resources(data: Any) -> OpenResources:
    """Read the output of write_open_resources; missing figures count as zero.

    Raises TypeError, ValueError or AttributeError if a figure is malformed.
    """
    return OpenResources(
        clients=int(data.get("clients", 0)),
        connections=int(data.get("connections", 0)),
        attempts=dict(data.get("out", {})),
        busy=int(data.get("busy", 0)),
        spent=read_spent(data),
    )


def read_spent(data: Any) -> tuple[str, ...]:
    """Return the ids that the other process is about to have run; raises as read_open_resources does."""
    return tuple(str(request) for request in data.get("spent", ()))


def write_administrative_state(administrative_state: AdministrativeState) -> JsonObject:
    """Return the administrative state as plain data; times are in microseconds since the Unix epoch."""
    return {
        "out": {node: to_microseconds(at) for node, at in administrative_state.out.items()},
        "back": {
            node: [to_microseconds(since), to_microseconds(until)]
            for node, (since, until) in administrative_state.back.items()
        },
    }


def read_administrative_state(data: Any) -> AdministrativeState:
    """Read the output of write_administrative_state; raises ValueError if it is malformed."""
    try:
        return AdministrativeState(
            {str(node): from_microseconds(int(at)) for node, at in data["out"].items()},
            {
                str(node): (from_microseconds(int(since)), from_microseconds(int(until)))
                for node, (since, until) in data["back"].items()
            },
        )
    except PARSE_ERRORS as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def write_node(node: NodeInfo) -> list[Any]:
    """Return a node as a list of plain data, to be read by read_node."""
    return [
        node.id,
        node.address,
        node.shard,
        node.phase.name,
        node.zone,
        node.weight,
        to_microseconds(node.started),
    ]


def read_node(data: Any) -> NodeInfo:
    """Read the output of write_node; raises ValueError if it is malformed."""
    try:
        name, address, shard, phase, zone, weight, started = data
        return NodeInfo(
            str(name),
            str(address),
            int(shard),
            Phase[phase],
            int(zone),
            float(weight),
            from_microseconds(int(started)),
        )
    except PARSE_ERRORS as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
