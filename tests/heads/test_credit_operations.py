"""Credit on head processes in operation: moved customers, clock jumps, low accounts, invalid calls."""

from __future__ import annotations

import asyncio

from tests.heads.credit_clients import (
    CHARGE,
    CREDIT_SETTINGS,
    LONG_DEADLINE_MS,
    LONG_WAIT_SETTINGS,
    STORY_TIMEOUT,
    VOLUME,
    ResponseCounts,
    holding_node,
    pay,
    put_customer,
    settled_account,
)
from tests.heads.processes import ProcessFleet, running_heads
from tests.peers import run


def test_customers_are_moved_and_dropped_with_requests_out(tmp_path):
    async def story():
        node, gate = holding_node()
        async with running_heads(
            tmp_path,
            count=3,
            seed=6,
            extra_settings=LONG_WAIT_SETTINGS,
            class_deadline=LONG_DEADLINE_MS,
            nodes=(node,),
        ) as fleet:
            await put_customer(fleet["h0"], "acme", VOLUME, paid=20 * CHARGE)
            await put_customer(fleet["h0"], "next", paid=20 * CHARGE)
            await fleet.until_all_applied()
            counted = ResponseCounts()
            held = [
                asyncio.create_task(
                    counted.request(fleet["h1"], f"held{i}", deadline=6000, kind="stats-export")
                )
                for i in range(2)
            ]
            await fleet.until(lambda: len(node.requests) == 2, "two are held")
            await put_customer(fleet["h2"], "next", VOLUME)  # the volume moves
            await fleet.until_all_applied()
            assert await counted.request(fleet["h1"], "after", deadline=LONG_DEADLINE_MS) == 200
            gate.set()
            await asyncio.gather(*held)
            answer = await settled_account(fleet, "acme")
            assert answer["charged"] == 2 * CHARGE and answer["volumes"] == []
            assert (await settled_account(fleet, "next"))["charged"] == CHARGE
            gate.clear()
            held = [
                asyncio.create_task(counted.request(fleet["h1"], "held9", deadline=6000, kind="stats-export"))
            ]
            await fleet.until(lambda: len(node.requests) == 4, "one is held")
            assert (
                await fleet["h0"].call(
                    "DELETE", "/control/credit/customers/next", {"by": "test", "why": "gone"}
                )
            )[0] == 200
            gate.set()
            await asyncio.gather(*held)

            async def gone() -> bool:
                return (await fleet["h0"].call("GET", "/control/credit/customers/next"))[0] == 404

            await fleet.until(gone, "the customer is deleted once its last charge is settled")
            await fleet.until_all_applied()
            assert (
                await counted.request(fleet["h1"], "free", deadline=LONG_DEADLINE_MS) == 200
            )  # the volume has no customer now

    run(story(), STORY_TIMEOUT)


CLOCK_JUMP = """
import time
_ns, _time = time.time_ns, time.time
time.time_ns = lambda: _ns() + {jump} * 10**9
time.time = lambda: _time() + {jump}
"""


def test_clocks_that_jump_change_nothing(tmp_path):
    """Heads restart with clocks a year behind and ahead: both take part, and leases hold."""

    async def story():
        async with running_heads(
            tmp_path, count=3, seed=7, extra_settings=LONG_WAIT_SETTINGS, class_deadline=LONG_DEADLINE_MS
        ) as fleet:
            await put_customer(fleet["h0"], "acme", VOLUME, paid=100 * CHARGE)
            await fleet.until_all_applied()
            counted = ResponseCounts()
            for name, jump in (("h1", -31_000_000), ("h2", 31_000_000), ("h2", 0)):
                head = fleet[name]
                await head.kill()
                (head.folder / "sitecustomize.py").write_text(CLOCK_JUMP.format(jump=jump))
                await head.start()
                await fleet.until_all_connected()
                for n in range(3):
                    assert await counted.request(head, f"{name}{jump}{n}", deadline=LONG_DEADLINE_MS) == 200
            await until_all_seen_alive(fleet)
            answer = await settled_account(fleet, "acme")
            assert answer["charged"] == counted.served * CHARGE == 9 * CHARGE

    run(story(), STORY_TIMEOUT)


async def until_all_seen_alive(fleet: ProcessFleet) -> None:
    async def look() -> bool:
        return all([set((await h.status())["seen"].values()) == {"alive"} for h in fleet.up])

    await fleet.until(look, "all see all alive")


def test_what_is_low_is_narrowed_and_a_stop_gives_back_what_was_not_spent(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=3, seed=8, extra_settings=CREDIT_SETTINGS) as fleet:
            await put_customer(fleet["h0"], "acme", VOLUME, paid=1000 * CHARGE, low_water=2000 * CHARGE)
            await fleet.until_all_applied()
            counts = {kind: ResponseCounts() for kind in ("stats-export", "score-read")}
            for n in range(30):
                for kind, counted in counts.items():
                    await counted.request(fleet["h1"], f"{kind}{n}", kind=kind)
            # at half of the low-water mark exports are held back and reads pass
            assert counts["score-read"].refused == 0
            assert counts["stats-export"].served <= 2
            assert await fleet["h1"].stop() == 0
            answer = await settled_account(fleet, "acme")
            assert answer["charged"] == sum(c.served for c in counts.values()) * CHARGE
            assert not fleet["h1"].events("credit.unsettled")

    run(story(), STORY_TIMEOUT)


def test_calls_that_are_wrong_say_what_would_be_right(tmp_path):
    async def story():
        async with running_heads(tmp_path, count=3, seed=9, extra_settings=CREDIT_SETTINGS) as fleet:
            head = fleet["h0"]
            for call, words in (
                ({"volumes": [], "by": "x"}, "why"),
                ({"by": "x", "why": "y", "paid": 3}, "paid"),
                ({"by": "x", "why": "y", "unsettled": "z"}, "spent, unspent"),
                ({"by": "x", "why": "y", "overdraft": "much"}, "overdraft"),
            ):
                status, answer = await head.call("PUT", "/control/credit/customers/acme", call)
                assert status == 400 and words in answer["error"]
            status, answer = await pay(head, "nobody", 5, "1")
            assert status == 409 and "no customer" in answer["error"]
            assert (await head.call("GET", "/control/credit/customers/nobody"))[0] == 404
            assert (await head.call("GET", "/control/credit/none"))[0] == 404
            await put_customer(head, "acme", VOLUME)
            status, answer = await pay(head, "acme", -5, "1")
            assert status == 409 and "more than 0" in answer["error"]
            assert (await pay(head, "acme", 5, "2", "gift"))[0] == 400

    run(story(), STORY_TIMEOUT)
