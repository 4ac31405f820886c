"""A process with the crowd of a seed: thousands of idle clients, by whose clock nothing is judged."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from tests.soak.children import Say, run_child


class Crowd:
    """Idle clients of a head: they connect and say nothing, and come again where they are ended."""

    def __init__(self, host: str, port: int, size: int) -> None:
        self.host, self.port, self.size = host, port, size
        self.writers: list[asyncio.StreamWriter] = []

    async def run(self, over: asyncio.Event) -> None:
        """Keep so many connections open until the story is over."""
        while not over.is_set():
            self.writers = [writer for writer in self.writers if not self.has_ended(writer)]
            missing = self.size - len(self.writers)
            await asyncio.gather(*(self.connect() for _ in range(min(missing, 100))))
            await asyncio.sleep(0.1)
        for writer in self.writers:
            writer.transport.abort()

    async def connect(self) -> None:
        """Open one more connection."""
        with contextlib.suppress(OSError):
            self.writers.append((await asyncio.open_connection(self.host, self.port))[1])

    @staticmethod
    def has_ended(writer: asyncio.StreamWriter) -> bool:
        """Whether the head has ended a connection."""
        protocol = writer.transport.get_protocol()
        ended = writer.is_closing() or protocol._stream_reader.at_eof()  # type: ignore[attr-defined]
        if ended:
            writer.transport.abort()
        return bool(ended)


async def work(specification: dict[str, Any], say: Say, over: asyncio.Event) -> dict[str, Any]:
    """Run the crowds of all heads."""
    size = specification["size"]
    crowds = [Crowd(head["host"], head["port"], size) for head in specification["heads"]]
    say(None)
    await asyncio.gather(*(crowd.run(over) for crowd in crowds))
    return {}


if __name__ == "__main__":
    run_child(work)
