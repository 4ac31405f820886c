"""One hollow head: the real control loops of `peering.heads.Heads`, without fronts, engine and clients.

Hollow is what surrounds the control part: the engine has a clock, a gate and no nodes, rule tables are
shared within the process. The detector, the streams, the agreement with its disk, the history of rules,
credit and the discovery watch are the objects that a real head runs.
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
from stoatrouter.core.list_times import list_times
from stoatrouter.credit.gate import Gate
from stoatrouter.fronts.http.settings import HttpSettings
from stoatrouter.fronts.wiring import http_tables
from stoatrouter.lab.hollow.logs import HEAD_FIELD
from stoatrouter.lab.hollow.network import Network
from stoatrouter.lab.hollow.tables import CompiledOnce, HollowTables
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
    DOWN = "down"  # ended on command
    DIED = "died"  # ended by itself


@dataclass(slots=True)
class HollowReducer:
    """The part of the core's reducer that credit reads and sets."""

    scheduler: Scheduler
    gate: Gate | None = None


@dataclass(slots=True)
class HollowEngine:
    """The part of the engine that credit reads and sets."""

    reducer: HollowReducer
    clock: Clock = field(default_factory=Clock)
    prepare: Callable[[model.Request], Awaitable[bool]] | None = None


class SharedResources:
    """The deployment's settings, compiled tables and the network, shared by all hollow heads of a process."""

    def __init__(
        self, conf: Config, http: HttpSettings | None, network: Network, watches: bool = True
    ) -> None:
        """Compile the deployment's tables.

        Args:
            conf: The configuration of every head.
            http: The settings of the HTTP front, whose rules the heads agree on; None: no rules.
            network: Delays and partitions between the heads.
            watches: Whether heads follow discovery.
        """
        self.conf = conf
        self.http = http
        self.network = network
        self.watches = watches
        self.scheduler = Scheduler(conf.settings, seed=conf.seed)
        self.tables = None if http is None else CompiledOnce(http_tables(conf, http))


class HollowHead:
    """One hollow head: `start` and `close` as of a real one; `crash` ends it as a killed process ends."""

    def __init__(self, name: str, settings: HeadsSettings, surroundings: SharedResources) -> None:
        """Prepare a head; nothing runs before `start`."""
        self.name = name
        self.settings = settings
        self.surroundings = surroundings
        self.lifecycle = Lifecycle.NEW
        self.death_reason = ""
        self.heads: Heads | None = None
        self.watch: Watch | None = None
        self.listed_nodes = 0  # in the largest list that discovery sent
        self.served = 0  # requests of `spend`
        self.rejected = 0
        self.watching: asyncio.Task[None] | None = None
        self.ready: asyncio.Task[None] | None = None
        # The interface of a head that `Heads` uses.
        self.conf = surroundings.conf
        self.engine = HollowEngine(HollowReducer(surroundings.scheduler))
        self.http_tables = None if surroundings.tables is None else HollowTables(surroundings.tables)

    def is_running(self) -> bool:
        """Whether the head has started and has not ended."""
        return self.lifecycle is Lifecycle.RUNNING

    def is_active(self) -> bool:
        """Whether the head runs or is starting."""
        return self.lifecycle in (Lifecycle.STARTING, Lifecycle.RUNNING)

    @property
    def counts(self) -> Counter[str]:
        """Messages by kind since the last start, as a real head counts them."""
        return Counter() if self.heads is None else Counter(self.heads.fleet.counters.by_name)

    # -- lifecycle ---------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Start, or start again with the same folder; returns once a real head would be ready.

        Raises:
            OSError: A socket or file cannot be opened.
            ConfigError: The settings do not fit.
        """
        assert not self.is_active(), f"{self.name} runs already"
        self.lifecycle = Lifecycle.STARTING
        self.death_reason = ""
        with logger.contextualize(**{HEAD_FIELD: self.name}):
            try:
                await self._start()
            except (OSError, ConfigError) as error:
                self.die(f"it did not start: {error}")
                raise
        if self.lifecycle is Lifecycle.STARTING:
            self.lifecycle = Lifecycle.RUNNING

    async def _start(self) -> None:
        started_with, _ = persisted_version(self.settings, self.surroundings.http)
        heads = self.heads = Heads(self.settings, cast(Any, self), started_with)
        self._begin_watch()
        network, fleet = self.surroundings.network, heads.fleet
        network.attach_streams(self.name, fleet.streams)
        self.ready = ready = asyncio.get_running_loop().create_task(heads.start())
        while not ready.done() and not fleet.tasks:  # its sockets are open once its loops run
            await asyncio.sleep(0)
        if fleet.datagrams is not None and fleet.datagrams.transport is not None:
            network.attach_datagrams(self.name, fleet.datagrams)
        await ready
        for task in (*fleet.tasks, *heads.tasks):
            task.add_done_callback(self._on_task_end)

    def _begin_watch(self) -> None:
        """Follow the node list as a real head does, where there is discovery."""
        conf = self.surroundings.conf
        if not self.surroundings.watches:
            return
        pushed = not conf.settings.must_subscribe
        self.watch = Watch(
            conf.discovery,
            {},
            self._on_node_list,
            lambda _: None,
            pushed,
            list_times(pushed, conf.drain_grace),
            conf.zones,
        )
        self.watching = asyncio.get_running_loop().create_task(self.watch.run())
        self.watching.add_done_callback(self._on_task_end)

    def _on_node_list(self, kind: object, nodes: tuple[object, ...], age: timedelta | None) -> None:
        if nodes and self.watch is not None:
            self.listed_nodes = max(self.listed_nodes, len(nodes))

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        """Notice that a task of the control part has ended.

        Its loops never do, but by an error or a cancellation; the founding returns when it is done.
        """
        if not self.is_active():
            return
        error = "it was cancelled" if task.cancelled() else task.exception()
        if error is not None:
            self.die(f"{task.get_name()} ended: {error!r}")

    def die(self, reason: str) -> None:
        """Count this head as dead; it is named with the reason in every report from now on."""
        self.lifecycle = Lifecycle.DIED
        self.death_reason = reason
        with logger.contextualize(**{HEAD_FIELD: self.name}):
            logger.error("hollow: {name} died: {why}", event="hollow.died", name=self.name, why=reason)

    async def close(self) -> None:
        """Shut down gracefully: the head announces that it leaves, and settles its credit."""
        if not self.is_active():
            return
        self.lifecycle = Lifecycle.DOWN
        with logger.contextualize(**{HEAD_FIELD: self.name}):
            await self._end_watch()
            if self.heads is not None:
                await self.heads.close()

    async def crash(self) -> None:
        """End as a killed process: nothing is sent to anybody, and files stay as they are."""
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
        """Make one request of a customer, as far as credit sees it; returns whether it was served.

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
    """Return one head's settings from those of the fleet's file, with its own name, folder and datagrams."""
    return msgspec.structs.replace(
        common,
        name=name,
        folder=common.folder.parent / name,
        listen=common.streams.get(name),
        peer_listen=address,
        peers=tuple(peer for peer in peers if peer != address),
    )
