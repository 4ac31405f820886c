"""The ping order: each member once a round, in a new random order each round (SWIM section 4.3). No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class PingRound:
    """A round of pings over names or addresses.

    Attributes:
        remaining: Those not yet pinged in this round; the last one is next.
    """

    remaining: list[str] = field(default_factory=list)

    def next(self, candidates: Iterable[str], rng: random.Random) -> str | None:
        """Return the next of `candidates`, starting a new round if needed; None if there is none."""
        present = set(candidates)
        while self.remaining:
            if (candidate := self.remaining.pop()) in present:
                return candidate
        self.remaining = sorted(present)
        rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None
