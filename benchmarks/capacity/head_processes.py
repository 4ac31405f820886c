"""Real heads for the control benchmarks, connected directly on loopback, and their resource usage."""

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

FLEET = "test"  # name of the fleet in tests/heads/processes.py
MARK = struct.Struct(">QQ")  # format of peering/write_mark.py: the number of the last write, twice
SS_FIELDS = ("bytes_sent:", "bytes_received:")


class DirectRelay:
    """Replaces the relay of the tests, so that heads connect to each other directly."""

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
    """Run heads of the real program, connected directly, once all are in touch; all are ended on exit."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_heads(
            Path(folder), count, voters, extra_settings=more, http=http, nodes=nodes, start=False
        ) as fleet:
            if discovery is not None:
                fleet.discovery = discovery
            fleet.relay = DirectRelay(fleet)  # type: ignore[assignment]
            await asyncio.gather(*(head.start(ready=False) for head in fleet))
            await asyncio.gather(*(head.until_ready() for head in fleet))
            await fleet.until_all_connected()
            yield fleet


def fleet_key(fleet: ProcessFleet) -> bytes:
    """Return the key that the heads of a fleet use."""
    return read_secret(next(iter(fleet)).folder / "secret")


def voter_addresses(fleet: ProcessFleet) -> dict[str, str]:
    """Return the stream addresses of the voters."""
    return {name: f"{fleet[name].host}:{fleet[name].stream_port}" for name in fleet.voters}


@dataclass(slots=True)
class Usage:
    """Resource usage of one head up to a time."""

    at: float
    cpu_s: float
    memory_mb: float
    descriptors: int
    writes: int  # transactions written to its disk
    bytes_in: int  # over the streams that are open to it
    bytes_out: int
    counts: dict[str, int]

    def cores(self, before: Usage) -> float:
        """Return the share of a core used since an earlier time."""
        return (self.cpu_s - before.cpu_s) / (self.at - before.at)

    def rate(self, field: str, before: Usage) -> float:
        """Return the increase per second of one field since an earlier time."""
        return (getattr(self, field) - getattr(before, field)) / (self.at - before.at)

    def counted(self, name: str, before: Usage) -> int:
        """Return the increase of one of the head's own counters since an earlier time."""
        return self.counts.get(name, 0) - before.counts.get(name, 0)


async def usage(head: HeadProcess) -> Usage:
    """Return the usage of a head."""
    assert head.process is not None
    bytes_out, bytes_in = address_bytes(head.host, head.stream_port)
    status: dict[str, Any] = await head.status()
    return process_usage(head.process.pid, status.get("counts", {}), write_count(head), bytes_in, bytes_out)


def process_usage(
    pid: int, counts: dict[str, int], writes: int = 0, bytes_in: int = 0, bytes_out: int = 0
) -> Usage:
    """Return the usage of any process."""
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


def write_count(head: HeadProcess) -> int:
    """Return the number of transactions that a head has written, from its mark on disk."""
    return MARK.unpack((head.disk / "heads.mark").read_bytes()[: MARK.size])[0]


def address_bytes(host: str, port: int) -> tuple[int, int]:
    """Return the bytes sent and received by the listener at an address on its open connections.

    These are the counts of TCP: payload including HTTP headers.
    """
    return counted_bytes(["ss", "-tinHO", "src", f"{host}:{port}"])


def process_bytes(pid: int, host: str, port: int) -> tuple[int, int]:
    """Return the bytes that a process has sent and received on its open connections to an address."""
    return counted_bytes(["ss", "-tinHpO", "dst", f"{host}:{port}"], f"pid={pid},")


def counted_bytes(command: list[str], only: str = "") -> tuple[int, int]:
    """Return the total bytes sent and received of the sockets that an `ss` command lists, one a line."""
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    words = [word for line in output.splitlines() if only in line for word in line.split()]
    sent, received = (
        sum(int(word.removeprefix(name)) for word in words if word.startswith(name)) for name in SS_FIELDS
    )
    return sent, received


def open_streams(head: HeadProcess) -> int:
    """Return the number of established connections to the stream address of a head."""
    output = subprocess.run(
        ["ss", "-tnH", "state", "established", "src", f"{head.host}:{head.stream_port}"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    return len(output.splitlines())
