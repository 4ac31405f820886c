"""Requests, answers, events and effects of the core. Times are since the Unix epoch."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from cypressworks import interface as api


@dataclass(slots=True, frozen=True)
class Request:
    """What a front asks of the core. The core reads the upper fields; the lower ones are for the node."""

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
    """A node's answer, unchanged; shard tells where it was served."""

    body: bytes
    shard: int = -1
    flow: Any = None  # of a large one, what the network passes on as it comes
    head: Head | None = None  # where the request passes it on


@dataclass(slots=True, frozen=True)
class Refused:
    """Turned away: trying again is harmless, and best after retry_in; None: nobody knows when."""

    retry_in: timedelta | None


@dataclass(slots=True, frozen=True)
class Failed:
    """Failed, with no promise about what happened."""


Answer = Served | Refused | Failed


@dataclass(slots=True, frozen=True)
class NodeInfo:
    """One line of the node list."""

    id: str
    address: str
    shard: int
    phase: api.Phase
    zone: int = 0
    weight: float = 1.0
    started: timedelta = timedelta(0)  # since the epoch; 0: long ago


@dataclass(slots=True)
class AdministrativeState:
    """The nodes that operators have taken out of service, as an overlay over what discovery lists.

    It survives new node lists and is carried over to the next process of this head.
    """

    out: dict[str, timedelta] = field(default_factory=dict)  # since when
    back: dict[str, tuple[timedelta, timedelta]] = field(default_factory=dict)  # out since, back since

    def put_out(self, node: str, now: timedelta) -> None:
        since, _ = self.back.pop(node, (now, now))
        self.out.setdefault(node, min(since, now))

    def put_back(self, node: str, now: timedelta) -> None:
        if (since := self.out.pop(node, None)) is not None:
            self.back[node] = (since, now)

    def seen(self, node: NodeInfo) -> NodeInfo:
        """A listed node as the module is to see it."""
        if node.id in self.out:
            return node if node.phase is api.Phase.GONE else replace(node, phase=api.Phase.DRAINING)
        since, back = self.back.get(node.id, (node.started, node.started))
        if node.started < since:
            # Guards a node that was restarted while it was out, which the list may not tell yet: it is cold.
            return replace(node, started=back)
        return node


# -- events: what has happened, and when --------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Arrived:
    at: timedelta
    request: Request


@dataclass(slots=True, frozen=True)
class TurnedAway:
    """A request for which there was no room, refused before it was taken up."""

    at: timedelta
    request_class: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
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
    """An answer that was passed on as it came has ended: whole, broken off, or its client has left (None)."""

    at: timedelta
    request: str
    whole: bool | None


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    at: timedelta
    node: str
    outcome: api.Outcome
    took: timedelta
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class ListTold:
    at: timedelta
    kind: api.ListKind
    nodes: tuple[NodeInfo, ...] = ()
    since: timedelta | None = None  # from when it may have counted as told; None: from now


@dataclass(slots=True, frozen=True)
class ClientLeft:
    at: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class TimerDue:
    at: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The last moment for a final answer; it comes for every request and should find it answered."""

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
    """The next process takes over: it is told all, and this one only ends what it has."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class TakenBack:
    """The next process is gone; operators may have taken nodes out or put them back since."""

    at: timedelta
    administrative_state: AdministrativeState


@dataclass(slots=True, frozen=True)
class TakenOver:
    """The process before has told all that it knew."""

    at: timedelta
    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]


@dataclass(slots=True, frozen=True)
class AttemptsElsewhere:
    """How many attempts the process before still has out, by node."""

    at: timedelta
    counts: dict[str, int]


Event = (
    Arrived
    | TurnedAway
    | AttemptEnded
    | FlowEnded
    | ProbeEnded
    | ListTold
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
    request: Request
    attempt: int
    address: str
    timeout: timedelta  # for all of it, connecting included


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    node: str
    address: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    after: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class WatchOverdue:
    after: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class GiveAnswer:
    request: str
    answer: Answer


@dataclass(slots=True, frozen=True)
class TurnAway:
    """The answer to an arrival that was not taken up; another request may be open under its id."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class SaveAdministrativeState:
    """Save the administrative state to disk before anybody is told of the change."""


@dataclass(slots=True, frozen=True)
class HandoverState:
    """All that the next process needs of the core."""

    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]


Effect = (
    SendAttempt
    | CancelAttempt
    | Probe
    | SetTimer
    | WatchOverdue
    | GiveAnswer
    | TurnAway
    | SaveAdministrativeState
    | HandoverState
)


# -- what the reducer keeps ---------------------------------------------------------------------------------
@dataclass(slots=True)
class Attempt:
    node: str
    shard: int
    sent: timedelta
    out: bool = True
    never_ran: bool = False  # as its end has shown


@dataclass(slots=True)
class Record:
    request: Request
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    def may_have_run(self) -> bool:
        return any(not attempt.never_ran for attempt in self.attempts)

    def over(self) -> bool:
        return self.answered and not any(a.out for a in self.attempts)


@dataclass(slots=True)
class Counters:
    """What the operators are told of: counts since the start, by class, and what is open now."""

    ok: list[int]
    shed: list[int]
    errors: list[int]
    active: int = 0

    def count(self, request_class: int, answer: Answer) -> None:
        """One request, one class, one of three ends."""
        ends = {Served: self.ok, Refused: self.shed, Failed: self.errors}[type(answer)]
        ends[request_class] += 1


@dataclass(slots=True)
class Tally:
    """Counts for the log."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def take(self) -> dict[str, Any]:
        taken, self.counts = self.counts, {}
        return taken
