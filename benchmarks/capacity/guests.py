"""Load of many heads on each node: connections, handshakes, probes, and requests during its warm-up.

Connections and handshakes are counted at the nodes of one real head, by rate and number of nodes. Probes are
counted for one scheduler in virtual time, with nodes that refuse all requests. For a fleet both are
multiplied by the number of heads and marked as extrapolated. The warm-up of cold nodes is simulated with all
heads together, in virtual time.
"""

from __future__ import annotations

import argparse
import math
import multiprocessing
import sys
from dataclasses import replace

from benchmarks.capacity import harness
from benchmarks.capacity.children import end_on_signals
from benchmarks.capacity.decision import HEADS, demo_settings
from benchmarks.capacity.request import Setting, measure_phase, running_bench
from benchmarks.capacity.virtual import SECOND, Load, VirtualHead, node_entries
from tests.test_fleet import OVERLOAD_WINDOW, WARM_UP_FROM, WARM_UP_TIME, sends_to_restarted_nodes

CLIENTS = 50
IDLE_CLOSE_S = 15.0  # half of ConnIdle, after which a head closes an idle connection
PROBE_NODES = 12
PROBE_WARM_UP = 3 * SECOND  # of virtual time
MEAN_UNITS = 2.0  # of a request to cold nodes
COLD_UNITS = (4.0, 34.0)
PROCESSES = 4


def record(
    run: harness.Run, name: str, size: float, value: float, unit: str, seed: int = 0, **details: float | str
) -> None:
    """Record one measurement with its details."""
    run.add(harness.Measurement(name, size, round(value, 4), unit, seed, dict(details)))


def measure_connections(run: harness.Run, nodes: int, rate_per_node: float, seconds: float) -> None:
    """Measure the connections of one real head, after idle ones have been closed and opened again."""
    rate = nodes * rate_per_node
    with running_bench(Setting(nodes=nodes, connections=CLIENTS)) as bench:
        phase = measure_phase(bench, rate, seconds, warm_up=IDLE_CLOSE_S + 3)
        max_open = sum(node.ask({})["most_open"] for node in bench.nodes)
    served = phase.counts["ok"]
    requests = {"nodes": nodes, "served": served}
    series = f"of one head, {nodes} nodes"
    held = phase.open_at_nodes / nodes
    handshake_rate = phase.accepted / seconds / nodes
    record(run, f"connections to a node {series}", rate_per_node, held, "connections", **requests)
    record(run, f"most to a node {series}", rate_per_node, max_open / nodes, "connections", **requests)
    record(run, f"handshakes at a node {series}", rate_per_node, handshake_rate, "a second", **requests)
    for name, value, unit in (
        ("connections", held, "connections"),
        ("handshakes", handshake_rate, "a second"),
    ):
        series_name = f"{name} at a node of {HEADS} heads, {nodes} nodes"
        record(run, series_name, rate_per_node, value * HEADS, unit, how="extrapolated from one head")


def measure_probes(run: harness.Run, rate_per_node: float, seed: int, seconds: float) -> None:
    """Measure probes of full nodes that report their queue."""
    settings = replace(demo_settings(), report_fields=("queue",))
    entries = node_entries(PROBE_NODES)
    full = frozenset(entry.node for entry in entries)
    load = Load(rate=rate_per_node * PROBE_NODES, skew=0.0)
    head = VirtualHead(settings, entries, load, seed, full)
    head.run(PROBE_WARM_UP)
    costs = head.run(round(seconds * SECOND))
    probes = costs.outcomes.probes / seconds / PROBE_NODES
    sends = costs.outcomes.sent / seconds / PROBE_NODES
    how = "extrapolated from one head"
    record(run, "probes of a full node by one head", rate_per_node, probes, "a second", seed)
    record(
        run,
        f"probes of a full node by {HEADS} heads",
        rate_per_node,
        probes * HEADS,
        "a second",
        seed,
        how=how,
    )
    record(run, "sends to a full node by one head", rate_per_node, sends, "a second", seed)


