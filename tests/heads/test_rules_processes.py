"""Edits and undo of rules on head processes, with injected faults.

The tests observe a head by the answers of its HTTP front, its log, and the files that its calls return.
"""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import time

import pytest

from tests.heads.processes import running_heads
from tests.heads.rules_clients import (
    RULES_SETTINGS,
    active_mark,
    check_versions_ascend,
    edit,
    roll_out,
    rules,
    undo,
    until_all_marked,
    until_edit_is,
)
from tests.peers import run

STORY_TIMEOUT = 150.0  # seconds
MANY = 700  # rules


def slow_rules(mark: str) -> str:
    """Return rules that take a second or more to compile."""
    rule = '{{name: "r{0}", when: #"request.path == "/r{0}""#, refuse: {{status: 451, reason: "r"}}}},'
    many = "".join(rule.format(number) for number in range(MANY))
    return rules(mark).replace("rules: [", f"rules: [{many}")


def test_edits_and_undo_come_in_force_on_every_head(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=1, extra_settings=RULES_SETTINGS, http=rules("own")) as fleet:
            await until_all_marked(fleet, "own")
            assert await roll_out(fleet, "e1", 0, "one") == 1
            assert await roll_out(fleet, "e2", 1, "two", fleet["h4"]) == 2
            status, answer = await edit(fleet["h3"], "late", 1, rules("three"))
            assert status == 409 and "version 1" in answer["error"] and "newest is 2" in answer["error"]
            assert (await undo(fleet["h3"], "u1", 2))[0] == 202
            answer = await until_edit_is(fleet, "u1", "everywhere")
            assert answer["restores"] == 1 and answer["on"] == answer["of"] == 5
            await until_all_marked(fleet, "one")
            # a repeated call acts once
            assert (await undo(fleet["h2"], "u1", 2))[1]["number"] == answer["number"]
            assert (await undo(fleet["h1"], "u2", 3))[0] == 202
            await until_all_marked(fleet, "two")
            # 3 and 4 cancel out, so there is no edit since version 2, which is in force as version 4
            assert (await undo(fleet["h1"], "u3", 2))[0] == 202
            assert (await until_edit_is(fleet, "u3", "everywhere"))["restores"] == 1
            await until_all_marked(fleet, "one")
            status, answer = await undo(fleet["h1"], "u4", 2)  # it is undone already
            assert status == 409 and "since: 5 by bob;" in answer["error"]
            versions = [await h.call("GET", "/control/rules/versions/4") for h in fleet]
            assert all(w == versions[0] for w in versions) and versions[0][1]["files"] == {
                "rules.cue": rules("two")
            }
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_an_edit_that_a_head_cannot_load_is_abandoned_with_its_name_and_the_place(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=2, extra_settings=RULES_SETTINGS, http=rules("own")) as fleet:
            await roll_out(fleet, "e1", 0, "one")
            wrong = rules("x").replace('class: "score-read"}', 'class: "no-such-class"}')
            assert (await edit(fleet["h0"], "bad", 1, wrong))[0] == 202
            answer = await until_edit_is(fleet, "bad", "abandoned")
            assert " cannot load it: rules.cue:9: scopes.feed.rules[1].class: " in answer["why"]
            assert answer["why"][:2] in fleet.names and "no-such-class" in answer["why"]
            # a single head cannot load it: a file blocks its folder for rule sets
            blocked = fleet["h4"]
            folder = blocked.disk / "rules"

            def replace_folder_by_file() -> bool:
                """Replace the folder by a file; fails while the head still writes the abandoned rule set."""
                with contextlib.suppress(OSError):
                    folder.rename(blocked.folder / f"moved-{time.monotonic_ns()}")
                    folder.write_text("in the way")
                return folder.is_file()

            await fleet.until(replace_folder_by_file, "the folder for the sets is a file")
            assert (await edit(fleet["h0"], "alone", 1, rules("two")))[0] == 202
            answer = await until_edit_is(fleet, "alone", "abandoned")
            assert answer["why"].startswith("h4 cannot load it") and "rules" in answer["why"]
            await until_all_marked(fleet, "one")
            folder.unlink()
            await roll_out(fleet, "e2", 1, "three")
            for path, expected in (
                (("GET", "/control/rules/versions/99"), "not in the history"),
                (("GET", "/control/rules/edits/none"), "nothing is known"),
            ):
                status, answer = await fleet["h1"].call(*path)
                assert status == 404 and expected in answer["error"]
            status, answer = await fleet["h1"].call("POST", "/control/rules/edits", {"id": "x"})
            assert status == 400 and "base" in answer["error"]

    run(story(), STORY_TIMEOUT)


