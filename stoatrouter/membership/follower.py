"""Follows an endpoint list in a key-value registry without missing, repeating or reordering changes.

It reads the complete list, watches it from that revision on, and resumes the watch after a failure with a
backoff. It is a state machine, `reduce(event) -> effects`, without I/O or a clock, and independent of the
registry's protocol, which a dialect translates to events. Each call has a number; events of ended calls are
dropped. The follower caches the entries that it has notified, so that after a resynchronisation it notifies
only the difference, in one step.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from datetime import timedelta

from stoatrouter.membership.errors import RevisionUnknown
from stoatrouter.membership.follower_records import (
    CallEvent,
    CallFailed,
    CancelCall,
    Change,
    ChangesReceived,
    CredentialsRejected,
    Effect,
    Entry,
    Event,
    Limits,
    ListRead,
    Notify,
    OlderRevisionOffered,
    Phase,
    ProgressReceived,
    ReadList,
    RereadCredentials,
    RevisionCompacted,
    Started,
    Tick,
    WakeAt,
    Watch,
)

MAX_BUFFERED_CHANGES = 100_000  # buffered changes of an incomplete revision


class Follower:
    """Follows one endpoint list; its state changes only in `reduce` and `accept_older_revision`."""

    def __init__(
        self,
        limits: Limits,
        seed: int,
        cached: Mapping[str, Entry] | None = None,
        revision: int | None = None,
    ) -> None:
        """Create an idle follower.

        Args:
            limits: The settings.
            seed: Determines the first endpoint and the backoff's jitter; differs between heads.
            cached: The entries that the core already has, e.g. from a file.
            revision: The revision at which `cached` is complete; None if nothing is cached.
        """
        self.limits = limits
        self.seed = seed
        self.notified: dict[str, Entry] = dict(cached or {})  # the entries that the core has
        self.revision = revision  # all changes up to it are notified; None if nothing is cached
        self.phase = Phase.IDLE
        self.call = 0  # the number of the current call
        self.endpoint = seed % limits.endpoints  # distributes the heads over the endpoints
        self.failures = 0  # consecutive failed calls
        self.older_revisions: dict[int, int] = {}  # older revisions offered since the last read, by endpoint
        self.buffered: list[Change] = []  # changes of an incomplete revision
        self.deadline: timedelta | None = None  # the end of the current timeout or backoff
        self.must_reread = False  # the list must be read before it is watched

    def reduce(self, event: Event) -> list[Effect]:
        """Process one event; return the effects to execute, in order."""
        # Events of an ended call are dropped: they may be older than the cached entries.
        if isinstance(event, CallEvent) and event.call != self.call:
            return []
        match event:
            case Started():
                return self._start_call(event.at)
            case ListRead():
                return self._receive_list(event)
            case ChangesReceived():
                return self._receive_changes(event)
            case ProgressReceived():
                return self._receive_progress(event)
            case RevisionCompacted():
                return self._reread_list(event.at)
            case CallFailed():
                return self._back_off(event.at)
            case CredentialsRejected():
                return [RereadCredentials(), *self._back_off(event.at)]
            case Tick():
                return self._tick(event.at)

    # -- calls --------------------------------------------------------------------------------------------
    def _start_call(self, at: timedelta) -> list[Effect]:
        """Start a read or a watch at the current endpoint."""
        self.call += 1
        self.buffered.clear()  # an incomplete revision is sent again
        if self.revision is None or self.must_reread:
            self.phase = Phase.READING
            self.deadline = at + self.limits.read_timeout
            return [ReadList(self.call, self.endpoint), WakeAt(self.deadline)]
        self.phase = Phase.WATCHING
        self.deadline = at + self.limits.silence_timeout
        return [Watch(self.call, self.endpoint, self.revision), WakeAt(self.deadline)]

    def _reread_list(self, at: timedelta) -> list[Effect]:
        """Cancel the watch and read the complete list."""
        self.must_reread = True
        return [CancelCall(self.call), *self._start_call(at)]

    def _back_off(self, at: timedelta) -> list[Effect]:
        """End the call, and continue at the next endpoint after a backoff."""
        ended_call = self.call
        self.call += 1
        self.buffered.clear()
        self.endpoint = (self.endpoint + 1) % self.limits.endpoints
        wait = self.limits.backoff.wait(self.seed, self.failures)
        self.failures += 1
        self.phase = Phase.WAITING
        self.deadline = at + wait
        return [CancelCall(ended_call), WakeAt(self.deadline)]

    def _tick(self, at: timedelta) -> list[Effect]:
        """Act on an expired deadline: the end of a backoff, or a call or stream that has timed out."""
        if self.deadline is None or at < self.deadline:
            return []
        if self.phase is Phase.WAITING:
            return self._start_call(at)
        # A stream may stay open without carrying data; without this timeout a drain would be missed.
        return self._back_off(at)

    def _record_activity(self, at: timedelta) -> WakeAt:
        """Record activity of the stream; return the time at which it would be silent for too long."""
        self.failures = 0
        self.deadline = at + self.limits.silence_timeout
        return WakeAt(self.deadline)

    # -- the list and its changes -------------------------------------------------------------------------
    def _require_revision(self) -> int:
        if self.revision is None:
            raise RevisionUnknown(self.phase.value)
        return self.revision

    def _receive_list(self, event: ListRead) -> list[Effect]:
        """Process the complete list; notify only its difference to the notified entries."""
        if self.phase is not Phase.READING:
            return []
        # An older list comes from a lagging registry member, or from a registry restored from a backup.
        if self.revision is not None and event.revision < self.revision:
            return self._leave_lagging_endpoint(event)
        self.older_revisions.clear()
        changes = tuple(self._difference(event))
        self.notified = dict(event.entries)
        self.revision = event.revision
        self.must_reread = False
        self.failures = 0
        notify: list[Effect] = [Notify(event.revision, changes, resynchronised=True)] if changes else []
        return [*notify, *self._start_call(event.at)]

    def _difference(self, event: ListRead) -> list[Change]:
        """Return the changes from the notified entries to a list, in order of revision and key."""
        changes = []
        for key, entry in event.entries.items():
            before = self.notified.get(key)
            if before is None or before.value != entry.value:
                changes.append(Change(key, entry.revision, entry.value))
        changes += [Change(key, event.revision, None) for key in self.notified if key not in event.entries]
        return sorted(changes, key=lambda change: (change.revision, change.key))

    def _leave_lagging_endpoint(self, event: ListRead) -> list[Effect]:
        """Leave an endpoint with an older revision; return OlderRevisionOffered once all are older."""
        cached_revision = self._require_revision()
        self.older_revisions[self.endpoint] = event.revision
        effects: list[Effect] = []
        if len(self.older_revisions) == self.limits.endpoints:
            effects.append(OlderRevisionOffered(cached_revision, max(self.older_revisions.values())))
            self.older_revisions.clear()
        return [*effects, *self._back_off(event.at)]

    def _receive_changes(self, event: ChangesReceived) -> list[Effect]:
        """Process a watch event; its changes are notified once their last revision is complete."""
        if self.phase is not Phase.WATCHING:
            return []
        known_revision = self._require_revision()
        self.buffered += event.changes
        # Bounds the memory used for a revision that never completes; the size of a list is bounded.
        if len(self.buffered) > MAX_BUFFERED_CHANGES:
            return self._reread_list(event.at)
        if not event.complete:
            return [self._record_activity(event.at)]
        changes = self._apply_new_changes(self.buffered)
        self.buffered = []
        self.revision = max(known_revision, event.revision)
        notify: list[Effect] = [Notify(self.revision, changes)] if changes else []
        return [*notify, self._record_activity(event.at)]

    def _apply_new_changes(self, changes: list[Change]) -> tuple[Change, ...]:
        """Apply the changes that are newer than the notified revision to `notified`, and return them."""
        known_revision = self._require_revision()
        new_changes = []
        for change in sorted(changes, key=lambda change: change.revision):
            # Skips a change that is repeated, or delivered late after a newer one.
            if change.revision <= known_revision:
                continue
            if change.value is not None:
                self.notified[change.key] = Entry(change.revision, change.value)
            elif self.notified.pop(change.key, None) is None:
                continue  # set and removed before it was notified
            new_changes.append(change)
        return tuple(new_changes)

    def _receive_progress(self, event: ProgressReceived) -> list[Effect]:
        """Advance the revision, unless changes of an incomplete revision are buffered."""
        if self.phase is not Phase.WATCHING:
            return []
        known_revision = self._require_revision()
        if not self.buffered:
            self.revision = max(known_revision, event.revision)
        return [self._record_activity(event.at)]

    # -- operators ------------------------------------------------------------------------------------------
    def accept_older_revision(self, at: timedelta) -> list[Effect]:
        """Accept an older list from the registry, as decided by an operator."""
        ended_call = self.call
        self.revision = None
        self.must_reread = True
        self.notified = {key: replace(entry, revision=0) for key, entry in self.notified.items()}
        return [CancelCall(ended_call), *self._start_call(at)]
