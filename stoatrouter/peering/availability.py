"""What this head may do now, kept up to date: gathers the facts that agreement/availability.py decides by."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from stoatrouter.agreement.availability import Availability, Facts, availability_of
from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings

REFRESH_INTERVAL = timedelta(milliseconds=100)


class AvailabilityMonitor:
    """One head's availability.

    Attributes:
        contact: When a majority of the voters was last connected, as far as this head knows.
        followed: A moment up to which all that was committed is applied here; later ones may be missing.
        known_commit: The highest index that any head has reported as committed.
        watchers: Called after the availability has changed.
        latest: The availability as of the last look; None before the first.
    """

    def __init__(
        self,
        settings: HeadsSettings,
        replication: Replication,
        bootstrap: FleetBootstrap,
        now: Callable[[], timedelta],
    ) -> None:
        """Count the time since the start from now on.

        Args:
            settings: How long after a majority was connected this head counts as cut off, and how long it
                waits for one at the start.
            replication: What is applied here, and who leads.
            bootstrap: Whether this head belongs to a fleet.
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
        self._catch_up_to: int | None = None  # what was committed when this head first heard of a majority

    def current(self) -> Availability:
        """What this head may do at this moment; the watchers are called where it has changed."""
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
        """Look what this head may do; the watchers are called where it has changed."""
        self.current()

    def note_contact(self, contact: MajorityContact, commit: int) -> None:
        """Take in that a majority was connected at a time, and had committed the log up to an index."""
        self.contact.record(contact.latest)
        self.known_commit = max(self.known_commit, commit)
        if self._catch_up_to is None and contact.latest is not None:
            self._catch_up_to = commit
        self._record_followed()

    def reset_followed(self) -> None:
        """Forget what was followed: this head's log goes on as another fleet's."""
        self.known_commit = 0
        self.followed = MajorityContact()

    def _record_followed(self) -> None:
        """Record that the latest contact is followed, once all is applied that was committed by then.

        Each contact came with the index that was committed when the majority was connected, so where the
        highest of these is applied, nothing that was committed before the latest contact is missing.
        """
        if self._replication.machine.index >= self.known_commit:
            self.followed.record(self.contact.latest)

    async def run_forever(self) -> None:
        """Refresh now and then: time alone cuts a head off."""
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

    def _facts(self) -> Facts:
        replication = self._replication
        raft = replication.raft
        if raft.settled:
            self.note_contact(raft.contact, raft.commit_index)
        self._record_followed()
        caught_up = self._catch_up_to is not None and replication.machine.index >= self._catch_up_to
        return Facts(
            founded=bool(self._bootstrap.origin),
            caught_up=caught_up,
            majority_age=self.contact.age(self._now()),
            votes=raft.votes_here,
            leads=raft.leads,
            disk=replication.disk_writable,
        )
