"""The base class of the errors raised by the core."""

from __future__ import annotations


class CoreError(Exception):
    """Base class of the errors of this package."""
