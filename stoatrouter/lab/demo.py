"""A head with all its fronts before stand-in nodes, on loopback: what `stoatrouter demo` shows."""

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
from importlib import resources
from pathlib import Path

from loguru import logger

from stoatrouter import config
from stoatrouter.core import model
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.fronts.objects.settings import load_objects
from stoatrouter.head import Head
from stoatrouter.lab.standins import HOST, StandInDiscovery, StandInNode, StandInServers

FILES = resources.files("stoatrouter.lab") / "demo_files"  # a small deployment


def files(folder: Path, nodes: list[StandInNode], discovery: int) -> Path:
    """All that the head is told, as files; returns the configuration's."""
    settings = json.loads((FILES / "settings.json").read_text())
    settings["Extra"]["Shards"] = len(nodes)
    (folder / "config.json").write_text(
        json.dumps(
            {
                "name": "demo",
                "listen": f"{HOST}:0",
                "discovery": f"{HOST}:{discovery}",
                "management": f"{HOST}:0",
                "seed": secrets.token_hex(8),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 0, "reset": True, "instances": [node.entry() for node in nodes]},
                "settings": settings,
            }
        )
    )
    (folder / "objects.secret").write_text(secrets.token_hex(32))
    for name in ("http.cue", "objects.cue", "rules.cue"):
        (folder / name).write_text((FILES / name).read_text())
    return folder / "config.json"


class Shown:
    """Says what becomes of each request of the core, as it ends."""

    def __init__(self, head: Head) -> None:
        self.head, self.serve = head, head.engine.serve
        self.classes = [c.name for c in head.conf.settings.classes]
        self.count = 0

    async def __call__(self, request: model.Request) -> model.Answer:
        began = time.perf_counter()
        try:
            answer = await self.serve(request)
        except asyncio.CancelledError:
            self.say(request, "its client left", began)
            raise
        self.say(request, self.became(answer), began)
        return answer

    def became(self, answer: model.Answer) -> str:
        match answer:
            case model.Served():
                status = f"{answer.head.status} " if answer.head is not None else ""
                size = "a large answer" if answer.stream is not None else f"{len(answer.body)} bytes"
                return f"served: {status}{size} from shard {answer.shard}"
            case model.Refused():
                when = answer.retry_after
                return "refused" + (f", come back in {when.total_seconds():.3f} s" if when else "")
            case _:
                return "failed"

    def say(self, request: model.Request, became: str, began: float) -> None:
        self.count += 1
        took = (time.perf_counter() - began) * 1000
        print(
            f"{request.method:4} {request.target[:60]}  {self.classes[request.request_class]}, volume "
            f"{request.volume}, {request.units:g} units: {became}, {took:.0f} ms",
            flush=True,
        )


def ports(head: Head) -> dict[str, int]:
    """Where each front listens."""
    assert head.objects is not None and head.http is not None
    return {
        "platform": head.platform.port,
        "objects": head.objects.port,
        "http": head.http.port,
        "management": head.management.port,
    }


def lines(at: dict[str, int]) -> list[str]:
    """A call for each front that works as it stands."""
    platform = (
        f"curl -si -X PUT http://{HOST}:{at['platform']}/event-write/00000000f0a70001/0000000000000007 "
        "-H \"Req-Id: demo-$RANDOM$RANDOM\" -H 'X-Plan: premium' -H 'Req-Deadline-Ms: 2000' "
        "-H 'X-IO: units=1,shard=-1,hosts=1' -H \"Idempotency-Key: $RANDOM\" -d 'a goal'"
    )
    return [
        f"platform    http://{HOST}:{at['platform']}",
        f"  {platform}",
        f"objects     http://{HOST}:{at['objects']}",
        f"  curl -si -T README.md http://{HOST}:{at['objects']}/match-footage/readme",
        f"  curl -si -r 0-99 http://{HOST}:{at['objects']}/match-footage/readme",
        f"http        http://{HOST}:{at['http']}",
        f"  curl -si -X PUT -d '1:0' http://{HOST}:{at['http']}/feed/matches/7",
        f"  curl -si http://{HOST}:{at['http']}/feed/matches/7",
        f"  curl -si -H 'X-Client: partner-0007' http://{HOST}:{at['http']}/archive/2025",
        f"management  http://{HOST}:{at['management']}",
        f"  curl -s http://{HOST}:{at['management']}/control/counters",
    ]


async def demo(count: int, seed: int, seconds: float | None) -> None:
    """Serve until asked to stop."""
    listening = StandInServers()
    nodes = [StandInNode(f"node-{i}", i, seed) for i in range(count)]
    for node in nodes:
        node.port = await listening.serve(node.handle)
    discovery = await listening.serve(StandInDiscovery(nodes).handle)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        conf = config.read({"NODE_CONFIG": str(files(folder, nodes, discovery))}, {})
        head = Head(
            conf,
            load_objects(folder / "objects.cue", conf.settings, conf.shards),
            load_http(folder / "http.cue"),
        )
        shown = Shown(head)
        head.engine.serve = shown  # type: ignore[method-assign]
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for sign in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sign, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: [service.reload() for service in head.tables])
        await head.start()
        try:
            say_start(nodes, folder, ports(head))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), seconds)
        finally:
            print("\nstopping: what was taken is answered first; a second Ctrl-C is not needed", flush=True)
            await head.stop()
            await listening.close()
    print(
        f"{shown.count} requests of the core, by node: "
        + ", ".join(f"{node.name} {node.served}" for node in nodes),
        flush=True,
    )


def say_start(nodes: list[StandInNode], folder: Path, at: dict[str, int]) -> None:
    print(f"a head with {len(nodes)} stand-in nodes, all on loopback; Ctrl-C ends it")
    print(f"its files: {folder} (change rules.cue, then: kill -HUP {os.getpid()})\n")
    print("\n".join(lines(at)))
    print("\nwhat becomes of requests:", flush=True)


def play(count: int, seed: int, seconds: float | None) -> int:
    """The exit code."""
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
        print(f"the demo cannot start: {error}", file=sys.stderr)
        return 2
    return 0
