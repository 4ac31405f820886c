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
from stoatrouter.lab.hollow.logs import LABEL
from stoatrouter.lab.hollow.network import Network
from stoatrouter.lab.hollow.tables import HollowTables, SharedTables
from stoatrouter.net.clock import Clock
from stoatrouter.net.discovery import Watch
from stoatrouter.peering.heads import Heads, persisted_version
from stoatrouter.peering.settings import HeadsSettings
from stoatrouter.policy import Scheduler


class Life(Enum):
    """How a hollow head is at the moment."""

    NEW = "new"
    STARTING = "starting"
    RUNNING = "running"
    DOWN = "down"  # ended because it was asked to
    DIED = "died"  # ended by itself


@dataclass(slots=True)
class HollowReducer:
    """Of the core's reducer: what credit reads and sets."""

    scheduler: Scheduler
    gate: Gate | None = None


@dataclass(slots=True)
class HollowEngine:
    """Of the engine: what credit reads and sets."""

    reducer: HollowReducer
    clock: Clock = field(default_factory=Clock)
    prepare: Callable[[model.Request], Awaitable[bool]] | None = None


class Surroundings:
    """What all hollow heads of one process share: the deployment's settings, compiled tables, the network."""

    def __init__(
        self, conf: Config, http: HttpSettings | None, network: Network, watches: bool = True
    ) -> None:
        self.conf, self.http, self.network, self.watches = conf, http, network, watches
        self.scheduler = Scheduler(conf.settings, seed=conf.seed)
        self.tables = None if http is None else SharedTables(http_tables(conf, http))


class HollowHead:
    """One hollow head. `start` and `close` as a real one; `crash` ends it as a killed process ends."""

    def __init__(self, name: str, settings: HeadsSettings, surroundings: Surroundings) -> None:
        self.name, self.settings, self.surroundings = name, settings, surroundings
        self.life, self.why = Life.NEW, ""
        self.heads: Heads | None = None
        self.watch: Watch | None = None
        self.listed = 0  # nodes in the list that this head holds
        self.served = self.refused = 0  # requests of `spend`
        self.watching: asyncio.Task[None] | None = None
        self.ready: asyncio.Task[None] | None = None
        # what `Heads` reads of a head
        self.conf = surroundings.conf
        self.engine = HollowEngine(HollowReducer(surroundings.scheduler))
        self.http_tables = None if surroundings.tables is None else HollowTables(surroundings.tables)

    @property
    def counts(self) -> Counter[str]:
        """Messages by kind since the last start, as a real head counts them."""
        return Counter() if self.heads is None else Counter(self.heads.fleet.counters.by_name)

    # -- life ---------------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Begin, or begin again with the same folder; returns once a real head would be ready."""
        assert self.life not in (Life.STARTING, Life.RUNNING), f"{self.name} runs already"
        self.life, self.why = Life.STARTING, ""
        with logger.contextualize(**{LABEL: self.name}):
            try:
                await self._start()
            except (OSError, ConfigError) as error:
                self.die(f"it did not start: {error}")
                raise
        if self.life is Life.STARTING:
            self.life = Life.RUNNING

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
            task.add_done_callback(self._ended)

    def _begin_watch(self) -> None:
        """Follow the node list as a real head does, where there is discovery."""
        conf = self.surroundings.conf
        if not self.surroundings.watches:
            return
        pushed = not conf.settings.must_subscribe
        self.watch = Watch(
            conf.discovery,
            {},
            self._told_nodes,
            lambda _: None,
            pushed,
            list_times(pushed, conf.drain_grace),
            conf.zones,
        )
        self.watching = asyncio.get_running_loop().create_task(self.watch.run())
        self.watching.add_done_callback(self._ended)

    def _told_nodes(self, kind: object, nodes: tuple[object, ...], age: timedelta | None) -> None:
        if nodes and self.watch is not None:
            self.listed = max(self.listed, len(nodes))

    def _ended(self, task: asyncio.Task[None]) -> None:
        """A task of the control part has ended. Its loops never do, but by an error or a cancellation; the
        founding returns when it is done.
        """
        if self.life not in (Life.STARTING, Life.RUNNING):
            return
        error = "it was cancelled" if task.cancelled() else task.exception()
        if error is not None:
            self.die(f"{task.get_coro().__qualname__} ended: {error!r}")

    def die(self, why: str) -> None:
        """Count this head as dead; it is named with the reason in every report from now on."""
        self.life, self.why = Life.DIED, why
        with logger.contextualize(**{LABEL: self.name}):
            logger.error("hollow: {name} died: {why}", event="hollow.died", name=self.name, why=why)

    async def close(self) -> None:
        """End as a head that is asked to stop: it says that it leaves, and settles."""
        if self.life not in (Life.STARTING, Life.RUNNING):
            return
        self.life = Life.DOWN
        with logger.contextualize(**{LABEL: self.name}):
            await self._end_watch()
            if self.heads is not None:
                await self.heads.close()

    async def crash(self) -> None:
        """End as a killed process: nothing is said to anybody, and files stay as they are."""
        if self.life not in (Life.STARTING, Life.RUNNING):
            return
        self.life = Life.DOWN
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
        """One request of a customer as far as credit sees it: whether it was taken. It counts as served."""
        request = model.Request(id, 0, 0, volume, "", 0, units, 1, timedelta(seconds=2), False)
        engine = self.engine
        if self.life is not Life.RUNNING or engine.prepare is None or engine.reducer.gate is None:
            return False
        with contextlib.suppress(TimeoutError):
            await engine.prepare(request)
        if self.life is not Life.RUNNING:
            return False
        if engine.reducer.gate.take(request, engine.clock.now()) is not None:
            self.refused += 1
            return False
        engine.reducer.gate.end(request.id, True)
        self.served += 1
        return True


def settings_of(
    common: HeadsSettings, name: str, address: str | None, peers: tuple[str, ...]
) -> HeadsSettings:
    """One head's settings from those of the fleet's file: its name, folder and datagrams are its own."""
    return msgspec.structs.replace(
        common,
        name=name,
        folder=common.folder.parent / name,
        listen=common.streams.get(name),
        peer_listen=address,
        peers=tuple(peer for peer in peers if peer != address),
    )
