"""Faults that end while one of them is halfway, and what a story says of a head that is not up after them."""

from __future__ import annotations

import asyncio
import signal
import time
from types import SimpleNamespace
from typing import Any

import pytest

from tests.heads.history_clients import OK, PRICE, VOLUMES
from tests.heads.ledger_chaos import LEDGER_CHAOS_SETTINGS, LedgerChaos
from tests.heads.processes import HeadProcess, HeadsDownError, ProcessFleet, running_heads
from tests.heads.rules_clients import rules
from tests.peers import run
from tests.process_signals import kill as kill_process

HALF_STEP = 0.02  # seconds that a stand-in takes to end or to start


class StandInHead(HeadProcess):
    """A head without a process, whose end and start take their time; it never comes to make its folder."""

    halfway: asyncio.Event

    async def start(self, ready: bool = True) -> None:
        await asyncio.sleep(HALF_STEP)
        self.process = SimpleNamespace(returncode=None)

    async def kill(self) -> None:
        self.process.returncode = -9  # it dies whether or not somebody waits for it
        self.halfway.set()
        await asyncio.sleep(HALF_STEP)

    def signal(self, sign: signal.Signals) -> None:
        self.paused = sign is signal.SIGSTOP
        self.halfway.set()

    async def call(self, method: str, path: str, *more: Any) -> tuple[int, Any]:
        if path == "/control/heads":
            return OK, {"leader": "h0"}
        out = {f"of {path}": {"head": "h4", "amount": 10, "spent": 3}}
        return OK, {"out": out}


async def stand_in_chaos(folder, fault: str) -> LedgerChaos:
    """Faults of one kind on five stand-ins that run."""
    fleet = ProcessFleet(folder, 5, 3, 1, "", "", {})
    await fleet.relay.start()
    fleet.heads = {name: StandInHead(fleet, name) for name in fleet.names}
    StandInHead.halfway = asyncio.Event()
    for head in fleet:
        await head.start()
    chaos = LedgerChaos(fleet, 1, folder / "history.jsonl")
    chaos.draws.uniform, chaos.faults_drawn = min, [fault]  # the shortest of all times
    return chaos


@pytest.mark.parametrize("fault", ["kill", "kill_leader", "lose_folder", "start_cut_off", "pause"])
def test_faults_that_end_while_one_is_halfway_leave_all_heads_up(tmp_path, fault):
    # Guards the story against a head that stays dead: its credit is never settled, and the wait never ends.
    async def story():
        chaos = await stand_in_chaos(tmp_path, fault)
        chaos.begin_faults()
        await StandInHead.halfway.wait()
        await chaos.end_faults()
        assert [head.name for head in chaos.fleet.up] == chaos.fleet.names
        await chaos.fleet.relay.close()

    run(story(), 20.0)


def test_a_head_that_is_not_up_after_the_faults_is_the_error_by_name(tmp_path):
    # Guards the report: what is waited for then never comes, and its name says nothing of the dead head.
    async def story():
        chaos = await stand_in_chaos(tmp_path, "heal")
        chaos.begin_faults()
        await chaos.end_faults()
        chaos.fleet["h2"].process.returncode = 1
        for wait in (chaos.fleet.until(lambda: False, "what never comes"), chaos.end_faults()):
            with pytest.raises(HeadsDownError, match=r"not up: h2 \(1\)"):
                await wait
        await chaos.fleet.relay.close()

    run(story(), 20.0)


def test_what_a_head_held_is_lost_once_with_two_folders(tmp_path):
    # Guards the judge: heads may charge without a request what it takes for lost a second time.
    async def story():
        chaos = await stand_in_chaos(tmp_path, "heal")
        for _ in range(2):  # cut off between: the account knows the first folder's allotments alone
            chaos.fleet["h4"].disk.mkdir(parents=True)
            await chaos.lose_folder(chaos.fleet["h4"], 0.0)
            await asyncio.gather(*chaos.restarts)
        assert chaos.lost == dict.fromkeys(VOLUMES, 7)
        await chaos.fleet.relay.close()

    run(story(), 20.0)


@pytest.mark.parametrize("fault", ["kill", "lose_folder"])
def test_credit_is_settled_after_faults_that_end_within_a_kill(tmp_path, monkeypatch, fault):
    # Guards the ledger's story on the real program: it waited for the credit of a head that nobody started.
    halfway, kill = asyncio.Event(), HeadProcess.kill

    async def kill_halfway(head: HeadProcess) -> None:
        kill_process(head.process)
        halfway.set()
        await asyncio.sleep(HALF_STEP)  # the faults end now
        await kill(head)

    async def is_served(head: HeadProcess) -> bool:
        return (await head.send_request("first", VOLUMES["acme"]))[0] == OK

    async def story():
        async with running_heads(
            tmp_path, seed=4, extra_settings=LEDGER_CHAOS_SETTINGS, http=rules("own")
        ) as fleet:
            chaos = LedgerChaos(fleet, 4, tmp_path / "history.jsonl")
            chaos.draws.uniform, chaos.faults_drawn = min, [fault]  # the shortest of all times
            await chaos.put_customers()
            assert await chaos.top_up(fleet["h0"], "acme", "first", 1000 * PRICE) == OK
            # each head has an allotment
            await asyncio.gather(*(fleet.until(lambda of=head: is_served(of), head.name) for head in fleet))
            monkeypatch.setattr(HeadProcess, "kill", kill_halfway)
            chaos.begin_faults()
            await halfway.wait()
            await chaos.end_faults()
            chaos.stopping = True
            await chaos.settle(time.time(), time.time())

    run(story(), 100.0)
