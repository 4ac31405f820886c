"""Tasks that run for as long as the head does: a fault in one is logged at once, and it starts again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from loguru import logger

RESTART_PAUSE = timedelta(seconds=1)


def start_task(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task that is kept running; the task's own name is that of what it runs."""
    return asyncio.create_task(keep_running(name, run), name=getattr(run, "__qualname__", name))


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task to its end, however often it fails before; until cancelled.

    Args:
        name: What the log calls it.
        run: Starts the task; called again after each failure, RESTART_PAUSE later.
    """
    while True:
        try:
            return await run()
        except Exception:
            # Guards a serving head: a task that nobody awaits would end unseen, and its work with it.
            logger.exception(
                "background: {task} failed in an unforeseen way, it starts again",
                event="background.fault",
                task=name,
            )
        await asyncio.sleep(RESTART_PAUSE.total_seconds())
