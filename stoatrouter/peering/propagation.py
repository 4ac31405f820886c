"""Determines when a committed change is known to every head that may still decide by its own copy.

A head's copy counts as current only while it has followed a voter within `cut_off_after`. The voters
therefore know all heads that matter: themselves, and their recent pollers with the index polled from. If a
voter cannot be asked, the call waits for that time to pass: afterwards, a head that has not applied the
change knows that it is cut off. The same holds for that time after a voter was removed or restarted: nobody
knows any more which heads followed through it, and a removed voter followed without polling.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.contact import MAX_CLOCK_DRIFT
from stoatrouter.peering import calls
from stoatrouter.peering.envelope import Envelope
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.streams import Streams

MAX_POLLERS = 16_384  # beyond, the least recent poller is evicted, and no change is confirmed for a while
VOTER_TIMEOUT = timedelta(milliseconds=500)  # of one request to a voter
CHECK_INTERVAL = timedelta(milliseconds=20)


class RecentPolls:
    """The processes that have polled this head lately, and what they had applied."""

    def __init__(self, retention: timedelta) -> None:
        """Start without polls.

        Args:
            retention: How long a poll counts after it was answered.
        """
        self._retention = retention
        self._polls: OrderedDict[tuple[str, int], tuple[timedelta, int]] = OrderedDict()
        self._incomplete_at: timedelta | None = None  # when a head that follows may have become unknown

    def note(self, name: str, incarnation: int, applied: int, now: timedelta) -> None:
        """Record a poll; called when it arrives and when it is answered."""
        process = (name, incarnation)
        _, known = self._polls.get(process, (now, 0))
        self._polls[process] = (now, max(known, applied))
        self._polls.move_to_end(process)
        self.drop_expired(now)
        if len(self._polls) > MAX_POLLERS:
            self._polls.popitem(last=False)
            self.mark_incomplete(now)

    def mark_incomplete(self, now: timedelta) -> None:
        """Record that heads whose copies count as current may be missing here."""
        self._incomplete_at = now

    def mark_complete(self) -> None:
        """Record that there was no head before that is missing here."""
        self._incomplete_at = None

    def progress(self, now: timedelta) -> tuple[tuple[str, int, int], ...] | None:
        """Return name, incarnation and applied index of each poller; None if some may be missing."""
        self.drop_expired(now)
        if self._incomplete_at is not None and now - self._incomplete_at <= self._retention:
            return None
        return tuple((*process, applied) for process, (_, applied) in self._polls.items())

    def drop_expired(self, now: timedelta) -> None:
        """Drop the polls that no longer count."""
        while self._polls:
            process, (at, _) = next(iter(self._polls.items()))
            if now - at <= self._retention:
                return
            del self._polls[process]


class ChangePropagation:
    """One head's view of which heads have applied a committed change."""

    def __init__(
        self,
        me: str,
        cut_off_after: timedelta,
        replication: Replication,
        streams: Streams,
        now: Callable[[], timedelta],
    ) -> None:
        """Set up.

        Args:
            me: The name of this head.
            cut_off_after: How long a copy counts as current after the last contact with a voter.
            replication: Knows what is applied here, and who votes.
            streams: Sends requests to the voters.
            now: This head's monotonic time.
        """
        self.max_staleness = cut_off_after * MAX_CLOCK_DRIFT
        self.polls = RecentPolls(self.max_staleness)
        self._me = me
        self._replication = replication
        self._streams = streams
        self._now = now
        self._voters = tuple(replication.raft.voters)

    def note_voters(self) -> None:
        """Record it if a voter was removed: its copy, and those of its pollers, may count as current."""
        voters = tuple(self._replication.raft.voters)
        if any(voter not in voters for voter in self._voters):
            self.polls.mark_incomplete(self._now())
        self._voters = voters

    async def run_forever(self) -> None:
        """Drop old polls periodically: it may be long until the next poll or request arrives."""
        while True:
            await asyncio.sleep(self.max_staleness.total_seconds())
            self.polls.drop_expired(self._now())

    async def wait_until_known(self, index: int | None) -> bool:
        """Wait until no head can decide by a state before an index any more.

        Args:
            index: The index of the committed change; None: unknown.

        Returns:
            Whether all heads have applied it; if not, the others must have noticed that they are cut off.
        """
        deadline = self._now() + self.max_staleness
        while (left := deadline - self._now()) > timedelta(0):
            if index is not None and await self._is_applied_everywhere(index, min(VOTER_TIMEOUT, left)):
                return True
            left = max(timedelta(0), deadline - self._now())
            pause = left if index is None else min(CHECK_INTERVAL, left)
            await asyncio.sleep(pause.total_seconds())
        return False

    async def answer(self, envelope: Envelope) -> bytes:
        """Answer another head's request for the progress of this one and its followers."""
        return msgspec.msgpack.encode(self._own_progress())

    def _own_progress(self) -> calls.Progress:
        self.note_voters()
        return calls.Progress(self._replication.machine.index, self.polls.progress(self._now()))

    async def _is_applied_everywhere(self, index: int, timeout: timedelta) -> bool:
        """Return whether all voters and their recent pollers have applied an index."""
        voters = {voter.name for voter in self._replication.raft.voters}
        if self._replication.machine.index < index or not voters:
            return False
        answers = await asyncio.gather(*(self._progress_of(name, timeout) for name in voters))
        applied: dict[tuple[str, int], int] = {}
        for progress in answers:
            if progress is None or progress.applied < index or progress.polls is None:
                return False
            for name, incarnation, polled in progress.polls:
                if name in voters:
                    continue  # voters are asked directly; an earlier process of one is dead
                process = (name, incarnation)
                applied[process] = max(applied.get(process, 0), polled)
        return all(reached >= index for reached in applied.values())

    async def _progress_of(self, name: str, timeout: timedelta) -> calls.Progress | None:
        """Return a voter's progress; None if it does not answer."""
        if name == self._me:
            return self._own_progress()
        try:
            reply = await self._streams.request(name, calls.PROGRESS, b"", timeout)
            return msgspec.msgpack.decode(reply.body, type=calls.Progress)
        except (PeerUnreachable, msgspec.MsgspecError):
            return None
