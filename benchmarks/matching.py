"""Matching a request against 10 to 10,000 rules, with the index and without; and loading 10,000 rules.

    python -m benchmarks.matching [--runs 5] [--seed 1]

Without the index every rule is tried in its turn: the baseline. Requests are drawn so that each rule is met,
and a tenth match none.
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

SIZES = ((1, 10), (2, 50), (20, 50), (200, 50))  # scopes, rules of each
REQUESTS = 400


def rule(i: int, j: int) -> tuple[str, str]:
    """The text of a rule, and the target of a request that it matches. Five kinds, as teams write them."""
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
    when, target, more = kinds[j % 5]
    return f'\t{{name: "r{j}", when: #"{when}"#, class: "score-read"{more}}},', target


def write(folder: Path, scopes: int, rules: int) -> list[Input]:
    """The files of a table, and requests for it."""
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


def plainly(table: Table, given: Input) -> int | None:
    """The baseline: all rules in their order, each with its scope's host and path."""
    for home in table.scopes.values():
        if given.host in home.scope.hosts and given.path.startswith(home.scope.paths[0]):
            for i, made in enumerate(home.rules):
                if made.when(given):
                    return i
            return None
    return None


def in_one_list(table: Table, given: Input) -> int | None:
    """The plainest way: one list of all rules, each tried in turn."""
    for home in table.scopes.values():
        inside = given.host in home.scope.hosts and given.path.startswith(home.scope.paths[0])
        for i, made in enumerate(home.rules):
            if made.when(given) and inside:
                return i
    return None


def timed(work: object, requests: list[Input]) -> tuple[float, float]:
    """Median and 99th percentile in microseconds of one request."""
    figures = []
    for given in requests:
        began = time.perf_counter_ns()
        work(given)  # type: ignore[operator]
        figures.append((time.perf_counter_ns() - began) / 1000)
    figures.sort()
    return statistics.median(figures), figures[int(len(figures) * 0.99) - 1]


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--runs", type=int, default=5)
    options.add_argument("--seed", type=int, default=1)
    chosen = options.parse_args()
    print(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}")
    print(f"{chosen.runs} runs, seed {chosen.seed}")
    first: float | None = None
    for scopes, rules in SIZES:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            everything = write(folder, scopes, rules)
            tables = TableLoader(folder / "rules.cue", VOCABULARY)
            began = time.perf_counter()
            table, _ = tables.load()
            took = time.perf_counter() - began
            (folder / "team0.cue").write_text((folder / "team0.cue").read_text() + "\n")
            began = time.perf_counter()
            tables.load()
            again = time.perf_counter() - began
        drawn = random.Random(chosen.seed)
        rows: dict[str, list[tuple[float, float]]] = {"index": [], "scope only": [], "one list": []}
        for _ in range(chosen.runs):
            requests = [drawn.choice(everything) for _ in range(REQUESTS)]
            for given in requests:
                table.match(given)  # what is worked out once for a request is no part of the comparison
            rows["index"].append(timed(table.match, requests))
            rows["scope only"].append(timed(lambda given, table=table: plainly(table, given), requests))
            few = requests[: 400 if table.size <= 1000 else 40]
            rows["one list"].append(timed(lambda given, table=table: in_one_list(table, given), few))
        print(f"\n{table.size} rules in {scopes} scopes")
        print(f"  loaded in {took:.2f} s; again with one file changed in {again:.3f} s")
        for way, figures in rows.items():
            medians = [f[0] for f in figures]
            print(
                f"  {way:>10}: median {statistics.median(medians):8.2f} us "
                f"({min(medians):.2f} to {max(medians):.2f}), "
                f"99th percentile {statistics.median(f[1] for f in figures):8.2f} us"
            )
        middle = statistics.median(f[0] for f in rows["index"])
        first = first or middle
        print(f"  index: {middle / first:.2f} times the cost of {SIZES[0][0] * SIZES[0][1]} rules")
    with tempfile.TemporaryDirectory() as name:
        write(Path(name), *SIZES[-1])
        tracemalloc.start()
        kept = TableLoader(Path(name) / "rules.cue", VOCABULARY)
        table, _ = kept.load()
        held, peak = tracemalloc.get_traced_memory()
        print(f"\nmemory of {table.size} rules: {held / 1e6:.0f} MB, {peak / 1e6:.0f} MB while loading")


if __name__ == "__main__":
    main()
