"""A front's request to the core and the final answers it can get. Times are since the Unix epoch."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any


@dataclass(slots=True, frozen=True)
class Request:
    """A front's request to the core, which reads the fields down to `repeat`; the node reads the rest."""

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
    body: Any = b""  # bytes, or what the network keeps of a large one
    idempotency_key: str | None = None
    fields: tuple[tuple[str, str], ...] = ()  # header fields beside the protocol's own
    passes: bool = False  # whatever a node says below 500 is the answer, with its status and fields


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
    flow: Any = None  # of a large one, what the network passes on as it comes
    head: Head | None = None  # where the request passes it on


@dataclass(slots=True, frozen=True)
class Refused:
    """The request was not executed and may be repeated after `retry_in`; None: no time is known."""

    retry_in: timedelta | None


@dataclass(slots=True, frozen=True)
class Failed:
    """The request failed; it may or may not have been executed."""


Answer = Served | Refused | Failed
