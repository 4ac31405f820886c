"""Answers the long polls of followers with committed entries or a snapshot."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

import msgspec

from stoatrouter.peering import calls
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.replication import Replication

LONG_POLL_TIMEOUT = timedelta(milliseconds=500)  # a poll is answered after this even if nothing was committed


class FollowerFeed:
    """Answers the polls of followers at one head."""

    def __init__(
        self,
        replication: Replication,
        bootstrap: FleetBootstrap,
        monitor: AvailabilityMonitor,
        now: Callable[[], timedelta],
    ) -> None:
        """Set up.

        Args:
            replication: Provides the log.
            bootstrap: Knows the fleet that the log belongs to.
            monitor: Knows how this head is connected to the others.
            now: This head's monotonic time.
        """
        self._replication = replication
        self._bootstrap = bootstrap
        self._monitor = monitor
        self._now = now

    async def answer(self, fetch: calls.Fetch) -> bytes:
        """Return the encoded answer to a poll; waits up to LONG_POLL_TIMEOUT for a commit."""
        arrived_at = self._now()
        await self._wait_for_commit(fetch.after)
        raft = self._replication.raft
        origin = self._bootstrap.origin
        fetched = calls.Fetched(
            origin,
            self._monitor.current().changes,
            raft.leader.name if raft.leader else None,
            commit=raft.commit_index,
            voters=raft.voters,
            majority_age=self._monitor.contact.age(self._now()),
            waited=self._now() - arrived_at,
            behind=max(0, self._monitor.known_commit - raft.commit_index),
        )
        if fetch.after and raft.log.term_at(fetch.after) == fetch.after_term:
            entries = raft.log.entries_from(fetch.after + 1, raft.commit_index)
            fetched = msgspec.structs.replace(
                fetched, prev_index=fetch.after, prev_term=fetch.after_term, entries=entries
            )
        elif origin:
            fetched = self._with_snapshot(fetched, fetch)
        return msgspec.msgpack.encode(fetched)

    def _with_snapshot(self, fetched: calls.Fetched, fetch: calls.Fetch) -> calls.Fetched:
        """Add the snapshot to an answer, or the part that follows the follower's position."""
        raft = self._replication.raft
        if raft.sends_snapshot_whole or fetch.position is None:
            return msgspec.structs.replace(fetched, snapshot=raft.log.snapshot)
        return msgspec.structs.replace(fetched, part=raft.snapshot_part(fetch.position))

    async def _wait_for_commit(self, after: int) -> None:
        """Wait until entries after this index are committed, up to LONG_POLL_TIMEOUT."""
        raft = self._replication.raft
        if not self._bootstrap.origin:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LONG_POLL_TIMEOUT.total_seconds()):
                while raft.commit_index <= after and raft is self._replication.raft:
                    await self._replication.changed.wait()
