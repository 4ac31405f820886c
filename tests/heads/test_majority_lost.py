"""Heads of the real program that lose the majority of their voters find it out, whoever is left to ask."""

from __future__ import annotations

import asyncio
import shutil

import pytest

from tests.heads.processes import ProcessFleet, running_heads
from tests.peers import run

LIMIT = 150.0
CREDIT = 'credit: prices: "score-read": 1000\n'


async def all_cut_off(fleet: ProcessFleet) -> None:
    async def look() -> bool:
        told = [await head.status() for head in fleet.up]
        return all(t.get("state") == "cut off" for t in told)

    await fleet.until(look, "all that are left are cut off")


@pytest.mark.parametrize(
    ("count", "voters", "lost", "wiped"),
    [(6, 5, ("h0", "h1", "h2"), False), (3, 3, ("h0", "h1"), True), (6, 5, ("h0", "h1", "h4"), True)],
    ids=["three of five voters are gone", "two of three lose their disks", "three of five lose their disks"],
)
def test_heads_that_lost_the_majority_are_cut_off_and_change_nothing(tmp_path, count, voters, lost, wiped):
    async def story():
        async with running_heads(tmp_path, count, voters, seed=1, extra_settings=CREDIT) as fleet:
            await asyncio.gather(*(fleet[name].kill() for name in lost))
            if wiped:
                for name in lost:
                    shutil.rmtree(fleet[name].disk)
                    await fleet[name].start(ready=False)
            await all_cut_off(fleet)
            for head in fleet.up:
                status, told = await head.call("GET", "/control/credit")
                assert status == 200 and not told["draws"], (head.name, told)
            before = {head.name: (await head.status())["majority_heard_s_ago"] for head in fleet.up}
            await asyncio.sleep(1)  # whom they ask meanwhile changes nothing of it
            for head in fleet.up:
                told = await head.status()
                assert told["state"] == "cut off", told
                assert before[head.name] is None or told["majority_heard_s_ago"] > before[head.name]
            if not wiped:
                for name in lost:
                    await fleet[name].start(ready=False)
                await fleet.until_all_connected()

    run(story(), LIMIT)
