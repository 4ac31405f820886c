"""One trial: a head as it is shipped, stand-ins, quiet clients and one load; its memory is sampled."""

from __future__ import annotations

import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from benchmarks.pressure.loads import run_load
from benchmarks.pressure.quiet import QuietResult, run_quiet_clients
from benchmarks.pressure.stand_ins import Nodes, list_of, serve_nodes

ROOT = Path(__file__).resolve().parent.parent.parent
SETTINGS = ROOT / "stoatrouter" / "lab" / "demo_files" / "settings.json"
SAMPLE_INTERVAL = 0.02  # seconds
READY_TIMEOUT = 20.0  # seconds
SETTLE = 4.0  # seconds after the load, until what is still held is measured
LEAD = 0.5  # seconds that the quiet clients run before the load
MB = 1_000_000
SPAWN = multiprocessing.get_context("spawn")


@dataclass
class TrialResult:
    """What one trial showed; memory is that of the head with its unnamed files, in bytes."""

    at_start: int = 0
    peak: int = 0
    peak_files: int = 0
    after: int = 0
    quiet: QuietResult = field(default_factory=QuietResult)
    nodes: Nodes = field(default_factory=Nodes)
    log: list[str] = field(default_factory=list)
    exit_code: int | None = None

    def faults(self) -> list[str]:
        """Return the log lines that show a fault of the program."""
        return [line for line in self.log if "ERROR" in line or "Traceback" in line]


@dataclass
class Head:
    """A running head."""

    process: subprocess.Popen[bytes]
    port: int
    management: int
    folder: Path

    def end_now(self) -> None:
        """Kill the process, and wait for its end."""
        self.process.kill()
        self.process.wait()

    def files(self) -> int:
        """Return the bytes in its unnamed files, and in those of its temporary folder."""
        total = 0
        for name in os.listdir(f"/proc/{self.process.pid}/fd"):
            try:
                status = os.stat(f"/proc/{self.process.pid}/fd/{name}")
                if str(self.folder) in os.readlink(f"/proc/{self.process.pid}/fd/{name}"):
                    total += status.st_blocks * 512
            except OSError:
                continue
        return total

    def resident(self) -> int:
        """Return the resident memory in bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) * 1024

    def log(self) -> list[str]:
        """Return the lines of its log."""
        return (self.folder / "log").read_text(errors="replace").splitlines()


def free_port() -> int:
    """Return a free port of the loopback address."""
    with closing(socket.socket()) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextmanager
def running(entry: Callable[..., None], *arguments: Any) -> Iterator[Connection]:
    """Run an entry in a process of its own; yields the pipe to it and ends it afterwards."""
    ours, theirs = SPAWN.Pipe()
    process = SPAWN.Process(target=entry, args=(theirs, *arguments), daemon=True)
    process.start()
    try:
        yield ours
    finally:
        process.kill()
        process.join()


def configuration(
    ports: list[int], discovery: int, memory_mb: int, sockets: int, settings: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return the configuration of a head before these nodes."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "management": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": list_of(ports),
        "settings": settings or json.loads(SETTINGS.read_text()),
    }


@contextmanager
def running_head(config: dict[str, Any], prelude: str = "", folder: Path | None = None) -> Iterator[Head]:
    """Start a head with the flags of the deploy file, and wait until it serves.

    Args:
        config: its configuration.
        prelude: Python code that its process runs first, to inject faults.
        folder: its temporary folder, which it shares with a process that it takes over from; None: its own.
    """
    with tempfile.TemporaryDirectory(prefix="pressure-") as name:
        own_folder = Path(name)
        (own_folder / "config.json").write_text(json.dumps(config))
        environ = os.environ | {
            "NODE_CONFIG": str(own_folder / "config.json"),
            "TMPDIR": str(folder or own_folder),
            "PYTHONPATH": str(ROOT),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        start = f"{prelude}\nimport runpy; runpy.run_module('stoatrouter', run_name='__main__')"
        with (own_folder / "log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-O", "-B", "-c", start], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        head = Head(
            process,
            int(config["listen"].rpartition(":")[2]),
            int(config["management"].rpartition(":")[2]),
            own_folder,
        )
        try:
            wait_until_ready(head)
            yield head
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


def wait_until_ready(head: Head) -> None:
    """Wait until the head serves; raises RuntimeError with its log where it does not."""
    until = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < until and head.process.poll() is None:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{head.management}/control/ready", timeout=1):
                return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError("the head is not ready:\n" + "\n".join(head.log()))


def play(load: str, memory_mb: int, sockets: int, seconds: float, seed: int = 1) -> TrialResult:
    """Run one trial; the load lasts for `seconds`."""
    result = TrialResult()
    with running(serve_nodes) as nodes:
        ports, discovery = receive(nodes)
        with running_head(configuration(ports, discovery, memory_mb, sockets)) as head:
            result.at_start = head.resident()
            with running(run_quiet_clients, head.port, seconds + LEAD + 1.0) as quiet:
                time.sleep(LEAD)
                with running(run_load, load, head.port, seconds, seed) as loading:
                    while not quiet.poll(SAMPLE_INTERVAL) and head.process.poll() is None:
                        sample(head, result)
                    del loading
                result.quiet = receive(quiet)
            settled_at = time.monotonic() + SETTLE
            while time.monotonic() < settled_at and head.process.poll() is None:
                sample(head, result)
                time.sleep(SAMPLE_INTERVAL)
            result.exit_code = head.process.poll()
            result.after = head.resident() + head.files() if result.exit_code is None else 0
            result.log = head.log()
        nodes.send(None)
        result.nodes = receive(nodes)
    return result


def receive(pipe: Connection) -> Any:
    """Return what the other side of a pipe sends; raises RuntimeError where it sends nothing."""
    if not pipe.poll(READY_TIMEOUT):
        raise RuntimeError("a process of the trial does not answer")
    return pipe.recv()


def sample(head: Head, result: TrialResult) -> None:
    """Note the head's memory now."""
    try:
        files, resident = head.files(), head.resident()
    except (OSError, IndexError):  # it has just ended
        return
    if files + resident > result.peak:
        result.peak, result.peak_files = files + resident, files
