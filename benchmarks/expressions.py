"""Evaluation time of expressions: compiled, as closures, by the tree-walking reference, and by cel-python.

    python -m benchmarks.expressions [--runs 5] [--json FILE]

Evaluates 30 realistic expressions for one request. Figures are the median and the 99th percentile over
batches, and the spread over runs. cel-python is installed by `pip install -r requirements-bench.txt`, and
skipped if it is missing.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.closures import compile_closures
from stoatrouter import expressions as ex
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, read_input
from tests.reference import Reference

REQUEST = (
    "GET",
    "/v2/leagues/liga-1/matches/20417/events?from=120&to=240&team=persija",
    (
        (b"Host", b"feed.scores.example:8443"),
        (b"User-Agent", b"broadcast-partner/3.1"),
        (b"X-Team", b"feed"),
        (b"X-Client", b"partner-0142"),
        (b"Cookie", b"session=8f2c1b; region=id-jk"),
        (b"Accept", b"application/json"),
        (b"X-Priority", b"7"),
        (b"Authorization", b"Bearer 0123456789abcdef0123456789abcdef"),
    ),
    "10.20.3.44",
    512,
    "score-read",
)
REALISTIC = (
    'request.method == "GET"',
    'request.method in ["GET", "HEAD"]',
    'request.path.startsWith("/v2/leagues/")',
    'request.method == "GET" && request.path.startsWith("/v2/") && request.path.endsWith("/events")',
    'request.host == "feed.scores.example"',
    'request.host.endsWith(".scores.example") && request.method != "DELETE"',
    '"x-team" in request.headers && request.headers["x-team"] == "feed"',
    'request.headers[?"x-team"].orValue("none") in ["feed", "app", "archive"]',
    'request.headers[?"user-agent"].orValue("").startsWith("broadcast-partner/")',
    'request.headers[?"x-client"].orValue("").matches("^partner-[0-9]{4}$")',
    'request.path.matches("^/v[0-9]+/leagues/[a-z0-9-]+/matches/[0-9]+")',
    'size(request.segments) > 3 && request.segments[1] == "leagues" && request.segments[3] == "matches"',
    'size(request.segments) == 6 ? request.segments[4] : ""',
    'request.segments.exists(s, s == "matches")',
    'request.query[?"team"].orValue("") == "persija"',
    'try(int(request.query[?"from"].orValue("0"))).orValue(0) >= 100',
    "has(request.query.from) && has(request.query.to)",
    'request.cookies[?"region"].orValue("").startsWith("id-")',
    'cidr("10.20.0.0/16").containsIP(source.ip)',
    'cidr("10.0.0.0/8").containsIP(source.ip) && !cidr("10.99.0.0/16").containsIP(source.ip)',
    "hex16(hash(request.path))",
    "hex16(hash(size(request.segments) > 4 ? request.segments[2] + request.segments[4] : request.path))",
    'hash(request.headers[?"x-client"].orValue("")) % 100 < 5',
    "request.size > 0 && request.size <= 65536",
    'try(int(request.headers[?"x-priority"].orValue("5"))).orValue(5) > 6 ? "event-write" : "score-read"',
    '{"feed": "premium", "app": "basic"}[?request.headers[?"x-team"].orValue("")].orValue("basic")',
    'request.method == "GET" && (request.path.contains("/events") || request.path.contains("/scores"))',
    '!("authorization" in request.headers) || request.headers["authorization"].startsWith("Bearer ")',
    'request.headers[?"accept"].orValue("*/*").lowerAscii().contains("json")',
    'request.segments.filter(s, s.startsWith("liga")).join("+")',
)
BATCH = 20  # evaluations timed together, as reading the clock takes some 50 ns
BATCHES = 300


def measure(work: Callable[[], Any], batch: int, batches: int) -> tuple[float, float]:
    """Return the median and 99th percentile of one evaluation, in microseconds."""
    figures = []
    for _ in range(batches):
        started_at = time.perf_counter_ns()
        for _ in range(batch):
            work()
        figures.append((time.perf_counter_ns() - started_at) / batch / 1000)
    figures.sort()
    return statistics.median(figures), figures[int(len(figures) * 0.99) - 1]


def celpy_programs(request_input: Any) -> list[Callable[[], Any] | None] | None:
    """Return the expressions compiled by cel-python, with None for each that it does not support."""
    try:
        import celpy
        from celpy import celtypes
    except ImportError:
        return None
    env = celpy.Environment()
    activation = {
        "request": celpy.json_to_cel(
            {
                "method": request_input.method,
                "path": request_input.path,
                "host": request_input.host,
                "headers": dict(request_input.headers),
                "segments": request_input.segments,
                "query": dict(request_input.query),
                "cookies": dict(request_input.cookies),
            }
        )
    }
    activation["request"]["size"] = celtypes.IntType(request_input.size)
    programs: list[Callable[[], Any] | None] = []
    for source in REALISTIC:
        try:
            program = env.program(env.compile(source))
            program.evaluate(activation)
            programs.append(lambda program=program: program.evaluate(activation))
        except Exception:  # noqa: BLE001 - any error means not supported
            programs.append(None)
    return programs


def run_once(request_input: Any) -> dict[str, list[tuple[float, float] | None]]:
    compiled = [ex.load(source, HTTP_ENVIRONMENT) for source in REALISTIC]
    variables = {
        name: getattr(request_input, variable.attribute)
        for name, variable in HTTP_ENVIRONMENT.variables.items()
    }
    reference = Reference(variables, ("request.headers",))
    trees = [ex.parse(source) for source in REALISTIC]
    closed = [compile_closures(program.checked) for program in compiled]
    result: dict[str, list[tuple[float, float] | None]] = {
        "compiled": [measure(lambda run=p.run: run(request_input), BATCH, BATCHES) for p in compiled],
        "closures": [
            measure(lambda run=run: run(request_input), BATCH, BATCHES) if run else None for run in closed
        ],
        "reference": [measure(lambda tree=tree: reference.of(tree), 5, 100) for tree in trees],
    }
    others = celpy_programs(request_input)
    if others is not None:
        result["cel-python"] = [measure(work, 1, 30) if work else None for work in others]
    return result


def cold_start(module: str) -> tuple[float, float]:
    """Return the milliseconds and megabytes that importing a module takes in a new process."""
    code = (
        "import time;m=lambda:int(open('/proc/self/statm').read().split()[1])/256;"
        "b=m();t=time.perf_counter();"
        f"import {module};"
        "print((time.perf_counter()-t)*1e3,m()-b)"
    )
    runs = []
    for _ in range(5):
        process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=False)
        if process.returncode:
            return float("nan"), float("nan")
        runs.append(tuple(map(float, process.stdout.split())))
    return statistics.median(r[0] for r in runs), statistics.median(r[1] for r in runs)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--json")
    arguments = parser.parse_args()
    request_input = read_input(*REQUEST)
    runs = [run_once(request_input) for _ in range(arguments.runs)]
    print(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}, {arguments.runs} runs\n")
    report: dict[str, Any] = {}
    for backend in runs[0]:
        medians, tails, missing = [], [], 0
        for i in range(len(REALISTIC)):
            figures = [run[backend][i] for run in runs]
            if figures[0] is None:
                missing += 1
                continue
            medians.append(statistics.median(f[0] for f in figures if f))
            tails.append(statistics.median(f[1] for f in figures if f))
        spread = [statistics.median([f[0] for f in run[backend] if f]) for run in runs]
        report[backend] = {
            "median_us": statistics.median(medians),
            "slowest_median_us": max(medians),
            "p99_over_set_us": max(tails),
            "spread_of_medians_us": [min(spread), max(spread)],
            "expressions": len(medians),
            "not_expressible": missing,
            "each": medians,
        }
        print(
            f"{backend:>10}: median {statistics.median(medians):8.2f} us, slowest {max(medians):8.2f} us, "
            f"99th percentile of the slowest {max(tails):8.2f} us, "
            f"medians over runs {min(spread):.2f} to {max(spread):.2f} us"
            + (f"; {missing} of {len(REALISTIC)} not expressible" if missing else "")
        )
    for backend in ("reference", "cel-python"):
        if backend in report:
            ratios = [
                b / a
                for a, b in zip(
                    [
                        statistics.median(r["compiled"][i][0] for r in runs)
                        for i in range(len(REALISTIC))
                        if runs[0][backend][i]
                    ],
                    report[backend]["each"],
                    strict=True,
                )
            ]
            median_ratio = statistics.median(ratios)
            report[backend]["times_compiled"] = median_ratio
            print(f"{backend}: {median_ratio:.0f} times the compiled form (least {min(ratios):.0f})")
    loads = sorted(
        measure(lambda source=source: ex.load(source, HTTP_ENVIRONMENT), 1, 5)[0] for source in REALISTIC
    )
    print(f"load of one: median {statistics.median(loads):.0f} us, slowest {loads[-1]:.0f} us")
    for module in ("stoatrouter.expressions", "celpy"):
        took, memory = cold_start(module)
        report[f"import {module}"] = {"ms": took, "mb": memory}
        print(f"import {module}: {took:.0f} ms, {memory:.1f} MB")
    print(f"peak memory of this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB")
    if arguments.json:
        with open(arguments.json, "w") as file:
            json.dump(report, file, indent=1)


if __name__ == "__main__":
    main()
