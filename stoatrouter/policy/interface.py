"""What goes into and comes out of the decision module, in the plain terms of the field.

All times are whole microseconds. Settings are fixed for the life of a scheduler; events come in, actions
go out. Nothing in this file decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any


class Effect(Enum):
    """What repeating a request does."""

    SAFE = "safe"  # repeating is harmless
    KEYED = "keyed"  # a group of nodes discards repeats for a while
    UNSAFE = "unsafe"  # a repeat takes effect again


class Group(Enum):
    """Which nodes discard a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Phase(Enum):
    """What the node list says of a node."""

    ON = "on"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of the node list is."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"  # the list as last seen before this start, possibly stale
    UNAVAILABLE = "unavailable"  # a call failed or the subscription dropped


class Outcome(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7
    NOT_BEGUN = 8  # on sockets: with a connection in hand, what had been decided held no longer

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.NOT_BEGUN)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    worth: float
    aim: int
    deadline: int
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    repeat_window: int = 0
    writes: bool = False
    in_turn: bool = False
    stream: bool = False

    def __post_init__(self) -> None:
        """Check the class's figures.

        Raises:
            ValueError: where a time is not positive, or a priority weight is negative.
        """
        if self.aim <= 0 or self.deadline <= 0 or self.repeat_window < 0:
            raise ValueError(f"class {self.name!r}: times must be positive")
        if self.worth < 0 or self.late_worth < 0:
            raise ValueError(f"class {self.name!r}: worth must not be negative")


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume has bought; rates are units a second over all hosts and nodes."""

    name: str
    usual_rate: float
    reserve: float = 0.0
    share: float = 1.0
    price: float = 1.0
    limit: float = 0.0  # 0: none
    burst: float = 0.0
    tolerance: float = 0.0

    def __post_init__(self) -> None:
        """Check the plan's figures.

        Raises:
            ValueError: where a figure is negative.
        """
        if min(self.usual_rate, self.reserve, self.share, self.limit, self.burst, self.tolerance) < 0:
            raise ValueError(f"plan {self.name!r}: figures must not be negative")


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the rules; None where a rule asks for nothing."""

    answer_slack: int = 0
    drain_grace: int = 0
    cold_from: float = 1.0
    cold_time: int = 0
    cold_units: float = 0.0  # units within fall_time, from all hosts, that a cold node always bears
    fall_time: int = 0
    fall_multiple: float = 1.0  # of what a cold node can do now, over fall_time: sent more, it falls over
    ask_within: int | None = None
    key_rest: int | None = None
    budget_time: int | None = None
    budget_free: float = 0.0
    budget_share: float = 0.0
    taken_on_arrival: bool = False  # a request takes its units of a limit where an attempt comes to a node

    def __post_init__(self) -> None:
        """Check the rules' figures.

        Raises:
            ValueError: where a time is negative, or `cold_from` is not above 0 and at most 1.
        """
        times = (
            self.answer_slack,
            self.drain_grace,
            self.cold_time,
            self.fall_time,
            self.ask_within or 0,
            self.key_rest or 0,
            self.budget_time or 0,
        )
        if min(times) < 0:
            raise ValueError("rules: times must not be negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("rules: cold_from must be above 0 and at most 1")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a scheduler is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    hosts: int = 1
    me: int = 0
    zone: int = 0
    tick: int = 1000
    max_attempts: int = 1
    parallel_attempts: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    takes_advice: bool = False
    max_advice: int = 0
    list_on_request: bool = False
    share_worth: float = 1.0  # part of the worth inside the share, beyond the reserve
    beyond_worth: float = 1.0  # part of the worth beyond both
    mean_units: float = 1.0
    max_units: float = 1.0
    meter_period: int = 0
    meters_others: bool = False
    report_fields: tuple[str, ...] = ()  # what load reports of nodes tell

    def __post_init__(self) -> None:
        """Check the settings.

        Raises:
            ValueError: where no class or plan is given, hosts or max_attempts is below 1, or a time is
                negative.
        """
        if not self.classes or not self.plans:
            raise ValueError("settings: at least one class and one plan are needed")
        if self.hosts < 1 or self.max_attempts < 1:
            raise ValueError("settings: hosts and max_attempts must be at least 1")
        if self.tick < 0 or self.meter_period < 0 or self.max_advice < 0:
            raise ValueError("settings: times must not be negative")


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One line of the node list."""

    node: str
    shard: int
    zone: int = 0
    phase: Phase = Phase.ON
    weight: float = 1.0
    up_since: int = 0  # 0: long ago


@dataclass(slots=True, frozen=True)
class NodeList:
    """The node list, or changes to it."""

    kind: ListKind
    entries: tuple[NodeEntry, ...] = ()
    since: int | None = None  # from when it may have counted as told; None: from now


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request, which this host now owes one final answer."""

    request: str
    volume: str
    plan: int
    request_class: int
    shard: int  # -1: a new object, any node takes it
    time_left: int
    units: float = 1.0
    hosts: int = 1  # through how many hosts the volume's requests come
    key: str | None = None
    repeat: bool = False
    write: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of one attempt."""

    request: str
    attempt: int
    node: str
    outcome: Outcome
    took: int
    finished: bool
    volume_percent: int = 0  # 1 + percent of the plan's usual rate served in a finished period; 0: none
    units_by_others: float = 0.0
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer of an attempt has begun; it now belongs to the client."""

    request: str
    attempt: int
    node: str


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """What a probe of a node found."""

    node: str
    outcome: Outcome
    took: int
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client of a request has left; nothing is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the scheduler set has come due."""

    token: int


Event = NodeList | RequestArrived | AttemptEnded | StreamStarted | ProbeEnded | ClientGone | TimerFired


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    request: str
    node: str
    timeout: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    request: str
    retry_in: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise."""

    request: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired with this token."""

    after: int
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the changes of the node list from now on."""


@dataclass(slots=True, frozen=True)
class ProbeNode:
    """Ask a node for its load."""

    node: str


Action = Send | Refuse | Fail | CancelAttempt | SetTimer | Subscribe | ProbeNode


# What a scheduler keeps of a request while it has it: a record, filled in by the decision module.
@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request; outcome is None while it is out; node is the module's own record."""

    node: Any
    sent: int
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether this attempt can have had an effect."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, eq=False)
class Request:
    """A request this host owes an answer for, or that still has an attempt out."""

    id: str
    kind: RequestClass
    volume: Any
    units: float
    key: str | None
    shard: int
    aim: int
    deadline: int
    write: bool
    half: int = 0  # from when a refusal comes too late to be of use, if nothing was written to a node
    wait_until: int = 0
    rest: int = 0  # until when its key rests once it is closed
    node: Any = None
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    charged: bool = False  # its units are off the limit's store
    streaming: bool = False

    def unsent(self) -> bool:
        """Whether no attempt of it has come to a node."""
        came_to_none = (Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.NOT_BEGUN)
        return all(a.outcome in came_to_none for a in self.attempts)

    def came(self) -> bool:
        """Whether the last byte of an attempt may have come to a node."""
        return any(a.outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_BEGUN) for a in self.attempts)

    def out(self) -> bool:
        """Whether an attempt is out."""
        return any(a.outcome is None for a in self.attempts)
