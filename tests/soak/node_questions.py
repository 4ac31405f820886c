"""Questions of clients and the main process to the running process of the nodes."""

from __future__ import annotations

import asyncio


class NodeQuestions:
    """Sends questions over one connection, one at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.one_at_a_time = asyncio.Lock()
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def reached_a_node(self, request: str) -> bool:
        """Return whether a request was attempted at a node."""
        return bool(await self.ask("attempted", request))

    async def in_flight(self, head: str) -> int:
        """Return how many requests of a head are at nodes now."""
        return await self.ask("open", head)

    async def ask(self, about: str, name: str) -> int:
        """Send one question and return the number in the answer."""
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
