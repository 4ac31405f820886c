"""When a committed change is known to every head that may still decide by what it has applied.

A head's copy counts as current only while it has followed a voter within `cut_off_after`. So the voters know
all heads that matter: themselves, and who has polled them lately and from which index on. Where one of them
cannot be asked, the span is waited out: after it, a head that has not applied the change knows that it is
cut off.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.contact import CLOCK_DRIFT
from stoatrouter.peering import calls
from stoatrouter.peering.envelope import Envelope
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.streams import Streams

MAX_POLLERS = 16_384  # beyond, the one that polled longest ago is forgotten, and nothing is confirmed
VOTER_TIMEOUT = timedelta(milliseconds=500)  # of one question to a voter
CHECK_INTERVAL = timedelta(milliseconds=20)


class RecentPolls:
    """Which processes have polled this head lately, and what they had applied."""

    def __init__(self, retention: timedelta) -> None:
        """Remember none.

        Args:
            retention: How long a poll matters after it was answered.
        """
        self._retention = retention
        self._polls: OrderedDict[tuple[str, int], tuple[timedelta, int]] = OrderedDict()
        self._evicted_at: timedelta | None = None  # when a poll was forgotten that still mattered

    def note(self, name: str, incarnation: int, applied: int, now: timedelta) -> None:
        """Note a poll, as it comes and as it is answered."""
        process = (name, incarnation)
        _, known = self._polls.get(process, (now, 0))
        self._polls[process] = (now, max(known, applied))
        self._polls.move_to_end(process)
        self.drop_expired(now)
        if len(self._polls) > MAX_POLLERS:
            self._polls.popitem(last=False)
            self._evicted_at = now

    def progress(self, now: timedelta) -> tuple[tuple[str, int, int], ...] | None:
        """The name, incarnation and applied index of each; None where one that matters was forgotten."""
        self.drop_expired(now)
        if self._evicted_at is not None and now - self._evicted_at <= self._retention:
            return None
        return tuple((*process, applied) for process, (_, applied) in self._polls.items())

    def drop_expired(self, now: timedelta) -> None:
        """Forget the polls that matter no more."""
        while self._polls:
            process, (at, _) = next(iter(self._polls.items()))
            if now - at <= self._retention:
                return
            del self._polls[process]


class ChangePropagation:
    """One head's view of how far a committed change has come."""

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
            cut_off_after: How long a copy counts as current after a voter was last followed.
            replication: What is applied here, and who votes.
            streams: To the voters.
            now: This head's monotonic time.
        """
        self.max_staleness = cut_off_after * CLOCK_DRIFT
        self.polls = RecentPolls(self.max_staleness)
        self._me = me
        self._replication = replication
        self._streams = streams
        self._now = now

    async def run_forever(self) -> None:
        """Forget old polls now and then: it may be long until another poll or question comes."""
        while True:
            await asyncio.sleep(self.max_staleness.total_seconds())
            self.polls.drop_expired(self._now())

    async def wait_until_known(self, index: int | None) -> bool:
        """Wait until no head can decide any more by what was before an index.

        Args:
            index: Of the change, which is committed; None: not known.

        Returns:
            Whether all heads have applied it; else the others must have noticed that they are cut off.
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
        """Answer another head's question how far this one and its followers are."""
        return msgspec.msgpack.encode(self._own_progress())

    def _own_progress(self) -> calls.Progress:
        return calls.Progress(self._replication.machine.index, self.polls.progress(self._now()))

    async def _is_applied_everywhere(self, index: int, timeout: timedelta) -> bool:
        """Whether all voters have applied an index, and all that polled them lately."""
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
                    continue  # asked itself; an earlier process of it is dead
                process = (name, incarnation)
                applied[process] = max(applied.get(process, 0), polled)
        return all(reached >= index for reached in applied.values())

    async def _progress_of(self, name: str, timeout: timedelta) -> calls.Progress | None:
        """A voter's progress; None where it gives no answer."""
        if name == self._me:
            return self._own_progress()
        try:
            reply = await self._streams.request(name, calls.PROGRESS, b"", timeout)
            return msgspec.msgpack.decode(reply.body, type=calls.Progress)
        except (PeerUnreachable, msgspec.MsgspecError):
            return None
