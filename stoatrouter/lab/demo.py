"""The `stoatrouter demo` command: one head with all its fronts and in-memory stand-in nodes, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

from loguru import logger

from stoatrouter import config
from stoatrouter.core import model
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.fronts.objects.settings import load_objects
from stoatrouter.head import Head
from stoatrouter.lab.standins import HOST, StandInDiscovery, StandInNode, StandInServers

DEPLOYMENT = resources.files("stoatrouter.lab") / "demo_files"  # files of a small deployment
RULE_FILES = ("http.cue", "objects.cue", "rules.cue")
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
MAX_TARGET_SHOWN = 60  # characters
EXIT_NOT_STARTED = 2


# -- the deployment ---------------------------------------------------------------------------------------
def write_files(folder: Path, nodes: list[StandInNode], discovery_port: int) -> Path:
    """Write the configuration, settings, rules and secret of a head into a folder.

    Returns:
        The path of the configuration file.
    """
    settings = json.loads((DEPLOYMENT / "settings.json").read_text())
    settings["Extra"]["Shards"] = len(nodes)
    configuration = {
        "name": "demo",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{discovery_port}",
        "management": f"{HOST}:0",
        "seed": secrets.token_hex(8),
        "limits": LIMITS,
        "known": {"generation": 0, "reset": True, "instances": [node.entry() for node in nodes]},
        "settings": settings,
    }
    (folder / "config.json").write_text(json.dumps(configuration))
    (folder / "objects.secret").write_text(secrets.token_hex(32))
    for name in RULE_FILES:
        (folder / name).write_text((DEPLOYMENT / name).read_text())
    return folder / "config.json"


def make_head(folder: Path, nodes: list[StandInNode], discovery_port: int) -> Head:
    """Create a head with all fronts from files written into a folder; raises ConfigError."""
    configuration = write_files(folder, nodes, discovery_port)
    conf = config.read({"NODE_CONFIG": str(configuration)}, {})
    objects = load_objects(folder / "objects.cue", conf.settings, conf.shards)
    return Head(conf, objects, load_http(folder / "http.cue"))


# -- output -----------------------------------------------------------------------------------------------
class RequestPrinter:
    """Prints each request of the core as it ends, with its outcome and duration."""

    def __init__(self, head: Head) -> None:
        """Wrap the `serve` method of a head's engine."""
        self.serve = head.engine.serve
        self.classes = [request_class.name for request_class in head.conf.settings.classes]
        self.count = 0
        head.engine.serve = self.serve_and_print  # type: ignore[method-assign]

    async def serve_and_print(self, request: model.Request) -> model.Answer:
        """Serve a request with the engine and print its outcome."""
        began = time.perf_counter()
        try:
            answer = await self.serve(request)
        except asyncio.CancelledError:
            self._print(request, "client disconnected", began)
            raise
        self._print(request, describe_answer(answer), began)
        return answer

    def _print(self, request: model.Request, outcome: str, began: float) -> None:
        self.count += 1
        milliseconds = (time.perf_counter() - began) * 1000
        print(
            f"{request.method:4} {request.target[:MAX_TARGET_SHOWN]}  "
            f"{self.classes[request.request_class]}, volume "
            f"{request.volume}, {request.units:g} units: {outcome}, {milliseconds:.0f} ms",
            flush=True,
        )


def describe_answer(answer: model.Answer) -> str:
    """Return a short description of the result of a request."""
    match answer:
        case model.Served():
            status = f"{answer.head.status} " if answer.head is not None else ""
            size = "streamed body" if answer.stream is not None else f"{len(answer.body)} bytes"
            return f"served: {status}{size} from shard {answer.shard}"
        case model.Refused():
            delay = answer.retry_after
            return f"rejected, retry after {delay.total_seconds():.3f} s" if delay else "rejected"
        case _:
            return "failed"


@dataclass(slots=True, frozen=True)
class FrontPorts:
    """The ports on which the fronts of a head listen."""

    platform: int
    objects: int
    http: int
    management: int

    @classmethod
    def of(cls, head: Head) -> FrontPorts:
        """Return the ports of a started head that has all fronts."""
        assert head.objects is not None and head.http is not None
        return cls(head.platform.port, head.objects.port, head.http.port, head.management.port)


