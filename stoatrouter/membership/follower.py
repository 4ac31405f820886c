"""Follows an endpoint list in a key-value registry without missing, repeating or reordering changes.

It reads the complete list, watches it from that revision on, and resumes the watch after any break, with
a backoff. It is a state machine, `reduce(event) -> effects`, that knows nothing of protocols (dialects make
events of them), sockets or clocks. Each call that it asks for has a number; events of a finished call are
dropped. It caches what it has notified, so that after a resynchronisation only the difference is notified,
in one step.
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

MAX_BUFFERED_CHANGES = 100_000  # changes of one revision that are buffered until the rest of them has come


class Follower:
    """Follows one endpoint list; all of its state changes in `reduce` and `accept_older_revision`."""

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
        self.limits = limits
        self.seed = seed
        self.notified: dict[str, Entry] = dict(cached or {})  # what the core knows
        self.revision = revision  # up to which all has been notified; None: nothing is cached
        self.phase = Phase.IDLE
        self.call = 0  # the number of the current call
        self.endpoint = seed % limits.endpoints  # heads spread over the endpoints
        self.failures = 0  # in a row
        self.older_revisions: dict[int, int] = {}  # by endpoint, those offered in turn
        self.buffered: list[Change] = []  # changes of a revision that is not complete yet
        self.deadline: timedelta | None = None  # when something is overdue, or a backoff is over
        self.must_reread = False  # the list must be read before it is watched

    def reduce(self, event: Event) -> list[Effect]:
        """Take in one event; returns the effects to run, in order."""
        # Guards against events of a call that was given up: they may be older than what is cached by now.
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
        """Start a read or a watch at the present endpoint."""
        self.call += 1
        self.buffered.clear()  # of a revision that did not come complete: it comes again
        if self.revision is None or self.must_reread:
            self.phase = Phase.READING
            self.deadline = at + self.limits.read_timeout
            return [ReadList(self.call, self.endpoint), WakeAt(self.deadline)]
        self.phase = Phase.WATCHING
        self.deadline = at + self.limits.silence_timeout
        return [Watch(self.call, self.endpoint, self.revision), WakeAt(self.deadline)]

    def _reread_list(self, at: timedelta) -> list[Effect]:
        """Give the watch up for a read of the complete list."""
        self.must_reread = True
        return [CancelCall(self.call), *self._start_call(at)]

    def _back_off(self, at: timedelta) -> list[Effect]:
        """End the call and continue at the next endpoint, after a backoff."""
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
        """Act on a deadline: a backoff before the next call, or a stream that fell silent."""
        if self.deadline is None or at < self.deadline:
            return []
        if self.phase is Phase.WAITING:
            return self._start_call(at)
        # Guards against a stream that is open and carries nothing: a drain would never come.
        return self._back_off(at)

    def _record_activity(self, at: timedelta) -> WakeAt:
        """Record that the stream is alive; returns when it is silent for too long."""
        self.failures = 0
        self.deadline = at + self.limits.silence_timeout
        return WakeAt(self.deadline)

    # -- the list and its changes -------------------------------------------------------------------------
    def _require_revision(self) -> int:
        if self.revision is None:
            raise RevisionUnknown(self.phase.value)
        return self.revision

    def _receive_list(self, event: ListRead) -> list[Effect]:
        """Take in the complete list; only the difference to what was notified is notified."""
        if self.phase is not Phase.READING:
            return []
        # Guards what is known against a member that lags, or a registry restored from an old copy.
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
        """The changes from what was notified to a list that was read, by revision and key."""
        changes = []
        for key, entry in event.entries.items():
            before = self.notified.get(key)
            if before is None or before.value != entry.value:
                changes.append(Change(key, entry.revision, entry.value))
        changes += [Change(key, event.revision, None) for key in self.notified if key not in event.entries]
        return sorted(changes, key=lambda change: (change.revision, change.key))

    def _leave_lagging_endpoint(self, event: ListRead) -> list[Effect]:
        """Leave an endpoint with an older revision; notify OlderRevisionOffered where all are older."""
        cached_revision = self._require_revision()
        self.older_revisions[self.endpoint] = event.revision
        effects: list[Effect] = []
        if len(self.older_revisions) == self.limits.endpoints:
            effects.append(OlderRevisionOffered(cached_revision, max(self.older_revisions.values())))
            self.older_revisions.clear()
        return [*effects, *self._back_off(event.at)]

    def _receive_changes(self, event: ChangesReceived) -> list[Effect]:
        """Notify the changes of a watch event once the last part of their revision has come."""
        if self.phase is not Phase.WATCHING:
            return []
        known_revision = self._require_revision()
        self.buffered += event.changes
        # Guards memory against a revision that never ends: reading the list is bounded.
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
        """The changes that are newer than all that was notified; they count as notified from now on."""
        known_revision = self._require_revision()
        new_changes = []
        for change in sorted(changes, key=lambda change: change.revision):
            # Guards against a change that is sent again, or late, after a newer one.
            if change.revision <= known_revision:
                continue
            if change.value is not None:
                self.notified[change.key] = Entry(change.revision, change.value)
            elif self.notified.pop(change.key, None) is None:
                continue  # set and removed again before it was notified
            new_changes.append(change)
        return tuple(new_changes)

    def _receive_progress(self, event: ProgressReceived) -> list[Effect]:
        """Advance the revision; an incomplete revision that is buffered does not count yet."""
        if self.phase is not Phase.WATCHING:
            return []
        known_revision = self._require_revision()
        if not self.buffered:
            self.revision = max(known_revision, event.revision)
        return [self._record_activity(event.at)]

    # -- operators ------------------------------------------------------------------------------------------
    def accept_older_revision(self, at: timedelta) -> list[Effect]:
        """Accept the registry's older copy as the list, by an operator's decision."""
        ended_call = self.call
        self.revision = None
        self.must_reread = True
        self.notified = {key: replace(entry, revision=0) for key, entry in self.notified.items()}
        return [CancelCall(ended_call), *self._start_call(at)]
