"""Bounded concurrency with results in order: the window of pieces that one operation has in flight."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Coroutine
from types import TracebackType
from typing import Any, Generic, TypeVar

Result = TypeVar("Result")


class TaskWindow(Generic[Result]):
    """At most `limit` tasks at a time, with their results in order; leaving the window cancels the rest."""

    def __init__(self, limit: int) -> None:
        """Start an empty window.

        Args:
            limit: How many tasks run at a time; adding the last of them waits for the oldest.
        """
        self.limit = limit
        self.tasks: deque[asyncio.Task[Result]] = deque()

    async def __aenter__(self) -> TaskWindow[Result]:
        """Enter the window; tasks are added within it."""
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the tasks that are left and wait for their end."""
        # Guards against attempts that go on for a client that has gone, or behind one that failed.
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def add(self, work: Coroutine[Any, Any, Result]) -> Result | None:
        """Start one more task; where that fills the window, wait for the oldest and return its result."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return await self._wait_for_oldest() if len(self.tasks) >= self.limit else None

    async def drain(self) -> AsyncIterator[Result]:
        """Yield the results of the tasks in flight, in order."""
        while self.tasks:
            yield await self._wait_for_oldest()

    async def _wait_for_oldest(self) -> Result:
        result = await self.tasks[0]  # it stays listed until it is over: leaving the window ends it too
        self.tasks.popleft()
        return result
