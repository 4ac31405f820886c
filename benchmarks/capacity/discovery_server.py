"""A child process: a discovery server that lists the entries of a file and holds watches.

Its first message is its `port`.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.capacity.children import Message, send_line, serve, specification
from stoatrouter.lab.standins import StandInDiscovery, StandInServers


@dataclass(slots=True)
class ListedNode:
    """A node that another process serves, as a line of the list."""

    line: dict[str, Any]

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list."""
        return self.line


async def main(spec: Message) -> None:
    """Serve until the input ends."""
    entries = json.loads(Path(spec["entries"]).read_text())
    discovery = StandInDiscovery([ListedNode(entry) for entry in entries])  # type: ignore[misc]
    servers = StandInServers()
    calls = 0

    async def handle(request: Any) -> Any:
        nonlocal calls
        calls += 1
        return await discovery.handle(request)

    async def answer(message: Message) -> Message:
        return {"calls": calls}

    send_line({"port": await servers.serve(handle)})
    try:
        await serve(answer)
    finally:
        await servers.close()


if __name__ == "__main__":
    asyncio.run(main(specification()))
