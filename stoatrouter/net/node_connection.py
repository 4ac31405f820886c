"""Connections to nodes: only a complete, well-formed answer passes, and nothing after it.

Three behaviours of aiohttp's client prevent that, as experiments have shown: noise in one segment with a good
answer makes its parser drop that answer too; an answer that arrives on an idle connection is buffered and
given to the next request; and a message without a length is read until the connection ends.
"""

from __future__ import annotations

import asyncio
import select
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
from stoatrouter.net.request_digest import RequestDigest
from stoatrouter.net.rest_times import Address, RestTimes

MAX_HEAD_BYTES = 16 * 1024
SUCCESS_CLASS = b"2"  # the first digit of a status
MAX_RECEIVE_BYTES = (
    64 * 1024
)  # bytes read at once: asyncio's default would cost each of many large answers more memory


class ConnectionOwner(Protocol):
    """What a connection to a node needs of the pool that it belongs to."""

    alive: set[NodeConnection]
    max_reuse_idle: float  # seconds that a connection may have been idle to be reused
    attempts_written: int  # attempts written complete

    def record_closed(self, connection: NodeConnection) -> None:
        """Record that a connection has ended."""

    def record_break(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds broke before any answer."""

    def record_success(self, idle: float) -> None:
        """Record that a connection which had been idle for `idle` seconds served a request."""

    @property
    def rest_times(self) -> RestTimes:
        """How long connections rest before they are used again."""

    @property
    def fingerprints(self) -> AnswerFingerprints:
        """What tells the answers of all nodes apart."""

    @property
    def counters(self) -> ConnectionCounters:
        """What has become of connections to nodes."""


class NodeConnection(ResponseHandler):
    """A connection to a node, with at most one exchange at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pool: ConnectionOwner, stall_timeout: timedelta
    ) -> None:
        """Set up a connection to a node, with no exchange yet.

        Args:
            loop: The event loop that runs the connection.
            pool: The pool that the connection belongs to.
            stall_timeout: How long the rest of an answer may take once it has begun.
        """
        super().__init__(loop)
        self.pool = pool
        self.stall_timeout = stall_timeout
        self.awaiting_answer = False
        self.chunked = False
        self.ends_with_connection = False  # no length is stated: the body ends as the connection does
        # its client has the first of it, and waits for the rest however slowly it arrives
        self.streaming = False
        self.head = b""  # of the present answer: what has arrived of its head
        self.body_left = 0  # how many bytes its body lacks
        self.in_body = False
        self.bodiless = False  # whatever length it states: the answer to HEAD
        self.stall_timer: asyncio.TimerHandle | None = None
        self.idle_since: float | None = None  # in the loop's time
        self.idle_for = 0.0  # seconds before the present request
        self.node: Address | None = None  # set once the connection is open
        self.request_kind = RequestKind.HEALTH_CHECK  # of the present request
        self.digest: RequestDigest | None = None  # of the present request; None: not known
        # whether an answer that came before it may come again, and would serve it
        self.may_get_repetition = False
        self.awaits_own_answer = False  # a repetition was dropped, and no other answer has begun
        self.needs_rest = False  # whether its last answer may be brought again and not be known
        self.inspection: AnswerInspection | None = None  # of the present answer
        self.recent_answers = RecentAnswers()

    # -- what aiohttp calls -------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection among those that are alive."""
        super().connection_made(transport)
        transport.max_size = MAX_RECEIVE_BYTES  # type: ignore[attr-defined]
        self.pool.alive.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; a body without a stated length is complete only after a clean end."""
        self.pool.record_closed(self)
        self.pool.counters.repetitions_without_another += self.awaits_own_answer
        self.awaits_own_answer = False
        by_peer = self.transport is not None  # an end of our own has dropped it already
        if by_peer and self.awaiting_answer and not self.head and not self.in_body:
            self.pool.record_break(self.idle_for)
        if (
            self.awaiting_answer
            and self.ends_with_connection
            and exc is not None
            and self._payload is not None
        ):
            # Guards against a break that aiohttp treats as the end of an answer without a length.
            self._payload.set_exception(MalformedAnswer("it broke off"))
            self._parser = None
        self._exchange_done()
        super().connection_lost(exc)

    def assign(self, node: Address, kind: RequestKind, digest: RequestDigest | None) -> None:
        """Assign the connection to a request, of which nothing is written yet.

        Args:
            node: Where the connection leads to.
            kind: What the request is to the node.
            digest: What it asks for; None: not known.
        """
        self.node, self.request_kind, self.digest = node, kind, digest
        self.may_get_repetition = digest is not None and self.recent_answers.may_serve_again(
            digest, self._loop.time()
        )

    def set_response_params(self, **params: Any) -> None:
        """Begin an exchange: a request is about to be written."""
        self.awaiting_answer = True
        self.in_body = self.ends_with_connection = self.streaming = False
        self.needs_rest = True
        self.head = b""
        self.idle_for = 0.0 if self.idle_since is None else self._loop.time() - self.idle_since
        self.bodiless = bool(params.get("skip_payload"))
        super().set_response_params(**params)

    def is_connected(self) -> bool:
        """Whether the connection can be reused.

        It cannot where unread bytes or an end have arrived since the last answer: they would be treated as
        the next one.
        """
        return super().is_connected() and (
            self.awaiting_answer or not self._idle_too_long() and not self._unread()
        )

    def rest_left(self, now: float, digest: RequestDigest | None = None) -> float:
        """How many seconds it has to rest still, before it is used again for what a request asks."""
        if self.idle_since is None or self.node is None:
            return 0.0  # it has brought no answer yet
        rest = self.pool.rest_times.rest_of(self.node, now, self.needs_rest)
        left = max(0.0, self.idle_since + rest - now)
        return left if digest is None else max(left, self.recent_answers.rest_left(digest, now))

    def _idle_too_long(self) -> bool:
        idle = 0.0 if self.idle_since is None else self._loop.time() - self.idle_since
        return self.should_close or idle > self.pool.max_reuse_idle

    def data_received(self, data: bytes) -> None:
        """Pass on one complete, well-formed answer, and end the connection on anything else."""
        if not data:
            super().data_received(data)  # aiohttp continues with what it has
        elif not self.awaiting_answer:
            # Guards the next request on this connection: bytes behind an answer belong to nobody.
            self._close_for_surplus()
        elif not self.in_body:
            self._receive_head(data)
        elif self.chunked or self.ends_with_connection:
            self._receive_chunked(data)
        else:
            self._receive_body(data)

    def start_streaming(self) -> None:
        """Stop the stall timer, as whoever streams the answer watches for a standstill."""
        self.streaming = True
        self._cancel_stall_timer()

    # -- one answer ---------------------------------------------------------------------------------------
    def _receive_head(self, data: bytes) -> None:
        self.head += data
        while (end := self.head.find(HEAD_END)) >= 0:
            head, rest = self.head[: end + len(HEAD_END)], self.head[end + len(HEAD_END) :]
            status = head[9:12]
            if status == b"101":
                return self._fail_exchange("another protocol, which nobody asked for")
            if not status.isdigit() or status[:1] != b"1":
                return self._begin_answer(head, rest)
            self.head = rest  # an interim answer: the final one is still to come
        self._start_stall_timer()
        # Guards memory against a head that never ends, and time against what is no head at all.
        if len(self.head) > MAX_HEAD_BYTES or self.head[:7] != b"HTTP/1."[: len(self.head)]:
            self._fail_exchange("no head")

    def _begin_answer(self, head: bytes, rest: bytes) -> None:
        if head[9:10] == SUCCESS_CLASS and self._request_is_unwritten():
            # Guards a client against another one's answer: the node has not got this request yet.
            self._record_surplus()
            return self._fail_exchange("a success before the request was written")
        try:
            # RFC 9112, 6.3: no body follows these, whatever length they state
            length = 0 if self.bodiless or head[9:12] in (b"204", b"304") else body_length(head)
        except ValueError as error:
            return self._fail_exchange(str(error))
        # Guards memory: it may pin the large block that it was read into, as long as the connection lives.
        self.head = b""
        self.in_body = True
        self.awaits_own_answer = False
        self.chunked = length == CHUNKED
        self.ends_with_connection = length == UNTIL_CLOSE
        self.body_left = max(0, length)
        self.inspection = self._inspect(head[9:12], length)
        if self.chunked or self.ends_with_connection:
            self._receive_chunked(head + rest)
        else:
            self._receive_body(rest, head)

    def _inspect(self, status: bytes, length: int) -> AnswerInspection | None:
        if length < 0:
            return None
        # a connection that has brought an answer again is not compared any more: the next one is the own
        compares = not self.should_close and self.recent_answers.any(self._loop.time())
        return AnswerInspection(status, length, self.recent_answers if compares else None, self.digest)

    def _receive_body(self, data: bytes, head: bytes = b"") -> None:
        assert self.inspection is not None
        body, surplus = data[: self.body_left], data[self.body_left :]
        self.body_left -= len(body)
        passed = self.inspection.take(head, body)
        if self.inspection.is_repetition and not self.body_left:
            return self._drop_repetition(surplus)
        if self.body_left:
            self._start_stall_timer(restart=bool(body))
        else:
            self._remember_answer(self.inspection)
            self._exchange_done()
        if passed:
            super().data_received(passed)
        if surplus:
            self._close_for_surplus()

    def _remember_answer(self, inspection: AnswerInspection) -> None:
        """Decide whether the connection rests before it is used again."""
        fingerprint, digest = inspection.fingerprint, self.digest
        subject = None if digest is None else digest.subject
        if fingerprint is None or not self.pool.fingerprints.record(fingerprint, self.request_kind, subject):
            self.needs_rest = True
            return
        self.pool.counters.equal_answers_passed += inspection.equals_recent
        contains_request_id = inspection.contains_request_id()
        is_added = self.recent_answers.add(fingerprint, self._loop.time(), digest, contains_request_id)
        # Guards the next request: this may be the earlier answer again, and the own one still to come.
        self.needs_rest = not is_added or self.may_get_repetition and inspection.equals_recent

    def _drop_repetition(self, surplus: bytes) -> None:
        """Drop an answer that an earlier request has had, and wait for that of the present one."""
        self.pool.counters.repetitions_dropped += 1
        self.awaits_own_answer = True
        self._record_surplus()
        self.force_close()  # once this exchange is over
        self.in_body = False
        self._start_stall_timer(restart=True)
        if surplus:
            self._receive_head(surplus)

    def _receive_chunked(self, data: bytes) -> None:
        super().data_received(data)
        if self._payload is not None and self._payload.is_eof():
            self._exchange_done()
        else:
            self._start_stall_timer(restart=True)

    def _start_stall_timer(self, restart: bool = False) -> None:
        """Start the timer of an answer that has begun and stalls; `restart` replaces one that runs.

        Guards the client's time against such an answer: the rest of it must arrive within stall_timeout.
        """
        if restart:
            self._cancel_stall_timer()
        if self.stall_timer is None and self.awaiting_answer and not self.streaming:
            self.stall_timer = self._loop.call_later(
                self.stall_timeout.total_seconds(), self._fail_exchange, "it stalled"
            )

    def _exchange_done(self) -> None:
        """End the exchange: nothing is due any more."""
        if self.awaiting_answer and self.in_body:
            self.pool.record_success(self.idle_for)
        self.awaiting_answer = False
        self.idle_since = self._loop.time()
        self._cancel_stall_timer()

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    # -- ends ---------------------------------------------------------------------------------------------
    def _close_now(self) -> None:
        """Never use this connection again; a complete answer stays valid."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _close_for_surplus(self) -> None:
        """End the connection, as it has brought bytes that belong to no request."""
        self._record_surplus()
        self._close_now()

    def _record_surplus(self) -> None:
        if self.node is not None and self.pool.rest_times.record_surplus(self.node, self._loop.time()):
            logger.warning(
                "node {address} sent bytes that belong to no request",
                event="node.surplus",
                address=f"{self.node.host}:{self.node.port}",
            )

    def _request_is_unwritten(self) -> bool:
        """Whether the system has not yet taken all of the request that was handed to it."""
        transport = self.transport
        return isinstance(transport, asyncio.WriteTransport) and transport.get_write_buffer_size() > 0

    def _fail_exchange(self, why: str) -> None:
        error = MalformedAnswer(why)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        self._close_now()

    def _unread(self) -> bool:
        handle = self.transport.get_extra_info("socket") if self.transport is not None else None
        if handle is None or handle.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(handle.fileno(), select.POLLIN)
        return bool(poll.poll(0))
