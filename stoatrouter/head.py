"""One head: its parts created and connected. It is started by __main__ and by the demo."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import TYPE_CHECKING

from loguru import logger

from stoatrouter import config
from stoatrouter.core.descriptors import divide_descriptors
from stoatrouter.core.list_times import list_times
from stoatrouter.core.reducer import Reducer
from stoatrouter.core.spans import span
from stoatrouter.fronts.platform import PlatformFront
from stoatrouter.management.calls import MOST_CALLERS, Management
from stoatrouter.net.bodies import SMALL, BodyCapacity
from stoatrouter.net.clients import ClientTable
from stoatrouter.net.clock import Clock
from stoatrouter.net.discovery import Watch
from stoatrouter.net.early import announcement
from stoatrouter.net.engine import Engine, watch_loop
from stoatrouter.net.generations import Generations
from stoatrouter.net.listener import Drain, Listener, shutdown_deadlines
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.state_file import AdministrativeStateFile

if TYPE_CHECKING:
    from stoatrouter.fronts.http.settings import HttpSettings
    from stoatrouter.fronts.objects.settings import ObjectSettings
    from stoatrouter.net.tables import TableService
    from stoatrouter.peering.heads import Heads
    from stoatrouter.peering.settings import HeadsSettings

# Of the descriptors (core/descriptors.py): of their part, clients that asked once and rest hold no more than
# this.
IDLE_SHARE = 0.125
# Beyond these what comes is refused as it comes, before clients have no connection left to be heard on.
BUSY_SHARE, PRESSED_SHARE, PRESSED_LEAST = 0.75 / 3, 0.4 / 3, 48
BASE = 46_000_000  # of memory: what a head needs beside the bodies it keeps
LAG_EVERY, LAG_LIMIT = timedelta(milliseconds=100), timedelta(milliseconds=100)


def busy_pressed(sockets: int) -> int:
    """How many connections may have a request open while the event loop lags.

    It is two fifths of the usual bound, but no less than a head has open in quiet times.
    """
    return max(1, min(int(sockets * BUSY_SHARE), max(PRESSED_LEAST, int(sockets * PRESSED_SHARE))))


class Head:
    """The parts of one head."""

    def __init__(
        self,
        conf: config.Config,
        objects: ObjectSettings | None = None,
        http: HttpSettings | None = None,
        heads: HeadsSettings | None = None,
    ) -> None:
        """Wire the parts of one head; nothing listens or connects before `start`.

        Args:
            conf: what `NODE_CONFIG` says (stoatrouter/config.py).
            objects: the object front's settings, or None where that front is off.
            http: the HTTP front's settings, or None where that front is off.
            heads: the settings of heads that know each other, or None where that part is off.
        """
        self.conf, self.object_settings, self.http_settings = conf, objects, http
        self.tables: list[TableService] = []
        self.recorder = None
        budget = divide_descriptors(conf.sockets)
        nodes = NodeClient(
            conf.connect_timeout,
            conf.conn_idle,
            budget.nodes,
            span(min(c.aim for c in conf.settings.classes)),
        )
        self.engine = Engine(
            Reducer(conf.settings, conf.seed, conf.max_open),
            Clock(),
            nodes,
            AdministrativeStateFile(conf.folder),
        )
        self.watch = Watch(
            conf.discovery,
            conf.known,
            self.engine.apply_node_list,
            self.engine.reducer.tally.add,
            not conf.settings.list_on_request,
            list_times(not conf.settings.list_on_request, conf.drain_grace),
            conf.zones,
        )
        self.clients = ClientTable(
            budget.clients,
            int(conf.sockets * IDLE_SHARE),
            int(conf.sockets * BUSY_SHARE),
            busy_pressed(conf.sockets),
        )
        self.drain = Drain(self.clients)
        self.room = BodyCapacity(max(SMALL, conf.memory_mb * 1_000_000 - BASE), conf.folder)
        front = PlatformFront(self.engine, conf.settings, self.drain, self.room)
        self.platform = Listener(front.handle, self.drain, front.refuse)
        self.http_tables: TableService | None = None
        started_with = 0
        if heads is not None:
            from stoatrouter.peering.heads import persisted_version

            started_with, http = persisted_version(heads, http)
        self.object_front = self.objects = self.http_front = self.http = None
        if objects is not None:
            self.open_objects(objects)
        if http is not None:
            self.open_http(http)
        self.heads: Heads | None = None
        if heads is not None:
            self.open_heads(heads, started_with)
        # a table of its own: however many clients come, operators are heard
        self.management_clients = ClientTable(MOST_CALLERS, MOST_CALLERS, MOST_CALLERS)
        self.generations = Generations(
            self.engine, self.watch, self.clients, self.drain, conf.folder, self.stop_accepting, self.accept
        )
        self.serving = False
        calls = Management(self.engine, self.drain, self.ready, self.heads.call if self.heads else None)
        self.management = Listener(calls.handle, Drain(self.management_clients))
        self.background: list[asyncio.Task[None]] = []

    # -- what is off on the platform: a head without it imports none of it -----------------------------------
    def open_objects(self, objects: ObjectSettings) -> None:
        """Set up the object front, with its rule table where one is named; raises ConfigError."""
        from stoatrouter.fronts.objects.front import ObjectFront

        choose = None
        if objects.rules is not None:
            from stoatrouter.fronts.objects.rules import Chooser
            from stoatrouter.fronts.wiring import object_tables

            service = object_tables(self.conf, objects)
            self.tables.append(service)
            choose = Chooser(
                service.matcher, self.conf.settings, self.engine.clock.now, self.engine.reducer.advice
            )
        self.object_front = ObjectFront(
            self.engine.serve_whole, self.conf.settings, objects, self.drain, choose
        )
        self.objects = Listener(self.object_front.handle, self.drain)

    def open_http(self, http: HttpSettings) -> None:
        """Set up the HTTP front, its rule tables and its recorder; raises ConfigError."""
        from stoatrouter.fronts.http.front import HttpFront
        from stoatrouter.fronts.wiring import http_tables, recorder

        service = self.http_tables = http_tables(self.conf, http)
        self.tables.append(service)
        self.recorder = recorder(http)
        self.http_front = HttpFront(
            self.engine,
            self.conf.settings,
            self.drain,
            self.room,
            service.matcher,
            self.recorder,
            http.forwarded,
        )
        self.http = Listener(self.http_front.handle, self.drain)

    def open_heads(self, settings: HeadsSettings, started_with: int) -> None:
        """Set up the part that talks to other heads."""
        from stoatrouter.peering.heads import Heads

        self.heads = Heads(settings, self, started_with)

    def ready(self) -> bool:
        """Whether this head accepts clients and, where heads talk to each other, takes part among them."""
        return self.serving and (self.heads is None or self.heads.ready)

    @property
    def listeners(self) -> list[Listener]:
        """The listeners that clients connect to."""
        return [listener for listener in (self.platform, self.objects, self.http) if listener is not None]

    async def start(self) -> None:
        """Restore the node list, follow discovery, and listen once discovery has answered or timed out."""
        if self.conf.management is not None:
            await self.management.start(*config.address(self.conf.management))
        loop = asyncio.get_running_loop()
        if await self.generations.take_over():
            self.background.append(loop.create_task(self.watch.run()))
        else:
            self.engine.reducer.administrative_state = self.engine.state_file.read()
            self.watch.restore()
            self.background.append(loop.create_task(self.watch.run()))
            await self.watch.first_answer()
        if self.heads is not None:
            await self.heads.start()
        await self.accept()
        announcement.end()
        await self.generations.listen()
        self.background += [
            loop.create_task(self.clients.keep_swept()),
            loop.create_task(self.generations.follow()),
            loop.create_task(self.management_clients.keep_swept()),
            loop.create_task(watch_loop(self.engine, self.clients, LAG_EVERY, LAG_LIMIT)),
            *(loop.create_task(service.log_periodically()) for service in self.tables),
        ]
        if self.recorder is not None:
            self.background.append(loop.create_task(self.recorder.run()))
        logger.info(
            "start: {name} listens on {address}", event="start", name=self.conf.name, address=self.conf.listen
        )

    async def accept(self) -> None:
        """Accept clients at all fronts."""
        await self.platform.start(*config.address(self.conf.listen), inherited=self.conf.inherited)
        if self.objects is not None and self.object_settings is not None:
            await self.objects.start(*config.address(self.object_settings.listen))
        if self.http is not None and self.http_settings is not None:
            await self.http.start(*config.address(self.http_settings.listen))
        self.serving = True

    async def stop_accepting(self) -> None:
        """Stop accepting clients, as another process of this head does so from now on."""
        self.serving = False
        for listener in self.listeners:
            listener.stop_accepting()

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration again and apply what can change while serving.

        A configuration with any fault is rejected and logged. Discovery's address is applied at once, rule
        tables once they are compiled; other changes wait for the next start.
        """
        for service in self.tables:
            service.reload()
        try:
            conf = config.reload(environ)
        except config.ConfigError as error:
            # Guards a serving head against a file that is half written or wrong.
            logger.error(
                "reload: the configuration in force stays: {error}", event="reload.refused", error=str(error)
            )
            return
        fixed = ("name", "listen", "settings", "sockets", "memory_mb", "conn_idle", "max_open")
        later = [name for name in fixed if getattr(conf, name) != getattr(self.conf, name)]
        if later:
            logger.warning(
                "reload: changes of {fields} wait for the next start",
                event="reload.later",
                fields=", ".join(later),
            )
        logger.info(
            "reload: discovery at {address}, was {before}",
            event="reload.taken",
            address=conf.discovery,
            before=self.watch.address,
        )
        self.watch.move(conf.discovery)

    async def stop(self) -> None:
        """Serve for as long as answers are certain to arrive, finish open requests, and close everything."""
        logger.info("stop: asked to, {open} requests open", event="stop.asked", open=self.engine.reducer.open)
        self.serving = False
        times = shutdown_deadlines(span(max(c.deadline for c in self.conf.settings.classes)))
        self.engine.answer_by = self.engine.clock.now() + times.answer_within
        await asyncio.gather(*(li.stop(lambda: self.engine.busy, times.take_for) for li in self.listeners))
        self.drain.stop_sending_away()
        await self.generations.close()
        if self.heads is not None:
            await self.heads.close()
        for service in self.tables:
            await service.close()
        await self.management.close()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.engine.close()
