"""Conversion between timedelta and the decision module's whole microseconds."""

from __future__ import annotations

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)
NO_TIME = timedelta(0)


def to_microseconds(duration: timedelta) -> int:
    """Convert a duration, or a time since the Unix epoch, to whole microseconds, rounded down."""
    return duration // MICROSECOND


def from_microseconds(count: int) -> timedelta:
    """Convert a number of microseconds to a timedelta."""
    return timedelta(microseconds=count)
