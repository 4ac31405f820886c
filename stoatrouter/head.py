"""Builds and connects the parts of one head, and starts and stops them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from stoatrouter import config
from stoatrouter.core.descriptors import divide_descriptors
from stoatrouter.core.discovery_timeouts import discovery_timeouts
from stoatrouter.core.durations import from_microseconds
from stoatrouter.core.memory import MemoryBudget, divide_memory
from stoatrouter.core.reducer import Reducer
from stoatrouter.fronts.platform import PlatformFront
from stoatrouter.management.calls import MAX_CALLERS, Management
from stoatrouter.net.background import start_task
from stoatrouter.net.bodies import BodyCapacity
from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.clock import Clock
from stoatrouter.net.discovery import Watch
from stoatrouter.net.engine import Engine
from stoatrouter.net.handover import Handover
from stoatrouter.net.listener import Drain, Listener, shutdown_deadlines
from stoatrouter.net.loop_monitor import monitor_loop
from stoatrouter.net.memory import MemoryAccount
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.startup_notification import startup_notification
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.optional_fronts import (
    HttpFrontParts,
    ObjectFrontParts,
    build_http_front,
    build_object_front,
)
from stoatrouter.reload import reload_configuration

if TYPE_CHECKING:
    from stoatrouter.fronts.http.front import HttpFront
    from stoatrouter.fronts.http.settings import HttpSettings
    from stoatrouter.fronts.objects.front import ObjectFront
    from stoatrouter.fronts.objects.settings import ObjectSettings
    from stoatrouter.net.recorder import Recorder
    from stoatrouter.net.tables import TableService
    from stoatrouter.peering.heads import Heads
    from stoatrouter.peering.settings import HeadsSettings

# Fractions of the descriptors (core/descriptors.py).
# Idle connections of clients that have sent only one request hold at most this fraction.
IDLE_FRACTION = 0.125
# If the connections with an open request exceed this fraction, requests are rejected before they are parsed,
# while clients can still connect. The tightened fraction applies while the event loop lags.
BUSY_FRACTION = 0.75 / 3
TIGHTENED_FRACTION = 0.4 / 3
MIN_TIGHTENED_CONNECTIONS = 48


def tightened_busy_limit(sockets: int) -> int:
    """Return how many connections may have an open request while the event loop lags.

    TIGHTENED_FRACTION replaces BUSY_FRACTION, but the limit is at least MIN_TIGHTENED_CONNECTIONS, as many as
    a head has open under light load.
    """
    return max(
        1,
        min(int(sockets * BUSY_FRACTION), max(MIN_TIGHTENED_CONNECTIONS, int(sockets * TIGHTENED_FRACTION))),
    )


def build_engine(conf: config.Config, budget: MemoryBudget) -> Engine:
    """Build the engine with the core and the node client.

    Args:
        conf: the head's configuration.
        budget: the division of the head's memory.
    """
    nodes = NodeClient(
        conf.connect_timeout,
        conf.conn_idle,
        budget.max_nodes,
        from_microseconds(min(request_class.latency_objective for request_class in conf.settings.classes)),
    )
    reducer = Reducer(conf.settings, conf.seed, conf.max_open, budget.max_spent_ids)
    reducer.scheduler.state.max_volumes = budget.max_volumes
    return Engine(reducer, Clock(), nodes, AdministrativeStateFile(conf.folder))


def build_watch(conf: config.Config, engine: Engine, memory: MemoryAccount) -> Watch:
    """Build the watch that follows discovery's endpoint list and passes updates to the engine."""
    pushed = not conf.settings.must_subscribe
    return Watch(
        conf.discovery,
        conf.last_list,
        engine.apply_node_list,
        engine.reducer.tally.add,
        pushed,
        discovery_timeouts(pushed, conf.drain_grace),
        conf.zones,
        memory,
    )


def build_client_table(budget: MemoryBudget, sockets: int, memory: MemoryAccount) -> ClientTable:
    """Build the table of client connections.

    Args:
        budget: the division of the head's memory.
        sockets: the number of descriptors of the whole head.
        memory: charged with what the connections' requests hold.
    """
    return ClientTable(
        budget.max_clients,
        int(sockets * IDLE_FRACTION),
        int(sockets * BUSY_FRACTION),
        tightened_busy_limit(sockets),
        memory,
        budget.max_streams,
    )


