"""Datagrams between heads: one socket, the detector behind it. Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

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
from stoatrouter.peering.counts import Counts

TICK = timedelta(milliseconds=25)
MOST_AT_ONCE = 256  # datagrams taken between two ticks; a flood beyond is dropped and counted


class Datagrams(asyncio.DatagramProtocol):
    """Runs the detector's effects on one socket."""

    def __init__(
        self,
        detector: Detector,
        secret: bytes,
        fleet: str,
        peers: tuple[str, ...],
        now: Callable[[], timedelta],
        counts: Counts,
        changed: Callable[[str, Status], None],
    ) -> None:
        self.detector, self.secret, self.fleet = detector, secret, fleet
        self.peers, self.now, self.counts, self.changed = set(peers), now, counts, changed
        self.transport: asyncio.DatagramTransport | None = None
        self.taken = 0

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram has come; what is not believed is dropped and counted."""
        where = f"{addr[0]}:{addr[1]}"
        self.taken += 1
        self.counts.add("datagrams.received")
        # Guards the loop against a flood.
        if self.taken > MOST_AT_ONCE:
            return self.counts.drop("datagram", "flood", where)
        # Guards against anybody: only addresses that the configuration names are heard.
        if where not in self.peers:
            return self.counts.drop("datagram", "not_a_peer", where)
        try:
            message = decode(data, self.secret, self.fleet)
        except MalformedDatagram as error:
            return self.counts.drop("datagram", str(error), where)
        self.put(DatagramReceived(self.now(), where, message), where)

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be sent; the detector finds out by itself."""
        self.counts.add("datagrams.errors")  # a peer that does not listen; the probe's end says it

    def put(self, event: Event, where: str = "") -> None:
        """Reduce an event of the detector, and run its effects."""
        for effect in self.detector.reduce(event):
            self.run(effect, where)

    def run(self, effect: Effect, where: str) -> None:
        """Run one effect."""
        match effect:
            case SendTo():
                data = encode(effect.message, self.secret, self.fleet)
                self.counts.add("datagrams.sent")
                self.counts.add("datagrams.bytes", len(data))
                host, _, port = effect.address.rpartition(":")
                if self.transport is not None and not self.transport.is_closing():
                    self.transport.sendto(data, (host, int(port)))
            case StatusChanged():
                logger.info(
                    "heads: {head} is {status}, as seen from here",
                    event="heads.seen",
                    head=effect.name,
                    status=effect.status.name.lower(),
                )
                self.changed(effect.name, effect.status)
            case DatagramDropped():
                self.counts.drop("datagram", effect.reason, where)

    async def run_for_ever(self) -> None:
        """Let time pass for the detector."""
        while True:
            self.taken = 0
            self.put(Tick(self.now()))
            await asyncio.sleep(TICK.total_seconds())

    def close(self) -> None:
        """Say that this head leaves, then close."""
        if self.transport is not None:
            self.put(Leaving(self.now()))
            self.transport.close()
