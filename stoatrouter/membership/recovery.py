"""Backoff before calls to a registry, so that many heads do not come back all at once."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

MOST_DOUBLED = 16  # beyond, the wait is at its bound anyway


@dataclass(slots=True, frozen=True)
class Backoff:
    """Full jitter: each wait is drawn evenly from 0 to a bound that doubles with each failure.

    The first wait is within `first`, so that a drain is seen in time after a single break.
    """

    first: timedelta = timedelta(milliseconds=200)
    most: timedelta = timedelta(seconds=10)

    def bound(self, failures: int) -> timedelta:
        """The longest wait after this many failures in a row, from 0."""
        return min(self.most, self.first * 2 ** min(failures, MOST_DOUBLED))

    def wait(self, seed: int, failures: int) -> timedelta:
        """The wait; equal for equal seeds and counts, and spread evenly over seeds."""
        drawn = Random(f"{seed}/{failures}").random()
        return self.bound(failures) * drawn
