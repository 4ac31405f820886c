"""Cost of the node list: bytes and processor time at one head, and the calls of a fleet to one discovery.

At one head: the whole list and changes to it, as discovery sends them, through parsing, the watch, the
reducer and the decision module, with and without waiting requests. For a fleet: the watches of the program in
virtual time, without and with an incident; bytes are those of the answers' bodies.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from loguru import logger

from benchmarks.capacity import harness
from benchmarks.capacity.children import end_on_signals
from benchmarks.capacity.decision import demo_settings
from benchmarks.capacity.head_process import node_entries
from benchmarks.capacity.virtual_watches import INCIDENT_AT, Call, Incident, calls_of_fleet
from stoatrouter.core import model
from stoatrouter.core.reducer import Reducer
from stoatrouter.net.discovery import Watch
from stoatrouter.net.endpoint_list import read_list
from stoatrouter.policy import interface as api

REPEATS = 5
NODES = 1_700
MICROSECONDS = 1_000_000
NOW = timedelta(seconds=1_700_000_000)
CHANGED_ENTRIES = 12  # in the larger change
QUIET_FROM = 10.0  # seconds of virtual time; all heads have started by then
WINDOWS = (0.1, 1.0)  # seconds; the busiest of each length after an incident is recorded
ZONES = tuple(f"zone-{i}" for i in range(12))


class HeadWithList:
    """The path of a node list in a head, from discovery's bytes to the decision module, without network."""

    def __init__(self) -> None:
        self.reducer = Reducer(demo_settings(), seed=1)
        self.watch = Watch("discovery:1", {}, self.list_received, zones=ZONES)
        self.now = NOW

    def list_received(
        self, kind: api.ListKind, nodes: tuple[model.NodeInfo, ...], age: timedelta | None = None
    ) -> None:
        """Pass a list on to the reducer, as the engine does."""
        self.reducer.reduce(model.EndpointListReceived(self.now, kind, nodes))

    def hold_requests(self, count: int) -> None:
        """Add requests of one shard: one is sent, all others wait for its answer."""
        for i in range(count + 1 if count else 0):
            request = model.Request(
                id=f"r{i}",
                request_class=0,
                plan=1,
                volume="v",
                key=f"k{i}",
                shard=0,
                units=1.0,
                hosts=2,
                time_left=timedelta(seconds=2),
                write=False,
            )
            self.reducer.reduce(model.Arrived(self.now, request))


def message(entries: list[dict[str, Any]], whole: bool, generation: int = 1) -> bytes:
    """Return a message of discovery."""
    return json.dumps({"generation": generation, "reset": whole, "instances": entries}).encode()


def mean_cpu(prepare: Callable[[], Callable[[], object]]) -> float:
    """Return the mean processor time of a function that is prepared anew for each repeat, in us."""
    total = sum(harness.processor_seconds(prepare()) for _ in range(REPEATS))
    return total / REPEATS * MICROSECONDS


def measure_whole(run: harness.Run, nodes: int) -> None:
    """Measure a whole list: bytes, and processor time of each step."""
    raw = message(node_entries(list(range(10_000, 10_000 + nodes))), whole=True)
    data = json.loads(raw)

    def add(what: str, value: float, unit: str) -> None:
        run.add(harness.Measurement(f"{what}, whole list", nodes, round(value, 2), unit))

    add("bytes", len(raw), "bytes")
    add("JSON", mean_cpu(lambda: lambda: json.loads(raw)), "us a list")
    add("entries", mean_cpu(lambda: lambda: read_list(data, zones=ZONES)), "us a list")

    def prepare_first() -> Callable[[], object]:
        head = HeadWithList()
        return lambda: head.watch.apply(data)

    def prepare_again() -> Callable[[], object]:
        head = HeadWithList()
        head.watch.apply(data)
        return lambda: head.watch.apply(data)

    add("entries to decision, first", mean_cpu(prepare_first), "us a list")
    add("entries to decision, again", mean_cpu(prepare_again), "us a list")


