"""What goes into and comes out of the decision module, in the plain terms of the field.

All times are whole microseconds. Settings are fixed for the life of a scheduler; events come in, actions
go out. Nothing in this file decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What repeating a request does."""

    SAFE = "safe"  # repeating is harmless
    IDEMPOTENT = "keyed"  # by an idempotency key: a group of nodes discards repeats for a while
    UNSAFE = "unsafe"  # a repeat takes effect again


class Group(Enum):
    """Which nodes discard the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Phase(Enum):
    """What the endpoint list says of a node."""

    ON = "on"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of the endpoint list is."""

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
    priority_weight: float
    latency_objective: int
    deadline: int
    late_weight_factor: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    repeat_window: int = 0
    writes: bool = False
    ordered_by_key: bool = False
    stream: bool = False

    def __post_init__(self) -> None:
        """Check the class's figures.

        Raises:
            ValueError: where a time is not positive, or a priority weight is negative.
        """
        if self.latency_objective <= 0 or self.deadline <= 0 or self.repeat_window < 0:
            raise ValueError(f"class {self.name!r}: times must be positive")
        if self.priority_weight < 0 or self.late_weight_factor < 0:
            raise ValueError(f"class {self.name!r}: priority weights must not be negative")


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume has bought; rates are units a second over all hosts and nodes."""

    name: str
    usual_rate: float
    reserve: float = 0.0
    weight: float = 1.0  # in weighted fair queueing of what goes beyond the reserve
    price: float = 1.0
    limit: float = 0.0  # 0: none
    burst: float = 0.0
    tolerance: float = 0.0

    def __post_init__(self) -> None:
        """Check the plan's figures.

        Raises:
            ValueError: where a figure is negative.
        """
        if min(self.usual_rate, self.reserve, self.weight, self.limit, self.burst, self.tolerance) < 0:
            raise ValueError(f"plan {self.name!r}: figures must not be negative")


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the rules; None where a rule asks for nothing."""

    answer_slack: int = 0
    drain_grace: int = 0
    warm_up_from: float = 1.0
    warm_up_time: int = 0
    warm_up_units: float = 0.0  # within overload_window, from all hosts, that a warming-up node always bears
    overload_window: int = 0
    overload_multiple: float = 1.0  # of what a node can do in overload_window; beyond it, it fails
    poll_within: int | None = None
    key_hold_down: int | None = None
    retry_budget_window: int | None = None
    retry_budget_min: float = 0.0
    retry_budget_ratio: float = 0.0
    charged_on_arrival: bool = False  # units are charged to a limit once an attempt arrives at a node

    def __post_init__(self) -> None:
        """Check the rules' figures.

        Raises:
            ValueError: where a time is negative, or `warm_up_from` is not above 0 and at most 1.
        """
        times = (
            self.answer_slack,
            self.drain_grace,
            self.warm_up_time,
            self.overload_window,
            self.poll_within or 0,
            self.key_hold_down or 0,
            self.retry_budget_window or 0,
        )
        if min(times) < 0:
            raise ValueError("rules: times must not be negative")
        if not 0 < self.warm_up_from <= 1:
            raise ValueError("rules: warm_up_from must be above 0 and at most 1")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a scheduler is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    hosts: int = 1
    host_index: int = 0
    zone: int = 0
    tick: int = 1000
    max_attempts: int = 1
    parallel_attempts: bool = False
    may_cancel: bool = False
    health_checks: bool = False
    accepts_retry_after: bool = False
    max_retry_after: int = 0
    must_subscribe: bool = False
    quota_weight_factor: float = 1.0  # of the priority weight inside the quota, beyond the reserve
    excess_weight_factor: float = 1.0  # of the priority weight beyond both
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
        if self.tick < 0 or self.meter_period < 0 or self.max_retry_after < 0:
            raise ValueError("settings: times must not be negative")


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One endpoint of the endpoint list."""

    node: str
    shard: int
    zone: int = 0
    phase: Phase = Phase.ON
    weight: float = 1.0
    up_since: int = 0  # 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list, or a watch event with changes to it."""

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
class HealthCheckEnded:
    """The outcome of a health check of a node."""

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


Event = (
    EndpointList | RequestArrived | AttemptEnded | StreamStarted | HealthCheckEnded | ClientGone | TimerFired
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    request: str
    node: str
    timeout: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected before it could take effect twice; a retry is harmless."""

    request: str
    retry_after: int = 0


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
    """Ask for watch events of the endpoint list from now on."""


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Ask a node for its load report."""

    node: str


Action = Send | Reject | Fail | CancelAttempt | SetTimer | Subscribe | CheckHealth
