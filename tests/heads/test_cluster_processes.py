"""Fleets of real head processes with injected faults: membership, leadership and cut-off heads.

No result depends on a race: each test waits for states, and ends all processes that it started.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from stoatrouter.peering.storage import DATABASE_FILE
from tests.heads.processes import HeadProcess, ProcessFleet, running_heads
from tests.peers import run
from tests.program_process import ROOT, program_environ, start_program

STORY_TIMEOUT = 100.0  # seconds; only guards against a hang


async def until_seen_as(
    fleet: ProcessFleet, of: str, status: str, by: list[HeadProcess] | None = None
) -> None:
    async def look() -> bool:
        others = [h for h in by or fleet.up if h.name != of]
        return all([(await h.status()).get("seen", {}).get(of) == status for h in others])

    await fleet.until(look, f"{of} seen as {status}")


def check_one_leader_per_term(fleet: ProcessFleet) -> None:
    """Assert, by the logs of all heads, that each term had one leader."""
    leaders: dict[int, set[str]] = {}
    for head in fleet:
        for record in head.events("heads.role"):
            if record["leader"] == head.name:
                leaders.setdefault(record["term"], set()).add(head.name)
    assert leaders and all(len(names) == 1 for names in leaders.values()), leaders


def test_a_killed_leader_is_replaced_found_out_and_catches_up(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=1) as fleet:
            first = await fleet.leader()
            identity = (await first.status())["identity"]
            await first.kill()
            second = await fleet.leader()
            assert second.name != first.name
            await until_seen_as(fleet, first.name, "failed")
            assert all([(await h.send_request(f"r{h.name}"))[0] == 200 for h in fleet.up])
            await first.start()
            await fleet.until_all_connected()
            await fleet.until_all_applied()
            await until_seen_as(fleet, first.name, "alive")
            assert (await first.status())["identity"] == identity
            check_one_leader_per_term(fleet)

    run(story(), STORY_TIMEOUT)


def test_the_smaller_side_of_a_split_serves_changes_nothing_and_says_so(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=2) as fleet:
            leader = await fleet.leader()
            other = next(n for n in fleet.voters if n != leader.name)
            minority = [leader.name, "h4"]
            majority = [n for n in fleet.names if n not in (leader.name, "h4")]
            fleet.relay.split(minority, majority)
            second = await fleet.leader(majority)

            async def cut_off() -> bool:
                return all([(await fleet[n].status())["state"] == "cut off" for n in minority])

            await fleet.until(cut_off, "both cut off")
            for name in minority:
                head = fleet[name]
                assert (await head.call("GET", "/control/ready"))[0] == 200
                assert (await head.send_request(f"r-{name}"))[0] == 200
                assert head.events("heads.standing")[-1]["state"] == "cut off"
            assert (await leader.call("DELETE", f"/control/heads/voters/{other}"))[0] in (409, 503)
            assert (await second.call("POST", "/control/heads/voters/h3"))[0] == 200
            fleet.relay.heal()
            await fleet.until_all_connected()
            await fleet.until_all_applied()
            assert "h3" in (await fleet[leader.name].status())["voters"]
            check_one_leader_per_term(fleet)

    run(story(), STORY_TIMEOUT)


def test_one_way_cuts_and_views_that_differ_move_nothing(tmp_path):
    """h0 does not hear h3, and h3 and h4 do not hear each other: voters and availability do not change."""

    async def story():
        async with running_heads(tmp_path, seed=3) as fleet:
            voters = (await (await fleet.leader()).status())["voters"]
            fleet.relay.cut("h3", "h0", both=False)
            fleet.relay.cut("h3", "h4")
            await asyncio.sleep(6)
            assert not any(s["status"] == "failed" for h in fleet for s in h.events("heads.seen"))
            for head in fleet:
                answer = await head.status()
                assert answer["state"] == "in touch" and answer["voters"] == voters

    run(story(), STORY_TIMEOUT)


def test_a_leader_paused_beyond_its_time_comes_back_as_a_follower(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=4) as fleet:
            first = await fleet.leader()
            first.signal(signal.SIGSTOP)
            second = await fleet.leader()
            await until_seen_as(fleet, first.name, "failed")
            first.signal(signal.SIGCONT)
            first.paused = False

            async def follows() -> bool:
                answer = await first.status()
                return answer["state"] == "in touch" and not answer["leads"]

            await fleet.until(follows, "it follows")
            assert (await fleet.leader()).name == second.name
            await until_seen_as(fleet, first.name, "alive")  # it has refuted the suspicion
            check_one_leader_per_term(fleet)

    run(story(), STORY_TIMEOUT)


def test_it_goes_on_under_loss_delay_and_repeats(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=5) as fleet:
            fleet.relay.set_all_links(loss=0.1, duplication=0.2, delay=0.03)
            await asyncio.sleep(8)
            assert not any(s["status"] == "failed" for h in fleet for s in h.events("heads.seen"))
            leader = await fleet.leader()
            assert (await leader.call("POST", "/control/heads/voters/h3"))[0] == 200
            assert (await leader.call("POST", "/control/heads/voters/h4"))[0] == 200
            await fleet.until_all_applied()

    run(story(), STORY_TIMEOUT)


def corrupt_disk(head: HeadProcess, how: str) -> None:
    file = head.disk / DATABASE_FILE
    if how == "empty":
        shutil.rmtree(head.disk)
    elif how == "older":
        shutil.copy(head.folder / "older.db", file)
        for end in ("-wal", "-shm"):
            Path(f"{file}{end}").unlink(missing_ok=True)
    else:
        for path in (file, Path(f"{file}-wal")):
            if path.exists():
                data = bytearray(path.read_bytes())
                data[100:5000] = os.urandom(4900)
                path.write_bytes(bytes(data))


@pytest.mark.parametrize("how", ["empty", "older", "spoilt"])
def test_a_voter_whose_disk_is_lost_never_votes_under_its_old_identity(tmp_path, how):
    async def story():
        async with running_heads(tmp_path, seed=6) as fleet:
            leader = await fleet.leader()
            victim = fleet[next(n for n in fleet.voters if n != leader.name)]
            before = (await victim.status())["identity"]
            await victim.kill()
            shutil.copy(victim.disk / DATABASE_FILE, victim.folder / "older.db")
            await victim.start()
            await fleet.until_all_connected()
            assert (await leader.call("POST", "/control/heads/voters/h3"))[0] == 200
            await fleet.until_all_applied()
            await victim.kill()
            corrupt_disk(victim, how)
            await victim.start()
            await fleet.until_all_connected()
            answer = await victim.status()
            assert answer["identity"] != before and not answer["votes"]
            assert (
                answer["voters"][victim.name] == before
            )  # its old identity stays a voter until operators change that
            leader = await fleet.leader()
            refused = await leader.call("POST", f"/control/heads/voters/{victim.name}")
            assert refused[0] == 503 and "older identity" in refused[1]["error"]
            assert (await leader.call("DELETE", f"/control/heads/voters/{victim.name}"))[0] == 200
            assert (await leader.call("POST", f"/control/heads/voters/{victim.name}"))[0] == 200
            await fleet.until(lambda: votes(victim), "it votes again")
            if how != "empty":
                assert any("spoilt" in file.name for file in victim.disk.iterdir())
                assert victim.events("heads.fresh")

    run(story(), STORY_TIMEOUT)


async def votes(head: HeadProcess) -> bool:
    return (await head.status()).get("votes", False)


def test_a_head_that_cannot_write_serves_without_a_voice(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=7, start=False) as fleet:
            blocked = fleet["h4"]
            (blocked.folder / "disk").write_text("a file where the folder should be")
            await asyncio.gather(*(h.start(ready=False) for h in fleet))
            await asyncio.gather(*(h.until_ready() for h in fleet))
            await fleet.until_all_connected()
            answer = await blocked.status()
            assert not answer["disk"] and not answer["votes"]
            assert (await blocked.send_request("r1"))[0] == 200
            leader = await fleet.leader()
            assert (await leader.call("POST", "/control/heads/voters/h3"))[0] == 200
            await fleet.until_all_applied()  # it follows without a disk

    run(story(), STORY_TIMEOUT)


def test_voters_lost_for_good_are_left_behind_by_a_call(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=8) as fleet:
            leader = await fleet.leader()
            assert (await leader.call("POST", "/control/heads/recover"))[0] == 409
            await fleet.until_all_applied()
            origin = (await fleet["h3"].status())["origin"]
            for name in fleet.voters:
                await fleet[name].kill()
                shutil.rmtree(fleet[name].disk)
            survivor = fleet["h3"]

            async def cut_off() -> bool:
                return (await survivor.status())["state"] == "cut off"

            await fleet.until(cut_off, "the survivor is cut off")
            assert (await survivor.call("POST", "/control/heads/recover"))[0] == 200
            assert (await fleet.leader()).name == "h3"
            assert (await survivor.status())["origin"] != origin
            for name in fleet.voters:  # they return with empty disks, as followers
                await fleet[name].start(ready=False)
                assert not (await fleet[name].status()).get("votes")

    run(story(), STORY_TIMEOUT)


def test_a_head_that_stops_says_so(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=9) as fleet:
            assert await fleet["h4"].stop() == 0
            await until_seen_as(fleet, "h4", "left")
            assert all(s["status"] != "failed" for h in fleet.up for s in h.events("heads.seen"))

    run(story(), STORY_TIMEOUT)


def test_datagrams_from_nobody_and_streams_that_are_not_believed_are_dropped_and_counted(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=3, seed=10) as fleet:
            head = fleet["h0"]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for data in (b"", b"x" * 20, b"x" * 300):
                    sender.sendto(data, (head.host, head.datagram_port))
            for data in (b"", b"x" * 100, b"y" * 1_000_000):
                url = f"http://{head.host}:{head.stream_port}/heads"
                async with fleet.session.post(url, data=data) as response:
                    assert response.status == 403

            async def counted() -> bool:
                counts = (await head.status())["counts"]
                return (
                    counts.get("datagram.dropped.not_a_peer", 0) >= 3
                    and counts.get("stream.dropped.foreign") == 3
                )

            await fleet.until(counted, "all counted")
            assert len([e for e in head.events("heads.dropped") if "not_a_peer" in e["why"]]) == 1
            assert (await head.send_request("r1"))[0] == 200

    run(story(), STORY_TIMEOUT)


def test_where_it_is_off_nothing_of_it_is_imported():
    result = subprocess.run(
        [
            sys.executable,
            "-B",
            "-c",
            "import sys, stoatrouter.__main__\n"
            "print([n for n in sys.modules if any(w in n for w in "
            "('peering', 'agreement', 'credit', 'history', 'sqlite', 'msgspec', 'membership'))])",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert result.stdout == "[]\n", result


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('voters: ["h0", "h1", "h2"]', 'voters: ["h0", "h1"]'), "1, 3 or 5 different heads"),
        (('voters: ["h0", "h1", "h2"]', 'voters: ["h0", "h1", "x"]'), "heads of streams"),
        (('fleet: "test"', "fleet: 7"), "found 7"),
        (('fleet: "test"', 'fleet: "test"\nunknown: 1'), "unknown"),
        (('secret_file: "secret"', 'secret_file: "none"'), "cannot be read"),
        (('fleet: "test"', 'fleet: "test"\nagreement: election: "50ms"'), "three times"),
        (('fleet: "test"', 'fleet: "test"\ncredit: prices: "no-class": 5'), "classes of the settings"),
        (('fleet: "test"', 'fleet: "test"\nrules: versions: 7'), "versions"),
    ],
)
def test_a_wrong_settings_file_ends_the_start_with_place_and_what_is_right(tmp_path, change, expected):
    async def story():
        async with running_heads(tmp_path, count=3, seed=11, start=False) as fleet:
            head = fleet["h0"]
            head.write()
            text = (head.folder / "heads.cue").read_text()
            assert change[0] in text
            (head.folder / "heads.cue").write_text(text.replace(*change))
            environ = program_environ(head.folder / "config.json", **head.settings_environ())
            process = await start_program(head.folder, environ, stderr=asyncio.subprocess.PIPE)
            _, stderr = await process.communicate()
            assert process.returncode == 2 and expected in stderr.decode(), stderr.decode()

    run(story(), STORY_TIMEOUT)


def test_a_peer_that_is_no_address_is_left_out(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=3, seed=12, start=False) as fleet:
            head = fleet["h0"]
            head.write()
            file = head.folder / "config.json"
            data = json.loads(file.read_text())
            data["peers"] += ["nonsense", 7, None, "host:"]
            data_text = json.dumps(data)
            head.write = lambda: file.write_text(data_text)  # type: ignore[method-assign,return-value]
            for each in fleet:
                if each is not head:
                    each.write()
            (head.folder / "tmp").mkdir(exist_ok=True)
            await asyncio.gather(*(h.start(ready=False) for h in fleet))
            await fleet.until_all_connected()

    run(story(), STORY_TIMEOUT)
