"""Requests to nodes and to discovery that are sent once and know whether they were written."""

from __future__ import annotations

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


class TrackedRequest(aiohttp.ClientRequest):
    """A client request that knows whether its last byte was handed to the system.

    A node can start a request only once that byte has arrived; a request that breaks before was never
    executed.
    """

    attempt_record: ClassVar[AttemptRecord | None] = None  # a debug record; None: it is off
    attempt_number: int | None = None  # health checks have none
    written = False
    may_begin: Callable[[], bool] | None = None  # called with a connection in hand, before the first byte
    digest: RequestDigest | None = None  # what it asks for; None: not known, as of health checks

    def mark_written(self, written: bool, conn: aiohttp.connector.Connection) -> None:
        """Note whether the last byte was handed to the system; such an attempt is counted."""
        self.written = written
        if written and "Req-Id" in self.headers and isinstance(conn.protocol, NodeConnection):
            conn.protocol.pool.attempts_written += 1  # health checks are none

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request; drain() waits until the system has accepted the last byte."""
        transport = conn.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)  # drain() then waits for the last byte
        recorded = self.attempt_record is not None and not self.body and not is_paused(conn)
        began = time.monotonic() if recorded else 0.0
        response = await super().send(conn)
        if recorded:
            self._record_first_byte(conn, began)
        if not self.body and transport is not None:
            # what the system has not sent yet may still go out: there is no second check before a break
            self.mark_written(not transport.is_closing(), conn)
        return response

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: aiohttp.connector.Connection,
        content_length: int | None = None,
    ) -> None:
        """Write the body, and note whether the system has accepted all of it."""
        transport = conn.transport
        broken = transport is None or transport.is_closing()  # then nothing goes out; the call below raises
        if self.attempt_record is not None:
            writer.on_body_write = partial(self._record_first_byte_of_body, writer, conn, time.monotonic())
        await super().write_bytes(writer, conn, content_length)
        if broken or conn.transport is None and writer.output_size < (content_length or 0):
            return  # it broke before the last byte was handed to the system
        await writer.drain()  # raises where the system had not accepted all of it
        # Guards against a second effect: a node may begin the request and reset its connection before this
        # task resumes, so an end that arrived meanwhile proves nothing.
        self.mark_written(True, conn)

    def _record_first_byte_of_body(
        self, writer: AbstractStreamWriter, conn: aiohttp.connector.Connection, began: float, *_: int
    ) -> None:
        """Record the first byte of a request with a body: its head goes out with the body's first piece."""
        writer.on_body_write = None
        self._record_first_byte(conn, began, writer.output_size)

    def _record_first_byte(
        self, conn: aiohttp.connector.Connection, began: float, handed_over: int = 1
    ) -> None:
        """Record that the first byte was written since `began`, if the system has accepted it.

        Args:
            conn: The connection, to which nothing else was written meanwhile.
            began: When it was about to be handed over.
            handed_over: So many bytes were, at least.
        """
        transport = conn.transport
        if self.attempt_record is None or self.attempt_number is None or transport is None:
            return
        if transport.is_closing() or transport.get_write_buffer_size() >= handed_over:
            return  # the first byte may wait in the buffer: its time is not known
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
    """Whether a connection is full: then even a request without a body is written later."""
    return conn.protocol is not None and conn.protocol.writing_paused


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending GET and PUT over a dropped connection.

    That would be one more attempt that no decision knows of. Raises ExchangeBroken in place of the errors
    that set it off.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # never retried by the client
    except (aiohttp.ClientError, OSError) as error:
        raise ExchangeBroken(getattr(request, "written", True), error) from error
