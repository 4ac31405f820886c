"""A head that cannot know whether a volume belongs to a customer serves nothing of it that has a price.

What happened: a head that was started again while it was cut off, or that had been cut off when a customer
was made, held no ledger or an old one. A volume without a customer there counted as nobody's, and was served
free of charge: more was served than had been paid in, and nobody was charged. The judge of the histories of
seeds 1 and 2 counted 491,000 and 27,000 millionths, to the unit what such heads had served between
`start: X listens` and `in touch` in their logs. A head that was paused for long did the same when it went on.

Why: the gate took "no customer known" for "no customer". It now asks first what the head knows of the ledger
(`credit/ledger_freshness.py`); in a head's log `credit.ledger_gap_began` and `credit.ledger_current` say from
when to when it did not know, and how many requests that concerned.
"""

from __future__ import annotations

import asyncio
import shutil
import signal
from typing import Any

import pytest

from tests.heads.processes import HeadProcess, ProcessFleet, running_heads
from tests.peers import run

PRICES = '"score-read": 1000, "event-write": 1000'
MORE = f'credit: {{prices: {{{PRICES}}}, lease: "2s"}}\nwait_at_start: "1s"\ncut_off_after: "2s"\n'
VOLUME = "00000003b4d60021"
OTHER_VOLUME = "00000003b4d60022"
OK, UNAVAILABLE, NO_ANSWER = 200, 503, 0
ATTEMPTS = 20


async def put_customer(head: HeadProcess, name: str, *volumes: str) -> None:
    customer = {"volumes": list(volumes), "by": "ann", "why": "contract"}
    status, answer = await head.call("PUT", f"/control/credit/customers/{name}", customer)
    assert status == OK, answer


async def top_up(head: HeadProcess, customer: str, amount: int) -> None:
    entry = {"id": f"t-{customer}", "amount": amount, "by": "ann", "why": "paid"}
    status, answer = await head.call("POST", f"/control/credit/customers/{customer}/entries", entry)
    assert status == OK, answer


async def answers(head: HeadProcess, volume: str = VOLUME, label: str = "r", **more: Any) -> list[int]:
    """The statuses of a few requests, one after the other."""
    return [(await head.send_request(f"{label}-{n}", volume, **more))[0] for n in range(ATTEMPTS)]


async def cut_off(fleet: ProcessFleet, name: str) -> None:
    """Cut one head off from all others."""
    fleet.relay.split([name], [other for other in fleet.names if other != name])


async def until_it_says(fleet: ProcessFleet, head: HeadProcess, state: str) -> None:
    async def look() -> bool:
        return (await head.status()).get("state") == state

    await fleet.until(look, f"{head.name} is {state}")


async def account(fleet: ProcessFleet, head: HeadProcess, name: str) -> dict[str, Any]:
    """A customer's account, once nothing of it is out."""

    async def look() -> dict[str, Any] | None:
        status, found = await head.call("GET", f"/control/credit/customers/{name}")
        return found if status == OK and not found["out"] else None

    return await fleet.until(look, f"{name} is settled")


@pytest.mark.parametrize("name", ["h2", "h3"], ids=["voter", "follower"])
@pytest.mark.parametrize("folder_lost", [False, True], ids=["with its disk", "folder lost"])
def test_a_head_started_while_cut_off_serves_no_customer_free_of_charge(tmp_path, name, folder_lost):
    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=MORE) as fleet:
            head = fleet[name]
            await put_customer(fleet["h0"], "acme", VOLUME)
            await fleet.until_all_applied()
            assert await answers(head) == [UNAVAILABLE] * ATTEMPTS
            await head.kill()
            await cut_off(fleet, name)
            if folder_lost:
                shutil.rmtree(head.disk)
            await head.start()
            assert await answers(head, label="cut") == [UNAVAILABLE] * ATTEMPTS
            # what has no price is served as ever
            assert await answers(head, kind="stats-export", label="free") == [OK] * ATTEMPTS
            fleet.relay.heal()
            await fleet.until_all_connected()
            assert await answers(head, label="healed") == [UNAVAILABLE] * ATTEMPTS

    run(story(), 120.0)


def test_a_volume_that_got_a_customer_behind_a_cut_is_not_served_there(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=3, extra_settings=MORE) as fleet:
            head = fleet["h2"]
            assert await answers(head) == [OK] * ATTEMPTS  # nobody's
            await cut_off(fleet, "h2")
            await until_it_says(fleet, head, "cut off")
            await put_customer(fleet["h0"], "acme", VOLUME)
            assert await answers(head, label="cut") == [UNAVAILABLE] * ATTEMPTS
            fleet.relay.heal()
            await fleet.until_all_connected()
            await fleet.until_all_applied()
            assert await answers(head, label="healed") == [UNAVAILABLE] * ATTEMPTS

    run(story(), 120.0)


