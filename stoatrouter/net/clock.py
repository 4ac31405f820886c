"""The head's clock: time since the Unix epoch that never goes backwards."""

from __future__ import annotations

import time
from datetime import timedelta


class Clock:
    """A monotonic clock, set once from the system time.

    It is in Unix time, as the start times of nodes are, but unaffected by changes to the system time.
    """

    def __init__(self) -> None:
        """Set the clock to the current system time."""
        self._anchor = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    @staticmethod
    def monotonic() -> timedelta:
        """Return the machine's monotonic time, which all of its processes share."""
        return timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        """Return the time since the Unix epoch."""
        return self._anchor + timedelta(seconds=time.monotonic())
