"""Whom to ping next: everybody once a round, in an order drawn anew for each (SWIM section 4.3). No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class PingRound:
    """One round over names or addresses.

    Attributes:
        remaining: Those not pinged yet in this round, the next one last.
    """

    remaining: list[str] = field(default_factory=list)

    def next(self, candidates: Iterable[str], rng: random.Random) -> str | None:
        """The next of `candidates`; those gone since the round began are left out. None without any."""
        present = set(candidates)
        while self.remaining:
            if (candidate := self.remaining.pop()) in present:
                return candidate
        self.remaining = sorted(present)
        rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None
