"""Streaming of nodes' answers that are too large to be buffered and checked as a whole."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta

import aiohttp

from stoatrouter.net.bodies import MAX_BODY_BYTES, PIECE_BYTES
from stoatrouter.net.errors import IncompleteAnswer

# How long a streamed answer may go without new bytes once its client's time is over.
STALL_TIMEOUT = timedelta(seconds=10)


class AnswerStream:
    """A node's answer that is streamed to the client."""

    def __init__(
        self, response: aiohttp.ClientResponse, first: bytes, length: int | None, deadline: float = 0.0
    ) -> None:
        """Wrap a node's answer whose first bytes have already been read.

        Args:
            response: The node's answer, which stays open until its body is read.
            first: The bytes of its body read so far.
            length: The Content-Length that the node sent, in bytes; None: it sent none.
            deadline: When the client's time is over, in the loop's time.
        """
        self.deadline = deadline
        self.response = response
        self.first = first
        self.length = length
        self.is_consumed = False  # set once a consumer has taken it over

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the answer in pieces.

        Raises IncompleteAnswer for a truncated or oversized answer, after yielding all that arrived of it.
        """
        data, self.first = self.first, b""
        size = len(data)
        while data:
            for offset in range(0, len(data), PIECE_BYTES):
                yield data[offset : offset + PIECE_BYTES]
            data = await self.next()
            size += len(data)
            if size > MAX_BODY_BYTES:  # protects clients from an endless answer
                raise IncompleteAnswer(f"answer has {size} bytes or more (allowed: {MAX_BODY_BYTES} or less)")
        if self.length is not None and size != self.length:
            raise IncompleteAnswer(f"answer has {size} bytes, but its Content-Length is {self.length}")

    async def next(self) -> bytes:
        """Return the next bytes, empty at the end; raises IncompleteAnswer if the answer breaks or stalls."""
        content = self.response.content
        stalled_at = asyncio.get_running_loop().time() + STALL_TIMEOUT.total_seconds()
        try:
            async with asyncio.timeout_at(max(stalled_at, self.deadline)):
                return await content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            # pass on the bytes that arrived before the break; aiohttp has no public API to read them
            if content._buffer:
                return content._read_nowait(-1)
            raise IncompleteAnswer(repr(error)) from error

    async def read_complete(self, limit: int) -> bytes:
        """Return the whole answer; raises IncompleteAnswer if it is truncated or exceeds `limit` bytes."""
        data = bytearray()
        with contextlib.closing(self):
            async for piece in self.pieces():
                data += piece
                if len(data) > limit:
                    raise IncompleteAnswer(f"answer has {len(data)} bytes or more (allowed: {limit} or less)")
        return bytes(data)

    def close(self) -> None:
        """Release the answer; its connection is closed if part of the answer is unread."""
        self.is_consumed = True
        self.response.close()
