"""Stand-in storage nodes and discovery as a separate process, which prints the port of discovery.

    python -m benchmarks.capacity.nodes COUNT SEED

Each node is a listening socket with the protocol of storage nodes. The process exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import sys

from stoatrouter.lab.hollow.places import ZONES
from stoatrouter.lab.hollow.worker import end_with_parent
from stoatrouter.lab.standins import StandInDiscovery, StandInNode, StandInServers

SHARDS = 2  # as in the settings of the tests


class ZonedNode(StandInNode):
    """A stand-in node whose list entry names its zone."""

    def entry(self) -> dict[str, object]:
        """Return its entry in the list."""
        return super().entry() | {"zone": f"zone-{int(self.name.rpartition('-')[2]) % ZONES}"}


async def serve(count: int, seed: int) -> None:
    """Serve until standard input ends."""
    servers = StandInServers()
    nodes = [ZonedNode(f"node-{number}", number % SHARDS, seed) for number in range(count)]
    for node in nodes:
        node.port = await servers.serve(node.handle)
    print(await servers.serve(StandInDiscovery(list(nodes)).handle), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await servers.close()


if __name__ == "__main__":
    end_with_parent()
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2])))
