"""The errors between this head, its clients and its nodes, as one hierarchy."""

from __future__ import annotations

from datetime import timedelta

import aiohttp


class NetError(Exception):
    """Base class of the errors of this package."""


class NoCapacity(NetError):
    """Stored bodies leave no capacity for this one, or the disk is full."""


class TooLarge(NetError):
    """A body exceeds its bound."""

    def __init__(self, size: int, limit: int) -> None:
        """Say how large a body is and may be.

        Args:
            size: Its bytes, as stated or as far as they have arrived.
            limit: The bytes that it may have at most.
        """
        super().__init__(f"a body of {size} bytes or more (allowed: {limit} or less)")


class TooSlow(NetError):
    """A body arrives too slowly or stands still."""

    def __init__(self, received: int, elapsed: timedelta) -> None:
        """Say how much of a body has arrived in which time.

        Args:
            received: The bytes that have arrived.
            elapsed: The time spent waiting for them.
        """
        super().__init__(f"{received} bytes of a body in {elapsed.total_seconds():.1f} s")


class IncompleteAnswer(NetError):
    """A node broke off its answer."""


class ExchangeBroken(NetError):
    """An exchange broke; `written` tells whether the last byte of the request was sent."""

    def __init__(self, written: bool, cause: BaseException) -> None:
        """Record how an exchange broke.

        Args:
            written: Whether the last byte of the request was sent.
            cause: The error that broke it.
        """
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.written = written


class NotBegun(NetError):
    """The decision to send no longer held once there was a connection; no byte was written."""


class MalformedList(NetError, ValueError):
    """Discovery's answer is no message of the endpoint list, or does not follow on the cached list."""


class MalformedAnswer(NetError, aiohttp.ClientPayloadError):
    """A node sent a malformed answer; its request may have been executed.

    It is a ClientPayloadError too, as aiohttp passes it to whoever reads the answer.
    """
