"""To which fleet this head belongs, and how it comes to belong to one: founding, adopting and following.

Decides nothing: when a fleet is founded, and by whom, stands in agreement/founding.py. What a head promises
or adopts is on its disk before it is told to anybody.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from loguru import logger

from stoatrouter.agreement.founding import Founded, Founding, Promised
from stoatrouter.agreement.records import Snapshot, Voter
from stoatrouter.peering import calls
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.storage import StoredState
from stoatrouter.peering.streams import Streams

FOUND_EVERY = timedelta(milliseconds=300)
PROMISE_WITHIN = timedelta(seconds=2)


class FleetBootstrap:
    """One head's fleet. `changed` is called when the head has begun to belong to one."""

    def __init__(
        self,
        me: Voter,
        settings: HeadsSettings,
        stored: StoredState,
        agreed: Replication,
        streams: Streams,
        changed: Callable[[], None],
    ) -> None:
        self.me, self.settings, self.replication, self.streams = me, settings, agreed, streams
        self.founding = Founding(me, settings.voters, stored.origin, stored.promised)
        self.durable = bool(stored.origin)  # the beginning of the fleet is on this head's disk
        self._changed = changed

    @property
    def origin(self) -> str:
        """The identity of the fleet's founder; "" where this head belongs to none."""
        return self.founding.origin

    def may_learn_from(self, origin: str) -> bool:
        """Whether what a head of this fleet has agreed on may be taken in here."""
        return bool(origin) and (not self.origin or (origin == self.origin and self.durable))

    # -- founding -----------------------------------------------------------------------------------------
    async def promise(self, founder: Voter) -> bytes:
        """Promise a founder to begin with it, once that is on the disk; the answer to it."""
        before = self.founding.promised_to
        answer = self.founding.promise(founder)
        if self.founding.promised_to != before:
            done = asyncio.get_running_loop().create_future()
            self.replication.keep(lambda: done.done() or done.set_result(None), promised=answer.founder)
            async with asyncio.timeout(PROMISE_WITHIN.total_seconds()):  # a broken disk promises nothing
                await done
        return msgspec.msgpack.encode(answer)

    async def found_fleet(self) -> None:
        """The founder's part: ask the voters of the settings until a fleet has begun."""
        while not self.origin:
            await asyncio.sleep(FOUND_EVERY.total_seconds())
            if not self.founding.is_founder or not self.replication.disk_writable:
                continue
            if self.founding.promised_to != self.me.identity:
                with contextlib.suppress(TimeoutError):
                    await self.promise(self.me)
                continue
            for answer in await self._ask_promises():
                founded = self.founding.receive(answer)
                if founded is not None:
                    self.adopt(founded)
                    await self._ask_others(calls.FOUND, msgspec.msgpack.encode(founded))
                    break

    async def _ask_promises(self) -> list[Promised]:
        """What the other voters promise; alone, what this head has promised itself."""
        answers = await self._ask_others(calls.PROMISE, b"")
        bodies = [answer[1] for answer in answers if isinstance(answer, tuple) and answer[1]]
        promised = [msgspec.msgpack.decode(body, type=Promised) for body in bodies]
        return promised or [self.founding.promise(self.me)]

    async def _ask_others(self, kind: str, body: bytes) -> list[Any]:
        """Ask all other voters of the settings at once: who answered with what, or the error."""
        others = [name for name in self.settings.voters if name != self.settings.name]
        questions = (self.streams.request(name, kind, body) for name in others)
        return await asyncio.gather(*questions, return_exceptions=True)

    # -- beginning ----------------------------------------------------------------------------------------
    def adopt(self, founded: Founded) -> None:
        """Begin with a founding that names this head."""
        if not self.founding.adopt(founded):
            return
        logger.info(
            "heads: the fleet {origin} is founded by {voters}",
            event="heads.founded",
            origin=founded.origin[:8],
            voters=", ".join(v.name for v in founded.voters),
        )
        self.replication.begin(founded.snapshot(), 0, founded.origin, self._begun)

    def adopt_missed(self, fetched: calls.Fetched) -> bool:
        """Begin with a founding that this head had promised to and did not hear of; whether it does."""
        if self.origin or fetched.snapshot is None:
            return False
        if not self.founding.adopt(Founded(fetched.origin, fetched.voters)):
            return False
        self.replication.begin(fetched.snapshot, 0, fetched.origin, self._begun)
        return True

    def follow(self, origin: str) -> None:
        """A head that has no vote belongs to the fleet that it follows."""
        if origin and not self.origin:
            self.founding.origin, self.durable = origin, True
            self.replication.keep(lambda: None, origin=origin)

    def begin_alone(self, origin: str, snapshot: Snapshot, term: int) -> None:
        """Go on as a fleet of another origin, with this state."""
        self.founding.origin = origin
        self.replication.begin(snapshot, term, origin, self._begun)

    def _begun(self) -> None:
        """The beginning is on the disk."""
        self.durable = True
        self._changed()
