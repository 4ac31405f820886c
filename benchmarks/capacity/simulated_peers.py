"""Simulated peers of one real head: they answer its datagrams, probe it and gossip membership updates.

In a fleet each head probes one other per period, so each is probed once per period on average, whatever the
size of the fleet. The simulated peers together probe the head at that rate, and answer indirect probes for
each other at once.
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
INTRODUCTION_RATE = 400  # probes a second at the start, from which the head learns the addresses
INTRODUCTION_ROUNDS = 2


@dataclass
class SimulatedPeers:
    """All peers of one head, as it sees them over the network."""

    count: int
    secret: bytes
    fleet: str
    seed: int = 1
    restart_rate: float = 0.0  # simulated restarts of peers a second
    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0
    number: int = 0
    sockets: list[PeerSocket] = field(default_factory=list)
    incarnations: list[int] = field(default_factory=list)
    updates: list[MemberUpdate] = field(default_factory=list)  # still to be sent
    head: tuple[str, int] | None = None  # address from which the head last sent a datagram

    def __post_init__(self) -> None:
        self.rng = random.Random(f"peers/{self.seed}/{self.count}")
        self.incarnations = [1] * self.count

    async def start(self) -> tuple[str, ...]:
        """Open a socket for each peer; return their addresses."""
        loop = asyncio.get_running_loop()
        for index in range(self.count):
            _, protocol = await loop.create_datagram_endpoint(
                lambda index=index: PeerSocket(self, index), local_addr=(HOST, 0)
            )
            self.sockets.append(protocol)
        return tuple(f"{HOST}:{each.port}" for each in self.sockets)

    def name(self, index: int) -> str:
        return f"p{index:04d}"

    async def introduce(self) -> None:
        """Let each peer probe the head at a high rate; in a fleet this introduction takes minutes."""
        for _ in range(INTRODUCTION_ROUNDS):
            for index in range(self.count):
                self.probe(index)
                await asyncio.sleep(1 / INTRODUCTION_RATE)

    async def drain_updates(self, rounds: int) -> None:
        """Keep probing at a high rate so that the head passes on the updates of the start."""
        for _ in range(rounds):
            self.probe(self.rng.randrange(self.count))
            await asyncio.sleep(1 / INTRODUCTION_RATE)

    async def probe_periodically(self) -> None:
        """Probe the head once per period until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.probe(self.rng.randrange(self.count))

    async def restart_periodically(self) -> None:
        """Announce restarts of random peers until cancelled."""
        while self.restart_rate:
            await asyncio.sleep(1 / self.restart_rate)
            index = self.rng.randrange(self.count)
            self.incarnations[index] += 1
            self.updates.append(MemberUpdate(self.name(index), self.incarnations[index], Status.ALIVE))

    def probe(self, index: int) -> None:
        self.number += 1
        self.send(index, Kind.PING, self.number)

    def send(self, index: int, kind: Kind, number: int, about: str = "") -> None:
        assert self.head is not None
        updates, self.updates = tuple(self.updates[:8]), self.updates[8:]
        message = Datagram(kind, number, self.name(index), self.incarnations[index], about, updates)
        data = encode(message, self.secret, self.fleet)
        self.sent += 1
        self.sent_bytes += len(data)
        self.sockets[index].transport.sendto(data, self.head)

    def handle_datagram(self, index: int, data: bytes) -> None:
        """Answer as a head does; an indirect probe is answered as if its target had answered."""
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
    """Datagram socket of one peer."""

    def __init__(self, peers: SimulatedPeers, index: int) -> None:
        self.peers, self.index = peers, index

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.DatagramTransport = transport  # type: ignore[assignment]

    @property
    def port(self) -> int:
        return self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.peers.head = addr
        self.peers.handle_datagram(self.index, data)
