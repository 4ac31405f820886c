"""The lag of the soak's event loops, by which stand-ins record the times that the judge compares."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

INTERVAL = 0.01  # seconds
LONG_LAG = 0.05  # seconds; longer lags are counted


@dataclass(slots=True)
class Lag:
    """The lag of one event loop."""

    worst: float = 0.0  # seconds
    long: int = 0  # number of lags over LONG_LAG

    def note(self, seconds: float) -> None:
        """Record how late a timer was."""
        self.worst = max(self.worst, seconds)
        self.long += seconds > LONG_LAG


async def measure(lag: Lag) -> None:
    """Measure until cancelled; lag comes from a stall, another task, or a processor in use by others."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(INTERVAL)
        lag.note(time.monotonic() - began - INTERVAL)


@contextlib.asynccontextmanager
async def measured(lag: Lag) -> AsyncIterator[None]:
    """Measure the running event loop within the context."""
    measuring = asyncio.create_task(measure(lag))
    try:
        yield
        await asyncio.sleep(2 * INTERVAL)  # so that a stall at the very end is measured too
    finally:
        measuring.cancel()
