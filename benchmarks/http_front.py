"""Cost of the HTTP front per request, by number of rules, and of the platform front of the same head.

    python -m benchmarks.http_front [--runs 5] [--requests 1500]

One head as a separate process, nodes that answer at once, and one client that sends requests one after the
other on one connection. CPU is that of the head only; latency includes client, nodes and loopback.
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

from benchmarks.heads import free_ports, process_usage, running_head, running_nodes, wait_ready
from tests.peers import HOST

ROOT = Path(__file__).parents[1]
PLATFORM = (
    "GET /score-read/00000000f0a70001/{key:016x} HTTP/1.1\r\nHost: h\r\nReq-Id: r{run}-{key}\r\n"
    "X-Plan: premium\r\nReq-Deadline-Ms: 2000\r\nX-IO: units=1,shard={shard},hosts=1\r\n\r\n"
)
HTTP = "GET /feed/league/{key} HTTP/1.1\r\nHost: scores.example\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"


def rules(count: int) -> str:
    """Return a rule table of `count` rules, of which the last one matches."""
    other_rules = "".join(
        f'{{name: "r{i}", when: #"request.method == "GET" && request.path.startsWith("/feed/x{i}/")"#, '
        'class: "score-read"},\n'
        for i in range(count - 1)
    )
    return (
        'scopes: feed: {hosts: ["*"], paths: ["/feed/"], classes: ["score-read"], plans: ["premium"], '
        f'volumes: ["00000000f0a70001"], steps: 1000000, rules: [{other_rules}'
        '{name: "all", when: #"request.method == "GET""#, class: "score-read"}]}\n'
    )


async def send_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, text: str) -> None:
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


async def measure(port: int, template: str, pid: int, requests: int, run: int) -> tuple[float, float, float]:
    """Return the median and 99th percentile of a request in ms, and the CPU of the head per request in us."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for key in range(50):
        await send_request(reader, writer, template.format(key=key, run=f"w{run}{port}", shard=key % 2))
    before, figures = process_usage(pid).cpu_s, []
    for key in range(requests):
        started_at = time.perf_counter()
        await send_request(reader, writer, template.format(key=key, run=f"{run}{port}", shard=key % 2))
        figures.append((time.perf_counter() - started_at) * 1000)
    cpu = (process_usage(pid).cpu_s - before) / requests * 1e6
    writer.close()
    figures.sort()
    return statistics.median(figures), figures[int(requests * 0.99) - 1], cpu


async def measure_fronts(count: int, runs: int, requests: int) -> dict[str, list[tuple[float, float, float]]]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        listen, http = free_ports(2)
        (folder / "rules.cue").write_text(rules(count))
        (folder / "http.cue").write_text(f'listen: "{HOST}:{http}"\nrules: "rules.cue"\n')
        async with running_nodes(2) as node_entries:
            environ = {"STOATROUTER_HTTP": str(folder / "http.cue"), "PYTHONPATH": str(ROOT)}
            with running_head(ROOT, sys.executable, node_entries, listen, environ) as process:
                await wait_ready(listen, 120)
                results: dict[str, list[tuple[float, float, float]]] = {"platform": [], "http": []}
                for run in range(runs):
                    results["platform"].append(await measure(listen, PLATFORM, process.pid, requests, run))
                    results["http"].append(await measure(http, HTTP, process.pid, requests, run))
                return results


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--requests", type=int, default=1500)
    arguments = parser.parse_args()
    print(
        f"machine: {os.cpu_count()} cores, Python {platform.python_version()}, {arguments.runs} runs of "
        f"{arguments.requests} requests"
    )
    for count in (10, 1000):
        results = asyncio.run(measure_fronts(count, arguments.runs, arguments.requests))
        print(f"{count} rules")
        for front, figures in results.items():
            cpu = [f[2] for f in figures]
            print(
                f"  {front:>8}: median {statistics.median(f[0] for f in figures):.3f} ms, 99th percentile "
                f"{statistics.median(f[1] for f in figures):.3f} ms, CPU {statistics.median(cpu):.0f} us "
                f"({min(cpu):.0f} to {max(cpu):.0f})"
            )


if __name__ == "__main__":
    main()
