"""The error that all simulated fleets raise for a violated invariant."""

from __future__ import annotations


class InvariantViolated(Exception):
    """An invariant of the control code does not hold; the message names it, the place and the time."""
