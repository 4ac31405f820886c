"""Listening for clients, and the end of a head that was asked to stop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from aiohttp import web
from loguru import logger

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# How long what is left of a body is read after an early answer: closing at once would reset the connection,
# and the client might never see the answer.
LINGER = timedelta(seconds=2)
Response = TypeVar("Response", bound=web.StreamResponse)
BACKLOG = 1024
CROWDED = 0.85  # of the connections that may be held
# After SIGTERM new connections keep coming for 0.4 s; all is as ever a little longer than that.
ACCEPT_FOR = timedelta(milliseconds=450)
# Then connections end between requests. A request that crosses such an end is sent once more over a new one:
# these are still accepted, up to 0.7 s after the signal.
RESENT_FOR = timedelta(milliseconds=200)


class Drain:
    """Whether this head is stopping or crowded, and what its answers say of their connections."""

    def __init__(self, most_connections: int) -> None:
        self.most_connections = most_connections
        self.stopping = False
        self.servers: list[web.Server] = []

    def mark(self, response: Response) -> Response:
        """A connection ends with its answer while this head stops, so that clients go elsewhere, or while
        it has nearly all the connections it may hold: those in use leave room for those that come."""
        if self.stopping or self.connections > CROWDED * self.most_connections:
            response.force_close()
        return response

    @property
    def connections(self) -> int:
        return sum(len(server.connections) for server in self.servers)

    def crowded(self) -> bool:
        """Whether what comes on further connections is to be turned away."""
        return self.connections > self.most_connections


class Listener:
    """One listening address with one front behind it."""

    def __init__(self, handler: Handler, drain: Drain) -> None:
        self.drain = drain
        # handler_cancellation: a client that closes its connection has gone, and its request with it
        self.server = web.Server(handler, handler_cancellation=True, access_log=None, auto_decompress=False,
                                 lingering_time=LINGER.total_seconds())
        drain.servers.append(self.server)
        self.sockets: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.sockets = await loop.create_server(self.server, host, port, backlog=BACKLOG)

    @property
    def port(self) -> int:
        assert self.sockets is not None
        return int(self.sockets.sockets[0].getsockname()[1])

    async def stop(self, busy: Callable[[], bool]) -> None:
        """Accept for a little longer, finish all that was taken, then end the connections."""
        await asyncio.sleep(ACCEPT_FOR.total_seconds())
        self.drain.stopping = True
        self.close_idle()
        await asyncio.sleep(RESENT_FOR.total_seconds())
        if self.sockets is not None:
            self.sockets.close()
        self.close_idle()
        while busy() or self.in_progress():
            await asyncio.sleep(0.01)
            self.close_idle()
        logger.info("stop: all that was taken is answered")
        await self.server.shutdown(1.0)

    def in_progress(self) -> int:
        return sum(not idle(c) for c in self.server.connections)

    def close_idle(self) -> None:
        for connection in self.server.connections:
            # force_close, as close() leaves the socket open and reads it no more: a request that came there
            # would be swallowed without any answer, and the end of this head would never come
            if idle(connection):
                connection.force_close()


def idle(connection: web.RequestHandler) -> bool:
    """Whether a connection is between requests: nothing read of a request, nothing owed. aiohttp has no
    public word for it; a handler's own count would miss a request that is read but not yet handled."""
    return connection._waiter is not None and not connection._messages
