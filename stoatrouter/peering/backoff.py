"""Pauses between retries to other heads: exponential backoff with jitter."""

from __future__ import annotations

import random
from datetime import timedelta

MIN_JITTER = 0.5  # a pause is drawn evenly from this to this plus 1 times the backoff


class Backoff:
    """An exponential backoff between two bounds, jittered so that heads do not retry in step."""

    def __init__(self, first: timedelta, longest: timedelta, rng: random.Random) -> None:
        """Begin at the first pause.

        Args:
            first: The backoff before the first retry.
            longest: The backoff does not grow beyond this; a jittered pause may be half longer.
            rng: Draws the jitter.
        """
        self._first = first
        self._longest = longest
        self._rng = rng
        self._current = first

    def reset(self) -> None:
        """Begin anew: the last attempt has succeeded."""
        self._current = self._first

    def next_pause(self) -> float:
        """Draw the next pause, in seconds, and double the backoff for the one after it."""
        pause = self._current.total_seconds() * (MIN_JITTER + self._rng.random())
        self._current = min(2 * self._current, self._longest)
        return pause
