"""The JSON form of state that processes of one head hand over or save."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from stoatrouter.core.model import AdministrativeState, NodeInfo
from stoatrouter.core.spans import micros, span
from stoatrouter.policy.interface import Phase

PARSE_ERRORS = (KeyError, TypeError, AttributeError, OverflowError, ValueError)


JsonObject = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Holdings:
    """What a process still has open while its successor serves; both count as one head."""

    clients: int = 0  # connections of clients
    connections: int = 0  # to nodes
    attempts: dict[str, int] = field(default_factory=dict)  # in flight, by node
    busy: int = 0  # connections of clients with a request open


def write_holdings(holdings: Holdings) -> JsonObject:
    """The holdings as plain data, which read_holdings reads."""
    return {
        "clients": holdings.clients,
        "connections": holdings.connections,
        "out": holdings.attempts,
        "busy": holdings.busy,
    }


def read_holdings(data: Any) -> Holdings:
    """Read what write_holdings wrote; what is missing counts as nothing.

    Raises TypeError, ValueError or AttributeError where a figure is malformed.
    """
    return Holdings(
        clients=int(data.get("clients", 0)),
        connections=int(data.get("connections", 0)),
        attempts=dict(data.get("out", {})),
        busy=int(data.get("busy", 0)),
    )


def write_administrative_state(administrative_state: AdministrativeState) -> JsonObject:
    """The administrative state as plain data; times in microseconds since the Unix epoch."""
    return {
        "out": {node: micros(at) for node, at in administrative_state.out.items()},
        "back": {
            node: [micros(since), micros(until)] for node, (since, until) in administrative_state.back.items()
        },
    }


def read_administrative_state(data: Any) -> AdministrativeState:
    """Read what write_administrative_state wrote; raises ValueError where it is anything else."""
    try:
        return AdministrativeState(
            {str(node): span(int(at)) for node, at in data["out"].items()},
            {
                str(node): (span(int(since)), span(int(until)))
                for node, (since, until) in data["back"].items()
            },
        )
    except PARSE_ERRORS as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def write_node(node: NodeInfo) -> list[Any]:
    """A node as a list of plain data, which read_node reads."""
    return [node.id, node.address, node.shard, node.phase.name, node.zone, node.weight, micros(node.started)]


def read_node(data: Any) -> NodeInfo:
    """Read what write_node wrote; raises ValueError where it is anything else."""
    try:
        name, address, shard, phase, zone, weight, started = data
        return NodeInfo(
            str(name), str(address), int(shard), Phase[phase], int(zone), float(weight), span(int(started))
        )
    except PARSE_ERRORS as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
