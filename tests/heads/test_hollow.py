"""Hollow heads count like real ones, are named when they die, and send a bounded number of requests.

No result depends on how long something takes: timeouts only bound waits, and rates are compared with the
maximum that the heads' own timers allow.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from benchmarks.capacity.capacity_fleet import CapacityFleet, Size, running_fleet
from benchmarks.capacity.harness import CapacityExceeded
from benchmarks.capacity.scene_clients import SceneClients
from stoatrouter.agreement.records import Voter
from stoatrouter.lab.histories.checker import check_history
from stoatrouter.lab.histories.history import Request
from stoatrouter.lab.hollow.fleet_report import FleetReport, IncompleteReport
from stoatrouter.lab.hollow.head import HollowHead, Lifecycle
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.follower import RETURN_INTERVAL
from stoatrouter.peering.streams import MAX_IN_FLIGHT, Streams
from tests.addresses import free_port
from tests.heads.hollow_fleet import hollow_heads, own_probe_count, reachable_heads
from tests.peers import run
from tests.process_signals import kill
from tests.program_process import ROOT

STORY_TIMEOUT = 170.0  # seconds
SMALL_SIZE = Size(hollow=4, voters=3, spares=0, followers=1, workers=2, nodes=2)
PROBE_PERIOD = 0.5  # seconds, of the failure detector
FETCH_HOLD = 0.5  # seconds that a fetch waits at a voter for new entries
REPORT_INTERVAL = 2.0  # seconds between a head's reports to the leader about the rules
MAX_COUNT_RATIO = 1.5  # between the counts of a hollow and a real head, in either direction
MIN_PERIODS = 8  # detector periods observed at each head


async def until(holds: Callable[[], bool], what: str) -> None:
    """Wait for a state; the timeout only guards against a hang."""
    async with asyncio.timeout(STORY_TIMEOUT - 30):
        while not holds():
            await asyncio.sleep(0.05)
    assert holds(), what


# -- many heads in this process --------------------------------------------------------------------------
@pytest.mark.parametrize("count", [20, 60])
def test_what_a_head_asks_does_not_grow_with_the_fleet(tmp_path, count):
    """The same bounds hold with 20 and 60 idle heads.

    They allow one probe per period, one fetch in flight, one report to the leader per interval, one check
    each 30 s whether the first voter is back, and no other request.
    """

    async def story():
        async with hollow_heads(tmp_path, count) as heads:
            followers = heads[3:]
            await until(lambda: all(reachable_heads(head) == count for head in heads), "all have met")
            await asyncio.sleep(REPORT_INTERVAL)  # commands submitted during the start are committed
            began = time.monotonic()
            before = {head.name: head.counts for head in heads}

            def grown(head: HollowHead, kind: str) -> int:
                return head.counts[kind] - before[head.name][kind]

            await until(
                lambda: all(grown(head, "hollow.said.ping") >= MIN_PERIODS for head in heads), "probes"
            )
            entries = followers[0].heads.fleet.replication.machine.index
            for head in followers:
                spent = time.monotonic() - began
                counted = {kind: grown(head, kind) for kind in head.counts}
                assert own_probe_count(counted) <= spent / PROBE_PERIOD + 2, counted
                # One ack for each received ping and each relayed one; counted since the start, as a lagging
                # loop may answer late what came before this span.
                pings = head.counts["hollow.heard.ping"]
                relayed = head.counts["hollow.heard.ping_for"]
                assert head.counts["hollow.said.ack"] <= pings + relayed, head.counts
                assert counted.get("hollow.asked.fetch", 0) <= spent / FETCH_HOLD + 2, counted
                assert counted.get("hollow.asked.rules", 0) <= spent / REPORT_INTERVAL + 2, counted
                # a follower away from its first voter checks at intervals whether that voter is back
                returns = counted.get("hollow.asked.progress", 0)
                assert returns <= spent / RETURN_INTERVAL.total_seconds() + 1, counted
                bounded = {f"hollow.asked.{kind}" for kind in ("fetch", "rules", "progress")}
                asked = {kind for kind in counted if kind.startswith("hollow.asked.")}
                others = sum(counted[kind] for kind in asked - bounded)
                assert others == 0, counted
            assert followers[0].heads.fleet.replication.machine.index == entries

    run(story(), STORY_TIMEOUT)


def test_a_hollow_head_whose_loop_ends_is_dead_and_says_why(tmp_path):
    async def story():
        async with hollow_heads(tmp_path, 4) as heads:
            victim = heads[3]
            victim.heads.fleet.tasks[0].cancel()
            await until(lambda: victim.lifecycle is Lifecycle.DIED, "it is found dead")
            assert "run_forever" in victim.death_reason and "cancelled" in victim.death_reason
            assert [head.lifecycle for head in heads[:3]] == [Lifecycle.RUNNING] * 3
            for task in (*victim.heads.tasks, *victim.heads.fleet.tasks):
                task.cancel()
            victim.lifecycle = Lifecycle.RUNNING  # so that it is closed like the others

    run(story(), STORY_TIMEOUT)


def test_a_crashed_hollow_head_says_nothing_and_begins_again_with_its_disk(tmp_path):
    async def story():
        async with hollow_heads(tmp_path, 4) as heads:
            victim = heads[3]
            witness = heads[0]
            await until(lambda: reachable_heads(witness) == 4, "all know each other")
            identity = victim.heads.fleet.me
            await victim.crash()
            left = [
                news
                for news in witness.heads.fleet.datagrams.detector.roster.members.values()
                if news.status.name == "LEFT"
            ]
            assert not left
            await victim.start()
            assert victim.heads.fleet.me == identity and victim.lifecycle is Lifecycle.RUNNING

    run(story(), STORY_TIMEOUT)


# -- a voter's bound -------------------------------------------------------------------------------------
def test_a_voter_holds_so_many_questions_and_refuses_the_next(tmp_path, monkeypatch):
    """Requests beyond MAX_IN_FLIGHT are refused, and the waiting ones are answered."""
    excess = 8
    at_once = 8  # a client opens eight connections to one head
    # No request times out, however long a loaded machine takes to deliver all of them.
    monkeypatch.setattr("stoatrouter.peering.streams.CONNECT_TIMEOUT", timedelta(seconds=STORY_TIMEOUT))
    monkeypatch.setattr("stoatrouter.peering.streams.REQUEST_TIMEOUT", timedelta(seconds=STORY_TIMEOUT))

    async def story():
        release = asyncio.Event()
        fleet = "f"
        secret = b"s" * 64

        async def answer(envelope: Envelope) -> bytes:
            await release.wait()
            return envelope.body

        def streams(name: str, handler=answer) -> Streams:
            return Streams(
                EnvelopeSealer(secret, fleet, name),
                Voter(name, name),
                1,
                addresses,
                MessageCounters(),
                handler,
                lambda: "",
            )

        port = free_port()
        addresses = {"voter": f"127.0.0.1:{port}"}
        voter = streams("voter")
        await voter.start(("127.0.0.1", port))
        clients = [streams(f"c{number}") for number in range((MAX_IN_FLIGHT + excess) // at_once)]
        asked = []
        for client in clients:
            await client.start(None)
            asked += [
                asyncio.create_task(client.request("voter", "fetch", b"x", timedelta(seconds=STORY_TIMEOUT)))
                for _ in range(at_once)
            ]
        await until(
            lambda: sum(task.done() for task in asked) == excess, "the ones beyond the bound are refused"
        )
        assert voter.in_flight == MAX_IN_FLIGHT
        release.set()
        answers = await asyncio.gather(*asked, return_exceptions=True)
        refused = [each for each in answers if isinstance(each, PeerUnreachable)]
        assert len(refused) == excess and all(str(each).endswith("503") for each in refused)
        assert sum(isinstance(each, tuple) for each in answers) == MAX_IN_FLIGHT and voter.in_flight == 0
        for each in (*clients, voter):
            await each.close()

    run(story(), STORY_TIMEOUT)


# -- beside real heads -----------------------------------------------------------------------------------
async def counts_of(fleet: CapacityFleet) -> tuple[dict[str, int], dict[str, dict[str, int]]]:
    """Return the counts of the real follower and of the hollow heads."""
    real = next(head for head in fleet.real if head.name not in fleet.real.voters)
    fleet_report = await fleet.hollow.report()
    assert not fleet_report.died, fleet_report.summary()
    return (await real.status())["counts"], {report.name: report.counts for report in fleet_report.running}


def test_a_hollow_head_counts_what_a_real_one_does(tmp_path):
    async def story():
        async with running_fleet(tmp_path, SMALL_SIZE, seed=1) as fleet:
            await fleet.wait_steady(quiet=True)
            real_before, hollow_before = await counts_of(fleet)
            await asyncio.sleep(10)
            real_after, hollow_after = await counts_of(fleet)
            for kind in (
                "datagrams.sent",
                "datagrams.received",
                "datagrams.bytes",
                "streams.sent",
                "streams.bytes",
            ):
                real = real_after[kind] - real_before[kind]
                for name, counts in hollow_after.items():
                    hollow = counts[kind] - hollow_before[name][kind]
                    assert real / MAX_COUNT_RATIO <= hollow <= real * MAX_COUNT_RATIO, (
                        kind,
                        name,
                        hollow,
                        real,
                    )

    run(story(), STORY_TIMEOUT)


def test_real_voters_and_hollow_heads_keep_all_promises_under_faults(tmp_path):
    """The leader is killed, hollow heads crash, and two regions are cut apart; the checker reads all logs."""

    async def story():
        async with running_fleet(tmp_path, SMALL_SIZE, seed=2) as fleet:
            from benchmarks.capacity.faults import Faults

            await fleet.wait_steady(quiet=True)
            clients = SceneClients(fleet, 2, tmp_path / "history.jsonl", edit_every=2.0)
            faults = Faults(fleet, clients)
            await clients.start(spend=0.5)
            leader = await fleet.real.leader()
            await leader.kill()
            await fleet.hollow.crash(fleet.hollow.names[:2])
            await fleet.real.leader()
            await faults.start([leader.name], fleet.hollow.names[:2])
            await faults.part_regions(0, 1)
            await asyncio.sleep(3)
            await faults.heal()
            await fleet.wait_steady(quiet=True)
            async with asyncio.timeout(STORY_TIMEOUT / 3):  # after the faults each head draws credit again
                while not all(report.served for report in (await fleet.hollow.report()).running):
                    await asyncio.sleep(0.2)
            await clients.finish()
            history, broken = clients.check_history()
            assert broken == []
            assert clients.accepted > 0
            for name in fleet.hollow.names:
                assert any(event["event"] == "rules.version" for event in history.logs[name]), name
            served = [line for line in history.of(Request) if line.status == 200]
            assert served and {line.head for line in served} == set(fleet.hollow.names)
            # the checker reads the logs of hollow heads: it reports one that goes back to an older version
            name = fleet.hollow.names[0]
            newest = next(e for e in reversed(history.logs[name]) if e["event"] == "rules.version")
            history.logs[name].append(newest | {"number": 0})
            assert any(f"{name} went from version" in text for text in check_history(history))

    run(story(), STORY_TIMEOUT)


def test_the_heads_of_a_worker_that_dies_are_named_and_in_no_mean(tmp_path):
    async def story():
        async with running_fleet(tmp_path, SMALL_SIZE, seed=3) as fleet:
            before = await fleet.hollow.report()
            worker = fleet.hollow.workers[0]
            kill(worker.process)
            await worker.process.wait()
            after = await fleet.hollow.report()
            assert set(after.died) == set(worker.names) and "worker 0" in after.died[worker.names[0]]
            assert after.lifecycles["died"] == len(worker.names) and len(after.running) == 2
            assert all(name in after.summary() for name in worker.names)
            with pytest.raises(IncompleteReport, match=worker.names[0]):
                after.mean_rates(before, 1.0)

    run(story(), STORY_TIMEOUT)


def test_a_head_without_a_report_counts_as_dead():
    fleet_report = FleetReport(("a", "b"))
    assert set(fleet_report.died) == {"a", "b"} and fleet_report.lifecycles["died"] == 2


# -- sizes and ends --------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("size", "message"),
    [
        (Size(hollow=2_000), "a detector holds 1,024"),
        (Size(hollow=900, workers=300), "processes are needed"),
        (Size(hollow=10, nodes=1_000_000), "raise `ulimit -n`"),
        (Size(hollow=10, voters=5, followers=90), "descriptors of one process"),
    ],
)
def test_sizes_that_this_machine_cannot_hold_are_refused_with_what_would_do(size, message):
    with pytest.raises(CapacityExceeded, match=message):
        size.check()


def test_the_command_refuses_before_it_starts_anything():
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity.fleet", "--sizes", "5000"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and "refused:" in done.stderr and "founded" not in done.stderr


def descendants(pid: int) -> set[int]:
    """Return all descendants of a process."""
    parents = {}
    for entry in Path("/proc").iterdir():
        with contextlib.suppress(OSError, ValueError):
            parents[int(entry.name)] = int((entry / "stat").read_text().rsplit(")", 1)[1].split()[1])
    found: set[int] = set()
    while more := {child for child, parent in parents.items() if parent in (pid, *found)} - found:
        found |= more
    return found


def test_an_interrupted_run_says_so_and_leaves_no_process_behind():
    sizes = ["--sizes", "6", "--voters", "3", "--spares", "0", "--followers", "0", "--workers", "1"]
    arguments = [*sizes, "--nodes", "2", "--seconds", "600"]
    command = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.capacity.fleet", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),  # as a shell starts background jobs
    )
    assert command.stderr is not None
    while "hollow heads run" not in (line := command.stderr.readline()):
        assert line, "the command ended by itself"
    started = descendants(command.pid)
    assert len(started) >= 5
    command.send_signal(signal.SIGINT)
    out, _ = command.communicate(timeout=60)
    assert command.returncode == 130 and "INTERRUPTED" in out and "fit " not in out
    assert not [pid for pid in started if os.path.exists(f"/proc/{pid}")]


def test_a_serving_head_imports_no_hollow_one():
    code = (
        "import sys, stoatrouter.__main__, stoatrouter.peering.heads\n"
        "assert not [name for name in sys.modules if name.startswith('stoatrouter.lab')], 'the lab'"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=60)
