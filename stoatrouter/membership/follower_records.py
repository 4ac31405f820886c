"""The registry follower's settings, events and effects."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from stoatrouter.membership.backoff import Backoff


@dataclass(slots=True, frozen=True)
class Entry:
    """The value of a key, and the registry's revision (from 1) that set it."""

    revision: int
    value: bytes


@dataclass(slots=True, frozen=True)
class Change:
    """A key that was set at a revision, or removed if `value` is None."""

    key: str
    revision: int
    value: bytes | None


# -- events -------------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Started:
    """The program started at time `at`."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class CallEvent:
    """An event of a call: its time `at`, and the call's number."""

    at: timedelta
    call: int


@dataclass(slots=True, frozen=True)
class ListRead(CallEvent):
    """The answer to ReadList: all entries, by key, at one revision."""

    revision: int
    entries: Mapping[str, Entry]


@dataclass(slots=True, frozen=True)
class ChangesReceived(CallEvent):
    """A watch event: changes of one or more revisions, in order, up to `revision`.

    If not `complete`, further changes of the last revision follow in another event.
    """

    revision: int
    changes: tuple[Change, ...]
    complete: bool = True


@dataclass(slots=True, frozen=True)
class ProgressReceived(CallEvent):
    """A progress notification of the watch: all changes up to `revision` have been sent."""

    revision: int


@dataclass(slots=True, frozen=True)
class RevisionCompacted(CallEvent):
    """The registry no longer has the revision that the watch asked for: it has been compacted."""


@dataclass(slots=True, frozen=True)
class CallFailed(CallEvent):
    """A call failed, or its stream ended; `reason` is meant for logs."""

    reason: str = ""


@dataclass(slots=True, frozen=True)
class CredentialsRejected(CallEvent):
    """The registry rejected the credentials."""


@dataclass(slots=True, frozen=True)
class Tick:
    """The time is `at`; to be sent at the time of WakeAt, and allowed at any other time."""

    at: timedelta


Event = (
    Started
    | ListRead
    | ChangesReceived
    | ProgressReceived
    | RevisionCompacted
    | CallFailed
    | CredentialsRejected
    | Tick
)


# -- effects, to be executed in order -----------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class ReadList:
    """Read the complete list from the endpoint with index `endpoint`, as call number `call`."""

    call: int
    endpoint: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Watch an endpoint for changes after revision `after`."""

    call: int
    endpoint: int
    after: int


@dataclass(slots=True, frozen=True)
class CancelCall:
    """End a call; its events are no longer wanted."""

    call: int


@dataclass(slots=True, frozen=True)
class Notify:
    """Notify the core of the changes up to `revision`, in one step.

    If `resynchronised`, they are the difference to a newly read list.
    """

    revision: int
    changes: tuple[Change, ...]
    resynchronised: bool = False


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Send a Tick at this time; replaces any earlier WakeAt."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class RereadCredentials:
    """Read the credentials again before the next call."""


@dataclass(slots=True, frozen=True)
class OlderRevisionOffered:
    """Every endpoint offers an older revision than the cached one; `offered` is the latest of them.

    The registry was restored from a backup or replaced. The cached list stays in use until an operator
    accepts the older one.
    """

    cached_revision: int
    offered: int


Effect = ReadList | Watch | CancelCall | Notify | WakeAt | RereadCredentials | OlderRevisionOffered


class Phase(Enum):
    """The phase of the follower: idle, reading the list, watching it, or waiting in a backoff."""

    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"
    WAITING = "waiting"


@dataclass(slots=True, frozen=True)
class Limits:
    """The settings of the follower.

    Attributes:
        endpoints: The number of the registry's endpoints, which are indexed from 0.
        silence_timeout: How long a watch may go without any event, including progress, before it is ended.
        read_timeout: The timeout of reading the complete list.
        backoff: The backoff after failed calls.
    """

    endpoints: int = 1
    silence_timeout: timedelta = timedelta(seconds=5)
    read_timeout: timedelta = timedelta(seconds=10)
    backoff: Backoff = field(default_factory=Backoff)
