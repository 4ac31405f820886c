"""One scheduler before virtual nodes in virtual time: every event of a head, without sockets or waiting.

The processor time of each call of the scheduler is taken by kind of event. Only the public interface of the
decision module is used, so that one command measures different builds of it.
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

MS, SECOND = 1_000, 1_000_000
START = 100 * SECOND
VOLUMES = 10_000
HOSTS_OF_A_VOLUME = 2  # through how many hosts a volume's requests come
READ, WRITE, EXPORT = 0, 1, 2  # indexes of the demo settings' classes
CLASS_SHARES = (0.80, 0.15, 0.05)
SHARD_SKEW = 0.5  # the exponent of the Zipf law by which requests choose shards
ANY_NODE = -1  # a request's shard where any node takes it
FASTEST_ANSWER, SLOWEST_ANSWER = 5 * MS, 50 * MS
CALIBRATION_CALLS = 20_000
LONG_QUEUE = 100.0  # what a full node tells of its queue


class Kind(Enum):
    """What a call of the scheduler is counted as."""

    ARRIVED = "arrived"
    ENDED = "ended"
    REQUEST_TIMER = "request timer"
    READING = "reading"
    LIST = "list"


@dataclass(slots=True)
class Cost:
    """How often a kind of event came, and the processor time of all its calls."""

    calls: int = 0
    seconds: float = 0.0
    function_calls: int = 0  # of Python functions and generators inside, where they are counted

    @property
    def each(self) -> float:
        """Seconds for one call; 0 where none came."""
        return self.seconds / self.calls if self.calls else 0.0


@dataclass(slots=True)
class Outcomes:
    """What became of the requests."""

    arrived: int = 0
    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    probes: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """The requests that are put to a scheduler."""

    rate: float  # requests a second, with exponential gaps
    any_part: float = 0.0  # of requests, those that any node takes
    skew: float = SHARD_SKEW
    volumes: int = VOLUMES


@dataclass(slots=True)
class Costs:
    """Processor time by kind of event, and what became of the requests meanwhile."""

    by_kind: dict[Kind, Cost] = field(default_factory=lambda: {kind: Cost() for kind in Kind})
    outcomes: Outcomes = field(default_factory=Outcomes)

    @property
    def request_seconds(self) -> float:
        """All that one request costs from its arrival to its last timer."""
        kinds = (Kind.ARRIVED, Kind.ENDED, Kind.REQUEST_TIMER)
        return sum(self.by_kind[kind].seconds for kind in kinds) / max(1, self.outcomes.arrived)


def clock_cost() -> float:
    """The processor time that two readings of the clock add to what lies between them, in seconds."""
    began = time.process_time()
    for _ in range(CALIBRATION_CALLS):
        time.process_time()
    return (time.process_time() - began) / CALIBRATION_CALLS


def node_entries(count: int, cold: int = 0) -> tuple[api.NodeEntry, ...]:
    """Nodes of one shard each, in 12 zones; the first ones have just started where some are to be cold."""
    return tuple(
        api.NodeEntry(f"n{i:04}", shard=i, zone=i % 12, up_since=START if i < cold else 0)
        for i in range(count)
    )


def zipf_weights(count: int, skew: float) -> list[float]:
    """Cumulative weights of ranks 1 to count."""
    return list(itertools.accumulate((rank + 1) ** -skew for rank in range(count)))


class VirtualHead:
    """Drives one scheduler: requests arrive, nodes answer after drawn latencies, timers fire in order."""

    def __init__(
        self,
        settings: api.Settings,
        entries: Sequence[api.NodeEntry],
        load: Load,
        seed: int,
        full_nodes: frozenset[str] = frozenset(),
        count_functions: bool = False,
    ) -> None:
        self.count_functions = count_functions  # in place of the processor time, which that would distort
        self.load, self.entries = load, entries
        self.full_nodes = full_nodes  # refuse all that comes, and tell of a long queue
        self.chance = random.Random(f"virtual/{seed}")
        self.scheduler = Scheduler(settings, seed)
        self.settings = settings
        self.now = START
        self.queue: list[tuple[int, int, api.Event]] = []
        self.order = itertools.count()
        self.arrivals = itertools.count()
        self.attempts: dict[str, int] = {}
        self.reading_token: int | None = None
        self.clock_cost = clock_cost()
        self.costs = Costs()
        weights = zipf_weights(len(entries), load.skew)
        self.shards = [entry.shard for entry in entries]
        self.chance.shuffle(self.shards)  # which shards are asked for often is drawn too
        self.shard_weights = weights
        self.tell(api.EndpointList(api.ListKind.FULL, tuple(entries)))
        self.put_next_arrival()

    def run(self, span: int) -> Costs:
        """Let so much virtual time pass; returns what it cost."""
        self.costs = Costs()
        until = self.now + span
        while self.queue[0][0] <= until:
            self.now, _, event = heapq.heappop(self.queue)
            self.tell(event)
            if isinstance(event, api.RequestArrived):
                self.put_next_arrival()
        self.now = until
        return self.costs

    def tell(self, event: api.Event) -> None:
        """Put one event to the scheduler, count its processor time, and take up its actions."""
        cost = self.costs.by_kind[self.kind(event)]
        cost.calls += 1
        actions = self.counted(event, cost) if self.count_functions else self.timed(event, cost)
        match event:
            case api.RequestArrived():
                self.costs.outcomes.arrived += 1
            case api.AttemptEnded():
                self.costs.outcomes.served += event.finished
                if event.finished:
                    del self.attempts[event.request]
        for action in actions:
            self.take(action)

    def timed(self, event: api.Event, cost: Cost) -> list[api.Action]:
        """Handle an event and add its processor time."""
        began = time.process_time()
        actions = self.scheduler.handle(self.now, event)
        cost.seconds += max(0.0, time.process_time() - began - self.clock_cost)
        return actions

    def counted(self, event: api.Event, cost: Cost) -> list[api.Action]:
        """Handle an event and add how many functions that called, which no load of the machine alters."""

        def count(frame: FrameType, what: str, argument: object) -> None:
            cost.function_calls += what == "call"

        collects = gc.isenabled()
        gc.disable()  # what others hook into collections is not the decision's
        sys.setprofile(count)
        try:
            return self.scheduler.handle(self.now, event)
        finally:
            sys.setprofile(None)
            if collects:
                gc.enable()

    def kind(self, event: api.Event) -> Kind:
        """What an event counts as."""
        match event:
            case api.RequestArrived():
                return Kind.ARRIVED
            case api.TimerFired():
                return Kind.READING if event.token == self.reading_token else Kind.REQUEST_TIMER
            case api.EndpointList():
                return Kind.LIST
            case _:
                return Kind.ENDED

    def take(self, action: api.Action) -> None:
        """Do what the scheduler asks."""
        outcomes = self.costs.outcomes
        match action:
            case api.Send():
                outcomes.sent += 1
                self.answer(action)
            case api.SetTimer():
                if self.reading_token is None:
                    self.reading_token = action.token  # a scheduler's first timer is that of its readings
                self.put(self.now + action.after, api.TimerFired(action.token))
            case api.Reject():
                outcomes.refused += 1
            case api.Fail():
                outcomes.failed += 1
            case api.CancelAttempt():
                raise AssertionError("no virtual node is late enough for a cancel")
            case api.CheckHealth():
                outcomes.probes += 1
                queue = LONG_QUEUE if action.node in self.full_nodes else 0.0
                probed = api.HealthCheckEnded(action.node, api.Outcome.OK, MS, {"queue": queue})
                self.put(self.now + MS, probed)

    def answer(self, send: api.Send) -> None:
        """A node's answer to an attempt, after a latency drawn for it."""
        attempt = self.attempts.get(send.request, -1) + 1
        self.attempts[send.request] = attempt
        took = self.chance.randint(FASTEST_ANSWER, SLOWEST_ANSWER)
        full = send.node in self.full_nodes
        outcome = api.Outcome.FULL if full else api.Outcome.OK
        ended = api.AttemptEnded(send.request, attempt, send.node, outcome, took, finished=not full)
        self.put(self.now + took, ended)

    def put(self, at: int, event: api.Event) -> None:
        """Have an event come at a time; those of one time come in the order in which they were put."""
        heapq.heappush(self.queue, (at, next(self.order), event))

    def put_next_arrival(self) -> None:
        """Draw the next request and when it comes."""
        at = self.now + round(self.chance.expovariate(self.load.rate) * SECOND)
        kind = self.chance.choices((READ, WRITE, EXPORT), CLASS_SHARES)[0]
        name = f"r{next(self.arrivals)}"
        arrived = api.RequestArrived(
            request=name,
            volume=f"v{self.chance.randrange(self.load.volumes)}",
            plan=self.chance.randrange(len(self.settings.plans)),
            request_class=kind,
            shard=self.draw_shard(),
            time_left=self.settings.classes[kind].deadline,
            units=float(self.chance.choice((1, 1, 2, 4))),
            hosts=HOSTS_OF_A_VOLUME,
            key=f"k{self.chance.randrange(1 << 30)}",
            write=kind == WRITE,
        )
        self.put(at, arrived)

    def draw_shard(self) -> int:
        """A request's shard."""
        if self.chance.random() < self.load.any_part:
            return ANY_NODE
        return self.chance.choices(self.shards, cum_weights=self.shard_weights)[0]
