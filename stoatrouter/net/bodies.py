"""Bodies of any size: clients' bodies are stored for repeats, nodes' answers are streamed."""

from __future__ import annotations

import asyncio
import contextlib
import os
import tempfile
from collections import deque
from collections.abc import AsyncIterator
from datetime import timedelta

import aiohttp
from aiohttp import web

from stoatrouter.net.errors import BrokenOff, NoCapacity, TooLarge, TooSlow

SMALL = 64 * 1024  # in memory, and checked whole
LARGEST = 36 * 1024 * 1024  # honest work reaches 32 MB
PIECE = 64 * 1024
STEP = 1024 * 1024  # by which the capacity reserved for a body without a stated length grows
# A body that stops is left, and so is one far slower than clients in service (64 kB a second).
STALL, SLOWEST = timedelta(seconds=1), 24 * 1024
START = timedelta(milliseconds=2500)  # from when on its mean rate counts
CAPACITY_WAIT = timedelta(seconds=4)  # how long a body waits, unread, for others to be done with theirs
SILENT = timedelta(seconds=10)  # how long an answer that has begun may stand still


class BodyCapacity:
    """The bytes that stored bodies may take together, granted in order of arrival.

    Files count in full, as $TMPDIR may lie in memory.
    """

    def __init__(self, most: int, folder: str | None = None) -> None:
        """Start with nothing taken.

        Args:
            most: The bytes that stored bodies may take together.
            folder: Where their files go; None: the system's temporary folder ($TMPDIR).
        """
        self.most, self.folder, self.taken = most, folder, 0
        self.waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    async def take(self, size: int) -> None:
        """Take `size` bytes, waiting in turn so that small bodies do not starve a large one.

        Raises TooLarge where they can never fit, NoCapacity after CAPACITY_WAIT.
        """
        if size > self.most:
            raise TooLarge(size, self.most)
        if not self.waiting and self.taken + size <= self.most:
            self.taken += size
            return
        entry = (size, asyncio.get_running_loop().create_future())
        self.waiting.append(entry)
        try:
            async with asyncio.timeout(CAPACITY_WAIT.total_seconds()):
                await entry[1]
        except BaseException as error:
            if entry in self.waiting:
                self.waiting.remove(entry)
                self.pass_on()
            elif not entry[1].cancelled():
                self.free(size)  # it was given as the wait ended
            if isinstance(error, TimeoutError):
                raise NoCapacity(
                    f"no {size} bytes came free in {CAPACITY_WAIT.total_seconds():g} s"
                ) from None
            raise

    def free(self, size: int) -> None:
        """Give `size` bytes back and serve who waits."""
        self.taken -= size
        self.pass_on()

    def pass_on(self) -> None:
        """Grant capacity to those that wait, in turn, as far as it goes."""
        while self.waiting and self.taken + self.waiting[0][0] <= self.most:
            size, given = self.waiting.popleft()
            self.taken += size
            if given.done():
                self.taken -= size
            else:
                given.set_result(None)


class StoredBody:
    """A large body in an unnamed file; any attempt can read it from its start."""

    def __init__(self, capacity: BodyCapacity) -> None:
        """Open an unnamed file for a body; it takes no capacity until it grows.

        Args:
            capacity: The capacity that the body's bytes are reserved from, and its folder.

        Raises:
            NoCapacity: The file cannot be created, as where the folder is full or gone.
        """
        self.capacity, self.size, self.taken = capacity, 0, 0
        try:
            self.file = tempfile.TemporaryFile(dir=capacity.folder, buffering=0)  # noqa: SIM115
        except OSError as error:  # guards against a folder that is full or gone
            raise NoCapacity(f"no file in {capacity.folder or tempfile.gettempdir()}: {error}") from error

    async def grow(self, size: int) -> None:
        """Reserve capacity for `size` bytes in all; raises as BodyCapacity.take does."""
        if size > self.taken:
            await self.capacity.take(size - self.taken)
            self.taken = size

    def write(self, data: bytes) -> None:
        """Append to the file; raises NoCapacity where the disk has no space."""
        view = memoryview(data)
        try:
            while view:
                view = view[self.file.write(view) :]
        except OSError as error:  # guards against a folder that is full
            raise NoCapacity(f"the body's file cannot grow: {error}") from error
        self.size += len(data)

    async def pieces(self) -> AsyncIterator[bytes]:
        """The body in pieces of at most PIECE bytes; raises OSError once it is closed."""
        at = 0
        while at < self.size:
            if self.file.closed:
                # Guards against an attempt that outlives its request: its descriptor may be another's by now.
                raise OSError("the body is no longer kept")
            piece = os.pread(self.file.fileno(), PIECE, at)
            at += len(piece)
            yield piece

    def __len__(self) -> int:
        """The bytes written so far."""
        return self.size

    def close(self) -> None:
        """Delete the file and give its capacity back; calling it again changes nothing."""
        if not self.file.closed:
            self.file.close()
            self.capacity.free(self.taken)