def window_capacity(end: int, units: float) -> float:
    """Return how many requests the slowest cold node can take in a window ending `end` after its start."""
    return (
        units / MEAN_UNITS * (1 + (1 / WARM_UP_FROM - 1) * max(0, end - OVERLOAD_WINDOW / 2) / WARM_UP_TIME)
    )


def fullest_window(sent: list[tuple[int, float]], units: float) -> tuple[float, float]:
    """Return the highest load of any window of a node, relative to its bound and to its capacity N.

    The bound N + 2 sqrt(N) + 2 allows for random variation.
    """
    ordered, first, requests = sorted(sent), 0, 0.0
    over_bound, over = -math.inf, -math.inf
    for end, size in ordered:
        requests += size / MEAN_UNITS
        while ordered[first][0] <= end - OVERLOAD_WINDOW:
            requests -= ordered[first][1] / MEAN_UNITS
            first += 1
        capacity = window_capacity(end, units)
        over_bound = max(over_bound, requests / (capacity + 2 * math.sqrt(capacity) + 2))
        over = max(over, requests / capacity)
    return over_bound, over


def measure_cold_ramp(case: tuple[int, int, float, bool]) -> tuple[float, float, int, int]:
    """Simulate all heads and cold nodes; return both highest loads, nodes over the bound, and all sends."""
    seed, heads, units, restarts = case
    nodes = [sent for sent in sends_to_restarted_nodes(seed, heads, units, restarts) if sent]
    found = [fullest_window(sent, units) for sent in nodes]
    return (
        max(bound for bound, _ in found),
        max(over for _, over in found),
        sum(bound > 1 for bound, _ in found),
        sum(len(sent) for sent in nodes),
    )


def measure_cold(run: harness.Run, heads: list[int], seeds: list[int]) -> None:
    """Measure cold nodes with increasing numbers of heads, with and without heads that restart meanwhile."""
    cases = [
        (seed, count, units, restarts)
        for seed in seeds
        for restarts in (False, True)
        for units in COLD_UNITS
        for count in heads
    ]
    with multiprocessing.get_context("spawn").Pool(min(PROCESSES, len(cases))) as pool:
        for case, found in zip(cases, pool.imap(measure_cold_ramp, cases), strict=True):
            seed, count, units, restarts = case
            over_bound, over, nodes_over, sends = found
            series = f"units {units:g}, heads {'restart' if restarts else 'stay'}"
            details: dict[str, float] = {"nodes_over_bound": nodes_over, "sends": sends}
            record(
                run,
                f"cold: fullest window of N + 2 sqrt(N) + 2, {series}",
                count,
                over_bound,
                "times",
                seed,
                **details,
            )
            record(run, f"cold: fullest window of N, {series}", count, over, "times", seed, **details)


def main() -> int:
    """Run the command."""
    arguments = arguments_parser().parse_args()
    end_on_signals()
    harness.require_capacity(memory_mb=2_000)
    with harness.recording("guests", arguments.out, arguments.at) as run:
        parts = arguments.series.split(",")
        if "connections" in parts:
            for nodes in arguments.nodes:
                for per_node in arguments.rates_per_node:
                    measure_connections(run, nodes, per_node, arguments.seconds)
        if "probes" in parts:
            for seed in arguments.seeds:
                for per_node in arguments.rates_per_node:
                    measure_probes(run, per_node, seed, arguments.seconds)
        if "cold" in parts:
            measure_cold(run, arguments.sizes, arguments.seeds)
    return 0


def parse_floats(text: str) -> list[float]:
    """Parse numbers separated by commas."""
    return [float(part) for part in text.split(",")]


def arguments_parser() -> argparse.ArgumentParser:
    """Return a parser of the common arguments and those of this command; sizes are numbers of heads."""
    command = harness.parser(__doc__ or "", sizes="12,60,120,370,740", seeds="1,2")
    command.add_argument("--series", default="connections,probes,cold", help="series to run, in order")
    command.add_argument("--nodes", type=harness.parse_ints, default=[24, 120])
    command.add_argument("--rates-per-node", type=parse_floats, default=[0.1, 0.5, 1.0, 2.0])
    command.add_argument("--seconds", type=float, default=6.0, help="length of each measured phase")
    return command


if __name__ == "__main__":
    sys.exit(main())
