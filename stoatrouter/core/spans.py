"""The one place where spans and times become the decision module's whole microseconds, and back."""

from __future__ import annotations

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)
NO_TIME = timedelta(0)


def micros(span: timedelta) -> int:
    """A span, or a time since the Unix epoch, as the decision module counts it."""
    return span // MICROSECOND


def span(count: int) -> timedelta:
    """A count of microseconds of the decision module as a span."""
    return timedelta(microseconds=count)
