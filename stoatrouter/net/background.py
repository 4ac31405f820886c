"""Background tasks that run as long as the head: a failed one is logged and restarted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from loguru import logger

RESTART_PAUSE = timedelta(seconds=1)


def start_task(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task that is restarted after a failure; it is named after the function that it runs."""
    return asyncio.create_task(keep_running(name, run), name=getattr(run, "__qualname__", name))


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns or is cancelled, restarting it after each failure.

    Args:
        name: The name of the task in the log.
        run: Starts the task; called again RESTART_PAUSE after each failure.
    """
    while True:
        try:
            return await run()
        except Exception:
            # Nobody awaits this task, so without this it would end unnoticed and its work would stop.
            logger.exception(
                "background: {task} failed with an unexpected error; restarting it",
                event="background.fault",
                task=name,
            )
        await asyncio.sleep(RESTART_PAUSE.total_seconds())
