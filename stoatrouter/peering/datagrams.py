"""The failure detector's UDP socket: authenticates datagrams and carries out the detector's effects.

membership/detector.py decides which head is suspected or failed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import cast

from loguru import logger

from stoatrouter.membership.datagram import decode, encode
from stoatrouter.membership.detector import Detector
from stoatrouter.membership.detector_records import (
    DatagramDropped,
    DatagramReceived,
    Effect,
    Event,
    Leaving,
    SendTo,
    StatusChanged,
    Tick,
)
from stoatrouter.membership.errors import MalformedDatagram
from stoatrouter.membership.roster import Status
from stoatrouter.peering.counters import Channel, MessageCounters
from stoatrouter.peering.errors import RejectReason

TICK_INTERVAL = timedelta(milliseconds=25)
MAX_DATAGRAMS_PER_TICK = 256  # received between two ticks; those beyond are dropped and counted


class Datagrams(asyncio.DatagramProtocol):
    """The UDP socket of one head's failure detector.

    Attributes:
        detector: Decides the status of each head.
        transport: The socket, once it is open.
        counters: Where messages are counted.
    """

    def __init__(
        self,
        detector: Detector,
        secret: bytes,
        fleet: str,
        peers: tuple[str, ...],
        now: Callable[[], timedelta],
        counters: MessageCounters,
        on_status_change: Callable[[str, Status], None],
    ) -> None:
        """Set up the protocol; the socket is opened by `start`.

        Args:
            detector: Decides the status of each head.
            secret: The key of the datagrams' MACs.
            fleet: The fleet's name, part of the MACs' personalisation.
            peers: The addresses (HOST:PORT) that datagrams are accepted from.
            now: This head's monotonic time.
            counters: Where messages are counted.
            on_status_change: Called with a head's name and its new status, as the detector sees it.
        """
        self.detector = detector
        self.counters = counters
        self.transport: asyncio.DatagramTransport | None = None
        self._secret = secret
        self._fleet = fleet
        self._peers = frozenset(peers)
        self._now = now
        self._on_status_change = on_status_change
        self._received_this_tick = 0

    async def start(self, host: str, port: int) -> None:
        """Open the socket; raises OSError if the address cannot be used."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the detector; a rejected one is dropped and counted."""
        source = f"{addr[0]}:{addr[1]}"
        self._received_this_tick += 1
        self.counters.add("datagrams.received")
        # Drops datagrams of a flood, to protect the event loop.
        if self._received_this_tick > MAX_DATAGRAMS_PER_TICK:
            self._drop(RejectReason.FLOOD, source)
            return
        # Accepts datagrams only from the configured addresses.
        if source not in self._peers:
            self._drop(RejectReason.NOT_A_PEER, source)
            return
        try:
            message = decode(data, self._secret, self._fleet)
        except MalformedDatagram as error:
            self._drop(str(error), source)
            return
        self._step(DatagramReceived(self._now(), source, message), source)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be sent; the detector notices a lost peer by itself."""
        self.counters.add("datagrams.errors")

    async def run_forever(self) -> None:
        """Pass the time to the detector at every tick."""
        while True:
            self._received_this_tick = 0
            self._step(Tick(self._now()))
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    def close(self) -> None:
        """Notify the other heads that this one leaves, then close the socket."""
        if self.transport is not None:
            self._step(Leaving(self._now()))
            self.transport.close()

    # -- events in, effects out ---------------------------------------------------------------------------
    def _step(self, event: Event, source: str = "") -> None:
        """Reduce an event, and carry out its effects in order; `source` is its datagram's sender."""
        for effect in self.detector.reduce(event):
            self._perform(effect, source)

    def _perform(self, effect: Effect, source: str) -> None:
        match effect:
            case SendTo():
                self._send(effect)
            case StatusChanged():
                self._report_change(effect)
            case DatagramDropped():
                self._drop(effect.reason, source)

    def _send(self, effect: SendTo) -> None:
        data = encode(effect.message, self._secret, self._fleet)
        self.counters.add("datagrams.sent")
        self.counters.add("datagrams.bytes", len(data))
        host, _, port = effect.address.rpartition(":")
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (host, int(port)))

    def _report_change(self, effect: StatusChanged) -> None:
        logger.info(
            "heads: {head} is {status} according to this head's detector",
            event="heads.seen",
            head=effect.name,
            status=effect.status.name.lower(),
        )
        self._on_status_change(effect.name, effect.status)

    def _drop(self, reason: str, source: str) -> None:
        self.counters.count_drop(Channel.DATAGRAM, reason, source)
