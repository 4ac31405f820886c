"""Counters of the messages between heads.

Only the first dropped message of each kind is logged, so that a flood does not fill the log.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from loguru import logger


class Channel(StrEnum):
    """The channel a message arrived on. The values are parts of metric keys and log fields."""

    STREAM = "stream"
    DATAGRAM = "datagram"


@dataclass(slots=True)
class MessageCounters:
    """The counters of one head since its start.

    Attributes:
        by_name: The counters by the keys that operators see (`/control/heads`, `counts`).
    """

    by_name: Counter[str] = field(default_factory=Counter)

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        self.by_name[name] += count

    def count_drop(self, channel: Channel, reason: str, source: str) -> None:
        """Count a dropped message, and log the first one for each channel and reason.

        Args:
            channel: The channel it arrived on.
            reason: Why it is dropped: a `RejectReason`, or a reason of the detector or the codec.
            source: The address it came from.
        """
        name = f"{channel}.dropped.{reason}"
        self.by_name[name] += 1
        if self.by_name[name] > 1:
            return
        logger.warning(
            "heads: dropped a message from {where}: {why} (logged once; further drops are only counted)",
            event="heads.dropped",
            where=source,
            why=f"{channel} {reason}",
        )