def test_edit_and_undo_from_two_sides_of_a_split(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=3, extra_settings=RULES_SETTINGS, http=rules("own")) as fleet:
            await roll_out(fleet, "e1", 0, "one")
            await roll_out(fleet, "e2", 1, "two")
            leader = await fleet.leader()
            minority = [leader.name, "h4"]
            majority = [n for n in fleet.names if n not in minority]
            fleet.relay.split(minority, majority)
            status, answer = await undo(leader, "u-small", 2)
            assert status == 503 and answer["unknown"]
            await fleet.leader(majority)
            assert (await edit(fleet[majority[0]], "e3", 2, rules("three")))[0] == 202
            await until_all_marked(fleet, "three", *majority)  # cut-off heads do not block it

            async def cut_off() -> bool:
                return all([(await fleet[n].status())["state"] == "cut off" for n in minority])

            await fleet.until(cut_off, "the smaller side cut off")
            for name in minority:
                assert await active_mark(fleet[name]) == "two"  # the rules it has, with their age
                answer = (await fleet[name].call("GET", "/control/rules"))[1]
                assert answer["state"] == "cut off" and answer["version"] == 2
                assert answer["majority_heard_s_ago"] >= 3
                assert (await fleet[name].call("GET", "/control/rules/edits/e3"))[0] == 503
            fleet.relay.heal()
            await fleet.until_all_connected()
            await until_all_marked(fleet, "three")
            status, answer = await undo(
                fleet["h0"], "u-small", 2
            )  # repeated by its caller; e3 came in between
            if status == 409:
                assert "3 by ann" in answer["error"]
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_leaders_are_killed_at_each_step_and_nothing_acknowledged_is_lost(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=4, extra_settings=RULES_SETTINGS, http=rules("own")) as fleet:
            base = await roll_out(fleet, "e0", 0, "v0")
            acknowledged = []
            for step, pause in enumerate((0.0, 0.02, 0.08, 0.2)):
                leader = await fleet.leader()
                caller = next(h for h in fleet.up if h is not leader)
                call = asyncio.create_task(edit(caller, f"s{step}", base, rules(f"s{step}")))
                await asyncio.sleep(pause)
                await leader.kill()
                status, answer = await call
                while status not in (202, 409):  # repeated by its caller with the same id
                    status, answer = await edit(fleet.up[0], f"s{step}", base, rules(f"s{step}"))
                assert status == 202, answer
                acknowledged.append(f"s{step}")
                await leader.start()
                await fleet.until_all_connected()
                assert (await until_edit_is(fleet, f"s{step}", "everywhere"))["number"] > base
                await until_all_marked(fleet, f"s{step}")
                base = (await fleet.up[0].call("GET", "/control/rules"))[1]["newest_known"]
            for step, (pause, text) in enumerate(((0.0, "s2"), (0.03, "s3"), (0.12, "s2"))):
                leader = await fleet.leader()
                caller = next(h for h in fleet.up if h is not leader)
                # undo of the undo restores the edit
                call = asyncio.create_task(undo(caller, f"u{step}", base))
                await asyncio.sleep(pause)
                await leader.kill()
                status, answer = await call
                while status != 202:
                    status, answer = await undo(fleet.up[0], f"u{step}", base)
                acknowledged.append(f"u{step}")
                await leader.start()
                await until_edit_is(fleet, f"u{step}", "everywhere")
                await until_all_marked(fleet, text)
                base = answer["number"]
            answer = (await fleet["h0"].call("GET", "/control/rules"))[1]
            assert [v["id"] for v in answer["versions"]] == ["e0", *acknowledged]
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_undo_while_the_edit_is_still_being_put_in_force(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=5, extra_settings=RULES_SETTINGS, http=rules("own")) as fleet:
            await roll_out(fleet, "e1", 0, "one")
            fleet["h4"].signal(signal.SIGSTOP)  # the others take it for alive, so it blocks the edit
            assert (await edit(fleet["h0"], "e2", 1, rules("two")))[0] == 202
            assert (await until_edit_is(fleet, "e2", "accepted"))["number"] == 2
            status, answer = await edit(fleet["h1"], "e3", 1, rules("three"))
            assert status == 409 and "being put in force" in answer["error"]
            assert (await undo(fleet["h1"], "u", 2))[0] == 202
            assert "taken back by bob" in (await until_edit_is(fleet, "e2", "abandoned"))["why"]
            fleet["h4"].signal(signal.SIGCONT)
            await fleet.until_all_connected()
            await roll_out(fleet, "e4", 1, "four")
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_a_head_that_died_before_activation_and_one_far_behind_catch_up_before_they_serve(tmp_path):
    async def story():
        async with running_heads(
            tmp_path, seed=6, extra_settings='rules: {check_within: "1s", versions: 50}\n', http=rules("own")
        ) as fleet:
            await roll_out(fleet, "e1", 0, "one")
            # the leader waits for it, which leaves time between check and activation
            fleet["h3"].signal(signal.SIGSTOP)
            assert (await edit(fleet["h0"], "e2", 1, rules("two")))[0] == 202
            await asyncio.sleep(0.3)
            await fleet["h4"].kill()
            await until_edit_is(fleet, "e2", "in force", "everywhere")
            fleet["h3"].signal(signal.SIGCONT)
            await fleet["h4"].start()
            assert await active_mark(fleet["h4"]) == "two"  # already in its first answer
            await fleet["h4"].kill()
            base = 2
            for n in range(60):
                status, answer = await edit(fleet["h0"], f"n{n}", base, rules(f"n{n}"))
                assert status == 202, answer
                base = answer["number"]
                await until_edit_is(fleet, f"n{n}", "in force", "everywhere")
            await fleet["h4"].start()
            assert await active_mark(fleet["h4"]) == "n59"
            answer = (await fleet["h4"].call("GET", "/control/rules"))[1]
            assert answer["newest_known"] == base and answer["history_from"] == base - 49
            status, answer = await undo(fleet["h4"], "past", 2, to=1)
            assert status == 409 and "not in the history" in answer["error"]
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_a_head_back_without_its_disk_is_ready_once_it_has_the_version_in_force(tmp_path):
    # Guards against a head that serves by its own files, as it knows no version and no fleet yet.
    async def story():
        own = rules("own")
        async with running_heads(tmp_path, count=4, extra_settings=RULES_SETTINGS, http=own) as fleet:
            status, answer = await edit(fleet["h0"], "e1", 0, slow_rules("one"))
            assert status == 202, answer
            await until_all_marked(fleet, "one")
            head = fleet["h3"]
            await head.kill()
            shutil.rmtree(head.disk)
            await head.start()
            assert await active_mark(head) == "one"

    run(story(), STORY_TIMEOUT)


