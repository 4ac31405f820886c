"""The tasks that a story starts and does not await: one that fails is seen while the story waits.

What happened: an assertion failed in a task that nobody awaited, what it was to bring about never came, and
the story waited for it until its limit, which hid the failure.
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
    """Keep the tasks that run coroutines of the tests in view, from now on."""

    def make(
        loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], **more: Any
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(work, loop=loop, **more)
        code = getattr(work, "cr_code", None)
        if code is not None and code.co_filename.startswith(TESTS):
            started.add(task)
        return task

    started.clear()
    loop.set_task_factory(make)


async def set_within(event: asyncio.Event, seconds: float) -> bool:
    """Wait for so long, or until an event is set; returns whether it is.

    So a task of a story ends between two of its steps; one that is cancelled may be within a step.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    return event.is_set()


def raise_failed() -> None:
    """Raise the error of a task that has failed, unless somebody has had it already."""
    for task in list(started):
        if task.done() and not task.cancelled() and task._log_traceback:  # nobody has retrieved it
            raise task.exception() or AssertionError
