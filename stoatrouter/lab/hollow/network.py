"""The network between hollow heads: delays by place, and partitions, where a head sends and receives.

Loopback has no delay of its own, so it is injected on the hollow side: a datagram is delayed before its
socket sends it, a request before it is posted and its response before it is handed on. What a real head sends
to a hollow one is delayed where the hollow head receives it. A partition drops datagrams, and lets requests
run out of time as connections to a silent machine do. What passes between two real heads is not seen here:
the relay between them delays it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from stoatrouter.lab.hollow.places import Place, one_way_seconds
from stoatrouter.membership.datagram import Kind
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.streams import CONNECT_TIMEOUT, REQUEST_TIMEOUT

if TYPE_CHECKING:
    from stoatrouter.peering.counters import MessageCounters
    from stoatrouter.peering.datagrams import Datagrams
    from stoatrouter.peering.streams import Reply, Streams

Address = tuple[str, int]
KIND_BITS = 0x0F  # of a datagram's first byte


@dataclass(slots=True)
class Partition:
    """Which heads cannot reach each other. Without sides nothing is cut."""

    sides: Mapping[str, int] = field(default_factory=dict)  # by head; a head not named is on side 0
    cut_pairs: frozenset[tuple[int, int]] = frozenset()  # the lower side first; none: all sides are cut

    def cuts(self, sender: str, receiver: str) -> bool:
        """Whether two heads are on sides that cannot reach each other."""
        if not self.sides:
            return False
        side, other = sorted((self.sides.get(sender, 0), self.sides.get(receiver, 0)))
        return side != other and (not self.cut_pairs or (side, other) in self.cut_pairs)


@dataclass(slots=True)
class Network:
    """All paths between heads, as one process sees them."""

    places: Mapping[str, Place]
    names: Mapping[str, str]  # of heads, by the address of their datagrams
    real: frozenset[str] = frozenset()  # heads that do not delay what they send
    partition: Partition = field(default_factory=Partition)
    dropped: int = 0  # messages that a partition dropped

    def one_way(self, sender: str, receiver: str) -> float | None:
        """Return the seconds from one head to another; None, counted as a drop, across a partition."""
        if self.partition.cuts(sender, receiver):
            self.dropped += 1
            return None
        here, there = self.places.get(sender), self.places.get(receiver)
        return 0.0 if here is None or there is None else one_way_seconds(here, there)

    def name_of(self, address: Address) -> str:
        """Return the head at a datagram address; empty where there is none."""
        return self.names.get(f"{address[0]}:{address[1]}", "")

    def attach_datagrams(self, name: str, datagrams: Datagrams) -> None:
        """Put this network before and behind a head's open datagram socket, and count what passes by kind."""
        transport, receive, counters = datagrams.transport, datagrams.datagram_received, datagrams.counters
        assert transport is not None
        datagrams.transport = DelayedTransport(transport, self, name, counters)  # type: ignore[assignment]

        def receive_delayed(data: bytes, addr: Address) -> None:
            counters.add(f"hollow.heard.{kind_of(data)}")
            sender = self.name_of(addr)
            if sender not in self.real:
                receive(data, addr)  # delayed by its sender already
                return
            seconds = self.one_way(sender, name)
            if seconds is not None:
                call_later(seconds, receive, data, addr)

        datagrams.datagram_received = receive_delayed  # type: ignore[method-assign]

    def attach_streams(self, name: str, streams: Streams) -> None:
        """Put this network between a head and its peers, and count its requests by kind."""
        delayed = DelayedRequests(streams.request, self, name, streams.counters)
        streams.request = delayed.request  # type: ignore[method-assign]


def kind_of(data: bytes) -> str:
    """Return the kind of a datagram, from its first byte (membership/datagram.py)."""
    kind = data[0] & KIND_BITS if data else len(Kind)
    return Kind(kind).name.lower() if kind < len(Kind) else "unknown"


def reason_of(error: PeerUnreachable) -> str:
    """Return the last word of an error's text: a status, or the error of the connection."""
    return str(error).rpartition(" ")[2]


def call_later(seconds: float, function: Callable[..., None], *arguments: Any) -> None:
    """Call a function after a delay, and at once where there is none."""
    if seconds > 0:
        asyncio.get_running_loop().call_later(seconds, function, *arguments)
    else:
        function(*arguments)


class DelayedRequests:
    """The requests of one head to its peers, delayed on the way there and back."""

    def __init__(
        self, send: Callable[..., Awaitable[Reply]], network: Network, name: str, counters: MessageCounters
    ) -> None:
        """Delay what `send`, the `request` of a head's streams, sends and returns."""
        self.send = send
        self.network = network
        self.name = name
        self.counters = counters

    async def request(self, name: str, kind: str, body: bytes, timeout: timedelta = REQUEST_TIMEOUT) -> Reply:
        """Ask a peer, as `Streams.request` does, and count the request by kind and peer.

        Raises:
            PeerUnreachable: No answer came, or a partition is between the two.
        """
        self.counters.add(f"hollow.asked.{kind}")
        self.counters.add(f"hollow.asked_of.{name}")
        try:
            reply = await self._request_delayed(name, kind, body, timeout)
        except PeerUnreachable as error:
            self.counters.add(f"hollow.unanswered.{kind}.{reason_of(error)}")
            raise
        self.counters.add("hollow.answered_bytes", len(reply.body))
        return reply

    async def _request_delayed(self, name: str, kind: str, body: bytes, timeout: timedelta) -> Reply:
        there = self.network.one_way(self.name, name)
        if there is None:
            await asyncio.sleep(min(timeout, CONNECT_TIMEOUT).total_seconds())
            raise PeerUnreachable(f"{name}: cut off by the partition")
        if there:
            await asyncio.sleep(there)
        reply = await self.send(name, kind, body, timeout)
        back = self.network.one_way(name, self.name)
        if back is None:
            raise PeerUnreachable(f"{name}: cut off by the partition")
        if back:
            await asyncio.sleep(back)
        return reply


class DelayedTransport:
    """A datagram transport that delays what is sent by the time that the path takes."""

    def __init__(
        self, transport: asyncio.DatagramTransport, network: Network, name: str, counters: MessageCounters
    ) -> None:
        """Delay what a head sends through its open transport."""
        self.transport = transport
        self.network = network
        self.name = name
        self.counters = counters

    def sendto(self, data: bytes, address: Address) -> None:
        """Send to an address once the path's time is over; never across a partition."""
        self.counters.add(f"hollow.said.{kind_of(data)}")
        seconds = self.network.one_way(self.name, self.network.name_of(address))
        if seconds is not None:
            call_later(seconds, self._send, data, address)

    def _send(self, data: bytes, address: Address) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, address)

    def is_closing(self) -> bool:
        """Whether nothing is sent any more."""
        return self.transport.is_closing()

    def close(self) -> None:
        """Close the socket; what is still delayed is not sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close the socket at once."""
        self.transport.abort()
