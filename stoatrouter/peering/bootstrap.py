"""How a head becomes part of a fleet: founds it, adopts another head's founding, or follows a running fleet.

agreement/founding.py decides when a fleet is founded, and by whom; this module carries that out. What a head
promises or adopts is on its disk before another head is told.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

import msgspec
from loguru import logger

from stoatrouter.agreement.founding import Founded, Founding, Promised
from stoatrouter.agreement.records import Snapshot, Voter
from stoatrouter.peering import calls
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.storage import BootstrapWrite, StoredState
from stoatrouter.peering.streams import Reply, Streams

FOUNDING_INTERVAL = timedelta(milliseconds=300)  # between two rounds of a founder
PROMISE_TIMEOUT = timedelta(seconds=2)  # for the write of a promise; without the write there is no promise


class FleetBootstrap:
    """The fleet that one head belongs to, and how it becomes part of one.

    Attributes:
        durable: Whether the membership of the fleet is on this head's disk.
        was_founded: Whether the fleet was founded while this process runs, so that nobody had followed it.
    """

    def __init__(
        self,
        me: Voter,
        settings: HeadsSettings,
        stored: StoredState,
        replication: Replication,
        streams: Streams,
        on_joined: Callable[[], None],
    ) -> None:
        """Continue from what the disk holds.

        Args:
            me: This head, with the identity of its disk.
            settings: Names the initial voters.
            stored: What the disk holds.
            replication: Stores promises, and starts from a fleet's initial state.
            streams: Sends requests to the other voters.
            on_joined: Called once this head's membership of a fleet is on the disk.
        """
        self.durable = bool(stored.origin)
        self.was_founded = False
        self._me = me
        self._settings = settings
        self._replication = replication
        self._streams = streams
        self._founding = Founding(me, settings.voters, stored.origin, stored.promised)
        self._on_joined = on_joined

    @property
    def origin(self) -> str:
        """The identity of the fleet: its founder's, or a new one after a recovery; "" if there is none."""
        return self._founding.origin

    def accepts_entries_of(self, origin: str) -> bool:
        """Return whether committed entries from a head of this fleet may be applied here."""
        return bool(origin) and (not self.origin or (origin == self.origin and self.durable))

    # -- founding -----------------------------------------------------------------------------------------
    async def promise(self, founder: Voter) -> bytes:
        """Promise to join a founder's fleet; return the encoded answer once the promise is on the disk.

        Raises:
            TimeoutError: The promise was not written in time.
        """
        before = self._founding.promised_to
        answer = self._founding.promise(founder)
        if self._founding.promised_to != before:
            async with asyncio.timeout(PROMISE_TIMEOUT.total_seconds()):
                await self._store_promise(answer.founder)
        return msgspec.msgpack.encode(answer)

    async def _store_promise(self, founder: str) -> None:
        """Store the founder that this head has promised to join, and wait until that is on the disk."""
        stored: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_stored() -> None:
            if not stored.done():  # the waiting caller may have timed out
                stored.set_result(None)

        self._replication.store(BootstrapWrite(promised=founder), on_stored)
        await stored

    async def found_fleet(self) -> None:
        """Ask the voters for promises until the fleet is founded, if this head is the founder."""
        while not self.origin:
            await asyncio.sleep(FOUNDING_INTERVAL.total_seconds())
            if not self._founding.is_founder or not self._replication.disk_writable:
                continue
            if self._founding.promised_to != self._me.identity:
                with contextlib.suppress(TimeoutError):
                    await self.promise(self._me)
                continue
            founded = self._count_promises(await self._collect_promises())
            if founded is not None:
                self.adopt(founded)
                await self._request_of_voters(calls.FOUND, msgspec.msgpack.encode(founded))

    def _count_promises(self, promises: list[Promised]) -> Founded | None:
        """Process promises; return the founding once all voters have promised."""
        for promised in promises:
            founded = self._founding.receive(promised)
            if founded is not None:
                return founded
        return None

    async def _collect_promises(self) -> list[Promised]:
        """Collect the promises of the other voters; if there are none, this head's own."""
        results = await self._request_of_voters(calls.PROMISE, b"")
        bodies = [result.body for result in results if isinstance(result, Reply) and result.body]
        promises = [msgspec.msgpack.decode(body, type=Promised) for body in bodies]
        return promises or [self._founding.promise(self._me)]

    async def _request_of_voters(self, kind: str, body: bytes) -> list[Reply | BaseException]:
        """Send a request to all other initial voters concurrently; return each one's answer or error."""
        others = [name for name in self._settings.voters if name != self._settings.name]
        requests = (self._streams.request(name, kind, body) for name in others)
        return await asyncio.gather(*requests, return_exceptions=True)

    # -- joining ------------------------------------------------------------------------------------------
    def adopt(self, founded: Founded) -> None:
        """Join a fleet by a founding that names this head; ignored unless this head promised to join it."""
        if not self._founding.adopt(founded):
            return
        self.was_founded = True
        logger.info(
            "heads: fleet {origin} founded with voters {voters}",
            event="heads.founded",
            origin=founded.origin[:8],
            voters=", ".join(voter.name for voter in founded.voters),
        )
        self._replication.start_from(founded.snapshot(), 0, founded.origin, self._on_founding_durable)

    def adopt_missed_founding(self, fetched: calls.Fetched) -> bool:
        """Join the fleet this head promised to join, if it missed the founding; return whether it did."""
        if self.origin or fetched.snapshot is None:
            return False
        if not self._founding.adopt(Founded(fetched.origin, fetched.voters)):
            return False
        self._replication.start_from(fetched.snapshot, 0, fetched.origin, self._on_founding_durable)
        return True

    def join(self, origin: str) -> None:
        """Join the fleet that this head follows, without a vote; ignored if it belongs to one already."""
        if origin and not self.origin:
            self._founding.origin = origin
            self.durable = True
            self._replication.store(BootstrapWrite(origin=origin), lambda: None)

    def start_new_fleet(self, origin: str, snapshot: Snapshot, term: int) -> None:
        """Continue as a new fleet with this state, after the voters of the old one were lost.

        Args:
            origin: The identity of the new fleet.
            snapshot: Its state, with this head as its only voter.
            term: The first term of its log, above that of the old fleet.
        """
        self._founding.origin = origin
        self.was_founded = False
        self._replication.start_from(snapshot, term, origin, self._on_founding_durable)

    def _on_founding_durable(self) -> None:
        """Record that the membership is on the disk."""
        self.durable = True
        self._on_joined()
