"""Backoff before calls to a registry, so that many heads do not reconnect at the same time."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

MAX_DOUBLINGS = 16  # after more failures than this the bound has long reached its maximum


@dataclass(slots=True, frozen=True)
class Backoff:
    """Exponential backoff with full jitter: each wait is uniform between 0 and a bound that doubles.

    The first wait is at most `initial`, so that a drain is noticed in time after a single broken connection.
    After "Exponential Backoff And Jitter" (Brooker, AWS Architecture Blog, 2015).

    Attributes:
        initial: The bound of the wait after the first failure.
        maximum: The largest bound.
    """

    initial: timedelta = timedelta(milliseconds=200)
    maximum: timedelta = timedelta(seconds=10)

    def bound(self, failures: int) -> timedelta:
        """Return the bound after `failures` earlier failures in a row: `initial` doubled, up to `maximum`."""
        return min(self.maximum, self.initial * (1 << min(failures, MAX_DOUBLINGS)))

    def wait(self, seed: int, failures: int) -> timedelta:
        """Return the wait after `failures` earlier failures; deterministic, and uniform over seeds."""
        drawn = Random(f"{seed}/{failures}").random()
        return self.bound(failures) * drawn
