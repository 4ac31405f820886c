"""Capacity benchmarks of a request, the node list and the load on nodes, at small sizes.

The tests check counts against known values; none of them judges a time.
"""

from __future__ import annotations

import json
import math
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.capacity import guests, harness, nodelist, request
from benchmarks.capacity.children import ROOT, children
from benchmarks.capacity.decision import demo_settings
from benchmarks.capacity.head_process import Program, node_entries
from benchmarks.capacity.virtual import SECOND, START, Kind, Load, VirtualHead
from benchmarks.capacity.virtual import node_entries as virtual_nodes
from benchmarks.capacity.virtual_watches import INCIDENT_AT, Incident, calls_of_fleet

HEADS = 7
NODES = 5


# -- the harness --------------------------------------------------------------------------------------------
def test_a_fit_finds_the_line_its_residual_and_its_range():
    exact = harness.fit_line("cost", "us", [(12, 5 + 24), (120, 5 + 240), (1700, 5 + 3400)])
    assert (exact.base, exact.slope) == pytest.approx((5, 2))
    assert exact.residual == pytest.approx(0, abs=1e-9)
    assert (exact.smallest, exact.largest) == (12, 1700)
    # the fitted line is y = x: two points lie 3 above it and two 3 below, so the root mean square is 3
    scattered = harness.fit_line("cost", "us", [(0, 3), (0, -3), (10, 13), (10, 7)])
    assert (scattered.base, scattered.slope, scattered.residual) == pytest.approx((0, 1, 3), abs=1e-9)


def test_one_size_gives_no_fit():
    with pytest.raises(ValueError, match=r"cost.*two different sizes.*\[12\]"):
        harness.fit_line("cost", "us", [(12, 1), (12, 2)])


def test_what_lies_beyond_four_times_the_largest_size_is_marked():
    fit = harness.fit_line("cost", "us", [(10, 10), (100, 100)])
    assert "extrapolated" not in harness.prediction(fit, 400)
    assert harness.prediction(fit, 401) == "at 401: 401 us (extrapolated)"


def test_a_size_that_the_machine_cannot_hold_is_refused_with_what_is_there_and_what_would_do():
    harness.require_capacity(descriptors=1, memory_mb=1, ports=1)
    with pytest.raises(harness.CapacityExceeded) as refused:
        harness.require_capacity(descriptors=10**9, memory_mb=1, ports=10**6)
    descriptors, ports = str(refused.value).split("; ")
    first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    assert descriptors.startswith("1,000,000,000 descriptors") and "ulimit -n" in descriptors
    assert ports.startswith("1,000,000 ports") and f"{last - first + 1:,} may be used" in ports
    assert "127.0.0.0/8" in ports


def test_clients_beyond_what_the_machine_holds_are_refused_before_anything_starts(monkeypatch):
    started = []
    monkeypatch.setattr(request, "children", lambda *arguments: started.append(arguments))
    with (
        pytest.raises(harness.CapacityExceeded, match="ports"),
        request.running_bench(request.Setting(nodes=1, connections=10**6)),
    ):
        pass
    assert not started


def test_an_interrupted_run_says_so_keeps_its_lines_and_fits_nothing(tmp_path, capsys):
    out = tmp_path / "lines" / "run.jsonl"
    with pytest.raises(KeyboardInterrupt), harness.recording("cost", out, at=[50]) as run:
        for size in (10, 20):
            run.add(harness.Measurement("cost", size, size, "us"))
        raise KeyboardInterrupt
    output = capsys.readouterr().out
    assert "INTERRUPTED" in output and "fit" not in output.replace("nothing is fitted", "")
    assert [json.loads(line)["size"] for line in out.read_text().splitlines()] == [10, 20]


def test_a_whole_run_tells_its_fits_at_the_sizes_asked_for(tmp_path, capsys):
    with harness.recording("cost", None, at=[50, 500]) as run:
        for size in (10, 20):
            run.add(harness.Measurement("cost", size, 2 * size, "us"))
    output = capsys.readouterr().out
    assert "at 50: 100 us (within" in output and "at 500: 1000 us (extrapolated)" in output


# -- one scheduler in virtual time --------------------------------------------------------------------------
def virtual_head(**load: float) -> VirtualHead:
    return VirtualHead(demo_settings(), virtual_nodes(NODES), Load(rate=200, **load), seed=3)


def test_a_virtual_head_reads_ten_times_a_second_and_accounts_for_every_attempt():
    head = virtual_head(any_part=0.2)
    costs = head.run(3 * SECOND)
    outcomes = costs.outcomes
    assert costs.by_kind[Kind.READING].calls == 30
    assert costs.by_kind[Kind.ARRIVED].calls == outcomes.arrived > 400
    assert outcomes.sent == outcomes.served + len(head.attempts)
    assert outcomes.sent + outcomes.refused + outcomes.failed <= outcomes.arrived
    assert head.now == START + 3 * SECOND


