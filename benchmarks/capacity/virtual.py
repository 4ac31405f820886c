"""One scheduler with virtual nodes in virtual time: every event of a head, without sockets or waiting.

The processor time of each call of the scheduler is recorded by kind of event. Only the public interface of
the decision module is used, so that one command can measure different builds of it.
"""

from __future__ import annotations

import gc
import heapq
import itertools
import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from types import FrameType

from stoatrouter.policy import Scheduler
from stoatrouter.policy import interface as api

MS = 1_000  # in us
SECOND = 1_000_000  # in us
START = 100 * SECOND
VOLUMES = 10_000
HOSTS_PER_VOLUME = 2  # number of hosts that send requests of a volume
READ, WRITE, EXPORT = 0, 1, 2  # indexes of the demo settings' classes
CLASS_SHARES = (0.80, 0.15, 0.05)
SHARD_SKEW = 0.5  # exponent of the Zipf distribution of requests over shards
ANY_NODE = -1  # shard of a request that any node can serve
FASTEST_ANSWER = 5 * MS
SLOWEST_ANSWER = 50 * MS
CALIBRATION_CALLS = 20_000
FULL_QUEUE_LENGTH = 100.0  # queue length that a full node reports


class Kind(Enum):
    """Kinds of scheduler calls."""

    ARRIVED = "arrived"
    ENDED = "ended"
    REQUEST_TIMER = "request timer"
    READING = "reading"
    LIST = "list"


@dataclass(slots=True)
class Cost:
    """Number of calls for one kind of event, and their total processor time."""

    calls: int = 0
    seconds: float = 0.0
    function_calls: int = 0  # of Python functions and generators, if these are counted

    @property
    def mean_seconds(self) -> float:
        """Return the mean seconds per call, or 0 without calls."""
        return self.seconds / self.calls if self.calls else 0.0


@dataclass(slots=True)
class Outcomes:
    """Outcomes of requests."""

    arrived: int = 0
    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    probes: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """Distribution of the requests to a scheduler."""

    rate: float  # requests a second, with exponential intervals
    any_part: float = 0.0  # share of requests that any node can serve
    skew: float = SHARD_SKEW
    volumes: int = VOLUMES


@dataclass(slots=True)
class Costs:
    """Processor time by kind of event, and outcomes of the requests."""

    by_kind: dict[Kind, Cost] = field(default_factory=lambda: {kind: Cost() for kind in Kind})
    outcomes: Outcomes = field(default_factory=Outcomes)

    @property
    def request_seconds(self) -> float:
        """Return the processor time per request, from its arrival to its last timer, in seconds."""
        kinds = (Kind.ARRIVED, Kind.ENDED, Kind.REQUEST_TIMER)
        return sum(self.by_kind[kind].seconds for kind in kinds) / max(1, self.outcomes.arrived)


def clock_cost() -> float:
    """Return the processor time that a pair of clock readings adds to the measured time, in seconds."""
    started_at = time.process_time()
    for _ in range(CALIBRATION_CALLS):
        time.process_time()
    return (time.process_time() - started_at) / CALIBRATION_CALLS


def node_entries(count: int, cold: int = 0) -> tuple[api.NodeEntry, ...]:
    """Return nodes of one shard each, in 12 zones; the first `cold` ones have just started."""
    return tuple(
        api.NodeEntry(f"n{i:04}", shard=i, zone=i % 12, up_since=START if i < cold else 0)
        for i in range(count)
    )


def zipf_weights(count: int, skew: float) -> list[float]:
    """Return cumulative Zipf weights of ranks 1 to count."""
    return list(itertools.accumulate((rank + 1) ** -skew for rank in range(count)))


