"""What goes into and comes out of the decision module: settings, events and actions.

All times are whole microseconds. Settings are fixed for each scheduler; events come in, actions
go out. Nothing in this file decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # nothing: a repeat is harmless
    IDEMPOTENT = "keyed"  # by an idempotency key: a group of nodes discards repeats for a while
    UNSAFE = "unsafe"  # a repeat takes effect again


class Group(Enum):
    """Which nodes discard the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # those of the zone that has seen it
    SHARD = "shard"  # those of the shard that has seen it


class Phase(Enum):
    """What the endpoint list says of a node."""

    ON = "on"
    DRAINING = "draining"  # accepts work for a grace only
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
    FULL = 2  # the node's queue is full: it never ran
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5  # the connection broke after the request was sent
    CANCELLED = 6
    MOOT = 7  # the node does not hold the data or is gone, or the request is over: it never ran
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
    latency_objective: int  # microseconds from the arrival
    deadline: int  # microseconds from the arrival: the longest that a client waits
    late_weight_factor: float = 0.0  # of the priority weight once the objective is missed
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    repeat_window: int = 0  # microseconds: how long repeats of an idempotent request are discarded
    writes: bool = False
    ordered_by_key: bool = False  # one request of a key at a time, in order of arrival
    stream: bool = False  # answers are streamed

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
    reserve: float = 0.0  # a rate that is served first
    weight: float = 1.0  # in weighted fair queueing of what goes beyond the reserve
    price: float = 1.0  # of a unit; it scales the priority weight
    limit: float = 0.0  # the highest rate; 0: none
    burst: float = 0.0  # units: the capacity of the limit's token bucket
    tolerance: float = 0.0  # units: how far below empty the bucket may sink

    def __post_init__(self) -> None:
        """Check the plan's figures.

        Raises:
            ValueError: where a figure is negative.
        """
        if min(self.usual_rate, self.reserve, self.weight, self.limit, self.burst, self.tolerance) < 0:
            raise ValueError(f"plan {self.name!r}: figures must not be negative")


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the rules, times in microseconds; None where a rule asks for nothing."""

    answer_slack: int = 0
    drain_grace: int = 0  # how long a draining node still accepts work
    warm_up_from: float = 1.0  # the part of its capacity that a node has at its start
    warm_up_time: int = 0  # from a node's start until it has its whole capacity
    warm_up_units: float = 0.0  # within overload_window, from all hosts, that a warming-up node always bears
    overload_window: int = 0  # over which a node's overload is counted
    overload_multiple: float = 1.0  # of what a node can do in overload_window; beyond it, it fails
    poll_within: int | None = None
    key_hold_down: int | None = None  # how long a key waits after an attempt of unknown outcome
    retry_budget_window: int | None = None  # the sliding window of the retry budget
    retry_budget_min: float = 0.0  # retries that are always allowed within the window
    retry_budget_ratio: float = 0.0  # retries allowed beyond these, for each arrival within the window
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
    """All that a scheduler is given at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    hosts: int = 1  # that use the nodes
    host_index: int = 0  # of this host among them, from 0
    zone: int = 0
    tick: int = 1000  # microseconds: the clock's resolution
    max_attempts: int = 1  # of one request
    parallel_attempts: bool = False  # whether requests may be hedged
    may_cancel: bool = False
    health_checks: bool = False  # whether nodes may be asked for load reports
    accepts_retry_after: bool = False  # whether clients heed a Retry-After
    max_retry_after: int = 0  # microseconds
    must_subscribe: bool = False  # whether watch events must be asked for
    quota_weight_factor: float = 1.0  # of the priority weight inside the quota, beyond the reserve
    excess_weight_factor: float = 1.0  # of the priority weight beyond both
    mean_units: float = 1.0  # of a request
    max_units: float = 1.0  # of a request
    meter_period: int = 0  # microseconds
    meters_others: bool = False  # whether answers name the units that other hosts were served
    report_fields: tuple[str, ...] = ()  # of nodes' load reports

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
    up_since: int = 0  # microseconds on the host's clock; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list, or a watch event with changes to it."""

    kind: ListKind
    entries: tuple[NodeEntry, ...] = ()
    since: int | None = None  # from when its phases may have counted; None: from now


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request, which this host now owes one final answer."""

    request: str
    volume: str
    plan: int  # index in the settings
    request_class: int  # index in the settings
    shard: int  # -1: a new object, any node takes it
    time_left: int  # microseconds until its client leaves
    units: float = 1.0
    hosts: int = 1  # through how many hosts the volume's requests come
    key: str | None = None
    repeat: bool = False  # the client sent it before
    write: bool = False  # it changes data, though its class does not say so


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of one attempt."""

    request: str
    attempt: int
    node: str
    outcome: Outcome
    took: int  # microseconds
    finished: bool  # the request has its final answer by this
    volume_percent: int = 0  # 1 + percent of the plan's usual rate served in a finished period; 0: none
    units_by_others: float = 0.0  # of the volume, served to other hosts since the last answer
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
    took: int  # microseconds
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
    timeout: int  # microseconds


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected before it could take effect twice; a retry is harmless."""

    request: str
    retry_after: int = 0  # microseconds; 0: at once, or not known


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

    after: int  # microseconds
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for watch events of the endpoint list from now on."""


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Ask a node for its load report."""

    node: str


Action = Send | Reject | Fail | CancelAttempt | SetTimer | Subscribe | CheckHealth
