"""Backoff before calls to a registry, so that many heads do not come back all at once."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

MOST_DOUBLED = 16  # beyond, the wait is at its bound anyway


@dataclass(slots=True, frozen=True)
class Backoff:
    """Exponential backoff with full jitter: each wait is drawn evenly from 0 to a bound that doubles.

    The first wait is within `first`, so that a drain is seen in time after a single break. After
    "Exponential Backoff And Jitter" (Brooker, AWS Architecture Blog, 2015).

    Attributes:
        first: The bound of the wait after the first failure.
        most: The cap: no bound is longer.
    """

    first: timedelta = timedelta(milliseconds=200)
    most: timedelta = timedelta(seconds=10)

    def bound(self, failures: int) -> timedelta:
        """The longest wait after `failures` failures in a row (from 0): `first` doubled, up to `most`."""
        return min(self.most, self.first * (1 << min(failures, MOST_DOUBLED)))

    def wait(self, seed: int, failures: int) -> timedelta:
        """The wait after `failures` failures; equal for equal seeds and counts, spread evenly over seeds."""
        drawn = Random(f"{seed}/{failures}").random()
        return self.bound(failures) * drawn
