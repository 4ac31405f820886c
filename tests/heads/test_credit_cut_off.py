"""A head that cannot know whether a volume belongs to a customer serves no priced request for it.

Guards against requests served free of charge. A head restarted while it was cut off, or cut off when a
customer was created, had no ledger or an old one. It took a volume without a customer in its ledger for a
free one: more was served than had been paid in, and nobody was charged. The judge of the histories of seeds 1
and 2 counted 491,000 and 27,000 millionths, exactly what such heads had served between `start: X listens` and
`in touch` in their logs. A head paused for long did the same when it resumed.

The cause was a gate that treated "no customer known" as "no customer". It now checks first how current its
ledger is (`credit/ledger_freshness.py`); the log events `credit.ledger_gap_began` and `credit.ledger_current`
give the begin and end of such a gap and the number of requests concerned.
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
SETTINGS = f'credit: {{prices: {{{PRICES}}}, lease: "2s"}}\nwait_at_start: "1s"\ncut_off_after: "2s"\n'
VOLUME = "00000003b4d60021"
OTHER_VOLUME = "00000003b4d60022"
OK = 200
UNAVAILABLE = 503
NO_ANSWER = 0
ATTEMPTS = 20


async def put_customer(head: HeadProcess, name: str, *volumes: str) -> None:
    customer = {"volumes": list(volumes), "by": "ann", "why": "contract"}
    status, answer = await head.call("PUT", f"/control/credit/customers/{name}", customer)
    assert status == OK, answer


async def top_up(head: HeadProcess, customer: str, amount: int) -> None:
    entry = {"id": f"t-{customer}", "amount": amount, "by": "ann", "why": "paid"}
    status, answer = await head.call("POST", f"/control/credit/customers/{customer}/entries", entry)
    assert status == OK, answer


async def request_statuses(
    head: HeadProcess, volume: str = VOLUME, label: str = "r", **options: Any
) -> list[int]:
    """Send a few requests, one after the other, and return their statuses."""
    return [(await head.send_request(f"{label}-{n}", volume, **options))[0] for n in range(ATTEMPTS)]


async def cut_off(fleet: ProcessFleet, name: str) -> None:
    """Cut one head off from all others."""
    fleet.relay.split([name], [other for other in fleet.names if other != name])


async def until_state(fleet: ProcessFleet, head: HeadProcess, state: str) -> None:
    async def look() -> bool:
        return (await head.status()).get("state") == state

    await fleet.until(look, f"{head.name} is {state}")


async def settled_account(fleet: ProcessFleet, head: HeadProcess, name: str) -> dict[str, Any]:
    """Return a customer's account once it has no outstanding allotments."""

    async def look() -> dict[str, Any] | None:
        status, account = await head.call("GET", f"/control/credit/customers/{name}")
        return account if status == OK and not account["out"] else None

    return await fleet.until(look, f"{name} is settled")


@pytest.mark.parametrize("name", ["h2", "h3"], ids=["voter", "follower"])
@pytest.mark.parametrize("folder_lost", [False, True], ids=["with its disk", "folder lost"])
def test_a_head_started_while_cut_off_serves_no_customer_free_of_charge(tmp_path, name, folder_lost):
    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=SETTINGS) as fleet:
            head = fleet[name]
            await put_customer(fleet["h0"], "acme", VOLUME)
            await fleet.until_all_applied()
            assert await request_statuses(head) == [UNAVAILABLE] * ATTEMPTS
            await head.kill()
            await cut_off(fleet, name)
            if folder_lost:
                shutil.rmtree(head.disk)
            await head.start()
            assert await request_statuses(head, label="cut") == [UNAVAILABLE] * ATTEMPTS
            # requests without a price are served as before
            assert await request_statuses(head, kind="stats-export", label="free") == [OK] * ATTEMPTS
            fleet.relay.heal()
            await fleet.until_all_connected()
            assert await request_statuses(head, label="healed") == [UNAVAILABLE] * ATTEMPTS

    run(story(), 120.0)


def test_a_volume_that_got_a_customer_behind_a_cut_is_not_served_there(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=3, extra_settings=SETTINGS) as fleet:
            head = fleet["h2"]
            assert await request_statuses(head) == [OK] * ATTEMPTS  # it has no customer
            await cut_off(fleet, "h2")
            await until_state(fleet, head, "cut off")
            await put_customer(fleet["h0"], "acme", VOLUME)
            assert await request_statuses(head, label="cut") == [UNAVAILABLE] * ATTEMPTS
            fleet.relay.heal()
            await fleet.until_all_connected()
            await fleet.until_all_applied()
            assert await request_statuses(head, label="healed") == [UNAVAILABLE] * ATTEMPTS

    run(story(), 120.0)


