"""A customer's call answers only once no head serves its volume free, also after losses of voters.

Guards against requests served free of charge by heads that no voter knows of: a voter that was removed had
polled nobody, and what followers had polled a voter was lost as that voter was removed or killed.
"""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.agreement.contact import MAX_CLOCK_DRIFT
from tests.heads.processes import HeadProcess, ProcessFleet, running_heads
from tests.heads.test_credit_cut_off import OK, VOLUME, put_customer, request_statuses
from tests.peers import run

FOLLOWER = "h3"  # has no vote
CUT_OFF_AFTER = 3  # seconds
SETTINGS = f'credit: {{prices: {{"score-read": 1000}}, lease: "2s"}}\ncut_off_after: "{CUT_OFF_AFTER}s"\n'


async def other_voter(fleet: ProcessFleet) -> HeadProcess:
    """Return a voter that does not lead."""
    leader = await fleet.leader()
    return next(fleet[name] for name in fleet.voters if name != leader.name)


async def forget_old_polls() -> None:
    """Wait until no earlier poll counts at any voter."""
    await asyncio.sleep(CUT_OFF_AFTER * MAX_CLOCK_DRIFT)


async def only_polls(fleet: ProcessFleet, voter: HeadProcess) -> None:
    """Have the follower poll one voter alone, until the others have forgotten its polls."""
    for name in fleet.voters:
        if name != voter.name:
            fleet.relay.cut(FOLLOWER, name)
    await forget_old_polls()
    await fleet.until_all_connected()


async def remove_voter(fleet: ProcessFleet, voter: HeadProcess) -> None:
    leader = await fleet.leader()
    status, answer = await leader.call("DELETE", f"/control/heads/voters/{voter.name}")
    assert status == OK, answer


async def remove_a_voter(fleet: ProcessFleet) -> HeadProcess:
    voter = await other_voter(fleet)
    await forget_old_polls()
    await remove_voter(fleet, voter)
    return voter


async def remove_the_voter_of_a_follower(fleet: ProcessFleet) -> HeadProcess:
    voter = await other_voter(fleet)
    await only_polls(fleet, voter)
    fleet.relay.cut(FOLLOWER, voter.name)
    await remove_voter(fleet, voter)
    return fleet[FOLLOWER]


async def restart_the_voter_of_a_follower(fleet: ProcessFleet) -> HeadProcess:
    voter = await other_voter(fleet)
    await only_polls(fleet, voter)
    fleet.relay.cut(FOLLOWER, voter.name)
    await voter.kill()
    await voter.start()
    return fleet[FOLLOWER]


@pytest.mark.parametrize(
    "disturb", [remove_a_voter, remove_the_voter_of_a_follower, restart_the_voter_of_a_follower]
)
def test_no_head_serves_a_volume_free_once_the_call_that_makes_it_a_customers_has_answered(tmp_path, disturb):
    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=SETTINGS) as fleet:
            head = await disturb(fleet)
            await put_customer(await fleet.leader(), "acme", VOLUME)
            assert OK not in await request_statuses(head)

    run(story(), 60)
