"""Random events for two schedulers side by side: one with the node index, one that scans all nodes.

Both get the same events at the same times; it is an error if their actions differ.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import methodcaller
from typing import Any

from stoatrouter.policy import Scheduler
from stoatrouter.policy import interface as api
from stoatrouter.policy.handover import hand_over, take_over
from stoatrouter.policy.node_index import NodeIndex

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
START = 1_000 * SECOND
COLD_TIME = 6 * SECOND
CLASSES = (
    api.RequestClass(
        "read", priority_weight=3, latency_objective=250 * MS, deadline=2 * SECOND, late_weight_factor=0.2
    ),
    api.RequestClass(
        "event", 3, 400 * MS, 2 * SECOND, 0.2, api.Effect.IDEMPOTENT, api.Group.ZONE, 3 * SECOND, writes=True
    ),
    api.RequestClass(
        "export",
        priority_weight=1,
        latency_objective=SECOND,
        deadline=3 * SECOND,
        late_weight_factor=0.2,
        ordered_by_key=True,
    ),
)
RULES = api.Rules(
    drain_grace=SECOND,
    warm_up_from=0.3,
    warm_up_time=COLD_TIME,
    warm_up_units=8,
    overload_window=2 * SECOND,
    key_hold_down=200 * MS,
)
SETTINGS = api.Settings(
    CLASSES,
    (api.Plan("plan", 20, 20), api.Plan("small", 5, 2, limit=40, burst=10, tolerance=5)),
    RULES,
    hosts=8,
    host_index=3,
    max_attempts=3,
    health_checks=True,
    max_units=4,
    report_fields=("queue",),
    must_subscribe=True,
)


class ScannedNodes(NodeIndex):
    """The reference for the index: scans all nodes each time and keeps no state."""

    def listed(self) -> int:
        return sum(node.phase is not api.Phase.GONE for node in self.values())

    def of_shard(self, shard: int) -> Iterator[Any]:
        return (node for node in self.values() if shard in (node.shard, -1))

    def forget_gone(self, unused: Callable[[Any], bool]) -> None:
        for node in [n for n in self.values() if n.phase is api.Phase.GONE and unused(n)]:
            del self[node.id]

    def due(self, now: int) -> list[Any]:
        return list(self.values())

    def mark_idle(self, node: Any, now: int, until: int) -> None:
        pass

    def writers(self) -> list[Any]:
        return list(self.values())

    def least_loaded(
        self, now: int, capacity_fraction: Callable[[Any, int], float], draw: float
    ) -> Any | None:
        scores = {
            node: self.load(node) / capacity_fraction(node, now) for node in self.values() if is_on(node)
        }
        equal = [node for node, score in scores.items() if score == min(scores.values())]
        return equal[int(draw * len(equal))] if equal else None


def is_on(node: Any) -> bool:
    return node.phase is api.Phase.ON


class ActionsDiffer(AssertionError):
    """The two schedulers returned different actions."""


@dataclass
class Scenario:
    """One sequence of events, drawn from a seed."""

    seed: int
    index: type[NodeIndex] = NodeIndex
    count: int = 24
    new_data_fraction: float = 0.3  # part of the requests that is for new data, which any node may take
    now: int = START
    queue: list[tuple[int, int, api.Event]] = field(default_factory=list)
    sends: int = 0
    kinds: set[type] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = random.Random(f"story/{self.seed}")
        self.numbers = itertools.count()
        self.attempts: dict[str, int] = {}
        self.entries = [self.new_entry(i) for i in range(self.count)]
        self.schedulers = self.new_schedulers()
        self.deliver(api.EndpointList(api.ListKind.RESTORED, tuple(self.entries)))

    def new_schedulers(self) -> list[Scheduler]:
        schedulers = []
        for table in (self.index, ScannedNodes):
            scheduler = Scheduler(SETTINGS, self.seed)
            scheduler.state.nodes = table(COLD_TIME, methodcaller("load"))
            schedulers.append(scheduler)
        return schedulers

    def new_entry(self, i: int, up_since: int = 0) -> api.NodeEntry:
        return api.NodeEntry(f"n{i}", i % max(1, self.count // 3), i % 2, up_since=up_since)

    def deliver(self, event: api.Event) -> None:
        """Deliver an event to both schedulers; raises ActionsDiffer if their actions are not equal."""
        indexed, scanned = (list(s.handle(self.now, event)) for s in self.schedulers)
        if indexed != scanned:
            raise ActionsDiffer(
                f"seed {self.seed} at {self.now - START}: {event}: {indexed}, by scans {scanned}"
            )
        self.kinds |= {type(action) for action in indexed}
        for action in indexed:
            self.schedule_result(action)

    def schedule_result(self, action: api.Action) -> None:
        """Schedule the event that an action leads to."""
        match action:
            case api.SetTimer():
                self.schedule(action.after, api.TimerFired(action.token))
            case api.Send():
                self.sends += 1
                attempt = self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.schedule(*self.random_outcome(action, attempt))
            case api.CheckHealth():
                load = {"queue": float(self.random.randrange(20))}
                self.schedule(20 * MS, api.HealthCheckEnded(action.node, api.Outcome.OK, 20 * MS, load))

    def random_outcome(self, send: api.Send, attempt: int) -> tuple[int, api.Event]:
        """Return how long an attempt takes and the event that ends it."""
        outcomes = list(api.Outcome)
        weights = [2, 80, 6, 4, 3, 2, 0, 1, 2]
        (outcome,) = self.random.choices(outcomes, weights)
        max_latency = 900 if self.random.random() < 0.1 else 60  # milliseconds
        latency = self.random.randrange(2, max_latency) * MS
        ended = api.AttemptEnded(
            send.request, attempt, send.node, outcome, latency, outcome is api.Outcome.OK, units_by_others=0.1
        )
        return latency, ended

    def schedule(self, after: int, event: api.Event) -> None:
        heapq.heappush(self.queue, (self.now + max(0, after), next(self.numbers), event))

    # -- random events ------------------------------------------------------------------------------------
    def run(self, steps: int) -> Scenario:
        for _ in range(steps):
            self.advance(self.random.randrange(1, 60) * MS)
            self.random_event()
        return self

    def advance(self, span: int) -> None:
        until = self.now + span
        while self.queue and self.queue[0][0] <= until:
            at, _, event = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            self.deliver(event)
        self.now = until

    def random_event(self) -> None:
        draw = self.random.random()
        if draw < 0.85:
            for _ in range(self.random.choice((1, 1, 2, 6))):
                self.deliver(self.random_request())
        elif draw < 0.95:
            self.change_nodes()
        elif draw < 0.96:
            self.queue = [(at + SECOND, number, event) for at, number, event in self.queue]
            self.now += SECOND  # the process did not run
        elif draw < 0.97:
            self.advance(9 * SECOND)  # without requests, so that nodes become idle
        elif draw < 0.98:
            self.hand_over_to_next_process()
        elif draw < 0.99:
            self.deliver(api.EndpointList(api.ListKind.UNAVAILABLE))
        else:
            gone = self.random.choice(sorted(self.attempts) or ["r0"])
            self.deliver(api.ClientGone(gone))

    def random_request(self) -> api.RequestArrived:
        number = next(self.numbers)
        is_new_data = self.random.random() < self.new_data_fraction
        shard = -1 if is_new_data else self.random.randrange(max(1, self.count // 3))
        return api.RequestArrived(
            f"r{number}",
            f"v{self.random.randrange(6)}",
            self.random.randrange(2),
            self.random.randrange(3),
            shard,
            self.random.choice((300 * MS, 2 * SECOND)),
            self.random.choice((1.0, 2.0, 4.0)),
            key=self.random.choice((None, "a", "b")),
            write=self.random.random() < 0.2,
        )

    def change_nodes(self) -> None:
        """Let nodes drain, go, come back cold or join; delivered as changes or as a full list."""
        for _ in range(self.random.choice((1, 1, 3))):
            i = self.random.randrange(len(self.entries))
            entry = self.entries[i]
            draw = self.random.random()
            if draw < 0.3:
                self.entries[i] = with_fields(entry, phase=api.Phase.DRAINING)
            elif draw < 0.5:
                self.entries[i] = with_fields(entry, phase=api.Phase.GONE)
            elif draw < 0.9:
                self.entries[i] = with_fields(entry, phase=api.Phase.ON, up_since=self.now)
            else:
                self.entries.append(self.new_entry(len(self.entries), self.now))
        if self.random.random() < 0.3:
            present = tuple(e for e in self.entries if e.phase is not api.Phase.GONE)
            self.deliver(api.EndpointList(api.ListKind.FULL, present))
        else:
            self.deliver(api.EndpointList(api.ListKind.CHANGES, tuple(self.entries)))

    def hand_over_to_next_process(self) -> None:
        """Hand both over to a next process, which continues with new requests only."""
        states = [hand_over(scheduler, self.now) for scheduler in self.schedulers]
        self.schedulers = self.new_schedulers()
        self.queue = []
        self.attempts = {}
        present = tuple(e for e in self.entries if e.phase is not api.Phase.GONE)
        self.deliver(api.EndpointList(api.ListKind.RESTORED, present))
        for scheduler, data in zip(self.schedulers, states, strict=True):
            take_over(scheduler, data)


def with_fields(entry: api.NodeEntry, **fields: Any) -> api.NodeEntry:
    changed = {"phase": entry.phase, "up_since": entry.up_since} | fields
    return api.NodeEntry(entry.node, entry.shard, entry.zone, **changed)
