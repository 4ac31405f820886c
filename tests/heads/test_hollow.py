"""Hollow heads: like real ones in what they count, named when they die, and bounded in what they ask.

No span judges: it bounds a wait, and rates are held against the most that the heads' own timers allow.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from pathlib import Path

import pytest

from benchmarks.capacity.capacity_fleet import CREDIT_AND_RULES_SETTINGS, CapacityFleet, Size, running_fleet
from benchmarks.capacity.harness import CapacityExceeded
from benchmarks.capacity.realheads import FLEET
from benchmarks.capacity.scene_clients import SceneClients
from stoatrouter import config
from stoatrouter.agreement.records import Voter
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.lab.histories.checker import check_history
from stoatrouter.lab.histories.history import Request
from stoatrouter.lab.hollow.fleet_report import FleetReport, IncompleteReport
from stoatrouter.lab.hollow.head import HollowHead, Lifecycle, SharedResources, settings_of_head
from stoatrouter.lab.hollow.launcher import choose_addresses
from stoatrouter.lab.hollow.network import Network
from stoatrouter.peering.counters import MessageCounters
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer
from stoatrouter.peering.errors import PeerUnreachable
from stoatrouter.peering.follower import RETURN_INTERVAL
from stoatrouter.peering.settings import load_heads
from stoatrouter.peering.streams import MAX_IN_FLIGHT, Streams
from tests.addresses import free_port
from tests.heads.rules_clients import RULES
from tests.peers import config_data, node_list, run
from tests.process_signals import kill
from tests.program_process import ROOT

LIMIT = 170.0
SMALL = Size(hollow=4, voters=3, spares=0, followers=1, workers=2, nodes=2)
PERIOD = 0.5  # seconds, of the detector
HELD = 0.5  # seconds that a fetch waits for news
SAY_EVERY = 2.0  # seconds between a head's words to the leader of the rules
LIKENESS = 1.5  # a hollow head counts at most so many times what a real one does, and at least a part of it
SEEN_PERIODS = 8  # periods of each head that are counted


async def until(holds: Callable[[], bool], what: str) -> None:
    """Wait for a state; the limit only ends what would never come."""
    async with asyncio.timeout(LIMIT - 30):
        while not holds():
            await asyncio.sleep(0.05)
    assert holds(), what


# -- many in this process -----------------------------------------------------------------------------------
@contextlib.asynccontextmanager
async def hollow_only(folder: Path, count: int, voters: int = 3) -> AsyncIterator[list[HollowHead]]:
    """Hollow heads that vote, and hollow heads that follow them, all in this process."""
    names = tuple(f"h{number}" for number in range(count))
    addresses = choose_addresses([names])
    ports = [free_port() for _ in range(voters)]
    streams = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=False)}
    (folder / "secret").write_text("s" * 40)
    (folder / "rules.cue").write_text(RULES)
    (folder / "http.cue").write_text('listen: "127.0.0.1:0"\nrules: "rules.cue"\n')
    (folder / "config.json").write_text(json.dumps(config_data(node_list(1))))
    (folder / "heads.cue").write_text(
        f'fleet: "{FLEET}"\nsecret_file: "secret"\nfolder: "disk"\n'
        f"streams: {json.dumps(streams)}\nvoters: {json.dumps(names[:voters])}\n{CREDIT_AND_RULES_SETTINGS}"
    )
    files = {"NODE_CONFIG": str(folder / "config.json"), "STOATROUTER_HTTP": str(folder / "http.cue")}
    conf = config.read(files, {})
    common = load_heads(folder / "heads.cue", conf)
    network = Network({}, {address: name for name, address in addresses.items()})
    shared = SharedResources(conf, load_http(folder / "http.cue"), network, watches=False)
    peers = tuple(addresses.values())
    heads = [
        HollowHead(name, settings_of_head(common, name, addresses[name], peers), shared) for name in names
    ]
    try:
        await asyncio.gather(*(asyncio.create_task(head.start()) for head in heads))
        yield heads
    finally:
        await asyncio.gather(*(head.close() for head in heads))


def seen(head: HollowHead) -> int:
    """How many heads a hollow head's detector has heard itself, and so can reach; itself with them."""
    assert head.heads is not None and head.heads.fleet.datagrams is not None
    return len(head.heads.fleet.datagrams.detector.roster.addresses) + 1


