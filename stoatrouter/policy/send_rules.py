"""The single place where each send is checked against all rules. Parameters: `Rules` in interface.py."""

from __future__ import annotations

from stoatrouter.policy.interface import Effect, Group
from stoatrouter.policy.key_order import KeyOrder
from stoatrouter.policy.node import Node
from stoatrouter.policy.request import Attempt, Request
from stoatrouter.policy.retry_budget import RetryBudget
from stoatrouter.policy.slow_start import SlowStart
from stoatrouter.policy.units import CONTROL_INTERVAL, NEVER


class SendRules:
    """Checks a send against all rules, in the order of their numbers."""

    def __init__(
        self, max_attempts: int, slow_start: SlowStart, key_order: KeyOrder, retry_budget: RetryBudget
    ) -> None:
        """Use the given rules; `max_attempts` is the limit per request, retries included."""
        self.max_attempts = max_attempts
        self.slow_start = slow_start
        self.key_order = key_order
        self.retry_budget = retry_budget

    def blocked_until(self, request: Request, node: Node, now: int) -> int:
        """Return from when the rules allow sending a request to a node; 0: now.

        Rules that do not concern the request are skipped, as this runs several times per request.

        Returns:
            0 if no rule blocks the request; otherwise from when (microseconds) the rules may allow it, or the
            next control cycle if that is not known; `NEVER` if they never will.
        """
        # 1: nothing is sent for a finished or overdue request, nor more than the allowed attempts
        if self.is_over(request, now):
            return NEVER
        # 2: effects: never two attempts at once, and retries only where they are harmless
        is_retry = bool(request.attempts)
        if is_retry and blocks_retry(request, node, max(now, request.wait_until), request.attempts):
            return NEVER
        # 3: drains: a draining node is used only within its grace, while no node in phase ON has its shard
        if not node.accepts(now):
            return now + CONTROL_INTERVAL
        # 4: slow start: a warming-up node gets at most this host's share of its guaranteed capacity
        if node.up_since and (until := self.slow_start.blocked_until(request, node, now)):
            return until
        # 5: the limit: this host's share of the bucket never goes below its share of the tolerance
        limited = request.volume.plan.limit and not request.charged
        if limited and (until := request.volume.available_at(now, request.units)) > now:
            return until
        # 6: ordering by key
        ordered = request.request_class.ordered_by_key
        if ordered and (until := self.key_order.blocked_until(request, now)):
            return until
        # 7: the retry budget
        if is_retry and not self.retry_budget.allows_retry(now):
            return now + CONTROL_INTERVAL
        return 0

    def is_over(self, request: Request, now: int) -> bool:
        """Return whether a request is finished, has no time left, or has used all its attempts."""
        return (
            request.done
            or max(now, request.wait_until) >= request.deadline
            or len(request.attempts) >= self.max_attempts
        )


def blocks_retry(request: Request, node: Node, at: int, earlier: list[Attempt]) -> bool:
    """Return whether earlier attempts block a retry of the request at `node` at `at` (microseconds).

    A retry is blocked while any attempt is in flight whose answer has not stalled (`Scheduler` places none
    beside a stalled one where attempts may not run side by side). It is blocked for an unsafe request that
    may have run, and for an idempotent one that may have run once its repeat window has passed or if the
    node's shard or zone is outside the class's group.
    """
    request_class = request.request_class
    if any(attempt.outcome is None and not attempt.stalled for attempt in earlier):
        return True
    first = next((attempt for attempt in earlier if attempt.may_have_run()), None)
    if first is None or request_class.effect is Effect.SAFE:
        return False
    if request_class.effect is Effect.UNSAFE or at >= first.sent_at + request_class.repeat_window:
        return True
    if request_class.group is Group.SHARD:
        return first.node.shard != node.shard
    return request_class.group is Group.ZONE and first.node.zone != node.zone
