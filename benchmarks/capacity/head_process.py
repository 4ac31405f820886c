"""A head as a process of its own, as `run` in deploy/balancer.toml starts it, with its limits raised."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from importlib import resources
from pathlib import Path
from typing import Any

from benchmarks.capacity import harness
from benchmarks.capacity.children import (
    ROOT,
    ChildFailed,
    children,
    die_with_parent,
    end_process,
    signals_held,
)
from tests.addresses import free_port

HOST = "127.0.0.1"
HEADS = 740
# Raised, as the platform's 1,024 descriptors and 192 MB hold 580 clients: the head deals out 58% of `sockets`
# to clients and 30% to nodes, lets an eighth of it rest, and takes a quarter of it with a request open.
SOCKETS, MEMORY_MB = 80_000, 2_000
LONG_IDLE = 600.0  # seconds, where the program would end idle clients after 2
READY_WITHIN = 60.0
SNAPSHOT_WITHIN = 5.0


class Program(Enum):
    """What is run as the head."""

    SHIPPED = "shipped"
    SPLIT = "split"  # with its processor time split by place
    LONG_IDLE = "long idle"  # keeps idle clients, so that what they take can be measured


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process holds now, and has used since its start."""

    cpu_s: float
    memory_mb: float
    descriptors: int
    at: float


@dataclass(frozen=True, slots=True)
class HeadProcess:
    """A running head."""

    pid: int
    port: int
    snapshot_path: Path

    def usage(self) -> Usage:
        """What it has used so far."""
        return Usage(
            harness.process_cpu(self.pid),
            harness.process_memory_mb(self.pid),
            harness.process_descriptors(self.pid),
            time.monotonic(),
        )

    def snapshot(self) -> dict[str, Any]:
        """What an instrumented head (instrumented_head.py) has counted so far."""
        self.snapshot_path.unlink(missing_ok=True)
        os.kill(self.pid, signal.SIGUSR1)
        until = time.monotonic() + SNAPSHOT_WITHIN
        while time.monotonic() < until:
            if self.snapshot_path.exists():
                found: dict[str, Any] = json.loads(self.snapshot_path.read_text())
                return found
            time.sleep(0.005)
        raise ChildFailed("the instrumented head wrote no snapshot")


def node_entries(ports: list[int]) -> list[dict[str, Any]]:
    """Nodes as discovery lists them, one shard each, in 12 zones."""
    return [
        {
            "instanceId": f"node-{i:04}",
            "hostPort": f"{HOST}:{port}",
            "zone": f"zone-{i % 12}",
            "machineType": "m",
            "cell": i,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for i, port in enumerate(ports)
    ]


def configuration(entries: list[dict[str, Any]], port: int, discovery: int, sockets: int) -> dict[str, Any]:
    """The demo deployment's settings for one of many heads, with raised limits."""
    files = resources.files("stoatrouter.lab") / "demo_files"
    settings = json.loads((files / "settings.json").read_text())
    settings["Balancers"] = HEADS
    settings["Areas"] = [f"zone-{i}" for i in range(12)]
    settings["Extra"]["Shards"] = len(entries)
    return {
        "name": "capacity",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets},
        "known": {"generation": 1, "reset": True, "instances": entries},
        "settings": settings,
    }


@contextlib.contextmanager
def running_head(
    ports: list[int],
    program: Program = Program.SHIPPED,
    sockets: int = SOCKETS,
) -> Iterator[HeadProcess]:
    """A head before nodes at these ports, following discovery."""
    with tempfile.TemporaryDirectory() as name:
        folder, entries = Path(name), node_entries(ports)
        (folder / "entries.json").write_text(json.dumps(entries))
        specification = {"entries": str(folder / "entries.json")}
        with children("benchmarks.capacity.discovery_server", [specification]) as (discovery,):
            listen, watched = free_port(), discovery.receive()["port"]
            made = configuration(entries, listen, watched, sockets)
            (folder / "config.json").write_text(json.dumps(made))
            with started(folder, program) as process:
                wait_ready(listen, process)
                yield HeadProcess(process.pid, listen, folder / "snapshot.json")


@contextlib.contextmanager
def started(folder: Path, program: Program) -> Iterator[subprocess.Popen[bytes]]:
    """The process alone; it is ended whatever happens meanwhile."""
    module = "stoatrouter" if program is Program.SHIPPED else "benchmarks.capacity.instrumented_head"
    environ = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(ROOT),
        "NODE_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder),
        "SSL_CERT_FILE": "/dev/null",
        "SSL_CERT_DIR": "/dev/null",
        "CAPACITY_SNAPSHOT": str(folder / "snapshot.json"),
    }
    if program is Program.SPLIT:
        environ["CAPACITY_SPLIT"] = "1"
    if program is Program.LONG_IDLE:
        environ["CAPACITY_IDLE_SECONDS"] = str(LONG_IDLE)
    process: subprocess.Popen[bytes] | None = None
    try:
        with signals_held(), (folder / "head.log").open("wb") as log:
            process = subprocess.Popen(
                [interpreter(), "-O", "-B", "-m", module],
                cwd=ROOT,
                env=environ,
                stdout=subprocess.DEVNULL,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        yield process
    finally:
        if process is not None:
            process.kill()
            end_process(process)


def interpreter() -> str:
    """The Python of this tree's build, which a deployment runs, or else this one."""
    built = ROOT / ".venv" / "bin" / "python"
    return str(built) if built.exists() else sys.executable


def wait_ready(port: int, process: subprocess.Popen[bytes]) -> None:
    """Wait until a head says that it serves."""
    until = time.monotonic() + READY_WITHIN
    while time.monotonic() < until:
        if process.poll() is not None:
            raise ChildFailed(f"the head ended with {process.returncode}")
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(HOST, port, timeout=1.0)
            connection.request("GET", "/healthz", headers={"Connection": "close"})
            healthy = connection.getresponse().status == 200
            connection.close()
            if healthy:
                return
        time.sleep(0.02)
    raise ChildFailed("the head does not come up")
