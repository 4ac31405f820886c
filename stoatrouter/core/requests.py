"""A front's request to the core and the final answers it can get. Times are since the Unix epoch."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any


@dataclass(slots=True, frozen=True)
class Request:
    """A front's request to the core, which uses the fields up to `repeat`; the others are for the node.

    Attributes:
        id: unique among the open requests of a head; a second request with the same id fails.
        request_class: index into the settings' classes, which bound its deadline.
        plan: index into the settings' plans, for the plan that the volume has bought.
        volume: the volume that the request addresses.
        key: the object within the volume.
        shard: the shard that holds the object; -1 for a new object, which any node accepts.
        units: its cost, in the units of work to which the plans' rates refer.
        hosts: number of hosts through which the volume's requests arrive.
        time_left: from its arrival to its deadline; at most the deadline of its class.
        write: whether it changes stored data.
        repeat: whether its client marked it as a retry (on the platform API, `Req-Retry: 1`).
        method: the HTTP method forwarded to the node.
        target: the HTTP target (path and query) forwarded to the node.
        body: the body, as bytes, or the network code's stored form of a large one.
        idempotency_key: the client's `Idempotency-Key` header, if any.
        fields: header fields forwarded in addition to the protocol's own, as (name, value) pairs.
        pass_through: whether a node's answer below 500 is passed on with its status and fields.
    """

    id: str
    request_class: int
    plan: int
    volume: str
    key: str
    shard: int  # -1: a new object, which any node accepts
    units: float
    hosts: int
    time_left: timedelta
    write: bool
    repeat: bool = False

    method: str = "GET"
    target: str = "/"
    body: Any = b""  # bytes, or the network code's stored form of a large one
    idempotency_key: str | None = None
    fields: tuple[tuple[str, str], ...] = ()  # header fields in addition to the protocol's own
    pass_through: bool = False  # a node's answer below 500 is passed on with its status and fields


@dataclass(slots=True, frozen=True)
class Head:
    """The status and header fields of a node's answer, for a front that passes them on."""

    status: int
    fields: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class Served:
    """A node's answer, unchanged; `shard` is the shard that served it."""

    body: bytes
    shard: int = -1
    stream: Any = None  # for a large answer, streamed by the network code
    head: Head | None = None  # only if the request has `pass_through`


@dataclass(slots=True, frozen=True)
class Refused:
    """The request was not executed; it may be repeated after `retry_after` (Retry-After; None: unknown)."""

    retry_after: timedelta | None


@dataclass(slots=True, frozen=True)
class Failed:
    """The request failed; it may or may not have been executed."""


Answer = Served | Refused | Failed