def measure_changes(run: harness.Run, nodes: int, changed: int, waiting: int) -> None:
    """Measure a change of some entries while some requests wait."""
    entries = node_entries(list(range(10_000, 10_000 + nodes)))
    whole = json.loads(message(entries, whole=True))
    raw = message([entry | {"weight": 2.0} for entry in entries[:changed]], whole=False, generation=2)

    def prepare() -> Callable[[], object]:
        head = HeadWithList()
        head.watch.apply(whole)
        head.hold_requests(waiting)
        return lambda: head.watch.apply(json.loads(raw))

    details: dict[str, float | int | str] = {"nodes": nodes, "changed": changed, "waiting": waiting}

    def add(what: str, size: float, value: float, unit: str) -> None:
        run.add(harness.Measurement(what, size, round(value, 2), unit, 0, details))

    elapsed = mean_cpu(prepare)
    if waiting:
        add(f"change by waiting requests, {nodes} nodes", waiting, elapsed, "us a change")
    else:
        add(f"change of {changed} by nodes", nodes, elapsed, "us a change")
        add(f"bytes, change of {changed}", nodes, len(raw), "bytes")


def measure_fleet(run: harness.Run, heads: int, nodes: int, incident: Incident, seed: int) -> None:
    """Measure the calls of a fleet to a discovery that is polled, in virtual time."""
    entries = node_entries(list(range(10_000, 10_000 + nodes)))
    calls = calls_of_fleet(heads, entries, pushed=False, incident=incident, seed=seed)
    details: dict[str, float | int | str] = {"heads": heads, "nodes": nodes, "time": "virtual"}

    def add(what: str, value: float, unit: str) -> None:
        name = f"{what}, {incident.value}"
        run.add(harness.Measurement(name, heads, round(value, 3), unit, seed, details))

    if incident is Incident.NONE:
        quiet = [call for call in calls if QUIET_FROM <= call.asked < INCIDENT_AT]
        span = INCIDENT_AT - QUIET_FROM
        add("calls", len(quiet) / span, "calls a second")
        add("bytes told", sum(call.size for call in quiet) / span, "bytes a second")
        return
    after = [call for call in calls if call.asked >= INCIDENT_AT]
    for window in WINDOWS:
        add(f"most calls in {window:g} s", max_calls_in(after, window), "calls")
    # calls that were held when the incident came are answered with its change, so they count too
    answered = [call for call in calls if call.answered >= INCIDENT_AT]
    add("bytes in 1 s, most", max_bytes_in(answered, 1.0), "bytes")
    add("whole lists", sum(call.whole for call in answered), "lists")
    add("calls in 5 s", sum(call.asked < INCIDENT_AT + 5.0 for call in after), "calls")


def max_calls_in(calls: list[Call], window: float) -> int:
    """Return the highest number of calls that came within any window."""
    highest = first = 0
    for last, call in enumerate(calls):
        while calls[first].asked <= call.asked - window:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def max_bytes_in(calls: list[Call], window: float) -> int:
    """Return the highest number of bytes sent in answers within any window."""
    ordered = sorted(calls, key=lambda call: call.answered)
    highest = first = window_bytes = 0
    for call in ordered:
        window_bytes += call.size
        while ordered[first].answered <= call.answered - window:
            window_bytes -= ordered[first].size
            first += 1
        highest = max(highest, window_bytes)
    return highest


def main() -> int:
    """Run the command."""
    arguments = arguments_parser().parse_args()
    end_on_signals()
    harness.require_capacity(memory_mb=2_000)
    logger.remove()
    with harness.recording("nodelist", arguments.out, arguments.at) as run:
        for nodes in arguments.sizes:
            measure_whole(run, nodes)
            for changed in (1, CHANGED_ENTRIES):
                measure_changes(run, nodes, changed, waiting=0)
        for waiting in arguments.waiting:
            measure_changes(run, max(arguments.sizes), 1, waiting)
        for seed in arguments.seeds:
            for incident in Incident:
                for heads in arguments.heads:
                    measure_fleet(run, heads, max(arguments.sizes), incident, seed)
    return 0


def arguments_parser() -> argparse.ArgumentParser:
    """Return a parser of the common arguments and those of this command."""
    command = harness.parser(__doc__ or "", sizes="12,120,400,850,1700", seeds="1,2")
    command.add_argument("--heads", type=harness.parse_ints, default=[12, 120, 370, 740])
    command.add_argument("--waiting", type=harness.parse_ints, default=[10, 100, 400, 1_000])
    return command


if __name__ == "__main__":
    sys.exit(main())