def test_the_same_seed_gives_the_same_requests_and_ends():
    first, again = (virtual_head(any_part=0.5).run(SECOND) for _ in range(2))
    assert first.outcomes == again.outcomes
    calls = [{kind: cost.calls for kind, cost in costs.by_kind.items()} for costs in (first, again)]
    assert calls[0] == calls[1]


def test_functions_are_counted_alike_in_each_run_and_no_time_is_taken():
    def calls() -> dict[Kind, int]:
        head = VirtualHead(
            demo_settings(), virtual_nodes(NODES), Load(rate=200), seed=3, count_functions=True
        )
        costs = head.run(SECOND)
        assert all(cost.seconds == 0 for cost in costs.by_kind.values())
        return {kind: cost.function_calls for kind, cost in costs.by_kind.items()}

    first = calls()
    assert first == calls()
    assert min(first[kind] for kind in (Kind.ARRIVED, Kind.ENDED, Kind.READING)) > 100
    assert first[Kind.LIST] == 0  # the list was received before the run
    assert sys.getprofile() is None


def test_requests_of_a_shard_are_spread_by_the_skew_and_the_stated_part_goes_to_any_node():
    head = virtual_head(any_part=0.25, skew=1.0)
    requests_by_shard = Counter(head.draw_shard() for _ in range(20_000))
    assert requests_by_shard[-1] / 20_000 == pytest.approx(0.25, abs=0.02)
    weights = [1 / rank for rank in range(1, NODES + 1)]
    counts = sorted((count for shard, count in requests_by_shard.items() if shard != -1), reverse=True)
    shares = [count / (20_000 - requests_by_shard[-1]) for count in counts]
    assert shares == pytest.approx([weight / sum(weights) for weight in weights], abs=0.03)


# -- the node list ------------------------------------------------------------------------------------------
def discovery_calls(incident: Incident):
    """Return a fleet's calls of discovery from the incident on, and all of them."""
    calls = calls_of_fleet(HEADS, node_entries(list(range(NODES))), False, incident, seed=1)
    return [call for call in calls if call.asked >= INCIDENT_AT], calls


def test_a_quiet_fleet_asks_as_often_as_its_calls_are_held():
    _, calls = discovery_calls(Incident.NONE)
    quiet = [call for call in calls if 10 <= call.asked < 20]
    # a call is held for 1.875 to 2.5 s, so each head asks four to six times in 10 s
    assert 4 * HEADS <= len(quiet) <= 6 * HEADS
    assert not any(call.whole for call in calls)


def test_a_restarted_discovery_is_asked_for_one_whole_list_by_each_head():
    after, calls = discovery_calls(Incident.RESTARTED)
    assert sum(call.whole for call in calls) == HEADS
    first = [call for call in after if call.asked < INCIDENT_AT + 0.1]
    assert sum(call.whole for call in first) == HEADS


def test_after_a_malformed_answer_each_head_asks_once_without_a_hold_and_for_no_whole_list():
    after, calls = discovery_calls(Incident.MALFORMED)
    assert not any(call.whole for call in calls)
    brief = [call for call in after if call.answered - call.asked < 0.002]
    assert len(brief) == HEADS
    # the pause is drawn from the upper half of its range
    assert all(0.05 <= call.asked - INCIDENT_AT <= 0.1 for call in brief)


def test_the_fullest_window_counts_calls_and_bytes():
    call = nodelist.Call
    calls = [call(t, t + 1, 10, False) for t in (0.0, 0.05, 0.5, 0.95, 1.04, 2.5)]
    assert nodelist.max_calls_in(calls, 0.1) == 2
    assert nodelist.max_calls_in(calls, 1.0) == 4
    assert nodelist.max_bytes_in(calls, 1.0) == 40


def test_a_change_reaches_the_decision_module_with_requests_waiting():
    head = nodelist.HeadWithList()
    entries = node_entries(list(range(NODES)))
    head.watch.apply(json.loads(nodelist.message(entries, whole=True)))
    head.hold_requests(4)
    held = [node for node in head.reducer.scheduler.nodes.values() if node.pending]
    assert len(held) == 1 and len(held[0].pending) == 4 and len(held[0].in_flight) == 1
    head.watch.apply(
        json.loads(nodelist.message([entries[1] | {"lifecycle": "DELETED"}], whole=False, generation=2))
    )
    assert len(head.reducer.nodes) == NODES - 1


# -- the load on nodes --------------------------------------------------------------------------------------
def test_the_fullest_cold_window_is_held_against_what_the_node_bears_and_chance():
    units = 4.0  # capacity at the start: two requests of two units in three seconds
    sent = [(0, 2.0), (SECOND, 2.0), (2 * SECOND, 2.0), (5 * SECOND, 2.0)]
    bound, over = guests.fullest_window(sent, units)
    capacity = guests.window_capacity(2 * SECOND, units)  # requests
    assert 2 < capacity < 2.5
    assert over == pytest.approx(3 / capacity)
    assert bound == pytest.approx(3 / (capacity + 2 * math.sqrt(capacity) + 2))