def own_probes(counts: dict[str, int]) -> int:
    """Pings that a head sent for itself: without those sent in another's place, and without the second one
    of each probe for which others were asked."""
    for_others = counts.get("hollow.heard.ping_for", 0)
    again = math.ceil(counts.get("hollow.said.ping_for", 0) / 3)
    return counts.get("hollow.said.ping", 0) - for_others - again


@pytest.mark.parametrize("count", [20, 60])
def test_what_a_head_asks_does_not_grow_with_the_fleet(tmp_path, count):
    """The same bounds hold at 20 heads and at 60: one probe a period, one fetch held, one word to the leader,
    one look each 30 s whether the first voter is back, and nothing else while nothing happens."""

    async def story():
        async with hollow_only(tmp_path, count) as heads:
            followers = heads[3:]
            await until(lambda: all(seen(head) == count for head in heads), "all have met")
            await asyncio.sleep(SAY_EVERY)  # what the start left to be agreed on is over
            began = time.monotonic()
            before = {head.name: head.counts for head in heads}

            def grown(head: HollowHead, kind: str) -> int:
                return head.counts[kind] - before[head.name][kind]

            await until(
                lambda: all(grown(head, "hollow.said.ping") >= SEEN_PERIODS for head in heads), "probes"
            )
            entries = followers[0].heads.fleet.replication.machine.index
            for head in followers:
                spent = time.monotonic() - began
                counted = {kind: grown(head, kind) for kind in head.counts}
                assert own_probes(counted) <= spent / PERIOD + 2, counted
                # An answer to each ping that came, and to each that was sent in another's place: counted
                # since the start, as a lagging loop answers late what came before this span.
                pings = head.counts["hollow.heard.ping"]
                relayed = head.counts["hollow.heard.ping_for"]
                assert head.counts["hollow.said.ack"] <= pings + relayed, head.counts
                assert counted.get("hollow.asked.fetch", 0) <= spent / HELD + 2, counted
                assert counted.get("hollow.asked.rules", 0) <= spent / SAY_EVERY + 2, counted
                # a follower that is away from its first voter asks now and then whether it is back
                returns = counted.get("hollow.asked.progress", 0)
                assert returns <= spent / RETURN_INTERVAL.total_seconds() + 1, counted
                bounded = {f"hollow.asked.{kind}" for kind in ("fetch", "rules", "progress")}
                asked = {kind for kind in counted if kind.startswith("hollow.asked.")}
                others = sum(counted[kind] for kind in asked - bounded)
                assert others == 0, counted
            assert followers[0].heads.fleet.replication.machine.index == entries

    run(story(), LIMIT)


def test_a_hollow_head_whose_loop_ends_is_dead_and_says_why(tmp_path):
    async def story():
        async with hollow_only(tmp_path, 4) as heads:
            victim = heads[3]
            victim.heads.fleet.tasks[0].cancel()
            await until(lambda: victim.lifecycle is Lifecycle.DIED, "it is found dead")
            assert "run_forever" in victim.death_reason and "cancelled" in victim.death_reason
            assert [head.lifecycle for head in heads[:3]] == [Lifecycle.RUNNING] * 3
            for task in (*victim.heads.tasks, *victim.heads.fleet.tasks):
                task.cancel()
            victim.lifecycle = Lifecycle.RUNNING  # so that it is closed with the others

    run(story(), LIMIT)


def test_a_crashed_hollow_head_says_nothing_and_begins_again_with_its_disk(tmp_path):
    async def story():
        async with hollow_only(tmp_path, 4) as heads:
            victim, witness = heads[3], heads[0]
            await until(lambda: seen(witness) == 4, "all know each other")
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

    run(story(), LIMIT)


