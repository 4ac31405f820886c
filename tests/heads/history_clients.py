"""Clients, payers and editors of heads, and the history of what they asked and were answered.

The verdict is the judge's (stoatrouter/lab/histories), from that file and the heads' logs alone.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.heads.processes import HeadProcess, ProcessFleet
from tests.heads.rules_clients import edit, rules, undo

PRICE = 1_000
VOLUMES = {"acme": "00000003b4d60021", "other": "00000003b4d60022", "idle": "00000003b4d60023"}
RETRY_INTERVAL = 0.1  # seconds
OK, NOT_FOUND, CONFLICT = 200, 404, 409


@dataclass(slots=True, frozen=True)
class UnresolvedChange:
    """A change whose caller does not know yet whether it took effect."""

    at: float  # when it was asked
    line: dict[str, Any]  # of the history, without its times and answer


class HistoryClients:
    """All who ask in one run, drawn from a seed, and the file that they write down."""

    def __init__(self, fleet: ProcessFleet, seed: int, file: Path) -> None:
        self.fleet, self.seed, self.file = fleet, seed, file
        self.draws = random.Random(f"chaos/{seed}")
        self.history_file = file.open("w")
        self.count = 0  # of names
        self.stopping = False
        self.newest = 0  # version of the rules, as somebody read it last
        self.unresolved: list[UnresolvedChange] = []
        self.lost: dict[str, int] = {}  # what lost folders may have held, by customer

    def write(self, what: str, at: float, **more: Any) -> None:
        """Write a line of the history."""
        self.history_file.write(json.dumps({"what": what, "at": at, **more}) + "\n")

    def random_head(self) -> HeadProcess | None:
        """Draw a head that runs; None where none does."""
        up = self.fleet.up
        return self.draws.choice(up) if up else None

    def new_id(self, what: str) -> str:
        """A new id."""
        self.count += 1
        return f"{what}-{self.seed}-{self.count}"

    # -- customers ----------------------------------------------------------------------------------------
    async def client(self) -> None:
        """Make requests of customers, one after the other."""
        while not self.stopping:
            head = self.random_head()
            if head is None:
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            await self.request(head)
            await asyncio.sleep(self.draws.uniform(0.005, 0.06))

    async def request(self, head: HeadProcess) -> None:
        """Make one request."""
        customer = self.draws.choice(["acme", "acme", "other"])
        units = self.draws.randint(1, 4)
        id, at = self.new_id("r"), time.time()
        status, _ = await head.send_request(id, VOLUMES[customer], units=units, deadline=1500)
        self.write(
            "request",
            at,
            until=time.time(),
            id=id,
            customer=customer,
            charge=units * PRICE,
            status=status,
            head=head.name,
        )

    async def payer(self) -> None:
        """Top customers up, each time until it is acknowledged."""
        while not self.stopping:
            customer = self.draws.choice(["acme", "other"])
            id, amount = self.new_id("t"), self.draws.choice([5, 20, 60]) * PRICE
            status = -1
            while status not in (OK, CONFLICT) and not self.stopping:
                head = self.random_head()
                if head is None:
                    await asyncio.sleep(RETRY_INTERVAL)
                    continue
                status = await self.top_up(head, customer, id, amount)
            await asyncio.sleep(self.draws.uniform(0.3, 1.2))

    async def top_up(self, head: HeadProcess, customer: str, id: str, amount: int) -> int:
        """Top a customer up at a head; returns the status."""
        at = time.time()
        entry = {"id": id, "amount": amount, "by": "chaos", "why": "run"}
        status, _ = await head.call("POST", f"/control/credit/customers/{customer}/entries", entry)
        self.write("pay", at, until=time.time(), id=id, customer=customer, amount=amount, status=status)
        return status

    # -- editors of the rules -----------------------------------------------------------------------------
    async def editor(self, who: str) -> None:
        """Edit, undo and read the rules."""
        while not self.stopping:
            head = self.random_head()
            if head is None:
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            kind = self.draws.choice(["edit", "edit", "undo", "read", "read"])
            if kind == "read":
                await self.read_newest(head)
            else:
                await self.change(head, kind, who)
            await asyncio.sleep(self.draws.uniform(0.1, 0.8))

    async def read_newest(self, head: HeadProcess) -> None:
        """Read the number of the newest version."""
        at = time.time()
        status, answer = await head.call("GET", "/control/rules/newest")
        if status == OK:
            self.newest = answer["newest"]
            line = {"kind": "read", "id": "", "base": 0, "answer": ("read", self.newest)}
            self.write("register", at, until=time.time(), **line)

    async def change(self, head: HeadProcess, kind: str, who: str) -> None:
        """Edit or undo, until it is known whether it took effect. Its moment lies anywhere in between."""
        id, base, at = self.new_id(who), self.newest, time.time()
        if kind == "undo" and base < 2:
            return
        call = edit(head, id, base, rules(id), who) if kind == "edit" else undo(head, id, base)
        status, answer = await call
        line = {"kind": kind, "id": id, "base": base}
        if status == CONFLICT:
            if not is_for_another_change(answer["error"]):
                self.newest = answer["newest"]
                self.write("register", at, until=time.time(), **line, answer=("refused", self.newest))
            return
        outcome = await self.outcome_of(id)
        if outcome is None:
            self.unresolved.append(UnresolvedChange(at, line))
        elif outcome["state"] != "abandoned":
            self.write("register", at, until=time.time(), **line, answer=("ok", outcome["number"]))

    async def outcome_of(self, id: str) -> dict[str, Any] | None:
        """Wait until a change is over; None where it is known to nobody yet, or the run ends before."""
        while not self.stopping:
            head = self.random_head()
            status, answer = await head.call("GET", f"/control/rules/edits/{id}") if head else (0, None)
            if status == OK and answer["state"] != "accepted":
                return answer
            if status == NOT_FOUND:
                return None  # it may still come: `resolve` asks again once all has settled
            await asyncio.sleep(RETRY_INTERVAL)
        return None

    # -- the end ------------------------------------------------------------------------------------------
    async def settle(self, healed: float, in_touch: float) -> None:
        """Wait, after the faults, for accounts without anything out and the same rules at all heads."""
        for name in VOLUMES:
            account = await self.fleet.until(lambda name=name: self.settled_account(name), f"{name} settled")
            figures = {key: account[key] for key in ("paid", "charged", "balance")}
            self.write("settled", time.time(), customer=name, lost=self.lost.get(name, 0), **figures)
        states = await self.fleet.until(self.equal_rules, "all heads decide by the same version")
        now = time.time()
        spans = {"after_heal": round(now - healed, 3), "in_touch_after": round(in_touch - healed, 3)}
        self.write("equal", now, **spans)
        await self.resolve()
        state = next(iter(states.values()))
        if state["newest_known"]:
            await self.write_contents(state["newest_known"])
            self.write_restored(state["versions"])

    async def read_account(self, customer: str) -> dict[str, Any] | None:
        """An account, as the first head that can confirm it has it; empty where there is none."""
        for head in self.fleet.up:
            status, account = await head.call("GET", f"/control/credit/customers/{customer}")
            if status in (OK, NOT_FOUND):
                return account if status == OK else {}
        return None

    async def settled_account(self, name: str) -> dict[str, Any] | None:
        """A customer's account; None while any of it is out, or nobody can say."""
        account = await self.read_account(name)
        return account if account and not account["out"] else None

    async def equal_rules(self) -> dict[str, Any] | None:
        """Each head's state of the rules, once all decide by the newest version."""
        states = {head.name: (await head.call("GET", "/control/rules"))[1] for head in self.fleet}
        if any(
            state is None or state["pending"] or state["version"] != state["newest_known"]
            for state in states.values()
        ):
            return None
        return states if len({state["newest_known"] for state in states.values()}) == 1 else None

    async def resolve(self) -> None:
        """Find out, with nothing in flight any more, whether changes took effect whose callers never knew.

        One that is known to nobody never did, and no later call can make it.
        """
        for change in self.unresolved:
            id = change.line["id"]
            answer = await self.fleet.until(lambda id=id: self.state_of_change(id), f"the state of {id}")
            if answer["state"] in ("in force", "everywhere"):
                outcome = ("ok", answer["number"])
                self.write("register", change.at, until=time.time(), **change.line, answer=outcome)

    async def state_of_change(self, id: str) -> dict[str, Any] | None:
        """What the first head knows of a change; None where it gives no answer."""
        status, answer = await self.fleet["h0"].call("GET", f"/control/rules/edits/{id}")
        return {"state": "unknown"} if status == NOT_FOUND else answer if status == OK else None

    async def write_contents(self, version: int) -> None:
        """Write what each head has as the newest version."""
        digests = {}
        for head in self.fleet:
            status, contents = await head.call("GET", f"/control/rules/versions/{version}")
            digests[head.name] = json.dumps(contents, sort_keys=True) if status == OK else "none"
        self.write("contents", time.time(), digests=digests)

    def write_restored(self, versions: list[dict[str, Any]]) -> None:
        """Write, for each undo in the history, what was in force before the undone version, and after it."""
        digests = {version["number"]: version["digest"] for version in versions}
        numbers = sorted(digests)
        for version in versions:
            undone = version.get("undoes")
            if version["kind"] != "undo" or undone not in digests or numbers.index(undone) == 0:
                continue
            before = digests[numbers[numbers.index(undone) - 1]]
            self.write("restored", time.time(), undone=undone, before=before, now=version["digest"])


def is_for_another_change(error: str) -> bool:
    """Whether a change never acted: rejected for another in progress, or for a version that is gone."""
    return "is being put in force" in error or "is not in the history" in error
