"""Invariants: asserted in debug builds, counted and logged under -O."""

from __future__ import annotations

from collections import Counter

from loguru import logger

broken: Counter[str] = Counter()
LOGGED_EACH = 5  # further breaks of the same kind are only counted: a log that floods hides its cause


def invariant(holds: bool, what: str, **details: object) -> bool:
    """Check that something holds; returns whether it does, so that callers can fall back.

    Raises AssertionError in debug builds.
    """
    if holds:
        return True
    if __debug__:
        raise AssertionError(f"{what}: {details}")
    broken[what] += 1
    if broken[what] <= LOGGED_EACH:
        logger.error(
            "invariant broken: {what} {details}", event="invariant.broken", what=what, details=details
        )
    return False
