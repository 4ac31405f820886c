"""Heads whose settings differ replicate the same state.

Guards against accounts that some heads lack: credit was turned on at one head after the other, and a head
without it applied nothing, answered its commands with nothing, and left the accounts out of its snapshots.
"""

from __future__ import annotations

import json

from stoatrouter.peering.replication import COMPACT_ENTRIES
from tests.heads.processes import HeadProcess, ProcessFleet, running_heads
from tests.heads.test_credit_cut_off import OK, SETTINGS, VOLUME, put_customer
from tests.peers import run

TOP_UPS = COMPACT_ENTRIES + 50  # so that the voters take a snapshot while they have credit off


async def restart_with_credit(fleet: ProcessFleet, head: HeadProcess) -> None:
    fleet.extra_settings = SETTINGS
    await head.kill()
    await head.start()


async def paid(head: HeadProcess) -> int:
    """Return what one customer has paid, by the copy of this head."""
    status, account = await head.call("GET", "/control/credit/customers/acme")
    assert status == OK, (head.name, status, account)
    return int(account["paid"])


async def top_up_many(head: HeadProcess) -> None:
    for number in range(TOP_UPS):
        entry = {"id": f"t{number}", "amount": 1, "by": "ann", "why": "paid"}
        status, answer = await head.call("POST", "/control/credit/customers/acme/entries", entry)
        assert status == OK, json.dumps(answer)


def test_accounts_made_while_credit_is_turned_on_head_by_head_are_the_same_everywhere(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=4) as fleet:
            first = fleet["h3"]
            await restart_with_credit(fleet, first)
            await put_customer(first, "acme", VOLUME)
            await top_up_many(first)
            for name in fleet.voters:
                await restart_with_credit(fleet, fleet[name])
            await fleet.until_all_connected()
            assert [await paid(head) for head in fleet] == [TOP_UPS] * 4

    run(story(), 120)
