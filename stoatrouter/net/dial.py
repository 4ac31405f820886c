"""Opens a connection within a time, and takes one that has come up while the loop was held up."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from aiohttp.client_proto import ResponseHandler

EXTRA_ITERATIONS = 10  # of the loop, in which it sees what has come and finishes the opening


async def open_with_timeout(opening: Coroutine[Any, Any, ResponseHandler], within: float) -> ResponseHandler:
    """Await the opening of a connection for `within` seconds; raises TimeoutError and its errors.

    A loop that was held up for as long finds its timer due and the connection up in the same step. It gets
    the chance to look at what has come before it blames the peer.
    """
    task = asyncio.create_task(opening)
    try:
        await asyncio.wait((task,), timeout=within)
        for _ in range(EXTRA_ITERATIONS):
            if task.done():
                return task.result()
            await asyncio.sleep(0)
        raise TimeoutError
    except BaseException:
        task.cancel()
        task.add_done_callback(close_unused)
        raise


def close_unused(task: asyncio.Task[ResponseHandler]) -> None:
    """Close a connection that came up after nobody waited for it any more."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
