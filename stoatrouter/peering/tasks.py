"""Cancellation of background tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Collection


async def cancel_tasks(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until all of them have ended.

    Errors that tasks ended with are not raised: the caller no longer needs their work.
    """
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
