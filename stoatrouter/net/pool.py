"""The pool of connections to nodes: bounded, and reusing idle ones only while the path keeps them alive."""

from __future__ import annotations

import asyncio
from collections import deque
from contextvars import ContextVar
from datetime import timedelta
from functools import partial
from typing import Any

import aiohttp
from aiohttp.connector import Connection

from stoatrouter.net.answer_identity import AnswerFingerprints, RequestKind
from stoatrouter.net.connection_counters import ConnectionCounters
from stoatrouter.net.dial import open_with_timeout
from stoatrouter.net.errors import NotBegun
from stoatrouter.net.node_connection import NodeConnection
from stoatrouter.net.pool_waiters import PoolWaiters
from stoatrouter.net.request_digest import READ_METHODS, RequestDigest
from stoatrouter.net.rest_times import Address, RestTimes

# How long an idle connection may be reused adapts to what becomes of those that are reused.
MIN_REUSE_IDLE = 0.05  # seconds
REUSE_IDLE_DECREASE = 0.8  # by a break
REUSE_IDLE_INCREASE = 1.05  # by a success near the bound
# What the request asks for that a connection is sought for: aiohttp hands _get the node alone.
requested_digest: ContextVar[RequestDigest | None] = ContextVar("asked", default=None)


class NodePool(aiohttp.TCPConnector):
    """Connections to all nodes; idle ones count against the bound as well."""

    def __init__(
        self, max_connections: int, connect_timeout: timedelta, keepalive: timedelta, stall_timeout: timedelta
    ) -> None:
        """Set up an empty pool.

        Args:
            max_connections: How many connections may be open at once, idle ones included.
            connect_timeout: How long a connection may take to open.
            keepalive: How long an idle connection is kept.
            stall_timeout: How long the rest of an answer may take once it has begun.
        """
        # no limit of aiohttp's: it counts connections in use only, and opens one more than it allows where
        # the one that was waited for is another request's meanwhile
        super().__init__(limit=0, keepalive_timeout=keepalive.total_seconds(), use_dns_cache=False)
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout.total_seconds()
        self.keepalive = keepalive.total_seconds()
        self.max_reuse_idle = self.keepalive  # seconds that a connection may have been idle to be reused
        self.alive: set[NodeConnection] = set()
        self.attempts_written = 0  # attempts written complete, since the start
        self.rest_times = RestTimes()
        self.fingerprints = AnswerFingerprints()
        self.counters = ConnectionCounters()
        self._dials_in_progress = 0  # connections that are being opened
        self._pool_waiters = PoolWaiters()
        # aiohttp has no public way to choose the class of a connector's connections
        self._factory = partial(  # type: ignore[assignment]  # partial is invariant in what it returns
            NodeConnection,
            loop=asyncio.get_running_loop(),
            pool=self,
            stall_timeout=stall_timeout,
        )

    def set_limit(self, max_connections: int) -> None:
        """Set the bound, as the previous process still has connections open."""
        self.max_connections = max_connections
        self._pool_waiters.wake_all()

    def record_closed(self, connection: NodeConnection) -> None:
        """Record that a connection has ended: another one may open."""
        self.alive.discard(connection)
        self._pool_waiters.wake(None)

    def record_break(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds broke before any answer.

        Some paths drop idle connections silently, far earlier than nodes do: connections idle for that long
        are not reused.
        """
        if idle > MIN_REUSE_IDLE:
            self.max_reuse_idle = max(MIN_REUSE_IDLE, min(self.max_reuse_idle, idle) * REUSE_IDLE_DECREASE)

    def record_success(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds served a request.

        Where that is near the bound, longer idle times are tried again.
        """
        if idle > self.max_reuse_idle / 2:
            self.max_reuse_idle = min(self.keepalive, self.max_reuse_idle * REUSE_IDLE_INCREASE)

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """A connection for a request; raises NotBegun where the decision to send it no longer holds."""
        digest = getattr(req, "digest", None)
        requested_digest.set(digest)
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        may_begin = getattr(req, "may_begin", None)
        if may_begin is not None and not may_begin():
            # Guards drains, windows for repeats and clients that have gone: a dial may outlast all of them.
            if isinstance(protocol, NodeConnection) and protocol.idle_since is None:
                protocol.idle_since = asyncio.get_running_loop().time()  # it has just been opened
            connection.release()
            raise NotBegun
        if isinstance(protocol, NodeConnection):
            protocol.assign(Address(req.url.host, req.url.port), kind_of(req), digest)
        return connection

    async def _get(self, key: Any, traces: Any) -> Any:
        """An idle connection that may be used; None: there is none, and one may be opened."""
        while (connection := self._take_idle(key)) is None:
            if len(self.alive) + self._dials_in_progress < self.max_connections:
                return None
            rest = self._shortest_rest(key)
            if rest is None and self._close_oldest_idle():
                return None
            # Guards the node: in place of one that rests it would get a new connection, which costs it more.
            self.counters.waits_for_rest += rest is not None
            await self._pool_waiters.wait(key, rest)
        self.counters.reuses += 1
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        super()._release(key, protocol, should_close=should_close)
        self._pool_waiters.wake(key)

    async def _create_connection(self, req: Any, traces: Any, timeout: Any) -> Any:
        self.counters.dials += 1
        self.counters.dials_beside_resting += bool(self._conns.get(req.connection_key))
        self._dials_in_progress += 1
        try:
            opening = super()._create_connection(req, traces, timeout)
            return await open_with_timeout(opening, self.connect_timeout)
        finally:
            self._dials_in_progress -= 1
            self._pool_waiters.wake(None)

    def _take_idle(self, key: Any) -> Connection | None:
        """The connection that was released first, of those that are whole and need not rest."""
        idle, now = self._conns.get(key, deque()), asyncio.get_running_loop().time()
        digest = requested_digest.get()
        position = 0
        while position < len(idle):
            protocol = idle[position][0]
            # Guards a client against another one's answer.
            if isinstance(protocol, NodeConnection) and protocol.rest_left(now, digest):
                position += 1
                continue
            del idle[position]
            if not idle:
                del self._conns[key]
            if protocol.is_connected():
                self._acquired.add(protocol)
                return Connection(self, key, protocol, self._loop)
            protocol.close()
        return None

    def _shortest_rest(self, key: Any) -> float | None:
        """How many seconds the idle connections of a node have to rest at least; None: there are none.

        The one that is used first rests for all requests until then.
        """
        now, digest = asyncio.get_running_loop().time(), requested_digest.get()
        idle = [protocol for protocol, _ in self._conns.get(key, ()) if isinstance(protocol, NodeConnection)]
        if not idle:
            return None
        first = min(idle, key=lambda protocol: protocol.rest_left(now, digest))
        # Guards a write's turn: reads of its object in the meantime would put it off again and again.
        first.needs_rest = True
        return first.rest_left(now, digest)

    def _close_oldest_idle(self) -> bool:
        """End the connection that has been idle for longest; False where none is idle."""
        oldest = ((conns[0][1], key) for key, conns in self._conns.items() if conns)
        _, key = min(oldest, key=lambda pair: pair[0], default=(0.0, None))
        if key is None:
            return False
        connection, _ = self._conns[key].popleft()
        if not self._conns[key]:
            del self._conns[key]
        self.counters.ended_for_room += 1
        if isinstance(connection, NodeConnection):
            self.alive.discard(connection)  # another one may open at once, though its end comes later
        connection.close()
        return True


def kind_of(request: aiohttp.ClientRequest) -> RequestKind:
    """What a request is to its node, as far as its answers may be alike."""
    if "Req-Id" not in request.headers:
        return RequestKind.HEALTH_CHECK
    return RequestKind.READ if request.method in READ_METHODS else RequestKind.WRITE
