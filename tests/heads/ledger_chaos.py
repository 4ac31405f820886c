"""Random faults while customers are made, pay, lose volumes and are deleted: what a head knows matters.

Beside the faults of `chaos`, heads without a vote lose their folders, and heads start while they are cut off.
"""

from __future__ import annotations

import asyncio
import shutil
import time
from collections import Counter
from typing import Any

from tests.heads.chaos import CHAOS_SETTINGS, FAULTS, Chaos
from tests.heads.history_clients import OK, PRICE, VOLUMES
from tests.heads.processes import HeadProcess

CUT_OFF_AFTER = 1.5  # seconds
LEASE = 2.0  # of CHAOS_SETTINGS; a charge may be booked on an allotment of who had the volume before
LEDGER_CHAOS_SETTINGS = CHAOS_SETTINGS + f'cut_off_after: "{CUT_OFF_AFTER}s"\nwait_at_start: "1s"\n'
LONGEST_BEHIND = max(CUT_OFF_AFTER, LEASE) * 1.05 + 0.1  # clocks that drift, and what a loop may lag
MOVING = "00000003b4d60030"
MADE = [f"00000003b4d600{number}" for number in range(40, 52)]  # nobody's until a customer is made
CHANGE_INTERVAL = (0.2, 0.9)  # seconds
PAYMENTS = (5, 20, 60)  # of customers that are made, in units
UNKNOWN = 0  # the status of a call whose effect comes at a time that nobody knows


