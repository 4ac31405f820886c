"""The interface of the decision module: settings, events and actions.

All times are whole microseconds. Settings are fixed for the life of a scheduler; it takes events and returns
actions. This module holds data definitions only.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # a repeat has no effect
    IDEMPOTENT = "keyed"  # a group of nodes discards repeats by their idempotency key for a while
    UNSAFE = "unsafe"  # a repeat takes effect again


class Group(Enum):
    """The nodes that discard the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # those of the zone that has seen it
    SHARD = "shard"  # those of the shard that has seen it


class Phase(Enum):
    """A node's phase in the endpoint list."""

    ON = "on"
    DRAINING = "draining"  # accepts work for a grace only
    GONE = "gone"


class ListKind(Enum):
    """The kind of a message of the endpoint list."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"  # the last list known before this start, possibly stale
    UNAVAILABLE = "unavailable"  # a call has failed, or the subscription was dropped


class Outcome(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    FULL = 2  # the node's queue was full: the attempt never ran
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5  # the connection broke after the request was sent
    CANCELLED = 6
    MOOT = 7  # the node lacks the data or is gone, or the request is over: the attempt never ran
    NOT_BEGUN = 8  # not sent: once it had a connection, the decision to send was no longer valid

    @property
    def never_ran(self) -> bool:
        """Return whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.NOT_BEGUN)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests."""

    name: str
    priority_weight: float
    latency_objective: int  # microseconds from arrival
    deadline: int  # microseconds from arrival: the longest that a client waits
    late_weight_factor: float = 0.0  # on the priority weight once the objective is missed
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    repeat_window: int = 0  # microseconds: how long repeats of an idempotent request are discarded
    writes: bool = False
    ordered_by_key: bool = False  # one request per key at a time, in order of arrival
    stream: bool = False  # answers are streamed

    def __post_init__(self) -> None:
        """Validate the class.

        Raises:
            ValueError: if a time is not positive, or a priority weight is negative.
        """
        if self.latency_objective <= 0 or self.deadline <= 0 or self.repeat_window < 0:
            raise ValueError(f"class {self.name!r}: times must be positive")
        if self.priority_weight < 0 or self.late_weight_factor < 0:
            raise ValueError(f"class {self.name!r}: priority weights must not be negative")


@dataclass(slots=True, frozen=True)
class Plan:
    """The plan that a volume has bought; rates are units per second over all hosts and nodes."""

    name: str
    usual_rate: float
    reserve: float = 0.0  # a rate that is served first
    weight: float = 1.0  # in weighted fair queueing of the work beyond the reserve
    price: float = 1.0  # of a unit; scales the priority weight
    limit: float = 0.0  # the maximum rate; 0: no limit
    burst: float = 0.0  # units: the capacity of the limit's token bucket
    tolerance: float = 0.0  # units: how far the bucket may go below zero

    def __post_init__(self) -> None:
        """Validate the plan.

        Raises:
            ValueError: if a figure is negative.
        """
        if min(self.usual_rate, self.reserve, self.weight, self.limit, self.burst, self.tolerance) < 0:
            raise ValueError(f"plan {self.name!r}: figures must not be negative")


@dataclass(slots=True, frozen=True)
class Rules:
    """Parameters of the rules, times in microseconds; None disables a rule."""

    answer_slack: int = 0
    drain_grace: int = 0  # how long a draining node still accepts work
    warm_up_from: float = 1.0  # the fraction of its capacity that a node has at its start
    warm_up_time: int = 0  # from a node's start until it has its full capacity
    warm_up_units: float = 0.0  # within overload_window, from all hosts: a warming-up node always takes these
    overload_window: int = 0  # over which a node's overload is measured
    overload_multiple: float = 1.0  # of a node's capacity in overload_window; beyond it, the node fails
    poll_within: int | None = None
    key_hold_down: int | None = None  # how long a key waits after an attempt of unknown outcome
    retry_budget_window: int | None = None  # the sliding window of the retry budget
    retry_budget_min: float = 0.0  # retries that are always allowed within the window
    retry_budget_ratio: float = 0.0  # additional retries allowed per arrival within the window
    charged_on_arrival: bool = False  # units are charged to a limit only if an attempt arrives at a node

    def __post_init__(self) -> None:
        """Validate the rules.

        Raises:
            ValueError: if a time is negative, or `warm_up_from` is not above 0 and at most 1.
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
    """The settings of a scheduler."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    hosts: int = 1  # number of hosts that use the nodes
    host_index: int = 0  # this host's number among them, from 0
    zone: int = 0
    tick: int = 1000  # microseconds: the clock's resolution
    max_attempts: int = 1  # of one request, the first included
    parallel_attempts: bool = False  # whether requests may be hedged
    may_cancel: bool = False
    health_checks: bool = False  # whether nodes may be asked for load reports
    accepts_retry_after: bool = False  # whether clients honour a Retry-After
    max_retry_after: int = 0  # microseconds
    must_subscribe: bool = False  # whether watch events require a subscription
    quota_weight_factor: float = 1.0  # on the priority weight beyond the reserve, within the quota
    excess_weight_factor: float = 1.0  # on the priority weight beyond both
    mean_units: float = 1.0  # of a request
    max_units: float = 1.0  # of a request
    meter_period: int = 0  # microseconds
    meters_others: bool = False  # whether answers state the units that other hosts were served
    report_fields: tuple[str, ...] = ()  # fields of the nodes' load reports

    def __post_init__(self) -> None:
        """Validate the settings.

        Raises:
            ValueError: if there is no class or plan, hosts or max_attempts is below 1, or a time is negative.
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
    since: int | None = None  # the earliest time from which its phases may have been binding; None: now


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request has arrived; this host owes it exactly one final answer."""

    request: str
    volume: str
    plan: int  # index in the settings
    request_class: int  # index in the settings
    shard: int  # -1: a new object, which any node accepts
    time_left: int  # microseconds until its client gives up
    units: float = 1.0
    hosts: int = 1  # number of hosts through which the volume's requests arrive
    key: str | None = None
    repeat: bool = False  # the client has sent it before
    write: bool = False  # it changes data, even if its class does not say so


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended."""

    request: str
    attempt: int
    node: str
    outcome: Outcome
    took: int  # microseconds
    finished: bool  # this outcome is the request's final answer
    volume_percent: int = 0  # 1 + percent of the plan's usual rate served in a finished period; 0: none
    units_by_others: float = 0.0  # of the volume, served to other hosts since the last answer
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class AttemptStalled:
    """The answer of an attempt has begun, and no more of it has come for a while; it may still end well."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer of an attempt has begun and is being streamed to the client."""

    request: str
    attempt: int
    node: str


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check of a node has ended."""

    node: str
    outcome: Outcome
    took: int  # microseconds
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client of a request has left; no answer is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by the scheduler has expired."""

    token: int


Event = (
    EndpointList
    | RequestArrived
    | AttemptEnded
    | AttemptStalled
    | StreamStarted
    | HealthCheckEnded
    | ClientGone
    | TimerFired
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; the attempts of a request are numbered from 0 in the order of these actions."""

    request: str
    node: str
    timeout: int  # microseconds


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected; a retry by the client is harmless, as it cannot take effect twice."""

    request: str
    retry_after: int = 0  # microseconds; 0: at once, or not known


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may or may not have taken effect."""

    request: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event with this token."""

    after: int  # microseconds
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to watch events of the endpoint list."""


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Request a node's load report."""

    node: str


Action = Send | Reject | Fail | CancelAttempt | SetTimer | Subscribe | CheckHealth
