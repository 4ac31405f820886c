"""Random faults while customers are created, pay, lose volumes and are deleted.

In addition to the faults of `chaos`, non-voting heads lose their data folders, and heads start while they are
cut off from the others, so that requests reach heads whose ledger is missing or out of date.
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

CUT_OFF_SECONDS = 1.5
# As in CHAOS_SETTINGS. For so long a charge may be booked on an allotment of the volume's previous customer.
LEASE_SECONDS = 2.0
LEDGER_CHAOS_SETTINGS = CHAOS_SETTINGS + f'cut_off_after: "{CUT_OFF_SECONDS}s"\nwait_at_start: "1s"\n'
# Seconds; 5 % for clock drift and 0.1 s for the lag of an event loop.
MAX_LEDGER_AGE = max(CUT_OFF_SECONDS, LEASE_SECONDS) * 1.05 + 0.1
MOVED_VOLUME = "00000003b4d60030"  # moves between existing customers
# each without a customer until one is created
FREE_VOLUMES = [f"00000003b4d600{number}" for number in range(40, 52)]
CHANGE_INTERVAL_SECONDS = (0.2, 0.9)
PAYMENT_UNITS = (5, 20, 60)  # top-ups of the created customers, in units of the price
OUTCOME_UNKNOWN = 0  # status recorded for a call that takes effect at an unknown time


class LedgerChaos(Chaos):
    """One run with changing customers and lost data folders."""

    fault_kinds = [*FAULTS, "lose_folder", "start_cut_off", "start_cut_off"]

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.customers_made = 0  # customers created, each with the next of FREE_VOLUMES
        self.customers = list(VOLUMES)  # every customer whose creation was ever attempted
        self.lost: Counter[str] = Counter()  # credit that lost data folders may have held, by customer
        self.lost_allotments: set[str] = set()
        self.owner_changes: asyncio.Task[None] | None = None

    async def put_customers(self) -> None:
        """Create the first customers, and start the task that creates others and moves a volume."""
        await super().put_customers()
        self.write("ledger_behind", time.time(), seconds=MAX_LEDGER_AGE)
        for name, volume in VOLUMES.items():
            self.write("customer", 0.0, until=0.0, customer=name, volumes=[volume], status=OK)
        self.owner_changes = asyncio.create_task(self.change_owners())

    # -- customers ---------------------------------------------------------------------------------------
    async def change_owners(self) -> None:
        """Create customers, top them up, reassign their volumes and delete them, and move a volume."""
        while not self.stopping:
            await asyncio.sleep(self.draws.uniform(*CHANGE_INTERVAL_SECONDS))
            head = self.random_head()
            if head is None:
                continue
            draw = self.draws.random()
            if self.customers_made < len(FREE_VOLUMES) and (draw < 0.35 or not self.customers_made):
                self.customers_made += 1
                await self.put(head, f"made{self.customers_made}", FREE_VOLUMES[self.customers_made - 1])
                await self.top_up_once(head, f"made{self.customers_made}")
            elif draw < 0.65:
                await self.top_up_once(head, self.draws.choice(self.customers[len(VOLUMES) :]))
            elif draw < 0.8:
                await self.reassign_volume(head)
            elif draw < 0.87:
                await self.delete(head, self.draws.choice(self.customers[len(VOLUMES) :]))
            else:
                customer = self.draws.choice(["acme", "other"])
                await self.put(head, customer, VOLUMES[customer], MOVED_VOLUME)

    async def top_up_once(self, head: HeadProcess, customer: str) -> None:
        """Attempt one top-up without repeating it: the customer may be deleted meanwhile."""
        amount = self.draws.choice(PAYMENT_UNITS) * PRICE
        await self.top_up(head, customer, self.new_id("t"), amount)

    async def reassign_volume(self, head: HeadProcess) -> None:
        """Give the volume of a created customer to a new one, which has paid nothing."""
        number = self.draws.randrange(self.customers_made)
        await self.put(head, f"taker{len(self.customers)}", FREE_VOLUMES[number])

    async def delete(self, head: HeadProcess, customer: str) -> None:
        """Delete a customer; its volumes become free at an unknown time, once its allotments are settled."""
        at = time.time()
        await head.call("DELETE", f"/control/credit/customers/{customer}", {"by": "chaos", "why": "run"})
        self.write("customer", at, until=time.time(), customer=customer, volumes=[], status=OUTCOME_UNKNOWN)

    async def put(self, head: HeadProcess, customer: str, *volumes: str) -> int:
        """Create a customer, or replace its volumes, record the call, and return its status."""
        if customer not in self.customers:
            self.customers.append(customer)
        at = time.time()
        record = {"volumes": list(volumes), "by": "chaos", "why": "run", "low_water": 10 * PRICE}
        status, _ = await head.call("PUT", f"/control/credit/customers/{customer}", record)
        self.write("customer", at, until=time.time(), customer=customer, volumes=volumes, status=status)
        return status

    async def request(self, head: HeadProcess) -> None:
        """Send one request for a volume that has a customer, that moves, or that may get a customer."""
        volume = self.draws.choice(
            [*VOLUMES.values(), MOVED_VOLUME, MOVED_VOLUME, *FREE_VOLUMES[: self.customers_made + 2]]
        )
        await self.request_volume(head, volume)

    async def request_volume(self, head: HeadProcess, volume: str) -> int:
        """Send one request for a volume, record it, and return its status."""
        units = self.draws.randint(1, 4)
        id = self.new_id("r")
        at = time.time()
        status, _ = await head.send_request(id, volume, units=units, deadline=1500)
        charge = units * PRICE
        line = {"id": id, "customer": "", "volume": volume, "charge": charge, "head": head.name}
        self.write("request", at, until=time.time(), status=status, **line)
        return status

    # -- faults ------------------------------------------------------------------------------------------
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
        """The non-voting heads: the agreement's guarantees do not depend on their data."""
        return [name for name in self.fleet.names if name not in self.fleet.voters]

    async def lose_folder(self, head: HeadProcess, duration: float) -> None:
        """Kill a head, cut it off, and restart it without its data folder."""
        if head not in self.fleet.up or len(self.fleet.up) <= 2:
            return
        await head.kill()
        self.cut_off(head)
        # in a task of its own, so that the next fault does not wait for reads of the accounts
        self.restarts.append(asyncio.create_task(self.start_without_folder(min(duration, 1.0), head)))

    async def start_without_folder(self, delay: float, head: HeadProcess) -> None:
        """Delete the data folder of a killed head, recording the credit that it may hold, and restart it.

        The folder is kept if the accounts cannot be read. A head that is killed a second time before it has
        created its folder has lost it already.
        """
        held = await self.unreported_credit(head.name)
        if held is not None and head.disk.exists():
            for customer, allotments in held.items():
                self.lost[customer] += sum(allotments[id] for id in allotments.keys() - self.lost_allotments)
                self.lost_allotments.update(allotments)
            shutil.rmtree(head.disk)
            self.write("folder_lost", time.time(), head=head.name)
        await self.start_after(delay, head)

    async def start_cut_off(self, head: HeadProcess, duration: float) -> None:
        """Kill a head, cut it off from all others, and restart it."""
        if len(self.fleet.up) > 2:
            await head.kill()
            self.cut_off(head)
            self.restarts.append(asyncio.create_task(self.start_after(min(duration, 1.0), head)))

    def cut_off(self, head: HeadProcess) -> None:
        """Cut a head off from all others."""
        others = [name for name in self.fleet.names if name != head.name]
        self.fleet.relay.split([head.name], others)

    async def unreported_credit(self, name: str) -> dict[str, dict[str, int]] | None:
        """Return the credit that a killed head may have spent unreported, by customer and allotment.

        None if an account cannot be read.
        """
        held = {}
        for customer in self.customers:
            account = await self.read_account(customer)
            if account is None:
                return None
            out = {id: each for id, each in account.get("out", {}).items() if each["head"] == name}
            held[customer] = {id: each["amount"] - each["spent"] for id, each in out.items()}
        return held

    # -- the end -----------------------------------------------------------------------------------------
    async def settle(self, healed: float, in_touch: float) -> None:
        """Settle as in every run, and settle the created customers too."""
        assert self.owner_changes is not None
        await self.owner_changes
        await super().settle(healed, in_touch)
        for customer in self.customers[len(VOLUMES) :]:
            account = await self.fleet.until(
                lambda customer=customer: self.settled_or_deleted(customer), f"{customer} settled"
            )
            if "paid" in account:
                figures = {key: account[key] for key in ("paid", "charged", "balance")}
                self.write("settled", time.time(), customer=customer, lost=self.lost[customer], **figures)

    async def settled_or_deleted(self, customer: str) -> dict[str, Any] | None:
        """Return an account without outstanding allotments, or a marker that it is deleted; None before."""
        account = await self.read_account(customer)
        if account is None or account.get("out"):
            return None
        return account or {"deleted": True}
