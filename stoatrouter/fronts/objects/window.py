"""Bounded concurrency with ordered results, for the pieces that one operation reads or writes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Coroutine
from types import TracebackType
from typing import Any, Generic, TypeVar

Result = TypeVar("Result")


class TaskWindow(Generic[Result]):
    """Runs at most `limit` tasks at a time and returns their results in order; its exit cancels the rest."""

    def __init__(self, limit: int) -> None:
        """Create an empty window.

        Args:
            limit: The maximum number of tasks; adding a task that reaches it waits for the oldest.
        """
        self.limit = limit
        self.tasks: deque[asyncio.Task[Result]] = deque()

    async def __aenter__(self) -> TaskWindow[Result]:
        """Enter the context in which tasks can be added."""
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the remaining tasks and wait until they have ended."""
        # Attempts must not continue after the client has disconnected or another attempt has failed.
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def add(self, work: Coroutine[Any, Any, Result]) -> Result | None:
        """Start a task; if that fills the window, wait for the oldest task and return its result."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return await self._wait_for_oldest() if len(self.tasks) >= self.limit else None

    async def drain(self) -> AsyncIterator[Result]:
        """Yield the results of the remaining tasks in order."""
        while self.tasks:
            yield await self._wait_for_oldest()

    async def _wait_for_oldest(self) -> Result:
        result = await self.tasks[0]  # stays in the queue while it runs, so that __aexit__ cancels it too
        self.tasks.popleft()
        return result
