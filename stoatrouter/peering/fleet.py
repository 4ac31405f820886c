"""One head among the others: detector, agreement and what runs beside them, put together and kept going."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from loguru import logger

from stoatrouter import config
from stoatrouter.agreement.availability import Availability
from stoatrouter.agreement.founding import Founded
from stoatrouter.agreement.machine import Command, Machine, Part
from stoatrouter.agreement.records import AnyMessage, AppendEntries, Voter
from stoatrouter.membership.detector import Detector
from stoatrouter.membership.roster import Status
from stoatrouter.peering import calls
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.datagrams import Datagrams
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.follower import Follower
from stoatrouter.peering.leader_client import LeaderClient
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.storage import Storage
from stoatrouter.peering.streams import Streams

CallHandler = Callable[[Envelope], Awaitable[bytes]]


class Fleet:
    """What other parts of the head see of the others. `parts` are what the heads agree on, by name."""

    def __init__(self, settings: HeadsSettings, seed: int, parts: dict[str, Part]) -> None:
        self.settings, self.counters = settings, MessageCounters()
        draws = random.Random(f"fleet/{seed}/{settings.name}")
        storage = Storage(settings.folder)
        stored = self.stored = storage.open()
        if stored.reset_reason is not None:
            logger.error(
                "heads: begins under a new identity, without a vote: {why}",
                event="heads.fresh",
                why=stored.reset_reason,
            )
        self.me = Voter(settings.name, stored.identity)
        # what an earlier process of this head said is told from what this one says by a number that goes up,
        # also without a disk as long as the clock does not go back
        self.incarnation = max(time.time_ns() // 1_000_000, stored.boot)
        self.replication = Replication(
            self.me,
            stored,
            storage,
            Machine(parts),
            settings.agreement,
            seed,
            self.now,
            self._send,
            self._refresh,
        )
        self.streams = Streams(
            EnvelopeSealer(settings.secret, settings.fleet, settings.name),
            self.me,
            self.incarnation,
            settings.streams,
            self.counters,
            self._answer,
            lambda: self.bootstrap.origin,
        )
        self.bootstrap = FleetBootstrap(
            self.me, settings, stored, self.replication, self.streams, self._refresh
        )
        self.monitor = AvailabilityMonitor(settings, self.replication, self.bootstrap, self.now)
        self.follower = Follower(
            settings, self.replication, self.streams, self.bootstrap, self.monitor, self.now, draws
        )
        self._client = LeaderClient(settings, self.replication, self.streams, self.follower, self.now, draws)
        self.datagrams = self._make_datagrams(seed)
        self.handlers: dict[str, CallHandler] = {}  # of parts, for calls between heads of their own kinds
        self.tasks: list[asyncio.Task[None]] = []

    def _make_datagrams(self, seed: int) -> Datagrams | None:
        """The failure detector; None where this head is told of no address for it."""
        settings = self.settings
        if settings.peer_listen is None:
            return None
        detector = Detector(settings.name, self.incarnation, settings.peers, seed, settings.detector)
        return Datagrams(
            detector, settings.secret, settings.fleet, settings.peers, self.now, self.counters, self._seen
        )

    @staticmethod
    def now() -> timedelta:
        """This head's monotonic time: no clock that is set moves it."""
        return timedelta(seconds=time.monotonic())

    # -- start and end ------------------------------------------------------------------------------------
    def restart(self) -> None:
        """Apply what the disk holds, once all parts are known."""
        self.replication.restart(self.stored.disk.snapshot)

    async def start(self) -> None:
        """Listen, then take part."""
        settings = self.settings
        await self.streams.start(config.parse_address(settings.listen) if settings.listen else None)
        loop = asyncio.get_running_loop()
        if self.datagrams is not None and settings.peer_listen is not None:
            await self.datagrams.start(*config.parse_address(settings.peer_listen))
            self.tasks.append(loop.create_task(self.datagrams.run_for_ever()))
        self.tasks += [
            loop.create_task(work)
            for work in (
                self.replication.run_for_ever(),
                self.follower.run_for_ever(),
                self.bootstrap.found_fleet(),
                self.monitor.run_for_ever(),
            )
        ]
        logger.info(
            "heads: {name} of {fleet} is {identity}, process {process}",
            event="heads.start",
            name=settings.name,
            fleet=settings.fleet,
            identity=self.me.identity[:8],
            process=self.incarnation,
        )

    async def close(self) -> None:
        """Say that this head leaves, and end."""
        if self.datagrams is not None:
            self.datagrams.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.streams.close()
        self.replication.close()

    # -- for other parts of the head ----------------------------------------------------------------------
    @property
    def availability(self) -> Availability:
        """What this head may do at this moment."""
        return self.monitor.current()

    @property
    def majority_age(self) -> timedelta | None:
        """How long ago a majority was connected, as far as this head knows."""
        return self.monitor.contact.age(self.now())

    @property
    def leader(self) -> str | None:
        """Who leads, as far as this head knows."""
        return self._client.leader

    def live_heads(self) -> set[str]:
        """Heads that are not known to have failed or left, this one with them."""
        if self.datagrams is None:
            return {self.settings.name, *self.settings.streams}
        held = self.datagrams.detector.roster.members.values()
        return {news.name for news in held if news.status <= Status.SUSPECT}

    async def command(self, part: str, body: bytes, id: str, within: timedelta) -> bytes:
        """Bring a command through at whoever leads; its answer.

        Raises ReplicationError: it may come to hold later, and asked again under its id it gives one answer.
        """
        return await self._client.command(part, body, id, within)

    async def read(self, within: timedelta) -> None:
        """Wait until this head holds all that was agreed on before; raises ReplicationError."""
        await self._client.read(within)

    # -- messages -----------------------------------------------------------------------------------------
    def _send(self, to: Voter, message: AnyMessage) -> None:
        self.streams.enqueue(to.name, (to.identity, message))

    def _refresh(self) -> None:
        self.monitor.refresh()

    def _seen(self, name: str, status: Status) -> None:
        """The detector's view has changed."""
        for watcher in self.monitor.watchers:
            watcher()

    async def _answer(self, envelope: Envelope) -> bytes | None:
        """One message of another head, believed; the answer, where there is one."""
        body = envelope.body
        match envelope.kind:
            case calls.AGREE:
                for identity, message in msgspec.msgpack.decode(body, type=calls.Batch):
                    # Guards promises: what is for this head's earlier disk is not for it.
                    if identity == self.me.identity:
                        self._hear(envelope.sender, message)
                return None
            case calls.FETCH:
                return await self.follower.answer(msgspec.msgpack.decode(body, type=calls.Fetch))
            case calls.COMMAND:
                return await self._client.answer_command(msgspec.msgpack.decode(body, type=Command))
            case calls.READ:
                return await self._client.answer_read()
            case calls.PROMISE:
                return await self.bootstrap.promise(envelope.sender)
            case calls.FOUND:
                self.bootstrap.adopt(msgspec.msgpack.decode(body, type=Founded))
                return None
        handler = self.handlers.get(envelope.kind)
        return None if handler is None else await handler(envelope)

    def _hear(self, sender: Voter, message: AnyMessage) -> None:
        """A message of the agreement."""
        # Guards promises: what comes before this head's beginning is on its disk would be forgotten by it.
        if not self.bootstrap.durable:
            return
        self.replication.hear(sender, message)
        raft = self.replication.raft
        if isinstance(message, AppendEntries) and raft.leader == sender and message.term == raft.term:
            self.monitor.note_contact(raft.contact, message.leader_commit)
