"""Ending background tasks: cancelled, and waited for."""

from __future__ import annotations

import asyncio
from collections.abc import Collection


async def cancel_tasks(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until all of them have ended.

    An error that a task ended with is not raised here: whoever ends it no longer needs its work.
    """
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
