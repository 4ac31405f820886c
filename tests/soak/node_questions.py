"""What clients and the story ask the process of the nodes while it runs."""

from __future__ import annotations

import asyncio


class NodeQuestions:
    """Asks over one connection, one question at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.one_at_a_time = asyncio.Lock()
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def reached_a_node(self, request: str) -> bool:
        """Whether a request was attempted."""
        return bool(await self.ask("attempted", request))

    async def in_flight(self, head: str) -> int:
        """How many requests of a head are at nodes now."""
        return await self.ask("open", head)

    async def ask(self, about: str, name: str) -> int:
        """Ask one question."""
        async with self.one_at_a_time:
            if self.streams is None:
                host, _, port = self.address.partition(":")
                self.streams = await asyncio.open_connection(host, int(port))
            reader, writer = self.streams
            writer.write(f"{about} {name}\n".encode())
            return int(await reader.readline())

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
