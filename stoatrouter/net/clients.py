"""Connections of clients: how many are open, for how long, and how they end."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE, RequestHandler, _ErrInfo
from loguru import logger

from stoatrouter.net.presence import unread

# A connection with no open request is ended after this time, whether it has said anything or not.
IDLE = timedelta(seconds=2)
JUST_CONNECTED = timedelta(milliseconds=250)
SPARE = 8  # connections beyond the bound that are still heard, to be refused in words
SWEEP_EVERY = timedelta(milliseconds=200)
# A head: clients in service take up to 2 s for one, and those that never end theirs are owed a close in 3 s.
HEAD_WITHIN = timedelta(milliseconds=2750)
STALE = timedelta(milliseconds=700)  # a head of which nothing has come for so long makes room before others
# How long what a client still sends is read and dropped after its last answer: closing over unread input
# would reset the connection, and the client might never see that answer.
LINGER = timedelta(seconds=2)


UNREAD = timedelta(seconds=10)  # how long a client may take nothing of its answer


Refuse = Callable[[bytes], bytes | None]


class State(Enum):
    """The state of a client's connection."""

    ENDING = 0  # has its last answer
    SILENT = 1  # nothing has come that is a request
    ONCE = 2  # has asked once and not again
    IDLE = 3  # between requests
    BUSY = 4  # a request is open
    BEGUN = 5  # a part of a head has come; in the order of the latest bytes


