"""Peers of one real head, simulated at the wire: they answer its datagrams, probe it and pass news on.

In a fleet each head probes one other a period, so each is probed once a period on average, however many there
are. The simulated peers probe the head at that rate together, and answer for each other at once.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from stoatrouter.membership.datagram import Datagram, Kind, decode, encode
from stoatrouter.membership.detector_records import Timing
from stoatrouter.membership.roster import MemberUpdate, Status

HOST = "127.0.0.1"
PERIOD_S = Timing().period.total_seconds()
ACQUAINT_RATE, ACQUAINT_ROUNDS = 400, 2  # probes a second at the start: the head learns the addresses by them


@dataclass
class SimulatedPeers:
    """All other heads of a fleet, as one head hears them."""

    count: int
    secret: bytes
    fleet: str
    seed: int = 1
    news_rate: float = 0.0  # news a second of heads that started anew
    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0
    number: int = 0
    sockets: list[PeerSocket] = field(default_factory=list)
    incarnations: list[int] = field(default_factory=list)
    news: list[MemberUpdate] = field(default_factory=list)  # still to be told
    head: tuple[str, int] | None = None  # where it was last heard from

    def __post_init__(self) -> None:
        self.draws = random.Random(f"peers/{self.seed}/{self.count}")
        self.incarnations = [1] * self.count

    async def start(self) -> tuple[str, ...]:
        """Open a socket for each; their addresses."""
        loop = asyncio.get_running_loop()
        for index in range(self.count):
            _, made = await loop.create_datagram_endpoint(
                lambda index=index: PeerSocket(self, index), local_addr=(HOST, 0)
            )
            self.sockets.append(made)
        return tuple(f"{HOST}:{each.port}" for each in self.sockets)

    def name(self, index: int) -> str:
        return f"p{index:04d}"

    async def acquaint(self) -> None:
        """Let each probe the head a few times, fast: what a fleet's start takes minutes for."""
        for _ in range(ACQUAINT_ROUNDS):
            for index in range(self.count):
                self.probe(index)
                await asyncio.sleep(1 / ACQUAINT_RATE)

    async def quiet(self, rounds: int) -> None:
        """Probe on, fast, until the head has passed on the news of the start."""
        for _ in range(rounds):
            self.probe(self.draws.randrange(self.count))
            await asyncio.sleep(1 / ACQUAINT_RATE)

    async def live(self) -> None:
        """Probe the head once a period, for ever."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.probe(self.draws.randrange(self.count))

    async def restart_some(self) -> None:
        """Make news of heads that started anew, for ever."""
        while self.news_rate:
            await asyncio.sleep(1 / self.news_rate)
            index = self.draws.randrange(self.count)
            self.incarnations[index] += 1
            self.news.append(MemberUpdate(self.name(index), self.incarnations[index], Status.ALIVE))

    def probe(self, index: int) -> None:
        self.number += 1
        self.send(index, Kind.PING, self.number)

    def send(self, index: int, kind: Kind, number: int, about: str = "") -> None:
        assert self.head is not None
        news, self.news = tuple(self.news[:8]), self.news[8:]
        message = Datagram(kind, number, self.name(index), self.incarnations[index], about, news)
        data = encode(message, self.secret, self.fleet)
        self.sent += 1
        self.sent_bytes += len(data)
        self.sockets[index].transport.sendto(data, self.head)

    def heard(self, index: int, data: bytes) -> None:
        """Answer as a head does; a probe in another's place is answered as if that one had."""
        self.received += 1
        self.received_bytes += len(data)
        message = decode(data, self.secret, self.fleet)
        if message.kind is Kind.PING:
            self.send(index, Kind.ACK, message.number)
        elif message.kind is Kind.PING_FOR:
            self.send(index, Kind.ACK, message.number, message.target)

    def close(self) -> None:
        for each in self.sockets:
            each.transport.close()


class PeerSocket(asyncio.DatagramProtocol):
    """Where one peer is reached."""

    def __init__(self, peers: SimulatedPeers, index: int) -> None:
        self.peers, self.index = peers, index

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.DatagramTransport = transport  # type: ignore[assignment]

    @property
    def port(self) -> int:
        return self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.peers.head = addr
        self.peers.heard(self.index, data)
