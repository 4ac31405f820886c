"""The registry follower's settings, its events and its effects."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from stoatrouter.membership.backoff import Backoff


@dataclass(slots=True, frozen=True)
class Entry:
    """The value of a key, and the revision (the registry's, from 1) that set it."""

    revision: int
    value: bytes


@dataclass(slots=True, frozen=True)
class Change:
    """A key that was set, or removed (None), at a revision."""

    key: str
    revision: int
    value: bytes | None


# -- events: what has happened, and when --------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Started:
    """The program started at time `at`: the first call is due."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class CallEvent:
    """An event of a call: the time `at` which it happened, and the call's number."""

    at: timedelta
    call: int


@dataclass(slots=True, frozen=True)
class ListRead(CallEvent):
    """The complete list, `entries` by key, at one revision; the answer of call number `call`."""

    revision: int
    entries: Mapping[str, Entry]


@dataclass(slots=True, frozen=True)
class ChangesReceived(CallEvent):
    """A watch event: changes of one or more revisions, in order, up to `revision`.

    Not `complete`: the changes of the last revision have not all come yet.
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
    """A call failed, or its stream ended; `reason` is for logs."""

    reason: str = ""


@dataclass(slots=True, frozen=True)
class CredentialsRejected(CallEvent):
    """The registry rejected the credentials."""


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; it is due at the time of WakeAt, and does no harm at any other."""

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


# -- effects: what is to be done, in order ------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class ReadList:
    """Read the complete list at the endpoint numbered `endpoint` (from 0), as call number `call`."""

    call: int
    endpoint: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Watch an endpoint for all changes after revision `after`."""

    call: int
    endpoint: int
    after: int


@dataclass(slots=True, frozen=True)
class CancelCall:
    """End a call; its events are no longer wanted."""

    call: int


@dataclass(slots=True, frozen=True)
class Notify:
    """Notify the changes up to `revision` in one step.

    `resynchronised`: they are the difference to a list read again.
    """

    revision: int
    changes: tuple[Change, ...]
    resynchronised: bool = False


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Send a Tick at this time; only the latest one counts."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class RereadCredentials:
    """Read the credentials again before the next call."""


@dataclass(slots=True, frozen=True)
class OlderRevisionOffered:
    """Every endpoint offers an older revision, `offered`, than the one cached, `cached_revision`.

    The registry was restored, or is another one. The cached list stays until an operator accepts the older
    copy.
    """

    cached_revision: int
    offered: int


Effect = ReadList | Watch | CancelCall | Notify | WakeAt | RereadCredentials | OlderRevisionOffered


class Phase(Enum):
    """The state of the follower: idle, reading the list, watching it, or in a backoff."""

    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"
    WAITING = "waiting"


@dataclass(slots=True, frozen=True)
class Limits:
    """The settings of the follower.

    Attributes:
        endpoints: How many endpoints the registry has; they are numbered from 0.
        silence_timeout: How long a watch may go without an event, progress included, before it is left.
        read_timeout: How long a read of the complete list may take.
        backoff: The backoff between failed calls.
    """

    endpoints: int = 1
    silence_timeout: timedelta = timedelta(seconds=5)
    read_timeout: timedelta = timedelta(seconds=10)
    backoff: Backoff = field(default_factory=Backoff)
