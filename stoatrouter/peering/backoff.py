"""Pauses between retries to other heads: exponential backoff with jitter."""

from __future__ import annotations

import random
from datetime import timedelta

MIN_JITTER = 0.5  # a pause is the backoff times a factor, uniform from this to this plus 1


class Backoff:
    """An exponential backoff between two bounds, with jitter so that heads do not retry in lockstep."""

    def __init__(self, initial: timedelta, maximum: timedelta, rng: random.Random) -> None:
        """Start at the initial backoff.

        Args:
            initial: The backoff before the first retry.
            maximum: The upper bound of the backoff; a pause may exceed it by half through jitter.
            rng: Source of the jitter.
        """
        self._initial = initial
        self._maximum = maximum
        self._rng = rng
        self._current = initial

    def reset(self) -> None:
        """Return to the initial backoff after an attempt that succeeded."""
        self._current = self._initial

    def next_pause(self) -> float:
        """Return the next pause, in seconds, and double the backoff for the following one."""
        pause = self._current.total_seconds() * (MIN_JITTER + self._rng.random())
        self._current = min(2 * self._current, self._maximum)
        return pause
