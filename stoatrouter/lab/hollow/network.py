"""The network between hollow heads: delays by place, and partitions, put in where a head sends and hears.

Loopback has no delay of its own, so it is injected on the hollow side: a datagram is held before its socket
sends it, a question before it is posted and its answer before it is handed on. What a real head sends to a
hollow one is held where the hollow head hears it. A partition drops datagrams, and lets questions run out of
time as connections to a silent machine do. What passes between two real heads is not seen here: the relay
between them delays it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
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


@dataclass(slots=True)
class Network:
    """All ways between heads, as one process sees them."""

    places: Mapping[str, Place]
    names: Mapping[str, str]  # of heads, by the address of their datagrams
    real: frozenset[str] = frozenset()  # heads that do not hold back what they send
    sides: Mapping[str, int] = field(default_factory=dict)  # of a partition; a head not named is on side 0
    apart: frozenset[tuple[int, int]] = frozenset()  # pairs of sides, the lower first; none: all are apart
    cut_off: int = 0  # messages that a partition dropped

    def one_way(self, sender: str, receiver: str) -> float | None:
        """Seconds from one head to another; None where a partition stands between them."""
        if self.sides and self._parted(self.sides.get(sender, 0), self.sides.get(receiver, 0)):
            self.cut_off += 1
            return None
        here, there = self.places.get(sender), self.places.get(receiver)
        return 0.0 if here is None or there is None else one_way_seconds(here, there)

    def _parted(self, side: int, other: int) -> bool:
        if side == other:
            return False
        return not self.apart or (min(side, other), max(side, other)) in self.apart

    def attach_datagrams(self, name: str, datagrams: Datagrams) -> None:
        """Put this network before and behind a head's datagram socket, which is open already, and count what
        passes by kind.
        """
        transport, receive, counts = datagrams.transport, datagrams.datagram_received, datagrams.counters
        assert transport is not None
        datagrams.transport = DelayedTransport(transport, self, name, counts)  # type: ignore[assignment]

        def received(data: bytes, address: tuple[str, int]) -> None:
            counts.add(f"hollow.heard.{kind_of(data)}")
            sender = self.names.get(f"{address[0]}:{address[1]}", "")
            if sender not in self.real:
                return receive(data, address)  # held back by its sender already
            seconds = self.one_way(sender, name)
            if seconds is not None:
                later(seconds, receive, data, address)

        datagrams.datagram_received = received  # type: ignore[method-assign]

    def attach_streams(self, name: str, streams: Streams) -> None:
        """Put this network between a head and those that it asks, and count what it asks by kind."""
        ask, counts = streams.request, streams.counters

        async def asked(to: str, kind: str, body: bytes, within: timedelta = REQUEST_TIMEOUT) -> Reply:
            counts.add(f"hollow.asked.{kind}")
            counts.add(f"hollow.asked_of.{to}")
            try:
                answer = await passed(to, kind, body, within)
            except PeerUnreachable as error:
                counts.add(f"hollow.unanswered.{kind}.{reason_of(error)}")
                raise
            counts.add("hollow.answered_bytes", len(answer.body))
            return answer

        async def passed(to: str, kind: str, body: bytes, within: timedelta) -> Reply:
            there = self.one_way(name, to)
            if there is None:
                await asyncio.sleep(min(within, CONNECT_TIMEOUT).total_seconds())
                raise PeerUnreachable(f"{to}: cut off by the partition")
            if there:
                await asyncio.sleep(there)
            answer = await ask(to, kind, body, within)
            back = self.one_way(to, name)
            if back is None:
                raise PeerUnreachable(f"{to}: cut off by the partition")
            if back:
                await asyncio.sleep(back)
            return answer

        streams.request = asked  # type: ignore[method-assign]


def kind_of(data: bytes) -> str:
    """The kind of a datagram, from its first byte (membership/datagram.py)."""
    kind = data[0] & 0x0F if data else len(Kind)
    return Kind(kind).name.lower() if kind < len(Kind) else "unknown"


def reason_of(error: PeerUnreachable) -> str:
    """The last word of an error's text: a status, or what the connection met."""
    return str(error).rpartition(" ")[2]


def later(seconds: float, call: Any, *values: Any) -> None:
    """Call after a delay, and at once where there is none."""
    if seconds > 0:
        asyncio.get_running_loop().call_later(seconds, call, *values)
    else:
        call(*values)


class DelayedTransport:
    """A datagram transport that holds back what is sent, as long as the way takes."""

    def __init__(
        self, transport: asyncio.DatagramTransport, network: Network, name: str, counts: MessageCounters
    ) -> None:
        self.transport, self.network, self.name, self.counts = transport, network, name, counts

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send to an address once the way's time is over, or never."""
        self.counts.add(f"hollow.said.{kind_of(data)}")
        receiver = self.network.names.get(f"{address[0]}:{address[1]}", "")
        seconds = self.network.one_way(self.name, receiver)
        if seconds is not None:
            later(seconds, self._send, data, address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, address)

    def is_closing(self) -> bool:
        """Whether nothing is sent any more."""
        return self.transport.is_closing()

    def close(self) -> None:
        """Close the socket; what is held back by then is not sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close the socket at once."""
        self.transport.abort()
