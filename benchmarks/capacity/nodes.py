"""Stand-in storage nodes and discovery in a process of their own; prints discovery's port.

    python -m benchmarks.capacity.nodes COUNT SEED

Each node is a listening socket that answers as the nodes' protocol has it. The process ends with its input.
"""

from __future__ import annotations

import asyncio
import sys

from stoatrouter.lab.hollow.places import ZONES
from stoatrouter.lab.hollow.worker import end_with_parent
from stoatrouter.lab.standins import StandInDiscovery, StandInNode, StandInServers

SHARDS = 2  # as the settings of the tests have it


class ZonedNode(StandInNode):
    """A stand-in node that names its zone in discovery's list."""

    def entry(self) -> dict[str, object]:
        """Its line in discovery's list."""
        return super().entry() | {"zone": f"zone-{int(self.name.rpartition('-')[2]) % ZONES}"}


async def serve(count: int, seed: int) -> None:
    """Serve until standard input ends."""
    listening = StandInServers()
    nodes = [ZonedNode(f"node-{number}", number % SHARDS, seed) for number in range(count)]
    for node in nodes:
        node.port = await listening.serve(node.handle)
    print(await listening.serve(StandInDiscovery(list(nodes)).handle), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await listening.close()


if __name__ == "__main__":
    end_with_parent()
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2])))
