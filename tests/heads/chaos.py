"""Clients, payers and editors beside random faults, from a seed."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from stoatrouter.lab.histories.history import History, read_history
from tests.heads.history_clients import PRICE, VOLUMES, HistoryClients
from tests.heads.processes import HeadProcess, ProcessFleet
from tests.story_tasks import set_within

CHAOS_SETTINGS = (
    'credit: {prices: {"score-read": 1000, "event-write": 1000, "stats-export": 1000}, lease: "2s"}\n'
    'rules: {check_within: "2s", versions: 5000}\n'
)
DETECT_WITHIN = 15.0  # seconds
FAULTS = ["kill", "kill_leader", "split", "one_way", "pause", "loss", "heal", "heal"]
CLIENTS = 6


class Chaos(HistoryClients):
    """One run."""

    faults_drawn = FAULTS

    def __init__(self, fleet: ProcessFleet, seed: int, file: Path) -> None:
        super().__init__(fleet, seed, file)
        self.faults: list[str] = []  # for the report
        self.restarts: list[asyncio.Task[None]] = []  # the starts that are owed to heads that were killed
        self.faults_over = asyncio.Event()
        self.breaking: asyncio.Task[None] | None = None

    # -- faults -------------------------------------------------------------------------------------------
    async def break_things(self) -> None:
        """Inject one fault after the other, some on top of others; most heads come back at once.

        It ends between two faults: a task that is cancelled within one leaves the head that it killed dead.
        """
        while not await set_within(self.faults_over, self.draws.uniform(0.3, 2.0)):
            fault = self.draws.choice(self.faults_drawn)
            duration = self.draws.uniform(0.2, 5.0)
            self.faults.append(f"{time.time():.2f} {fault}")
            head = self.random_head()
            if head is None:
                fault = "heal"
            await self.inject(fault, head, duration)

    async def inject(self, fault: str, head: HeadProcess | None, duration: float) -> None:
        """Inject one fault, of this head where it is a head's."""
        match fault:
            case "kill" | "kill_leader":
                await self.kill(head, fault == "kill_leader", duration)
            case "pause":
                await self.pause(head, duration)
            case _:
                self.disturb_network(fault)

    def disturb_network(self, fault: str) -> None:
        """Heal, cut or worsen the paths between heads."""
        draws, relay = self.draws, self.fleet.relay
        match fault:
            case "heal":
                relay.heal()
            case "split":
                names = self.fleet.names[:]
                draws.shuffle(names)
                cut = draws.randint(1, len(names) - 1)
                relay.split(names[:cut], names[cut:])
            case "one_way":
                relay.cut(*draws.sample(self.fleet.names, 2), both=False)
            case _:
                relay.all_ways(loss=draws.uniform(0, 0.3), delay=draws.uniform(0, 0.1), twice=0.2)

    async def kill(self, head: HeadProcess, leader: bool, duration: float) -> None:
        """Kill a head, or the leader that it knows, and start it again later; two at least stay up."""
        status = await head.status()
        victim = self.fleet.heads.get(status.get("leader") or "") if leader else head
        if victim in self.fleet.up and len(self.fleet.up) > 2:
            await victim.kill()
            self.restarts.append(asyncio.create_task(self.start_after(duration, victim)))

    async def pause(self, head: HeadProcess, duration: float) -> None:
        """Stop a head for a while; two at least stay up."""
        if len(self.fleet.up) > 2:
            head.signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            head.signal(signal.SIGCONT)

    async def start_after(self, delay: float, head: HeadProcess) -> None:
        """Start a head again after a delay."""
        await asyncio.sleep(delay)
        await head.start(ready=False)

    # -- a whole run --------------------------------------------------------------------------------------
    async def run(self, seconds: float, detect: bool) -> History:
        """Play for a time, let all settle, and return the history."""
        await self.put_customers()
        await self.fleet.until_all_applied()
        askers = [self.client() for _ in range(CLIENTS)]
        askers += [self.payer(), self.payer(), self.editor("ann"), self.editor("bob")]
        tasks = [asyncio.create_task(asker) for asker in askers]
        self.begin_faults()
        await asyncio.sleep(seconds)
        await self.end_faults()
        healed = time.time()
        await self.fleet.until_all_connected()
        in_touch = time.time()
        await asyncio.sleep(1.0)
        self.stopping = True
        await asyncio.gather(*tasks)
        await self.settle(healed, in_touch)
        if detect:
            await self.detect()
        self.history_file.close()
        return read_history(self.file, {head.name: head.logs for head in self.fleet})

    async def put_customers(self) -> None:
        """Make all customers; nothing is paid in yet."""
        for name, volume in VOLUMES.items():
            customer = {"volumes": [volume], "by": "chaos", "why": "run", "low_water": 10 * PRICE}
            status, answer = await self.fleet["h0"].call("PUT", f"/control/credit/customers/{name}", customer)
            assert status == 200, answer

    def begin_faults(self) -> None:
        """Begin to inject faults."""
        self.breaking = asyncio.create_task(self.break_things())

    async def end_faults(self) -> None:
        """Wait for the fault that has begun, heal the network, and wait for heads that start again.

        Raises:
            HeadsDownError: A head is not up, now or at a later wait.
        """
        assert self.breaking is not None
        self.faults_over.set()
        await self.breaking
        self.fleet.relay.heal()
        await asyncio.gather(*self.restarts)
        self.fleet.required = self.fleet.names
        self.fleet.check_required()

    async def detect(self) -> None:
        """Write a span without faults, then kill one head, for the judge of what the detectors saw."""
        await asyncio.sleep(5)  # suspicions that the faults left are over
        began = time.time()
        await asyncio.sleep(4)
        self.write("calm", began, until=time.time())
        self.fleet.required = []
        victim = self.fleet[self.fleet.names[-1]]
        witnesses = [head.name for head in self.fleet if head is not victim]
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
