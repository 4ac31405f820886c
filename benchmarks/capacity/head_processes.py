"""Real heads for the control benchmarks: started on loopback, connected directly, and what each has used."""

from __future__ import annotations

import asyncio
import contextlib
import struct
import subprocess
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.capacity import harness
from stoatrouter.peering.envelope import read_secret
from tests.heads.processes import HeadProcess, ProcessFleet, running_heads
from tests.peers import Node

FLEET = "test"  # the name that tests/heads/processes.py gives
MARK = struct.Struct(">QQ")  # of peering/write_mark.py: the number of the last write, twice
SS_FIELDS = ("bytes_sent:", "bytes_received:")


class DirectWays:
    """Stands in for the tests' relay: heads reach each other without anything between them."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self.heads, self.relay = fleet.heads, fleet.relay
        self.addresses: dict[str, tuple[str, int, int]] = {}

    def datagram_address(self, a: str, b: str) -> str:
        return f"{self.heads[b].host}:{self.heads[b].datagram_port}"

    def stream_address(self, a: str, b: str) -> str:
        return f"{self.heads[b].host}:{self.heads[b].stream_port}"

    async def close(self) -> None:
        await self.relay.close()


@contextlib.asynccontextmanager
async def direct_heads(
    count: int,
    voters: int,
    more: str = "",
    http: str = "",
    nodes: tuple[Node, ...] = (),
    discovery: int | None = None,
) -> AsyncIterator[ProcessFleet]:
    """Heads of the real program that reach each other directly, in touch; all are ended at the end."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(
            Path(folder), count, voters, extra_settings=more, http=http, nodes=nodes, start=False
        ) as fleet:
            if discovery is not None:
                fleet.discovery = discovery
            fleet.relay = DirectWays(fleet)  # type: ignore[assignment]
            await asyncio.gather(*(head.start(ready=False) for head in fleet))
            await asyncio.gather(*(head.until_ready() for head in fleet))
            await fleet.until_all_connected()
            yield fleet


def secret_of(fleet: ProcessFleet) -> bytes:
    """The key that the fleet's heads use."""
    return read_secret(next(iter(fleet)).folder / "secret")


def voter_addresses(fleet: ProcessFleet) -> dict[str, str]:
    """Where voters are reached by streams."""
    return {name: f"{fleet[name].host}:{fleet[name].stream_port}" for name in fleet.voters}


@dataclass(slots=True)
class Usage:
    """What one head has used up to a moment."""

    at: float
    cpu_s: float
    memory_mb: float
    descriptors: int
    writes: int  # transactions put to its disk
    bytes_in: int  # over the streams that others have open to it
    bytes_out: int
    counts: dict[str, int]

    def cores(self, before: Usage) -> float:
        """Share of a core since an earlier moment."""
        return (self.cpu_s - before.cpu_s) / (self.at - before.at)

    def rate(self, field: str, before: Usage) -> float:
        """One field's growth a second since an earlier moment."""
        return (getattr(self, field) - getattr(before, field)) / (self.at - before.at)

    def counted(self, name: str, before: Usage) -> int:
        """How far one of the head's own counts has grown since an earlier moment."""
        return self.counts.get(name, 0) - before.counts.get(name, 0)


async def usage(head: HeadProcess) -> Usage:
    """Read what a head has used."""
    assert head.process is not None
    bytes_out, bytes_in = address_bytes(head.host, head.stream_port)
    told: dict[str, Any] = await head.status()
    return usage_of(head.process.pid, told.get("counts", {}), writes_of(head), bytes_in, bytes_out)


def usage_of(
    pid: int, counts: dict[str, int], writes: int = 0, bytes_in: int = 0, bytes_out: int = 0
) -> Usage:
    """The same of any process."""
    return Usage(
        time.monotonic(),
        harness.process_cpu(pid),
        harness.process_memory_mb(pid),
        harness.process_descriptors(pid),
        writes,
        bytes_in,
        bytes_out,
        counts,
    )


def writes_of(head: HeadProcess) -> int:
    """How many transactions a head has put to its disk: the number in its mark."""
    return MARK.unpack((head.disk / "heads.mark").read_bytes()[: MARK.size])[0]


def address_bytes(host: str, port: int) -> tuple[int, int]:
    """Bytes sent and received by whoever listens there on the connections that are open now, as TCP counts
    them (payload, HTTP headers with it)."""
    return counted_bytes(["ss", "-tinHO", "src", f"{host}:{port}"])


def process_bytes(pid: int, host: str, port: int) -> tuple[int, int]:
    """Bytes that a process has sent and received on its open connections to an address."""
    return counted_bytes(["ss", "-tinHpO", "dst", f"{host}:{port}"], f"pid={pid},")


def counted_bytes(command: list[str], only: str = "") -> tuple[int, int]:
    """Bytes sent and received of the sockets that `ss` lists, one a line."""
    said = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    words = [word for line in said.splitlines() if only in line for word in line.split()]
    sent, received = (
        sum(int(word.removeprefix(name)) for word in words if word.startswith(name)) for name in SS_FIELDS
    )
    return sent, received


def open_streams(head: HeadProcess) -> int:
    """How many connections to a head's stream address are established."""
    said = subprocess.run(
        ["ss", "-tnH", "state", "established", "src", f"{head.host}:{head.stream_port}"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    return len(said.splitlines())
