"""What stands between heads in the tests of several processes: a relay for each ordered pair of them.

A head's settings name relays instead of other heads. What goes from A to B passes the relay of (A, B), which
forwards it, cuts it off, delays, drops, repeats or reorders it, as the story says. Datagrams reach B from the
address that B's settings have for A, as the platform has it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

HOST = "127.0.0.1"


@dataclass
class Link:
    """How one direction between two heads is at the moment."""

    cut: bool = False
    loss: float = 0.0  # of datagrams
    twice: float = 0.0
    delay: float = 0.0  # seconds, up to
    passed: int = 0


class DatagramEar(asyncio.DatagramProtocol):
    """The relay's socket that A sends to, for B."""

    def __init__(self, relay: Relay, a: str, b: str) -> None:
        self.relay, self.a, self.b = relay, a, b

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.relay.datagram(self.a, self.b, data)


@dataclass
class Relay:
    """All ways between some heads. `where` has where each really listens: host, port of datagrams, of
    streams."""

    names: list[str]
    seed: int = 1
    addresses: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    ears: dict[tuple[str, str], DatagramEar] = field(default_factory=dict)
    streams: dict[tuple[str, str], asyncio.Server] = field(default_factory=dict)
    open: dict[tuple[str, str], set[asyncio.StreamWriter]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        self.draws = random.Random(f"relay/{self.seed}")
        loop = asyncio.get_running_loop()
        for a in self.names:
            for b in self.names:
                if a == b:
                    continue
                self.links[a, b], self.open[a, b] = Link(), set()
                _, ear = await loop.create_datagram_endpoint(
                    lambda a=a, b=b: DatagramEar(self, a, b), local_addr=(HOST, 0)
                )
                self.ears[a, b] = ear
                self.streams[a, b] = await asyncio.start_server(
                    lambda r, w, a=a, b=b: self.stream(a, b, r, w), HOST, 0
                )

    def datagram_address(self, a: str, b: str) -> str:
        """Where A's settings say that B's datagrams are."""
        return f"{HOST}:{self.ears[a, b].transport.get_extra_info('sockname')[1]}"

    def stream_address(self, a: str, b: str) -> str:
        return f"{HOST}:{self.streams[a, b].sockets[0].getsockname()[1]}"

    # -- faults -------------------------------------------------------------------------------------------
    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Nothing passes from A to B any more; open streams stay open and silent."""
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
        """All passes again. Streams that stood still are reset, as connections of a cut-off machine are."""
        for pair, way in self.links.items():
            if way.cut:
                for writer in list(self.open[pair]):
                    writer.transport.abort()
                for writer in list(self.open[pair[1], pair[0]]):
                    writer.transport.abort()
            self.links[pair] = Link(passed=way.passed)

    def all_ways(self, **how: float) -> None:
        for way in self.links.values():
            for name, value in how.items():
                setattr(way, name, value)

    # -- passing on ---------------------------------------------------------------------------------------
    def datagram(self, a: str, b: str, data: bytes) -> None:
        way = self.links[a, b]
        if way.cut or b not in self.addresses or self.draws.random() < way.loss:
            return
        for _ in range(1 + (self.draws.random() < way.twice)):
            delay = self.draws.random() * way.delay
            asyncio.get_running_loop().call_later(delay, self.deliver, a, b, data)

    def deliver(self, a: str, b: str, data: bytes) -> None:
        """To B, from the address that B has for A."""
        ear = self.ears.get((b, a))
        if ear is not None and not ear.transport.is_closing() and not self.links[a, b].cut:
            self.links[a, b].passed += 1
            ear.transport.sendto(data, self.addresses[b][:2])

    async def stream(
        self, a: str, b: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One connection from A to B; a cut lets it stand open and silent."""
        self.open[a, b].add(writer)
        onward: asyncio.StreamWriter | None = None
        try:
            while self.links[a, b].cut or self.links[b, a].cut:
                await asyncio.sleep(0.02)
            back, onward = await asyncio.open_connection(self.addresses[b][0], self.addresses[b][2])
            self.open[a, b].add(onward)
            there = asyncio.ensure_future(self.pump(a, b, reader, onward))
            here = asyncio.ensure_future(self.pump(b, a, back, writer))
            await asyncio.wait({there, here}, return_when=asyncio.FIRST_COMPLETED)
            for task in (there, here):
                task.cancel()
            await asyncio.gather(there, here, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass  # the story has ended; a cancelled handler would be logged as an error
        finally:
            for each in (writer, onward):
                if each is not None:
                    self.open[a, b].discard(each)
                    each.transport.abort()

    async def pump(self, a: str, b: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                way = self.links[a, b]
                if way.delay:
                    await asyncio.sleep(self.draws.random() * way.delay)
                while self.links[a, b].cut:
                    await asyncio.sleep(0.02)
                self.links[a, b].passed += 1
                writer.write(data)
                await writer.drain()

    async def close(self) -> None:
        for server in self.streams.values():
            server.close()
        for writers in self.open.values():
            for writer in list(writers):
                writer.transport.abort()
        for ear in self.ears.values():
            ear.transport.close()
        await asyncio.sleep(0)