@pytest.mark.parametrize(
    ("spoilt", "log_lost"), [(False, False), (True, False), (True, True)], ids=["kept", "spoilt", "all lost"]
)
def test_a_start_with_nobody_else_serves_what_was_kept(tmp_path, spoilt, log_lost):
    """It serves the stored version or the committed log; its own files only if it has neither."""

    async def story():
        async with running_heads(
            tmp_path, count=3, seed=7, extra_settings=RULES_SETTINGS, http=rules("own")
        ) as fleet:
            await roll_out(fleet, "e1", 0, "one")
            alone = fleet["h1"]
            await fleet.until(lambda: (alone.disk / "rules.kept").exists(), "the version is stored")
            for head in fleet:
                await head.kill()
            if spoilt:
                data = bytearray((alone.disk / "rules.kept").read_bytes())
                data[60] ^= 1
                (alone.disk / "rules.kept").write_bytes(bytes(data))
            if log_lost:
                (alone.disk / "heads.db").unlink()
            await alone.start()
            assert await active_mark(alone) == ("own" if log_lost else "one")
            answer = (await alone.call("GET", "/control/rules"))[1]
            assert answer["state"] == ("unfounded" if log_lost else "cut off")
            assert answer["version"] == (0 if log_lost else 1)
            if spoilt:
                assert any("rules.kept.spoilt" in p.name for p in alone.disk.iterdir())
                assert alone.events("rules.kept_spoilt")
            assert (await edit(alone, "e2", 1, rules("two")))[0] == 503
            await fleet["h0"].start(ready=False)
            await fleet["h2"].start(ready=False)
            await fleet.until_all_connected()
            await until_all_marked(fleet, "one")
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_a_rolling_restart_during_an_undo(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=8, extra_settings=RULES_SETTINGS, http=rules("own")) as fleet:
            await roll_out(fleet, "e1", 0, "one")
            await roll_out(fleet, "e2", 1, "two")

            async def roll() -> None:
                for head in list(fleet):
                    assert await head.stop() == 0
                    await head.start()

            rolling = asyncio.create_task(roll())
            await asyncio.sleep(1.0)
            status = 0
            while status != 202:
                status, _ = await undo(fleet.up[0], "u", 2)
            await rolling
            await fleet.until_all_connected()
            await until_edit_is(fleet, "u", "everywhere")
            await until_all_marked(fleet, "one")
            check_versions_ascend(fleet)

    run(story(), STORY_TIMEOUT)


def test_many_rules_come_in_force_beside_requests(tmp_path):
    """With 2,000 rules; benchmarks/heads_rules.py runs 10,000."""

    async def story():
        async with running_heads(
            tmp_path, count=3, seed=9, extra_settings='rules: {check_within: "30s"}\n', http=rules("own")
        ) as fleet:
            lines = "".join(
                f'\t\t{{name: "r{i}", when: #"request.path == "/p{i}""#, refuse: '
                '{status: 410, reason: "gone"}},\n'
                for i in range(2000)
            )
            text = rules("many").replace('\t\t{name: "reads"', lines + '\t\t{name: "reads"')
            assert (await edit(fleet["h0"], "many", 0, text))[0] == 202
            slowest = 0.0
            done = asyncio.create_task(until_edit_is(fleet, "many", "everywhere"))
            while not done.done():
                began = asyncio.get_running_loop().time()
                assert (await fleet["h1"].send_request(f"r{began}"))[0] == 200
                slowest = max(slowest, asyncio.get_running_loop().time() - began)
            await done
            print(f"slowest request beside it: {slowest * 1000:.0f} ms")
            await until_all_marked(fleet, "many")
            async with fleet.session.get(
                f"http://{fleet['h2'].host}:{fleet['h2'].http_port}/p1999"
            ) as response:
                assert response.status == 410

    run(story(), STORY_TIMEOUT)
