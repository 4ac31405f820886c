"""Heads as separate processes, for measurements: start, readiness and resource usage."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from tests.peers import HOST, config_data, listening, node_list

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")  # per second


@dataclass(slots=True)
class ProcessUsage:
    """Resource usage of a process so far."""

    cpu_s: float
    rss_mb: float
    descriptors: int


def process_usage(pid: int) -> ProcessUsage:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(
        (int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


async def immediate_node(request: web.BaseRequest) -> web.StreamResponse:
    """Answer as a node, without delay."""
    await request.read()
    return web.Response(body=b"x" * 200)


@contextlib.asynccontextmanager
async def running_nodes(count: int) -> AsyncIterator[list[dict[str, object]]]:
    """Run nodes that answer at once; yields their list entries."""
    async with contextlib.AsyncExitStack() as stack:
        ports = [await stack.enter_async_context(listening(immediate_node)) for _ in range(count)]
        yield [
            {
                "instanceId": f"n{i}",
                "hostPort": f"{HOST}:{port}",
                "zone": "a",
                "machineType": "m",
                "cell": i,
                "lifecycle": "SERVING",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for i, port in enumerate(ports)
        ]


def free_ports(count: int) -> list[int]:
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


@contextlib.contextmanager
def running_head(
    tree: Path,
    python: str,
    node_entries: list[dict[str, object]],
    listen: int,
    environ: dict[str, str] | None = None,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a head of the source tree `tree`, started as by the platform."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config_data(node_list(1, *node_entries), listen=listen)))
        environment = {
            "PATH": os.environ["PATH"],
            "NODE_CONFIG": str(path),
            "TMPDIR": folder,
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
            **(environ or {}),
        }
        process = subprocess.Popen(
            [python, "-O", "-B", "-m", "stoatrouter"],
            cwd=tree,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


async def wait_ready(port: int, timeout: float = 30) -> None:
    """Wait until a head reports that it is healthy."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return
        await asyncio.sleep(0.002)
    raise TimeoutError(f"the head was not ready within {timeout:g} s")


def interpreter(tree: Path) -> str:
    """Return the Python of the build in a source tree, or the current one."""
    own_python = tree / ".venv" / "bin" / "python"
    return str(own_python) if own_python.exists() else sys.executable
