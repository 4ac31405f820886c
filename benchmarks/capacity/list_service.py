"""A stand-in for discovery that holds calls as long as requested and lists nodes with a common address."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from typing import Any

from aiohttp import web

from tests.peers import HOST, listening

ZONES = 12
UNUSED_ADDRESS = f"{HOST}:9"  # no request is sent in these measurements, so no node is reached


def entry(index: int, **more: Any) -> dict[str, Any]:
    """Return one entry of the list."""
    return {
        "instanceId": f"node-{index:05d}",
        "hostPort": UNUSED_ADDRESS,
        "zone": f"zone-{index % ZONES}",
        "machineType": "m",
        "cell": index % 64,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
    } | more


class ListService:
    """The list, its changes, and the number of calls and answered bytes."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.entries = {line["instanceId"]: line for line in lines}
        self.changes: list[
            dict[str, Any]
        ] = []  # generation g is at index g - 2, as the first list is generation 1
        self.changed = asyncio.Event()
        self.calls = self.body_bytes = 0

    @property
    def generation(self) -> int:
        return len(self.changes) + 1

    def change(self, *changed: dict[str, Any]) -> None:
        """Change entries of the list, and answer all held calls."""
        self.entries |= {line["instanceId"]: line for line in changed}
        self.changes += changed
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call with the whole list or with newer changes, held for as long as requested."""
        self.calls += 1
        known = int(request.query.get("from", 0))
        if known == self.generation:
            hold = int(request.query.get("hold_ms", 0)) / 1000
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), hold)
        instances = self.changes[known - 1 :] if known else list(self.entries.values())
        message = {"generation": self.generation, "reset": not known, "instances": instances}
        body = json.dumps(message).encode()
        self.body_bytes += len(body)
        return web.Response(body=body)


@asynccontextmanager
async def list_service(nodes: int) -> AsyncIterator[tuple[ListService, int]]:
    """Run a service with a list of `nodes` entries; yields it and its port."""
    service = ListService(entry(index) for index in range(nodes))
    async with listening(service.handle) as port:
        yield service, port