def test_a_paused_head_asks_how_old_its_ledger_is_before_it_serves(tmp_path):
    """Nothing may be served by what the head believed of itself before its pause."""

    async def story():
        async with running_heads(tmp_path, count=3, extra_settings=MORE) as fleet:
            head = fleet["h2"]
            assert await answers(head) == [OK] * ATTEMPTS
            await cut_off(fleet, "h2")
            head.signal(signal.SIGSTOP)
            await put_customer(fleet["h0"], "acme", VOLUME)
            requests = [
                asyncio.create_task(head.send_request(f"paused-{n}", VOLUME, deadline=8000))
                for n in range(ATTEMPTS)
            ]
            await asyncio.sleep(4)  # longer than cut_off_after
            head.signal(signal.SIGCONT)
            statuses = [(await request)[0] for request in requests]
            assert OK not in statuses, statuses

    run(story(), 120.0)


def test_a_head_that_comes_back_cut_off_rejects_known_customers_and_settles_to_the_unit(tmp_path):
    """Its allotments are neither lost nor spent twice: what it had spent is charged, the rest goes back."""

    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=MORE) as fleet:
            head = fleet["h3"]
            await put_customer(fleet["h0"], "acme", VOLUME)
            await top_up(fleet["h0"], "acme", 1_000_000)

            async def served() -> bool:
                return (await head.send_request("first", VOLUME, units=1))[0] == OK

            await fleet.until(served, "the customer is served")
            spent = 1_000 * (1 + (await answers(head, units=1)).count(OK))
            await head.kill()
            await cut_off(fleet, "h3")
            await head.start()
            status, ledger = await head.call("GET", "/control/credit/ledger")
            assert status == OK and ledger["state"] == "restored" and ledger["index"] > 1, ledger
            assert await answers(head, label="cut", units=1) == [UNAVAILABLE] * ATTEMPTS
            fleet.relay.heal()
            await fleet.until_all_connected()
            found = await account(fleet, fleet["h0"], "acme")
            assert found["charged"] == spent and found["balance"] == 1_000_000 - spent, found

    run(story(), 120.0)


def test_an_operator_may_serve_unknown_volumes_and_the_log_counts_what_it_costs(tmp_path):
    more = MORE.replace('lease: "2s"', 'lease: "2s", unknown_volumes: "serve"')

    async def story():
        async with running_heads(tmp_path, count=3, extra_settings=more) as fleet:
            head = fleet["h2"]
            await put_customer(fleet["h0"], "acme", VOLUME)
            await fleet.until_all_applied()
            await head.kill()
            await cut_off(fleet, "h2")
            await head.start()
            assert await answers(head) == [UNAVAILABLE] * ATTEMPTS  # restored: it is acme's
            assert await answers(head, OTHER_VOLUME, label="other") == [OK] * ATTEMPTS
            status, ledger = await head.call("GET", "/control/credit/ledger")
            assert status == OK and ledger["served_without"] == ATTEMPTS, ledger
            fleet.relay.heal()
            await fleet.until_all_connected()
            # the first start had a gap too
            gaps = await fleet.until(lambda: head.events("credit.ledger_current")[1:], "the log counts them")
            assert gaps[0]["served"] == ATTEMPTS and gaps[0]["rejected"] == 0, gaps

    run(story(), 120.0)


# What happened: a call that made a customer answered as soon as it was committed; for `cut_off_after` from
# then on a head that had been cut off a moment before served the volume free of charge.
@pytest.mark.parametrize("name", ["h2", "h3"], ids=["voter", "follower"])
def test_once_a_call_has_made_a_customer_no_head_serves_its_volume_free(tmp_path, name):
    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=MORE) as fleet:
            await fleet.until_all_connected()
            assert (await fleet[name].send_request("free", VOLUME))[0] == OK  # nobody's yet
            await cut_off(fleet, name)
            asking = asyncio.create_task(put_customer(fleet["h0"], "acme", VOLUME))
            before = [(await fleet[name].send_request(f"before-{n}", VOLUME))[0] for n in range(3)]
            assert OK in before, "it has not noticed yet that it is cut off"
            await asking
            assert set(await answers(fleet[name])) == {UNAVAILABLE}
            fleet.relay.heal()
            await fleet.until_all_connected()
            # all in touch: the call waits for each of them to apply it
            await put_customer(fleet["h1"], "other", OTHER_VOLUME)
            statuses = [(await head.send_request(f"{head.name}-now", OTHER_VOLUME))[0] for head in fleet]
            assert set(statuses) == {UNAVAILABLE}

    run(story(), 120.0)
