"""The exception hierarchy of this package: errors between a head, its clients and its nodes."""

from __future__ import annotations

from datetime import timedelta

import aiohttp


class NetError(Exception):
    """Base class of this package's errors."""


class NoCapacity(NetError):
    """There is no capacity left to store a body, or the disk is full."""


class TooLarge(NetError):
    """A body exceeds its size limit."""

    def __init__(self, size: int, limit: int) -> None:
        """Describe the size of a body and its limit.

        Args:
            size: Its Content-Length, or the number of bytes received so far.
            limit: The maximum size in bytes.
        """
        super().__init__(f"a body of {size} bytes or more (allowed: {limit} or less)")


class TooSlow(NetError):
    """A body arrives too slowly or stalls."""

    def __init__(self, received: int, elapsed: timedelta) -> None:
        """Describe the progress of a body.

        Args:
            received: The number of bytes received.
            elapsed: The time spent waiting for them.
        """
        super().__init__(f"{received} bytes of a body in {elapsed.total_seconds():.1f} s")


class IncompleteAnswer(NetError):
    """A node's answer was truncated, stalled or exceeded its size limit."""


class ExchangeBroken(NetError):
    """An exchange with a node or discovery failed; `written` is whether the request was sent completely."""

    def __init__(self, written: bool, cause: BaseException) -> None:
        """Record how an exchange failed.

        Args:
            written: Whether the last byte of the request was sent.
            cause: The error that ended it.
        """
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.written = written


class NotBegun(NetError):
    """The decision to send was no longer valid once a connection was available; no byte was written."""


class MalformedList(NetError, ValueError):
    """Discovery's answer is not a valid endpoint list, or holds changes not based on the cached list."""


class MalformedAnswer(NetError, aiohttp.ClientPayloadError):
    """A node sent a malformed answer; its request may have been executed.

    It is also a ClientPayloadError, as aiohttp raises it in the code that reads the answer.
    """
