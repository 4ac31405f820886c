"""Polls the voters for committed entries while no leader replicates to this head.

A voter that is in contact with its leader does not poll. All other heads poll one voter at a time; each
answer contains committed entries, the leader's name, and the time since a majority was connected
(agreement/contact.py). `follower_feed` is the answering side.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec

from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.agreement.records import SnapshotPart, SnapshotPosition
from stoatrouter.agreement.snapshot_transfer import IncomingSnapshot
from stoatrouter.peering import calls
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.backoff import Backoff
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.streams import Streams

IDLE_INTERVAL = timedelta(milliseconds=500)  # between two checks whether this head has to poll
FIRST_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=1)
RETURN_INTERVAL = timedelta(seconds=30)  # between two checks whether the preferred voter is back
RETURN_TIMEOUT = timedelta(milliseconds=300)  # of such a check, which delays the next poll


class Follower:
    """One head's polls of the voters.

    Attributes:
        leader: The name of the leader according to the last answer; None if unknown.
    """

    def __init__(
        self,
        settings: HeadsSettings,
        replication: Replication,
        streams: Streams,
        bootstrap: FleetBootstrap,
        monitor: AvailabilityMonitor,
        now: Callable[[], timedelta],
        rng: random.Random,
    ) -> None:
        """Set up; nothing is polled before `run_forever`.

        Args:
            settings: Names this head, the initial voters and the addresses of heads.
            replication: Receives the committed entries.
            streams: Sends requests to the voters.
            bootstrap: Decides which fleet's entries may be applied.
            monitor: Notified of contacts with a majority.
            now: This head's monotonic time.
            rng: Source of the backoff's jitter.
        """
        self.leader: str | None = None
        self._call_cursor = 0  # as _voter_cursor, for calls: they must not have the polls skip a voter
        self._voter_cursor = 0  # position in the order of voters, before the offset by name
        self._away_from_preferred_since: timedelta | None = None  # since when another voter is polled
        self._settings = settings
        self._replication = replication
        self._streams = streams
        self._bootstrap = bootstrap
        self._monitor = monitor
        self._now = now
        self._backoff = Backoff(FIRST_BACKOFF, MAX_BACKOFF, rng)
        self._incoming = IncomingSnapshot()

    async def run_forever(self) -> None:
        """Poll the voters one after the other, unless this head leads or is in contact with its leader."""
        while True:
            if not self._has_to_poll():
                await asyncio.sleep(IDLE_INTERVAL.total_seconds())
            elif await self._poll(self.next_voter()):
                self._backoff.reset()
                await self._return_if_due()
            else:
                await asyncio.sleep(self._backoff.next_pause())

    def _has_to_poll(self) -> bool:
        raft = self._replication.raft
        hears_leader = raft.votes_here and raft.leader is not None
        return not raft.leads and not hears_leader and bool(self._settings.streams)

    def next_voter(self) -> str:
        """Return the next voter to poll; taken from the settings until the current voters are known."""
        self._voter_cursor += 1
        return self._voter_at(self._voter_cursor)

    def next_voter_to_call(self) -> str:
        """Return the next voter to send a call to while no leader is known."""
        self._call_cursor += 1
        return self._voter_at(self._call_cursor)

    def _voter_at(self, cursor: int) -> str:
        names = self._voters()
        return names[(cursor + voter_offset(self._settings.name)) % len(names)]

    def _voters(self) -> list[str]:
        """Return the voters that may be polled, in an order that is the same at all heads."""
        me = self._settings.name
        addresses = self._settings.streams
        voters = [voter.name for voter in self._replication.raft.voters] or list(self._settings.voters)
        names = [name for name in voters if name in addresses and name != me]
        return names or [name for name in addresses if name != me] or [me]

    async def _return_if_due(self) -> None:
        """Return to the preferred voter once it answers again, so that followers stay evenly spread."""
        if self._voter_cursor % len(self._voters()) == 0:
            self._away_from_preferred_since = None  # the preferred voter is polled
            return
        now = self._now()
        if self._away_from_preferred_since is None:
            self._away_from_preferred_since = now
        if now - self._away_from_preferred_since < RETURN_INTERVAL:
            return
        self._away_from_preferred_since = now
        preferred = self._voter_at(1)
        # Checks with a short timeout first: a poll of a hung voter would outlast the time for which a contact
        # with a majority counts, and this head would be cut off.
        if await self._answers(preferred):
            self._voter_cursor = 0

    async def _answers(self, name: str) -> bool:
        """Return whether a voter answers within RETURN_TIMEOUT and has applied as much as this head."""
        try:
            reply = await self._streams.request(name, calls.PROGRESS, b"", RETURN_TIMEOUT)
            progress = msgspec.msgpack.decode(reply.body, type=calls.Progress)
        except (PeerUnreachable, msgspec.MsgspecError):
            return False
        return progress.applied >= self._replication.machine.index

    def forget_leader(self) -> None:
        """Forget the known leader; the voter that named it is no longer polled."""
        if self.leader is not None:
            self.leader = None
            self._voter_cursor += 1

    async def _poll(self, name: str) -> bool:
        """Poll one voter; return whether it answered and is connected to a majority."""
        machine = self._replication.machine
        asked_at = self._now()
        after_term = self._replication.raft.log.term_at(machine.index) or 0
        fetch = calls.Fetch(machine.index, after_term, self._incoming.position_at(name))
        try:
            reply = await self._streams.request(name, calls.FETCH, msgspec.msgpack.encode(fetch))
            fetched = msgspec.msgpack.decode(reply.body, type=calls.Fetched)
        except (PeerUnreachable, msgspec.MsgspecError):
            return False
        if fetched.part is not None:
            snapshot = self._incoming.add(reply.sender, fetched.part, self._now())
            if snapshot is None:
                return self._continue_snapshot(name, fetched.part)
            fetched = msgspec.structs.replace(fetched, snapshot=snapshot, part=None)
        if not self._bootstrap.accepts_entries_of(fetched.origin) or self._bootstrap.adopt_missed_founding(
            fetched
        ):
            return False
        self._learn(fetched, asked_at)
        return fetched.majority_connected

    def _continue_snapshot(self, name: str, part: SnapshotPart) -> bool:
        """Poll the same voter for the next part; return False if it sent another part than was asked for."""
        if self._incoming.position_at(name) != SnapshotPosition(part.index, part.offset + len(part.data)):
            self._incoming.clear()
            return False
        self._voter_cursor -= 1
        return True

    def _learn(self, fetched: calls.Fetched, asked_at: timedelta) -> None:
        """Process the answer to a poll that was sent at `asked_at`."""
        self._bootstrap.join(fetched.origin)
        self._replication.receive_committed(fetched)
        if not fetched.majority_connected:
            return
        self._voter_cursor -= 1  # poll the same voter again: it is connected
        self.leader = fetched.leader
        contact = MajorityContact()
        if fetched.majority_age is not None:
            contact.record_report(asked_at, fetched.waited, fetched.majority_age)
        self._monitor.note_contact(contact, fetched.commit + fetched.behind)
        self._monitor.refresh()


def voter_offset(name: str) -> int:
    """Return a hash of a head's name that is stable across processes; it spreads heads over the voters."""
    return sum(position * byte for position, byte in enumerate(name.encode(), 1))
