"""A front's request to the core and the final answers it can get. Times are since the Unix epoch."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any


@dataclass(slots=True, frozen=True)
class Request:
    """A front's request to the core, which reads the fields down to `repeat`; the node reads the rest.

    Attributes:
        id: the request's name, unique among the open requests of a head; a second one is failed.
        request_class: index into the settings' classes, which bound its deadline.
        plan: index into the settings' plans: what the volume has bought.
        volume: the volume that the request addresses.
        key: the object within the volume.
        shard: the shard that holds the object; -1 for a new object, which any node takes.
        units: its cost, in the units of work that plans' rates count per second.
        hosts: through how many hosts the volume's requests arrive.
        time_left: from its arrival to its deadline, at most its class's.
        write: whether it changes stored data.
        repeat: whether its client marks it as a retry (on the platform API, `Req-Retry: 1`).
        method: the HTTP method forwarded to the node.
        target: the HTTP target (path and query) forwarded to the node.
        body: the body, as bytes, or the network code's stored form of a large one.
        idempotency_key: the client's `Idempotency-Key` header, if any.
        fields: header fields forwarded beside the protocol's own, as (name, value) pairs.
        pass_through: whatever a node answers below 500 is the answer, with its status and fields.
    """

    id: str
    request_class: int
    plan: int
    volume: str
    key: str
    shard: int  # -1: a new object, any node takes it
    units: float
    hosts: int
    time_left: timedelta
    write: bool
    repeat: bool = False

    method: str = "GET"
    target: str = "/"
    body: Any = b""  # bytes, or the network code's stored form of a large one
    idempotency_key: str | None = None
    fields: tuple[tuple[str, str], ...] = ()  # header fields beside the protocol's own
    pass_through: bool = False  # any answer of a node below 500 is the answer, with its status and fields


@dataclass(slots=True, frozen=True)
class Head:
    """The status and header fields of a node's answer, for a front that pass_through them on."""

    status: int
    fields: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class Served:
    """A node's answer, unchanged; `shard` is the shard that served it."""

    body: bytes
    shard: int = -1
    stream: Any = None  # of a large answer: streamed by the network code
    head: Head | None = None  # where the request pass_through it on


@dataclass(slots=True, frozen=True)
class Refused:
    """The request was not executed and may be repeated after `retry_after` (Retry-After); None: not known."""

    retry_after: timedelta | None


@dataclass(slots=True, frozen=True)
class Failed:
    """The request failed; it may or may not have been executed."""


Answer = Served | Refused | Failed
