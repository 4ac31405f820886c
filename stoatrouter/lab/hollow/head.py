"""One hollow head: the real control loops of `peering.heads.Heads` without fronts, engine and clients.

Only the environment of the control part is replaced: the engine has a clock and a gate but no nodes, and rule
tables are shared within the process. The detector, the streams, the agreement with its disk, the history of
rules, credit and the discovery watch are the same objects as in a real head.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any, cast

import msgspec
from loguru import logger

from stoatrouter.config import Config, ConfigError
from stoatrouter.core import model
from stoatrouter.core.discovery_timeouts import discovery_timeouts
from stoatrouter.credit.gate import Gate
from stoatrouter.fronts.http.settings import HttpSettings
from stoatrouter.fronts.wiring import create_http_tables
from stoatrouter.lab.hollow.logs import HEAD_FIELD
from stoatrouter.lab.hollow.network import Network
from stoatrouter.lab.hollow.tables import HollowTables, SharedTableCache
from stoatrouter.net.clock import Clock
from stoatrouter.net.discovery import Watch
from stoatrouter.peering.heads import Heads, persisted_version
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.policy import Scheduler


class Lifecycle(Enum):
    """The state of a hollow head."""

    NEW = "new"
    STARTING = "starting"
    RUNNING = "running"
    DOWN = "down"  # stopped by a command
    DIED = "died"  # ended with an error


@dataclass(slots=True)
class HollowReducer:
    """The part of the reducer of the core that credit reads and sets."""

    scheduler: Scheduler
    gate: Gate | None = None


@dataclass(slots=True)
class HollowEngine:
    """The part of the engine that credit reads and sets."""

    reducer: HollowReducer
    clock: Clock = field(default_factory=Clock)
    prepare: Callable[[model.Request], Awaitable[bool]] | None = None


class SharedResources:
    """Settings, compiled tables and the network, which all hollow heads of a process share."""

    def __init__(
        self, conf: Config, http: HttpSettings | None, network: Network, watches: bool = True
    ) -> None:
        """Compile the tables of the deployment.

        Args:
            conf: The configuration of all heads.
            http: The settings of the HTTP front, whose rules are replicated; None: no rules.
            network: The simulated delays and partitions between heads.
            watches: Whether heads watch discovery.
        """
        self.conf = conf
        self.http = http
        self.network = network
        self.watches = watches
        self.scheduler = Scheduler(conf.settings, seed=conf.seed)
        self.tables = None if http is None else SharedTableCache(create_http_tables(conf, http))


class HollowHead:
    """One hollow head: `start` and `close` act as on a real head; `crash` ends it like a killed process."""

    def __init__(self, name: str, settings: HeadsSettings, shared: SharedResources) -> None:
        """Create a head; nothing runs before `start`."""
        self.name = name
        self.settings = settings
        self.shared = shared
        self.lifecycle = Lifecycle.NEW
        self.death_reason = ""
        self.heads: Heads | None = None
        self.watch: Watch | None = None
        self.listed_nodes = 0  # maximum length of a list from discovery
        self.served = 0  # requests made by `spend`
        self.rejected = 0
        self.watching: asyncio.Task[None] | None = None
        self.ready: asyncio.Task[None] | None = None
        # The attributes of a head that `Heads` uses.
        self.conf = shared.conf
        self.engine = HollowEngine(HollowReducer(shared.scheduler))
        self.http_tables = None if shared.tables is None else HollowTables(shared.tables)

    def is_running(self) -> bool:
        """Whether the head has started and has not ended."""
        return self.lifecycle is Lifecycle.RUNNING

    def is_active(self) -> bool:
        """Whether the head is running or starting."""
        return self.lifecycle in (Lifecycle.STARTING, Lifecycle.RUNNING)

    @property
    def counts(self) -> Counter[str]:
        """The message counters since the last start, by kind, as on a real head."""
        return Counter() if self.heads is None else Counter(self.heads.fleet.counters.by_name)

    # -- lifecycle ---------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Start, or restart with the same folder; returns once a real head would be ready.

        Raises:
            OSError: A socket or file cannot be opened.
            ConfigError: The settings are invalid.
        """
        assert not self.is_active(), f"{self.name} is already running"
        self.lifecycle = Lifecycle.STARTING
        self.death_reason = ""
        with logger.contextualize(**{HEAD_FIELD: self.name}):
            try:
                await self._start()
            except (OSError, ConfigError) as error:
                self.mark_died(f"failed to start: {error}")
                raise
        if self.lifecycle is Lifecycle.STARTING:
            self.lifecycle = Lifecycle.RUNNING

    async def _start(self) -> None:
        started_with, _ = persisted_version(self.settings, self.shared.http)
        heads = self.heads = Heads(self.settings, cast(Any, self), started_with)
        self._begin_watch()
        network, fleet = self.shared.network, heads.fleet
        network.attach_streams(self.name, fleet.streams)
        self.ready = ready = asyncio.get_running_loop().create_task(heads.start())
        while not ready.done() and not fleet.tasks:  # the sockets are open once the loops run
            await asyncio.sleep(0)
        if fleet.datagrams is not None and fleet.datagrams.transport is not None:
            network.attach_datagrams(self.name, fleet.datagrams)
        await ready
        for task in (*fleet.tasks, *heads.tasks):
            task.add_done_callback(self._on_task_end)

    def _begin_watch(self) -> None:
        """Watch the node list as a real head does, unless watches are disabled."""
        conf = self.shared.conf
        if not self.shared.watches:
            return
        pushed = not conf.settings.must_subscribe
        self.watch = Watch(
            conf.discovery,
            {},
            self._on_node_list,
            lambda _: None,
            pushed,
            discovery_timeouts(pushed, conf.drain_grace),
            conf.zones,
        )
        self.watching = asyncio.get_running_loop().create_task(self.watch.run())
        self.watching.add_done_callback(self._on_task_end)

    def _on_node_list(self, kind: object, nodes: tuple[object, ...], age: timedelta | None) -> None:
        if nodes and self.watch is not None:
            self.listed_nodes = max(self.listed_nodes, len(nodes))

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        """Mark the head as died if a task of the control part has failed or was cancelled.

        Its loops never end otherwise; the founding task returns when it is done.
        """
        if not self.is_active():
            return
        error = "cancelled" if task.cancelled() else task.exception()
        if error is not None:
            self.mark_died(f"{task.get_name()} ended: {error!r}")

    def mark_died(self, reason: str) -> None:
        """Mark this head as died; all later reports contain the reason."""
        self.lifecycle = Lifecycle.DIED
        self.death_reason = reason
        with logger.contextualize(**{HEAD_FIELD: self.name}):
            logger.error("hollow head {name} died: {why}", event="hollow.died", name=self.name, why=reason)

    async def close(self) -> None:
        """Shut down gracefully: announce that the head leaves, and settle its credit."""
        if not self.is_active():
            return
        self.lifecycle = Lifecycle.DOWN
        with logger.contextualize(**{HEAD_FIELD: self.name}):
            await self._end_watch()
            if self.heads is not None:
                await self.heads.close()

    async def crash(self) -> None:
        """End like a killed process: send nothing, and leave files as they are."""
        if not self.is_active():
            return
        self.lifecycle = Lifecycle.DOWN
        await self._end_watch()
        heads = self.heads
        if heads is None:
            return
        datagrams = heads.fleet.datagrams
        if datagrams is not None and datagrams.transport is not None:
            datagrams.transport.abort()
        ending = [*heads.tasks, *([self.ready] if self.ready is not None else [])]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        if heads.rules is not None:
            await heads.rules.close()
        if heads.credit is not None:
            heads.credit.journal.close()
        await heads.fleet.close()

    async def _end_watch(self) -> None:
        if self.watching is not None:
            self.watching.cancel()
            await asyncio.gather(self.watching, return_exceptions=True)
            self.watching = None

    # -- credit -------------------------------------------------------------------------------------------
    async def spend(self, id: str, volume: str, units: float = 1.0) -> bool:
        """Run the credit part of one request of a customer; returns whether it was served.

        A request that credit admits counts as served.
        """
        request = model.Request(id, 0, 0, volume, "", 0, units, 1, timedelta(seconds=2), False)
        engine = self.engine
        if not self.is_running() or engine.prepare is None or engine.reducer.gate is None:
            return False
        with contextlib.suppress(TimeoutError):
            await engine.prepare(request)
        if not self.is_running():
            return False
        if engine.reducer.gate.take(request, engine.clock.now()) is not None:
            self.rejected += 1
            return False
        engine.reducer.gate.end(request.id, True)
        self.served += 1
        return True


def settings_of_head(
    common: HeadsSettings, name: str, address: str | None, peers: tuple[str, ...]
) -> HeadsSettings:
    """Return the settings of one head: those of the fleet with its own name, folder and addresses."""
    return msgspec.structs.replace(
        common,
        name=name,
        folder=common.folder.parent / name,
        listen=common.streams.get(name),
        peer_listen=address,
        peers=tuple(peer for peer in peers if peer != address),
    )
