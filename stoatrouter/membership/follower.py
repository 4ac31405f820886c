"""Follows an endpoint list in a key-value registry without missing, repeating or reordering changes.

It reads the complete list, watches it from that revision on, and resumes the watch after any break, with
a backoff. It is a state machine, `step(event) -> effects`, that knows nothing of protocols (dialects make
events of them), sockets or clocks. Each call that it asks for has a number; events of a finished call are
dropped. It caches what it has notified, so that after a resynchronisation only the difference is notified,
in one step.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum

from stoatrouter.membership.backoff import Backoff

MOST_FRAGMENT = 100_000  # changes of one revision that are buffered until the rest of them has come


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


# -- events: what has happened, and when. `call` is the number of the call that it came of ------------------
@dataclass(slots=True, frozen=True)
class Started:
    """The program has started at time `at`: the first call is due."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class Read:
    """The complete list, `entries` by key, at one revision; the answer of call number `call`."""

    at: timedelta
    call: int
    revision: int
    entries: Mapping[str, Entry]


@dataclass(slots=True, frozen=True)
class Changed:
    """A watch event: changes of one or more revisions, in order, up to `revision`.

    Not `complete`: the changes of the last revision have not all come yet.
    """

    at: timedelta
    call: int
    revision: int
    changes: tuple[Change, ...]
    complete: bool = True


@dataclass(slots=True, frozen=True)
class Progress:
    """A progress notification of the watch: all changes up to `revision` have been sent."""

    at: timedelta
    call: int
    revision: int


@dataclass(slots=True, frozen=True)
class Compacted:
    """The registry no longer has the revision that the watch asked for: it has been compacted."""

    at: timedelta
    call: int


@dataclass(slots=True, frozen=True)
class Broken:
    """A call failed, or its stream ended; `why` says how, for logs."""

    at: timedelta
    call: int
    why: str = ""


@dataclass(slots=True, frozen=True)
class Refused:
    """The registry rejected the credentials."""

    at: timedelta
    call: int


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; it is due at the time of WakeAt, and does no harm at any other."""

    at: timedelta


Event = Started | Read | Changed | Progress | Compacted | Broken | Refused | Tick


# -- effects: what is to be done, in order ------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class ReadAll:
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
class End:
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
class RereadToken:
    """Read the credentials again before the next call."""


@dataclass(slots=True, frozen=True)
class OlderCopy:
    """Every endpoint offers an older revision, `offered`, than the one cached, `cached_revision`.

    The registry was restored, or is another one. The cached list stays until an operator accepts the older
    copy.
    """

    cached_revision: int
    offered: int


Effect = ReadAll | Watch | End | Notify | WakeAt | RereadToken | OlderCopy


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
        silence: How long a watch may go without an event, progress included, before it is left.
        read_within: How long a read of the complete list may take.
        backoff: The backoff between failed calls.
    """

    endpoints: int = 1
    silence: timedelta = timedelta(seconds=5)
    read_within: timedelta = timedelta(seconds=10)
    backoff: Backoff = field(default_factory=Backoff)


