"""Stopping the faults while one is half done, and the error for a head that is down after the faults."""

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

STEP_SECONDS = 0.02  # that a stand-in takes to end or to start


class StandInHead(HeadProcess):
    """A head without a process, whose end and start take some time; it never creates its data folder."""

    halfway: asyncio.Event

    async def start(self, ready: bool = True) -> None:
        await asyncio.sleep(STEP_SECONDS)
        self.process = SimpleNamespace(returncode=None)

    async def kill(self) -> None:
        self.process.returncode = -9  # the process ends whether or not somebody awaits it
        self.halfway.set()
        await asyncio.sleep(STEP_SECONDS)

    def signal(self, signal_number: signal.Signals) -> None:
        self.paused = signal_number is signal.SIGSTOP
        self.halfway.set()

    async def call(self, method: str, path: str, *more: Any) -> tuple[int, Any]:
        if path == "/control/heads":
            return OK, {"leader": "h0"}
        out = {f"of {path}": {"head": "h4", "amount": 10, "spent": 3}}
        return OK, {"out": out}


async def stand_in_chaos(folder, fault: str) -> LedgerChaos:
    """Return faults of one kind on five running stand-ins."""
    fleet = ProcessFleet(folder, 5, 3, 1, "", "", {})
    await fleet.relay.start()
    fleet.heads = {name: StandInHead(fleet, name) for name in fleet.names}
    StandInHead.halfway = asyncio.Event()
    for head in fleet:
        await head.start()
    chaos = LedgerChaos(fleet, 1, folder / "history.jsonl")
    # the shortest of all times
    chaos.draws.uniform = min
    chaos.fault_kinds = [fault]
    return chaos


@pytest.mark.parametrize("fault", ["kill", "kill_leader", "lose_folder", "start_cut_off", "pause"])
def test_faults_that_end_while_one_is_halfway_leave_all_heads_up(tmp_path, fault):
    # Guards against a head that stays down: its credit is never settled, and the run waits for it in vain.
    async def story():
        chaos = await stand_in_chaos(tmp_path, fault)
        chaos.start_faults()
        await StandInHead.halfway.wait()
        await chaos.stop_faults()
        assert [head.name for head in chaos.fleet.up] == chaos.fleet.names
        await chaos.fleet.relay.close()

    run(story(), 20.0)


def test_a_head_that_is_not_up_after_the_faults_is_the_error_by_name(tmp_path):
    # Guards the report: otherwise the awaited state times out, and its name does not mention the head.
    async def story():
        chaos = await stand_in_chaos(tmp_path, "heal")
        chaos.start_faults()
        await chaos.stop_faults()
        chaos.fleet["h2"].process.returncode = 1
        for wait in (chaos.fleet.until(lambda: False, "what never comes"), chaos.stop_faults()):
            with pytest.raises(HeadsDownError, match=r"not up: h2 \(1\)"):
                await wait
        await chaos.fleet.relay.close()

    run(story(), 20.0)


def test_what_a_head_held_is_lost_once_with_two_folders(tmp_path):
    # Guards the judge against counting the same allotments as lost twice, which would excuse wrong charges.
    async def story():
        chaos = await stand_in_chaos(tmp_path, "heal")
        for _ in range(2):  # cut off in between: the account knows only the first folder's allotments
            chaos.fleet["h4"].disk.mkdir(parents=True)
            await chaos.lose_folder(chaos.fleet["h4"], 0.0)
            await asyncio.gather(*chaos.restarts)
        assert chaos.lost == dict.fromkeys(VOLUMES, 7)
        await chaos.fleet.relay.close()

    run(story(), 20.0)


@pytest.mark.parametrize("fault", ["kill", "lose_folder"])
def test_credit_is_settled_after_faults_that_end_within_a_kill(tmp_path, monkeypatch, fault):
    # Guards a run of the real program that waited for the credit of a head that was never restarted.
    halfway = asyncio.Event()
    kill = HeadProcess.kill

    async def kill_halfway(head: HeadProcess) -> None:
        kill_process(head.process)
        halfway.set()
        await asyncio.sleep(STEP_SECONDS)  # the faults end now
        await kill(head)

    async def is_served(head: HeadProcess) -> bool:
        return (await head.send_request("first", VOLUMES["acme"]))[0] == OK

    async def story():
        async with running_heads(
            tmp_path, seed=4, extra_settings=LEDGER_CHAOS_SETTINGS, http=rules("own")
        ) as fleet:
            chaos = LedgerChaos(fleet, 4, tmp_path / "history.jsonl")
            # the shortest of all times
            chaos.draws.uniform = min
            chaos.fault_kinds = [fault]
            await chaos.put_customers()
            assert await chaos.top_up(fleet["h0"], "acme", "first", 1000 * PRICE) == OK
            # each head has an allotment
            await asyncio.gather(*(fleet.until(lambda of=head: is_served(of), head.name) for head in fleet))
            monkeypatch.setattr(HeadProcess, "kill", kill_halfway)
            chaos.start_faults()
            await halfway.wait()
            await chaos.stop_faults()
            chaos.stopping = True
            await chaos.settle(time.time(), time.time())

    run(story(), 100.0)
