"""Streams between heads: HTTP over aiohttp, one sealed message each way. Decides nothing.

`POST /heads` with a sealed message answers 200 with one, or 204 where there is nothing to say; what is not
believed is told 403 and nothing else.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from loguru import logger

from stoatrouter.agreement.records import Voter
from stoatrouter.net.listener import ListeningSocket
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.envelope import LARGEST, Envelope, EnvelopeSealer, OlderIncarnation
from stoatrouter.peering.errors import MessageRejected, PeerUnreachable

PATH = "/heads"
MOST_IN_FLIGHT = 256  # questions answered at once; beyond, 503
MOST_QUEUED = 256  # messages that wait for one head; beyond, the oldest go: all of them are sent again
MOST_IN_BATCH = 32
CONNECT_TIMEOUT = timedelta(milliseconds=500)
REQUEST_TIMEOUT = timedelta(seconds=3)

Handler = Callable[[Envelope], Awaitable[bytes | None]]


class Streams:
    """What a head says to others over streams, and what it hears."""

    def __init__(
        self,
        sealer: EnvelopeSealer,
        me: Voter,
        process: int,
        addresses: dict[str, str],
        counters: MessageCounters,
        handler: Handler,
        origin: Callable[[], str],
    ) -> None:
        self.sealer, self.me, self.process = sealer, me, process
        self.addresses, self.counters, self.handler, self.origin = addresses, counters, handler, origin
        self.number = self.in_flight = 0
        self.session: aiohttp.ClientSession | None = None
        self.server: web.Server | None = None
        self.sockets: asyncio.Server | None = None
        self.queues: dict[str, list[Any]] = {}
        self.senders: dict[str, asyncio.Task[None]] = {}

    async def start(self, listen: tuple[str, int] | None) -> None:
        """Listen where this head is reached, and open connections as they are needed."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=8),
            timeout=aiohttp.ClientTimeout(
                total=REQUEST_TIMEOUT.total_seconds(), connect=CONNECT_TIMEOUT.total_seconds()
            ),
        )
        if listen is not None:
            self.server = web.Server(self.take, access_log=None, handler_cancellation=True)
            listening = ListeningSocket()
            listening.setsockopt(1, 2, 1)  # SOL_SOCKET, SO_REUSEADDR
            listening.bind(listen)
            listening.setblocking(False)
            self.sockets = await asyncio.get_running_loop().create_server(self.server, sock=listening)

    async def close(self) -> None:
        """Stop sending and listening."""
        for task in self.senders.values():
            task.cancel()
        await asyncio.gather(*self.senders.values(), return_exceptions=True)
        if self.sockets is not None:
            self.sockets.close()
        if self.server is not None:
            await self.server.shutdown(0.1)
        if self.session is not None:
            await self.session.close()

    # -- hearing ------------------------------------------------------------------------------------------
    async def take(self, request: web.BaseRequest) -> web.StreamResponse:
        """One message from another head."""
        where = request.remote or ""
        if request.method != "POST" or request.path != PATH:
            return web.Response(status=404)
        # Guards memory and the loop: heads that ask too much at once are told so.
        if self.in_flight >= MOST_IN_FLIGHT:
            return web.Response(status=503)
        self.in_flight += 1
        try:
            data = await self.read(request)
            self.counters.add("streams.received")
            envelope = self.sealer.unseal(data)
            if envelope.origin and self.origin() and envelope.origin != self.origin():
                raise MessageRejected("another_fleet")
            answer = await self.handler(envelope)
        except OlderIncarnation as error:
            # a head whose clock went back is told how far others have heard of it, and goes beyond
            self.counters.drop("stream", "older_process", where)
            latest = str(error.latest).encode()
            told = self.envelope(error.envelope.sender.name, error.envelope.number, "older", latest)
            return web.Response(status=409, body=self.sealer.seal(told))
        except (MessageRejected, msgspec.MsgspecError) as error:
            self.counters.drop(
                "stream", str(error) if isinstance(error, MessageRejected) else "malformed", where
            )
            return web.Response(status=403)
        finally:
            self.in_flight -= 1
        if answer is None:
            return web.Response(status=204)
        return web.Response(
            body=self.sealer.seal(self.envelope(envelope.sender.name, envelope.number, envelope.kind, answer))
        )

    @staticmethod
    async def read(request: web.BaseRequest) -> bytes:
        """A message's bytes; raises MessageRejected where they are too many."""
        if (request.content_length or 0) > LARGEST:
            raise MessageRejected("too_long")
        data = bytearray()
        async for piece in request.content.iter_any():
            data += piece
            if len(data) > LARGEST:
                raise MessageRejected("too_long")
        return bytes(data)

    def envelope(self, to: str, number: int, kind: str, body: bytes) -> Envelope:
        """A message of this head."""
        return Envelope(self.origin(), self.me, self.process, to, number, kind, body)

    # -- saying -------------------------------------------------------------------------------------------
    async def request(
        self, name: str, kind: str, body: bytes, within: timedelta = REQUEST_TIMEOUT
    ) -> tuple[Voter, bytes]:
        """Ask a head, and who answered with what; raises PeerUnreachable."""
        address = self.addresses.get(name)
        if address is None or self.session is None or self.session.closed:
            raise PeerUnreachable(f"no address of {name} is known")
        self.number += 1
        number = self.number
        data = self.sealer.seal(self.envelope(name, number, kind, body))
        self.counters.add("streams.sent")
        self.counters.add("streams.bytes", len(data))
        try:
            async with (
                asyncio.timeout(within.total_seconds()),
                self.session.post(f"http://{address}{PATH}", data=data) as response,
            ):
                said = await response.read()
                if response.status == 204:
                    return Voter(name, ""), b""
                if response.status not in (200, 409):
                    raise PeerUnreachable(f"{name} answered {response.status}")
            envelope = self.sealer.unseal(said)
        except MessageRejected as error:
            self.counters.drop("stream", str(error), address)
            raise PeerUnreachable(f"{name} answered what is not believed") from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachable(f"{name}: {type(error).__name__}") from None
        # Guards against an answer to another question, late or sent again.
        if envelope.number != number or envelope.sender.name != name:
            self.counters.drop("stream", "another_answer", address)
            raise PeerUnreachable(f"{name} answered another question")
        if response.status == 409:
            self.process = max(self.process, int(envelope.body) + 1)
            raise PeerUnreachable(f"{name} has heard of a later process of this head")
        return envelope.sender, envelope.body

    def enqueue(self, name: str, message: Any) -> None:
        """Queue a message of the agreement for a head; several go together. None of them is ever waited
        for.
        """
        queue = self.queues.setdefault(name, [])
        queue.append(message)
        if len(queue) > MOST_QUEUED:
            del queue[0]
            self.counters.add("streams.queue_full")
        if name not in self.senders or self.senders[name].done():
            self.senders[name] = asyncio.get_running_loop().create_task(self.send_queue(name))

    async def send_queue(self, name: str) -> None:
        """Send what is queued for a head, in batches."""
        queue = self.queues[name]
        while queue:
            batch, queue[:] = queue[:MOST_IN_BATCH], queue[MOST_IN_BATCH:]
            try:
                await self.request(name, "agree", msgspec.msgpack.encode(batch), timedelta(seconds=1))
            except PeerUnreachable as error:
                self.counters.add("streams.unreachable")
                logger.debug("heads: {error}", event="heads.unreachable", error=str(error))
                await asyncio.sleep(0.02)
