"""The JSON form of state that processes of one head hand over or save."""

from __future__ import annotations

from typing import Any

from stoatrouter.core.model import AdministrativeState, NodeInfo
from stoatrouter.core.spans import micros, span
from stoatrouter.policy.interface import Phase

UNREADABLE = (KeyError, TypeError, AttributeError, OverflowError, ValueError)


def write_administrative_state(administrative_state: AdministrativeState) -> dict[str, Any]:
    """The administrative state as plain data; times in microseconds since the Unix epoch."""
    return {
        "out": {node: micros(at) for node, at in administrative_state.out.items()},
        "back": {node: [micros(a), micros(b)] for node, (a, b) in administrative_state.back.items()},
    }


def read_administrative_state(data: Any) -> AdministrativeState:
    """Read what write_administrative_state wrote; raises ValueError where it is anything else."""
    try:
        return AdministrativeState(
            {str(node): span(int(at)) for node, at in data["out"].items()},
            {str(node): (span(int(a)), span(int(b))) for node, (a, b) in data["back"].items()},
        )
    except UNREADABLE as error:
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
    except UNREADABLE as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
