"""Assembles one head's part of the fleet: failure detector, agreement, streams and their helpers."""

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
    """One head's view of the fleet, and the calls that other parts of the head use.

    Attributes:
        settings: The settings of the heads.
        counters: Counts of messages between heads, by kind.
        stored: What the disk held at the start.
        me: This head, with the identity of its disk.
        incarnation: The number of this process; higher than that of any earlier process of this head.
        replication: The replicated log and state machine.
        streams: Requests to other heads.
        bootstrap: Knows the fleet that this head belongs to, and joins one.
        monitor: Tracks what this head may do.
        follower: Polls voters while no leader replicates to this head.
        follower_feed: Answers the polls of other heads.
        datagrams: The failure detector; None if no address for it is configured.
        handlers: The handlers of messages from other heads, by kind; parts add their own kinds.
        tasks: The background loops started by `start`.
    """

    def __init__(self, settings: HeadsSettings, seed: int, parts: dict[str, Part]) -> None:
        """Open the disk and create all components; nothing is sent or received before `start`.

        Args:
            settings: The settings of the heads.
            seed: Seeds election timeouts, the detector's random choices and the jitter of retries.
            parts: The parts of the state machine, by name; more may be added until `restore_stored`.

        Raises:
            ConfigError: The folder is in use, or its database belongs to another program or a later version.
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
        # What an earlier process of this head knew of its pollers is lost.
        self.propagation.polls.mark_incomplete(self.now())
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
        """Return this head's monotonic time, which setting the clock does not change."""
        return timedelta(seconds=time.monotonic())

    # -- start and end ------------------------------------------------------------------------------------
    def restore_stored(self) -> None:
        """Apply the state on the disk, after all parts were added."""
        self.replication.restore_stored()

    async def start(self) -> None:
        """Listen, then start all loops; raises OSError if an address cannot be listened on."""
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
            "heads: {name} of fleet {fleet} started with identity {identity}, process {process}",
            event="heads.start",
            name=settings.name,
            fleet=settings.fleet,
            identity=self.me.identity[:8],
            process=self.incarnation,
        )

    async def close(self) -> None:
        """Notify the other heads that this one leaves, finish queued writes and stop."""
        if self.datagrams is not None:
            self.datagrams.close()
        await cancel_tasks(self.tasks)
        await self.streams.close()
        self.replication.close()

    # -- for other parts of the head ----------------------------------------------------------------------
    @property
    def availability(self) -> Availability:
        """What this head may do now."""
        return self.monitor.current()

    @property
    def majority_age(self) -> timedelta | None:
        """Time since a majority was last connected, as far as this head knows; None: never known."""
        return self.monitor.contact.age(self.now())

    @property
    def followed_age(self) -> timedelta | None:
        """Time since all committed entries were applied here; None: never known since the start."""
        return self.monitor.followed.age(self.now())

    @property
    def leader(self) -> str | None:
        """The name of the leader, as far as this head knows."""
        return self._leader_client.leader

    def live_heads(self) -> set[str]:
        """Return the names of the heads not known to have failed or left, including this one."""
        if self.datagrams is None:
            return {self.settings.name, *self.settings.streams}
        members = self.datagrams.detector.roster.members.values()
        return {member.name for member in members if member.status <= Status.SUSPECT}

    async def command(self, part: str, body: bytes, id: str, timeout: timedelta) -> bytes:
        """Have a command committed by the leader; return the part's answer.

        Args:
            part: The part of the state machine that the command is for.
            body: The command, encoded by the part.
            id: The idempotency key: a command sent again under it is not applied again.
            timeout: The time limit, retries included.

        Raises:
            ReplicationError: It was not confirmed in time, but may still take effect; sent again under its
                id, it gets the same answer.
        """
        return await self._leader_client.command(part, body, id, timeout)

    async def read(self, timeout: timedelta) -> None:
        """Wait until all entries committed before the call are applied here, confirmed by a majority.

        Raises:
            ReplicationError: That could not be confirmed or applied in time.
        """
        await self._leader_client.read(timeout)

    async def wait_until_known(self, timeout: timedelta) -> bool:
        """Wait until no head decides by a state before the last commit any more.

        Args:
            timeout: The time limit for learning the commit index.

        Returns:
            Whether all heads have applied it; if not, the others must have noticed that they are cut off.
        """
        index: int | None = None
        with contextlib.suppress(ReplicationError):
            await self.read(timeout)
            index = self.replication.machine.index
        return await self.propagation.wait_until_known(index)

    # -- callbacks of the components ----------------------------------------------------------------------
    def _send(self, receiver: Voter, message: AnyMessage) -> None:
        self.streams.enqueue(receiver, message)

    async def _handle(self, envelope: Envelope) -> bytes | None:
        return await self._message_handlers.handle(envelope)

    def _on_fleet_joined(self) -> None:
        """Update the availability after this head joined a fleet, or a different one."""
        if self.bootstrap.was_founded:
            self.propagation.polls.mark_complete()
        self.propagation.note_voters()
        self.monitor.reset_followed()
        self.monitor.refresh()

    def _refresh(self) -> None:
        self.propagation.note_voters()
        self.monitor.refresh()

    def _on_status_change(self, name: str, status: Status) -> None:
        for watcher in self.monitor.watchers:
            watcher()


def report_reset(stored: StoredState) -> None:
    """Log why the disk has a new identity, if it had another one before."""
    if stored.reset_reason is not None:
        logger.error(
            "heads: starting under a new identity, without a vote: {why}",
            event="heads.fresh",
            why=stored.reset_reason,
        )


def choose_incarnation(stored: StoredState) -> int:
    """Return a number for this process above those of earlier processes of this head.

    It is the time of day in milliseconds, but at least the count of starts on the disk. Without a disk it
    increases as long as the clock is not set back.
    """
    return max(time.time_ns() // 1_000_000, stored.start_count)
