"""Run clients, payers and rule editors while random faults are injected, all drawn from a seed."""

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
DETECTION_TIMEOUT = 15.0  # seconds that the other heads have to see a killed one as failed
FAULTS = ["kill", "kill_leader", "split", "one_way", "pause", "loss", "heal", "heal"]
CLIENT_COUNT = 6  # clients that send requests


class Chaos(HistoryClients):
    """One run of clients and random faults."""

    fault_kinds = FAULTS

    def __init__(self, fleet: ProcessFleet, seed: int, file: Path) -> None:
        super().__init__(fleet, seed, file)
        self.faults: list[str] = []  # time and kind of each injected fault, for the report
        self.restarts: list[asyncio.Task[None]] = []  # pending restarts of killed heads
        self.faults_over = asyncio.Event()
        self.fault_task: asyncio.Task[None] | None = None

    # -- faults ------------------------------------------------------------------------------------------
    async def inject_faults(self) -> None:
        """Inject faults until `faults_over` is set; faults may overlap, and killed heads are restarted.

        The loop ends between two faults: cancelling the task within one would leave a killed head down.
        """
        while not await set_within(self.faults_over, self.draws.uniform(0.3, 2.0)):
            fault = self.draws.choice(self.fault_kinds)
            duration = self.draws.uniform(0.2, 5.0)
            self.faults.append(f"{time.time():.2f} {fault}")
            head = self.random_head()
            if head is None:
                fault = "heal"
            await self.inject(fault, head, duration)

    async def inject(self, fault: str, head: HeadProcess | None, duration: float) -> None:
        """Inject one fault; faults of a single head apply to `head`."""
        match fault:
            case "kill" | "kill_leader":
                await self.kill(head, fault == "kill_leader", duration)
            case "pause":
                await self.pause(head, duration)
            case _:
                self.inject_network_fault(fault)

    def inject_network_fault(self, fault: str) -> None:
        """Heal, cut or degrade the links between heads."""
        draws = self.draws
        relay = self.fleet.relay
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
                relay.set_all_links(loss=draws.uniform(0, 0.3), delay=draws.uniform(0, 0.1), duplication=0.2)

    async def kill(self, head: HeadProcess, leader: bool, duration: float) -> None:
        """Kill a head, or the leader that it knows, and restart it later; at least two heads stay up."""
        status = await head.status()
        victim = self.fleet.heads.get(status.get("leader") or "") if leader else head
        if victim in self.fleet.up and len(self.fleet.up) > 2:
            await victim.kill()
            self.restarts.append(asyncio.create_task(self.start_after(duration, victim)))

    async def pause(self, head: HeadProcess, duration: float) -> None:
        """Pause a head with SIGSTOP for a while; at least two heads stay up."""
        if len(self.fleet.up) > 2:
            head.signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            head.signal(signal.SIGCONT)

    async def start_after(self, delay: float, head: HeadProcess) -> None:
        """Restart a head after a delay."""
        await asyncio.sleep(delay)
        await head.start(ready=False)

    # -- a whole run -------------------------------------------------------------------------------------
    async def run(self, seconds: float, detect: bool) -> History:
        """Run for a time, wait until the fleet has settled, and return the history."""
        await self.put_customers()
        await self.fleet.until_all_applied()
        clients = [self.client() for _ in range(CLIENT_COUNT)]
        clients += [self.payer(), self.payer(), self.editor("ann"), self.editor("bob")]
        tasks = [asyncio.create_task(client) for client in clients]
        self.start_faults()
        await asyncio.sleep(seconds)
        await self.stop_faults()
        healed = time.time()
        await self.fleet.until_all_connected()
        in_touch = time.time()
        await asyncio.sleep(1.0)
        self.stopping = True
        await asyncio.gather(*tasks)
        await self.settle(healed, in_touch)
        if detect:
            await self.record_detection()
        self.history_file.close()
        return read_history(self.file, {head.name: head.logs for head in self.fleet})

    async def put_customers(self) -> None:
        """Create all customers, without any top-up."""
        for name, volume in VOLUMES.items():
            customer = {"volumes": [volume], "by": "chaos", "why": "run", "low_water": 10 * PRICE}
            status, answer = await self.fleet["h0"].call("PUT", f"/control/credit/customers/{name}", customer)
            assert status == 200, answer

    def start_faults(self) -> None:
        """Start injecting faults."""
        self.fault_task = asyncio.create_task(self.inject_faults())

    async def stop_faults(self) -> None:
        """Wait for the current fault to end, heal the network, and wait for pending restarts.

        Raises:
            HeadsDownError: A head is not up, now or while a later state is awaited.
        """
        assert self.fault_task is not None
        self.faults_over.set()
        await self.fault_task
        self.fleet.relay.heal()
        await asyncio.gather(*self.restarts)
        self.fleet.required = self.fleet.names
        self.fleet.check_required()

    async def record_detection(self) -> None:
        """Record a span without faults, then kill one head, so that the judge can check the detectors."""
        await asyncio.sleep(5)  # suspicions caused by the faults have cleared
        began = time.time()
        await asyncio.sleep(4)
        self.write("calm", began, until=time.time())
        self.fleet.required = []
        victim = self.fleet[self.fleet.names[-1]]
        witnesses = [head.name for head in self.fleet if head is not victim]
        await victim.kill()
        killed = time.time()
        await asyncio.sleep(DETECTION_TIMEOUT)
        self.write(
            "down",
            killed,
            until=time.time(),
            head=victim.name,
            witnesses=witnesses,
            detect_within=DETECTION_TIMEOUT - 1,
        )
