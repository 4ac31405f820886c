"""What the HTTP front adds to a request: beside the platform's front of the same head, and with more rules.

    python -m benchmarks.http_front [--runs 5] [--requests 1500]

A head as a process of its own, nodes that answer at once, one client on one connection, requests one after
the other. CPU is the head's own; the rest of a request is the client's, the nodes' and the loopback's.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import statistics
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.heads import free_ports, head, nodes, ready, used
from tests.peers import HOST

ROOT = Path(__file__).parents[1]
PLATFORM = (
    "GET /score-read/00000000f0a70001/{key:016x} HTTP/1.1\r\nHost: h\r\nReq-Id: r{run}-{key}\r\n"
    "X-Plan: premium\r\nReq-Deadline-Ms: 2000\r\nX-IO: units=1,shard={shard},hosts=1\r\n\r\n"
)
HTTP = "GET /feed/league/{key} HTTP/1.1\r\nHost: scores.example\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"


def rules(count: int) -> str:
    """A table of so many rules; the last one matches."""
    idle = "".join(
        f'{{name: "r{i}", when: #"request.method == "GET" && request.path.startsWith("/feed/x{i}/")"#, '
        'class: "score-read"},\n'
        for i in range(count - 1)
    )
    return (
        'scopes: feed: {hosts: ["*"], paths: ["/feed/"], classes: ["score-read"], plans: ["premium"], '
        f'volumes: ["00000000f0a70001"], steps: 1000000, rules: [{idle}'
        '{name: "all", when: #"request.method == "GET""#, class: "score-read"}]}\n'
    )


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, text: str) -> None:
    writer.write(text.encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in answer.split(b"\r\n", 1)[0]:
        raise RuntimeError(answer[:80])
    length = next(
        int(line.split(b":")[1])
        for line in answer.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    await reader.readexactly(length)


async def timed(port: int, form: str, pid: int, requests: int, run: int) -> tuple[float, float, float]:
    """Median and 99th percentile of a request in ms, and the head's CPU for one in us."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for key in range(50):
        await ask(reader, writer, form.format(key=key, run=f"w{run}{port}", shard=key % 2))
    before, figures = used(pid).cpu_s, []
    for key in range(requests):
        began = time.perf_counter()
        await ask(reader, writer, form.format(key=key, run=f"{run}{port}", shard=key % 2))
        figures.append((time.perf_counter() - began) * 1000)
    cpu = (used(pid).cpu_s - before) / requests * 1e6
    writer.close()
    figures.sort()
    return statistics.median(figures), figures[int(requests * 0.99) - 1], cpu


async def play(count: int, runs: int, requests: int) -> dict[str, list[tuple[float, float, float]]]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        listen, http = free_ports(2)
        (folder / "rules.cue").write_text(rules(count))
        (folder / "http.cue").write_text(f'listen: "{HOST}:{http}"\nrules: "rules.cue"\n')
        async with nodes(2) as known:
            environ = {"STOATROUTER_HTTP": str(folder / "http.cue"), "PYTHONPATH": str(ROOT)}
            with head(ROOT, sys.executable, known, listen, environ) as process:
                await ready(listen, 120)
                found: dict[str, list[tuple[float, float, float]]] = {"platform": [], "http": []}
                for run in range(runs):
                    found["platform"].append(await timed(listen, PLATFORM, process.pid, requests, run))
                    found["http"].append(await timed(http, HTTP, process.pid, requests, run))
                return found


def main() -> None:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--runs", type=int, default=5)
    options.add_argument("--requests", type=int, default=1500)
    chosen = options.parse_args()
    print(
        f"machine: {os.cpu_count()} cores, Python {platform.python_version()}, {chosen.runs} runs of "
        f"{chosen.requests} requests"
    )
    for count in (10, 1000):
        found = asyncio.run(play(count, chosen.runs, chosen.requests))
        print(f"{count} rules")
        for front, figures in found.items():
            cpu = [f[2] for f in figures]
            print(
                f"  {front:>8}: median {statistics.median(f[0] for f in figures):.3f} ms, 99th percentile "
                f"{statistics.median(f[1] for f in figures):.3f} ms, CPU {statistics.median(cpu):.0f} us "
                f"({min(cpu):.0f} to {max(cpu):.0f})"
            )


if __name__ == "__main__":
    main()
