"""Lifeguard's local health awareness: how well this head itself receives messages. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018, section 4.1).

    A head that misses acks may itself be the slow one, so it waits longer before it suspects others.

    Attributes:
        max_score: The highest score; 0 disables local health awareness.
        score: Missed acks and refutations minus acked health checks, bounded to 0 and `max_score`.
    """

    max_score: int
    score: int = 0

    def improve(self) -> None:
        """Count an acked health check."""
        self.score = max(0, self.score - 1)

    def worsen(self) -> None:
        """Count a health check without an ack, or a suspicion of this head."""
        self.score = min(self.max_score, self.score + 1)

    def scale(self, base: timedelta) -> timedelta:
        """Return a duration multiplied according to the score: by 1 up to 1 + `max_score`."""
        return base * (1 + self.score)
