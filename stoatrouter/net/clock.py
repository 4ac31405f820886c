"""The head's clock: time since the Unix epoch that never goes back."""

from __future__ import annotations

import time
from datetime import timedelta


class Clock:
    """A monotonic clock, set once from the system's time.

    Node starts are Unix times, but the system's clock may be set while the head runs.
    """

    def __init__(self) -> None:
        """Set the clock from the system's time, now."""
        self._anchor = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        """The time since the Unix epoch."""
        return self._anchor + timedelta(seconds=time.monotonic())
