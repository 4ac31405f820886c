"""Streams between heads: HTTP requests by aiohttp, one sealed message each way.

`POST /heads` with a sealed message is answered 200 with a sealed message, or 204 if there is no answer. A
rejected message is answered 403 without a body, one of an earlier incarnation 409 with the latest incarnation
seen, and a request beyond MAX_IN_FLIGHT 503.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

import aiohttp
import msgspec
from aiohttp import web
from loguru import logger

from stoatrouter.agreement.records import AnyMessage, Voter
from stoatrouter.net.acceptor import Acceptor
from stoatrouter.net.listener import BACKLOG
from stoatrouter.peering import calls
from stoatrouter.peering.counters import Channel, MessageCounters
from stoatrouter.peering.envelope import MAX_MESSAGE_SIZE, Envelope, EnvelopeSealer, OlderIncarnation
from stoatrouter.peering.errors import MessageRejected, PeerUnreachable, RejectReason
from stoatrouter.peering.tasks import cancel_tasks

PATH = "/heads"
# The kind of an answer to an earlier incarnation; its body is the latest one, in decimal.
OLDER_INCARNATION = "older"
MAX_IN_FLIGHT = 256  # requests being answered at a time; beyond, 503
MAX_CONNECTIONS_PER_HEAD = 8
MAX_QUEUED_MESSAGES = 256  # for one head; beyond, the oldest are dropped: the agreement sends all again
MAX_BATCH_MESSAGES = 32
MAX_BATCH_BYTES = 16 * 1024 * 1024  # of all messages but the first of a batch; well below MAX_MESSAGE_SIZE
CONNECT_TIMEOUT = timedelta(milliseconds=500)
REQUEST_TIMEOUT = timedelta(seconds=3)
BATCH_TIMEOUT = timedelta(seconds=1)
BATCH_RETRY_PAUSE = timedelta(milliseconds=20)
SHUTDOWN_TIMEOUT = timedelta(milliseconds=100)

Handler = Callable[[Envelope], Awaitable[bytes | None]]


class Reply(NamedTuple):
    """The answer to a request."""

    sender: Voter  # its identity is "" if the head answered without a message
    body: bytes


class Streams:
    """Sends one head's requests to other heads, and answers theirs.

    Attributes:
        counters: Where messages are counted.
        in_flight: Number of requests of other heads being answered.
    """

    def __init__(
        self,
        sealer: EnvelopeSealer,
        me: Voter,
        incarnation: int,
        addresses: Mapping[str, str],
        counters: MessageCounters,
        handler: Handler,
        origin: Callable[[], str],
    ) -> None:
        """Set up the streams; nothing is sent or received before `start`.

        Args:
            sealer: Seals and unseals the messages.
            me: This head, with the identity of its disk.
            incarnation: The number of this process; higher than that of any earlier process of this head.
            addresses: The addresses of other heads, HOST:PORT by name.
            counters: Where messages are counted.
            handler: Answers an authentic request of another head; returns None if there is no answer.
            origin: The identity of the fleet that this head belongs to; "" for none.
        """
        self.counters = counters
        self.in_flight = 0
        self._sealer = sealer
        self._me = me
        self._incarnation = incarnation
        self._addresses = addresses
        self._handler = handler
        self._origin = origin
        self._last_request_id = 0
        self._session: aiohttp.ClientSession | None = None
        self._server: web.Server | None = None
        self._listener: Acceptor | None = None
        self._queues: dict[str, calls.Batch] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}

    async def start(self, listen: tuple[str, int] | None) -> None:
        """Open the client session and, if an address is given, listen.

        Args:
            listen: Host and port; None: this head only sends requests.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=MAX_CONNECTIONS_PER_HEAD),
            timeout=aiohttp.ClientTimeout(
                total=REQUEST_TIMEOUT.total_seconds(), connect=CONNECT_TIMEOUT.total_seconds()
            ),
        )
        if listen is None:
            return
        self._server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(listen)
        listening.listen(BACKLOG)
        listening.setblocking(False)
        self._listener = Acceptor(listening, self._server)

    async def close(self) -> None:
        """Stop sending and listening; queued messages are dropped."""
        await cancel_tasks(self._senders.values())
        if self._listener is not None:
            self._listener.stop()
            self._listener.listening_socket.close()
        if self._server is not None:
            await self._server.shutdown(SHUTDOWN_TIMEOUT.total_seconds())
        if self._session is not None:
            await self._session.close()

    # -- answering ----------------------------------------------------------------------------------------
    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request of another head."""
        source = request.remote or ""
        if request.method != "POST" or request.path != PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        # Sheds load beyond the bound at once, to protect memory and the event loop.
        if self.in_flight >= MAX_IN_FLIGHT:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        self.in_flight += 1
        try:
            envelope = await self._receive(request)
            body = await self._handler(envelope)
        except OlderIncarnation as error:
            self.counters.count_drop(Channel.STREAM, error.reason, source)
            return self._older_incarnation_response(error)
        except MessageRejected as error:
            self.counters.count_drop(Channel.STREAM, error.reason, source)
            return web.Response(status=HTTPStatus.FORBIDDEN)
        except msgspec.MsgspecError:
            self.counters.count_drop(Channel.STREAM, RejectReason.MALFORMED, source)
            return web.Response(status=HTTPStatus.FORBIDDEN)
        finally:
            self.in_flight -= 1
        if body is None:
            return web.Response(status=HTTPStatus.NO_CONTENT)
        reply = self._envelope(envelope.sender.name, envelope.request_id, envelope.kind, body)
        return web.Response(body=self._sealer.seal(reply))

    async def _receive(self, request: web.BaseRequest) -> Envelope:
        """Read and unseal the message of a request; raises MessageRejected."""
        data = await self._read_body(request)
        self.counters.add("streams.received")
        envelope = self._sealer.unseal(data)
        if envelope.origin and self._origin() and envelope.origin != self._origin():
            raise MessageRejected(RejectReason.ANOTHER_FLEET)
        return envelope

    @staticmethod
    async def _read_body(request: web.BaseRequest) -> bytes:
        """Read the body of a request; raises MessageRejected if it exceeds MAX_MESSAGE_SIZE."""
        if (request.content_length or 0) > MAX_MESSAGE_SIZE:
            raise MessageRejected(RejectReason.TOO_LONG)
        data = bytearray()
        async for chunk in request.content.iter_any():
            data += chunk
            if len(data) > MAX_MESSAGE_SIZE:
                raise MessageRejected(RejectReason.TOO_LONG)
        return bytes(data)

    def _older_incarnation_response(self, error: OlderIncarnation) -> web.Response:
        """Tell a head whose clock was set back its latest incarnation, so that it takes a higher one."""
        envelope = error.envelope
        latest = str(error.latest).encode()
        reply = self._envelope(envelope.sender.name, envelope.request_id, OLDER_INCARNATION, latest)
        return web.Response(status=HTTPStatus.CONFLICT, body=self._sealer.seal(reply))

    def _envelope(self, receiver: str, request_id: int, kind: str, body: bytes) -> Envelope:
        return Envelope(self._origin(), self._me, self._incarnation, receiver, request_id, kind, body)

    # -- requests -----------------------------------------------------------------------------------------
    async def request(self, name: str, kind: str, body: bytes, timeout: timedelta = REQUEST_TIMEOUT) -> Reply:
        """Send a request to a head and wait for its answer.

        Args:
            name: The head.
            kind: What is requested (`calls`, or a part's own kind).
            body: The request, encoded.
            timeout: The time limit of the whole exchange.

        Returns:
            The answer and its sender; an empty body if the head had no answer.

        Raises:
            PeerUnreachable: No usable answer came; the request may have been carried out.
        """
        address = self._addresses.get(name)
        if address is None or self._session is None or self._session.closed:
            raise PeerUnreachable(f"no address of {name} is known")
        self._last_request_id += 1
        sent = self._envelope(name, self._last_request_id, kind, body)
        try:
            status, data = await self._post(self._session, address, sent, timeout)
            if status == HTTPStatus.NO_CONTENT:
                return Reply(Voter(name, ""), b"")
            if status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
                raise PeerUnreachable(f"{name} answered {status}")
            answer = self._sealer.unseal(data)
        except MessageRejected as error:
            self.counters.count_drop(Channel.STREAM, error.reason, address)
            raise PeerUnreachable(f"{name} answered what is not believed") from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachable(f"{name}: {type(error).__name__}") from None
        self._check_answer(answer, sent, address)
        if status == HTTPStatus.CONFLICT:
            self._incarnation = max(self._incarnation, int(answer.body) + 1)
            raise PeerUnreachable(f"{name} has heard of a later process of this head")
        return Reply(answer.sender, answer.body)

    async def _post(
        self, session: aiohttp.ClientSession, address: str, envelope: Envelope, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Post an envelope; return the status and the body of the response."""
        data = self._sealer.seal(envelope)
        self.counters.add("streams.sent")
        self.counters.add("streams.bytes", len(data))
        async with (
            asyncio.timeout(timeout.total_seconds()),
            session.post(f"http://{address}{PATH}", data=data) as response,
        ):
            return response.status, await response.read()

    def _check_answer(self, answer: Envelope, sent: Envelope, address: str) -> None:
        """Reject an answer to another request, late or replayed; raises PeerUnreachable."""
        if answer.request_id != sent.request_id or answer.sender.name != sent.receiver:
            self.counters.count_drop(Channel.STREAM, RejectReason.ANOTHER_ANSWER, address)
            raise PeerUnreachable(f"{sent.receiver} answered another question")

    # -- messages of the agreement ------------------------------------------------------------------------
    def enqueue(self, receiver: Voter, message: AnyMessage) -> None:
        """Queue a message of the agreement for a head, without waiting for its delivery.

        Messages that are queued together are sent as one batch. The agreement itself sends a lost message
        again.
        """
        name = receiver.name
        queue = self._queues.setdefault(name, [])
        queue.append((receiver.identity, message))
        if len(queue) > MAX_QUEUED_MESSAGES:
            del queue[0]
            self.counters.add("streams.queue_full")
        sender = self._senders.get(name)
        if sender is None or sender.done():
            self._senders[name] = asyncio.get_running_loop().create_task(self._send_queue(name))

    async def _send_queue(self, name: str) -> None:
        """Send the messages queued for a head, in batches, until the queue is empty."""
        queue = self._queues[name]
        while queue:
            try:
                await self.request(name, calls.AGREE, take_batch(queue), BATCH_TIMEOUT)
            except PeerUnreachable as error:
                self.counters.add("streams.unreachable")
                logger.debug("heads: {error}", event="heads.unreachable", error=str(error))
                await asyncio.sleep(BATCH_RETRY_PAUSE.total_seconds())


def take_batch(queue: calls.Batch) -> bytes:
    """Remove the first messages of a queue that fit into one batch, at least one; return them encoded."""
    batch: list[msgspec.Raw] = []
    size = 0
    while queue and len(batch) < MAX_BATCH_MESSAGES:
        message = msgspec.msgpack.encode(queue[0])
        size += len(message)
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(msgspec.Raw(message))
        del queue[0]
    return msgspec.msgpack.encode(batch)
