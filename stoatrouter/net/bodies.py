"""Clients' request bodies: each is read once and stored, so that every attempt can send it."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp import web

from stoatrouter.net.errors import NoCapacity, TooLarge, TooSlow
from stoatrouter.net.memory import MemoryAccount, MemoryCharge, MemoryKind

MAX_IN_MEMORY_BYTES = 64 * 1024  # a body up to this size is kept in memory, and an answer checked as a whole
MAX_BODY_BYTES = 36 * 1024 * 1024  # legitimate requests reach 32 MB
PIECE_BYTES = 16 * 1024  # passed on at once; an attempt at a slow node holds two of them
SMALL_BODY_COST = 2  # bytes held for each byte of a body in memory: an attempt at a slow node copies it
SMALL_STEP_BYTES = 8 * 1024  # growth of the memory charged for a body without Content-Length
RESERVATION_STEP_BYTES = 1024 * 1024  # growth of the capacity reserved for a body without Content-Length
# A body that stalls is rejected: clients that stop in the middle of a request are owed an answer within 3 s.
BODY_STALL_TIMEOUT = timedelta(milliseconds=2500)
# So is one much slower than those of real clients (64 kB a second).
MIN_BYTES_PER_SECOND = 24 * 1024
RATE_GRACE = timedelta(milliseconds=2500)  # waiting time after which the mean rate is enforced
CAPACITY_TIMEOUT = timedelta(seconds=4)  # how long a body waits, unread, for capacity


@dataclass(slots=True, frozen=True, eq=False)
class Reservation:
    """A pending reservation of capacity for a body."""

    size: int
    granted: asyncio.Future[None]


class BodyCapacity:
    """The total size allowed for stored bodies, granted in order of arrival.

    Files count in full, as $TMPDIR may be a file system in memory. They are charged to the head's account.
    """

    def __init__(self, limit: int, folder: str | None = None, memory: MemoryAccount | None = None) -> None:
        """Start with nothing reserved.

        Args:
            limit: The total size allowed for stored bodies, in bytes.
            folder: The folder of their files; None: the system's temporary folder ($TMPDIR).
            memory: The account that they are charged to; None: one without a limit.
        """
        self.limit = limit
        self.folder = folder
        self.memory = memory if memory is not None else MemoryAccount(sys.maxsize)
        self.memory.on_release.append(self.grant_waiting)
        self.reserved = 0
        self.waiting: deque[Reservation] = deque()

    async def reserve(self, size: int) -> None:
        """Reserve `size` bytes, in first-come order so that small bodies do not starve a large one.

        Raises TooLarge if they exceed the whole capacity, NoCapacity after CAPACITY_TIMEOUT.
        """
        if size > self.limit:
            raise TooLarge(size, self.limit)
        if not self.waiting and self._may_hold(size):
            return self._hold(size)
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
                self.release(size)  # it was granted just as the wait ended
            if isinstance(error, TimeoutError):
                self.memory.refused[MemoryKind.BODIES] += 1
                waited = CAPACITY_TIMEOUT.total_seconds()
                raise NoCapacity(f"no {size} bytes became free in {waited:g} s") from None
            raise

    def release(self, size: int) -> None:
        """Release `size` bytes and grant them to waiting reservations."""
        self.reserved -= size
        self.memory.release(MemoryKind.BODIES, size)

    def grant_waiting(self) -> None:
        """Grant free capacity to waiting reservations, in order."""
        while self.waiting and self._may_hold(self.waiting[0].size):
            reservation = self.waiting.popleft()
            if not reservation.granted.done():
                self._hold(reservation.size)
                reservation.granted.set_result(None)

    def _may_hold(self, size: int) -> bool:
        return self.reserved + size <= self.limit and self.memory.allows(size, complete=False)

    def _hold(self, size: int) -> None:
        self.reserved += size
        self.memory.take(MemoryKind.BODIES, size)


class StoredBody:
    """A large body in an unnamed temporary file; each attempt reads it from the start."""

    def __init__(self, capacity: BodyCapacity) -> None:
        """Open an unnamed file for a body; no capacity is reserved until `grow` is called.

        Args:
            capacity: The capacity to reserve from, which also names the folder of the file.

        Raises:
            NoCapacity: The file cannot be created, for example as the folder is full or was deleted.
        """
        self.capacity = capacity
        self.size = 0  # bytes written
        self.reserved = 0  # bytes
        try:
            self.file = tempfile.TemporaryFile(dir=capacity.folder, buffering=0)  # noqa: SIM115
        except OSError as error:  # the folder may be full or deleted
            raise NoCapacity(f"no file in {capacity.folder or tempfile.gettempdir()}: {error}") from error

    async def grow(self, size: int) -> None:
        """Reserve capacity for `size` bytes in all; raises as BodyCapacity.reserve does."""
        if size > self.reserved:
            await self.capacity.reserve(size - self.reserved)
            self.reserved = size

    def write(self, data: bytes) -> None:
        """Append to the file; raises NoCapacity if the disk is full."""
        view = memoryview(data)
        try:
            while view:
                view = view[self.file.write(view) :]
        except OSError as error:  # the disk may be full
            raise NoCapacity(f"the body's file cannot grow: {error}") from error
        self.size += len(data)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body in pieces of at most PIECE_BYTES bytes; raises OSError once it is closed."""
        offset = 0
        while offset < self.size:
            if self.file.closed:
                # An attempt may outlive its request; the descriptor may already belong to another file.
                raise OSError("the body is no longer stored")
            piece = os.pread(self.file.fileno(), PIECE_BYTES, offset)
            offset += len(piece)
            yield piece

    def __len__(self) -> int:
        """Return the number of bytes written so far."""
        return self.size

    def close(self) -> None:
        """Delete the file and release its capacity; further calls have no effect."""
        if not self.file.closed:
            self.file.close()
            self.capacity.release(self.reserved)


