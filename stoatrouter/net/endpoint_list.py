"""Parses messages of discovery's endpoint list; a malformed entry does not invalidate the others."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType
from typing import Any

from stoatrouter.core.model import NodeInfo
from stoatrouter.net.errors import MalformedList
from stoatrouter.policy.interface import Phase

FIRST_UNNAMED_ZONE = 1 << 16  # zones that the settings do not name have numbers from here on
MAX_FAULT_LENGTH = 200  # characters in the description of a fault
EMPTY_CACHE: Mapping[str, NodeInfo] = MappingProxyType({})
PHASES = {"SERVING": Phase.ON, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}


@dataclass(slots=True, frozen=True)
class ListMessage:
    """One parsed message of the endpoint list.

    Attributes:
        generation: The generation of the list after this message.
        complete: Whether it holds the complete list; otherwise it holds changes.
        nodes: The entries; a malformed one is omitted, or replaced by the cached node.
        faults: A description of each malformed entry.
    """

    generation: int
    complete: bool
    nodes: tuple[NodeInfo, ...]
    faults: tuple[str, ...]


def read_list(
    data: Any,
    cached: Mapping[str, NodeInfo] = EMPTY_CACHE,
    zones: tuple[str, ...] = (),
) -> ListMessage:
    """Parse a message.

    Args:
        data: The message as JSON data.
        cached: The nodes as last received, which replace malformed entries of a complete list.
        zones: The names of the zones, in the order in which the settings number them.

    Raises:
        MalformedList: The message as a whole violates the protocol.
    """
    try:
        generation = int(data["generation"])
        complete = bool(data["reset"])
        entries = data["instances"]
        if not isinstance(entries, list):
            raise TypeError("instances is not a list")
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise MalformedList(f"malformed list: {type(error).__name__}: {error}") from None
    nodes, faults = read_entries(entries, cached if complete else EMPTY_CACHE, zones)
    return ListMessage(generation, complete, nodes, faults)


def read_entries(
    entries: list[Any], cached: Mapping[str, NodeInfo], zones: tuple[str, ...]
) -> tuple[tuple[NodeInfo, ...], tuple[str, ...]]:
    """Parse the entries of a message; returns the valid ones and the faults of the others.

    A malformed entry is replaced by the node of the same name in `cached`, if there is one.
    """
    nodes: list[NodeInfo] = []
    faults: list[str] = []
    for entry in entries:
        # One malformed entry must not invalidate all others, as they may include drains of nodes.
        try:
            nodes.append(read_node(entry, zones))
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            faults.append(f"{name!r}: {type(error).__name__}: {error}"[:MAX_FAULT_LENGTH])
            # the node of a malformed entry must not count as removed either
            if isinstance(name, str) and name in cached:
                nodes.append(cached[name])
    return tuple(nodes), tuple(faults)


def zone_number(name: Any, zones: tuple[str, ...]) -> int:
    """Return the number of a zone in the settings.

    A zone that the settings do not name gets a number derived from its name. It has to be the same in every
    process, as some repeats are dropped only within one zone.
    """
    return zones.index(name) if name in zones else FIRST_UNNAMED_ZONE + zlib.crc32(str(name).encode())


def read_node(entry: dict[str, Any], zones: tuple[str, ...] = ()) -> NodeInfo:
    """Parse one entry; only the entry of a deleted node may have no address.

    Raises KeyError, TypeError or ValueError.
    """
    phase = PHASES[entry["lifecycle"]]
    address = str(entry.get("hostPort") or "")
    if not address and phase is not Phase.GONE:
        raise ValueError(f"no hostPort for {entry['instanceId']!r}")
    return NodeInfo(
        id=str(entry["instanceId"]),
        address=address,
        shard=int(entry.get("cell", -1)),
        phase=phase,
        zone=zone_number(entry.get("zone"), zones),
        weight=float(entry.get("weight") or 1.0),
        started=timedelta(milliseconds=int(entry.get("startedAtMs") or 0)),
    )