Body = bytes | StoredBody


async def read_body(request: web.BaseRequest, capacity: BodyCapacity) -> Body:
    """Read a whole body; one over SMALL bytes goes into a file that the caller must close.

    Raises TooLarge, TooSlow or NoCapacity.
    """
    stated = request.content_length or 0
    if stated > LARGEST:
        raise TooLarge(stated, LARGEST)
    if not request.can_read_body:
        return b""
    small, stored, rate = bytearray(), None, ReceiveRate()
    try:
        if stated > SMALL:
            stored = StoredBody(capacity)
            await stored.grow(stated)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # it is no part of the answer
        while data := await rate.wait(request.content):
            size = len(data) + (len(small) if stored is None else stored.size)
            if size > LARGEST:
                raise TooLarge(size, LARGEST)
            if stored is None and size <= SMALL:
                small += data
                continue
            if stored is None:  # it stated no length
                stored = StoredBody(capacity)
            if size > stored.taken:
                # a step further, yet no more than there is: it would wait for capacity that never comes
                await stored.grow(max(size, min(stored.taken + STEP, capacity.most)))
            if small:
                stored.write(bytes(small))
                small.clear()
            stored.write(data)
    except BaseException:
        if stored is not None:
            stored.close()
        raise
    return bytes(small) if stored is None else stored


class ReceiveRate:
    """The mean rate at which a body arrives, counting only the time spent waiting for it."""

    def __init__(self) -> None:
        """Start with no time spent and no byte received."""
        self.spent, self.received = 0.0, 0

    async def wait(self, content: aiohttp.StreamReader) -> bytes:
        """The next bytes, empty at the end.

        Raises TooSlow where a body stands still for STALL or is slower than SLOWEST bytes a second, so that
        it cannot hold connections, room or a stopping head.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(STALL.total_seconds()):
                data = await content.readany()
        except TimeoutError:
            raise TooSlow(self.received, timedelta(seconds=loop.time() - began)) from None
        self.spent += loop.time() - began
        self.received += len(data)
        if data and self.spent > START.total_seconds() and self.received < self.spent * SLOWEST:
            raise TooSlow(self.received, timedelta(seconds=self.spent))
        return data


class Flow:
    """A node's answer that is streamed to the client."""

    def __init__(self, response: aiohttp.ClientResponse, first: bytes, length: int | None) -> None:
        """Wrap a node's answer whose first bytes were read already.

        Args:
            response: The node's answer, open until its body is read.
            first: The bytes of its body read so far.
            length: Its body's length in bytes as the node stated it; None where it stated none.
        """
        self.response, self.first, self.length = response, first, length
        self.taken = False  # by whoever passes it on

    async def pieces(self) -> AsyncIterator[bytes]:
        """The whole answer in pieces.

        Raises BrokenOff for a truncated or oversized answer, after all that came of it.
        """
        size, data = len(self.first), self.first
        while data:
            for at in range(0, len(data), PIECE):
                yield data[at : at + PIECE]
            data = await self.next()
            size += len(data)
            if size > LARGEST:  # guards clients against an answer without end
                raise BrokenOff(f"an answer of {size} bytes or more (allowed: {LARGEST} or less)")
        if self.length is not None and size != self.length:
            raise BrokenOff(f"an answer of {size} bytes that stated {self.length}")

    async def next(self) -> bytes:
        """The next bytes, empty at the end; raises BrokenOff where the node broke off or stands still."""
        content = self.response.content
        try:
            async with asyncio.timeout(SILENT.total_seconds()):
                return await content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            # what had come before the break is the client's; aiohttp has no public way to it
            if content._buffer:
                return content._read_nowait(-1)
            raise BrokenOff(repr(error)) from error

    async def read_complete(self, most: int) -> bytes:
        """The whole answer at once; raises BrokenOff where it is truncated or exceeds `most` bytes."""
        data = bytearray()
        with contextlib.closing(self):
            async for piece in self.pieces():
                data += piece
                if len(data) > most:
                    raise BrokenOff(f"an answer of {len(data)} bytes or more (allowed here: {most} or less)")
        return bytes(data)

    def close(self) -> None:
        """Release the answer; a connection with some of it unread is closed."""
        self.taken = True
        self.response.close()
