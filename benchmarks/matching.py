"""Time to match a request against 10 to 10,000 rules, with and without the index, and to load the rules.

    python -m benchmarks.matching [--runs 5] [--seed 1]

The baseline without the index tries every rule in turn. Requests are drawn at random from a set that has one
request for each rule, and for each scope one that matches none.
"""

from __future__ import annotations

import argparse
import os
import platform
import random
import statistics
import tempfile
import time
import tracemalloc
from pathlib import Path

from stoatrouter.matching.files import TableLoader
from stoatrouter.matching.inputs import Input, read_input
from stoatrouter.matching.table import Table
from tests.rules import VOCABULARY

SIZES = ((1, 10), (2, 50), (20, 50), (200, 50))  # number of scopes, rules of each scope
REQUESTS = 400


def rule(i: int, j: int) -> tuple[str, str]:
    """Return the text of a rule of one of five typical kinds, and the target of a request that it matches."""
    kinds = (
        (f'request.method == "GET" && request.path.startsWith("/t{i}/l-{j}/")', f"/t{i}/l-{j}/a", ""),
        (f'request.method == "GET" && request.path == "/t{i}/match-{j}"', f"/t{i}/match-{j}", ""),
        (f'request.method in ["GET"] && request.headers[?"x-team"].orValue("") == "team-{j}"', "", ""),
        (
            f'request.method == "GET" && request.segments[?2].orValue("") == "part-{j}"',
            f"/t{i}/x/part-{j}",
            "",
        ),
        (
            f'request.method == "GET" && request.query[?"match"].orValue("") == "m{j}"',
            f"/t{i}/x?match=m{j}",
            f', key: expr: #"hash(request.query[?"match"].orValue("") + "{j}")"#',
        ),
    )
    when, target, extra_fields = kinds[j % 5]
    return f'\t{{name: "r{j}", when: #"{when}"#, class: "score-read"{extra_fields}}},', target


def write_table(folder: Path, scopes: int, rules: int) -> list[Input]:
    """Write the files of a table, and return requests for it."""
    operator, requests = ["scopes: {"], []
    for i in range(scopes):
        operator.append(
            f'\tteam{i}: {{hosts: ["t{i}.example"], paths: ["/t{i}/"], classes: ["score-read"], '
            f'plans: ["premium"], volumes: ["{i:016x}"], steps: 100000, file: "team{i}.cue"}}'
        )
        texts = []
        for j in range(rules):
            text, target = rule(i, j)
            texts.append(text)
            fields = [(b"Host", f"t{i}.example".encode()), (b"Accept", b"*/*")]
            if not target:
                target = f"/t{i}/x"
                fields.append((b"X-Team", f"team-{j}".encode()))
            requests.append(read_input("GET", target, fields, "10.0.0.1"))
        requests.append(read_input("GET", f"/t{i}/none", [(b"Host", f"t{i}.example".encode())], "10.0.0.1"))
        (folder / f"team{i}.cue").write_text("rules: [\n" + "\n".join(texts) + "\n]\n")
    (folder / "rules.cue").write_text("\n".join([*operator, "}"]) + "\n")
    return requests


def match_in_scope(table: Table, request_input: Input) -> int | None:
    """Match without the index: select the scope by host and path, then try its rules in order."""
    for entry in table.scopes.values():
        if request_input.host in entry.scope.hosts and request_input.path.startswith(entry.scope.paths[0]):
            for i, compiled_rule in enumerate(entry.rules):
                if compiled_rule.when(request_input):
                    return i
            return None
    return None


def match_in_one_list(table: Table, request_input: Input) -> int | None:
    """Match without scopes and index: try all rules of all scopes in order."""
    for entry in table.scopes.values():
        inside = request_input.host in entry.scope.hosts and request_input.path.startswith(
            entry.scope.paths[0]
        )
        for i, compiled_rule in enumerate(entry.rules):
            if compiled_rule.when(request_input) and inside:
                return i
    return None


def measure(work: object, requests: list[Input]) -> tuple[float, float]:
    """Return the median and 99th percentile of one request, in microseconds."""
    figures = []
    for request_input in requests:
        started_at = time.perf_counter_ns()
        work(request_input)  # type: ignore[operator]
        figures.append((time.perf_counter_ns() - started_at) / 1000)
    figures.sort()
    return statistics.median(figures), figures[int(len(figures) * 0.99) - 1]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}")
    print(f"{arguments.runs} runs, seed {arguments.seed}")
    first: float | None = None
    for scopes, rules in SIZES:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            all_requests = write_table(folder, scopes, rules)
            tables = TableLoader(folder / "rules.cue", VOCABULARY)
            started_at = time.perf_counter()
            table, _ = tables.load()
            load_s = time.perf_counter() - started_at
            (folder / "team0.cue").write_text((folder / "team0.cue").read_text() + "\n")
            started_at = time.perf_counter()
            tables.load()
            reload_s = time.perf_counter() - started_at
        rng = random.Random(arguments.seed)
        rows: dict[str, list[tuple[float, float]]] = {"index": [], "scope only": [], "one list": []}
        for _ in range(arguments.runs):
            requests = [rng.choice(all_requests) for _ in range(REQUESTS)]
            for request_input in requests:
                table.match(
                    request_input
                )  # fills values cached per request, which are not part of the comparison
            rows["index"].append(measure(table.match, requests))
            rows["scope only"].append(
                measure(lambda request_input, table=table: match_in_scope(table, request_input), requests)
            )
            sample = requests[: 400 if table.size <= 1000 else 40]
            rows["one list"].append(
                measure(lambda request_input, table=table: match_in_one_list(table, request_input), sample)
            )
        print(f"\n{table.size} rules in {scopes} scopes")
        print(f"  loaded in {load_s:.2f} s; again with one file changed in {reload_s:.3f} s")
        for method, figures in rows.items():
            medians = [f[0] for f in figures]
            print(
                f"  {method:>10}: median {statistics.median(medians):8.2f} us "
                f"({min(medians):.2f} to {max(medians):.2f}), "
                f"99th percentile {statistics.median(f[1] for f in figures):8.2f} us"
            )
        median = statistics.median(f[0] for f in rows["index"])
        first = first or median
        print(f"  index: {median / first:.2f} times the cost of {SIZES[0][0] * SIZES[0][1]} rules")
    with tempfile.TemporaryDirectory() as name:
        write_table(Path(name), *SIZES[-1])
        tracemalloc.start()
        loader = TableLoader(Path(name) / "rules.cue", VOCABULARY)
        table, _ = loader.load()
        current, peak = tracemalloc.get_traced_memory()
        print(f"\nmemory of {table.size} rules: {current / 1e6:.0f} MB, {peak / 1e6:.0f} MB while loading")


if __name__ == "__main__":
    main()
