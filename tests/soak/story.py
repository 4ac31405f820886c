"""One seed of the soak: heads of the real program, stand-ins, disturbances, ends; judged after the fact."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from stoatrouter.lab.histories.requests import Terms, examine
from tests.fleet_stand_ins import History
from tests.fleet_story import CLASSES_BY_NAME, GRACE, recorded, stand_ins
from tests.soak.children import Child
from tests.soak.ends import Ender, SoakHead, stop_all
from tests.soak.lag import measured
from tests.soak.node_questions import NodeQuestions
from tests.soak.plan import SLACK, Disturbance, Kind
from tests.soak.report import Finding, SeedReport, Usage
from tests.soak.stand_ins import SoakNode

HEADS, NODES = 3, 18
DRAINED = 3  # nodes at once
TWO_AT_ONCE = 0.3  # of the turns end two heads
CLIENTS_PER_HEAD = 8  # of each head, where a story names no number
CLIENT_PROCESSES = 2
CROWD_NAME = "crowd"
CROWD = 1_100  # idle clients of each head, which may hold 1,024 descriptors
DRAINED_FOR = GRACE + 1.0  # seconds
OUTAGE = 1.5  # seconds
QUIET = 1.0  # seconds at the end, without clients


class Soak:
    """One seed."""

    def __init__(
        self,
        folder: Path,
        report: SeedReport,
        seconds: float,
        prelude: str = "",
        clients: int = CLIENTS_PER_HEAD,
    ) -> None:
        seed = report.seed
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.kind, self.report, self.clients = report.kind, report, clients
        self.history, self.draws = History(), random.Random(f"soak/{seed}")
        self.nodes = [SoakNode(f"n{i}", i % 2, seed, self.history) for i in range(NODES)]
        inherits = self.kind is Kind.UPGRADE
        self.heads = [
            SoakHead(f"h{i}", folder, self.nodes, self.history, prelude, inherits) for i in range(HEADS)
        ]
        self.children: list[Child] = []
        self.stalls: dict[str, float] = {}  # seconds, forced in children for a test
        self.ender = Ender(seed, self.history, self.report, HEADS)

    async def play(self) -> None:
        """Play the story and judge it."""
        try:
            async with measured(self.report.lag_of("story")), stand_ins([], self.heads):
                nodes = await self.start_nodes()
                if all(await asyncio.gather(*(self.ender.start(head) for head in self.heads))):
                    self.report.before = self.usage()
                    await self.play_before()
                self.ender.questions.close()
                stop_all(self.heads)
                result = await self.end_child("nodes", nodes)
                self.report.second_answers = result["second_answers"]
        finally:
            stop_all(self.heads)
            for child in self.children:
                child.stop()
        self.judge()

    async def start_nodes(self) -> Child:
        """Start the nodes."""
        nodes = await self.child("tests.soak.node_process")
        named = [(node.name, node.cell) for node in self.nodes]
        addresses = await nodes.begin(seed=self.seed, nodes=named, stall=self.stalls.get("nodes"))
        for node, address in zip(self.nodes, addresses["nodes"], strict=True):
            node.address = address
        self.ender.questions = NodeQuestions(addresses["questions"])
        return nodes

    async def start_clients(self) -> dict[str, Child]:
        """Start all clients, and the crowd."""
        started: dict[str, Child] = {}
        heads = [asdict(head.address) for head in self.heads]
        for process in range(CLIENT_PROCESSES):
            name = f"clients {process}"
            started[name] = await self.child("tests.soak.client_process")
            await started[name].begin(
                seed=self.seed,
                heads=heads,
                numbers=list(range(process, self.clients * HEADS, CLIENT_PROCESSES)),
                questions=self.ender.questions.address,
                stall=self.stalls.get(name),
            )
        if self.kind is Kind.CROWD:
            started[CROWD_NAME] = await self.child("tests.soak.crowd_process")
            await started[CROWD_NAME].begin(heads=heads, size=CROWD)
        return started

    async def play_before(self) -> None:
        """Run clients beside disturbances and ends; at the end clients finish what they have asked."""
        clients = await self.start_clients()
        ends = time.monotonic() + self.seconds
        while time.monotonic() < ends and not self.report.found()[Finding.NOT_READY]:
            await self.disturb_and_end()
        await asyncio.gather(*(self.end_child(name, child) for name, child in clients.items()))
        await asyncio.sleep(QUIET)
        self.report.after = self.usage()

    async def child(self, module: str) -> Child:
        """Start a process beside this one, which ends with the story."""
        self.children.append(await Child.start(module))
        return self.children[-1]

    async def end_child(self, name: str, child: Child) -> dict[str, Any]:
        """End a child, and join its history to this one."""
        result = await child.end()
        self.history.lines += result.get("lines", [])
        if name != CROWD_NAME:
            self.report.lags[name] = result["lag"]
        return result

    def usage(self) -> list[Usage]:
        """What the heads hold now."""
        return [Usage.of(head.process.pid) for head in self.heads if head.process is not None]

    # -- disturbances and ends ----------------------------------------------------------------------------
    async def disturb_and_end(self) -> None:
        """Disturb all heads, and end one of them, or two at once."""
        held = max(usage.descriptors for usage in self.usage())
        self.report.most_descriptors = max(self.report.most_descriptors, held)
        disturbance = self.draws.choice(list(Disturbance))
        drained = self.draws.sample(self.nodes, DRAINED)
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
        ended = self.draws.sample(self.heads, 2 if self.draws.random() < TWO_AT_ONCE else 1)
        await asyncio.gather(
            *(self.end_one(head) for head in ended), self.end_disturbance(disturbance, drained)
        )

    async def end_disturbance(self, disturbance: Disturbance, drained: list[SoakNode]) -> None:
        """Set right what was disturbed, after a while."""
        await asyncio.sleep(OUTAGE if disturbance is Disturbance.OUTAGE else DRAINED_FOR)
        for node in drained:
            node.phase = "SERVING"
        for head in self.heads:
            if head.agent.down:
                head.agent.down = False
                continue
            for node in drained:
                head.agent.push(node)

    async def end_one(self, head: SoakHead) -> None:
        """End a head in one way or another, with requests at nodes, and start it again."""
        assert head.process is not None
        await self.until_busy(head)
        if self.kind is Kind.UPGRADE:
            return await self.ender.upgrade(head)
        if self.draws.random() < 0.15:
            await self.ender.kill(head)
        else:
            await self.ender.end(head, head.process)
        if self.draws.random() < 0.3:
            await self.ender.end_early(head)
        await self.ender.start(head)

    async def until_busy(self, head: SoakHead) -> None:
        """Wait until requests of a head are at nodes, not for long."""
        deadline = time.monotonic() + 2.0
        while await self.ender.questions.in_flight(head.name) < 2 and time.monotonic() < deadline:
            await asyncio.sleep(0.005)

    def write_history(self) -> None:
        """Keep what was judged, in the order of time, for whoever traces a finding."""
        ordered = sorted(self.history.lines, key=lambda line: line["at"])
        lines = [msgspec.json.encode(line) + b"\n" for line in ordered]
        (self.folder / "history.jsonl").write_bytes(b"".join(lines))

    # -- the verdict --------------------------------------------------------------------------------------
    def judge(self) -> None:
        """Judge what clients, nodes and discovery saw, and what the logs say of errors in the program."""
        self.history.lines += recorded(self.heads)
        self.write_history()
        terms = Terms(CLASSES_BY_NAME, {node.name: node.cell for node in self.nodes}, GRACE, slack=SLACK)
        verdict = examine(self.history.lines, terms)
        self.report.read_late = verdict.read_late
        for violation in verdict.violations:
            self.report.add_violation(violation)
        add_tracebacks(self.report, list(self.folder.glob("h*.log")))
        answered = (line["status"] for line in self.history.lines if line["what"] == "answered")
        self.report.answers = Counter(str(status) for status in answered)


def add_tracebacks(report: SeedReport, logs: list[Path]) -> None:
    """Count errors in the program as its logs show them."""
    for log in logs:
        count = log.read_text(errors="replace").count("Traceback (most recent call last)")
        if count:
            report.add(Finding.TRACEBACK, f"{count} in {log.name}")
