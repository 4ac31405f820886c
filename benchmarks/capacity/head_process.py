"""A head as a separate process, started as by `run` in deploy/balancer.toml, with raised limits."""

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
    blocked_signals,
    children,
    die_with_parent,
    end_process,
)
from tests.addresses import free_port

HOST = "127.0.0.1"
HEADS = 740
# Raised, because the platform's 1,024 descriptors and 192 MB allow only 580 clients. A head assigns 58% of
# `sockets` to clients and 30% to nodes; an eighth of it may be idle, and a quarter may have a request open.
SOCKETS = 80_000
MEMORY_MB = 2_000
LONG_IDLE = 600.0  # seconds; the program closes idle clients after 2
READY_TIMEOUT = 60.0  # seconds
SNAPSHOT_TIMEOUT = 5.0  # seconds


class Program(Enum):
    """Variants of the program to run as the head."""

    SHIPPED = "shipped"
    SPLIT = "split"  # with processor time split by place
    LONG_IDLE = "long idle"  # keeps idle clients, so that their memory can be measured


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process holds now, and processor time since its start."""

    cpu_s: float
    memory_mb: float
    descriptors: int
    at: float  # seconds of the monotonic clock


@dataclass(frozen=True, slots=True)
class HeadProcess:
    """A running head."""

    pid: int
    port: int
    snapshot_path: Path

    def usage(self) -> Usage:
        """Return its resource usage so far."""
        return Usage(
            harness.process_cpu(self.pid),
            harness.process_memory_mb(self.pid),
            harness.process_descriptors(self.pid),
            time.monotonic(),
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the snapshot of an instrumented head (instrumented_head.py)."""
        self.snapshot_path.unlink(missing_ok=True)
        os.kill(self.pid, signal.SIGUSR1)
        deadline = time.monotonic() + SNAPSHOT_TIMEOUT
        while time.monotonic() < deadline:
            if self.snapshot_path.exists():
                found: dict[str, Any] = json.loads(self.snapshot_path.read_text())
                return found
            time.sleep(0.005)
        raise ChildFailed("the instrumented head wrote no snapshot")


def node_entries(ports: list[int]) -> list[dict[str, Any]]:
    """Return list entries of nodes, one shard each, in 12 zones."""
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
    """Return the configuration of the demo deployment for one of many heads, with raised limits."""
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
    """Run a head that follows a discovery which lists nodes at these ports."""
    with tempfile.TemporaryDirectory() as name:
        folder, entries = Path(name), node_entries(ports)
        (folder / "entries.json").write_text(json.dumps(entries))
        specification = {"entries": str(folder / "entries.json")}
        with children("benchmarks.capacity.discovery_server", [specification]) as (discovery,):
            listen, discovery_port = free_port(), discovery.receive()["port"]
            config = configuration(entries, listen, discovery_port, sockets)
            (folder / "config.json").write_text(json.dumps(config))
            with head_subprocess(folder, program) as process:
                wait_ready(listen, process)
                yield HeadProcess(process.pid, listen, folder / "snapshot.json")


@contextlib.contextmanager
def head_subprocess(folder: Path, program: Program) -> Iterator[subprocess.Popen[bytes]]:
    """Run the head process alone; it is killed on exit, also after an exception."""
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
        with blocked_signals(), (folder / "head.log").open("wb") as log:
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
    """Return the Python of the build in this tree, as a deployment uses, or else the current one."""
    built_python = ROOT / ".venv" / "bin" / "python"
    return str(built_python) if built_python.exists() else sys.executable


def wait_ready(port: int, process: subprocess.Popen[bytes]) -> None:
    """Wait until a head reports that it is healthy."""
    deadline = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < deadline:
        if process.poll() is not None:
            raise ChildFailed(f"the head exited with status {process.returncode}")
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(HOST, port, timeout=1.0)
            connection.request("GET", "/healthz", headers={"Connection": "close"})
            healthy = connection.getresponse().status == 200
            connection.close()
            if healthy:
                return
        time.sleep(0.02)
    raise ChildFailed(f"the head was not ready within {READY_TIMEOUT:g} s")
