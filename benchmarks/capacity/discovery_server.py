"""A child process: discovery, which lists the entries of a file and holds watches. Says its `port` first."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.capacity.children import Message, say, serve, specification
from stoatrouter.lab.standins import StandInDiscovery, StandInServers


@dataclass(slots=True)
class ListedNode:
    """A node that another process serves."""

    line: dict[str, Any]

    def entry(self) -> dict[str, Any]:
        """Its line in discovery's list."""
        return self.line


async def main(told: Message) -> None:
    """Serve until the command ends."""
    entries = json.loads(Path(told["entries"]).read_text())
    discovery = StandInDiscovery([ListedNode(entry) for entry in entries])  # type: ignore[misc]
    listening, calls = StandInServers(), 0

    async def handle(request: Any) -> Any:
        nonlocal calls
        calls += 1
        return await discovery.handle(request)

    async def answer(message: Message) -> Message:
        return {"calls": calls}

    say({"port": await listening.serve(handle)})
    try:
        await serve(answer)
    finally:
        await listening.close()


if __name__ == "__main__":
    asyncio.run(main(specification()))
