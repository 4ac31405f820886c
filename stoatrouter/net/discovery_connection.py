"""Connections to discovery, whose input is parsed in turns with that of clients and nodes."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from stoatrouter.net.input_turns import DividedInput, InputTurns

RECEIVE_BYTES = 16 * 1024  # per read


class DiscoveryConnection(DividedInput, ResponseHandler):
    """A connection to discovery."""

    def __init__(self, loop: asyncio.AbstractEventLoop, turns: InputTurns) -> None:
        """Set up a connection without an exchange; its input is parsed in `turns`."""
        super().__init__(loop)
        self.turns = turns
        self.backlog = b""  # input that waits for its turn

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is read at once."""
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in slices; none: aiohttp continues with the bytes it has buffered."""
        if data:
            self.receive(data)
        else:
            super().data_received(data)

    def parse(self, data: bytes) -> None:
        """Parse one slice of input."""
        super().data_received(data)


class DiscoveryConnector(aiohttp.TCPConnector):
    """Opens connections to discovery."""

    def __init__(self, **options: Any) -> None:
        """Set up a connector with the `options` of aiohttp's."""
        super().__init__(**options)
        # aiohttp has no public API to choose the class of a connector's connections
        self._factory = partial(  # type: ignore[assignment]  # partial is invariant in its return type
            DiscoveryConnection, loop=asyncio.get_running_loop(), turns=InputTurns()
        )