# -- a voter's bound ----------------------------------------------------------------------------------------
def test_a_voter_holds_so_many_questions_and_refuses_the_next(tmp_path, monkeypatch):
    """Each waiting question holds a place; those beyond MAX_IN_FLIGHT are refused, the others answered."""
    beyond, at_once = 8, 8  # a client opens eight connections to one head
    # However long a crowded machine takes to bring all questions to the voter, none of them times out.
    monkeypatch.setattr("stoatrouter.peering.streams.CONNECT_TIMEOUT", timedelta(seconds=LIMIT))
    monkeypatch.setattr("stoatrouter.peering.streams.REQUEST_TIMEOUT", timedelta(seconds=LIMIT))

    async def story():
        release, fleet = asyncio.Event(), "f"
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
        clients = [streams(f"c{number}") for number in range((MAX_IN_FLIGHT + beyond) // at_once)]
        asked = []
        for client in clients:
            await client.start(None)
            asked += [
                asyncio.create_task(client.request("voter", "fetch", b"x", timedelta(seconds=LIMIT)))
                for _ in range(at_once)
            ]
        await until(lambda: sum(task.done() for task in asked) == beyond, "the ones beyond are refused")
        assert voter.in_flight == MAX_IN_FLIGHT
        release.set()
        answers = await asyncio.gather(*asked, return_exceptions=True)
        refused = [each for each in answers if isinstance(each, PeerUnreachable)]
        assert len(refused) == beyond and all(str(each).endswith("503") for each in refused)
        assert sum(isinstance(each, tuple) for each in answers) == MAX_IN_FLIGHT and voter.in_flight == 0
        for each in (*clients, voter):
            await each.close()

    run(story(), LIMIT)


# -- beside real heads --------------------------------------------------------------------------------------
async def counts_of(fleet: CapacityFleet) -> tuple[dict[str, int], dict[str, dict[str, int]]]:
    """What the real follower and the hollow ones have counted."""
    real = next(head for head in fleet.real if head.name not in fleet.real.voters)
    fleet_report = await fleet.hollow.report()
    assert not fleet_report.died, fleet_report.summary()
    return (await real.status())["counts"], {report.name: report.counts for report in fleet_report.running}


def test_a_hollow_head_counts_what_a_real_one_does(tmp_path):
    async def story():
        async with running_fleet(tmp_path, SMALL, seed=1) as fleet:
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
                    assert real / LIKENESS <= hollow <= real * LIKENESS, (kind, name, hollow, real)

    run(story(), LIMIT)


def test_real_voters_and_hollow_heads_keep_all_promises_under_faults(tmp_path):
    """The leader is killed, hollow heads crash, two regions are apart; the judges read the logs of all."""

    async def story():
        async with running_fleet(tmp_path, SMALL, seed=2) as fleet:
            from benchmarks.capacity.faults import Faults

            await fleet.wait_steady(quiet=True)
            asking = SceneClients(fleet, 2, tmp_path / "history.jsonl", edit_every=2.0)
            faults = Faults(fleet, asking)
            await asking.start(spend=0.5)
            leader = await fleet.real.leader()
            await leader.kill()
            await fleet.hollow.crash(fleet.hollow.names[:2])
            await fleet.real.leader()
            await faults.start([leader.name], fleet.hollow.names[:2])
            await faults.part_regions(0, 1)
            await asyncio.sleep(3)
            await faults.heal()
            await fleet.wait_steady(quiet=True)
            async with asyncio.timeout(LIMIT / 3):  # whatever the faults were, each draws credit again
                while not all(report.served for report in (await fleet.hollow.report()).running):
                    await asyncio.sleep(0.2)
            await asking.finish()
            history, broken = asking.check_history()
            assert broken == []
            assert asking.accepted > 0
            for name in fleet.hollow.names:
                assert any(event["event"] == "rules.version" for event in history.logs[name]), name
            served = [line for line in history.of(Request) if line.status == 200]
            assert served and {line.head for line in served} == set(fleet.hollow.names)
            # the judge reads hollow heads' logs: one that goes back to an older version is found out
            name = fleet.hollow.names[0]
            newest = next(e for e in reversed(history.logs[name]) if e["event"] == "rules.version")
            history.logs[name].append(newest | {"number": 0})
            assert any(f"{name} went from version" in text for text in check_history(history))

    run(story(), LIMIT)


def test_the_heads_of_a_worker_that_dies_are_named_and_in_no_mean(tmp_path):
    async def story():
        async with running_fleet(tmp_path, SMALL, seed=3) as fleet:
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

    run(story(), LIMIT)


def test_a_head_without_a_report_counts_as_dead():
    fleet_report = FleetReport(("a", "b"))
    assert set(fleet_report.died) == {"a", "b"} and fleet_report.lifecycles["died"] == 2


# -- sizes and ends -----------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("size", "says"),
    [
        (Size(hollow=2_000), "a detector holds 1,024"),
        (Size(hollow=900, workers=300), "processes are needed"),
        (Size(hollow=10, nodes=1_000_000), "raise `ulimit -n`"),
        (Size(hollow=10, voters=5, followers=90), "descriptors of one process"),
    ],
)
def test_sizes_that_this_machine_cannot_hold_are_refused_with_what_would_do(size, says):
    with pytest.raises(CapacityExceeded, match=says):
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


def children(pid: int) -> set[int]:
    """All processes below one."""
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
    started = children(command.pid)
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
