"""Clients' bodies of any size: each is read once and stored, so that any attempt can send it."""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp import web

from stoatrouter.net.errors import NoCapacity, TooLarge, TooSlow

MAX_IN_MEMORY_BYTES = 64 * 1024  # in memory, and checked complete
MAX_BODY_BYTES = 36 * 1024 * 1024  # legitimate requests reach 32 MB
PIECE_BYTES = 64 * 1024
RESERVATION_STEP_BYTES = (
    1024 * 1024
)  # by which the capacity reserved for a body without a stated length grows
# A body that stalls is given up, and so is one far slower than clients in service (64 kB a second).
BODY_STALL_TIMEOUT = timedelta(seconds=1)
MIN_BYTES_PER_SECOND = 24 * 1024  # bytes a second
RATE_GRACE = timedelta(milliseconds=2500)  # from when on its mean rate counts
CAPACITY_TIMEOUT = timedelta(seconds=4)  # how long a body waits, unread, for capacity


@dataclass(slots=True, frozen=True, eq=False)
class Reservation:
    """A body that waits for capacity."""

    size: int
    granted: asyncio.Future[None]


class BodyCapacity:
    """The bytes that stored bodies may take together, granted in order of arrival.

    Files count in full, as $TMPDIR may lie in memory.
    """

    def __init__(self, limit: int, folder: str | None = None) -> None:
        """Start with nothing reserved.

        Args:
            limit: The bytes that stored bodies may take together.
            folder: Where their files go; None: the system's temporary folder ($TMPDIR).
        """
        self.limit = limit
        self.folder = folder
        self.reserved = 0
        self.waiting: deque[Reservation] = deque()

    async def reserve(self, size: int) -> None:
        """Reserve `size` bytes, waiting in turn so that small bodies do not starve a large one.

        Raises TooLarge where they can never fit, NoCapacity after CAPACITY_TIMEOUT.
        """
        if size > self.limit:
            raise TooLarge(size, self.limit)
        if not self.waiting and self.reserved + size <= self.limit:
            self.reserved += size
            return
        reservation = Reservation(size, asyncio.get_running_loop().create_future())
        self.waiting.append(reservation)
        try:
            async with asyncio.timeout(CAPACITY_TIMEOUT.total_seconds()):
                await reservation.granted
        except BaseException as error:
            if reservation in self.waiting:
                self.waiting.remove(reservation)
                self.grant_waiting()
            elif not reservation.granted.cancelled():
                self.release(size)  # it was granted as the wait ended
            if isinstance(error, TimeoutError):
                waited = CAPACITY_TIMEOUT.total_seconds()
                raise NoCapacity(f"no {size} bytes became free in {waited:g} s") from None
            raise

    def release(self, size: int) -> None:
        """Give `size` bytes back and grant them to those that wait."""
        self.reserved -= size
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant capacity to those that wait, in turn, as far as it goes."""
        while self.waiting and self.reserved + self.waiting[0].size <= self.limit:
            reservation = self.waiting.popleft()
            self.reserved += reservation.size
            if reservation.granted.done():
                self.reserved -= reservation.size
            else:
                reservation.granted.set_result(None)


class StoredBody:
    """A large body in an unnamed file; each attempt reads it from its start."""

    def __init__(self, capacity: BodyCapacity) -> None:
        """Open an unnamed file for a body; it reserves no capacity until it grows.

        Args:
            capacity: The capacity that the body's bytes are reserved from, and its folder.

        Raises:
            NoCapacity: The file cannot be created, as where the folder is full or gone.
        """
        self.capacity = capacity
        self.size = 0  # bytes written
        self.reserved = 0  # bytes
        try:
            self.file = tempfile.TemporaryFile(dir=capacity.folder, buffering=0)  # noqa: SIM115
        except OSError as error:  # guards against a folder that is full or gone
            raise NoCapacity(f"no file in {capacity.folder or tempfile.gettempdir()}: {error}") from error

    async def grow(self, size: int) -> None:
        """Reserve capacity for `size` bytes in all; raises as BodyCapacity.reserve does."""
        if size > self.reserved:
            await self.capacity.reserve(size - self.reserved)
            self.reserved = size

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
        """The body in pieces of at most PIECE_BYTES bytes; raises OSError once it is closed."""
        offset = 0
        while offset < self.size:
            if self.file.closed:
                # Guards against an attempt that outlives its request: its descriptor may be another's by now.
                raise OSError("the body is no longer stored")
            piece = os.pread(self.file.fileno(), PIECE_BYTES, offset)
            offset += len(piece)
            yield piece

    def __len__(self) -> int:
        """The bytes written so far."""
        return self.size

    def close(self) -> None:
        """Delete the file and give its capacity back; calling it again changes nothing."""
        if not self.file.closed:
            self.file.close()
            self.capacity.release(self.reserved)


Body = bytes | StoredBody


class BodyBuffer:
    """A body as it arrives: in memory while it is small, then in a file."""

    def __init__(self, capacity: BodyCapacity) -> None:
        """Start empty.

        Args:
            capacity: The capacity that a file's bytes are reserved from.
        """
        self.capacity = capacity
        self.small = bytearray()
        self.stored: StoredBody | None = None

    async def reserve(self, size: int) -> None:
        """Open a file for a body of `size` bytes; raises TooLarge or NoCapacity."""
        self.stored = StoredBody(self.capacity)
        await self.stored.grow(size)

    async def append(self, data: bytes) -> None:
        """Append what has arrived; raises TooLarge or NoCapacity."""
        size = len(data) + (len(self.small) if self.stored is None else self.stored.size)
        if size > MAX_BODY_BYTES:
            raise TooLarge(size, MAX_BODY_BYTES)
        if self.stored is None and size <= MAX_IN_MEMORY_BYTES:
            self.small += data
            return
        if self.stored is None:  # it stated no length
            self.stored = StoredBody(self.capacity)
        stored = self.stored
        if size > stored.reserved:
            # a step further, yet no more than the limit: it would wait for capacity that never becomes free
            await stored.grow(max(size, min(stored.reserved + RESERVATION_STEP_BYTES, self.capacity.limit)))
        if self.small:
            stored.write(bytes(self.small))
            self.small.clear()
        stored.write(data)

    def body(self) -> Body:
        """The body that has arrived; a stored one must be closed by the caller."""
        return bytes(self.small) if self.stored is None else self.stored

    def close(self) -> None:
        """Delete the file, if there is one."""
        if self.stored is not None:
            self.stored.close()


async def read_body(request: web.BaseRequest, capacity: BodyCapacity) -> Body:
    """Read a whole body; one over MAX_IN_MEMORY_BYTES bytes goes into a file that the caller must close.

    Raises TooLarge, TooSlow or NoCapacity.
    """
    stated = request.content_length or 0
    if stated > MAX_BODY_BYTES:
        raise TooLarge(stated, MAX_BODY_BYTES)
    if not request.can_read_body:
        return b""
    buffer = BodyBuffer(capacity)
    rate = ReceiveRate()
    try:
        if stated > MAX_IN_MEMORY_BYTES:
            await buffer.reserve(stated)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # it is no part of the answer
        while data := await rate.wait(request.content):
            await buffer.append(data)
    except BaseException:
        buffer.close()
        raise
    return buffer.body()


class ReceiveRate:
    """The mean rate at which a body arrives, counting only the time spent waiting for it."""

    def __init__(self) -> None:
        """Start with no time spent and no byte received."""
        self.spent = 0.0  # seconds
        self.received = 0  # bytes

    async def wait(self, content: aiohttp.StreamReader) -> bytes:
        """The next bytes, empty at the end.

        Raises TooSlow where a body stands still for BODY_STALL_TIMEOUT or is slower than
        MIN_BYTES_PER_SECOND, so that it cannot hold connections, capacity or a stopping head.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with asyncio.timeout(BODY_STALL_TIMEOUT.total_seconds()):
                data = await content.readany()
        except TimeoutError:
            raise TooSlow(self.received, timedelta(seconds=loop.time() - started)) from None
        self.spent += loop.time() - started
        self.received += len(data)
        if (
            data
            and self.spent > RATE_GRACE.total_seconds()
            and self.received < self.spent * MIN_BYTES_PER_SECOND
        ):
            raise TooSlow(self.received, timedelta(seconds=self.spent))
        return data
