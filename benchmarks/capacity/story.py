"""Those who ask while a scene plays: editors, payers, readers; what was asked and answered is a history.

It is judged after the fact by stoatrouter/lab/histories, from that history and the logs of all heads, hollow
ones with them. The heads' own opinion of themselves is never read.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from benchmarks.capacity.mixed import CapacityFleet
from benchmarks.capacity.spans import ScenePart
from stoatrouter.credit.records import charge_of
from stoatrouter.lab.histories.history import History, read_history
from stoatrouter.lab.histories.judge import judge
from stoatrouter.lab.hollow.logs import read_events
from tests.heads.history_clients import VOLUMES, HistoryClients
from tests.heads.processes import HeadProcess
from tests.story_tasks import set_within

PRICE = 1_000  # of a unit of the first class, as the fleet's file has it (fleet.py)
FUNDS = 2_000_000_000  # paid in at the start: no scene is about an empty account
READ_EVERY, PAY_EVERY = 4.0, 4.0  # seconds
CALLS_END_WITHIN = 30.0  # seconds: an error beyond
SETTLES_WITHIN = 90.0  # seconds


class Story(HistoryClients):
    """The clients of one run. Times between acts are drawn from the seed."""

    def __init__(self, fleet: CapacityFleet, seed: int, file: Path, edit_every: float) -> None:
        super().__init__(fleet.real, seed, file)
        self.capacity, self.edit_every = fleet, edit_every
        self.editors: dict[str, list[str]] = {"ann": [], "bob": []}  # who asks which heads; none: any
        self.tasks: list[asyncio.Task[None]] = []
        self.ends = asyncio.Event()
        self.accepted = 0  # edits
        self.lost: Counter[str] = Counter()  # by customer, what a machine that is lost for good held
        self.gone: dict[str, Path] = {}  # logs of heads that never come back
        self.parts: list[ScenePart] = []

    def write(self, what: str, at: float, **more: Any) -> None:
        """One line of the history."""
        if what == "register" and more["answer"] is not None and more["answer"][0] == "ok":
            self.accepted += 1
        if what == "settled":
            more["lost"] = self.lost[more["customer"]]
        super().write(what, at, **more)

    def interrupt(self, names: Iterable[str]) -> None:
        """These heads go down in the scene that plays: they are no witnesses of it."""
        if self.parts:
            self.parts[-1].interrupted.update(names)

    def at(self, names: list[str]) -> HeadProcess | None:
        """A real head that runs, among these where any are named."""
        up = [head for head in self.fleet.up if not names or head.name in names]
        return self.draws.choice(up) if up else None

    async def begin(self, spend: float) -> None:
        """Make the customers and begin to ask."""
        head = self.fleet.up[0]
        for name, volume in VOLUMES.items():
            path = f"/control/credit/customers/{name}"
            made = {"volumes": [volume], "by": "scenes", "why": "run"}
            status, told = await head.call("PUT", path, made)
            assert status == 200, told
            await self.pay(head, name, FUNDS)
        work = [self.edit_now_and_then("ann"), self.edit_now_and_then("bob"), self.pay_now_and_then()]
        work += [self.read_now_and_then()]
        self.tasks = [asyncio.create_task(each) for each in work]
        await self.capacity.hollow.spend((VOLUMES["acme"], VOLUMES["other"]), spend, self.seed)

    async def pay(self, head: HeadProcess, customer: str, amount: int) -> int:
        """One top-up; its status."""
        id, at = self.new_id("t"), time.time()
        entry = {"id": id, "amount": amount, "by": "scenes", "why": "run"}
        status, _ = await head.call("POST", f"/control/credit/customers/{customer}/entries", entry)
        self.write("pay", at, until=time.time(), id=id, customer=customer, amount=amount, status=status)
        return status

    async def pay_now_and_then(self) -> None:
        """Top-ups at any head."""
        ends = False
        while not ends:
            if (head := self.random_head()) is not None:
                await self.pay(head, self.draws.choice(["acme", "other"]), 5 * PRICE)
            ends = await set_within(self.ends, self.draws.expovariate(1 / PAY_EVERY))

    async def read_now_and_then(self) -> None:
        """Reads of the newest version at any head."""
        ends = False
        while not ends:
            if (head := self.random_head()) is not None:
                await self.read_newest(head)
            ends = await set_within(self.ends, self.draws.expovariate(1 / READ_EVERY))

    async def edit_now_and_then(self, who: str) -> None:
        """Edits of one editor, at the heads that it asks."""
        draws = random.Random(f"editor/{self.seed}/{who}")
        while not await set_within(self.ends, draws.expovariate(1 / (self.edit_every * len(self.editors)))):
            head = self.at(self.editors[who])
            if head is not None:
                await self.change(head, "edit", who)

    # -- the end ------------------------------------------------------------------------------------------
    async def finish(self) -> None:
        """End all who ask, let accounts settle and versions spread, and close the history."""
        healed = time.time()
        await self.capacity.hollow.spend((), 0.0, self.seed)
        self.stopping = True
        self.ends.set()
        async with asyncio.timeout(CALLS_END_WITHIN):  # the history has to have the answer of each call
            await asyncio.gather(*self.tasks)
        async with asyncio.timeout(SETTLES_WITHIN):
            await self.settle(healed, healed)
        self.history_file.close()

    def judged(self) -> tuple[History, list[str]]:
        """The whole history and what of its promises is broken."""
        logs = {head.name: head.logs for head in self.fleet if head.logs.exists()}
        history = read_history(self.file, logs | self.gone)
        hollow = read_events(path for path in self.capacity.hollow.logs if path.exists())
        for name in self.capacity.places:
            history.logs.setdefault(name, [])
        customers = {volume: name for name, volume in VOLUMES.items()}
        for name, events in hollow.items():
            requests = [event for event in events if event["event"] == "hollow.request"]
            history.lines += [request_line(name, event, customers) for event in requests]
            history.logs[name] = [event for event in events if event["event"] != "hollow.request"]
        return history, judge(history)


def request_line(head: str, event: dict[str, Any], customers: dict[str, str]) -> dict[str, Any]:
    """A hollow head's request as the judge reads it."""
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