class Head:
    """One head: owns its parts, starts them and stops them."""

    def __init__(
        self,
        conf: config.Config,
        objects: ObjectSettings | None = None,
        http: HttpSettings | None = None,
        heads: HeadsSettings | None = None,
    ) -> None:
        """Build the parts of one head; nothing listens or connects before `start`.

        Args:
            conf: the configuration (stoatrouter/config.py).
            objects: the object front's settings, or None if that front is off.
            http: the HTTP front's settings, or None if that front is off.
            heads: the settings of peering with other heads, or None if peering is off.

        Raises:
            ConfigError: a rule table cannot be loaded.
        """
        self.conf = conf
        self.object_settings = objects
        self.http_settings = http
        self.background: list[asyncio.Task[None]] = []
        self.serving = False
        budget = divide_descriptors(conf.sockets)
        memory_budget = divide_memory(conf.memory_mb, budget)
        self.engine = build_engine(conf, memory_budget)
        self.memory = MemoryAccount(memory_budget.account)
        self.watch = build_watch(conf, self.engine, self.memory)
        self.clients = build_client_table(memory_budget, conf.sockets, self.memory)
        self.drain = Drain(self.clients)
        self.body_capacity = BodyCapacity(memory_budget.large_bodies, conf.folder, self.memory)
        front = PlatformFront(self.engine, conf.settings, self.drain, self.body_capacity)
        self.platform = Listener(front.handle, self.drain, front.reject_unparsed)
        self._build_optional_parts(objects, http, heads)
        self.handover = Handover(
            self.engine, self.watch, self.clients, self.drain, conf.folder, self.stop_accepting, self.accept
        )
        self._build_management()

    def _build_optional_parts(
        self, objects: ObjectSettings | None, http: HttpSettings | None, heads: HeadsSettings | None
    ) -> None:
        """Build the optional fronts and peering where they are enabled; disabled ones are not imported."""
        initial_version = 0
        if heads is not None:
            from stoatrouter.peering.heads import persisted_version

            initial_version, http = persisted_version(heads, http)
        self.tables: list[TableService] = []
        self.object_front: ObjectFront | None = None
        self.objects: Listener | None = None
        if objects is not None:
            self._use_object_front(build_object_front(self.conf, objects, self.engine, self.drain))
        self.http_front: HttpFront | None = None
        self.http: Listener | None = None
        self.http_tables: TableService | None = None
        self.recorder: Recorder | None = None
        if http is not None:
            self._use_http_front(
                build_http_front(self.conf, http, self.engine, self.drain, self.body_capacity)
            )
        self.heads: Heads | None = None
        if heads is not None:
            from stoatrouter.peering.heads import Heads

            self.heads = Heads(heads, self, initial_version)

    def _use_object_front(self, parts: ObjectFrontParts) -> None:
        self.object_front = parts.front
        self.objects = parts.listener
        if parts.tables is not None:
            self.tables.append(parts.tables)

    def _use_http_front(self, parts: HttpFrontParts) -> None:
        self.http_front = parts.front
        self.http = parts.listener
        self.http_tables = parts.tables
        self.tables.append(parts.tables)
        self.recorder = parts.recorder

    def _build_management(self) -> None:
        # a separate table, so that client connections cannot lock operators out
        self.management_clients = ClientTable(MAX_CALLERS, MAX_CALLERS, MAX_CALLERS)
        peering_call = self.heads.call if self.heads is not None else None
        calls = Management(self.engine, self.drain, self.ready, peering_call)
        self.management = Listener(calls.handle, Drain(self.management_clients))

    def ready(self) -> bool:
        """Return whether this head accepts clients and, with peering enabled, is ready as a peer."""
        return self.serving and (self.heads is None or self.heads.ready)

    @property
    def listeners(self) -> list[Listener]:
        """The client-facing listeners."""
        return [listener for listener in (self.platform, self.objects, self.http) if listener is not None]

    async def start(self) -> None:
        """Restore the node list, follow discovery, and listen once discovery answers or times out."""
        if self.conf.management is not None:
            await self.management.start(*config.parse_address(self.conf.management))
        await self._start_watch()
        if self.heads is not None:
            await self.heads.start()
        await self.accept()
        startup_notification.close()
        await self.handover.listen()
        self._start_background_tasks()
        logger.info(
            "start: {name} listens on {address}", event="start", name=self.conf.name, address=self.conf.listen
        )

    async def _start_watch(self) -> None:
        """Take the node list over from the previous process, or else restore it and wait for discovery."""
        if await self.handover.take_over():
            self.background.append(start_task("discovery", self.watch.run))
            return
        self.engine.reducer.administrative_state = self.engine.state_file.read()
        self.watch.restore()
        self.background.append(start_task("discovery", self.watch.run))
        await self.watch.wait_for_first_answer()

    def _start_background_tasks(self) -> None:
        tasks: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            ("clients", self.clients.sweep_periodically),
            ("handover", self.handover.follow),
            ("operators' clients", self.management_clients.sweep_periodically),
            ("loop monitor", partial(monitor_loop, self.engine, self.clients)),
            *(("rule tables", service.log_periodically) for service in self.tables),
        ]
        if self.recorder is not None:
            tasks.append(("recorder", self.recorder.run))
        self.background += [start_task(name, run) for name, run in tasks]

    async def accept(self) -> None:
        """Accept clients on all fronts."""
        await self.platform.start(*config.parse_address(self.conf.listen), inherited=self.conf.inherited)
        if self.objects is not None and self.object_settings is not None:
            await self.objects.start(*config.parse_address(self.object_settings.listen))
        if self.http is not None and self.http_settings is not None:
            await self.http.start(*config.parse_address(self.http_settings.listen))
        self.serving = True

    async def stop_accepting(self) -> None:
        """Stop accepting clients because another process of this head takes over."""
        self.serving = False
        for listener in self.listeners:
            listener.stop_accepting()

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration again and apply the settings that can change at run time.

        An invalid configuration is rejected as a whole and logged. A new discovery address takes effect at
        once, rule tables once they are compiled; all other changes take effect at the next start.
        """
        for service in self.tables:
            service.reload()
        reload_configuration(environ, self.conf, self.watch)

    async def stop(self) -> None:
        """Shut down gracefully: accept until the shutdown deadline, finish open requests, close all parts."""
        logger.info(
            "stop: shutdown requested, {open} requests open",
            event="stop.asked",
            open=self.engine.reducer.open,
        )
        self.serving = False
        max_class_deadline = max(request_class.deadline for request_class in self.conf.settings.classes)
        deadlines = shutdown_deadlines(from_microseconds(max_class_deadline))
        self.engine.answer_deadline = self.engine.clock.now() + deadlines.answer_within
        self.drain.end_receiving(deadlines.answer_within)
        await asyncio.gather(
            *(listener.stop(lambda: self.engine.busy, deadlines.accept_for) for listener in self.listeners)
        )
        self.drain.stop_closing_idle()
        await self.handover.close()
        if self.heads is not None:
            await self.heads.close()
        for service in self.tables:
            await service.close()
        await self.management.close()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.engine.close()
