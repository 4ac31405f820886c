"""Connections to nodes, which pass on only a complete, well-formed answer and nothing after it.

aiohttp's client alone does not ensure this, as experiments have shown: invalid bytes in the same segment as a
valid answer make its parser drop that answer too; an answer that arrives on an idle connection is buffered
and given to the next request; and a message without a length is read until the connection closes.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

from aiohttp.client_proto import ResponseHandler
from loguru import logger

from stoatrouter.net.answer_identity import (
    AnswerFingerprints,
    AnswerInspection,
    RecentAnswers,
    RequestKind,
)
from stoatrouter.net.connection_counters import ConnectionCounters
from stoatrouter.net.errors import MalformedAnswer
from stoatrouter.net.framing import CHUNKED, HEAD_END, UNTIL_CLOSE, body_length
from stoatrouter.net.input_turns import DividedInput, InputTurns
from stoatrouter.net.request_digest import RequestDigest
from stoatrouter.net.reuse_delays import Address, ReuseDelays

MAX_HEAD_BYTES = 16 * 1024
SUCCESS_CLASS = b"2"  # the first digit of a success status
MAX_RECEIVE_BYTES = 16 * 1024  # per read; with asyncio's default many large answers would use more memory


class ConnectionOwner(Protocol):
    """The interface of the pool that a connection belongs to."""

    open_connections: set[NodeConnection]
    max_reuse_idle: float  # the maximum idle time in seconds after which a connection is reused
    attempts_written: int  # attempts that were written completely
    turns: InputTurns  # of the connections' input

    def record_closed(self, connection: NodeConnection) -> None:
        """Record that a connection has closed."""

    def record_break(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds broke before any answer."""

    def record_success(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds served a request."""

    @property
    def reuse_delays(self) -> ReuseDelays:
        """The reuse delays of connections, by node."""

    @property
    def fingerprints(self) -> AnswerFingerprints:
        """The fingerprints of all nodes' answers."""

    @property
    def counters(self) -> ConnectionCounters:
        """The counters of connections to nodes."""


class NodeConnection(DividedInput, ResponseHandler):
    """A connection to a node, with at most one exchange at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pool: ConnectionOwner, stall_timeout: timedelta
    ) -> None:
        """Set up a connection to a node, without an exchange.

        Args:
            loop: The event loop that runs the connection.
            pool: The pool that the connection belongs to.
            stall_timeout: After which time without new bytes an answer that has begun counts as stalled. That
                is reported once; the answer goes on until the request's time is over.
        """
        super().__init__(loop)
        self.pool = pool
        self.turns = pool.turns
        self.backlog = b""  # input that waits for its turn
        self.stall_timeout = stall_timeout
        self.awaiting_answer = False
        self.chunked = False
        self.ends_with_connection = False  # without a length: the end of the connection ends the body
        self.streaming = False  # the client has the first part, and waits for the rest however slow it is
        self.head = b""  # the received part of the current answer's head
        self.body_left = 0  # remaining bytes of the current answer's body
        self.in_body = False
        self.bodiless = False  # the answer to HEAD has no body, whatever its Content-Length
        self.stall_timer: asyncio.TimerHandle | None = None
        self.on_stall: Callable[[], None] | None = None  # of the current request; None: not reported
        self.idle_since: float | None = None  # in the loop's time
        self.idle_before_request = 0.0  # seconds that it was idle before the current request
        self.node: Address | None = None  # set once the connection is open
        self.request_kind = RequestKind.HEALTH_CHECK  # of the current request
        self.digest: RequestDigest | None = None  # of the current request; None: not known
        # whether a duplicate of an earlier answer may arrive and would be a valid answer to the request
        self.may_get_valid_duplicate = False
        self.awaits_own_answer = False  # a duplicate was dropped, and no other answer has begun
        self.needs_reuse_delay = False  # whether a duplicate of the last answer could not be detected
        self.inspection: AnswerInspection | None = None  # of the current answer
        self.recent_answers = RecentAnswers()

    # -- called by aiohttp --------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the pool's open ones."""
        super().connection_made(transport)
        transport.max_size = MAX_RECEIVE_BYTES  # type: ignore[attr-defined]
        self.pool.open_connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; a body without a length is complete only if the connection closed cleanly."""
        self.pool.record_closed(self)
        self.pool.counters.repetitions_without_another += self.awaits_own_answer
        self.awaits_own_answer = False
        by_peer = self.transport is not None  # a local close has already removed it
        if by_peer and self.awaiting_answer and not self.head and not self.in_body:
            self.pool.record_break(self.idle_before_request)
        if (
            self.awaiting_answer
            and self.ends_with_connection
            and exc is not None
            and self._payload is not None
        ):
            # aiohttp treats a broken connection as the end of an answer without a length.
            self._payload.set_exception(MalformedAnswer("connection broke before the end of the answer"))
            self._parser = None
        self._end_exchange()
        super().connection_lost(exc)

    def assign(
        self,
        node: Address,
        kind: RequestKind,
        digest: RequestDigest | None,
        on_stall: Callable[[], None] | None = None,
    ) -> None:
        """Assign the connection to a request of which nothing has been written.

        Args:
            node: The address of the node.
            kind: The kind of the request.
            digest: The digest of the request; None: not known.
            on_stall: Called at most once, where the answer has begun and stalls; None: nothing is called.
        """
        self.node, self.request_kind, self.digest, self.on_stall = node, kind, digest, on_stall
        self.may_get_valid_duplicate = digest is not None and self.recent_answers.may_get_valid_duplicate(
            digest, self._loop.time()
        )

    def set_response_params(self, **params: Any) -> None:
        """Start an exchange: a request is about to be written."""
        self.awaiting_answer = True
        self.in_body = self.ends_with_connection = self.streaming = False
        self.needs_reuse_delay = True
        self.head = b""
        self.idle_before_request = 0.0 if self.idle_since is None else self._loop.time() - self.idle_since
        self.bodiless = bool(params.get("skip_payload"))
        super().set_response_params(**params)

    def is_connected(self) -> bool:
        """Return whether the connection can be reused.

        It cannot if unread bytes or end-of-file have arrived since the last answer: they would be treated as
        the next answer.
        """
        return super().is_connected() and (
            self.awaiting_answer or not self._idle_too_long() and not self._has_unread_bytes()
        )

    def remaining_reuse_delay(self, now: float, digest: RequestDigest | None = None) -> float:
        """Return the remaining seconds of its reuse delay for a request with this digest."""
        if self.idle_since is None or self.node is None:
            return 0.0  # it has not received any answer
        delay = self.pool.reuse_delays.delay_for(self.node, now, self.needs_reuse_delay)
        left = max(0.0, self.idle_since + delay - now)
        return left if digest is None else max(left, self.recent_answers.remaining_reuse_delay(digest, now))

    def _idle_too_long(self) -> bool:
        idle = 0.0 if self.idle_since is None else self._loop.time() - self.idle_since
        return self.should_close or idle > self.pool.max_reuse_idle

    def data_received(self, data: bytes) -> None:
        """Pass on one complete, well-formed answer, and close the connection on anything else."""
        if not data:
            super().data_received(data)  # aiohttp continues with the bytes it has buffered
        elif self.in_body and not self.backlog and not (self.chunked or self.ends_with_connection):
            self.parse(data)  # the bytes of a body with a length cost no more for being lines
        else:
            self.receive(data)

    def parse(self, data: bytes) -> None:
        """Pass on a slice of an answer, as above."""
        if not self.awaiting_answer:
            # Unsolicited bytes belong to no request, and must not reach the next one on the connection.
            self._close_for_unsolicited_bytes()
        elif not self.in_body:
            self._receive_head(data)
        elif self.chunked or self.ends_with_connection:
            self._receive_chunked(data)
        else:
            self._receive_body(data)

    def start_streaming(self) -> None:
        """Cancel the stall timer: the client has a part of the answer, so no other attempt could serve it."""
        self.streaming = True
        self._cancel_stall_timer()

    # -- parsing one answer -------------------------------------------------------------------------------
    def _receive_head(self, data: bytes) -> None:
        self.head += data
        while (end := self.head.find(HEAD_END)) >= 0:
            head, remainder = self.head[: end + len(HEAD_END)], self.head[end + len(HEAD_END) :]
            status = head[9:12]
            if status == b"101":
                return self._fail_exchange("unsolicited protocol switch (status 101)")
            if not status.isdigit() or status[:1] != b"1":
                return self._begin_answer(head, remainder)
            self.head = remainder  # an interim response: the final one is still to come
        self._start_stall_timer()
        # Limits the memory used by an endless head, and fails early on bytes that cannot begin a head.
        if len(self.head) > MAX_HEAD_BYTES or self.head[:7] != b"HTTP/1."[: len(self.head)]:
            self._fail_exchange("answer head is malformed or too large")

    def _begin_answer(self, head: bytes, remainder: bytes) -> None:
        if head[9:10] == SUCCESS_CLASS and self._request_is_unwritten():
            # The node has not received this request yet, so the answer belongs to another client's request.
            self._record_unsolicited_bytes()
            return self._fail_exchange("success answer before the request was written")
        try:
            # RFC 9112, 6.3: these have no body, whatever their Content-Length
            length = 0 if self.bodiless or head[9:12] in (b"204", b"304") else body_length(head)
        except ValueError as error:
            return self._fail_exchange(str(error))
        # Frees memory: these bytes may keep the large block they were read into alive with the connection.
        self.head = b""
        self.in_body = True
        self.awaits_own_answer = False
        self.chunked = length == CHUNKED
        self.ends_with_connection = length == UNTIL_CLOSE
        self.body_left = max(0, length)
        self.inspection = self._inspect(head[9:12], length)
        if self.chunked or self.ends_with_connection:
            self._receive_chunked(head + remainder)
        else:
            self._receive_body(remainder, head)

    def _inspect(self, status: bytes, length: int) -> AnswerInspection | None:
        if length < 0:
            return None
        # after a duplicate was dropped, the next answer is the request's own and is not compared
        compares = not self.should_close and self.recent_answers.may_get_duplicate(self._loop.time())
        return AnswerInspection(status, length, self.recent_answers if compares else None, self.digest)

    def _receive_body(self, data: bytes, head: bytes = b"") -> None:
        assert self.inspection is not None
        body, remainder = data[: self.body_left], data[self.body_left :]
        self.body_left -= len(body)
        passed = self.inspection.feed(head, body)
        if self.inspection.is_duplicate and not self.body_left:
            return self._drop_duplicate(remainder)
        if self.body_left:
            self._start_stall_timer(restart=bool(body))
        else:
            self._remember_answer(self.inspection)
            self._end_exchange()
        if passed:
            super().data_received(passed)
        if remainder:
            self._close_for_unsolicited_bytes()

    def _remember_answer(self, inspection: AnswerInspection) -> None:
        """Record the answer, and decide whether the connection needs a reuse delay."""
        fingerprint, digest = inspection.fingerprint, self.digest
        subject = None if digest is None else digest.subject
        if fingerprint is None or not self.pool.fingerprints.record(fingerprint, self.request_kind, subject):
            self.needs_reuse_delay = True
            return
        self.pool.counters.equal_answers_passed += inspection.equals_recent
        contains_request_id = inspection.contains_request_id()
        is_added = self.recent_answers.add(fingerprint, self._loop.time(), digest, contains_request_id)
        # This answer may be a duplicate of the earlier one, with the request's own answer still to come.
        self.needs_reuse_delay = not is_added or self.may_get_valid_duplicate and inspection.equals_recent

    def _drop_duplicate(self, remainder: bytes) -> None:
        """Drop a duplicate of an earlier request's answer, and wait for the current request's own."""
        self.pool.counters.repetitions_dropped += 1
        self.awaits_own_answer = True
        self._record_unsolicited_bytes()
        self.force_close()  # takes effect once this exchange is over
        self.in_body = False
        self._start_stall_timer(restart=True)
        if remainder:
            self._receive_head(remainder)

    def _receive_chunked(self, data: bytes) -> None:
        super().data_received(data)
        if self._payload is not None and self._payload.is_eof():
            self._end_exchange()
        else:
            self._start_stall_timer(restart=True)

    def _start_stall_timer(self, restart: bool = False) -> None:
        """Start the timer that reports an answer which stalls; `restart` restarts a running timer.

        The answer is not cut off: a slow node may be as sound as a hanging one, for all that can be seen.
        """
        if restart:
            self._cancel_stall_timer()
        if self.stall_timer is None and self.awaiting_answer and not self.streaming and self.on_stall:
            self.stall_timer = self._loop.call_later(self.stall_timeout.total_seconds(), self._report_stall)

    def _report_stall(self) -> None:
        self.stall_timer = None
        on_stall, self.on_stall = self.on_stall, None
        if on_stall is not None:
            on_stall()

    def _end_exchange(self) -> None:
        """End the exchange: no more bytes are expected."""
        if self.awaiting_answer and self.in_body:
            self.pool.record_success(self.idle_before_request)
        self.awaiting_answer = False
        self.idle_since = self._loop.time()
        self._cancel_stall_timer()

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    # -- closing ------------------------------------------------------------------------------------------
    def _close_now(self) -> None:
        """Abort the connection, so that it is not reused; a complete answer stays valid."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _close_for_unsolicited_bytes(self) -> None:
        """Close the connection, as it received unsolicited bytes."""
        self._record_unsolicited_bytes()
        self._close_now()

    def _record_unsolicited_bytes(self) -> None:
        if self.node is not None and self.pool.reuse_delays.record_unsolicited_bytes(
            self.node, self._loop.time()
        ):
            logger.warning(
                "node {address} sent bytes that belong to no request",
                event="node.surplus",
                address=f"{self.node.host}:{self.node.port}",
            )

    def _request_is_unwritten(self) -> bool:
        """Return whether part of the request is still buffered, as the kernel has not accepted it yet."""
        transport = self.transport
        return isinstance(transport, asyncio.WriteTransport) and transport.get_write_buffer_size() > 0

    def _fail_exchange(self, reason: str) -> None:
        error = MalformedAnswer(reason)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        self._close_now()

    def _has_unread_bytes(self) -> bool:
        handle = self.transport.get_extra_info("socket") if self.transport is not None else None
        if handle is None or handle.fileno() < 0 or self.backlog:
            return True
        poll = select.poll()
        poll.register(handle.fileno(), select.POLLIN)
        return bool(poll.poll(0))
