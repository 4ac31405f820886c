"""How heads learn what was agreed on from voters, and how a head answers those that ask it.

A voter that hears its leader needs none of this. All others ask one voter after the other; each answer brings
committed entries, who leads, and how long ago a majority was connected (agreement/contact.py).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.peering import calls
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.streams import Streams

LONG_POLL_TIMEOUT = timedelta(milliseconds=500)  # a question waits so long for news
FIRST_BACKOFF, LONGEST_BACKOFF = timedelta(milliseconds=50), timedelta(seconds=1)


class Follower:
    """One head's questions to voters, and its answers to others."""

    def __init__(
        self,
        settings: HeadsSettings,
        agreed: Replication,
        streams: Streams,
        bootstrap: FleetBootstrap,
        monitor: AvailabilityMonitor,
        now: Callable[[], timedelta],
        draws: random.Random,
    ) -> None:
        self.settings, self.replication, self.streams = settings, agreed, streams
        self.bootstrap, self.monitor, self.now, self.draws = bootstrap, monitor, now, draws
        self.leader: str | None = None  # as the last answer told
        self.turn = 0  # which voter is asked next

    # -- asking -------------------------------------------------------------------------------------------
    async def run_for_ever(self) -> None:
        """Ask the voters, one after the other, unless a leader tells this head or it leads."""
        wait = FIRST_BACKOFF
        while True:
            raft = self.replication.raft
            if raft.leads or (raft.votes_here and raft.leader is not None) or not self.settings.streams:
                await asyncio.sleep(LONG_POLL_TIMEOUT.total_seconds())
                continue
            if await self.fetch(self.next_voter()):
                wait = FIRST_BACKOFF
            else:
                await asyncio.sleep(wait.total_seconds() * (0.5 + self.draws.random()))
                wait = min(2 * wait, LONGEST_BACKOFF)

    def next_voter(self) -> str:
        """A voter to ask; those of the settings until others are known."""
        me, known = self.settings.name, self.settings.streams
        voters = [v.name for v in self.replication.raft.voters] or list(self.settings.voters)
        names = [n for n in voters if n in known and n != me]
        names = names or [n for n in known if n != me] or [me]
        self.turn += 1
        return names[(self.turn + voter_offset(me)) % len(names)]

    async def fetch(self, name: str) -> bool:
        """Ask one voter; whether it is in touch with a majority."""
        machine, raft, asked_at = self.replication.machine, self.replication.raft, self.now()
        ask = calls.Fetch(machine.index, raft.log.term_at(machine.index) or 0)
        try:
            _, body = await self.streams.request(name, calls.FETCH, msgspec.msgpack.encode(ask))
            fetched = msgspec.msgpack.decode(body, type=calls.Fetched)
        except (PeerUnreachable, msgspec.MsgspecError):
            return False
        if not self.bootstrap.may_learn_from(fetched.origin) or self.bootstrap.adopt_missed(fetched):
            return False
        self._learn(fetched, asked_at)
        return fetched.majority_connected

    def _learn(self, fetched: calls.Fetched, asked_at: timedelta) -> None:
        """Take in an answer to a question that was asked at this time."""
        self.bootstrap.follow(fetched.origin)
        self.replication.learn(
            fetched.prev_index, fetched.prev_term, fetched.entries, fetched.commit, fetched.snapshot
        )
        if not fetched.majority_connected:
            return
        self.turn -= 1  # stay with a voter that serves
        self.leader = fetched.leader
        contact = MajorityContact()
        if fetched.majority_age is not None:
            contact.record_report(asked_at, fetched.waited, fetched.majority_age)
        self.monitor.note_contact(contact, fetched.commit)
        self.monitor.refresh()

    # -- answering ----------------------------------------------------------------------------------------
    async def answer(self, ask: calls.Fetch) -> bytes:
        """The answer to a head that asks; waits a little where there is nothing new."""
        came_at = self.now()
        await self._wait_for_news(ask.after)
        raft, origin = self.replication.raft, self.bootstrap.origin
        majority_connected = self.monitor.current().changes
        fetched = calls.Fetched(
            origin,
            majority_connected,
            raft.leader.name if raft.leader else None,
            commit=raft.commit_index,
            voters=raft.voters,
            majority_age=self.monitor.contact.age(self.now()),
            waited=self.now() - came_at,
        )
        if ask.after and raft.log.term_at(ask.after) == ask.after_term:
            entries = raft.log.entries_from(ask.after + 1, raft.commit_index)
            fetched = msgspec.structs.replace(
                fetched, prev_index=ask.after, prev_term=ask.after_term, entries=entries
            )
        elif origin:
            fetched = msgspec.structs.replace(fetched, snapshot=raft.log.snapshot)
        return msgspec.msgpack.encode(fetched)

    async def _wait_for_news(self, after: int) -> None:
        """Wait until more than this is agreed on, for a while."""
        raft = self.replication.raft
        if not self.bootstrap.origin:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LONG_POLL_TIMEOUT.total_seconds()):
                while raft.commit_index <= after and raft is self.replication.raft:
                    await self.replication.changed.wait()


def voter_offset(name: str) -> int:
    """A number of a name that is the same in every process: heads spread over the voters by it."""
    return sum(i * byte for i, byte in enumerate(name.encode(), 1))
