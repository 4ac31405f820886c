"""Listening for clients, and the shutdown of a head."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

from aiohttp import web
from loguru import logger

from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.clients import Refuse, Server
from stoatrouter.net.disconnects import CLIENT_TRANSPORT

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Response = TypeVar("Response", bound=web.StreamResponse)
BACKLOG = 1024
# Connections accepted in one turn of the loop: those that end for their sake give up their descriptors in
# the next one.
MAX_ACCEPT_BATCH = 16
# A stopping head is killed no sooner than this after the longest deadline, which counts as 3 s at most.
KILL_DELAY = timedelta(milliseconds=700)
MAX_DEADLINE = timedelta(seconds=3)
ANSWER_MARGIN = timedelta(milliseconds=350)  # the kill: by then all that arrived is answered
ACCEPT_MARGIN = timedelta(milliseconds=400)  # that: what arrives later has too little time left
MAX_ACCEPT_TIME = timedelta(seconds=3)
# Then connections end between requests. A request that crosses such an end is sent once more over a new one:
# these are still accepted.
RESEND_WINDOW = timedelta(milliseconds=200)
# After a head was drained: its load balancer polls ten times a second and then needs 0.2 s.
CLOSE_IDLE_DELAY = timedelta(milliseconds=1000)
CLOSE_IDLE_INTERVAL = timedelta(milliseconds=100)


@dataclass(slots=True, frozen=True)
class ShutdownDeadlines:
    """How long a stopping head accepts requests, and by when it has answered them."""

    accept_for: timedelta
    answer_within: timedelta


def shutdown_deadlines(longest_deadline: timedelta) -> ShutdownDeadlines:
    """The deadlines of a shutdown.

    Clients keep their connections and cannot reach this head otherwise until it is back, so it serves for as
    long as it is certain to answer.
    """
    within = min(longest_deadline, MAX_DEADLINE) + KILL_DELAY - ANSWER_MARGIN
    return ShutdownDeadlines(min(MAX_ACCEPT_TIME, within - ACCEPT_MARGIN), within)


class Drain:
    """Whether this head drains its clients, and how its answers mark their connections."""

    def __init__(self, clients: ClientTable) -> None:
        """Start open, neither draining nor out of service.

        Args:
            clients: The table of clients' connections that draining closes.
        """
        self.clients = clients
        self.shutdown_requested = False
        self.stopping = False  # each answer is the last of its connection
        self.out = False  # an operator took this head out of service
        self.handed_over = False  # a new process of this head accepts clients
        self.closing_idle: asyncio.Task[None] | None = None

    @property
    def open(self) -> bool:
        """Whether this head accepts new clients."""
        return not self.out and (self.handed_over or not self.shutdown_requested)

    def health(self) -> web.Response:
        """The answer to /healthz at every front."""
        return web.Response(text="ok\n") if self.open else web.Response(status=503, text="draining\n")

    @property
    def closing(self) -> bool:
        """Whether each answer is the last of its connection, as clients are drained."""
        return self.stopping or self.out or self.handed_over

    def mark(self, response: Response) -> Response:
        """Let the connection end with this answer while clients are drained."""
        if self.closing:
            response.force_close()
        return response

    def out_of_service(self) -> None:
        """Drain clients; calling it again changes nothing."""
        if not self.out:
            logger.info(
                "drain: out of service, {connections} connections",
                event="drain.out",
                connections=len(self.clients),
            )
            self.out = True
            self.closing_idle = asyncio.get_running_loop().create_task(self.close_idle_connections())

    def in_service(self) -> None:
        """Serve clients again; without effect where the head is not out of service."""
        if self.out:
            logger.info("drain: back in service", event="drain.back")
            self.out = False
        self.stop_closing_idle()

    def stop_closing_idle(self) -> None:
        """Cancel the ending of idle connections."""
        if self.closing_idle is not None:
            self.closing_idle.cancel()
            self.closing_idle = None

    async def close_idle_connections(self) -> None:
        """Close idle connections, again and again.

        It begins once no new connections come; by then connections in use have ended with their answers, so
        that no request crosses the closing.
        """
        await asyncio.sleep(CLOSE_IDLE_DELAY.total_seconds())
        while True:
            self.clients.close_idle(
                silent=False
            )  # what has just connected is still read; the sweep ends it later
            await asyncio.sleep(CLOSE_IDLE_INTERVAL.total_seconds())

    def overloaded(self) -> bool:
        """Whether requests are to be rejected, as too many are open."""
        return self.clients.over_busy_limit()


class ListeningSocket(socket.socket):
    """A listening socket with a fixed backlog, whatever asyncio requests."""

    keeps_backlog = False

    def listen(self, backlog: int = BACKLOG) -> None:
        """Listen with BACKLOG; an inherited socket retains its backlog."""
        # Guards connections on their way: a backlog that shrinks, if for a moment, leaves them unanswered.
        if not self.keeps_backlog:
            super().listen(BACKLOG)


class Listener:
    """One listening address with one front behind it."""

    def __init__(self, handler: Handler, drain: Drain, refuse: Refuse | None = None) -> None:
        """Set up the server of one address; it listens once started.

        Args:
            handler: Answers each request.
            drain: Whether this head is draining, and the table of its clients' connections.
            refuse: As ClientConnection takes it.
        """
        self.drain = drain

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            CLIENT_TRANSPORT.set(request.transport)
            return await handler(request)

        # handler_cancellation: a client that closes its connection has gone, and its request with it
        self.server = Server(
            serve, drain.clients, refuse, handler_cancellation=True, access_log=None, auto_decompress=False
        )
        self.acceptor: asyncio.Server | None = None
        self.listening_socket: ListeningSocket | None = None
        self.arriving: set[asyncio.Task[None]] = set()  # connections that were accepted last

    async def start(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen at an address, or on an inherited socket of all processes of this head."""
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            with contextlib.closing(socket.create_server((host, port), family=family)) as bound:
                listening_socket = ListeningSocket(fileno=bound.detach())
        else:
            listening_socket = ListeningSocket(fileno=os.dup(inherited))  # closing ours leaves theirs
        listening_socket.keeps_backlog = inherited is not None
        listening_socket.setblocking(False)
        self.listening_socket = listening_socket
        # Guards the descriptors: asyncio accepts as many at once as it believes the backlog to be.
        self.acceptor = await asyncio.get_running_loop().create_server(
            self.server, sock=listening_socket, backlog=MAX_ACCEPT_BATCH
        )

    def stop_accepting(self) -> None:
        """Stop accepting; connections waiting at an inherited socket are left to the next process."""
        if self.acceptor is None or self.listening_socket is None:
            return
        # Guards clients that have connected, and maybe sent their request: the system would reset them.
        if not self.listening_socket.keeps_backlog:
            self._accept_waiting(self.listening_socket)
        self.acceptor.close()
        self.acceptor = self.listening_socket = None

    def _accept_waiting(self, listening_socket: ListeningSocket) -> None:
        """Accept what waits at the socket, as many as its backlog holds."""
        for _ in range(BACKLOG):
            try:
                connection, _ = listening_socket.accept()
            except OSError:
                return  # none waits, or no descriptor is left
            connection.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._serve_accepted(connection))
            self.arriving.add(task)
            task.add_done_callback(self.arriving.discard)

    async def _serve_accepted(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):  # its client has gone
            await asyncio.get_running_loop().connect_accepted_socket(self.server, connection)

    @property
    def port(self) -> int:
        """The port that it listens at."""
        assert self.acceptor is not None
        return int(self.acceptor.sockets[0].getsockname()[1])

    async def stop(self, busy: Callable[[], bool], accept_for: timedelta) -> None:
        """Serve for `accept_for`, finish all open requests, then close the connections."""
        clients = self.drain.clients
        self.drain.shutdown_requested = True
        clients.keep_idle = True
        await self.serve_for(accept_for)
        self.drain.stopping = True
        clients.close_idle()
        if not self.drain.handed_over:
            await asyncio.sleep(RESEND_WINDOW.total_seconds())
        self.stop_accepting()
        clients.close_idle()
        while busy() or clients.open or clients.any_just_connected() or self.arriving:
            await asyncio.sleep(0.01)
            clients.close_idle()
        logger.info("stop: all that was taken is answered", event="stop.answered")
        await self.close()

    async def serve_for(self, accept_for: timedelta) -> None:
        """Serve for `accept_for`; a head that has handed over returns once all its clients have gone."""
        loop = asyncio.get_running_loop()
        until = loop.time() + accept_for.total_seconds()
        while loop.time() < until and not (self.drain.handed_over and not len(self.drain.clients)):
            await asyncio.sleep(min(0.02, until - loop.time()))

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_accepting()
        await self.server.shutdown(1.0)
