"""A child process with thousands of idle clients, whose clock is not used by the judge."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from tests.soak.children import SendLine, run_child


class Crowd:
    """Idle clients of a head, which connect, send nothing, and reconnect when they are disconnected."""

    def __init__(self, host: str, port: int, size: int) -> None:
        self.host = host
        self.port = port
        self.size = size
        self.writers: list[asyncio.StreamWriter] = []

    async def run(self, stop_event: asyncio.Event) -> None:
        """Keep `size` connections open until the end."""
        while not stop_event.is_set():
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
        """Return whether the head has closed a connection."""
        protocol = writer.transport.get_protocol()
        ended = writer.is_closing() or protocol._stream_reader.at_eof()  # type: ignore[attr-defined]
        if ended:
            writer.transport.abort()
        return bool(ended)


async def work(
    specification: dict[str, Any], send_line: SendLine, stop_event: asyncio.Event
) -> dict[str, Any]:
    """Run the idle clients of all heads."""
    size = specification["size"]
    crowds = [Crowd(head["host"], head["port"], size) for head in specification["heads"]]
    send_line(None)
    await asyncio.gather(*(crowd.run(stop_event) for crowd in crowds))
    return {}


if __name__ == "__main__":
    run_child(work)