Body = bytes | StoredBody


class BodyBuffer:
    """A body that is being received: kept in memory while small, then moved to a file."""

    def __init__(self, capacity: BodyCapacity, memory: MemoryCharge) -> None:
        """Start empty.

        Args:
            capacity: The capacity that files are reserved from.
            memory: The request's charge, which grows with a body in memory.
        """
        self.capacity = capacity
        self.memory = memory
        self.charged = 0  # bytes of a body in memory that are paid for
        self.small = bytearray()
        self.stored: StoredBody | None = None

    async def reserve(self, size: int) -> None:
        """Reserve what a body of `size` bytes needs, a large one a file; raises TooLarge or NoCapacity."""
        if size <= MAX_IN_MEMORY_BYTES:
            return self._charge(size)
        self.stored = StoredBody(self.capacity)
        await self.stored.grow(size)

    def _charge(self, size: int) -> None:
        """Charge a body of `size` bytes in memory; raises NoCapacity."""
        if size <= self.charged:
            return
        if not self.memory.grow(SMALL_BODY_COST * (size - self.charged), complete=False):
            raise NoCapacity(f"no {size} bytes of memory are free")
        self.charged = size

    async def append(self, data: bytes) -> None:
        """Append received bytes; raises TooLarge or NoCapacity."""
        size = len(data) + (len(self.small) if self.stored is None else self.stored.size)
        if size > MAX_BODY_BYTES:
            raise TooLarge(size, MAX_BODY_BYTES)
        if self.stored is None and size <= MAX_IN_MEMORY_BYTES:
            if size > self.charged:
                self._charge(size + SMALL_STEP_BYTES)
            self.small += data
            return
        if self.stored is None:  # the request has no Content-Length
            self.stored = StoredBody(self.capacity)
        stored = self.stored
        if size > stored.reserved:
            # grow by a step, but not beyond the limit: such a reservation could never be granted
            await stored.grow(max(size, min(stored.reserved + RESERVATION_STEP_BYTES, self.capacity.limit)))
        if self.small:
            stored.write(bytes(self.small))
            self.small.clear()
        stored.write(data)

    def body(self) -> Body:
        """Return the received body; the caller must close a stored one."""
        return bytes(self.small) if self.stored is None else self.stored

    def close(self) -> None:
        """Delete the file, if there is one."""
        if self.stored is not None:
            self.stored.close()


async def read_body(
    request: web.BaseRequest, capacity: BodyCapacity, memory: MemoryCharge | None = None
) -> Body:
    """Read a whole body; one over MAX_IN_MEMORY_BYTES is stored in a file that the caller must close.

    Args:
        request: The client's request.
        capacity: The capacity that files are reserved from.
        memory: The request's charge for what it holds in memory; None: a charge of its own.

    Raises:
        TooLarge, TooSlow, NoCapacity, web.RequestPayloadError: The body cannot be received.
    """
    stated = request.content_length or 0
    if stated > MAX_BODY_BYTES:
        raise TooLarge(stated, MAX_BODY_BYTES)
    if not request.can_read_body:
        return b""
    buffer = BodyBuffer(capacity, memory or MemoryCharge(capacity.memory, MemoryKind.REQUESTS))
    rate = ReceiveRate()
    try:
        if stated:
            await buffer.reserve(stated)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # an interim response does not count as part of the answer
        while data := await rate.wait(request.content):
            await buffer.append(data)
    except BaseException:
        buffer.close()
        raise
    return buffer.body()


class ReceiveRate:
    """The mean receive rate of a body, over the time spent waiting for its bytes."""

    def __init__(self) -> None:
        """Start with no time spent and no byte received."""
        self.spent = 0.0  # seconds spent waiting
        self.received = 0  # bytes

    async def wait(self, content: aiohttp.StreamReader) -> bytes:
        """Return the next bytes, empty at the end.

        Raises TooSlow if a body stalls for BODY_STALL_TIMEOUT or is slower than MIN_BYTES_PER_SECOND, so that
        it cannot occupy connections or capacity, or delay a shutdown.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with asyncio.timeout(BODY_STALL_TIMEOUT.total_seconds()):
                data = await content.readany()
        except TimeoutError:
            raise TooSlow(self.received, timedelta(seconds=loop.time() - started)) from None
        except RuntimeError as error:  # how aiohttp reports that the client has disconnected
            raise web.RequestPayloadError(str(error)) from error
        self.spent += loop.time() - started
        self.received += len(data)
        if (
            data
            and self.spent > RATE_GRACE.total_seconds()
            and self.received < self.spent * MIN_BYTES_PER_SECOND
        ):
            raise TooSlow(self.received, timedelta(seconds=self.spent))
        return data
