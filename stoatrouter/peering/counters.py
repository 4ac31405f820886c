"""Counters of the messages between heads.

Of the messages dropped, the first of each kind is logged and no other: a flood must not fill the log.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from loguru import logger


class Channel(StrEnum):
    """How a message came. The values are parts of metric keys and log fields."""

    STREAM = "stream"
    DATAGRAM = "datagram"


@dataclass(slots=True)
class MessageCounters:
    """Counters of one head, since its start.

    Attributes:
        by_name: The counters by the key that operators see (`/control/heads`, `counts`).
    """

    by_name: Counter[str] = field(default_factory=Counter)

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        self.by_name[name] += count

    def count_drop(self, channel: Channel, reason: str, source: str) -> None:
        """Count a message that is dropped, and log the first for each reason.

        Args:
            channel: How it came.
            reason: Why it is dropped: a `RejectReason`, or the detector's or the codec's own.
            source: The address that it came from.
        """
        name = f"{channel}.dropped.{reason}"
        self.by_name[name] += 1
        if self.by_name[name] > 1:
            return
        logger.warning(
            "heads: dropped from {where}: {why} (said once, counted from here on)",
            event="heads.dropped",
            where=source,
            why=f"{channel} {reason}",
        )
