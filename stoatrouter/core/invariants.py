"""Invariants: asserted in debug builds, counted and logged under -O."""

from __future__ import annotations

from collections import Counter

from loguru import logger

from stoatrouter.core.errors import CoreError

violations: Counter[str] = Counter()
MAX_LOGGED_PER_KIND = 5  # further breaks of the same kind are only counted: a log that floods hides its cause


class InvariantBroken(CoreError, AssertionError):
    """A condition that the core relies on does not hold; raised in debug builds only.

    It is an AssertionError as well, so that tests and callers that expect one still catch it.
    """

    def __init__(self, what: str, details: dict[str, object]) -> None:
        """Name the broken condition.

        Args:
            what: the condition that failed, in words (e.g. "a send for a request that is over").
            details: where it failed: the request, attempt or node that it concerns.
        """
        super().__init__(f"{what}: {details}")
        self.what = what
        self.details = details


def invariant(holds: bool, what: str, **details: object) -> bool:
    """Check that something holds; returns whether it does, so that callers can fall back.

    Raises:
        InvariantBroken: in debug builds, where it does not hold.
    """
    if holds:
        return True
    if __debug__:
        raise InvariantBroken(what, details)
    violations[what] += 1
    if violations[what] <= MAX_LOGGED_PER_KIND:
        logger.error(
            "invariant broken: {what} {details}", event="invariant.broken", what=what, details=details
        )
    return False
