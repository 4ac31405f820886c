"""A driver that feeds a scheduler event by event and answers no attempt by itself."""

from __future__ import annotations

import heapq
from typing import Any

from stoatrouter.policy import Scheduler
from stoatrouter.policy import interface as api

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
READ = api.RequestClass(
    "read", priority_weight=3, latency_objective=250 * MS, deadline=2 * SECOND, late_weight_factor=0.2
)
WRITE = api.RequestClass(
    "write",
    priority_weight=3,
    latency_objective=400 * MS,
    deadline=2 * SECOND,
    late_weight_factor=0.2,
    writes=True,
)
EXPORT = api.RequestClass(
    "export", priority_weight=1, latency_objective=1000 * MS, deadline=3 * SECOND, late_weight_factor=0.2
)
CLASSES = (READ, WRITE, EXPORT)
PLAN = api.Plan("plan", usual_rate=50, reserve=50, weight=1)


class SchedulerDriver:
    """Feeds events to a scheduler, fires its timers in order, and keeps every action with its time."""

    def __init__(
        self,
        *,
        classes=CLASSES,
        plans=(PLAN,),
        rules: dict[str, Any] | None = None,
        nodes=None,
        start: int = 100 * SECOND,
        seed: int = 1,
        **settings: Any,
    ) -> None:
        settings = {"max_attempts": 4, "parallel_attempts": True, "max_units": 8, "mean_units": 2} | settings
        self.now = start
        self.scheduler = Scheduler(
            api.Settings(
                classes=tuple(classes), plans=tuple(plans), rules=api.Rules(**(rules or {})), **settings
            ),
            seed,
        )
        self.log: list[tuple[int, api.Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.attempts: dict[str, int] = {}
        self.open_sends: list[tuple[str, int, str, int]] = []  # request, attempt, node, sent
        self.listed(*(nodes or [api.NodeEntry("n1", 0)]), kind=api.ListKind.RESTORED)

    def event(self, event: api.Event) -> list[api.Action]:
        actions = self.scheduler.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (self.now + action.after, action.token))
            elif isinstance(action, api.Send):
                attempt = self.attempts.get(action.request, -1) + 1
                self.attempts[action.request] = attempt
                self.open_sends.append((action.request, attempt, action.node, self.now))
        return actions

    def listed(self, *entries: api.NodeEntry, kind=api.ListKind.CHANGES) -> list[api.Action]:
        return self.event(api.EndpointList(kind, tuple(entries)))

    def request(
        self,
        name: str,
        request_class: int = 0,
        *,
        volume: str = "v1",
        plan: int = 0,
        shard: int = 0,
        left: int = 2 * SECOND,
        units: float = 1,
        hosts: int = 1,
        key: str | None = None,
    ):
        return self.event(
            api.RequestArrived(name, volume, plan, request_class, shard, left, units, hosts, key)
        )

    def end(self, name: str, outcome=api.Outcome.OK, **more: Any) -> list[api.Action]:
        """End the oldest open attempt of a request."""
        open_send = next(send for send in self.open_sends if send[0] == name)
        self.open_sends.remove(open_send)
        _, attempt, node, sent_at = open_send
        latency = self.now - sent_at
        is_ok = outcome is api.Outcome.OK
        return self.event(api.AttemptEnded(name, attempt, node, outcome, latency, is_ok, **more))

    def wait(self, span: int, reply=None) -> None:
        """Advance the clock and fire timers; calls reply(driver) at each step, at least every 5 ms."""
        until = self.now + span
        while self.now < until:
            step = min(until, self.now + 5 * MS)
            if self.timers and self.timers[0][0] <= step:
                at, token = heapq.heappop(self.timers)
                self.now = max(self.now, at)
                self.event(api.TimerFired(token))
            else:
                self.now = step
            if reply:
                reply(self)

    def sends(self, name: str | None = None) -> list[tuple[int, api.Send]]:
        return [(t, a) for t, a in self.log if isinstance(a, api.Send) and name in (None, a.request)]

    def finals(self, name: str) -> list[api.Action]:
        return [a for _, a in self.log if isinstance(a, api.Reject | api.Fail) and a.request == name]


def answer_after(took: int, outcome=api.Outcome.OK):
    """Return a reply for SchedulerDriver.wait that ends each attempt after `took` microseconds."""

    def reply(driver: SchedulerDriver) -> None:
        for name, _, _, sent in list(driver.open_sends):
            if driver.now - sent >= took:
                driver.end(name, outcome)

    return reply
