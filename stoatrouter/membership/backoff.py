"""Backoff before calls to a registry, so that many heads do not come back all at once."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

MAX_DOUBLINGS = 16  # beyond, the wait is at its bound anyway


@dataclass(slots=True, frozen=True)
class Backoff:
    """Exponential backoff with full jitter: each wait is drawn evenly from 0 to a bound that doubles.

    The first wait is within `first`, so that a drain is seen in time after a single break. After
    "Exponential Backoff And Jitter" (Brooker, AWS Architecture Blog, 2015).

    Attributes:
        initial: The bound of the wait after the first failure.
        maximum: The cap: no bound is longer.
    """

    initial: timedelta = timedelta(milliseconds=200)
    maximum: timedelta = timedelta(seconds=10)

    def bound(self, failures: int) -> timedelta:
        """The longest wait after `failures` failures in a row (from 0): `first` doubled, up to `most`."""
        return min(self.maximum, self.initial * (1 << min(failures, MAX_DOUBLINGS)))

    def wait(self, seed: int, failures: int) -> timedelta:
        """The wait after `failures` failures; equal for equal seeds and counts, spread evenly over seeds."""
        drawn = Random(f"{seed}/{failures}").random()
        return self.bound(failures) * drawn
