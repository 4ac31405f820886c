"""Opening a connection with a timeout that tolerates a blocked event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from aiohttp.client_proto import ResponseHandler

EXTRA_ITERATIONS = 10  # loop iterations after the timeout in which a pending connection may still complete


async def open_with_timeout(opening: Coroutine[Any, Any, ResponseHandler], timeout: float) -> ResponseHandler:
    """Wait up to `timeout` seconds for a connection to open; raises TimeoutError and connection errors.

    After the loop was blocked for longer than that, the timer and the established connection become ready in
    the same iteration. A few more iterations let the connection complete before the peer is blamed.
    """
    task = asyncio.create_task(opening)
    try:
        await asyncio.wait((task,), timeout=timeout)
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
    """Close a connection that was established after its caller had given up."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