class Follower:
    """Follows one endpoint list; all of its state changes in `step`."""

    def __init__(
        self,
        limits: Limits,
        seed: int,
        cached: Mapping[str, Entry] | None = None,
        revision: int | None = None,
    ) -> None:
        """Start idle.

        Args:
            limits: The settings.
            seed: Draws the first endpoint and the backoff's jitter; differs between heads.
            cached: The entries that the core already knows, if any, e.g. from a file.
            revision: The revision up to which `cached` is complete; None: nothing is cached.
        """
        self.limits, self.seed = limits, seed
        self.notified: dict[str, Entry] = dict(cached or {})  # what the core knows
        self.revision = revision  # up to which all has been notified; None: nothing is cached
        self.phase = Phase.IDLE
        self.call = 0  # the number of the call at hand
        self.endpoint = seed % limits.endpoints  # heads spread over the endpoints
        self.failures = 0  # in a row
        self.older: dict[int, int] = {}  # endpoints that offered an older revision in turn, and which
        self.fragments: list[Change] = []
        self.due: timedelta | None = None  # when something is overdue, or a wait is over
        self.resync = False  # a read is needed before a watch

    def step(self, event: Event) -> list[Effect]:
        """Take one event; returns the effects to run, in order."""
        call = getattr(event, "call", None)
        # Guards against what a call still says that was given up: it may be older than what is cached by now.
        if call is not None and call != self.call:
            return []
        match event:
            case Started():
                return self.begin(event.at)
            case Read():
                return self.read(event)
            case Changed():
                return self.changed(event)
            case Progress():
                return self.progress(event)
            case Compacted():
                self.resync = True
                return [End(self.call), *self.begin(event.at)]
            case Broken():
                return self.broken(event.at)
            case Refused():
                return [RereadToken(), *self.broken(event.at)]
            case Tick():
                return self.tick(event.at)

    # -- calls --------------------------------------------------------------------------------------------
    def begin(self, at: timedelta) -> list[Effect]:
        """Start a read or a watch at the present endpoint."""
        self.call += 1
        self.fragments.clear()  # of a revision that did not come complete: it comes again
        if self.revision is None or self.resync:
            self.phase, self.due = Phase.READING, at + self.limits.read_within
            return [ReadAll(self.call, self.endpoint), WakeAt(self.due)]
        self.phase, self.due = Phase.WATCHING, at + self.limits.silence
        return [Watch(self.call, self.endpoint, self.revision), WakeAt(self.due)]

    def broken(self, at: timedelta) -> list[Effect]:
        """A call is over: continue at the next endpoint, after a backoff."""
        ended = self.call
        self.call += 1
        self.fragments.clear()
        self.endpoint = (self.endpoint + 1) % self.limits.endpoints
        wait = self.limits.backoff.wait(self.seed, self.failures)
        self.failures += 1
        self.phase, self.due = Phase.WAITING, at + wait
        return [End(ended), WakeAt(self.due)]

    def tick(self, at: timedelta) -> list[Effect]:
        """Act on a time that is over: a backoff before the next call, or a stream that fell silent."""
        if self.due is None or at < self.due:
            return []
        if self.phase is Phase.WAITING:
            return self.begin(at)
        # Guards against a stream that is open and says nothing: a drain would never come.
        return self.broken(at)

    def heard(self, at: timedelta) -> WakeAt:
        """Record that the stream is alive; returns when it is silent for too long."""
        self.failures = 0
        self.due = at + self.limits.silence
        return WakeAt(self.due)

    # -- what is notified---------------------------------------------------------------------------------
    def read(self, event: Read) -> list[Effect]:
        """Take the complete list; only the difference to what was notified is notified."""
        if self.phase is not Phase.READING:
            return []
        # Guards what is known against a member that lags, or a registry restored from an old copy.
        if self.revision is not None and event.revision < self.revision:
            return self.lagging(event)
        self.older.clear()
        changes = tuple(self.difference(event))
        self.notified = dict(event.entries)
        self.revision, self.resync, self.failures = event.revision, False, 0
        notify: list[Effect] = [Notify(event.revision, changes, True)] if changes else []
        return [*notify, *self.begin(event.at)]

    def difference(self, event: Read) -> list[Change]:
        """The changes from what was notified to a list that was read, by revision and key."""
        changes = []
        for key, entry in event.entries.items():
            before = self.notified.get(key)
            if before is None or before.value != entry.value:
                changes.append(Change(key, entry.revision, entry.value))
        changes += [Change(key, event.revision, None) for key in self.notified if key not in event.entries]
        return sorted(changes, key=lambda change: (change.revision, change.key))

    def lagging(self, event: Read) -> list[Effect]:
        """Leave an endpoint with an older revision; notify OlderCopy where all are older."""
        assert self.revision is not None
        self.older[self.endpoint] = event.revision
        said: list[Effect] = []
        if len(self.older) == self.limits.endpoints:
            said = [OlderCopy(self.revision, max(self.older.values()))]
            self.older.clear()
        return [*said, *self.broken(event.at)]

    def changed(self, event: Changed) -> list[Effect]:
        """Notify the changes of a watch event once the last part of their revision has come."""
        if self.phase is not Phase.WATCHING:
            return []
        assert self.revision is not None
        self.fragments += event.changes
        # Guards memory against a revision that never ends: reading all is bounded.
        if len(self.fragments) > MOST_FRAGMENT:
            self.resync = True
            return [End(self.call), *self.begin(event.at)]
        if not event.complete:
            return [self.heard(event.at)]
        changes, self.fragments = self.fresh_changes(self.fragments), []
        self.revision = max(self.revision, event.revision)
        notify: list[Effect] = [Notify(self.revision, changes)] if changes else []
        return [*notify, self.heard(event.at)]

    def fresh_changes(self, changes: list[Change]) -> tuple[Change, ...]:
        """The changes that are newer than all that was notified; they count as notified from now on."""
        assert self.revision is not None
        fresh = []
        for change in sorted(changes, key=lambda change: change.revision):
            # Guards against a change that is sent again, and an older word that comes after a newer one.
            if change.revision <= self.revision:
                continue
            if change.value is not None:
                self.notified[change.key] = Entry(change.revision, change.value)
            elif self.notified.pop(change.key, None) is None:
                continue  # set and removed again without a word of it
            fresh.append(change)
        return tuple(fresh)

    def progress(self, event: Progress) -> list[Effect]:
        """Advance the revision; an incomplete revision that is buffered does not count yet."""
        if self.phase is not Phase.WATCHING:
            return []
        assert self.revision is not None
        if not self.fragments:
            self.revision = max(self.revision, event.revision)
        return [self.heard(event.at)]

    # -- operators ------------------------------------------------------------------------------------------
    def accept_older(self, at: timedelta) -> list[Effect]:
        """Accept the registry's older copy as the list, by an operator's decision."""
        ended = self.call
        self.revision, self.resync = None, True
        self.notified = {key: replace(entry, revision=0) for key, entry in self.notified.items()}
        return [End(ended), *self.begin(at)]
