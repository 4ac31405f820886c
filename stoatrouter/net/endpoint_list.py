"""Parses the messages of discovery's endpoint list; one unreadable entry leaves the others valid."""

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

FIRST_UNNAMED_ZONE = 1 << 16  # numbers from here on are of zones that the settings do not name
MAX_FAULT_LENGTH = 200  # characters of a fault's description
EMPTY_CACHE: Mapping[str, NodeInfo] = MappingProxyType({})
PHASES = {"SERVING": Phase.ON, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}


@dataclass(slots=True, frozen=True)
class ListMessage:
    """One parsed message of the endpoint list.

    Attributes:
        generation: The generation of the list after this message.
        complete: Whether it is the complete list; else it is changes.
        nodes: The entries; one that cannot be read is omitted, or replaced from the cache.
        faults: A description of each entry that cannot be read.
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
        cached: The entries as last read, which stand in for malformed ones of a complete list.
        zones: The zones by name, in the order in which the settings number them.

    Raises:
        MalformedList: The message as a whole breaks the protocol.
    """
    try:
        generation = int(data["generation"])
        complete = bool(data["reset"])
        entries = data["instances"]
        if not isinstance(entries, list):
            raise TypeError("instances is no list")
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise MalformedList(f"bad list: {type(error).__name__}: {error}") from None
    nodes, faults = read_entries(entries, cached if complete else EMPTY_CACHE, zones)
    return ListMessage(generation, complete, nodes, faults)


def read_entries(
    entries: list[Any], cached: Mapping[str, NodeInfo], zones: tuple[str, ...]
) -> tuple[tuple[NodeInfo, ...], tuple[str, ...]]:
    """Parse the entries of a message: those that can be read, and the faults of the others.

    An unreadable entry is replaced by the node of its name in `cached`, if there is one.
    """
    nodes: list[NodeInfo] = []
    faults: list[str] = []
    for entry in entries:
        # Guards the list against one malformed entry: it would void all others, and the drains among them.
        try:
            nodes.append(read_node(entry, zones))
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            faults.append(f"{name!r}: {type(error).__name__}: {error}"[:MAX_FAULT_LENGTH])
            # nor is the node that it stands for considered gone
            if isinstance(name, str) and name in cached:
                nodes.append(cached[name])
    return tuple(nodes), tuple(faults)


def zone_number(name: Any, zones: tuple[str, ...]) -> int:
    """A zone's number as the settings have it.

    A zone that the settings do not name gets a number of its own, the same in every process, as some repeats
    are dropped only within one zone.
    """
    return zones.index(name) if name in zones else FIRST_UNNAMED_ZONE + zlib.crc32(str(name).encode())


def read_node(entry: dict[str, Any], zones: tuple[str, ...] = ()) -> NodeInfo:
    """Parse one entry; only an entry of a node that is gone may lack its address.

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
