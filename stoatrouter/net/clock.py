"""The head's time: since the Unix epoch, and never going back."""

from __future__ import annotations

import time
from datetime import timedelta


class Clock:
    """Anchored once at the start: node starts come as Unix times, but the system's clock may be set."""

    def __init__(self) -> None:
        self._anchor = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        return self._anchor + timedelta(seconds=time.monotonic())
