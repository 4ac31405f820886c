"""Invariants: asserted in debug builds, counted and logged under `python -O`."""

from __future__ import annotations

from collections import Counter

from loguru import logger

from stoatrouter.core.errors import CoreError

violations: Counter[str] = Counter()
MAX_LOGGED_PER_KIND = 5  # further violations of a kind are only counted, so that the log is not flooded


class InvariantBroken(CoreError, AssertionError):
    """A violated invariant of the core; raised in debug builds only.

    It is also an AssertionError, so that tests and callers that expect one catch it.
    """

    def __init__(self, what: str, details: dict[str, object]) -> None:
        """Create an error for a violated condition.

        Args:
            what: a description of the violation, such as "a send for a request that is over".
            details: the request, attempt or node concerned.
        """
        super().__init__(f"{what}: {details}")
        self.what = what
        self.details = details


def invariant(holds: bool, what: str, **details: object) -> bool:
    """Check that an invariant holds, and return whether it does, so that callers can fall back.

    Raises:
        InvariantBroken: in debug builds, if it does not hold.
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
