"""Network emulation between hollow heads: delays that depend on places, and partitions.

Loopback has no noticeable delay, so delays are injected in the hollow heads: a datagram is delayed before
its socket sends it, a request before it is sent and its response before it is returned. Datagrams from a real
head to a hollow one are delayed at the receiver. A partition drops datagrams and lets requests time out like
connections to an unreachable machine. Traffic between two real heads does not pass through this module: a
relay between them delays it.
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
KIND_BITS = 0x0F  # bits of the first byte of a datagram


@dataclass(slots=True)
class Partition:
    """Which heads cannot reach each other. Without sides there is no partition."""

    sides: Mapping[str, int] = field(default_factory=dict)  # by head; a head not named is on side 0
    cut_pairs: frozenset[tuple[int, int]] = frozenset()  # lower side first; empty: all sides are cut

    def cuts(self, sender: str, receiver: str) -> bool:
        """Whether the partition separates two heads."""
        if not self.sides:
            return False
        side, other = sorted((self.sides.get(sender, 0), self.sides.get(receiver, 0)))
        return side != other and (not self.cut_pairs or (side, other) in self.cut_pairs)


@dataclass(slots=True)
class Network:
    """The emulated network between all heads, as used by one process."""

    places: Mapping[str, Place]
    names: Mapping[str, str]  # names of heads by datagram address
    real: frozenset[str] = frozenset()  # real heads, which do not delay what they send
    partition: Partition = field(default_factory=Partition)
    dropped: int = 0  # number of messages dropped by partitions

    def one_way(self, sender: str, receiver: str) -> float | None:
        """Return the one-way delay in seconds; None, and counted as dropped, across a partition."""
        if self.partition.cuts(sender, receiver):
            self.dropped += 1
            return None
        origin, target = self.places.get(sender), self.places.get(receiver)
        return 0.0 if origin is None or target is None else one_way_seconds(origin, target)

    def name_of(self, address: Address) -> str:
        """Return the name of the head at a datagram address; empty if there is none."""
        return self.names.get(f"{address[0]}:{address[1]}", "")

    def attach_datagrams(self, name: str, datagrams: Datagrams) -> None:
        """Insert this network at the open datagram socket of a head, and count datagrams by kind."""
        transport, receive, counters = datagrams.transport, datagrams.datagram_received, datagrams.counters
        assert transport is not None
        datagrams.transport = DelayedTransport(transport, self, name, counters)  # type: ignore[assignment]

        def receive_delayed(data: bytes, addr: Address) -> None:
            counters.add(f"hollow.heard.{kind_of(data)}")
            sender = self.name_of(addr)
            if sender not in self.real:
                receive(data, addr)  # already delayed by its sender
                return
            seconds = self.one_way(sender, name)
            if seconds is not None:
                call_later(seconds, receive, data, addr)

        datagrams.datagram_received = receive_delayed  # type: ignore[method-assign]

    def attach_streams(self, name: str, streams: Streams) -> None:
        """Insert this network between a head and its peers, and count its requests by kind."""
        delayed = DelayedRequests(streams.request, self, name, streams.counters)
        streams.request = delayed.request  # type: ignore[method-assign]


def kind_of(data: bytes) -> str:
    """Return the kind of a datagram from its first byte (membership/datagram.py)."""
    kind = data[0] & KIND_BITS if data else len(Kind)
    return Kind(kind).name.lower() if kind < len(Kind) else "unknown"


def reason_of(error: PeerUnreachable) -> str:
    """Return the last word of the message of an error: a status, or the connection error."""
    return str(error).rpartition(" ")[2]


def call_later(seconds: float, function: Callable[..., None], *arguments: Any) -> None:
    """Call a function after a delay, or immediately if the delay is zero."""
    if seconds > 0:
        asyncio.get_running_loop().call_later(seconds, function, *arguments)
    else:
        function(*arguments)


class DelayedRequests:
    """The requests of one head to its peers, delayed in both directions."""

    def __init__(
        self, send: Callable[..., Awaitable[Reply]], network: Network, name: str, counters: MessageCounters
    ) -> None:
        """Wrap `send`, which is the `request` method of the streams of a head."""
        self.send = send
        self.network = network
        self.name = name
        self.counters = counters

    async def request(self, name: str, kind: str, body: bytes, timeout: timedelta = REQUEST_TIMEOUT) -> Reply:
        """Send a request to a peer, as `Streams.request` does, and count it by kind and by peer.

        Raises:
            PeerUnreachable: There was no response, or a partition separates the two heads.
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
        request_delay = self.network.one_way(self.name, name)
        if request_delay is None:
            await asyncio.sleep(min(timeout, CONNECT_TIMEOUT).total_seconds())
            raise PeerUnreachable(f"{name}: cut off by the partition")
        if request_delay:
            await asyncio.sleep(request_delay)
        reply = await self.send(name, kind, body, timeout)
        response_delay = self.network.one_way(name, self.name)
        if response_delay is None:
            raise PeerUnreachable(f"{name}: cut off by the partition")
        if response_delay:
            await asyncio.sleep(response_delay)
        return reply


class DelayedTransport:
    """A datagram transport that delays outgoing datagrams by the one-way delay to their receiver."""

    def __init__(
        self, transport: asyncio.DatagramTransport, network: Network, name: str, counters: MessageCounters
    ) -> None:
        """Wrap the open transport of a head."""
        self.transport = transport
        self.network = network
        self.name = name
        self.counters = counters

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram after the one-way delay; drop it across a partition."""
        self.counters.add(f"hollow.said.{kind_of(data)}")
        seconds = self.network.one_way(self.name, self.network.name_of(address))
        if seconds is not None:
            call_later(seconds, self._send, data, address)

    def _send(self, data: bytes, address: Address) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, address)

    def is_closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self.transport.is_closing()

    def close(self) -> None:
        """Close the socket; datagrams that are still delayed are dropped."""
        self.transport.close()

    def abort(self) -> None:
        """Close the socket immediately."""
        self.transport.abort()
