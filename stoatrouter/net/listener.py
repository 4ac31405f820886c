"""Listening for clients, and the end of a head that was asked to stop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

from aiohttp import web
from loguru import logger

from stoatrouter.net.door import Door, Server

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Response = TypeVar("Response", bound=web.StreamResponse)
BACKLOG = 1024
# Connections accepted in one turn of the loop: those that end for their sake give up their descriptors in
# the next one.
ACCEPT_AT_ONCE = 16
# A stopping head is killed no sooner than this after the longest deadline, which counts as 3 s at most.
KILLED_AFTER, LONGEST_COUNTED = timedelta(milliseconds=700), timedelta(seconds=3)
ANSWERED_BEFORE = timedelta(milliseconds=350)  # the kill: by then all is answered that came since the signal
LAST_TAKEN_BEFORE = timedelta(milliseconds=400)  # that: what comes later has too little time to be of use
LONGEST_TAKE = timedelta(seconds=3)
# Then connections end between requests. A request that crosses such an end is sent once more over a new one:
# these are still accepted.
RESENT_FOR = timedelta(milliseconds=200)


@dataclass(slots=True, frozen=True)
class Farewell:
    """How long a stopping head takes requests as ever, and by when it has answered them."""

    take_for: timedelta
    answer_within: timedelta


def farewell(longest_deadline: timedelta) -> Farewell:
    """Clients keep to the connections they have and can reach this head in no other way until it is back, so
    it serves for as long as it can be sure to answer."""
    within = min(longest_deadline, LONGEST_COUNTED) + KILLED_AFTER - ANSWERED_BEFORE
    return Farewell(min(LONGEST_TAKE, within - LAST_TAKEN_BEFORE), within)


class Drain:
    """Whether this head is stopping or crowded, and what its answers say of their connections."""

    def __init__(self, door: Door) -> None:
        self.door, self.stopping = door, False

    def mark(self, response: Response) -> Response:
        """A connection ends with its answer while this head stops, so that clients go elsewhere."""
        if self.stopping:
            response.force_close()
        return response

    def crowded(self) -> bool:
        return self.door.crowded()


class Listener:
    """One listening address with one front behind it."""

    def __init__(self, handler: Handler, drain: Drain) -> None:
        self.drain = drain
        # handler_cancellation: a client that closes its connection has gone, and its request with it
        self.server = Server(handler, drain.door, handler_cancellation=True, access_log=None,
                             auto_decompress=False)
        self.sockets: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        ear = socket.create_server((host, port), family=family, backlog=BACKLOG)
        ear.setblocking(False)
        # Guards the descriptors: asyncio accepts as many at once as it believes the backlog to be.
        self.sockets = await asyncio.get_running_loop().create_server(
            self.server, sock=ear, backlog=ACCEPT_AT_ONCE)
        ear.listen(BACKLOG)

    @property
    def port(self) -> int:
        assert self.sockets is not None
        return int(self.sockets.sockets[0].getsockname()[1])

    async def stop(self, busy: Callable[[], bool], take_for: timedelta) -> None:
        """Serve for a little longer, finish all that was taken, then end the connections."""
        door = self.drain.door
        door.keep_idle = True
        await asyncio.sleep(take_for.total_seconds())
        self.drain.stopping = True
        door.end_idle()
        await asyncio.sleep(RESENT_FOR.total_seconds())
        if self.sockets is not None:
            self.sockets.close()
        door.end_idle()
        while busy() or door.open:
            await asyncio.sleep(0.01)
            door.end_idle()
        logger.info("stop: all that was taken is answered")
        await self.server.shutdown(1.0)
