"""What both formats yield: the members of balancers, and the node list that a head starts from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_PORT = 65535
MAX_WEIGHT = 1e6


class ImporterError(Exception):
    """A file that cannot be taken over; the text says where and why in one line."""


@dataclass(slots=True, frozen=True)
class Member:
    """One member of a balancer.

    The scheme is that by which the file reaches it; no head can speak to a port of scheme `ajp`. One that
    is not serving is listed, but gets no new requests.
    """

    name: str
    scheme: str
    host: str
    port: int
    weight: float = 1.0
    serving: bool = True


@dataclass(slots=True)
class ImportedBalancers:
    """The balancers of a file by name, and notes, for people, of what was not carried over."""

    balancers: dict[str, list[Member]] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)

    def add_note(self, text: str) -> None:
        """Add a note that is not there yet."""
        if text not in self.notes:
            self.notes.append(text)


def select_members(imported: ImportedBalancers, name: str | None) -> list[Member]:
    """The members of a balancer; its name may be None where the file has only one.

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
    """The members as a complete list in discovery's form; each has a shard of its own, in the file's order.

    Args:
        members: The members of one balancer.
        http_port: The port at which members that the file reaches by AJP speak HTTP.

    Raises:
        ImporterError: Two members have one name, or a member cannot be reached by plain HTTP.
    """
    entries = []
    names = set()
    for shard, member in enumerate(members):
        # Guards against two nodes under one id: one would take the other's place in the list.
        if member.name in names:
            raise ImporterError(f"two members are called {member.name!r}")
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
    """A host as in a URL: an IPv6 address is put in brackets (RFC 3986, 3.2.2)."""
    return f"[{host}]" if ":" in host else host


def member_http_port(member: Member, http_port: int | None) -> int:
    """The port at which a member speaks HTTP; `http_port` for those that the file reaches by AJP.

    Raises:
        ImporterError: None is known.
    """
    if member.scheme == "http":
        return member.port
    if member.scheme == "ajp" and http_port is not None:
        return http_port
    what = f"{member.name!r} is reached by {member.scheme}; a head speaks plain HTTP"
    if member.scheme == "ajp":
        raise ImporterError(f"{what}: give its port with --http-port")
    raise ImporterError(f"{what} only")


def read_port(text: str, where: str) -> int:
    """A TCP port; `where` is its place in the file.

    Raises:
        ImporterError: It is no number from 1 to 65535.
    """
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_PORT:
        raise ImporterError(f"{where}: not a port: {text!r}")
    return int(text)


def read_weight(text: str, where: str) -> float:
    """A member's weight, relative to that of the others; `where` is its place in the file.

    Raises:
        ImporterError: It is no number above 0 and up to `MAX_WEIGHT`.
    """
    try:
        weight = float(text)
    except ValueError:
        weight = 0.0
    if not 0 < weight <= MAX_WEIGHT:
        raise ImporterError(f"{where}: not a weight: {text!r}")
    return weight
