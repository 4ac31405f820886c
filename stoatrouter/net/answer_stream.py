"""Nodes' answers that are too large to be checked complete: they are streamed to the client."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta

import aiohttp

from stoatrouter.net.bodies import MAX_BODY_BYTES, PIECE_BYTES
from stoatrouter.net.errors import IncompleteAnswer

STALL_TIMEOUT = timedelta(seconds=10)  # how long an answer that has begun may stall


class AnswerStream:
    """A node's answer that is streamed to the client."""

    def __init__(self, response: aiohttp.ClientResponse, first: bytes, length: int | None) -> None:
        """Wrap a node's answer whose first bytes were read already.

        Args:
            response: The node's answer, open until its body is read.
            first: The bytes of its body read so far.
            length: Its body's length in bytes as the node stated it; None where it stated none.
        """
        self.response = response
        self.first = first
        self.length = length
        self.is_consumed = False  # by whoever passes it on

    async def pieces(self) -> AsyncIterator[bytes]:
        """The whole answer in pieces.

        Raises IncompleteAnswer for a truncated or oversized answer, after all that arrived of it.
        """
        data = self.first
        size = len(data)
        while data:
            for offset in range(0, len(data), PIECE_BYTES):
                yield data[offset : offset + PIECE_BYTES]
            data = await self.next()
            size += len(data)
            if size > MAX_BODY_BYTES:  # guards clients against an answer without end
                raise IncompleteAnswer(
                    f"an answer of {size} bytes or more (allowed: {MAX_BODY_BYTES} or less)"
                )
        if self.length is not None and size != self.length:
            raise IncompleteAnswer(f"an answer of {size} bytes that stated {self.length}")

    async def next(self) -> bytes:
        """The next bytes, empty at the end; raises IncompleteAnswer where the node breaks off or stalls."""
        content = self.response.content
        try:
            async with asyncio.timeout(STALL_TIMEOUT.total_seconds()):
                return await content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            # what arrived before the break is the client's; aiohttp has no public way to it
            if content._buffer:
                return content._read_nowait(-1)
            raise IncompleteAnswer(repr(error)) from error

    async def read_complete(self, limit: int) -> bytes:
        """The whole answer; raises IncompleteAnswer where it is truncated or exceeds `limit` bytes."""
        data = bytearray()
        with contextlib.closing(self):
            async for piece in self.pieces():
                data += piece
                if len(data) > limit:
                    raise IncompleteAnswer(
                        f"an answer of {len(data)} bytes or more (allowed here: {limit} or less)"
                    )
        return bytes(data)

    def close(self) -> None:
        """Release the answer; a connection with some of it unread is closed."""
        self.is_consumed = True
        self.response.close()
