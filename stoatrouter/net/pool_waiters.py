"""Requests that wait for a connection of a full pool, by node, in the order in which they came."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict, deque
from collections.abc import Hashable


class PoolWaiters:
    """Who waits for a connection; bounded by the requests that are under way."""

    def __init__(self) -> None:
        """Set up with nobody waiting."""
        self._by_node: OrderedDict[Hashable, deque[asyncio.Future[None]]] = OrderedDict()
        # of these, who waits without a time of its own, as its node has no idle connection
        self._for_capacity: OrderedDict[asyncio.Future[None], Hashable] = OrderedDict()

    def __len__(self) -> int:
        """How many wait."""
        return sum(len(waiters) for waiters in self._by_node.values())

    async def wait(self, node: Hashable, at_most: float | None) -> None:
        """Wait until woken, `at_most` seconds; None: until woken.

        Args:
            node: For a connection of which node.
            at_most: Seconds after which the wait is over.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._by_node.setdefault(node, deque()).append(waiter)
        if at_most is None:
            self._for_capacity[waiter] = node
        try:
            await asyncio.wait((waiter,), timeout=at_most)
        except asyncio.CancelledError:
            if waiter.done():
                self.wake(node)  # what it was woken for is another one's now
            raise
        finally:
            self._remove(node, waiter)

    def wake(self, node: Hashable) -> None:
        """Wake the first that waits for a connection of a node.

        Where there is none, the first that waits for capacity, then the first of any node.
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
        """Wake all that wait."""
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
