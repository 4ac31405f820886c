"""Sends what waits at a node by priority, and sheds what cannot be in time. Terms: interface.py."""

from __future__ import annotations

import math

from stoatrouter.policy import interface as api
from stoatrouter.policy.lifecycle import RequestLifecycle
from stoatrouter.policy.node import Node
from stoatrouter.policy.recently_sent import RecentlySent
from stoatrouter.policy.request import Attempt, Request
from stoatrouter.policy.retry_budget import RetryBudget
from stoatrouter.policy.send_rules import SendRules
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import SECOND, TINY

CACHED_KEY_BONUS = 2.0  # on the priority of a key the node has just read: a full step of the order
EXCESS_MARGIN = 2.0  # on the fair excess: as far beyond its quota a volume counts as within it
PRESSURE_SPAN = SECOND  # how long after its window was cut a node counts as under pressure


class Dispatcher:
    """Decides which of a node's waiting requests are sent now."""

    def __init__(
        self,
        state: SchedulerState,
        rules: SendRules,
        lifecycle: RequestLifecycle,
        retry_budget: RetryBudget,
        recently_sent: RecentlySent,
    ) -> None:
        """Work on the scheduler's state; every send meets `rules` first."""
        self.state = state
        self.rules = rules
        self.lifecycle = lifecycle
        self.retry_budget = retry_budget
        self.recently_sent = recently_sent

    def dispatch(self, node: Node, now: int) -> None:
        """Send what the node's window lets through, and shed what waits in vain."""
        if not node.pending or not node.accepts(now):
            return
        if node.has_capacity(now):  # else what waits need not be ordered
            self._send_by_priority(node, now)
        for request in [r for r in self._waiting(node) if self.should_shed(r, node, now)]:
            self.lifecycle.finish(request, now)

    def _waiting(self, node: Node) -> list[Request]:
        """The requests that wait at a node, in the order in which they came."""
        requests = self.state.requests
        return [requests[id] for id in node.pending]

    def should_shed(self, request: Request, node: Node, now: int) -> bool:
        """Whether a waiting request will not be sent any more, as far as is known.

        A token bucket, a warming-up node's part, a pace or whatever else holds it too long: its client hears
        at once. Harm: if wrong, it counts anew.
        """
        opens_at = max(
            now, request.wait_until, node.opens_at(now), self.rules.blocked_until(request, node, now)
        )
        if opens_at + self.state.least_latency >= request.deadline:
            return True
        # After half its time an unsent request is late whatever comes, and its client could have tried anew.
        if opens_at >= request.reject_by and request.reached_no_node():
            return True
        # late at a node with a pace: its turns are reserved for what can still be in time
        return node.window < 1 and request.is_late(node, opens_at)

    def _send_by_priority(self, node: Node, now: int) -> None:
        """Send the highest priority first, as long as the node has capacity."""
        waiting = self._waiting(node)
        fair = excess_per_weight(waiting)
        for request in sorted(waiting, key=lambda r: self.priority(r, node, fair, now), reverse=True):
            if not node.has_capacity(now):
                break
            if request.wait_until > now or self.rules.blocked_until(request, node, now):
                continue
            # what is late waits while the node is under pressure, and what is of less priority with it: it
            # would press too
            is_pressed = node.in_flight or now < node.window_cut_at + PRESSURE_SPAN
            if is_pressed and request.is_late(node, now):
                break
            self._send(request, node, now)

    def priority(self, request: Request, node: Node, fair_excess: float, now: int) -> tuple[int, int]:
        """The order of sending: priority weight per unit still due if sent now, then the nearest objective.

        The latency objective stands for the work that a unit of the class is. Weights within a factor of two
        are as good as equal. `fair_excess` is that of all that wait at the node.
        """
        request_class = request.request_class
        value = request_class.priority_weight * request.volume.plan.price
        value *= self._quota_factor(request, fair_excess, now)
        value = value * self.state.tightest_objective / request_class.latency_objective
        if request.is_late(node, now):
            value *= request_class.late_weight_factor
        if request.key is not None and request.key in node.recent_keys:
            value *= CACHED_KEY_BONUS
        return round(math.log2(value + TINY)), -request.objective_at

    def _quota_factor(self, request: Request, fair_excess: float, now: int) -> float:
        """The part of the priority weight due: all within the reserve, less within or beyond the quota."""
        volume = request.volume.refill(now)
        if volume.reserve >= request.units / 2:
            return 1.0
        if volume.excess <= EXCESS_MARGIN * fair_excess * volume.plan.weight:
            return self.state.settings.quota_weight_factor
        return self.state.settings.excess_weight_factor

    def _send(self, request: Request, node: Node, now: int) -> None:
        """Send a request's next attempt to a node, charging its volume once."""
        volume = request.volume.refill(now)
        node.pending.pop(request.id)
        if request.attempts:
            self.retry_budget.note_retry(now)
        if not request.charged:
            volume.charge(request.units)
            request.charged = True
        node.in_flight[(request.id, len(request.attempts))] = now
        request.attempts.append(Attempt(node, now))
        node.note_sent(now, request.units, request.key, self.state.rules.overload_window)
        self.recently_sent.note(node, now)
        self.state.actions.append(api.Send(request.id, node.id, request.deadline - now))


def excess_per_weight(waiting: list[Request]) -> float:
    """The excess per weight of the requests' volumes, each counted once for each of its requests."""
    excess = sum(request.volume.excess for request in waiting)
    weights = sum(request.volume.plan.weight for request in waiting)
    return excess / max(1.0, weights)
