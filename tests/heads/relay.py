"""A network relay with a link for each ordered pair of heads, which injects faults between processes.

A head's settings name addresses of the relay instead of other heads. Traffic from A to B passes the link (A,
B), which forwards, cuts, delays, drops, repeats or reorders it, as the test asks. Datagrams reach B from the
address that B's settings have for A, as on the platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

HOST = "127.0.0.1"


@dataclass
class Link:
    """The present faults of one direction between two heads."""

    cut: bool = False
    loss: float = 0.0  # probability, of datagrams
    duplication: float = 0.0  # probability, of datagrams
    delay: float = 0.0  # seconds at most; each message draws its own
    forwarded: int = 0  # datagrams and pieces of streams


class DatagramListener(asyncio.DatagramProtocol):
    """The relay's socket to which A sends datagrams for B."""

    def __init__(self, relay: Relay, a: str, b: str) -> None:
        self.relay = relay
        self.a = a
        self.b = b

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.relay.forward_datagram(self.a, self.b, data)


@dataclass
class Relay:
    """All links between some heads.

    `addresses` has where each head really listens: host, datagram port and stream port.
    """

    names: list[str]
    seed: int = 1
    addresses: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    listeners: dict[tuple[str, str], DatagramListener] = field(default_factory=dict)
    streams: dict[tuple[str, str], asyncio.Server] = field(default_factory=dict)
    open_streams: dict[tuple[str, str], set[asyncio.StreamWriter]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        self.draws = random.Random(f"relay/{self.seed}")
        loop = asyncio.get_running_loop()
        for a in self.names:
            for b in self.names:
                if a == b:
                    continue
                self.links[a, b] = Link()
                self.open_streams[a, b] = set()
                _, listener = await loop.create_datagram_endpoint(
                    lambda a=a, b=b: DatagramListener(self, a, b), local_addr=(HOST, 0)
                )
                self.listeners[a, b] = listener
                self.streams[a, b] = await asyncio.start_server(
                    lambda r, w, a=a, b=b: self.handle_stream(a, b, r, w), HOST, 0
                )

    def datagram_address(self, a: str, b: str) -> str:
        """Return the address of B's datagrams for the settings of A."""
        return f"{HOST}:{self.listeners[a, b].transport.get_extra_info('sockname')[1]}"

    def stream_address(self, a: str, b: str) -> str:
        return f"{HOST}:{self.streams[a, b].sockets[0].getsockname()[1]}"

    # -- faults ------------------------------------------------------------------------------------------
    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Forward nothing from A to B any more; open streams stay open and silent."""
        self.links[a, b].cut = True
        if both:
            self.links[b, a].cut = True

    def split(self, *sides: list[str]) -> None:
        for i, side in enumerate(sides):
            for other in sides[i + 1 :]:
                for a in side:
                    for b in other:
                        self.cut(a, b)

    def heal(self) -> None:
        """Forward everything again.

        Streams of a cut link are reset, as connections of a machine that was cut off are.
        """
        for pair, link in self.links.items():
            if link.cut:
                for writer in list(self.open_streams[pair]):
                    writer.transport.abort()
                for writer in list(self.open_streams[pair[1], pair[0]]):
                    writer.transport.abort()
            self.links[pair] = Link(forwarded=link.forwarded)

    def set_all_links(self, **how: float) -> None:
        for link in self.links.values():
            for name, value in how.items():
                setattr(link, name, value)

    # -- forwarding --------------------------------------------------------------------------------------
    def forward_datagram(self, a: str, b: str, data: bytes) -> None:
        link = self.links[a, b]
        if link.cut or b not in self.addresses or self.draws.random() < link.loss:
            return
        for _ in range(1 + (self.draws.random() < link.duplication)):
            delay = self.draws.random() * link.delay
            asyncio.get_running_loop().call_later(delay, self.deliver, a, b, data)

    def deliver(self, a: str, b: str, data: bytes) -> None:
        """Send a datagram to B from the address that B's settings have for A."""
        listener = self.listeners.get((b, a))
        if listener is not None and not listener.transport.is_closing() and not self.links[a, b].cut:
            self.links[a, b].forwarded += 1
            listener.transport.sendto(data, self.addresses[b][:2])

    async def handle_stream(
        self, a: str, b: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection from A to B; a cut leaves it open and silent."""
        self.open_streams[a, b].add(writer)
        outgoing: asyncio.StreamWriter | None = None
        try:
            while self.links[a, b].cut or self.links[b, a].cut:
                await asyncio.sleep(0.02)
            reply_reader, outgoing = await asyncio.open_connection(self.addresses[b][0], self.addresses[b][2])
            self.open_streams[a, b].add(outgoing)
            upstream_task = asyncio.ensure_future(self.forward_stream(a, b, reader, outgoing))
            downstream_task = asyncio.ensure_future(self.forward_stream(b, a, reply_reader, writer))
            await asyncio.wait({upstream_task, downstream_task}, return_when=asyncio.FIRST_COMPLETED)
            for task in (upstream_task, downstream_task):
                task.cancel()
            await asyncio.gather(upstream_task, downstream_task, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass  # the test has ended; a cancelled handler would be logged as an error
        finally:
            for each in (writer, outgoing):
                if each is not None:
                    self.open_streams[a, b].discard(each)
                    each.transport.abort()

    async def forward_stream(
        self, a: str, b: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                link = self.links[a, b]
                if link.delay:
                    await asyncio.sleep(self.draws.random() * link.delay)
                while self.links[a, b].cut:
                    await asyncio.sleep(0.02)
                self.links[a, b].forwarded += 1
                writer.write(data)
                await writer.drain()

    async def close(self) -> None:
        for server in self.streams.values():
            server.close()
        for writers in self.open_streams.values():
            for writer in list(writers):
                writer.transport.abort()
        for listener in self.listeners.values():
            listener.transport.close()
        await asyncio.sleep(0)
