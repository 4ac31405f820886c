"""One head among the others: the failure detector, the agreement and what runs beside them, put together."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from datetime import timedelta

from loguru import logger

from stoatrouter import config
from stoatrouter.agreement.availability import Availability
from stoatrouter.agreement.machine import Machine, Part
from stoatrouter.agreement.records import AnyMessage, Voter
from stoatrouter.membership.detector import Detector
from stoatrouter.membership.roster import Status
from stoatrouter.net.background import start_task
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.bootstrap import FleetBootstrap
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.datagrams import Datagrams
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import ReplicationError
from stoatrouter.peering.follower import Follower
from stoatrouter.peering.follower_feed import FollowerFeed
from stoatrouter.peering.handlers import MessageHandlers
from stoatrouter.peering.leader_client import LeaderClient
from stoatrouter.peering.leader_service import LeaderService
from stoatrouter.peering.propagation import ChangePropagation
from stoatrouter.peering.replication import Replication
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.peering.storage import Storage, StoredState
from stoatrouter.peering.streams import Streams
from stoatrouter.peering.tasks import cancel_tasks


class Fleet:
    """What other parts of the head see of the other heads.

    Attributes:
        settings: The settings of the heads.
        counters: Messages between heads, by kind.
        stored: What the disk had at the start.
        me: This head, with the identity of its disk.
        incarnation: Of this process; higher than that of any earlier process of this head.
        replication: The replicated log and state machine.
        streams: Requests to other heads.
        bootstrap: To which fleet this head belongs.
        monitor: What this head may do.
        follower: Polls voters where no leader replicates to this head.
        follower_feed: Answers the polls of others.
        datagrams: The failure detector; None where no address for it is configured.
        handlers: What answers messages of other heads, by kind; parts add their own kinds.
        tasks: The loops that run since `start`.
    """

    def __init__(self, settings: HeadsSettings, seed: int, parts: dict[str, Part]) -> None:
        """Open the disk and put all parts together; nothing is sent or received before `start`.

        Args:
            settings: The settings of the heads.
            seed: Of election timeouts, the detector's draws and the jitter of retries.
            parts: What the heads agree on, by name; parts may be added until `restore_stored`.

        Raises:
            ConfigError: The folder is in use, or its database belongs to something else.
        """
        self.settings = settings
        self.counters = MessageCounters()
        rng = random.Random(f"fleet/{seed}/{settings.name}")
        storage = Storage(settings.folder)
        self.stored = storage.open()
        report_reset(self.stored)
        self.me = Voter(settings.name, self.stored.identity)
        self.incarnation = choose_incarnation(self.stored)
        self.replication = self._make_replication(storage, seed, parts)
        self.streams = self._make_streams()
        self.bootstrap = FleetBootstrap(
            self.me, settings, self.stored, self.replication, self.streams, self._on_fleet_joined
        )
        self.monitor = AvailabilityMonitor(settings, self.replication, self.bootstrap, self.now)
        self.follower = Follower(
            settings, self.replication, self.streams, self.bootstrap, self.monitor, self.now, rng
        )
        self.follower_feed = FollowerFeed(self.replication, self.bootstrap, self.monitor, self.now)
        self.datagrams = self._make_datagrams(seed)
        self.tasks: list[asyncio.Task[None]] = []
        self.propagation = ChangePropagation(
            settings.name, settings.cut_off_after, self.replication, self.streams, self.now
        )
        service = LeaderService(self.replication)
        self._leader_client = LeaderClient(
            settings, self.replication, self.streams, self.follower, service, self.now, rng
        )
        self._message_handlers = MessageHandlers(
            self.me,
            self.replication,
            self.bootstrap,
            self.monitor,
            self.follower_feed,
            service,
            self.propagation,
            self.now,
        )
        self.handlers = self._message_handlers.by_kind

    def _make_replication(self, storage: Storage, seed: int, parts: dict[str, Part]) -> Replication:
        return Replication(
            self.me,
            self.stored,
            storage,
            Machine(parts),
            self.settings.agreement,
            seed,
            self.now,
            self._send,
            self._refresh,
        )

    def _make_streams(self) -> Streams:
        settings = self.settings
        return Streams(
            EnvelopeSealer(settings.secret, settings.fleet, settings.name),
            self.me,
            self.incarnation,
            settings.streams,
            self.counters,
            self._handle,
            lambda: self.bootstrap.origin,
        )

    def _make_datagrams(self, seed: int) -> Datagrams | None:
        settings = self.settings
        if settings.peer_listen is None:
            return None
        detector = Detector(settings.name, self.incarnation, settings.peers, seed, settings.detector)
        return Datagrams(
            detector,
            settings.secret,
            settings.fleet,
            settings.peers,
            self.now,
            self.counters,
            self._on_status_change,
        )

    @staticmethod
    def now() -> timedelta:
        """This head's monotonic time: no clock that is set moves it."""
        return timedelta(seconds=time.monotonic())

    # -- start and end ------------------------------------------------------------------------------------
    def restore_stored(self) -> None:
        """Apply what the disk holds, once all parts are known."""
        self.replication.restore_stored()

    async def start(self) -> None:
        """Listen, then take part; raises OSError where an address cannot be listened on."""
        settings = self.settings
        await self.streams.start(config.parse_address(settings.listen) if settings.listen else None)
        if self.datagrams is not None and settings.peer_listen is not None:
            await self.datagrams.start(*config.parse_address(settings.peer_listen))
            self.tasks.append(start_task("datagrams", self.datagrams.run_forever))
        self.tasks += [
            start_task(name, run)
            for name, run in (
                ("replication", self.replication.run_forever),
                ("follower", self.follower.run_forever),
                ("founding", self.bootstrap.found_fleet),
                ("availability", self.monitor.run_forever),
                ("polls", self.propagation.run_forever),
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
        """Notify the others that this head leaves, and end; what is queued for the disk is written."""
        if self.datagrams is not None:
            self.datagrams.close()
        await cancel_tasks(self.tasks)
        await self.streams.close()
        self.replication.close()

    # -- for other parts of the head ----------------------------------------------------------------------
    @property
    def availability(self) -> Availability:
        """What this head may do at this moment."""
        return self.monitor.current()

    @property
    def majority_age(self) -> timedelta | None:
        """How long ago a majority was connected, as far as this head knows; None: it knows of none."""
        return self.monitor.contact.age(self.now())

    @property
    def followed_age(self) -> timedelta | None:
        """How long ago all that was committed was applied here; None: not known since the start."""
        return self.monitor.followed.age(self.now())

    @property
    def leader(self) -> str | None:
        """The name of the leader, as far as this head knows."""
        return self._leader_client.leader

    def live_heads(self) -> set[str]:
        """Names of the heads that are not known to have failed or left, this one with them."""
        if self.datagrams is None:
            return {self.settings.name, *self.settings.streams}
        members = self.datagrams.detector.roster.members.values()
        return {member.name for member in members if member.status <= Status.SUSPECT}

    async def command(self, part: str, body: bytes, id: str, timeout: timedelta) -> bytes:
        """Have a command committed by whoever leads; the part's answer.

        Args:
            part: The part that the command is for.
            body: The command, as the part encodes it.
            id: Its idempotency key: sent again under it, it is not applied again.
            timeout: How long it may take.

        Raises:
            ReplicationError: It was not brought through in time, but may still take effect; sent again under
                its id it gives the one answer.
        """
        return await self._leader_client.command(part, body, id, timeout)

    async def read(self, timeout: timedelta) -> None:
        """Wait until all that was committed before the call is applied here, as a majority confirms it.

        Raises:
            ReplicationError: That could not be confirmed or applied in time.
        """
        await self._leader_client.read(timeout)

    async def wait_until_known(self, timeout: timedelta) -> bool:
        """Wait until no head decides any more by what was before the last commit.

        Args:
            timeout: How long it may take to learn what is committed.

        Returns:
            Whether all heads have applied it; else the others must have noticed that they are cut off.
        """
        index: int | None = None
        with contextlib.suppress(ReplicationError):
            await self.read(timeout)
            index = self.replication.machine.index
        return await self.propagation.wait_until_known(index)

    # -- between the parts --------------------------------------------------------------------------------
    def _send(self, receiver: Voter, message: AnyMessage) -> None:
        self.streams.enqueue(receiver, message)

    async def _handle(self, envelope: Envelope) -> bytes | None:
        return await self._message_handlers.handle(envelope)

    def _on_fleet_joined(self) -> None:
        """Note that this head has begun to belong to a fleet, or to another one."""
        self.monitor.reset_followed()
        self.monitor.refresh()

    def _refresh(self) -> None:
        self.monitor.refresh()

    def _on_status_change(self, name: str, status: Status) -> None:
        for watcher in self.monitor.watchers:
            watcher()


def report_reset(stored: StoredState) -> None:
    """Log why the disk has a new identity, where it had another one before."""
    if stored.reset_reason is not None:
        logger.error(
            "heads: begins under a new identity, without a vote: {why}",
            event="heads.fresh",
            why=stored.reset_reason,
        )


def choose_incarnation(stored: StoredState) -> int:
    """A number for this process above those of the earlier processes of this head.

    It is the time of day in milliseconds, and at least the count of starts that the disk holds: without a
    disk it goes up as long as the clock does not go back.
    """
    return max(time.time_ns() // 1_000_000, stored.start_count)
