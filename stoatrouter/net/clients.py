"""Client connections: aiohttp's server connection, with limits on what a misbehaving client can do."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE, RequestHandler, _ErrInfo
from loguru import logger

from stoatrouter.core.memory import REQUEST_BYTES
from stoatrouter.net import client_table
from stoatrouter.net.client_table import LINGER_TIMEOUT, ClientTable, CloseReason, State
from stoatrouter.net.disconnects import has_unread_bytes
from stoatrouter.net.input_turns import UNDIVIDED_STEPS, DividedInput, count_steps
from stoatrouter.net.memory import MemoryCharge, MemoryKind

Refuse = Callable[[bytes], bytes | None]

RECEIVE_BYTES = 8 * 1024  # per read; as many connections may be read in one turn of the loop
READ_BUFFER_BYTES = 4 * 1024  # of a body that nobody reads; reading pauses at twice as much
WRITE_BUFFER_BYTES = 16 * 1024  # of an answer that its client does not read; writing pauses there
MAX_HEAD_BYTES = 32 * 1024
# Bytes held for each byte of a head (as received, as parsed bytes, and as text), and for each of its lines.
HEAD_BYTE_COST = 3
HEAD_LINE_COST = 320
# Of a chunked body, beyond as many bytes as its content has. Clients that buffer what they send stay far
# below: more means thousands of chunks of a few bytes each, which cost as much as large ones.
MAX_FRAMING_BYTES = 16 * 1024
RECEIVING_BYTES = 24 * 1024  # a request that has not arrived completely, without its body
HEAD_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
NO_MEMORY = b"HTTP/1.1 503 Service Unavailable\r\n"
LAST_ANSWER = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


OPEN_STATES = (State.RECEIVING, State.BUSY, State.ANSWERING)


class ClientConnection(DividedInput, RequestHandler):
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
        "turns",
        "backlog",
        "request_memory",
        "head_memory",
        "head_bytes",
        "body",
        "framing_bytes",
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
        self.turns = clients.turns
        self.backlog = b""  # input that waits for its turn
        self.request_memory = MemoryCharge(clients.memory, MemoryKind.REQUESTS)
        self.head_memory = MemoryCharge(clients.memory, MemoryKind.HEADS)
        self.head_bytes = 0  # received of an incomplete head
        self.body: StreamReader | None = None  # of the latest request, while part of it is missing
        self.framing_bytes = 0  # received of that body beyond its content

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
        if self.backlog:
            return
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
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)  # type: ignore[attr-defined]
        self.clients.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table, and release what it holds."""
        self.clients.remove(self)
        self.backlog = b""
        self.head_memory.release()
        self.request_memory.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in turns with other connections; an overloaded head rejects requests here."""
        if self.state is State.LINGERING:
            return  # input is read and discarded so that the last answer is not lost to a reset
        if not data:
            return self.parse(data)  # aiohttp continues with the bytes that its parser has kept
        if (
            self.refuse is not None
            and not self.backlog
            and self.clients.busy >= self.clients.busy_limit()
            and self.state in (State.NEW, State.IDLE_AFTER_FIRST, State.IDLE)
            and (refusal := self.refuse(data))
        ):
            return self._reject(refusal)
        if self._is_waiting_for_answer():
            self._receive_pipelined(data)
        else:
            self.receive(data)

    def _is_waiting_for_answer(self) -> bool:
        """Return whether a request is open that has arrived completely."""
        return self.body is None and self.state in OPEN_STATES

    def _receive_pipelined(self, data: bytes) -> None:
        """Parse input that came before the answer to an earlier request, if that is small; else keep it."""
        small = not self.backlog and count_steps(data) <= UNDIVIDED_STEPS
        if small and self.head_memory.grow(head_cost(data)):
            self.parse(data)
        else:
            self.hold(data)

    @property
    def has_backlog(self) -> bool:
        """Whether input waits that can be parsed now; that of pipelined requests waits for their turn."""
        return not self._is_waiting_for_answer() and super().has_backlog

    def parse(self, data: bytes) -> None:
        """Parse a slice of input and update the state."""
        if self.state is State.LINGERING:
            return
        was_open = self.state in OPEN_STATES
        body, content_bytes = self.body, self.body.total_bytes if self.body is not None else 0
        queued = len(self._messages)
        super().data_received(data)
        if len(self._messages) > queued:
            return self._record_messages(was_open, queued)
        if body is not None and was_open:
            self._record_body(body, len(data) - (body.total_bytes - content_bytes))
        elif data:
            self._record_head(data, was_open)

    def _record_messages(self, was_open: bool, queued: int) -> None:
        """Record that request heads are complete, or that malformed input has ended the input."""
        self.head_bytes = 0
        message, body = self._messages[-1]
        if isinstance(message, _ErrInfo):
            if was_open or queued or len(self._messages) > 1:
                # The error answer to malformed input after an open request would have to wait for that
                # request's answer. The input may also be the rest of a body with too small a Content-Length.
                self.clients.closes[CloseReason.MALFORMED] += 1
                return self.close_now()
            self.clients.closes[CloseReason.MALFORMED] += 1
            return self.clients.set_state(self, State.LINGERING)
        self.framing_bytes = 0
        self.body = None if body.is_eof() else body
        self._set_open_state()

    def _record_body(self, body: StreamReader, framing_bytes: int) -> None:
        """Record that more of a body has arrived; ends a body that consists of framing in the main."""
        self.framing_bytes += framing_bytes
        if body.is_eof():
            self.body = None
        elif self.framing_bytes > MAX_FRAMING_BYTES + body.total_bytes:
            self.clients.closes[CloseReason.FRAMING] += body.exception() is None
            body.set_exception(web.RequestPayloadError("the chunks of the body are too small"))
        self._set_open_state()

    def _set_open_state(self) -> None:
        """Enter the state of the open request; an earlier one that is still being answered comes first."""
        if self.state is not State.ANSWERING:
            self.clients.set_state(self, State.BUSY if self.body is None else State.RECEIVING)

    def _record_head(self, data: bytes, was_open: bool) -> None:
        """Record that part of a request head has arrived, which must not become too large."""
        self.head_bytes += len(data)
        too_large = self.head_bytes > MAX_HEAD_BYTES
        if too_large or not was_open and not self.head_memory.grow(head_cost(data)):
            self.clients.closes[CloseReason.HEAD_TOO_LARGE if too_large else CloseReason.NO_MEMORY] += 1
            if was_open:
                return self.close_now()
            return self._reject((HEAD_TOO_LARGE if too_large else NO_MEMORY) + LAST_ANSWER)
        if not was_open:
            self._record_head_started()

    def charge_receiving(self) -> bool:
        """Charge the memory of a request that has not arrived completely; returns False if none is left."""
        return self.request_memory.grow(RECEIVING_BYTES, complete=False)

    def charge_request(self) -> bool:
        """Charge the memory of a request that has arrived completely; returns False if none is left."""
        return self.request_memory.grow(REQUEST_BYTES)

    def begin_stream(self) -> bool:
        """Record that the answer is streamed; returns False if too many are."""
        if not self.clients.may_stream():
            return False
        self.clients.begin_stream(self)
        return True

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

        Raises ConnectionError if an answer has already begun, or the client has disconnected.
        """
        if isinstance(exc, ConnectionError):
            raise ConnectionError("the client has disconnected") from exc
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
        if self.state in (State.BUSY, State.RECEIVING):
            self.clients.set_state(self, State.ANSWERING)
        try:
            resp, reset = await super().finish_response(request, resp, start_time)
        finally:
            self.request_memory.release()
        transport = self.transport
        if reset or self._force_close or transport is None:
            return resp, reset
        if resp.keep_alive and request.content.is_eof() and self._can_continue(request):
            await self._continue()
            return resp, reset
        self._messages.clear()
        discard_unread(request.content)
        self._linger()
        if not transport.is_reading():
            transport.resume_reading()
        # this ends as soon as the client closes, at the latest with the table's sweep
        await asyncio.sleep(2 * LINGER_TIMEOUT.total_seconds())
        return resp, reset

    async def _continue(self) -> None:
        """Go on with the input that came before the answer, if there is any; else the connection is idle."""
        if not self._messages:
            self.head_memory.release()
            self.clients.set_state(self, State.IDLE if self.answered else State.IDLE_AFTER_FIRST)
            self.answered = True
            self.parse_slice()
            if self.backlog:
                self.turns.add(self)
        if self._messages:
            self.clients.set_state(self, State.BUSY if self.body is None else State.RECEIVING)
            await self.turns.wait_for_request()

    def _linger(self) -> None:
        """Send end-of-file and wait for the client to close, so that the last answer is delivered."""
        self.clients.set_state(self, State.LINGERING)
        self.backlog = b""
        self.head_memory.release()
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


def head_cost(data: bytes) -> int:
    """Return how many bytes are held for this part of a request head."""
    return HEAD_BYTE_COST * len(data) + HEAD_LINE_COST * count_steps(data)


def request_memory(request: web.BaseRequest) -> MemoryCharge | None:
    """Return the charge of a request, which its connection releases after the answer."""
    connection = request.protocol
    return connection.request_memory if isinstance(connection, ClientConnection) else None


def discard_unread(body: StreamReader) -> None:
    """Drop the part of a body that was received and is not read any more."""
    buffer = getattr(body, "_buffer", None)  # an empty body has none; there is no public way to drop it
    if buffer:
        buffer.clear()
