"""The error with which every virtual fleet reports a broken invariant."""

from __future__ import annotations


class InvariantViolated(Exception):
    """An invariant of the control code does not hold; the text says which one, where and when."""
