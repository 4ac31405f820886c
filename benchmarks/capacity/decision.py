"""What the decision module costs one head: processor time of a request and of a reading, without sockets.

Four series, each in virtual time with answers after 5 to 50 ms: by number of nodes, by request rate at the
fleet's nodes, by the part of requests that any node takes, and by the part of nodes that have just started.
The functions called are counted too, as a machine's load alters processor time and not these counts.
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

HEADS, NODES, RATE = 740, 1_700, 1_757
WARM_UP = 3 * SECOND  # in which windows, averages and the requests' timers form; not counted
READINGS_A_SECOND = 10
MICROSECONDS = 1_000_000
ANY_PERCENT = 5
COUNTED_WARM_UP, COUNTED = SECOND // 4, SECOND // 2  # of virtual time, with function calls counted


@dataclass(frozen=True, slots=True)
class Case:
    """One measurement: its series, the size on that series' axis, and all that it is made of."""

    series: str
    size: float
    nodes: int
    rate: int
    any_percent: int
    cold_percent: int
    seed: int


def demo_settings(hosts: int = HEADS) -> api.Settings:
    """The settings of the demo deployment, as one of many heads has them."""
    text = (resources.files("stoatrouter.lab") / "demo_files" / "settings.json").read_text()
    return replace(read_settings(json.loads(text)), hosts=hosts)


def cases(arguments: argparse.Namespace) -> list[Case]:
    """All that is to be measured, in order."""
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


def measure(case: Case, seconds: float) -> Costs:
    """Run one case in virtual time."""
    cold = case.nodes * case.cold_percent // 100
    load = Load(rate=case.rate, any_part=case.any_percent / 100)
    head = VirtualHead(demo_settings(), node_entries(case.nodes, cold), load, case.seed)
    head.run(WARM_UP)
    gc.collect()
    return head.run(round(seconds * SECOND))


def count(case: Case) -> Costs:
    """The same in short, counting function calls in place of processor time."""
    cold = case.nodes * case.cold_percent // 100
    load = Load(rate=case.rate, any_part=case.any_percent / 100)
    entries = node_entries(case.nodes, cold)
    head = VirtualHead(demo_settings(), entries, load, case.seed, count_functions=True)
    head.run(COUNTED_WARM_UP)
    return head.run(COUNTED)


def report_count(run: harness.Run, case: Case, costs: Costs) -> None:
    """Write down a case's function calls."""
    requests = costs.by_kind[Kind.ARRIVED].calls
    of_requests = (Kind.ARRIVED, Kind.ENDED, Kind.REQUEST_TIMER)
    found = {
        "a request": sum(costs.by_kind[kind].function_calls for kind in of_requests) / max(1, requests),
        "a reading": costs.by_kind[Kind.READING].function_calls / max(1, costs.by_kind[Kind.READING].calls),
    }
    for what, value in found.items():
        name, details = f"function calls {what}, {case.series}", {"nodes": case.nodes, "rate": case.rate}
        run.add(harness.Measurement(name, case.size, round(value, 2), "calls", case.seed, dict(details)))


def report(run: harness.Run, case: Case, costs: Costs, reference_ms: float) -> None:
    """Write down what a case has cost, and the reference work meanwhile."""
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

    each = max(1, outcomes.arrived)
    add("request", costs.request_seconds * MICROSECONDS, "us a request")
    for kind in (Kind.ARRIVED, Kind.ENDED, Kind.REQUEST_TIMER):
        add(kind.value, costs.by_kind[kind].seconds / each * MICROSECONDS, "us a request")
    add("reading", reading.each * MICROSECONDS, "us a reading")
    add("readings", reading.each * READINGS_A_SECOND * 100, "% of a core")
    share = costs.request_seconds * case.rate + reading.each * READINGS_A_SECOND
    add("all decisions", share * 100, "% of a core")


def main() -> int:
    """The command."""
    arguments = arguments_parser().parse_args()
    end_on_signals()
    harness.require_capacity(memory_mb=500)
    with harness.recording("decision", arguments.out, arguments.at) as run:
        for case in cases(arguments):
            before = harness.reference_ms()
            costs = measure(case, arguments.seconds)
            report(run, case, costs, (before + harness.reference_ms()) / 2)
            report_count(run, case, count(case))
    return 0


def arguments_parser() -> argparse.ArgumentParser:
    """The family's arguments and this command's own."""
    made = harness.parser(__doc__ or "", sizes="12,120,400,850,1700,3400", seeds="1")
    made.add_argument("--rate", type=int, default=RATE, help=f"requests a second, default {RATE}")
    made.add_argument("--nodes", type=int, default=NODES, help=f"of the other series, default {NODES}")
    made.add_argument("--rates", type=harness.numbers, default=[200, 440, 880, RATE])
    made.add_argument("--any-percents", type=harness.numbers, default=[0, 25, 50, 100])
    made.add_argument("--cold-percents", type=harness.numbers, default=[0, 1, 10, 50])
    made.add_argument("--seconds", type=float, default=2.0, help="of virtual time for each case")
    return made


if __name__ == "__main__":
    sys.exit(main())
