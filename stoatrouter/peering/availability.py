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

REFRESH_EVERY = timedelta(milliseconds=100)


class AvailabilityMonitor:
    """One head's availability; `watchers` are called when it has changed."""

    def __init__(
        self,
        settings: HeadsSettings,
        replication: Replication,
        bootstrap: FleetBootstrap,
        now: Callable[[], timedelta],
    ) -> None:
        self.settings, self.replication, self.bootstrap, self.now = settings, replication, bootstrap, now
        self.contact = MajorityContact()
        self.watchers: list[Callable[[], None]] = []
        self.latest: Availability | None = None
        self._catch_up_to: int | None = None  # what was agreed on when this head first heard of it
        self._began = now()

    def current(self) -> Availability:
        """What this head may do at this moment."""
        self.refresh()
        assert self.latest is not None
        return self.latest

    def note_contact(self, contact: MajorityContact, commit: int) -> None:
        """A majority was connected then; up to here it had agreed."""
        self.contact.record(contact.latest)
        if self._catch_up_to is None and contact.latest is not None:
            self._catch_up_to = commit

    def refresh(self) -> None:
        """Look what this head may do, and say so when that has changed."""
        settings = self.settings
        latest = availability_of(
            self._facts(), settings.cut_off_after, self.now() - self._began, settings.wait_at_start
        )
        if latest == self.latest:
            return
        before, self.latest = self.latest, latest
        if before is None or before.state is not latest.state:
            logger.info("heads: {state}", event="heads.standing", state=latest.state.value)
        for watcher in self.watchers:
            watcher()

    async def run_for_ever(self) -> None:
        """Refresh now and then: time alone cuts a head off."""
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_EVERY.total_seconds())

    def _facts(self) -> Facts:
        replication, raft = self.replication, self.replication.raft
        if raft.settled:
            self.note_contact(raft.contact, raft.commit_index)
        caught_up = self._catch_up_to is not None and replication.machine.index >= self._catch_up_to
        return Facts(
            founded=bool(self.bootstrap.origin),
            caught_up=caught_up,
            majority_age=self.contact.age(self.now()),
            votes=raft.votes_here,
            leads=raft.leads,
            disk=replication.disk_writable,
        )
