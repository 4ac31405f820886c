"""Cost of the decision module on one head: processor time per request and per reading, without sockets.

Four series, each in virtual time with answers after 5 to 50 ms: by number of nodes, by request rate with the
fleet's number of nodes, by the share of requests that any node can serve, and by the share of nodes that have
just started. Function calls are counted as well, because other load on the machine alters processor time but
not these counts.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
from dataclasses import dataclass, replace
from importlib import resources

from benchmarks.capacity import harness
from benchmarks.capacity.children import end_on_signals
from benchmarks.capacity.virtual import SECOND, Costs, Kind, Load, VirtualHead, node_entries
from stoatrouter.policy import interface as api
from stoatrouter.policy.simhost import read_settings

HEADS = 740
NODES = 1_700
RATE = 1_757  # requests a second
WARM_UP = 3 * SECOND  # of virtual time, not measured: windows, averages and request timers build up
READINGS_A_SECOND = 10
MICROSECONDS = 1_000_000
ANY_PERCENT = 5  # of requests, those that any node can serve
# Virtual time with function calls counted, which is slow.
COUNT_WARM_UP = SECOND // 4
COUNT_SPAN = SECOND // 2


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one measurement: its series, the size on the axis of that series, and all others."""

    series: str
    size: float
    nodes: int
    rate: int
    any_percent: int
    cold_percent: int
    seed: int


def demo_settings(hosts: int = HEADS) -> api.Settings:
    """Return the settings of the demo deployment for one head of several."""
    text = (resources.files("stoatrouter.lab") / "demo_files" / "settings.json").read_text()
    return replace(read_settings(json.loads(text)), hosts=hosts)


def cases(arguments: argparse.Namespace) -> list[Case]:
    """Return all measurements to make, in order."""
    made = []
    for seed in arguments.seeds:
        for nodes in arguments.sizes:
            made.append(Case("by nodes", nodes, nodes, arguments.rate, ANY_PERCENT, 0, seed))
        for rate in arguments.rates:
            made.append(Case("by rate", rate, arguments.nodes, rate, ANY_PERCENT, 0, seed))
        for percent in arguments.any_percents:
            made.append(
                Case("by any-node percent", percent, arguments.nodes, arguments.rate, percent, 0, seed)
            )
        for percent in arguments.cold_percents:
            made.append(
                Case("by cold percent", percent, arguments.nodes, arguments.rate, ANY_PERCENT, percent, seed)
            )
    return made


def measure_cpu(case: Case, seconds: float) -> Costs:
    """Run one case in virtual time and measure processor time."""
    cold = case.nodes * case.cold_percent // 100
    load = Load(rate=case.rate, any_part=case.any_percent / 100)
    head = VirtualHead(demo_settings(), node_entries(case.nodes, cold), load, case.seed)
    head.run(WARM_UP)
    gc.collect()
    return head.run(round(seconds * SECOND))


def measure_function_calls(case: Case) -> Costs:
    """Run one case for a short time, counting function calls in place of processor time."""
    cold = case.nodes * case.cold_percent // 100
    load = Load(rate=case.rate, any_part=case.any_percent / 100)
    entries = node_entries(case.nodes, cold)
    head = VirtualHead(demo_settings(), entries, load, case.seed, count_functions=True)
    head.run(COUNT_WARM_UP)
    return head.run(COUNT_SPAN)


def record_function_calls(run: harness.Run, case: Case, costs: Costs) -> None:
    """Record the function calls of a case."""
    requests = costs.by_kind[Kind.ARRIVED].calls
    of_requests = (Kind.ARRIVED, Kind.ENDED, Kind.REQUEST_TIMER)
    found = {
        "a request": sum(costs.by_kind[kind].function_calls for kind in of_requests) / max(1, requests),
        "a reading": costs.by_kind[Kind.READING].function_calls / max(1, costs.by_kind[Kind.READING].calls),
    }
    for what, value in found.items():
        name, details = f"function calls {what}, {case.series}", {"nodes": case.nodes, "rate": case.rate}
        run.add(harness.Measurement(name, case.size, round(value, 2), "calls", case.seed, dict(details)))


def record_cpu(run: harness.Run, case: Case, costs: Costs, reference_ms: float) -> None:
    """Record the processor time of a case, with that of the reference work measured around it."""
    outcomes, reading = costs.outcomes, costs.by_kind[Kind.READING]
    details: dict[str, float | int | str] = {
        "nodes": case.nodes,
        "rate": case.rate,
        "any_percent": case.any_percent,
        "cold_percent": case.cold_percent,
        "arrived": outcomes.arrived,
        "sent": outcomes.sent,
        "refused": outcomes.refused,
        "failed": outcomes.failed,
        "reference_ms": round(reference_ms, 2),
    }

    def add(what: str, value: float, unit: str) -> None:
        name = f"{what}, {case.series}"
        run.add(harness.Measurement(name, case.size, round(value, 4), unit, case.seed, details))

    requests = max(1, outcomes.arrived)
    add("request", costs.request_seconds * MICROSECONDS, "us a request")
    for kind in (Kind.ARRIVED, Kind.ENDED, Kind.REQUEST_TIMER):
        add(kind.value, costs.by_kind[kind].seconds / requests * MICROSECONDS, "us a request")
    add("reading", reading.mean_seconds * MICROSECONDS, "us a reading")
    add("readings", reading.mean_seconds * READINGS_A_SECOND * 100, "% of a core")
    share = costs.request_seconds * case.rate + reading.mean_seconds * READINGS_A_SECOND
    add("all decisions", share * 100, "% of a core")


def main() -> int:
    """Run the command."""
    arguments = arguments_parser().parse_args()
    end_on_signals()
    harness.require_capacity(memory_mb=500)
    with harness.recording("decision", arguments.out, arguments.at) as run:
        for case in cases(arguments):
            before = harness.reference_ms()
            costs = measure_cpu(case, arguments.seconds)
            record_cpu(run, case, costs, (before + harness.reference_ms()) / 2)
            record_function_calls(run, case, measure_function_calls(case))
    return 0


def arguments_parser() -> argparse.ArgumentParser:
    """Return a parser of the common arguments and those of this command."""
    command = harness.parser(__doc__ or "", sizes="12,120,400,850,1700,3400", seeds="1")
    command.add_argument("--rate", type=int, default=RATE, help=f"requests a second, default {RATE}")
    command.add_argument(
        "--nodes", type=int, default=NODES, help=f"nodes of the other series, default {NODES}"
    )
    command.add_argument("--rates", type=harness.parse_ints, default=[200, 440, 880, RATE])
    command.add_argument("--any-percents", type=harness.parse_ints, default=[0, 25, 50, 100])
    command.add_argument("--cold-percents", type=harness.parse_ints, default=[0, 1, 10, 50])
    command.add_argument("--seconds", type=float, default=2.0, help="virtual time of each case")
    return command


if __name__ == "__main__":
    sys.exit(main())