class LedgerChaos(Chaos):
    """One run."""

    faults_drawn = [*FAULTS, "lose_folder", "start_cut_off", "start_cut_off"]

    def __init__(self, *of_chaos: Any) -> None:
        super().__init__(*of_chaos)
        self.made = 0  # customers, of MADE
        self.customers = list(VOLUMES)  # all that were ever asked for
        self.lost: Counter[str] = Counter()  # what lost folders may have held, by customer
        self.lost_allotments: set[str] = set()
        self.changes: asyncio.Task[None] | None = None

    async def put_customers(self) -> None:
        """Make the first customers, and go on to make others and move a volume while faults go on."""
        await super().put_customers()
        self.write("ledger_behind", time.time(), seconds=LONGEST_BEHIND)
        for name, volume in VOLUMES.items():
            self.write("customer", 0.0, until=0.0, customer=name, volumes=[volume], status=OK)
        self.changes = asyncio.create_task(self.change_owners())

    # -- customers ----------------------------------------------------------------------------------------
    async def change_owners(self) -> None:
        """Make customers of free volumes, let them pay, lose volumes and be deleted, and move a volume."""
        while not self.stopping:
            await asyncio.sleep(self.draws.uniform(*CHANGE_INTERVAL))
            head = self.random_head()
            if head is None:
                continue
            draw = self.draws.random()
            if self.made < len(MADE) and (draw < 0.35 or not self.made):
                self.made += 1
                await self.put(head, f"made{self.made}", MADE[self.made - 1])
                await self.pay_in(head, f"made{self.made}")
            elif draw < 0.65:
                await self.pay_in(head, self.draws.choice(self.customers[len(VOLUMES) :]))
            elif draw < 0.8:
                await self.take_volume(head)
            elif draw < 0.87:
                await self.delete(head, self.draws.choice(self.customers[len(VOLUMES) :]))
            else:
                customer = self.draws.choice(["acme", "other"])
                await self.put(head, customer, VOLUMES[customer], MOVING)

    async def pay_in(self, head: HeadProcess, customer: str) -> None:
        """Top a customer up, once: it may be deleted meanwhile."""
        amount = self.draws.choice(PAYMENTS) * PRICE
        await self.top_up(head, customer, self.new_id("t"), amount)

    async def take_volume(self, head: HeadProcess) -> None:
        """Give a volume of a customer that was made to a new one, which has paid nothing."""
        number = self.draws.randrange(self.made)
        await self.put(head, f"taker{len(self.customers)}", MADE[number])

    async def delete(self, head: HeadProcess, customer: str) -> None:
        """Delete a customer: its volumes are nobody's once all that is out is settled, whenever that is."""
        at = time.time()
        await head.call("DELETE", f"/control/credit/customers/{customer}", {"by": "chaos", "why": "run"})
        self.write("customer", at, until=time.time(), customer=customer, volumes=[], status=UNKNOWN)

    async def put(self, head: HeadProcess, customer: str, *volumes: str) -> None:
        """Make a customer, or give it these volumes."""
        if customer not in self.customers:
            self.customers.append(customer)
        at = time.time()
        record = {"volumes": list(volumes), "by": "chaos", "why": "run", "low_water": 10 * PRICE}
        status, _ = await head.call("PUT", f"/control/credit/customers/{customer}", record)
        self.write("customer", at, until=time.time(), customer=customer, volumes=volumes, status=status)

    async def request(self, head: HeadProcess) -> None:
        """Make one request of a volume that is somebody's, that moves, or that may get a customer."""
        volume = self.draws.choice([*VOLUMES.values(), MOVING, MOVING, *MADE[: self.made + 2]])
        units = self.draws.randint(1, 4)
        id, at = self.new_id("r"), time.time()
        status, _ = await head.send_request(id, volume, units=units, deadline=1500)
        charge = units * PRICE
        line = {"id": id, "customer": "", "volume": volume, "charge": charge, "head": head.name}
        self.write("request", at, until=time.time(), status=status, **line)

    # -- faults -------------------------------------------------------------------------------------------
    async def inject(self, fault: str, head: HeadProcess | None, duration: float) -> None:
        """Inject one fault."""
        match fault:
            case "lose_folder":
                await self.lose_folder(self.fleet[self.draws.choice(self.followers)], duration)
            case "start_cut_off":
                await self.start_cut_off(head, duration)
            case _:
                await super().inject(fault, head, duration)

    @property
    def followers(self) -> list[str]:
        """Heads without a vote: what they lose, no promise of the agreement hangs on."""
        return [name for name in self.fleet.names if name not in self.fleet.voters]

    async def lose_folder(self, head: HeadProcess, duration: float) -> None:
        """Kill a head, note what its folder may hold of each customer, and start it without it, cut off."""
        if head not in self.fleet.up or len(self.fleet.up) <= 2:
            return
        await head.kill()
        self.cut_off(head)
        # a task of its own: the next fault does not wait for the accounts' answers
        self.restarts.append(asyncio.create_task(self.start_without_folder(min(duration, 1.0), head)))

    async def start_without_folder(self, delay: float, head: HeadProcess) -> None:
        """Remove the folder of a dead head, where it is known what it may hold, and start it later.

        A head that is killed for the second time before it has made its folder has lost it already.
        """
        held = await self.held_by(head.name)
        if held is not None and head.disk.exists():
            for customer, allotments in held.items():
                self.lost[customer] += sum(allotments[id] for id in allotments.keys() - self.lost_allotments)
                self.lost_allotments.update(allotments)
            shutil.rmtree(head.disk)
            self.write("folder_lost", time.time(), head=head.name)
        await self.start_after(delay, head)

    async def start_cut_off(self, head: HeadProcess, duration: float) -> None:
        """Kill a head, cut it off from all others, and start it again."""
        if len(self.fleet.up) > 2:
            await head.kill()
            self.cut_off(head)
            self.restarts.append(asyncio.create_task(self.start_after(min(duration, 1.0), head)))

    def cut_off(self, head: HeadProcess) -> None:
        """Cut a head off from all others."""
        others = [name for name in self.fleet.names if name != head.name]
        self.fleet.relay.split([head.name], others)

    async def held_by(self, name: str) -> dict[str, dict[str, int]] | None:
        """What a dead head may have spent and not reported, by customer and allotment; None: not known."""
        held = {}
        for customer in self.customers:
            account = await self.read_account(customer)
            if account is None:
                return None
            out = {id: each for id, each in account.get("out", {}).items() if each["head"] == name}
            held[customer] = {id: each["amount"] - each["spent"] for id, each in out.items()}
        return held

    # -- the end ------------------------------------------------------------------------------------------
    async def settle(self, healed: float, in_touch: float) -> None:
        """As in every run; the customers that were made are settled too."""
        assert self.changes is not None
        await self.changes
        await super().settle(healed, in_touch)
        for customer in self.customers[len(VOLUMES) :]:
            account = await self.fleet.until(
                lambda customer=customer: self.settled_or_deleted(customer), f"{customer} settled"
            )
            if "paid" in account:
                figures = {key: account[key] for key in ("paid", "charged", "balance")}
                self.write("settled", time.time(), customer=customer, lost=self.lost[customer], **figures)

    async def settled_or_deleted(self, customer: str) -> dict[str, Any] | None:
        """An account of which nothing is out, or that there is none; None where it is neither yet."""
        account = await self.read_account(customer)
        if account is None or account.get("out"):
            return None
        return account or {"deleted": True}
