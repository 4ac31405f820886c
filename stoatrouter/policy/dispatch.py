"""Sends a node's pending requests by priority and sheds those that will be late. Terms: interface.py."""

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
from stoatrouter.policy.units import EPSILON, SECOND

# Priority factor for a key that the node has just read; a factor of 2 is one full step in the rounded order.
CACHED_KEY_BONUS = 2.0
EXCESS_MARGIN = 2.0  # times its fair excess: up to there a volume counts as within its quota
PRESSURE_PERIOD = SECOND  # how long a node counts as under pressure after its window was cut


class Dispatcher:
    """Decides which of a node's pending requests are sent now."""

    def __init__(
        self,
        state: SchedulerState,
        rules: SendRules,
        lifecycle: RequestLifecycle,
        retry_budget: RetryBudget,
        recently_sent: RecentlySent,
    ) -> None:
        """Use the scheduler's shared state; every send is checked against `rules` first."""
        self.state = state
        self.rules = rules
        self.lifecycle = lifecycle
        self.retry_budget = retry_budget
        self.recently_sent = recently_sent

    def dispatch(self, node: Node, now: int) -> None:
        """Send as many pending requests as the node's window allows, and shed those that will not be sent."""
        if not node.pending or not node.accepts(now):
            return
        if node.has_capacity(now):  # otherwise nothing is sent, and sorting would be wasted
            self._send_by_priority(node, now)
        for request in [r for r in self._waiting(node) if self.should_shed(r, node, now)]:
            if request.in_flight():
                node.pending.pop(request.id)  # it was to be hedged; its attempt may still be answered
            else:
                self.lifecycle.finish(request, now)

    def _waiting(self, node: Node) -> list[Request]:
        """Return the requests pending at a node, in order of arrival."""
        requests = self.state.requests
        return [requests[id] for id in node.pending]

    def should_shed(self, request: Request, node: Node, now: int) -> bool:
        """Return whether a pending request cannot be sent in time, as far as is known.

        A token bucket, the slow start of its node, pacing or another rule may delay it too long. Its client
        is then told at once. If the estimate is wrong, the client's retry counts as a new request.
        """
        sendable_at = max(
            now, request.wait_until, node.next_send_at(now), self.rules.blocked_until(request, node, now)
        )
        if sendable_at + self.state.min_latency >= request.deadline:
            return True
        # After half its time an unsent request is late in any case, and its client could have retried.
        if sendable_at >= request.reject_by and request.reached_no_node():
            return True
        # The few sends of a paced node are reserved for requests that can still meet their objective.
        return node.window < 1 and request.is_late(node, sendable_at)

    def _send_by_priority(self, node: Node, now: int) -> None:
        """Send pending requests in descending priority while the node has capacity."""
        waiting = self._waiting(node)
        fair = excess_per_weight(waiting)
        for request in sorted(waiting, key=lambda r: self.priority(r, node, fair, now), reverse=True):
            if not node.has_capacity(now):
                break
            if request.wait_until > now or self.rules.blocked_until(request, node, now):
                continue
            # While the node is under pressure, a late request waits, and so does everything of lower
            # priority, which would add to the pressure.
            is_pressed = node.in_flight or now < node.window_cut_at + PRESSURE_PERIOD
            # One that is hedged is late because its own attempt has stalled, which is no pressure.
            if is_pressed and request.is_late(node, now) and not request.in_flight():
                break
            self._send(request, node, now)

    def priority(self, request: Request, node: Node, fair_excess: float, now: int) -> tuple[int, int]:
        """Return the sort key for sending: priority weight due per unit of work, then nearest objective.

        The latency objective of a class approximates the work of one of its units. Weights within a factor of
        two count as equal. `fair_excess` is the excess per weight of all requests pending at the node.
        """
        request_class = request.request_class
        value = request_class.priority_weight * request.volume.plan.price
        value *= self._quota_factor(request, fair_excess, now)
        value = value * self.state.tightest_objective / request_class.latency_objective
        if request.is_late(node, now):
            value *= request_class.late_weight_factor
        if request.key is not None and request.key in node.recent_keys:
            value *= CACHED_KEY_BONUS
        return round(math.log2(value + EPSILON)), -request.objective_at

    def _quota_factor(self, request: Request, fair_excess: float, now: int) -> float:
        """Return the factor on the priority weight: 1 within the reserve, less within or beyond the quota."""
        volume = request.volume.refill(now)
        if volume.reserve >= request.units / 2:
            return 1.0
        if volume.excess <= EXCESS_MARGIN * fair_excess * volume.plan.weight:
            return self.state.settings.quota_weight_factor
        return self.state.settings.excess_weight_factor

    def _send(self, request: Request, node: Node, now: int) -> None:
        """Send a request's next attempt to a node; its volume is charged for the first attempt only."""
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
    """Return the excess per weight of the requests' volumes, counting a volume once for each request."""
    excess = sum(request.volume.excess for request in waiting)
    weights = sum(request.volume.plan.weight for request in waiting)
    return excess / max(1.0, weights)
