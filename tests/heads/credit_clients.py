"""Clients and operators of prepaid credit, as stories on processes need them, and what they were answered."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from tests.heads.processes import HeadProcess, ProcessFleet
from tests.peers import Node

LIMIT = 150.0
PRICE = 1_000  # millionths for each unit of a score-read
CHARGE = 2 * PRICE
CREDIT_SETTINGS = (
    'credit: {prices: {"score-read": 1000, "event-write": 1000, "stats-export": 1000}, lease: "2s"}\n'
)
VOLUME, OTHER = "00000003b4d60021", "00000003b4d60022"
# On a crowded machine a round of the account takes longer than the 150 ms that a request waits by default,
# and leaders come and go. Where a request must be served it waits for the state: a refusal is the program's.
PATIENT = CREDIT_SETTINGS.replace('lease: "2s"', 'lease: "2s", wait: "5s"') + (
    'cut_off_after: "20s"\nagreement: election: "3s"\n'
)
# Milliseconds. A request waits for a quarter of its time at most, and its time is bounded by its class's
# deadline: heads of these stories need `class_deadline=PATIENCE`.
PATIENCE = 20_000


def holding_node() -> tuple[Node, asyncio.Event]:
    """A node that holds requests whose names begin with "held" while the event is not set."""
    node, gate = Node("a", 0), asyncio.Event()

    async def hold(request: web.BaseRequest) -> None:
        if request.headers["Req-Id"].startswith("held"):
            await gate.wait()

    node.gate = hold
    return node, gate


def requests_held(node: Node) -> int:
    """How many of these requests the node has got."""
    return sum(request.headers["Req-Id"].startswith("held") for request in node.requests)


@dataclass
class Counted:
    """What clients saw: served for sure, refused for sure, or no answer to go by."""

    served: int = 0
    refused: int = 0
    unknown: int = 0
    advice: list[str] = field(default_factory=list)

    async def ask(self, head: HeadProcess, name: str, volume: str = VOLUME, **how) -> int:
        status, headers = await head.send_request(name, volume, **how)
        if status == 200:
            self.served += 1
        elif status == 503:
            self.refused += 1
            self.advice.append(headers.get("Retry-After", ""))
        else:
            self.unknown += 1
        return status


async def put_customer(head: HeadProcess, name: str, *volumes: str, paid: int = 0, **more) -> None:
    call = {"volumes": list(volumes), "by": "test", "why": "story"} | more
    status, told = await head.call("PUT", f"/control/credit/customers/{name}", call)
    assert status == 200, told
    if paid:
        assert (await pay(head, name, paid, f"first-{name}"))[0] == 200


async def pay(head: HeadProcess, name: str, amount: int, id: str, kind: str = "top-up"):
    return await head.call(
        "POST",
        f"/control/credit/customers/{name}/entries",
        {"id": id, "amount": amount, "kind": kind, "by": "test", "why": "story"},
    )


async def account(fleet: ProcessFleet, name: str) -> dict:
    """The account, once some head can confirm it."""

    async def look():
        for head in fleet.up:
            status, told = await head.call("GET", f"/control/credit/customers/{name}")
            if status == 200:
                return told
        return None

    return await fleet.until(look, f"the account of {name}")


async def settled(fleet: ProcessFleet, name: str) -> dict:
    """The account once nothing of it is out."""

    async def look():
        told = await account(fleet, name)
        return told if not told["out"] else None

    return await fleet.until(look, f"all of {name} settled")
