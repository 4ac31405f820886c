"""Clients and operators of prepaid credit for tests with real processes, and counts of their responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from tests.heads.processes import HeadProcess, ProcessFleet
from tests.peers import Node

STORY_TIMEOUT = 150.0  # seconds
PRICE = 1_000  # millionths per unit of a score-read
CHARGE = 2 * PRICE  # millionths per request; a request has 2 units
CREDIT_SETTINGS = (
    'credit: {prices: {"score-read": 1000, "event-write": 1000, "stats-export": 1000}, lease: "2s"}\n'
)
VOLUME = "00000003b4d60021"
OTHER_VOLUME = "00000003b4d60022"
# On a loaded machine an exchange with the account takes longer than the 150 ms that a request waits by
# default, and leaders change. Tests in which a request must be served use these longer limits, so that a
# refusal can only be the program's fault.
LONG_WAIT_SETTINGS = CREDIT_SETTINGS.replace('lease: "2s"', 'lease: "2s", wait: "5s"') + (
    'cut_off_after: "20s"\nagreement: election: "3s"\n'
)
# A request waits at most a quarter of its deadline, which is capped by its class's deadline: the heads of
# these tests need `class_deadline=LONG_DEADLINE_MS`.
LONG_DEADLINE_MS = 20_000


def holding_node() -> tuple[Node, asyncio.Event]:
    """Return a node that holds requests whose names begin with "held" until the returned event is set."""
    node = Node("a", 0)
    gate = asyncio.Event()

    async def hold(request: web.BaseRequest) -> None:
        if request.headers["Req-Id"].startswith("held"):
            await gate.wait()

    node.gate = hold
    return node, gate


def held_request_count(node: Node, name: str = "held") -> int:
    """Return how many of these requests, or of those with another name, the node has received."""
    return sum(request.headers["Req-Id"].startswith(name) for request in node.requests)


@dataclass
class ResponseCounts:
    """Responses that clients received: served, refused, or unknown where no final answer came."""

    served: int = 0
    refused: int = 0
    unknown: int = 0
    retry_after: list[str] = field(default_factory=list)

    async def request(self, head: HeadProcess, name: str, volume: str = VOLUME, **options) -> int:
        status, headers = await head.send_request(name, volume, **options)
        if status == 200:
            self.served += 1
        elif status == 503:
            self.refused += 1
            self.retry_after.append(headers.get("Retry-After", ""))
        else:
            self.unknown += 1
        return status


async def put_customer(head: HeadProcess, name: str, *volumes: str, paid: int = 0, **more) -> None:
    """Create or replace a customer, with a first top-up if `paid` is given."""
    body = {"volumes": list(volumes), "by": "test", "why": "story"} | more
    status, answer = await head.call("PUT", f"/control/credit/customers/{name}", body)
    assert status == 200, answer
    if paid:
        assert (await pay(head, name, paid, f"first-{name}"))[0] == 200


async def pay(head: HeadProcess, name: str, amount: int, id: str, kind: str = "top-up"):
    """Book an entry of a customer; return the status and the answer."""
    return await head.call(
        "POST",
        f"/control/credit/customers/{name}/entries",
        {"id": id, "amount": amount, "kind": kind, "by": "test", "why": "story"},
    )


async def confirmed_account(fleet: ProcessFleet, name: str) -> dict:
    """Return the account once some head can confirm it."""

    async def look():
        for head in fleet.up:
            status, answer = await head.call("GET", f"/control/credit/customers/{name}")
            if status == 200:
                return answer
        return None

    return await fleet.until(look, f"the account of {name}")


async def settled_account(fleet: ProcessFleet, name: str) -> dict:
    """Return the account once it has no outstanding allotments."""

    async def look():
        answer = await confirmed_account(fleet, name)
        return answer if not answer["out"] else None

    return await fleet.until(look, f"all of {name} settled")
