"""Edits and undo of rules on heads of the real program, with faults between them.

What a head does is seen by its HTTP front's answers and its log, and by the files that its calls give back.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time

import pytest

from tests.heads.processes import running_heads
from tests.heads.rules_clients import (
    HISTORY,
    active_mark,
    all_marked,
    became,
    edit,
    put,
    rules,
    undo,
    versions_only_go_up,
)
from tests.peers import run

LIMIT = 150.0


def test_edits_and_undo_come_in_force_on_every_head(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=1, extra_settings=HISTORY, http=rules("own")) as fleet:
            await all_marked(fleet, "own")
            assert await put(fleet, "e1", 0, "one") == 1
            assert await put(fleet, "e2", 1, "two", fleet["h4"]) == 2
            status, told = await edit(fleet["h3"], "late", 1, rules("three"))
            assert status == 409 and "version 1" in told["error"] and "newest is 2" in told["error"]
            assert (await undo(fleet["h3"], "u1", 2))[0] == 202
            told = await became(fleet, "u1", "everywhere")
            assert told["restores"] == 1 and told["on"] == told["of"] == 5
            await all_marked(fleet, "one")
            assert (await undo(fleet["h2"], "u1", 2))[1]["number"] == told["number"]  # asked again: once
            assert (await undo(fleet["h1"], "u2", 3))[0] == 202
            await all_marked(fleet, "two")
            # 3 and 4 cancel out: nobody has edited since version 2, which is in force by version 4
            assert (await undo(fleet["h1"], "u3", 2))[0] == 202
            assert (await became(fleet, "u3", "everywhere"))["restores"] == 1
            await all_marked(fleet, "one")
            status, told = await undo(fleet["h1"], "u4", 2)  # it is undone already
            assert status == 409 and "since: 5 by bob;" in told["error"]
            whole = [await h.call("GET", "/control/rules/versions/4") for h in fleet]
            assert all(w == whole[0] for w in whole) and whole[0][1]["files"] == {"rules.cue": rules("two")}
            versions_only_go_up(fleet)

    run(story(), LIMIT)


def test_an_edit_that_a_head_cannot_load_is_abandoned_with_its_name_and_the_place(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=2, extra_settings=HISTORY, http=rules("own")) as fleet:
            await put(fleet, "e1", 0, "one")
            wrong = rules("x").replace('class: "score-read"}', 'class: "no-such-class"}')
            assert (await edit(fleet["h0"], "bad", 1, wrong))[0] == 202
            told = await became(fleet, "bad", "abandoned")
            assert " cannot load it: rules.cue:9: scopes.feed.rules[1].class: " in told["why"]
            assert told["why"][:2] in fleet.names and "no-such-class" in told["why"]
            # one head alone cannot: the folder for the sets is a file there
            blocked = fleet["h4"]
            folder = blocked.disk / "rules"

            def put_in_the_way() -> bool:
                """Replace the folder by a file; fails while the head still writes the abandoned set."""
                with contextlib.suppress(OSError):
                    folder.rename(blocked.folder / f"moved-{time.monotonic_ns()}")
                    folder.write_text("in the way")
                return folder.is_file()

            await fleet.until(put_in_the_way, "the folder for the sets is a file")
            assert (await edit(fleet["h0"], "alone", 1, rules("two")))[0] == 202
            told = await became(fleet, "alone", "abandoned")
            assert told["why"].startswith("h4 cannot load it") and "rules" in told["why"]
            await all_marked(fleet, "one")
            folder.unlink()
            await put(fleet, "e2", 1, "three")
            for path, words in (
                (("GET", "/control/rules/versions/99"), "not in the history"),
                (("GET", "/control/rules/edits/none"), "nothing is known"),
            ):
                status, told = await fleet["h1"].call(*path)
                assert status == 404 and words in told["error"]
            status, told = await fleet["h1"].call("POST", "/control/rules/edits", {"id": "x"})
            assert status == 400 and "base" in told["error"]

    run(story(), LIMIT)


def test_edit_and_undo_from_two_sides_of_a_split(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=3, extra_settings=HISTORY, http=rules("own")) as fleet:
            await put(fleet, "e1", 0, "one")
            await put(fleet, "e2", 1, "two")
            leader = await fleet.leader()
            small = [leader.name, "h4"]
            large = [n for n in fleet.names if n not in small]
            fleet.relay.split(small, large)
            status, told = await undo(leader, "u-small", 2)
            assert status == 503 and told["unknown"]
            await fleet.leader(large)
            assert (await edit(fleet[large[0]], "e3", 2, rules("three")))[0] == 202
            await all_marked(fleet, "three", *large)  # cut-off heads do not stop it

            async def cut_off() -> bool:
                return all([(await fleet[n].status())["state"] == "cut off" for n in small])

            await fleet.until(cut_off, "the smaller side cut off")
            for name in small:
                assert await active_mark(fleet[name]) == "two"  # what it holds, and it says how old that is
                told = (await fleet[name].call("GET", "/control/rules"))[1]
                assert told["state"] == "cut off" and told["version"] == 2
                assert told["majority_heard_s_ago"] >= 3
                assert (await fleet[name].call("GET", "/control/rules/edits/e3"))[0] == 503
            fleet.relay.heal()
            await fleet.until_all_connected()
            await all_marked(fleet, "three")
            status, told = await undo(fleet["h0"], "u-small", 2)  # its caller asks again: e3 came in between
            if status == 409:
                assert "3 by ann" in told["error"]
            versions_only_go_up(fleet)

    run(story(), LIMIT)


def test_leaders_are_killed_at_each_step_and_nothing_acknowledged_is_lost(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=4, extra_settings=HISTORY, http=rules("own")) as fleet:
            base = await put(fleet, "e0", 0, "v0")
            acknowledged = []
            for step, pause in enumerate((0.0, 0.02, 0.08, 0.2)):
                leader = await fleet.leader()
                caller = next(h for h in fleet.up if h is not leader)
                call = asyncio.create_task(edit(caller, f"s{step}", base, rules(f"s{step}")))
                await asyncio.sleep(pause)
                await leader.kill()
                status, told = await call
                while status not in (202, 409):  # its caller asks again, by its id
                    status, told = await edit(fleet.up[0], f"s{step}", base, rules(f"s{step}"))
                assert status == 202, told
                acknowledged.append(f"s{step}")
                await leader.start()
                await fleet.until_all_connected()
                assert (await became(fleet, f"s{step}", "everywhere"))["number"] > base
                await all_marked(fleet, f"s{step}")
                base = (await fleet.up[0].call("GET", "/control/rules"))[1]["newest_known"]
            for step, (pause, text) in enumerate(((0.0, "s2"), (0.03, "s3"), (0.12, "s2"))):
                leader = await fleet.leader()
                caller = next(h for h in fleet.up if h is not leader)
                call = asyncio.create_task(undo(caller, f"u{step}", base))  # undo of the undo is the edit
                await asyncio.sleep(pause)
                await leader.kill()
                status, told = await call
                while status != 202:
                    status, told = await undo(fleet.up[0], f"u{step}", base)
                acknowledged.append(f"u{step}")
                await leader.start()
                await became(fleet, f"u{step}", "everywhere")
                await all_marked(fleet, text)
                base = told["number"]
            told = (await fleet["h0"].call("GET", "/control/rules"))[1]
            assert [v["id"] for v in told["versions"]] == ["e0", *acknowledged]
            versions_only_go_up(fleet)

    run(story(), LIMIT)


def test_undo_while_the_edit_is_still_being_put_in_force(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=5, extra_settings=HISTORY, http=rules("own")) as fleet:
            await put(fleet, "e1", 0, "one")
            fleet["h4"].signal(signal.SIGSTOP)  # alive as far as the others know: it holds the edit up
            assert (await edit(fleet["h0"], "e2", 1, rules("two")))[0] == 202
            assert (await became(fleet, "e2", "accepted"))["number"] == 2
            status, told = await edit(fleet["h1"], "e3", 1, rules("three"))
            assert status == 409 and "being put in force" in told["error"]
            assert (await undo(fleet["h1"], "u", 2))[0] == 202
            assert "taken back by bob" in (await became(fleet, "e2", "abandoned"))["why"]
            fleet["h4"].signal(signal.SIGCONT)
            await fleet.until_all_connected()
            await put(fleet, "e4", 1, "four")
            versions_only_go_up(fleet)

    run(story(), LIMIT)


def test_a_head_that_died_before_activation_and_one_far_behind_catch_up_before_they_serve(tmp_path):
    async def story():
        async with running_heads(
            tmp_path, seed=6, extra_settings='rules: {check_within: "1s", versions: 50}\n', http=rules("own")
        ) as fleet:
            await put(fleet, "e1", 0, "one")
            fleet["h3"].signal(signal.SIGSTOP)  # it is waited for: there is time between check and activation
            assert (await edit(fleet["h0"], "e2", 1, rules("two")))[0] == 202
            await asyncio.sleep(0.3)
            await fleet["h4"].kill()
            await became(fleet, "e2", "in force", "everywhere")
            fleet["h3"].signal(signal.SIGCONT)
            await fleet["h4"].start()
            assert await active_mark(fleet["h4"]) == "two"  # from its first answer on
            await fleet["h4"].kill()
            base = 2
            for n in range(60):
                status, told = await edit(fleet["h0"], f"n{n}", base, rules(f"n{n}"))
                assert status == 202, told
                base = told["number"]
                await became(fleet, f"n{n}", "in force", "everywhere")
            await fleet["h4"].start()
            assert await active_mark(fleet["h4"]) == "n59"
            told = (await fleet["h4"].call("GET", "/control/rules"))[1]
            assert told["newest_known"] == base and told["history_from"] == base - 49
            status, told = await undo(fleet["h4"], "past", 2, to=1)
            assert status == 409 and "not in the history" in told["error"]
            versions_only_go_up(fleet)

    run(story(), LIMIT)


@pytest.mark.parametrize(
    ("spoilt", "log_lost"), [(False, False), (True, False), (True, True)], ids=["kept", "spoilt", "all lost"]
)
def test_a_start_with_nobody_else_serves_what_was_kept(tmp_path, spoilt, log_lost):
    """What was stored, or what its log holds as committed; its own files only where it has neither."""

    async def story():
        async with running_heads(
            tmp_path, count=3, seed=7, extra_settings=HISTORY, http=rules("own")
        ) as fleet:
            await put(fleet, "e1", 0, "one")
            alone = fleet["h1"]
            await fleet.until(lambda: (alone.disk / "rules.kept").exists(), "it is kept")
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
            told = (await alone.call("GET", "/control/rules"))[1]
            assert told["state"] == ("unfounded" if log_lost else "cut off")
            assert told["version"] == (0 if log_lost else 1)
            if spoilt:
                assert any("rules.kept.spoilt" in p.name for p in alone.disk.iterdir())
                assert alone.events("rules.kept_spoilt")
            assert (await edit(alone, "e2", 1, rules("two")))[0] == 503
            await fleet["h0"].start(ready=False)
            await fleet["h2"].start(ready=False)
            await fleet.until_all_connected()
            await all_marked(fleet, "one")
            versions_only_go_up(fleet)

    run(story(), LIMIT)


def test_a_rolling_restart_during_an_undo(tmp_path):
    async def story():
        async with running_heads(tmp_path, seed=8, extra_settings=HISTORY, http=rules("own")) as fleet:
            await put(fleet, "e1", 0, "one")
            await put(fleet, "e2", 1, "two")

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
            await became(fleet, "u", "everywhere")
            await all_marked(fleet, "one")
            versions_only_go_up(fleet)

    run(story(), LIMIT)


def test_many_rules_come_in_force_beside_requests(tmp_path):
    """2,000 rules here; 10,000 are played by benchmarks/heads_rules.py."""

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
            worst, done = 0.0, asyncio.create_task(became(fleet, "many", "everywhere"))
            while not done.done():
                began = asyncio.get_running_loop().time()
                assert (await fleet["h1"].send_request(f"r{began}"))[0] == 200
                worst = max(worst, asyncio.get_running_loop().time() - began)
            await done
            print(f"slowest request beside it: {worst * 1000:.0f} ms")
            await all_marked(fleet, "many")
            async with fleet.session.get(
                f"http://{fleet['h2'].host}:{fleet['h2'].http_port}/p1999"
            ) as response:
                assert response.status == 410

    run(story(), LIMIT)