def example_calls(ports: FrontPorts) -> list[str]:
    """Return the address of each front with curl commands that can be copied and run."""
    platform = f"http://{HOST}:{ports.platform}"
    objects = f"http://{HOST}:{ports.objects}"
    http = f"http://{HOST}:{ports.http}"
    management = f"http://{HOST}:{ports.management}"
    return [
        f"platform    {platform}",
        f"  curl -si -X PUT {platform}/event-write/00000000f0a70001/0000000000000007 "
        "-H \"Req-Id: demo-$RANDOM$RANDOM\" -H 'X-Plan: premium' -H 'Req-Deadline-Ms: 2000' "
        "-H 'X-IO: units=1,shard=-1,hosts=1' -H \"Idempotency-Key: $RANDOM\" -d 'a goal'",
        f"objects     {objects}",
        f"  curl -si -T README.md {objects}/match-footage/readme",
        f"  curl -si -r 0-99 {objects}/match-footage/readme",
        f"http        {http}",
        f"  curl -si -X PUT -d '1:0' {http}/feed/matches/7",
        f"  curl -si {http}/feed/matches/7",
        f"  curl -si -H 'X-Client: partner-0007' {http}/archive/2025",
        f"management  {management}",
        f"  curl -s {management}/control/counters",
    ]


def print_start(nodes: list[StandInNode], folder: Path, ports: FrontPorts) -> None:
    """Print what is running, the folder of its files, and example commands."""
    print(f"running one head with {len(nodes)} stand-in nodes on loopback; press Ctrl-C to stop")
    print(f"files: {folder} (to reload the rules, edit rules.cue, then run: kill -HUP {os.getpid()})\n")
    print("\n".join(example_calls(ports)))
    print("\nwhat becomes of requests:", flush=True)


# -- running the demo -------------------------------------------------------------------------------------
@contextlib.asynccontextmanager
async def stand_ins(count: int, seed: int) -> AsyncIterator[tuple[list[StandInNode], int]]:
    """Run stand-in nodes and discovery; yields the nodes and the port of discovery."""
    servers = StandInServers()
    nodes = [StandInNode(f"node-{i}", i, seed) for i in range(count)]
    try:
        for node in nodes:
            node.port = await servers.serve(node.handle)
        yield nodes, await servers.serve(StandInDiscovery(nodes).handle)
    finally:
        await servers.close()


def stop_on_signals(head: Head) -> asyncio.Event:
    """Install signal handlers: SIGHUP reloads the rules; SIGTERM and SIGINT set the returned event."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def reload() -> None:
        for service in head.tables:
            service.reload()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop


async def demo(count: int, seed: int, seconds: float | None) -> None:
    """Serve until SIGTERM or SIGINT, or for a fixed time.

    Args:
        count: Number of stand-in nodes.
        seed: Seed of the service times of the nodes.
        seconds: Maximum time to serve; None: until a signal.

    Raises:
        ConfigError: The files of the deployment are invalid.
        OSError: A port cannot be opened.
    """
    async with stand_ins(count, seed) as (nodes, discovery_port):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            head = make_head(folder, nodes, discovery_port)
            printer = RequestPrinter(head)
            stop = stop_on_signals(head)
            await head.start()
            try:
                print_start(nodes, folder, FrontPorts.of(head))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), seconds)
            finally:
                print("\nstopping: waiting for requests in flight to be answered", flush=True)
                await head.stop()
    served = ", ".join(f"{node.name} {node.served}" for node in nodes)
    print(f"{printer.count} requests of the core, by node: {served}", flush=True)


def run_demo(count: int, seed: int, seconds: float | None) -> int:
    """Run the demo as a command; returns its exit code, which is 2 if the demo cannot start.

    Args:
        count: Number of stand-in nodes.
        seed: Seed of the service times of the nodes.
        seconds: Maximum time to serve; None: until a signal.
    """
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level="WARNING",
        backtrace=False,
        diagnose=False,
    )
    try:
        asyncio.run(demo(count, seed, seconds))
    except (config.ConfigError, OSError) as error:
        print(f"cannot start the demo: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    return 0