@pytest.mark.parametrize(("told", "probed"), [((), False), (("queue",), True)])
def test_full_nodes_are_probed_only_where_nodes_tell_their_queue(told, probed):
    from dataclasses import replace

    entries = virtual_nodes(NODES)
    full = frozenset(entry.node for entry in entries)
    settings = replace(demo_settings(), report_fields=told)
    outcomes = VirtualHead(settings, entries, Load(rate=20), 1, full).run(5 * SECOND).outcomes
    assert outcomes.served == 0 < outcomes.sent
    assert bool(outcomes.probes) == probed


# -- a real head --------------------------------------------------------------------------------------------
TINY = request.Setting(nodes=4, connections=6, volumes=5)


def is_running(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


def test_every_request_to_a_real_head_is_answered_and_counted_at_the_nodes():
    with request.running_bench(TINY) as bench:
        phase = request.measure_phase(bench, rate=60, seconds=1.0, warm_up=0)
        pids = [bench.head.pid, *(child.process.pid for child in (*bench.nodes, *bench.clients))]
        answered = sum(node.ask({})["answered"] for node in bench.nodes)
    counts = phase.counts
    assert counts["due"] == counts["ok"] + counts["refused"] + counts["failed"] + counts["broken"] > 20
    assert answered >= counts["ok"] == len(counts["took_ms"])
    assert 1 <= phase.open_at_nodes <= phase.accepted
    assert phase.after.descriptors > TINY.connections + phase.open_at_nodes
    assert not any(is_running(pid) for pid in pids)


def test_an_instrumented_head_counts_one_attempt_for_each_request_by_place():
    setting = request.Setting(nodes=4, connections=6, volumes=5, program=Program.SPLIT)
    with request.running_bench(setting) as bench:
        before = bench.head.snapshot()
        counts = bench.ask(60, 1.0)
        after = bench.head.snapshot()
    assert counts["ok"] == counts["due"]
    assert after["calls"]["attempts"] - before["calls"].get("attempts", 0) == counts["due"]
    for place in ("front", "node client", "reducer", "decision", "reading"):
        assert after["calls"][place] > before["calls"].get(place, 0)
    # the decision module is called when a request arrives and when its attempt ends
    assert after["calls"]["decision"] - before["calls"].get("decision", 0) >= 2 * counts["due"]


def test_children_are_ended_where_a_measurement_breaks_off():
    specification = {"count": 1, "seed": 1, "fastest_ms": 1, "slowest_ms": 1}
    started = []
    with (
        pytest.raises(ZeroDivisionError),
        children("benchmarks.capacity.node_servers", [specification] * 2) as nodes,
    ):
        started += [node.process.pid for node in nodes]
        assert all(len(node.receive()["ports"]) == 1 for node in nodes)
        raise ZeroDivisionError
    assert len(started) == 2 and not any(is_running(pid) for pid in started)


def children_of(pid: int) -> list[int]:
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_command_that_is_asked_to_end_says_so_and_leaves_nothing_running(number):
    command = [sys.executable, "-m", "benchmarks.capacity.request", "--series", "rest", "--sizes", "2"]
    process = subprocess.Popen(
        [*command, "--seconds", "100"],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        started: list[int] = []
        for _ in range(1500):  # five processes: two of nodes, discovery, the head and a client
            started = children_of(process.pid)
            if len(started) == 5:
                break
            time.sleep(0.02)
        assert len(started) == 5
        process.send_signal(number)
        output, _ = process.communicate(timeout=30)
    finally:
        process.kill()
        process.wait()
    assert "INTERRUPTED" in output
    assert not any(is_running(pid) for pid in started)


@pytest.mark.parametrize(
    "arguments",
    [
        ["decision", "--sizes", "3,6", "--nodes", "4", "--rates", "50,90", "--any-percents", "0,100"]
        + ["--cold-percents", "0,50", "--seconds", "0.5", "--rate", "50", "--seeds", "1"],
        ["nodelist", "--sizes", "3,6", "--heads", "2,4", "--waiting", "2,4", "--seeds", "1"],
        ["guests", "--series", "probes,cold", "--sizes", "2,3", "--rates-per-node", "1,2", "--seeds", "1"],
    ],
)
def test_each_command_writes_a_line_for_each_measurement_and_fits_them(arguments, tmp_path):
    out = tmp_path / "run.jsonl"
    name, *options = arguments
    completed = subprocess.run(
        [sys.executable, "-m", f"benchmarks.capacity.{name}", *options, "--out", str(out)],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stderr[-2000:]
    lines = [json.loads(line) for line in out.read_text().splitlines()]
    sizes: dict[str, set[float]] = {}
    for line in lines:
        assert line["command"] == name
        sizes.setdefault(line["name"], set()).add(line["size"])
    fits = [line for line in completed.stdout.splitlines() if line.startswith("fit ")]
    assert len(fits) == sum(len(measured) > 1 for measured in sizes.values()) > 0
