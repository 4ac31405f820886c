"""The pool of connections to nodes: bounded, and reusing idle ones only while the path keeps them alive."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from functools import partial
from typing import Any

import aiohttp

from stoatrouter.net.errors import NotBegun
from stoatrouter.net.node_connection import NodeConnection

# For how long idle connections are used follows what becomes of those that are used.
LEAST_REUSE_WITHIN, SHORTEN, LENGTHEN = 0.05, 0.8, 1.05


class NodePool(aiohttp.TCPConnector):
    """Connections to all nodes; idle ones count against the bound as well."""

    def __init__(self, most: int, keep: timedelta, rest_within: timedelta) -> None:
        """Set up an empty pool.

        Args:
            most: How many connections may be open at once, idle ones included.
            keep: How long an idle connection is kept.
            rest_within: How long the rest of an answer may take once it has begun.
        """
        super().__init__(limit=most, keepalive_timeout=keep.total_seconds(), use_dns_cache=False)
        self.most, self.keep = most, keep.total_seconds()
        self.reuse_within = self.keep  # how long a connection may have been idle to be used again
        self.alive: set[NodeConnection] = set()
        self.attempts_written = 0  # attempts written complete, since the start
        # aiohttp has no public way to say which connections a connector makes
        self._factory = partial(
            NodeConnection,
            loop=asyncio.get_running_loop(),
            pool=self,  # type: ignore
            rest_within=rest_within,
        )

    def set_limit(self, most: int) -> None:
        """Set the bound, as the previous process still holds connections."""
        self.most = self._limit = most

    def record_break(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds broke before any answer.

        Some paths drop idle connections silently, far earlier than nodes do: connections idle for that long
        are not reused.
        """
        if idle > LEAST_REUSE_WITHIN:
            self.reuse_within = max(LEAST_REUSE_WITHIN, min(self.reuse_within, idle) * SHORTEN)

    def record_success(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds served a request.

        Where that is near the bound, longer idle times are tried again.
        """
        if idle > self.reuse_within / 2:
            self.reuse_within = min(self.keep, self.reuse_within * LENGTHEN)

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """A connection for a request; raises NotBegun where the decision to send it no longer holds."""
        # Guards the descriptors: aiohttp's limit counts connections in use only.
        if len(self.alive) >= self.most:
            self._end_oldest_idle()
        connection = await super().connect(req, traces, timeout)
        may_begin = getattr(req, "may_begin", None)
        if may_begin is not None and not may_begin():
            # Guards drains, windows for repeats and clients that have gone: a dial may outlast all of them.
            protocol = connection.protocol
            if isinstance(protocol, NodeConnection) and protocol.idle_since is None:
                protocol.idle_since = asyncio.get_running_loop().time()  # it has just come up
            connection.release()
            raise NotBegun
        return connection

    def _end_oldest_idle(self) -> None:
        waiting = ((conns[0][1], key) for key, conns in self._conns.items() if conns)
        _, key = min(waiting, key=lambda pair: pair[0], default=(0.0, None))
        if key is not None:
            connection, _ = self._conns[key].popleft()
            if not self._conns[key]:
                del self._conns[key]
            connection.close()
