"""One seed of the soak: heads of the real program, stand-ins, disturbances and ends, judged afterwards."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from stoatrouter.lab.histories.requests import Guarantees, check_requests
from tests.fleet_stand_ins import History
from tests.fleet_story import CLASSES_BY_NAME, GRACE, recorded, stand_ins
from tests.peers import PARALLEL_ATTEMPTS
from tests.soak.children import Child
from tests.soak.ends import HeadRestarter, SoakHead, stop_all
from tests.soak.lag import measured
from tests.soak.node_questions import NodeQuestions
from tests.soak.plan import JUDGE_SLACK, Disturbance, Kind, Pressure, pressure_of
from tests.soak.report import Finding, SeedReport, Usage
from tests.soak.stand_ins import SoakNode

HEADS = 3
NODES = 18
DRAINED_NODES = 3  # at once
TWO_HEADS_PROBABILITY = 0.3  # probability that two heads are ended at once
CLIENTS_PER_HEAD = 8  # unless a run sets another number
CLIENT_PROCESSES = 2
CROWD_NAME = "crowd"
PRESSURE_NAME = "pressure"
UNJUDGED_CHILDREN = (CROWD_NAME, PRESSURE_NAME)  # those whose clocks the judge does not use
CROWD_SIZE = 1_100  # idle clients of each head, whose limit is 1,024 descriptors
DRAIN_SECONDS = GRACE + 1.0
OUTAGE_SECONDS = 1.5
MEMORY_INTERVAL = 0.25  # seconds between two samples
QUIET_SECONDS = 1.0  # without clients, at the end


class Soak:
    """The run of one seed."""

    def __init__(
        self,
        folder: Path,
        report: SeedReport,
        seconds: float,
        prelude: str = "",
        clients: int = CLIENTS_PER_HEAD,
    ) -> None:
        seed = report.seed
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.kind = report.kind
        self.pressure = pressure_of(seed)
        self.report = report
        self.clients = clients
        self.history = History()
        self.draws = random.Random(f"soak/{seed}")
        self.nodes = [SoakNode(f"n{i}", i % 2, seed, self.history) for i in range(NODES)]
        inherits = self.kind is Kind.UPGRADE
        self.heads = [
            SoakHead(f"h{i}", folder, self.nodes, self.history, prelude, inherits, seed) for i in range(HEADS)
        ]
        self.children: list[Child] = []
        self.stalls: dict[str, float] = {}  # seconds by child; stalls that a test forces
        self.restarter = HeadRestarter(seed, self.history, self.report, HEADS)

    async def play(self) -> None:
        """Run the seed and judge it."""
        try:
            async with measured(self.report.lag_of("story")), stand_ins([], self.heads):
                nodes = await self.start_nodes()
                if all(await asyncio.gather(*(self.restarter.start(head) for head in self.heads))):
                    self.report.before = self.usage()
                    await self.run_load()
                self.restarter.questions.close()
                stop_all(self.heads)
                result = await self.end_child("nodes", nodes)
                self.report.second_answers = result["second_answers"]
        finally:
            stop_all(self.heads)
            for child in self.children:
                child.stop()
        self.judge()

    async def start_nodes(self) -> Child:
        """Start the process of the nodes."""
        nodes = await self.child("tests.soak.node_process")
        named = [(node.name, node.cell) for node in self.nodes]
        addresses = await nodes.begin(seed=self.seed, nodes=named, stall=self.stalls.get("nodes"))
        for node, address in zip(self.nodes, addresses["nodes"], strict=True):
            node.address = address
        self.restarter.questions = NodeQuestions(addresses["questions"])
        return nodes

    async def start_clients(self) -> dict[str, Child]:
        """Start the processes of all clients, and of the idle ones if the seed has them."""
        started: dict[str, Child] = {}
        heads = [asdict(head.address) for head in self.heads]
        for process in range(CLIENT_PROCESSES):
            name = f"clients {process}"
            started[name] = await self.child("tests.soak.client_process")
            await started[name].begin(
                seed=self.seed,
                heads=heads,
                numbers=list(range(process, self.clients * HEADS, CLIENT_PROCESSES)),
                questions=self.restarter.questions.address,
                stall=self.stalls.get(name),
            )
        if self.kind is Kind.CROWD:
            started[CROWD_NAME] = await self.child("tests.soak.crowd_process")
            await started[CROWD_NAME].begin(heads=heads, size=CROWD_SIZE)
        if self.pressure is not Pressure.NONE:
            started[PRESSURE_NAME] = await self.child("tests.soak.pressure_process")
            await started[PRESSURE_NAME].begin(heads=heads, pressure=self.pressure)
        return started

    async def run_load(self) -> None:
        """Run clients with disturbances and ends; at the end wait until their requests are done."""
        sampling = asyncio.create_task(self.sample_memory())
        clients = await self.start_clients()
        ends = time.monotonic() + self.seconds
        while time.monotonic() < ends and not self.report.found()[Finding.NOT_READY]:
            await self.disturb_and_end()
        await asyncio.gather(*(self.end_child(name, child) for name, child in clients.items()))
        await asyncio.sleep(QUIET_SECONDS)
        self.report.after = self.usage()
        sampling.cancel()

    async def sample_memory(self) -> None:
        """Record the most memory that any process of a head holds, until cancelled."""
        while True:
            for head in self.heads:
                for process in head.spawned:
                    if process.returncode is None:
                        self.report.note_memory(Usage.of(process.pid).memory)
            await asyncio.sleep(MEMORY_INTERVAL)

    async def child(self, module: str) -> Child:
        """Start a child process, which is ended with the run."""
        self.children.append(await Child.start(module))
        return self.children[-1]

    async def end_child(self, name: str, child: Child) -> dict[str, Any]:
        """End a child, and add its history and lag to the results."""
        result = await child.end()
        self.history.lines += result.get("lines", [])
        if name not in UNJUDGED_CHILDREN:
            self.report.lags[name] = result["lag"]
        return result

    def usage(self) -> list[Usage]:
        """Return the present resource usage of the heads."""
        return [Usage.of(head.process.pid) for head in self.heads if head.process is not None]

    # -- disturbances and ends ---------------------------------------------------------------------------
    async def disturb_and_end(self) -> None:
        """Disturb all heads, and end one of them or two at once."""
        descriptors = max(usage.descriptors for usage in self.usage())
        self.report.max_descriptors = max(self.report.max_descriptors, descriptors)
        disturbance = self.draws.choice(list(Disturbance))
        drained = self.draws.sample(self.nodes, DRAINED_NODES)
        agents = [head.agent for head in self.heads]
        for agent in agents:
            if disturbance is Disturbance.SILENT_WATCHES:
                agent.fall_silent()
            if disturbance in (Disturbance.RESET_WATCHES, Disturbance.OUTAGE):
                agent.reset_watches()
            agent.down = disturbance is Disturbance.OUTAGE
        if disturbance is not Disturbance.OUTAGE:
            for node in drained:
                node.phase = "DRAINING"
                for agent in agents:
                    agent.push(node)
        ended = self.draws.sample(self.heads, 2 if self.draws.random() < TWO_HEADS_PROBABILITY else 1)
        await asyncio.gather(
            *(self.end_one(head) for head in ended), self.end_disturbance(disturbance, drained)
        )

    async def end_disturbance(self, disturbance: Disturbance, drained: list[SoakNode]) -> None:
        """End a disturbance after a while."""
        await asyncio.sleep(OUTAGE_SECONDS if disturbance is Disturbance.OUTAGE else DRAIN_SECONDS)
        for node in drained:
            node.phase = "SERVING"
        for head in self.heads:
            if head.agent.down:
                head.agent.down = False
                continue
            for node in drained:
                head.agent.push(node)

    async def end_one(self, head: SoakHead) -> None:
        """End a head that has requests at nodes, in a random way, and restart it."""
        assert head.process is not None
        await self.until_busy(head)
        if self.kind is Kind.UPGRADE:
            return await self.restarter.upgrade(head)
        if self.draws.random() < 0.15:
            await self.restarter.kill(head)
        else:
            await self.restarter.end(head, head.process)
        if self.draws.random() < 0.3:
            await self.restarter.end_early(head)
        await self.restarter.start(head)

    async def until_busy(self, head: SoakHead) -> None:
        """Wait up to 2 s until a head has two requests at nodes."""
        deadline = time.monotonic() + 2.0
        while await self.restarter.questions.in_flight(head.name) < 2 and time.monotonic() < deadline:
            await asyncio.sleep(0.005)

    def write_history(self) -> None:
        """Write the judged history in the order of time, for the analysis of findings."""
        ordered = sorted(self.history.lines, key=lambda line: line["at"])
        lines = [msgspec.json.encode(line) + b"\n" for line in ordered]
        (self.folder / "history.jsonl").write_bytes(b"".join(lines))

    # -- judgement ---------------------------------------------------------------------------------------
    def judge(self) -> None:
        """Judge what clients, nodes and discovery saw, and count tracebacks in the logs."""
        self.history.lines += recorded(self.heads)
        self.write_history()
        terms = Guarantees(
            CLASSES_BY_NAME,
            {node.name: node.cell for node in self.nodes},
            GRACE,
            slack=JUDGE_SLACK,
            parallel_attempts=PARALLEL_ATTEMPTS,
        )
        verdict = check_requests(self.history.lines, terms)
        self.report.read_late = verdict.read_late
        for violation in verdict.violations:
            self.report.add_violation(violation)
        self.report.judge_memory()
        add_tracebacks(self.report, list(self.folder.glob("h*.log")))
        answered = (line["status"] for line in self.history.lines if line["what"] == "answered")
        self.report.answers = Counter(str(status) for status in answered)


def add_tracebacks(report: SeedReport, logs: list[Path]) -> None:
    """Add a finding for each log that has tracebacks."""
    for log in logs:
        count = log.read_text(errors="replace").count("Traceback (most recent call last)")
        if count:
            report.add(Finding.TRACEBACK, f"{count} in {log.name}")
