"""The base class of the core's errors."""

from __future__ import annotations


class CoreError(Exception):
    """Base class of the errors of this package."""
