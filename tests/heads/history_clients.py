"""Clients, payers and rule editors of heads, which record a history of their calls and the answers.

The judge (stoatrouter/lab/histories) decides by that file and the heads' logs alone.
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

PRICE = 1_000  # millionths per unit
VOLUMES = {"acme": "00000003b4d60021", "other": "00000003b4d60022", "idle": "00000003b4d60023"}
RETRY_INTERVAL = 0.1  # seconds
OK = 200
NOT_FOUND = 404
CONFLICT = 409


@dataclass(slots=True, frozen=True)
class UnresolvedChange:
    """A change of the rules whose outcome its caller does not know yet."""

    at: float  # when the call was made
    line: dict[str, Any]  # line of the history, without end time and answer


class HistoryClients:
    """All callers of one run, drawn from a seed, and the history file that they write."""

    def __init__(self, fleet: ProcessFleet, seed: int, file: Path) -> None:
        self.fleet = fleet
        self.seed = seed
        self.file = file
        self.draws = random.Random(f"chaos/{seed}")
        self.history_file = file.open("w")
        self.id_count = 0  # ids issued so far
        self.stopping = False
        self.newest = 0  # newest version of the rules that any caller has read
        self.unresolved: list[UnresolvedChange] = []
        self.lost: dict[str, int] = {}  # credit that lost data folders may have held, by customer

    def write(self, what: str, at: float, **more: Any) -> None:
        """Append a line to the history."""
        self.history_file.write(json.dumps({"what": what, "at": at, **more}) + "\n")

    def random_head(self) -> HeadProcess | None:
        """Draw a running head; None if none runs."""
        up = self.fleet.up
        return self.draws.choice(up) if up else None

    def new_id(self, what: str) -> str:
        """Return a new id with this prefix."""
        self.id_count += 1
        return f"{what}-{self.seed}-{self.id_count}"

    # -- customers ---------------------------------------------------------------------------------------
    async def client(self) -> None:
        """Send requests of customers, one after the other."""
        while not self.stopping:
            head = self.random_head()
            if head is None:
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            await self.request(head)
            await asyncio.sleep(self.draws.uniform(0.005, 0.06))

    async def request(self, head: HeadProcess) -> None:
        """Send one request and record it."""
        customer = self.draws.choice(["acme", "acme", "other"])
        units = self.draws.randint(1, 4)
        id = self.new_id("r")
        at = time.time()
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
        """Book top-ups, repeating each until it is acknowledged."""
        while not self.stopping:
            customer = self.draws.choice(["acme", "other"])
            id = self.new_id("t")
            amount = self.draws.choice([5, 20, 60]) * PRICE
            status = -1
            while status not in (OK, CONFLICT) and not self.stopping:
                head = self.random_head()
                if head is None:
                    await asyncio.sleep(RETRY_INTERVAL)
                    continue
                status = await self.top_up(head, customer, id, amount)
            await asyncio.sleep(self.draws.uniform(0.3, 1.2))

    async def top_up(self, head: HeadProcess, customer: str, id: str, amount: int) -> int:
        """Book a top-up at a head, record it, and return the status."""
        at = time.time()
        entry = {"id": id, "amount": amount, "by": "chaos", "why": "run"}
        status, _ = await head.call("POST", f"/control/credit/customers/{customer}/entries", entry)
        self.write("pay", at, until=time.time(), id=id, customer=customer, amount=amount, status=status)
        return status

    # -- editors of the rules ----------------------------------------------------------------------------
    async def editor(self, who: str) -> None:
        """Edit, undo and read the rules at random heads."""
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
        """Read and record the number of the newest version."""
        at = time.time()
        status, answer = await head.call("GET", "/control/rules/newest")
        if status == OK:
            self.newest = answer["newest"]
            line = {"kind": "read", "id": "", "base": 0, "answer": ("read", self.newest)}
            self.write("register", at, until=time.time(), **line)

    async def change(self, head: HeadProcess, kind: str, who: str) -> None:
        """Edit or undo the rules, and wait until it is known whether the change took effect.

        It may have taken effect at any moment between the call and the outcome.
        """
        id = self.new_id(who)
        base = self.newest
        at = time.time()
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
        """Wait for the outcome of a change; None if no head knows the change yet, or the run ends first."""
        while not self.stopping:
            head = self.random_head()
            status, answer = await head.call("GET", f"/control/rules/edits/{id}") if head else (0, None)
            if status == OK and answer["state"] != "accepted":
                return answer
            if status == NOT_FOUND:
                return None  # it may still take effect: `resolve` asks again once the fleet has settled
            await asyncio.sleep(RETRY_INTERVAL)
        return None

    # -- the end -----------------------------------------------------------------------------------------
    async def settle(self, healed: float, in_touch: float) -> None:
        """Wait, after the faults, until all accounts are settled and all heads use the same rules."""
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
        """Return an account from the first head that can confirm it; empty if there is no such customer."""
        for head in self.fleet.up:
            status, account = await head.call("GET", f"/control/credit/customers/{customer}")
            if status in (OK, NOT_FOUND):
                return account if status == OK else {}
        return None

    async def settled_account(self, name: str) -> dict[str, Any] | None:
        """Return a customer's account; None while it has outstanding allotments or no head can confirm it."""
        account = await self.read_account(name)
        return account if account and not account["out"] else None

    async def equal_rules(self) -> dict[str, Any] | None:
        """Return each head's state of the rules once all use the newest version; None before."""
        states = {head.name: (await head.call("GET", "/control/rules"))[1] for head in self.fleet}
        if any(
            state is None or state["pending"] or state["version"] != state["newest_known"]
            for state in states.values()
        ):
            return None
        return states if len({state["newest_known"] for state in states.values()}) == 1 else None

    async def resolve(self) -> None:
        """Record the changes of unknown outcome that took effect, once no change is in flight any more.

        A change that no head knows did not take effect, and no later call can make it do so.
        """
        for change in self.unresolved:
            id = change.line["id"]
            answer = await self.fleet.until(lambda id=id: self.state_of_change(id), f"the state of {id}")
            if answer["state"] in ("in force", "everywhere"):
                outcome = ("ok", answer["number"])
                self.write("register", change.at, until=time.time(), **change.line, answer=outcome)

    async def state_of_change(self, id: str) -> dict[str, Any] | None:
        """Return what the first head knows of a change; None if it gives no answer."""
        status, answer = await self.fleet["h0"].call("GET", f"/control/rules/edits/{id}")
        return {"state": "unknown"} if status == NOT_FOUND else answer if status == OK else None

    async def write_contents(self, version: int) -> None:
        """Record the contents of the newest version at each head."""
        digests = {}
        for head in self.fleet:
            status, contents = await head.call("GET", f"/control/rules/versions/{version}")
            digests[head.name] = json.dumps(contents, sort_keys=True) if status == OK else "none"
        self.write("contents", time.time(), digests=digests)

    def write_restored(self, versions: list[dict[str, Any]]) -> None:
        """Record, for each undo, the digest in force before the undone version and the one after the undo."""
        digests = {version["number"]: version["digest"] for version in versions}
        numbers = sorted(digests)
        for version in versions:
            undone = version.get("undoes")
            if version["kind"] != "undo" or undone not in digests or numbers.index(undone) == 0:
                continue
            before = digests[numbers[numbers.index(undone) - 1]]
            self.write("restored", time.time(), undone=undone, before=before, now=version["digest"])


def is_for_another_change(error: str) -> bool:
    """Return whether a change was rejected because of another one in progress, or of a dropped version."""
    return "is being put in force" in error or "is not in the history" in error
