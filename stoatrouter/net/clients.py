"""Client connections: aiohttp's server connection, with limits on what a misbehaving client can do."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE, RequestHandler, _ErrInfo
from loguru import logger

from stoatrouter.net import client_table
from stoatrouter.net.client_table import LINGER_TIMEOUT, ClientTable, State
from stoatrouter.net.disconnects import has_unread_bytes

Refuse = Callable[[bytes], bytes | None]


class ClientConnection(RequestHandler):
    """aiohttp's server connection, with limits on what a misbehaving client can do."""

    __slots__ = (
        "clients",
        "loop",
        "state",
        "state_since",
        "head_since",
        "stalled_bytes",
        "stalled_since",
        "answered",
        "refuse",
    )

    def __init__(
        self,
        manager: web.Server,
        clients: ClientTable,
        refuse: Refuse | None,
        loop: asyncio.AbstractEventLoop,
        **more: Any,
    ) -> None:
        """Set up a client connection that has sent nothing yet.

        Args:
            manager: The server that accepted it.
            clients: The table that the connection is added to and removed from.
            refuse: Called with the received bytes while the head has its maximum of open requests; returns
                the answer that rejects them, or None to parse them. None: all are parsed.
            loop: The event loop that runs the connection.
            **more: Passed on to aiohttp's RequestHandler.
        """
        # the table's sweep closes idle connections long before aiohttp's keep-alive timer would
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=10 * client_table.IDLE_TIMEOUT.total_seconds(),
            lingering_time=0,
            **more,
        )
        self.clients = clients
        self.refuse = refuse
        self.loop = loop
        self.state = State.NEW
        # when it entered its state, and when the incomplete request head began, in the loop's time
        self.state_since = 0.0
        self.head_since = 0.0
        # bytes of an answer that the client does not read, and since when, in the loop's time
        self.stalled_bytes = 0
        self.stalled_since = 0.0
        self.answered = False  # whether any answer has been sent

    def close_now(self) -> None:
        """Close immediately.

        force_close is used, as close() would leave the socket open and discard the bytes that arrive there.
        """
        self.clients.remove(self)
        self.force_close()

    def seconds_in_state(self) -> float:
        """Return how many seconds the connection has been in its current state."""
        return self.loop.time() - self.state_since

    def close_unless_unread(self) -> None:
        """Close immediately, unless bytes have arrived that the loop has not read yet.

        Closing with unread bytes would reset the connection and lose that request.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or not has_unread_bytes(sock):
            self.close_now()

    def seconds_stalled(self) -> float:
        """Return how many seconds the client has read nothing of a pending answer.

        Answers are buffered until they are read, so a limit on this also limits memory and connections.
        """
        unread = self.transport.get_write_buffer_size() if self.writing_paused and self.transport else 0
        if not unread or unread != self.stalled_bytes:
            self.stalled_bytes = unread
            self.stalled_since = self.loop.time()
        return self.loop.time() - self.stalled_since

    # -- protocol callbacks -------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the table, which may evict another one."""
        super().connection_made(transport)
        self.clients.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.clients.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and update the state; an overloaded head rejects requests here."""
        if self.state is State.LINGERING:
            return  # input is read and discarded so that the last answer is not lost to a reset
        if (
            self.refuse is not None
            and self.clients.open >= self.clients.busy_limit()
            and self.state in (State.NEW, State.IDLE_AFTER_FIRST, State.IDLE)
            and (refusal := self.refuse(data))
        ):
            return self._reject(refusal)
        open_before = self.state is State.BUSY
        super().data_received(data)
        if not self._messages:
            if not open_before:
                self._record_head_started()
            return
        if isinstance(self._messages[-1][0], _ErrInfo):
            if open_before or len(self._messages) > 1:
                # The error answer to malformed input after an open request would have to wait for that
                # request's answer. The input may also be the rest of a body with too small a Content-Length.
                return self.close_now()
            self.clients.set_state(self, State.LINGERING)
        elif not open_before:
            self.clients.set_state(self, State.BUSY)

    def _reject(self, refusal: bytes) -> None:
        """Reject a request before it is parsed; the connection stays open if the answer allows that."""
        if self.transport is None:
            return
        self.transport.write(refusal)
        if b"Connection: close" in refusal:
            self._linger()
        else:
            self.clients.set_state(self, State.IDLE if self.answered else State.IDLE_AFTER_FIRST)
            self.answered = True

    def _record_head_started(self) -> None:
        """Record that part of a request head has arrived; a first head counts from the connection's start."""
        if self.state is not State.READING_HEAD:
            self.head_since = self.state_since if self.state is State.NEW else self.loop.time()
        self.clients.set_state(self, State.READING_HEAD)

    # -- answers ------------------------------------------------------------------------------------------
    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a malformed request, or to an unexpected error in this program.

        Raises ConnectionError if an answer has already begun.
        """
        if exc is not None and not isinstance(exc, HttpProcessingError):
            logger.opt(exception=exc).error("request failed with an unexpected error", event="request.fault")
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has already begun")
        response = web.Response(status=status, text="the request cannot be read\n" if status < 500 else None)
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer; after the last one of a connection, linger until the client has received it."""
        resp, reset = await super().finish_response(request, resp, start_time)
        transport = self.transport
        if reset or self._force_close or transport is None:
            return resp, reset
        if resp.keep_alive and request.content.is_eof() and self._can_continue(request):
            if not self._messages:
                self.clients.set_state(self, State.IDLE if self.answered else State.IDLE_AFTER_FIRST)
                self.answered = True
            return resp, reset
        self._messages.clear()
        self._linger()
        if not transport.is_reading():
            transport.resume_reading()
        # this ends as soon as the client closes, at the latest with the table's sweep
        await asyncio.sleep(2 * LINGER_TIMEOUT.total_seconds())
        return resp, reset

    def _linger(self) -> None:
        """Send end-of-file and wait for the client to close, so that the last answer is delivered."""
        self.clients.set_state(self, State.LINGERING)
        with contextlib.suppress(OSError):  # the client may just have disconnected
            if self.transport is not None and self.transport.can_write_eof():
                self.transport.write_eof()

    def _can_continue(self, request: web.BaseRequest) -> bool:
        """Return whether the connection can be reused; replaces the parser after a chunked request.

        aiohttp's parser would add the trailers of a chunked request to the headers of the next one.
        """
        if "Transfer-Encoding" not in request.headers:
            return True
        if self._messages:
            return False  # the next request was already parsed, with these trailers among its headers
        self._parser = HttpRequestParser(
            self,
            self.loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_MSG_QUEUE_SIZE,
        )
        return True


class Server(web.Server):
    """aiohttp's server with ClientConnection as its protocol."""

    def __init__(self, handler: Any, clients: ClientTable, refuse: Refuse | None, **more: Any) -> None:
        """Set up aiohttp's server with its connections in a table.

        Args:
            handler: Answers each request.
            clients: The table of this server's connections.
            refuse: Passed to each ClientConnection.
            **more: Passed on to aiohttp's Server.
        """
        super().__init__(handler, **more)
        self.clients = clients
        self.refuse = refuse

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a new connection."""
        return ClientConnection(self, self.clients, self.refuse, self._loop, **self._kwargs)
