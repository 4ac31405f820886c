"""How late an event loop of the soak ran: its stand-ins note times by it, and the judge compares these."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

INTERVAL = 0.01  # seconds
LONG = 0.05  # seconds; longer lags are counted


@dataclass(slots=True)
class Lag:
    """The lags of one loop."""

    worst: float = 0.0  # seconds
    long: int = 0

    def note(self, seconds: float) -> None:
        """Note by how much a timer was late."""
        self.worst = max(self.worst, seconds)
        self.long += seconds > LONG


async def measure(lag: Lag) -> None:
    """Measure until cancelled: a stall, another task's turn, or a processor that others have."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(INTERVAL)
        lag.note(time.monotonic() - began - INTERVAL)


@contextlib.asynccontextmanager
async def measured(lag: Lag) -> AsyncIterator[None]:
    """Measure the running loop meanwhile."""
    measuring = asyncio.create_task(measure(lag))
    try:
        yield
        await asyncio.sleep(2 * INTERVAL)  # a stall at the very end counts too
    finally:
        measuring.cancel()
