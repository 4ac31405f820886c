"""Clients, payers and editors beside random faults, from a seed; everything asked and answered goes into a
history.

The verdict is the judge's (stoatrouter/lab/histories), from that file and the heads' logs alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from pathlib import Path
from typing import Any

from stoatrouter.lab.histories.history import History, read_history
from tests.heads.processes import HeadProcess, Processes
from tests.heads.test_rules_processes import edit, rules, undo

PRICE = 1_000
VOLUMES = {"acme": "00000003b4d60021", "other": "00000003b4d60022", "idle": "00000003b4d60023"}
MORE = (
    'credit: {prices: {"score-read": 1000, "event-write": 1000, "stats-export": 1000}, lease: "2s"}\n'
    'rules: {check_within: "2s", versions: 5000}\n'
)
DETECT_WITHIN = 15.0


class Chaos:
    """One run."""

    def __init__(self, fleet: Processes, seed: int, file: Path) -> None:
        self.fleet, self.seed, self.file = fleet, seed, file
        self.draws = random.Random(f"chaos/{seed}")
        self.out = file.open("w")
        self.count = 0
        self.over = False
        self.faults: list[str] = []
        self.newest = 0
        self.unresolved: list[tuple[float, dict[str, Any]]] = []

    def write(self, what: str, at: float, **more: Any) -> None:
        self.out.write(json.dumps({"what": what, "at": at, **more}) + "\n")

    def some(self) -> HeadProcess | None:
        up = self.fleet.up
        return self.draws.choice(up) if up else None

    def name(self, what: str) -> str:
        self.count += 1
        return f"{what}-{self.seed}-{self.count}"

    # -- those who ask ------------------------------------------------------------------------------------
    async def client(self) -> None:
        while not self.over:
            head = self.some()
            if head is None:
                await asyncio.sleep(0.1)
                continue
            customer = self.draws.choice(["acme", "acme", "other"])
            units = self.draws.randint(1, 4)
            id, at = self.name("r"), time.time()
            status, _ = await head.read(id, VOLUMES[customer], units=units, deadline=1500)
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
            await asyncio.sleep(self.draws.uniform(0.005, 0.06))

    async def payer(self) -> None:
        while not self.over:
            customer = self.draws.choice(["acme", "other"])
            id, amount = self.name("t"), self.draws.choice([5, 20, 60]) * PRICE
            status = -1
            while status not in (200, 409) and not self.over:
                head = self.some()
                if head is None:
                    await asyncio.sleep(0.1)
                    continue
                at = time.time()
                status, _ = await head.call(
                    "POST",
                    f"/control/credit/customers/{customer}/entries",
                    {"id": id, "amount": amount, "by": "chaos", "why": "run"},
                )
                self.write(
                    "pay", at, until=time.time(), id=id, customer=customer, amount=amount, status=status
                )
            await asyncio.sleep(self.draws.uniform(0.3, 1.2))

    async def editor(self, who: str) -> None:
        while not self.over:
            head = self.some()
            if head is None:
                await asyncio.sleep(0.1)
                continue
            kind = self.draws.choice(["edit", "edit", "undo", "read", "read"])
            if kind == "read":
                await self.read_newest(head)
            else:
                await self.change(head, kind, who)
            await asyncio.sleep(self.draws.uniform(0.1, 0.8))

    async def read_newest(self, head: HeadProcess) -> None:
        at = time.time()
        status, told = await head.call("GET", "/control/rules/newest")
        if status == 200:
            self.newest = told["newest"]
            self.write(
                "register", at, until=time.time(), kind="read", id="", base=0, answer=("read", told["newest"])
            )

    async def change(self, head: HeadProcess, kind: str, who: str) -> None:
        """An edit or undo, until it is known what became of it. Its moment lies anywhere in between."""
        id, base, at = self.name(who), self.newest, time.time()
        if kind == "undo" and base < 2:
            return
        call = edit(head, id, base, rules(id), who) if kind == "edit" else undo(head, id, base)
        status, told = await call
        line = {"kind": kind, "id": id, "base": base}
        if status == 409:
            if "is being put in force" not in told["error"] and "is not in the history" not in told["error"]:
                self.newest = told["newest"]
                self.write("register", at, until=time.time(), **line, answer=("refused", told["newest"]))
            return  # refused for what was under way: it never acted
        ended = None
        while ended is None and not self.over:
            other = self.some()
            status, told = await other.call("GET", f"/control/rules/edits/{id}") if other else (0, None)
            if status == 200 and told["state"] != "accepted":
                ended = told
            elif status == 404:
                break  # it may still come: it is asked for again when all has settled
            else:
                await asyncio.sleep(0.1)
        if ended is not None and ended["state"] == "abandoned":
            return
        if ended is None:
            self.unresolved.append((at, line))
        else:
            self.write("register", at, until=time.time(), **line, answer=("ok", ended["number"]))

    # -- faults -------------------------------------------------------------------------------------------
    async def break_things(self) -> None:
        """One fault after the other, some on top of others; most heads come back at once."""
        draws, relay = self.draws, self.fleet.relay
        while not self.over:
            await asyncio.sleep(draws.uniform(0.3, 2.0))
            what = draws.choice(["kill", "kill_leader", "split", "one_way", "pause", "loss", "heal", "heal"])
            span = draws.uniform(0.2, 5.0)
            self.faults.append(f"{time.time():.2f} {what}")
            head = self.some()
            if what == "heal" or head is None:
                relay.heal()
            elif what in ("kill", "kill_leader"):
                told = await head.told()
                victim = self.fleet.heads.get(told.get("leader") or "") if what == "kill_leader" else head
                if victim in self.fleet.up and len(self.fleet.up) > 2:
                    await victim.kill()
                    self.later(span, victim)
            elif what == "split":
                names = self.fleet.names[:]
                draws.shuffle(names)
                cut = draws.randint(1, len(names) - 1)
                relay.split(names[:cut], names[cut:])
            elif what == "one_way":
                relay.cut(*draws.sample(self.fleet.names, 2), both=False)
            elif what == "pause":
                if len(self.fleet.up) > 2:
                    head.signal(signal.SIGSTOP)
                    await asyncio.sleep(span)
                    self.wake(head)
            else:
                relay.all_ways(loss=draws.uniform(0, 0.3), delay=draws.uniform(0, 0.1), twice=0.2)

    def wake(self, head: HeadProcess) -> None:
        head.signal(signal.SIGCONT)
        head.paused = False

    def later(self, span: float, head: HeadProcess) -> None:
        async def start() -> None:
            await asyncio.sleep(span)
            await head.start(ready=False)

        self.starting.append(asyncio.create_task(start()))

    # -- a whole run --------------------------------------------------------------------------------------
    async def run(self, seconds: float, detect: bool) -> History:
        fleet, head = self.fleet, self.fleet["h0"]
        self.starting: list[asyncio.Task[None]] = []
        for name, volume in VOLUMES.items():
            status, told = await head.call(
                "PUT",
                f"/control/credit/customers/{name}",
                {"volumes": [volume], "by": "chaos", "why": "run", "low_water": 10 * PRICE},
            )
            assert status == 200, told
        await fleet.all_equal()
        work = [self.client() for _ in range(6)] + [
            self.payer(),
            self.payer(),
            self.editor("ann"),
            self.editor("bob"),
        ]
        tasks = [asyncio.create_task(w) for w in work]
        breaking = asyncio.create_task(self.break_things())
        await asyncio.sleep(seconds)
        breaking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await breaking
        for each in fleet:
            if each.paused:
                self.wake(each)
        fleet.relay.heal()
        await asyncio.gather(*self.starting)
        healed = time.time()
        await fleet.all_in_touch()
        in_touch = time.time()
        await asyncio.sleep(1.0)
        self.over = True
        await asyncio.gather(*tasks)
        await self.settle(healed, in_touch)
        if detect:
            await self.detect()
        self.out.close()
        return read_history(self.file, {h.name: h.logs for h in fleet})

    async def detect(self) -> None:
        """A calm while, then one head is killed: for the judge of what the detectors saw."""
        await asyncio.sleep(5)  # what the faults left of suspicions is over
        began = time.time()
        await asyncio.sleep(4)
        self.write("calm", began, until=time.time())
        victim = self.fleet[self.fleet.names[-1]]
        witnesses = [h.name for h in self.fleet if h is not victim]
        await victim.kill()
        killed = time.time()
        await asyncio.sleep(DETECT_WITHIN)
        self.write(
            "down",
            killed,
            until=time.time(),
            head=victim.name,
            witnesses=witnesses,
            detect_within=DETECT_WITHIN - 1,
        )

    async def settle(self, healed: float, in_touch: float) -> None:
        """After the faults: accounts without anything out, all heads with the same rules."""
        for name in VOLUMES:
            told = await self.fleet.until(lambda name=name: self.account(name), f"{name} settled")
            self.write(
                "settled",
                time.time(),
                customer=name,
                paid=told["paid"],
                charged=told["charged"],
                balance=told["balance"],
            )

        async def equal() -> dict[str, Any] | None:
            all_told = {h.name: (await h.call("GET", "/control/rules"))[1] for h in self.fleet}
            if any(t is None or t["pending"] or t["version"] != t["newest_known"] for t in all_told.values()):
                return None
            return all_told if len({t["newest_known"] for t in all_told.values()}) == 1 else None

        told = await self.fleet.until(equal, "all heads decide by the same version")
        self.write(
            "equal",
            time.time(),
            after_heal=round(time.time() - healed, 3),
            in_touch_after=round(in_touch - healed, 3),
        )
        await self.resolve()
        newest = next(iter(told.values()))["newest_known"]
        if newest:
            digests = {}
            for head in self.fleet:
                status, whole = await head.call("GET", f"/control/rules/versions/{newest}")
                digests[head.name] = json.dumps(whole, sort_keys=True) if status == 200 else "none"
            self.write("contents", time.time(), digests=digests)
            await self.check_undo(next(iter(told.values()))["versions"])

    async def resolve(self) -> None:
        """What became of changes whose callers never knew: asked for by their ids, with nothing under way any
        more. One that is known to nobody never acted, and no later call can make it."""
        for at, line in self.unresolved:
            status, told = 0, None
            while status not in (200, 404):
                status, told = await self.fleet["h0"].call("GET", f"/control/rules/edits/{line['id']}")
            if status == 200 and told["state"] in ("in force", "everywhere"):
                self.write("register", at, until=time.time(), **line, answer=("ok", told["number"]))

    async def check_undo(self, versions: list[dict[str, Any]]) -> None:
        """Each undo that is in the history restored what was in force before."""
        digests = {v["number"]: v["digest"] for v in versions}
        numbers = sorted(digests)
        for version in versions:
            if (
                version["kind"] == "undo"
                and version["undoes"] in digests
                and numbers.index(version["undoes"]) > 0
            ):
                before = numbers[numbers.index(version["undoes"]) - 1]
                self.write(
                    "restored",
                    time.time(),
                    undone=version["undoes"],
                    before=digests[before],
                    now=version["digest"],
                )

    async def account(self, name: str) -> dict[str, Any] | None:
        for head in self.fleet.up:
            status, told = await head.call("GET", f"/control/credit/customers/{name}")
            if status == 200:
                return told if not told["out"] else None
        return None
