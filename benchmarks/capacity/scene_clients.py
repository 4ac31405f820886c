"""Clients of a scene: editors, payers and readers, whose calls and answers are written to a history.

Afterwards stoatrouter/lab/histories checks the history against the logs of all heads, real and hollow. What
heads report about their own state is not used for the check.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from benchmarks.capacity.capacity_fleet import CapacityFleet
from benchmarks.capacity.spans import ScenePart
from stoatrouter.credit.records import charge_of
from stoatrouter.lab.histories.checker import check_history
from stoatrouter.lab.histories.history import History, read_history
from stoatrouter.lab.hollow.logs import read_events
from tests.heads.history_clients import VOLUMES, HistoryClients
from tests.heads.processes import HeadProcess
from tests.story_tasks import set_within

PRICE = 1_000  # of one unit of the first class, as in the fleet's settings (capacity_fleet.py)
INITIAL_FUNDS = 2_000_000_000  # paid in at the start, so that no account runs empty
READ_INTERVAL = 4.0  # mean, seconds
PAY_INTERVAL = 4.0  # mean, seconds
CALLS_TIMEOUT = 30.0  # seconds; open calls that take longer fail the run
SETTLE_TIMEOUT = 90.0  # seconds for accounts to settle and versions to spread


class SceneClients(HistoryClients):
    """All clients of one run; the intervals between their calls are drawn from the seed."""

    def __init__(self, fleet: CapacityFleet, seed: int, file: Path, edit_every: float) -> None:
        super().__init__(fleet.real, seed, file)
        self.capacity = fleet
        self.edit_every = edit_every
        self.editors: dict[str, list[str]] = {
            "ann": [],
            "bob": [],
        }  # heads that each editor calls; empty: any head
        self.tasks: list[asyncio.Task[None]] = []
        self.stop_event = asyncio.Event()
        self.accepted = 0  # number of accepted edits
        self.lost: Counter[str] = Counter()  # credit that permanently lost machines held, by customer
        self.logs_of_lost_heads: dict[str, Path] = {}  # by head, of those that are lost for good
        self.scene_parts: list[ScenePart] = []

    def write(self, what: str, at: float, **more: Any) -> None:
        """Write a line of the history."""
        if what == "register" and more["answer"] is not None and more["answer"][0] == "ok":
            self.accepted += 1
        if what == "settled":
            more["lost"] = self.lost[more["customer"]]
        super().write(what, at, **more)

    def mark_interrupted(self, names: Iterable[str]) -> None:
        """Record that heads go down in the current scene, so that they do not count as its witnesses."""
        if self.scene_parts:
            self.scene_parts[-1].interrupted.update(names)

    def at(self, names: list[str]) -> HeadProcess | None:
        """Return a random running real head, one of those named if any are."""
        up = [head for head in self.fleet.up if not names or head.name in names]
        return self.draws.choice(up) if up else None

    async def start(self, spend: float) -> None:
        """Create the customers and start all clients."""
        head = self.fleet.up[0]
        for name, volume in VOLUMES.items():
            path = f"/control/credit/customers/{name}"
            body = {"volumes": [volume], "by": "scenes", "why": "run"}
            status, answer = await head.call("PUT", path, body)
            assert status == 200, answer
            await self.pay(head, name, INITIAL_FUNDS)
        loops = [self.edit_repeatedly("ann"), self.edit_repeatedly("bob"), self.pay_repeatedly()]
        loops += [self.read_repeatedly()]
        self.tasks = [asyncio.create_task(each) for each in loops]
        await self.capacity.hollow.spend((VOLUMES["acme"], VOLUMES["other"]), spend, self.seed)

    async def pay(self, head: HeadProcess, customer: str, amount: int) -> int:
        """Top up an account; return the status of the answer."""
        id, at = self.new_id("t"), time.time()
        entry = {"id": id, "amount": amount, "by": "scenes", "why": "run"}
        status, _ = await head.call("POST", f"/control/credit/customers/{customer}/entries", entry)
        self.write("pay", at, until=time.time(), id=id, customer=customer, amount=amount, status=status)
        return status

    async def pay_repeatedly(self) -> None:
        """Top up accounts at random heads until the clients stop."""
        stopped = False
        while not stopped:
            if (head := self.random_head()) is not None:
                await self.pay(head, self.draws.choice(["acme", "other"]), 5 * PRICE)
            stopped = await set_within(self.stop_event, self.draws.expovariate(1 / PAY_INTERVAL))

    async def read_repeatedly(self) -> None:
        """Read the newest version at random heads until the clients stop."""
        stopped = False
        while not stopped:
            if (head := self.random_head()) is not None:
                await self.read_newest(head)
            stopped = await set_within(self.stop_event, self.draws.expovariate(1 / READ_INTERVAL))

    async def edit_repeatedly(self, who: str) -> None:
        """Make the edits of one editor, at the heads that it calls, until the clients stop."""
        draws = random.Random(f"editor/{self.seed}/{who}")
        while not await set_within(
            self.stop_event, draws.expovariate(1 / (self.edit_every * len(self.editors)))
        ):
            head = self.at(self.editors[who])
            if head is not None:
                await self.change(head, "edit", who)

    # -- end of a run -----------------------------------------------------------------------------------
    async def finish(self) -> None:
        """Stop all clients, wait until accounts settle and versions spread, and close the history."""
        healed = time.time()
        await self.capacity.hollow.spend((), 0.0, self.seed)
        self.stopping = True
        self.stop_event.set()
        async with asyncio.timeout(CALLS_TIMEOUT):  # the history needs the answer to each call
            await asyncio.gather(*self.tasks)
        async with asyncio.timeout(SETTLE_TIMEOUT):
            await self.settle(healed, healed)
        self.history_file.close()

    def check_history(self) -> tuple[History, list[str]]:
        """Return the whole history and the violations found in it."""
        logs = {head.name: head.logs for head in self.fleet if head.logs.exists()}
        history = read_history(self.file, logs | self.logs_of_lost_heads)
        hollow = read_events(path for path in self.capacity.hollow.logs if path.exists())
        for name in self.capacity.places:
            history.logs.setdefault(name, [])
        customers = {volume: name for name, volume in VOLUMES.items()}
        for name, events in hollow.items():
            requests = [event for event in events if event["event"] == "hollow.request"]
            history.lines += [request_line(name, event, customers) for event in requests]
            history.logs[name] = [event for event in events if event["event"] != "hollow.request"]
        return history, check_history(history)


def request_line(head: str, event: dict[str, Any], customers: dict[str, str]) -> dict[str, Any]:
    """Return the history line for a request logged by a hollow head."""
    return {
        "what": "request",
        "at": event["asked_at"],
        "until": event["at"],
        "id": event["id"],
        "customer": customers[event["volume"]],
        "charge": charge_of(event["units"], PRICE),
        "status": 200 if event["served"] else 503,
        "head": head,
    }
