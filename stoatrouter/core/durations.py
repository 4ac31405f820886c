"""Conversion between timedelta and the decision module's whole microseconds."""

from __future__ import annotations

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)
NO_TIME = timedelta(0)


def to_microseconds(span: timedelta) -> int:
    """A span, or a time since the Unix epoch, in whole microseconds, rounded down."""
    return span // MICROSECOND


def from_microseconds(count: int) -> timedelta:
    """A number of microseconds as a timedelta."""
    return timedelta(microseconds=count)
