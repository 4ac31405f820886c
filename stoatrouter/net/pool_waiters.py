"""Requests that wait for a connection of a full pool, by node, in order of arrival."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict, deque
from collections.abc import Hashable


class PoolWaiters:
    """The requests that wait for a connection, which are bounded by the open requests."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._by_node: OrderedDict[Hashable, deque[asyncio.Future[None]]] = OrderedDict()
        # of these, the ones without a time limit, as their node has no idle connection
        self._for_capacity: OrderedDict[asyncio.Future[None], Hashable] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return sum(len(waiters) for waiters in self._by_node.values())

    async def wait(self, node: Hashable, timeout: float | None) -> None:
        """Wait until woken, or until the timeout has passed.

        Args:
            node: The node whose connection is waited for.
            timeout: The maximum wait in seconds; None: wait until woken.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._by_node.setdefault(node, deque()).append(waiter)
        if timeout is None:
            self._for_capacity[waiter] = node
        try:
            await asyncio.wait((waiter,), timeout=timeout)
        except asyncio.CancelledError:
            if waiter.done():
                self.wake(node)  # pass the wake-up on to another waiter
            raise
        finally:
            self._remove(node, waiter)

    def wake(self, node: Hashable) -> None:
        """Wake the first waiter for a connection of a node.

        If it has none, wake the first one that waits for capacity, or else the first one of any node.
        """
        if not self._by_node:
            return
        first = node
        if node not in self._by_node:
            first = next(iter(self._for_capacity.values()), next(iter(self._by_node)))
        self._by_node.move_to_end(first)  # nodes take turns
        waiter = self._by_node[first][0]
        self._remove(first, waiter)
        if not waiter.done():
            waiter.set_result(None)

    def wake_all(self) -> None:
        """Wake all waiters."""
        while self._by_node:
            self.wake(None)

    def _remove(self, node: Hashable, waiter: asyncio.Future[None]) -> None:
        self._for_capacity.pop(waiter, None)
        waiters = self._by_node.get(node)
        if waiters is None:
            return
        with contextlib.suppress(ValueError):
            waiters.remove(waiter)
        if not waiters:
            del self._by_node[node]
