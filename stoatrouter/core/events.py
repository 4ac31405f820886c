"""Events: what has happened and when; the reducer processes them one by one. Times are since the epoch."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from stoatrouter.core.nodes import AdministrativeState, NodeInfo
from stoatrouter.core.requests import Head, Request
from stoatrouter.policy import interface as api


@dataclass(slots=True, frozen=True)
class Arrived:
    """A front has received a request."""

    at: timedelta
    request: Request


@dataclass(slots=True, frozen=True)
class RejectedByFront:
    """A front rejected a request for lack of capacity, before it entered the core."""

    at: timedelta
    request_class: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt at a node has ended, with its outcome and what the node reported."""

    at: timedelta
    request: str
    attempt: int
    outcome: api.Outcome
    body: bytes = b""
    units_by_others: float = 0.0
    load: dict[str, float] | None = None
    stream: Any = None
    head: Head | None = None


@dataclass(slots=True, frozen=True)
class StreamEnded:
    """A streamed answer has ended; `complete` is False if it was cut off, None if its client has left."""

    at: timedelta
    request: str
    complete: bool | None


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check of a node has ended; `took` is its duration."""

    at: timedelta
    node: str
    outcome: api.Outcome
    took: timedelta
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class AttemptStalled:
    """The answer of an attempt has begun, and no more of it has come for a while."""

    at: timedelta
    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """Discovery has sent the complete endpoint list, or changes to it."""

    at: timedelta
    kind: api.ListKind
    nodes: tuple[NodeInfo, ...] = ()
    since: timedelta | None = None  # the earliest time at which this head may count as notified; None: now


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client of a request has closed its connection before the answer."""

    at: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer set by SetTimer has expired."""

    at: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The deadline of a request has passed; reported for every request, whether answered or not."""

    at: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class SetAdministrativeState:
    """An operator has taken a node out of service, or put it back."""

    at: timedelta
    node: str
    out: bool


@dataclass(slots=True, frozen=True)
class HandedOver:
    """The next process takes over: it gets all state, and this process only finishes its requests."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class TakenBack:
    """The next process has died; operators may have changed the administrative state in the meantime."""

    at: timedelta
    administrative_state: AdministrativeState


@dataclass(slots=True, frozen=True)
class TakenOver:
    """The previous process has sent its state."""

    at: timedelta
    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]
    clock_offset: timedelta = timedelta(0)  # what to add to the times in `module`
    spent: list[list[Any]] = field(default_factory=list)  # ids (core/spent_ids.py)


@dataclass(slots=True, frozen=True)
class AttemptsElsewhere:
    """The previous process has reported how many attempts it still has in flight, by node."""

    at: timedelta
    counts: dict[str, int]


@dataclass(slots=True, frozen=True)
class SpentElsewhere:
    """The other process of an upgrade is about to send requests with these ids to nodes."""

    at: timedelta
    requests: tuple[str, ...]


ControlEvent = (
    SetAdministrativeState | HandedOver | TakenBack | TakenOver | AttemptsElsewhere | SpentElsewhere
)

Event = (
    Arrived
    | RejectedByFront
    | AttemptEnded
    | AttemptStalled
    | StreamEnded
    | HealthCheckEnded
    | EndpointListReceived
    | ClientLeft
    | TimerDue
    | Overdue
    | ControlEvent
)
