"""Tracks what this head may do now: collects the facts that agreement/availability.py decides by."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from stoatrouter.agreement.availability import Availability, HeadFacts, availability_of
from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings

REFRESH_INTERVAL = timedelta(milliseconds=100)


class AvailabilityMonitor:
    """The availability of one head.

    Attributes:
        contact: When a majority of the voters was last connected, as far as this head knows.
        followed: A time up to which all committed entries are applied here; later ones may be missing.
        known_commit: The highest index that any head has reported as committed.
        watchers: Called after each change of the availability.
        latest: The availability computed last; None before the first computation.
    """

    def __init__(
        self,
        settings: HeadsSettings,
        replication: Replication,
        bootstrap: FleetBootstrap,
        now: Callable[[], timedelta],
    ) -> None:
        """Start measuring the time since the start.

        Args:
            settings: How long after the last contact with a majority this head counts as cut off, and how
                long it waits for a majority at the start.
            replication: Knows what is applied here, and who leads.
            bootstrap: Knows whether this head belongs to a fleet.
            now: This head's monotonic time.
        """
        self.contact = MajorityContact()
        self.followed = MajorityContact()
        self.known_commit = 0
        self.watchers: list[Callable[[], None]] = []
        self.latest: Availability | None = None
        self._settings = settings
        self._replication = replication
        self._bootstrap = bootstrap
        self._now = now
        self._started_at = now()
        self._catch_up_to: int | None = None  # the commit index at the first contact with a majority

    def current(self) -> Availability:
        """Return what this head may do now; the watchers are called if that has changed."""
        availability = availability_of(
            self._facts(),
            self._settings.cut_off_after,
            self._now() - self._started_at,
            self._settings.wait_at_start,
        )
        if availability != self.latest:
            self._publish(availability)
        return availability

    def refresh(self) -> None:
        """Recompute what this head may do; the watchers are called if that has changed."""
        self.current()

    def note_contact(self, contact: MajorityContact, commit: int) -> None:
        """Record that a majority was connected at a time and had committed the log up to an index."""
        self.contact.record(contact.latest)
        self.known_commit = max(self.known_commit, commit)
        if self._catch_up_to is None and contact.latest is not None:
            self._catch_up_to = commit
        self._record_followed()

    def reset_followed(self) -> None:
        """Discard what was followed: from here on this head's log is that of another fleet."""
        self.known_commit = 0
        self.followed = MajorityContact()

    def _record_followed(self) -> None:
        """Record the latest contact as followed once all entries committed by then are applied.

        Each contact comes with the commit index at that time. Once the highest of these indices is applied,
        no entry committed before the latest contact is missing.
        """
        if self._replication.machine.index >= self.known_commit:
            self.followed.record(self.contact.latest)

    async def run_forever(self) -> None:
        """Refresh periodically: a head becomes cut off by the passing of time alone."""
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_INTERVAL.total_seconds())

    def _publish(self, availability: Availability) -> None:
        before = self.latest
        self.latest = availability
        if before is None or before.state is not availability.state:
            logger.info("heads: {state}", event="heads.standing", state=availability.state.value)
        for watcher in self.watchers:
            watcher()

    def _facts(self) -> HeadFacts:
        replication = self._replication
        raft = replication.raft
        if raft.settled:
            self.note_contact(raft.contact, raft.commit_index)
        self._record_followed()
        caught_up = self._catch_up_to is not None and replication.machine.index >= self._catch_up_to
        return HeadFacts(
            founded=bool(self._bootstrap.origin),
            caught_up=caught_up,
            majority_age=self.contact.age(self._now()),
            votes=raft.votes_here,
            leads=raft.leads,
            disk_writable=replication.disk_writable,
        )
