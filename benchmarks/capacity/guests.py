"""What many heads bring to each node: connections, handshakes, probes, and requests while it is cold.

Connections and handshakes are counted at the nodes of one real head, by rate and number of nodes; probes are
counted of one scheduler in virtual time, at nodes that refuse all that comes. For a fleet both are multiplied
by its heads and marked as extrapolated. The cold ramp is that of all heads together, in virtual time.
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
IDLE_EXPIRY_S = 15.0  # half of ConnIdle, after which a head gives an idle connection up
PROBE_NODES, PROBE_WARM_UP = 12, 3 * SECOND
MEAN_UNITS = 2.0  # of a request of the cold ramp
COLD_UNITS = (4.0, 34.0)
PROCESSES = 4


def add(
    run: harness.Run, name: str, size: float, value: float, unit: str, seed: int = 0, **more: float | str
) -> None:
    """One measurement, with what else was so."""
    run.add(harness.Measurement(name, size, round(value, 4), unit, seed, dict(more)))


def measure_connections(run: harness.Run, nodes: int, rate_per_node: float, seconds: float) -> None:
    """One real head before some nodes, until connections that are idle have ended and come anew."""
    rate = nodes * rate_per_node
    with running_bench(Setting(nodes=nodes, connections=CLIENTS)) as made:
        phase = measure_phase(made, rate, seconds, warm_up=IDLE_EXPIRY_S + 3)
        most = sum(node.ask({})["most_open"] for node in made.nodes)
    served = phase.counts["ok"]
    requests = {"nodes": nodes, "served": served}
    series = f"of one head, {nodes} nodes"
    held = phase.open_at_nodes / nodes
    dials = phase.accepted / seconds / nodes
    add(run, f"connections to a node {series}", rate_per_node, held, "connections", **requests)
    add(run, f"most to a node {series}", rate_per_node, most / nodes, "connections", **requests)
    add(run, f"handshakes at a node {series}", rate_per_node, dials, "a second", **requests)
    for name, value, unit in (("connections", held, "connections"), ("handshakes", dials, "a second")):
        told = f"{name} at a node of {HEADS} heads, {nodes} nodes"
        add(run, told, rate_per_node, value * HEADS, unit, how="extrapolated from one head")


def measure_probes(run: harness.Run, rate_per_node: float, seed: int, seconds: float) -> None:
    """Probes of full nodes, where nodes tell their queue."""
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
    add(run, "probes of a full node by one head", rate_per_node, probes, "a second", seed)
    add(
        run,
        f"probes of a full node by {HEADS} heads",
        rate_per_node,
        probes * HEADS,
        "a second",
        seed,
        how=how,
    )
    add(run, "sends to a full node by one head", rate_per_node, sends, "a second", seed)


def window_capacity(end: int, units: float) -> float:
    """How many requests the slowest cold node bears in a window that ends so long after its start."""
    return (
        units / MEAN_UNITS * (1 + (1 / WARM_UP_FROM - 1) * max(0, end - OVERLOAD_WINDOW / 2) / WARM_UP_TIME)
    )


def fullest_window(sent: list[tuple[int, float]], units: float) -> tuple[float, float]:
    """Of a node's windows: the most requests over what it bears and chance allow, and over what it bears."""
    ordered, first, held = sorted(sent), 0, 0.0
    over_bound, over = -math.inf, -math.inf
    for end, size in ordered:
        held += size / MEAN_UNITS
        while ordered[first][0] <= end - OVERLOAD_WINDOW:
            held -= ordered[first][1] / MEAN_UNITS
            first += 1
        most = window_capacity(end, units)
        over_bound = max(over_bound, held / (most + 2 * math.sqrt(most) + 2))
        over = max(over, held / most)
    return over_bound, over


def cold_ramp(case: tuple[int, int, float, bool]) -> tuple[float, float, int, int]:
    """All heads and their nodes: the fullest windows, how many nodes are over the bound, and all sends."""
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
    """Cold nodes before more and more heads, with and without heads that restart in the same seconds."""
    cases = [
        (seed, count, units, restarts)
        for seed in seeds
        for restarts in (False, True)
        for units in COLD_UNITS
        for count in heads
    ]
    with multiprocessing.get_context("spawn").Pool(min(PROCESSES, len(cases))) as pool:
        for case, found in zip(cases, pool.imap(cold_ramp, cases), strict=True):
            seed, count, units, restarts = case
            over_bound, over, nodes_over, sends = found
            series = f"units {units:g}, heads {'restart' if restarts else 'stay'}"
            more: dict[str, float] = {"nodes_over_bound": nodes_over, "sends": sends}
            add(
                run,
                f"cold: fullest window of N + 2 sqrt(N) + 2, {series}",
                count,
                over_bound,
                "times",
                seed,
                **more,
            )
            add(run, f"cold: fullest window of N, {series}", count, over, "times", seed, **more)


def main() -> int:
    """The command."""
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


def decimals(text: str) -> list[float]:
    """Figures between commas."""
    return [float(part) for part in text.split(",")]


def arguments_parser() -> argparse.ArgumentParser:
    """The family's arguments and this command's own; sizes are numbers of heads."""
    made = harness.parser(__doc__ or "", sizes="12,60,120,370,740", seeds="1,2")
    made.add_argument("--series", default="connections,probes,cold", help="which, in order")
    made.add_argument("--nodes", type=harness.numbers, default=[24, 120])
    made.add_argument("--rates-per-node", type=decimals, default=[0.1, 0.5, 1.0, 2.0])
    made.add_argument("--seconds", type=float, default=6.0, help="of each measured phase")
    return made


if __name__ == "__main__":
    sys.exit(main())
