"""Counts of what is dropped between heads, each kind logged once: a flood must not fill the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from loguru import logger


@dataclass(slots=True)
class MessageCounters:
    """Counts of messages by name, and a log line for the first of each kind that is dropped."""

    by_name: Counter[str] = field(default_factory=Counter)

    def drop(self, way: str, why: str, where: str) -> None:
        """A message that was not believed."""
        name = f"{way}.dropped.{why}"
        self.by_name[name] += 1
        if self.by_name[name] == 1:
            logger.warning(
                "heads: dropped from {where}: {why} (said once, counted from here on)",
                event="heads.dropped",
                where=where,
                why=f"{way} {why}",
            )

    def add(self, name: str, count: int = 1) -> None:
        """Count something."""
        self.by_name[name] += count
