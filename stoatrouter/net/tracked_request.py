"""Requests to nodes and discovery that are sent only once and track whether they were written."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import ClassVar

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_middlewares import ClientHandlerType

from stoatrouter.net.attempt_record import AttemptRecord, WrittenAttempt
from stoatrouter.net.errors import ExchangeBroken
from stoatrouter.net.node_connection import NodeConnection
from stoatrouter.net.request_digest import RequestDigest

DEADLINE_FIELD = "Req-Deadline-Ms"  # tells a node how long this head will wait


class TrackedRequest(aiohttp.ClientRequest):
    """A client request that tracks whether its last byte was passed to the kernel.

    A node can execute a request only once that byte has arrived, so a request that fails earlier was never
    executed.
    """

    attempt_record: ClassVar[AttemptRecord | None] = None  # a debug record; None: it is off
    attempt_number: int | None = None  # health checks have none
    written = False
    may_begin: Callable[[], bool] | None = None  # called with a connection, before the first byte
    on_stall: Callable[[], None] | None = None  # called where the answer has begun and stalls
    deadline: float | None = None  # of the attempt, in the loop's time; None: the node is not told of it
    digest: RequestDigest | None = None  # None: not known, as for health checks

    def mark_written(self, written: bool, conn: aiohttp.connector.Connection) -> None:
        """Record whether the last byte was passed to the kernel; written attempts are counted."""
        self.written = written
        if written and "Req-Id" in self.headers and isinstance(conn.protocol, NodeConnection):
            conn.protocol.pool.attempts_written += 1  # health checks, without Req-Id, do not count

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request; drain() waits until the kernel has accepted the last byte."""
        transport = conn.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)  # drain() then waits for the last byte
        self._write_time_left()
        recorded = self.attempt_record is not None and not self.body and not is_paused(conn)
        began = time.monotonic() if recorded else 0.0
        response = await super().send(conn)
        if recorded:
            self._record_first_byte(conn, began)
        if not self.body and transport is not None:
            # bytes in the kernel's buffer may still be sent after a break, so this is decided only once
            self.mark_written(not transport.is_closing(), conn)
        return response

    def _write_time_left(self) -> None:
        """Tell the node how long this head will wait from now on; it may have waited for a connection."""
        if self.deadline is not None:
            left = self.deadline - asyncio.get_running_loop().time()
            self.headers[DEADLINE_FIELD] = str(max(1, int(left * 1000)))

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: aiohttp.connector.Connection,
        content_length: int | None = None,
    ) -> None:
        """Write the body, and record whether the kernel has accepted all of it."""
        transport = conn.transport
        broken = (
            transport is None or transport.is_closing()
        )  # then nothing is sent, and the call below raises
        if self.attempt_record is not None:
            writer.on_body_write = partial(self._record_first_byte_of_body, writer, conn, time.monotonic())
        await super().write_bytes(writer, conn, content_length)
        if broken or conn.transport is None and writer.output_size < (content_length or 0):
            return  # the connection broke before the last byte was passed to the kernel
        await writer.drain()  # raises if the kernel had not accepted all of it
        # A node may start executing the request and reset the connection before this task resumes, so a
        # connection that is closed by now does not show that the request can be repeated without a second
        # effect.
        self.mark_written(True, conn)

    def _record_first_byte_of_body(
        self, writer: AbstractStreamWriter, conn: aiohttp.connector.Connection, began: float, *_: int
    ) -> None:
        """Record the first byte of a request with a body, whose head is sent with the first part of it."""
        writer.on_body_write = None
        self._record_first_byte(conn, began, writer.output_size)

    def _record_first_byte(
        self, conn: aiohttp.connector.Connection, began: float, handed_over: int = 1
    ) -> None:
        """Record the time at which the first byte was written, if the kernel has accepted it.

        Args:
            conn: The connection, to which nothing else was written in the meantime.
            began: The time just before the byte was passed to the transport.
            handed_over: The minimum number of bytes passed to the transport since then.
        """
        transport = conn.transport
        if self.attempt_record is None or self.attempt_number is None or transport is None:
            return
        if transport.is_closing() or transport.get_write_buffer_size() >= handed_over:
            return  # the first byte may still be in the transport's buffer, so its time is not known
        self.attempt_record.append(
            WrittenAttempt(
                self.headers["Req-Id"],
                self.attempt_number,
                f"{self.url.host}:{self.url.port}",
                began,
                time.monotonic(),
            )
        )


def is_paused(conn: aiohttp.connector.Connection) -> bool:
    """Return whether writing is paused, so that even a request without a body is written later."""
    return conn.protocol is not None and conn.protocol.writing_paused


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Middleware that prevents aiohttp from resending GET and PUT after a dropped connection.

    A resend would be another attempt that the reducer does not know of. Raises ExchangeBroken in place of the
    errors that trigger it.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # never retried by the client
    except (aiohttp.ClientError, OSError) as error:
        raise ExchangeBroken(getattr(request, "written", True), error) from error
