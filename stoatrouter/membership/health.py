"""How well this head itself hears others: Lifeguard's local health awareness. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018, section 4.1).

    A head that misses acks may itself be the slow one: it waits longer before it suspects others.

    Attributes:
        max_score: The highest score; 0 switches local health off.
        score: Missed acks and refutations less health checks that were acked, within 0 and `max_score`.
    """

    max_score: int
    score: int = 0

    def improve(self) -> None:
        """Count a health check that was acked."""
        self.score = max(0, self.score - 1)

    def worsen(self) -> None:
        """Count a health check without an ack, or a suspicion of this head."""
        self.score = min(self.max_score, self.score + 1)

    def scale(self, base: timedelta) -> timedelta:
        """A timing of this head, as many times over as its health demands."""
        return base * (1 + self.score)
