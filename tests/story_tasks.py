"""Tracks the tasks that a test starts and does not await, so that a failure of one ends the test's waits.

It guards against hidden failures: an assertion failed in a task that nobody awaited, and the test waited for
that task's effect until its time limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import weakref
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

TESTS = str(Path(__file__).parent)
started: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()


def watch_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Track the tasks that run coroutines of the tests from now on."""

    def create_task(
        loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, Any], **options: Any
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(coroutine, loop=loop, **options)
        code = getattr(coroutine, "cr_code", None)
        if code is not None and code.co_filename.startswith(TESTS):
            started.add(task)
        return task

    started.clear()
    loop.set_task_factory(create_task)


async def set_within(event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set, at most for so many seconds; returns whether it is set.

    A task that waits this way ends between two of its steps; a cancelled task may end within a step.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    return event.is_set()


def raise_failed() -> None:
    """Raise the error of a task that has failed, unless it has been retrieved already."""
    for task in list(started):
        if task.done() and not task.cancelled() and task._log_traceback:  # not retrieved
            raise task.exception() or AssertionError