def test_a_paused_head_asks_how_old_its_ledger_is_before_it_serves(tmp_path):
    """The head must not serve by what it knew of its ledger before the pause."""

    async def story():
        async with running_heads(tmp_path, count=3, extra_settings=SETTINGS) as fleet:
            head = fleet["h2"]
            assert await request_statuses(head) == [OK] * ATTEMPTS
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
    """Its allotments are neither lost nor spent twice: spent credit is charged, the rest is returned."""

    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=SETTINGS) as fleet:
            head = fleet["h3"]
            await put_customer(fleet["h0"], "acme", VOLUME)
            await top_up(fleet["h0"], "acme", 1_000_000)

            async def served() -> bool:
                return (await head.send_request("first", VOLUME, units=1))[0] == OK

            await fleet.until(served, "the customer is served")
            spent = 1_000 * (1 + (await request_statuses(head, units=1)).count(OK))
            await head.kill()
            await cut_off(fleet, "h3")
            await head.start()
            status, ledger = await head.call("GET", "/control/credit/ledger")
            assert status == OK and ledger["state"] == "restored" and ledger["index"] > 1, ledger
            assert await request_statuses(head, label="cut", units=1) == [UNAVAILABLE] * ATTEMPTS
            fleet.relay.heal()
            await fleet.until_all_connected()
            account = await settled_account(fleet, fleet["h0"], "acme")
            assert account["charged"] == spent and account["balance"] == 1_000_000 - spent, account

    run(story(), 120.0)


def test_an_operator_may_serve_unknown_volumes_and_the_log_counts_what_it_costs(tmp_path):
    settings = SETTINGS.replace('lease: "2s"', 'lease: "2s", unknown_volumes: "serve"')

    async def story():
        async with running_heads(tmp_path, count=3, extra_settings=settings) as fleet:
            head = fleet["h2"]
            await put_customer(fleet["h0"], "acme", VOLUME)
            await fleet.until_all_applied()
            await head.kill()
            earlier = len(
                head.events("credit.ledger_current")
            )  # it may not have logged that of its first start
            await cut_off(fleet, "h2")
            await head.start()
            # by the restored ledger it belongs to acme
            assert await request_statuses(head) == [UNAVAILABLE] * ATTEMPTS
            assert await request_statuses(head, OTHER_VOLUME, label="other") == [OK] * ATTEMPTS
            status, ledger = await head.call("GET", "/control/credit/ledger")
            assert status == OK and ledger["served_without"] == ATTEMPTS, ledger
            fleet.relay.heal()
            await fleet.until_all_connected()
            gaps = await fleet.until(
                lambda: head.events("credit.ledger_current")[earlier:], "the log counts them"
            )
            assert gaps[0]["served"] == ATTEMPTS and gaps[0]["rejected"] == 0, gaps

    run(story(), 120.0)


# Guards against a call that answered as soon as the customer was committed: for `cut_off_after` from then on,
# a head that had been cut off a moment before served the volume free of charge.
@pytest.mark.parametrize("name", ["h2", "h3"], ids=["voter", "follower"])
def test_once_a_call_has_made_a_customer_no_head_serves_its_volume_free(tmp_path, name):
    async def story():
        async with running_heads(tmp_path, count=4, extra_settings=SETTINGS) as fleet:
            await fleet.until_all_connected()
            assert (await fleet[name].send_request("free", VOLUME))[0] == OK  # no customer yet
            await cut_off(fleet, name)
            customer_call = asyncio.create_task(put_customer(fleet["h0"], "acme", VOLUME))
            before = [(await fleet[name].send_request(f"before-{n}", VOLUME))[0] for n in range(3)]
            assert OK in before, "the head has not noticed yet that it is cut off"
            await customer_call
            assert set(await request_statuses(fleet[name])) == {UNAVAILABLE}
            fleet.relay.heal()
            await fleet.until_all_connected()
            # all heads are connected, so the call waits until each has applied it
            await put_customer(fleet["h1"], "other", OTHER_VOLUME)
            statuses = [(await head.send_request(f"{head.name}-now", OTHER_VOLUME))[0] for head in fleet]
            assert set(statuses) == {UNAVAILABLE}

    run(story(), 120.0)
