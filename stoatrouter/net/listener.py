"""Listening for clients, and the shutdown of a head."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from stoatrouter.net.acceptor import Acceptor
from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.clients import READ_BUFFER_BYTES, ClientConnection, Refuse
from stoatrouter.net.disconnects import CLIENT_TRANSPORT

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Response = TypeVar("Response", bound=web.StreamResponse)
BACKLOG = 1024
# A stopping head is killed no sooner than this after the longest request deadline, which is capped at 3 s.
KILL_DELAY = timedelta(milliseconds=700)
MAX_DEADLINE = timedelta(seconds=3)
# A process that has just been killed may hold its address for a moment longer than its other sockets.
BIND_TIMEOUT = timedelta(seconds=3)
BIND_INTERVAL = timedelta(milliseconds=20)
ANSWER_MARGIN = timedelta(milliseconds=350)  # all accepted requests are answered this long before the kill
CLOSE_TIMEOUT = timedelta(milliseconds=80)  # for clients that still read their last answer
HANDLER_END_TIME = timedelta(milliseconds=10)  # in which the handler of a closed connection ends
# Requests are accepted until this long before that time; later ones would have too little time left.
ACCEPT_MARGIN = timedelta(milliseconds=400)
MAX_ACCEPT_TIME = timedelta(seconds=3)
# After that, connections are closed between requests. A client whose request crosses the close sends it again
# over a new connection, which is still accepted for this time.
RESEND_WINDOW = timedelta(milliseconds=200)
# After a head starts to drain: its load balancer polls ten times a second and then needs 0.2 s.
CLOSE_IDLE_DELAY = timedelta(milliseconds=1000)
CLOSE_IDLE_INTERVAL = timedelta(milliseconds=100)


@dataclass(slots=True, frozen=True)
class ShutdownDeadlines:
    """How long a stopping head accepts requests, and by when it has answered them all."""

    accept_for: timedelta
    answer_within: timedelta


def shutdown_deadlines(max_class_deadline: timedelta) -> ShutdownDeadlines:
    """Return the deadlines of a shutdown.

    Clients use their existing connections and cannot reach this head otherwise until it has restarted, so it
    serves for as long as it can be sure to answer.
    """
    within = min(max_class_deadline, MAX_DEADLINE) + KILL_DELAY - ANSWER_MARGIN
    return ShutdownDeadlines(min(MAX_ACCEPT_TIME, within - ACCEPT_MARGIN), within)


class Drain:
    """The drain state of this head: whether it accepts clients, and closes connections after answers."""

    def __init__(self, clients: ClientTable) -> None:
        """Start in service.

        Args:
            clients: The table of the client connections that draining closes.
        """
        self.clients = clients
        self.shutdown_requested = False
        self.stopping = False  # each answer is the last of its connection
        self.out = False  # an operator took this head out of service
        self.handed_over = False  # a new process of this head accepts clients
        self.closing_idle: asyncio.Task[None] | None = None
        self.receive_until: float | None = None  # of the loop's clock; set during shutdown
        self.receive_limits: set[asyncio.Timeout] = set()  # one for each body that is being received

    @property
    def open(self) -> bool:
        """Whether this head accepts new clients."""
        return not self.out and (self.handed_over or not self.shutdown_requested)

    def health(self) -> web.Response:
        """Return the answer to /healthz on every front."""
        return web.Response(text="ok\n") if self.open else web.Response(status=503, text="draining\n")

    @property
    def closing(self) -> bool:
        """Whether connections are closed after each answer, as clients are drained."""
        return self.stopping or self.out or self.handed_over

    def mark(self, response: Response) -> Response:
        """Make this answer the last of its connection while clients are drained."""
        if self.closing:
            response.force_close()
        return response

    def out_of_service(self) -> None:
        """Start draining clients; further calls have no effect."""
        if not self.out:
            logger.info(
                "drain: out of service with {connections} connections",
                event="drain.out",
                connections=len(self.clients),
            )
            self.out = True
            self.closing_idle = asyncio.get_running_loop().create_task(self.close_idle_connections())

    def in_service(self) -> None:
        """Serve clients again; without effect if the head is in service."""
        if self.out:
            logger.info("drain: back in service", event="drain.back")
            self.out = False
        self.stop_closing_idle()

    def stop_closing_idle(self) -> None:
        """Stop closing idle connections."""
        if self.closing_idle is not None:
            self.closing_idle.cancel()
            self.closing_idle = None

    async def close_idle_connections(self) -> None:
        """Close idle connections periodically.

        It starts once no new connections arrive. By then connections in use have been closed after their
        answers, so that no request crosses the close.
        """
        await asyncio.sleep(CLOSE_IDLE_DELAY.total_seconds())
        while True:
            # new connections may still send a request; the table's sweep closes them later
            self.clients.close_idle(include_new=False)
            await asyncio.sleep(CLOSE_IDLE_INTERVAL.total_seconds())

    def may_receive(self, request: web.BaseRequest) -> bool:
        """Return whether the rest of a request may be read; charges what it holds until it is answered.

        Otherwise it has to be rejected: too many requests are open, or there is no memory left.
        """
        if request.content.is_eof():
            return True
        connection = request.protocol
        return not self.clients.over_limit(receiving=True) and (
            not isinstance(connection, ClientConnection) or connection.charge_receiving()
        )

    @contextlib.asynccontextmanager
    async def receiving(self) -> AsyncIterator[None]:
        """Receive a body within the time that a shutdown leaves; raises TimeoutError after it."""
        async with asyncio.timeout_at(self.receive_until) as limit:
            self.receive_limits.add(limit)
            try:
                yield
            finally:
                self.receive_limits.discard(limit)

    def end_receiving(self, within: timedelta) -> None:
        """Let bodies that are not complete after this time raise TimeoutError where they are received."""
        self.receive_until = asyncio.get_running_loop().time() + within.total_seconds()
        for limit in self.receive_limits:
            limit.reschedule(self.receive_until)

    def may_serve(self, request: web.BaseRequest) -> bool:
        """Return whether a request that has been read may be served; charges what it holds, as above."""
        connection = request.protocol
        return not self.clients.over_limit() and (
            not isinstance(connection, ClientConnection) or connection.charge_request()
        )

    def may_stream(self, request: web.BaseRequest) -> bool:
        """Return whether the answer may be streamed; as long as it is, it counts towards their limit."""
        connection = request.protocol
        return not isinstance(connection, ClientConnection) or connection.begin_stream()


class Server(web.Server):
    """aiohttp's server with ClientConnection as its protocol."""

    def __init__(self, handler: Any, clients: ClientTable, refuse: Refuse | None, **more: Any) -> None:
        """Set up aiohttp's server with its connections in a table.

        Args:
            handler: Answers each request.
            clients: The table of this server's connections.
            refuse: Passed to each ClientConnection.
            **more: Passed on to aiohttp's Server.
        """
        super().__init__(handler, read_bufsize=READ_BUFFER_BYTES, **more)
        self.clients = clients
        self.refuse = refuse

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a new connection."""
        return ClientConnection(self, self.clients, self.refuse, self._loop, **self._kwargs)


async def bind(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address, once that is free; raises OSError after BIND_TIMEOUT."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + BIND_TIMEOUT.total_seconds()
    while True:
        try:
            return socket.create_server((host, port), family=family)
        except OSError as error:
            if loop.time() >= give_up_at:
                raise
            logger.warning(
                "listen: {host}:{port} is not free: {error}",
                event="listen.busy",
                host=host,
                port=port,
                error=str(error),
            )
            await asyncio.sleep(BIND_INTERVAL.total_seconds())


class Listener:
    """A listening address and the front that serves it."""

    def __init__(self, handler: Handler, drain: Drain, refuse: Refuse | None = None) -> None:
        """Set up the server of one address; it listens once started.

        Args:
            handler: Answers each request.
            drain: The drain state of this head, with the table of its client connections.
            refuse: Passed to each ClientConnection.
        """
        self.drain = drain

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            CLIENT_TRANSPORT.set(request.transport)
            return await handler(request)

        # handler_cancellation: a request is cancelled when its client closes the connection
        self.server = Server(
            serve, drain.clients, refuse, handler_cancellation=True, access_log=None, auto_decompress=False
        )
        self.acceptor: Acceptor | None = None
        self.shares_backlog = False  # other processes of this head accept from the same socket
        self.arriving: set[asyncio.Task[None]] = set()  # connections that are being set up

    async def start(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen at an address, or on an inherited socket that all processes of this head share.

        Without effect if it listens already. Raises OSError if the address is not free for BIND_TIMEOUT.
        """
        if self.acceptor is not None:
            return
        if inherited is None:
            listening_socket = await bind(host, port)
            listening_socket.listen(BACKLOG)
        else:
            # A duplicate: closing it leaves the inherited descriptor open. It listens already, and shrinking
            # its backlog, even briefly, would leave connections in progress unanswered.
            listening_socket = socket.socket(fileno=os.dup(inherited))
        self.shares_backlog = inherited is not None
        listening_socket.setblocking(False)
        self.acceptor = Acceptor(listening_socket, self.server)
        self.arriving = self.acceptor.arriving

    def stop_accepting(self) -> None:
        """Stop accepting; pending connections of an inherited socket are left to the next process."""
        if self.acceptor is None:
            return
        # Closing the socket would reset its pending connections, whose requests may already have been sent.
        if not self.shares_backlog:
            self.acceptor.accept_waiting(BACKLOG)
        self.acceptor.stop()
        self.acceptor.listening_socket.close()
        self.acceptor = None

    @property
    def port(self) -> int:
        """The port it listens on."""
        assert self.acceptor is not None
        return int(self.acceptor.listening_socket.getsockname()[1])

    async def stop(self, busy: Callable[[], bool], accept_for: timedelta) -> None:
        """Serve for `accept_for`, finish all open requests, then close all connections."""
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
            clients.close_stale_receiving()
        logger.info("stop: all accepted requests are answered", event="stop.answered")
        await self.close()

    async def serve_for(self, accept_for: timedelta) -> None:
        """Serve for `accept_for`; after a handover, return once all clients have disconnected."""
        loop = asyncio.get_running_loop()
        until = loop.time() + accept_for.total_seconds()
        while loop.time() < until and not (self.drain.handed_over and not len(self.drain.clients)):
            await asyncio.sleep(min(0.02, until - loop.time()))

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_accepting()
        clients = self.drain.clients
        loop = asyncio.get_running_loop()
        until = loop.time() + CLOSE_TIMEOUT.total_seconds()
        while clients.any_lingering() and loop.time() < until:
            await asyncio.sleep(HANDLER_END_TIME.total_seconds())
        # before the server's shutdown, whose time limit must not meet the end of a handler
        clients.close_lingering()
        await asyncio.sleep(HANDLER_END_TIME.total_seconds())
        await self.server.shutdown(CLOSE_TIMEOUT.total_seconds())
