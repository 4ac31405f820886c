"""Heads as processes of their own, for measurements: started, asked, and what they used."""

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

TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Used:
    """What a process has used so far."""

    cpu_s: float
    rss_mb: float
    descriptors: int


def used(pid: int) -> Used:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Used(
        (int(fields[11]) + int(fields[12])) / TICKS,
        pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


async def plain_node(request: web.BaseRequest) -> web.StreamResponse:
    """A node that answers at once."""
    await request.read()
    return web.Response(body=b"x" * 200)


@contextlib.asynccontextmanager
async def nodes(count: int) -> AsyncIterator[list[dict[str, object]]]:
    """Plain nodes, as discovery lists them."""
    async with contextlib.AsyncExitStack() as stack:
        ports = [await stack.enter_async_context(listening(plain_node)) for _ in range(count)]
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

    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


@contextlib.contextmanager
def head(
    tree: Path,
    python: str,
    known: list[dict[str, object]],
    listen: int,
    environ: dict[str, str] | None = None,
) -> Iterator[subprocess.Popen[bytes]]:
    """A head of the program in a folder, as the platform starts it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config_data(node_list(1, *known), listen=listen)))
        made = {
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
            env=made,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


async def ready(port: int, limit: float = 30) -> None:
    """Wait until a head says that it serves."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return
        await asyncio.sleep(0.002)
    raise TimeoutError("the head does not come up")


def interpreter(tree: Path) -> str:
    """The Python of a folder's own build, or this one."""
    own = tree / ".venv" / "bin" / "python"
    return str(own) if own.exists() else sys.executable
