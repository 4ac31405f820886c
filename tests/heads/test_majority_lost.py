"""Head processes that lose the majority of their voters notice it, whichever heads are left."""

from __future__ import annotations

import asyncio
import shutil

import pytest

from tests.heads.processes import ProcessFleet, running_heads
from tests.peers import run

STORY_TIMEOUT = 150.0  # seconds
CREDIT = 'credit: prices: "score-read": 1000\n'


async def all_cut_off(fleet: ProcessFleet) -> None:
    async def look() -> bool:
        answer = [await head.status() for head in fleet.up]
        return all(t.get("state") == "cut off" for t in answer)

    await fleet.until(look, "all remaining heads are cut off")


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
                status, answer = await head.call("GET", "/control/credit")
                assert status == 200 and not answer["draws"], (head.name, answer)
            before = {head.name: (await head.status())["majority_heard_s_ago"] for head in fleet.up}
            await asyncio.sleep(1)  # polls of other heads in the meantime change nothing
            for head in fleet.up:
                answer = await head.status()
                assert answer["state"] == "cut off", answer
                assert before[head.name] is None or answer["majority_heard_s_ago"] > before[head.name]
            if not wiped:
                for name in lost:
                    await fleet[name].start(ready=False)
                await fleet.until_all_connected()

    run(story(), STORY_TIMEOUT)