class VirtualHead:
    """Drives one scheduler: requests arrive, nodes answer after random latencies, timers fire in order."""

    def __init__(
        self,
        settings: api.Settings,
        entries: Sequence[api.NodeEntry],
        load: Load,
        seed: int,
        full_nodes: frozenset[str] = frozenset(),
        count_functions: bool = False,
    ) -> None:
        self.count_functions = count_functions  # instead of measuring processor time, which counting distorts
        self.load, self.entries = load, entries
        self.full_nodes = full_nodes  # these refuse all requests and report a long queue
        self.rng = random.Random(f"virtual/{seed}")
        self.scheduler = Scheduler(settings, seed)
        self.settings = settings
        self.now = START
        self.queue: list[tuple[int, int, api.Event]] = []
        self.sequence = itertools.count()
        self.arrivals = itertools.count()
        self.attempts: dict[str, int] = {}
        self.reading_token: int | None = None
        self.clock_cost = clock_cost()
        self.costs = Costs()
        weights = zipf_weights(len(entries), load.skew)
        self.shards = [entry.shard for entry in entries]
        self.rng.shuffle(self.shards)  # the popular shards are random too
        self.shard_weights = weights
        self.handle_event(api.EndpointList(api.ListKind.FULL, tuple(entries)))
        self.schedule_next_arrival()

    def run(self, span: int) -> Costs:
        """Advance virtual time by a span; return the costs of it."""
        self.costs = Costs()
        ends_at = self.now + span
        while self.queue[0][0] <= ends_at:
            self.now, _, event = heapq.heappop(self.queue)
            self.handle_event(event)
            if isinstance(event, api.RequestArrived):
                self.schedule_next_arrival()
        self.now = ends_at
        return self.costs

    def handle_event(self, event: api.Event) -> None:
        """Pass one event to the scheduler, add its cost, and perform the actions that it returns."""
        cost = self.costs.by_kind[self.kind(event)]
        cost.calls += 1
        actions = self.handle_counted(event, cost) if self.count_functions else self.handle_timed(event, cost)
        match event:
            case api.RequestArrived():
                self.costs.outcomes.arrived += 1
            case api.AttemptEnded():
                self.costs.outcomes.served += event.finished
                if event.finished:
                    del self.attempts[event.request]
        for action in actions:
            self.perform(action)

    def handle_timed(self, event: api.Event, cost: Cost) -> list[api.Action]:
        """Handle an event and add its processor time to a cost."""
        started_at = time.process_time()
        actions = self.scheduler.handle(self.now, event)
        cost.seconds += max(0.0, time.process_time() - started_at - self.clock_cost)
        return actions

    def handle_counted(self, event: api.Event, cost: Cost) -> list[api.Action]:
        """Handle an event and add the number of function calls, which is independent of machine load."""

        def count(frame: FrameType, what: str, argument: object) -> None:
            cost.function_calls += what == "call"

        gc_was_enabled = gc.isenabled()
        gc.disable()  # callbacks of garbage collection are not part of the decision
        sys.setprofile(count)
        try:
            return self.scheduler.handle(self.now, event)
        finally:
            sys.setprofile(None)
            if gc_was_enabled:
                gc.enable()

    def kind(self, event: api.Event) -> Kind:
        """Return the kind as which an event is counted."""
        match event:
            case api.RequestArrived():
                return Kind.ARRIVED
            case api.TimerFired():
                return Kind.READING if event.token == self.reading_token else Kind.REQUEST_TIMER
            case api.EndpointList():
                return Kind.LIST
            case _:
                return Kind.ENDED

    def perform(self, action: api.Action) -> None:
        """Perform an action of the scheduler."""
        outcomes = self.costs.outcomes
        match action:
            case api.Send():
                outcomes.sent += 1
                self.schedule_answer(action)
            case api.SetTimer():
                if self.reading_token is None:
                    self.reading_token = (
                        action.token
                    )  # the first timer of a scheduler is that of its readings
                self.schedule(self.now + action.after, api.TimerFired(action.token))
            case api.Reject():
                outcomes.refused += 1
            case api.Fail():
                outcomes.failed += 1
            case api.CancelAttempt():
                raise AssertionError("no virtual node is slow enough for its attempt to be cancelled")
            case api.CheckHealth():
                outcomes.probes += 1
                queue = FULL_QUEUE_LENGTH if action.node in self.full_nodes else 0.0
                probed = api.HealthCheckEnded(action.node, api.Outcome.OK, MS, {"queue": queue})
                self.schedule(self.now + MS, probed)

    def schedule_answer(self, send: api.Send) -> None:
        """Schedule the answer of a node to an attempt, after a random latency."""
        attempt = self.attempts.get(send.request, -1) + 1
        self.attempts[send.request] = attempt
        latency = self.rng.randint(FASTEST_ANSWER, SLOWEST_ANSWER)
        full = send.node in self.full_nodes
        outcome = api.Outcome.FULL if full else api.Outcome.OK
        ended = api.AttemptEnded(send.request, attempt, send.node, outcome, latency, finished=not full)
        self.schedule(self.now + latency, ended)

    def schedule(self, at: int, event: api.Event) -> None:
        """Schedule an event; events of the same time keep the order in which they were scheduled."""
        heapq.heappush(self.queue, (at, next(self.sequence), event))

    def schedule_next_arrival(self) -> None:
        """Schedule the next request at a random time."""
        at = self.now + round(self.rng.expovariate(self.load.rate) * SECOND)
        kind = self.rng.choices((READ, WRITE, EXPORT), CLASS_SHARES)[0]
        name = f"r{next(self.arrivals)}"
        arrived = api.RequestArrived(
            request=name,
            volume=f"v{self.rng.randrange(self.load.volumes)}",
            plan=self.rng.randrange(len(self.settings.plans)),
            request_class=kind,
            shard=self.draw_shard(),
            time_left=self.settings.classes[kind].deadline,
            units=float(self.rng.choice((1, 1, 2, 4))),
            hosts=HOSTS_PER_VOLUME,
            key=f"k{self.rng.randrange(1 << 30)}",
            write=kind == WRITE,
        )
        self.schedule(at, arrived)

    def draw_shard(self) -> int:
        """Return a random shard for a request."""
        if self.rng.random() < self.load.any_part:
            return ANY_NODE
        return self.rng.choices(self.shards, cum_weights=self.shard_weights)[0]
