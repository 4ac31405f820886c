"""What both formats tell: members of a balancer, and the node list that a head starts from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class ImportFailed(Exception):
    """The file cannot be taken over; the text says where and why in one line."""


@dataclass(slots=True, frozen=True)
class Member:
    """One member of a balancer. Scheme ajp is a port that no head can speak to."""

    name: str
    scheme: str
    host: str
    port: int
    weight: float = 1.0
    serving: bool = True  # False: it is to get nothing new


@dataclass(slots=True)
class Imported:
    """All that was read, and in words what was not carried over."""

    balancers: dict[str, list[Member]] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        if text not in self.notes:
            self.notes.append(text)


def choose(found: Imported, name: str | None) -> list[Member]:
    """The members of the balancer that was asked for; it need not be named where there is only one."""
    if name is None and len(found.balancers) == 1:
        name = next(iter(found.balancers))
    if name not in found.balancers:
        known = ", ".join(found.balancers) or "none"
        raise ImportFailed(f"which balancer? the file has: {known}")
    if not found.balancers[name]:
        raise ImportFailed(f"balancer {name!r} has no members")
    return found.balancers[name]


def node_list(members: list[Member], http_port: int | None = None) -> dict[str, Any]:
    """The members in discovery's form. Each holds a shard of its own, in the order of the file."""
    entries, seen = [], set()
    for cell, m in enumerate(members):
        # Guards against two nodes under one id: one would take the other's place in the list.
        if m.name in seen:
            raise ImportFailed(f"two members are called {m.name!r}")
        seen.add(m.name)
        entries.append(
            {
                "instanceId": m.name,
                "hostPort": f"{host_of(m)}:{port_of(m, http_port)}",
                "zone": "a",
                "machineType": "imported",
                "cell": cell,
                "lifecycle": "SERVING" if m.serving else "DRAINING",
                "weight": m.weight,
                "startedAtMs": 0,
            }
        )
    return {"generation": 0, "reset": True, "instances": entries}


def host_of(member: Member) -> str:
    return f"[{member.host}]" if ":" in member.host else member.host


def port_of(member: Member, http_port: int | None) -> int:
    """The port on which a member speaks HTTP."""
    if member.scheme == "http":
        return member.port
    if member.scheme == "ajp" and http_port is not None:
        return http_port
    raise ImportFailed(
        f"{member.name!r} is reached by {member.scheme}; a head speaks plain HTTP: "
        "give its port with --http-port"
        if member.scheme == "ajp"
        else f"{member.name!r} is reached by {member.scheme}; a head speaks plain HTTP only"
    )


def read_port(text: str, where: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text) < 65536:
        raise ImportFailed(f"{where}: not a port: {text!r}")
    return int(text)


def read_weight(text: str, where: str) -> float:
    try:
        weight = float(text)
    except ValueError:
        weight = 0.0
    if not 0 < weight <= 1e6:
        raise ImportFailed(f"{where}: not a weight: {text!r}")
    return weight
