"""Members of balancers, read from either format, and the node list built from them for a head."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_PORT = 65535
MAX_WEIGHT = 1e6


class ImporterError(Exception):
    """A file cannot be imported; the message is one line with the place and the reason."""


@dataclass(slots=True, frozen=True)
class Member:
    """One member of a balancer.

    The scheme is the protocol by which the file addresses the member; heads do not support `ajp`. A member
    that is not serving is listed, but gets no new requests.
    """

    name: str
    scheme: str
    host: str
    port: int
    weight: float = 1.0
    serving: bool = True


@dataclass(slots=True)
class ImportedBalancers:
    """The balancers of a file by name, and notes for the user on what was not imported."""

    balancers: dict[str, list[Member]] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)

    def add_note(self, text: str) -> None:
        """Add a note unless it is already present."""
        if text not in self.notes:
            self.notes.append(text)


def select_members(imported: ImportedBalancers, name: str | None) -> list[Member]:
    """Return the members of a balancer; the name may be None if the file has only one balancer.

    Raises:
        ImporterError: There is no such balancer, or it has no members.
    """
    if name is None and len(imported.balancers) == 1:
        name = next(iter(imported.balancers))
    if name not in imported.balancers:
        known = ", ".join(imported.balancers) or "none"
        raise ImporterError(f"which balancer? the file has: {known}")
    if not imported.balancers[name]:
        raise ImporterError(f"balancer {name!r} has no members")
    return imported.balancers[name]


def node_list(members: list[Member], http_port: int | None = None) -> dict[str, Any]:
    """Return the members as a complete list in discovery's format; each gets its own shard, in file order.

    Args:
        members: The members of one balancer.
        http_port: The HTTP port of members that the file addresses by AJP.

    Raises:
        ImporterError: Two members have the same name, or a member cannot be reached by plain HTTP.
    """
    entries = []
    names = set()
    for shard, member in enumerate(members):
        # Of two nodes with the same id, one would replace the other in the list.
        if member.name in names:
            raise ImporterError(f"two members have the name {member.name!r}")
        names.add(member.name)
        entries.append(
            {
                "instanceId": member.name,
                "hostPort": f"{url_host(member.host)}:{member_http_port(member, http_port)}",
                "zone": "a",
                "machineType": "imported",
                "cell": shard,
                "lifecycle": "SERVING" if member.serving else "DRAINING",
                "weight": member.weight,
                "startedAtMs": 0,
            }
        )
    return {"generation": 0, "reset": True, "instances": entries}


def url_host(host: str) -> str:
    """Return a host as written in a URL, with an IPv6 address in brackets (RFC 3986, 3.2.2)."""
    return f"[{host}]" if ":" in host else host


def member_http_port(member: Member, http_port: int | None) -> int:
    """Return the HTTP port of a member; `http_port` for members that the file addresses by AJP.

    Raises:
        ImporterError: The port is unknown, or the member's scheme is not supported.
    """
    if member.scheme == "http":
        return member.port
    if member.scheme == "ajp" and http_port is not None:
        return http_port
    problem = f"{member.name!r} is addressed by {member.scheme}; heads support plain HTTP"
    if member.scheme == "ajp":
        raise ImporterError(f"{problem}: give its port with --http-port")
    raise ImporterError(f"{problem} only")


def read_port(text: str, where: str) -> int:
    """Parse a TCP port; `where` is its place in the file.

    Raises:
        ImporterError: The text is not a number from 1 to 65535.
    """
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_PORT:
        raise ImporterError(f"{where}: not a port: {text!r}")
    return int(text)


def read_weight(text: str, where: str) -> float:
    """Parse a member's weight, relative to those of the others; `where` is its place in the file.

    Raises:
        ImporterError: The text is not a number above 0 and up to `MAX_WEIGHT`.
    """
    try:
        weight = float(text)
    except ValueError:
        weight = 0.0
    if not 0 < weight <= MAX_WEIGHT:
        raise ImporterError(f"{where}: not a weight: {text!r}")
    return weight
