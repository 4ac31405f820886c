"""Requests, answers, events and effects of the core. All times are since the Unix epoch."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from cypressworks import interface as api


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


@dataclass(slots=True, frozen=True)
class NodeInfo:
    """One entry of the node list."""

    id: str
    address: str
    shard: int
    phase: api.Phase
    zone: int = 0
    weight: float = 1.0
    started: timedelta = timedelta(0)  # since the epoch; 0: long ago


@dataclass(slots=True)
class AdministrativeState:
    """Nodes that operators took out of service, over all node lists and processes of this head."""

    out: dict[str, timedelta] = field(default_factory=dict)  # since when
    back: dict[str, tuple[timedelta, timedelta]] = field(default_factory=dict)  # out since, back since

    def put_out(self, node: str, now: timedelta) -> None:
        """Mark a node as out since now; if it was put back meanwhile, since it first was out."""
        since, _ = self.back.pop(node, (now, now))
        self.out.setdefault(node, min(since, now))

    def put_back(self, node: str, now: timedelta) -> None:
        """Mark a node as back since now; without effect on a node that is not out."""
        if (since := self.out.pop(node, None)) is not None:
            self.back[node] = (since, now)

    def seen(self, node: NodeInfo) -> NodeInfo:
        """A listed node as the decision module is to see it, with its phase or start time overridden."""
        if node.id in self.out:
            return node if node.phase is api.Phase.GONE else replace(node, phase=api.Phase.DRAINING)
        since, back = self.back.get(node.id, (node.started, node.started))
        if node.started < since:
            # Guards a node that was restarted while it was out, which the list may not say: it warms up.
            return replace(node, started=back)
        return node


# -- events: what has happened, and when --------------------------------------------------------------------
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
    flow: Any = None
    head: Head | None = None


@dataclass(slots=True, frozen=True)
class FlowEnded:
    """A streamed answer has ended: `complete` True, cut off (False), or its client has left (None)."""

    at: timedelta
    request: str
    complete: bool | None


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check of a node's load has ended; `took` is how long it lasted."""

    at: timedelta
    node: str
    outcome: api.Outcome
    took: timedelta
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """Discovery has sent the complete endpoint list, or changes to it."""

    at: timedelta
    kind: api.ListKind
    nodes: tuple[NodeInfo, ...] = ()
    since: timedelta | None = None  # from when it may have counted as notified; None: from now


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client of a request has closed its connection before the answer."""

    at: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer that was set by SetTimer has expired."""

    at: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The deadline of a request has passed; it is reported for every request, answered or not."""

    at: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class SetAdministrativeState:
    """An operator takes a node out of service, or puts it back."""

    at: timedelta
    node: str
    out: bool


@dataclass(slots=True, frozen=True)
class HandedOver:
    """The next process takes over: it is sent all state, and this one only finishes its requests."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class TakenBack:
    """The next process has died; operators may have changed the administrative state since."""

    at: timedelta
    administrative_state: AdministrativeState


@dataclass(slots=True, frozen=True)
class TakenOver:
    """The previous process has sent its state."""

    at: timedelta
    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]


@dataclass(slots=True, frozen=True)
class AttemptsElsewhere:
    """How many attempts the previous process still has open, by node."""

    at: timedelta
    counts: dict[str, int]


Event = (
    Arrived
    | RejectedByFront
    | AttemptEnded
    | FlowEnded
    | HealthCheckEnded
    | EndpointListReceived
    | ClientLeft
    | TimerDue
    | Overdue
    | SetAdministrativeState
    | HandedOver
    | TakenBack
    | TakenOver
    | AttemptsElsewhere
)


# -- effects: what is to be done ----------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send a request to a node, as one attempt."""

    request: Request
    attempt: int
    address: str
    timeout: timedelta  # for all of it, connecting included


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; its end is still reported by AttemptEnded."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Run a health check of a node: ask it for its load."""

    node: str
    address: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Report TimerDue with this token after this time."""

    after: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class WatchOverdue:
    """Report Overdue for this request after this time."""

    after: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class GiveAnswer:
    """Give a request its final answer."""

    request: str
    answer: Answer


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """The answer to a request that was not admitted; another request may be open under its id."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class SaveAdministrativeState:
    """Save the administrative state to disk; it comes before any other effect of the change."""


@dataclass(slots=True, frozen=True)
class HandoverState:
    """The state of the core that the next process needs."""

    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]


Effect = (
    SendAttempt
    | CancelAttempt
    | CheckHealth
    | SetTimer
    | WatchOverdue
    | GiveAnswer
    | RejectRequest
    | SaveAdministrativeState
    | HandoverState
)


# -- what the reducer keeps ---------------------------------------------------------------------------------
@dataclass(slots=True)
class Attempt:
    """One attempt at a node, as the reducer keeps it."""

    node: str
    shard: int
    sent: timedelta
    out: bool = True
    never_ran: bool = False  # as its end has shown


@dataclass(slots=True)
class Record:
    """A request that is not yet answered or has an attempt open."""

    request: Request
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    def may_have_run(self) -> bool:
        """Whether any node may have executed the request."""
        return any(not attempt.never_ran for attempt in self.attempts)

    def over(self) -> bool:
        """Whether the request is answered and no attempt is open."""
        return self.answered and not any(a.out for a in self.attempts)


@dataclass(slots=True)
class Counters:
    """Counters and gauges for operators: answers by class since the start, and open requests."""

    ok: list[int]
    shed: list[int]
    errors: list[int]
    active: int = 0

    def count(self, request_class: int, answer: Answer) -> None:
        """Count a final answer under its class and kind."""
        ends = {Served: self.ok, Refused: self.shed, Failed: self.errors}[type(answer)]
        ends[request_class] += 1


@dataclass(slots=True)
class Tally:
    """Counts that are written to the log from time to time."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str) -> None:
        """Count one occurrence under a name."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def take(self) -> dict[str, Any]:
        """Return the counts since the last call, and start again from none."""
        taken, self.counts = self.counts, {}
        return taken
