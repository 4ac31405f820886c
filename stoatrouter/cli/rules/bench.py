"""`rules bench`: measures the load time of a table and the time per decision."""

from __future__ import annotations

import statistics
import time
from pathlib import Path

import click

from stoatrouter.cli.options import EXISTING_FILE, config_option, json_option
from stoatrouter.cli.output import CommandError, echo_json, exit_with_faults
from stoatrouter.cli.rules.examples import example_requests
from stoatrouter.cli.tables import load_table
from stoatrouter.matching.inputs import Input
from stoatrouter.matching.samples import read_samples
from stoatrouter.matching.table import Table
from stoatrouter.settings import SettingsError

NANOSECONDS_PER_MICROSECOND = 1000


@click.command("bench")
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--requests", "log", type=EXISTING_FILE, default=None, help="Recorded requests; default: generated."
)
@click.option("--rounds", type=click.IntRange(1, 1000), default=20, show_default=True)
@config_option
@json_option
def bench_command(file: Path, log: Path | None, rounds: int, config_path: Path | None, as_json: bool) -> None:
    """Measure the load time of a table and the time per decision."""
    started = time.perf_counter()
    try:
        table = load_table(file, config_path).table
    except SettingsError as error:
        exit_with_faults(error, as_json)
    load_seconds = time.perf_counter() - started
    requests = read_requests(table, log)
    if not requests:
        raise CommandError("there are no requests to time")
    data = bench_data(table, load_seconds, sorted(time_requests(table, requests, rounds)))
    if as_json:
        echo_json(data)
        return
    click.echo(
        f"{data['rules']} rules loaded in {data['load_s']} s; {data['requests']} requests, each decided "
        f"{rounds} times: median {data['median_us']} us, 99th percentile {data['p99_us']} us; "
        f"at most {data['worst_steps']} steps"
    )


def read_requests(table: Table, log: Path | None) -> list[Input]:
    """Return the readable requests of a log; without a log, one generated request per rule of the table."""
    if log is None:
        return [request for compiled in table.scopes.values() for request in example_requests(compiled)]
    with log.open(encoding="utf-8", errors="replace") as lines:
        return [request for _, request in read_samples(lines) if isinstance(request, Input)]


def time_requests(table: Table, requests: list[Input], rounds: int) -> list[float]:
    """Return the mean time of a decision over all rounds, in microseconds, for each request."""
    mean_times = []
    for request in requests:
        table.decide(request)  # excludes work that is done once per request
        started = time.perf_counter_ns()
        for _ in range(rounds):
            table.decide(request)
        elapsed = time.perf_counter_ns() - started
        mean_times.append(elapsed / rounds / NANOSECONDS_PER_MICROSECOND)
    return mean_times


def bench_data(table: Table, load_seconds: float, mean_times: list[float]) -> dict[str, object]:
    """Return the result as data, from the sorted mean times of all requests in microseconds."""
    return {
        "rules": table.size,
        "requests": len(mean_times),
        "load_s": round(load_seconds, 3),
        "median_us": round(statistics.median(mean_times), 2),
        "p99_us": round(mean_times[max(0, int(len(mean_times) * 0.99) - 1)], 2),
        "worst_steps": max((compiled.max_steps for compiled in table.scopes.values()), default=0),
    }
