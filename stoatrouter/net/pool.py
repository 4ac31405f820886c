"""The bounded pool of connections to nodes; idle ones are reused only while the network path keeps them."""

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
from stoatrouter.net.input_turns import InputTurns
from stoatrouter.net.node_connection import NodeConnection
from stoatrouter.net.pool_waiters import PoolWaiters
from stoatrouter.net.request_digest import READ_METHODS, RequestDigest
from stoatrouter.net.reuse_delays import Address, ReuseDelays

# The maximum idle time for reuse adapts to whether reused connections work or break.
MIN_REUSE_IDLE = 0.05  # seconds
REUSE_IDLE_DECREASE = 0.8  # factor after a break
REUSE_IDLE_INCREASE = 1.05  # factor after a success near the maximum
# The digest of the request that needs a connection: aiohttp passes only the node's key to _get.
requested_digest: ContextVar[RequestDigest | None] = ContextVar("requested_digest", default=None)


class NodePool(aiohttp.TCPConnector):
    """Connections to all nodes; idle ones count towards the limit as well."""

    def __init__(
        self, max_connections: int, connect_timeout: timedelta, keepalive: timedelta, stall_timeout: timedelta
    ) -> None:
        """Set up an empty pool.

        Args:
            max_connections: The maximum number of open connections, idle ones included.
            connect_timeout: How long opening a connection may take.
            keepalive: How long an idle connection is kept.
            stall_timeout: After which time without new bytes an answer that has begun counts as stalled.
        """
        # aiohttp's own limit is not used: it counts only connections in use, and is exceeded by one if
        # another request takes the connection that a request has waited for
        super().__init__(limit=0, keepalive_timeout=keepalive.total_seconds(), use_dns_cache=False)
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout.total_seconds()
        self.keepalive = keepalive.total_seconds()
        self.max_reuse_idle = self.keepalive  # the maximum idle time in seconds after which one is reused
        self.open_connections: set[NodeConnection] = set()
        self.attempts_written = 0  # attempts that were written completely, since the start
        self.turns = InputTurns()
        self.reuse_delays = ReuseDelays()
        self.fingerprints = AnswerFingerprints()
        self.counters = ConnectionCounters()
        self._dials_in_progress = 0  # connections that are being opened
        self._pool_waiters = PoolWaiters()
        # aiohttp has no public API to choose the class of a connector's connections
        self._factory = partial(  # type: ignore[assignment]  # partial is invariant in its return type
            NodeConnection,
            loop=asyncio.get_running_loop(),
            pool=self,
            stall_timeout=stall_timeout,
        )

    def set_limit(self, max_connections: int) -> None:
        """Set the limit, which depends on how many connections the previous process still has open."""
        self.max_connections = max_connections
        self._pool_waiters.wake_all()

    def record_closed(self, connection: NodeConnection) -> None:
        """Record that a connection has closed, so that another one may open."""
        self.open_connections.discard(connection)
        self._pool_waiters.wake(None)

    def record_break(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds broke before any answer.

        Some network paths drop idle connections silently, much earlier than nodes do, so connections that
        have been idle for that long are no longer reused.
        """
        if idle > MIN_REUSE_IDLE:
            self.max_reuse_idle = max(MIN_REUSE_IDLE, min(self.max_reuse_idle, idle) * REUSE_IDLE_DECREASE)

    def record_success(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds served a request.

        If that is near the maximum, longer idle times are tried again.
        """
        if idle > self.max_reuse_idle / 2:
            self.max_reuse_idle = min(self.keepalive, self.max_reuse_idle * REUSE_IDLE_INCREASE)

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Return a connection for a request; raises NotBegun if the decision to send is no longer valid."""
        digest = getattr(req, "digest", None)
        requested_digest.set(digest)
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        may_begin = getattr(req, "may_begin", None)
        if may_begin is not None and not may_begin():
            # While the connection was opened, the node may have started to drain, the repeat window may have
            # ended, or the client may have left.
            if isinstance(protocol, NodeConnection) and protocol.idle_since is None:
                protocol.idle_since = asyncio.get_running_loop().time()  # it was just opened
            connection.release()
            raise NotBegun
        if isinstance(protocol, NodeConnection):
            node = Address(req.url.host, req.url.port)
            protocol.assign(node, classify_request(req), digest, getattr(req, "on_stall", None))
        return connection

    async def _get(self, key: Any, traces: Any) -> Any:
        """Return an idle connection for reuse, or None if one may be opened; waits while the pool is full."""
        while (connection := self._take_idle(key)) is None:
            if len(self.open_connections) + self._dials_in_progress < self.max_connections:
                return None
            delay = self._shortest_reuse_delay(key)
            if delay is None and self._close_oldest_idle():
                return None
            # Waiting for the end of a reuse delay costs the node less than opening a new connection.
            self.counters.waits_for_rest += delay is not None
            await self._pool_waiters.wait(key, delay)
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
        """Return the first released idle connection that is intact and past its reuse delay, or None."""
        idle, now = self._conns.get(key, deque()), asyncio.get_running_loop().time()
        digest = requested_digest.get()
        position = 0
        while position < len(idle):
            protocol = idle[position][0]
            # During the reuse delay, the connection may still receive a duplicate of another client's answer.
            if isinstance(protocol, NodeConnection) and protocol.remaining_reuse_delay(now, digest):
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

    def _shortest_reuse_delay(self, key: Any) -> float | None:
        """Return the shortest remaining reuse delay, in seconds, of a node's idle connections, or None.

        Until then, that connection is reused for no request at all.
        """
        now, digest = asyncio.get_running_loop().time(), requested_digest.get()
        idle = [protocol for protocol, _ in self._conns.get(key, ()) if isinstance(protocol, NodeConnection)]
        if not idle:
            return None
        first = min(idle, key=lambda protocol: protocol.remaining_reuse_delay(now, digest))
        # Otherwise reads of the same object could use the connection first and delay a write repeatedly.
        first.needs_reuse_delay = True
        return first.remaining_reuse_delay(now, digest)

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest; returns False if none is idle."""
        oldest = ((conns[0][1], key) for key, conns in self._conns.items() if conns)
        _, key = min(oldest, key=lambda pair: pair[0], default=(0.0, None))
        if key is None:
            return False
        connection, _ = self._conns[key].popleft()
        if not self._conns[key]:
            del self._conns[key]
        self.counters.ended_for_room += 1
        if isinstance(connection, NodeConnection):
            self.open_connections.discard(connection)  # it is closed later, but another one may open at once
        connection.close()
        return True


def classify_request(request: aiohttp.ClientRequest) -> RequestKind:
    """Return the kind of a request, by its method and header fields."""
    if "Req-Id" not in request.headers:
        return RequestKind.HEALTH_CHECK
    return RequestKind.READ if request.method in READ_METHODS else RequestKind.WRITE