class ClientTable:
    """All connections of clients, by state, and within it in the order in which they entered it."""

    def __init__(self, most: int, idle_most: int, busy_most: int, busy_pressed: int | None = None) -> None:
        """Start with no connection.

        Args:
            most: How many connections this head keeps open at most.
            idle_most: How many of them may be between requests of clients that asked only once.
            busy_most: How many of them may have a request open.
            busy_pressed: How many may have a request open while this head lacks time; None: busy_most.
        """
        self.most, self.idle_most = most, idle_most
        # how many may have a request open, and how many while this head lacks time: connections then outlive
        # their answers, and clients soon have none left
        self.busy_most, self.busy_pressed = busy_most, busy_most if busy_pressed is None else busy_pressed
        self.busy_elsewhere = 0  # at the process before this one
        self.pressed_until = 0.0
        self.keep_idle = False  # a stopping head's clients cannot open new ones
        self.by_state: dict[State, dict[ClientConnection, float]] = {
            state: {} for state in State
        }  # since when

    def __len__(self) -> int:
        """How many connections are open, in all states."""
        return sum(len(connections) for connections in self.by_state.values())

    def put(self, connection: ClientConnection, state: State) -> None:
        """Move a connection to a state, as the latest of it."""
        self.leave(connection)
        connection.state, connection.since = state, connection.loop.time()
        self.by_state[state][connection] = connection.since
        once = self.by_state[State.ONCE]
        if len(once) > self.idle_most and not self.keep_idle:
            # Guards the other clients: what they may hold together is bounded, and those that ask once and
            # keep their connection would take all of it. Those that ask again keep theirs: at a high rate,
            # opening new ones would take a core's time.
            next(iter(once)).end()

    def leave(self, connection: ClientConnection) -> None:
        """Remove a connection from the table."""
        self.by_state[connection.state].pop(connection, None)

    def enter(self, connection: ClientConnection) -> None:
        """Add a new connection.

        Above the bound the least useful connection is closed in its place; those with a request open stay.
        """
        self.put(connection, State.SILENT)
        if len(self) > self.most and (least := self.least_used(connection)) is not None:
            return least.end()
        if len(self) > self.most + SPARE:
            connection.end()  # all others have a request open

    def least_used(self, newest: ClientConnection) -> ClientConnection | None:
        """Which connection to close for a new one; None where all others have a request open.

        A connection that was just opened is spared before those between requests: its first request is on
        its way, and most likely has not been read yet.
        """
        oldest = {state: next(iter(connections), None) for state, connections in self.by_state.items()}
        silent, begun, now = oldest[State.SILENT], oldest[State.BEGUN], newest.loop.time()
        if silent is newest:
            silent = None
        long_silent = silent is not None and now - silent.since > JUST_CONNECTED.total_seconds()
        stale = begun is not None and now - begun.since > STALE.total_seconds()
        return (
            oldest[State.ENDING]
            or (silent if long_silent else None)
            or (begun if stale else None)
            or oldest[State.ONCE]
            or oldest[State.IDLE]
            or silent
            or begun
        )

    @property
    def open(self) -> int:
        """How many connections have a request open."""
        return len(self.by_state[State.BUSY])

    def crowded(self) -> bool:
        """Whether requests on further connections are to be refused."""
        return self.open > self.busy_bound()

    def busy_bound(self) -> int:
        """How many connections may have a request open now."""
        pressed = asyncio.get_running_loop().time() < self.pressed_until
        return max(0, (self.busy_pressed if pressed else self.busy_most) - self.busy_elsewhere)

    def press(self, span: timedelta) -> None:
        """Apply the lower bound for at least this time, as the event loop lags."""
        self.pressed_until = max(self.pressed_until, asyncio.get_running_loop().time() + span.total_seconds())

    def sweep(self) -> None:
        """Close connections that were idle or silent for too long, send endless heads, or read no answer."""
        for connection in list(self.by_state[State.BEGUN]):
            if connection.loop.time() - connection.begun > HEAD_WITHIN.total_seconds():
                connection.end()
        for connection in list(self.by_state[State.BUSY]):
            if connection.unread_for() > UNREAD.total_seconds():
                connection.end()
        for state in (State.SILENT, State.ONCE, State.IDLE, State.ENDING):
            if state in (State.ONCE, State.IDLE) and self.keep_idle:
                continue
            after = LINGER if state is State.ENDING else IDLE
            for connection, since in list(self.by_state[state].items()):
                if connection.loop.time() - since < after.total_seconds():
                    break
                if state is State.ENDING:
                    connection.end()
                else:
                    connection.end_unless_asked()

    async def keep_swept(self) -> None:
        """Sweep every SWEEP_EVERY, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_EVERY.total_seconds())
            self.sweep()

    def end_idle(self, silent: bool = True) -> None:
        """Close all connections between requests.

        With `silent` also those that have not begun a request, except those that were just opened, whose
        first request is on its way.
        """
        for state in (State.ONCE, State.IDLE, *((State.SILENT, State.BEGUN) if silent else ())):
            for connection in list(self.by_state[state]):
                if (
                    state is not State.SILENT
                    or connection.seconds_in_state() > JUST_CONNECTED.total_seconds()
                ):
                    connection.end_unless_asked()

    def any_just_connected(self) -> bool:
        """Whether any connection is so new that its first request may still be on its way."""
        return any(
            c.seconds_in_state() <= JUST_CONNECTED.total_seconds() for c in self.by_state[State.SILENT]
        )


class ClientConnection(RequestHandler):
    """aiohttp's server connection, with bounds on what a misbehaving client can do to it."""

    __slots__ = ("clients", "loop", "state", "since", "begun", "unread", "unread_since", "answered", "refuse")

    def __init__(
        self,
        manager: web.Server,
        clients: ClientTable,
        refuse: Refuse | None,
        loop: asyncio.AbstractEventLoop,
        **more: Any,
    ) -> None:
        """Set up a connection of a client, silent since its start.

        Args:
            manager: The server that accepted it.
            clients: The table the connection enters and leaves.
            refuse: While the head has as many requests open as it may, gives the bytes that came the answer
                that rejects them, or None to take them; None: none are rejected before they are parsed.
            loop: The event loop that runs the connection.
            **more: Passed on to aiohttp's RequestHandler.
        """
        # the table's sweep ends idle connections, long before aiohttp's own timer would
        super().__init__(
            manager, loop=loop, keepalive_timeout=10 * IDLE.total_seconds(), lingering_time=0, **more
        )
        self.clients, self.refuse, self.loop = clients, refuse, loop
        self.state, self.since, self.begun = State.SILENT, 0.0, 0.0
        self.unread, self.unread_since, self.answered = 0, 0.0, False

    def end(self) -> None:
        """Close at once.

        force_close is used, as close() would leave the socket open and swallow what arrives there.
        """
        self.clients.leave(self)
        self.force_close()

    def seconds_in_state(self) -> float:
        """For how many seconds the connection has been in its present state."""
        return self.loop.time() - self.since

    def end_unless_asked(self) -> None:
        """Close at once, unless bytes have arrived that the loop has not yet read.

        Closing over unread bytes would reset the connection and lose that request.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or not unread(sock):
            self.end()

    def unread_for(self) -> float:
        """For how many seconds the client has read nothing of a waiting answer.

        It bounds connections and memory, as answers are held until they are read.
        """
        left = self.transport.get_write_buffer_size() if self.writing_paused and self.transport else 0
        if not left or left != self.unread:
            self.unread, self.unread_since = left, self.loop.time()
        return self.loop.time() - self.unread_since

    # -- the protocol's callbacks -------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the connection in the table; that may end another one."""
        super().connection_made(transport)
        self.clients.enter(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.clients.leave(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what came and follow the connection's state; a crowded head refuses plain requests here."""
        if self.state is State.ENDING:
            return  # read only so that the answer arrives
        if (
            self.refuse is not None
            and self.clients.open >= self.clients.busy_bound()
            and self.state in (State.SILENT, State.ONCE, State.IDLE)
            and (refusal := self.refuse(data))
        ):
            return self._refused(refusal)
        open_before = self.state is State.BUSY
        super().data_received(data)
        if not self._messages:
            if not open_before:
                self._begin()
            return
        if isinstance(self._messages[-1][0], _ErrInfo):
            if open_before or len(self._messages) > 1:
                # Guards a client's time: unreadable input behind an open request would get its error only
                # after that. It also may be what a request of wrong length left over.
                return self.end()
            self.clients.put(self, State.ENDING)
        elif not open_before:
            self.clients.put(self, State.BUSY)

    def _refused(self, refusal: bytes) -> None:
        """What came was refused as it came; this connection goes on, unless that was its last answer."""
        if self.transport is None:
            return
        self.transport.write(refusal)
        if b"Connection: close" in refusal:
            self._last()
        else:
            self.clients.put(self, State.IDLE if self.answered else State.ONCE)
            self.answered = True

    def _begin(self) -> None:
        """More of a head has come. A first one counts from the connection's start, whatever came when."""
        if self.state is not State.BEGUN:
            self.begun = self.since if self.state is State.SILENT else self.loop.time()
        self.clients.put(self, State.BEGUN)

    # -- answers ------------------------------------------------------------------------------------------
    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """The answer to an unreadable request, or to an unforeseen fault of this program.

        Raises ConnectionError where an answer has already begun.
        """
        if exc is not None and not isinstance(exc, HttpProcessingError):
            logger.opt(exception=exc).error("request failed in an unforeseen way", event="request.fault")
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun already")
        response = web.Response(status=status, text="the request cannot be read\n" if status < 500 else None)
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer; the last answer of a connection is delivered before it closes."""
        resp, reset = await super().finish_response(request, resp, start_time)
        transport = self.transport
        if reset or self._force_close or transport is None:
            return resp, reset
        if resp.keep_alive and request.content.is_eof() and self._renew(request):
            if not self._messages:
                self.clients.put(self, State.IDLE if self.answered else State.ONCE)
                self.answered = True
            return resp, reset
        self._messages.clear()
        self._last()
        if not transport.is_reading():
            transport.resume_reading()
        # the client's own close ends this at once, the sweep at the latest
        await asyncio.sleep(2 * LINGER.total_seconds())
        return resp, reset

    def _last(self) -> None:
        """Nothing more is said here; the connection ends once that has arrived."""
        self.clients.put(self, State.ENDING)
        with contextlib.suppress(OSError):  # a client may have gone in this moment
            if self.transport is not None and self.transport.can_write_eof():
                self.transport.write_eof()

    def _renew(self, request: web.BaseRequest) -> bool:
        """Whether the connection can go on.

        Guards the next request against trailers of this one, which aiohttp's parser takes for the first
        headers of whatever comes next.
        """
        if "Transfer-Encoding" not in request.headers:
            return True
        if self._messages:
            return False  # what comes next has them already
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
            refuse: As ClientConnection takes it.
            **more: Passed on to aiohttp's Server.
        """
        super().__init__(handler, **more)
        self.clients, self.refuse = clients, refuse

    def __call__(self) -> RequestHandler:
        """The protocol of a new connection."""
        return ClientConnection(self, self.clients, self.refuse, self._loop, **self._kwargs)
