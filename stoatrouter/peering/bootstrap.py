"""How this head comes to belong to a fleet: founding it, adopting a founding, or following one that runs.

Decides nothing: when a fleet is founded, and by whom, stands in agreement/founding.py. What a head promises
or adopts is on its disk before anybody is notified of it.
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
PROMISE_TIMEOUT = timedelta(seconds=2)  # for the disk; a broken one promises nothing


class FleetBootstrap:
    """To which fleet one head belongs, and how it comes to belong to one.

    Attributes:
        durable: Whether the beginning of the fleet is on this head's disk.
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
        """Go on with what the disk holds.

        Args:
            me: This head, with the identity of its disk.
            settings: Names the first voters.
            stored: What the disk holds.
            replication: Stores what is promised, and begins with a fleet's first state.
            streams: To the other voters.
            on_joined: Called once this head has begun to belong to a fleet, durably.
        """
        self.durable = bool(stored.origin)
        self._me = me
        self._settings = settings
        self._replication = replication
        self._streams = streams
        self._founding = Founding(me, settings.voters, stored.origin, stored.promised)
        self._on_joined = on_joined

    @property
    def origin(self) -> str:
        """The identity of the fleet's founder; "" where this head belongs to none."""
        return self._founding.origin

    def accepts_entries_of(self, origin: str) -> bool:
        """Whether entries that a head of this fleet holds as committed may be learnt here."""
        return bool(origin) and (not self.origin or (origin == self.origin and self.durable))

    # -- founding -----------------------------------------------------------------------------------------
    async def promise(self, founder: Voter) -> bytes:
        """Promise a founder to begin with it, once that is on the disk; the encoded answer to it.

        Raises:
            TimeoutError: The disk did not take the promise in time.
        """
        before = self._founding.promised_to
        answer = self._founding.promise(founder)
        if self._founding.promised_to != before:
            async with asyncio.timeout(PROMISE_TIMEOUT.total_seconds()):
                await self._store_promise(answer.founder)
        return msgspec.msgpack.encode(answer)

    async def _store_promise(self, founder: str) -> None:
        """Store to whom this head is promised, and wait until that is on the disk."""
        stored: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_stored() -> None:
            if not stored.done():  # whoever waited may have given up
                stored.set_result(None)

        self._replication.store(BootstrapWrite(promised=founder), on_stored)
        await stored

    async def found_fleet(self) -> None:
        """Ask the voters for their promises until a fleet has begun, where this head is its founder."""
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
        """Take in promises; the founding, once all voters have promised."""
        for promised in promises:
            founded = self._founding.receive(promised)
            if founded is not None:
                return founded
        return None

    async def _collect_promises(self) -> list[Promised]:
        """What the other voters promise; alone, what this head has promised itself."""
        results = await self._request_of_voters(calls.PROMISE, b"")
        bodies = [result.body for result in results if isinstance(result, Reply) and result.body]
        promises = [msgspec.msgpack.decode(body, type=Promised) for body in bodies]
        return promises or [self._founding.promise(self._me)]

    async def _request_of_voters(self, kind: str, body: bytes) -> list[Reply | BaseException]:
        """Send a request to all other voters of the settings at once: each one's answer, or the error."""
        others = [name for name in self._settings.voters if name != self._settings.name]
        requests = (self._streams.request(name, kind, body) for name in others)
        return await asyncio.gather(*requests, return_exceptions=True)

    # -- beginning ----------------------------------------------------------------------------------------
    def adopt(self, founded: Founded) -> None:
        """Begin with a founding that names this head; nothing where it is not the one promised to."""
        if not self._founding.adopt(founded):
            return
        logger.info(
            "heads: the fleet {origin} is founded by {voters}",
            event="heads.founded",
            origin=founded.origin[:8],
            voters=", ".join(voter.name for voter in founded.voters),
        )
        self._replication.start_from(founded.snapshot(), 0, founded.origin, self._on_founding_durable)

    def adopt_missed_founding(self, fetched: calls.Fetched) -> bool:
        """Begin with a founding that this head had promised to and did not hear of; whether it does."""
        if self.origin or fetched.snapshot is None:
            return False
        if not self._founding.adopt(Founded(fetched.origin, fetched.voters)):
            return False
        self._replication.start_from(fetched.snapshot, 0, fetched.origin, self._on_founding_durable)
        return True

    def join(self, origin: str) -> None:
        """Belong to the fleet that this head follows, without a vote; nothing where it belongs to one."""
        if origin and not self.origin:
            self._founding.origin = origin
            self.durable = True
            self._replication.store(BootstrapWrite(origin=origin), lambda: None)

    def start_new_fleet(self, origin: str, snapshot: Snapshot, term: int) -> None:
        """Go on as a fleet of another origin, with this state: the voters of the old one are lost.

        Args:
            origin: The identity of the new fleet.
            snapshot: Its state, with this head as its only voter.
            term: The term that its log goes on in, above that of the old one.
        """
        self._founding.origin = origin
        self._replication.start_from(snapshot, term, origin, self._on_founding_durable)

    def _on_founding_durable(self) -> None:
        """Note that the beginning is on the disk."""
        self.durable = True
        self._on_joined()
