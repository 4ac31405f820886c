"""The one place where every send meets every rule. The rules' figures: `Rules` in interface.py."""

from __future__ import annotations

from stoatrouter.policy.interface import Effect, Group
from stoatrouter.policy.key_order import KeyOrder
from stoatrouter.policy.node import Node
from stoatrouter.policy.request import Attempt, Request
from stoatrouter.policy.retry_budget import RetryBudget
from stoatrouter.policy.slow_start import SlowStart
from stoatrouter.policy.units import NEVER, READ_EVERY


class SendRules:
    """Asks all rules about a send, in the order of their numbers."""

    def __init__(
        self, max_attempts: int, slow_start: SlowStart, key_order: KeyOrder, retry_budget: RetryBudget
    ) -> None:
        """Ask these parts; `max_attempts` is of one request, retries included."""
        self.max_attempts = max_attempts
        self.slow_start = slow_start
        self.key_order = key_order
        self.retry_budget = retry_budget

    def blocked_until(self, request: Request, node: Node, now: int) -> int:
        """From when the rules let a request go to a node; 0: now.

        A rule that cannot concern the request is not called: this runs several times for each request.

        Returns:
            0 where no rule blocks it, else from when (microseconds) they may let it go as far as is known, or
            the next reading; `NEVER` where they never will.
        """
        # 1: nothing goes out for what is finished or overdue, nor more attempts than are allowed
        if self.is_over(request, now):
            return NEVER
        # 2: effects: never two at once, and retries only where they are harmless
        is_retry = bool(request.attempts)
        if is_retry and blocks_retry(request, node, max(now, request.wait_until), request.attempts):
            return NEVER
        # 3: drains: a draining node is used within its grace, as long as none that is on has its shard
        if not node.accepts(now):
            return now + READ_EVERY
        # 4: slow start: a warming-up node gets this host's part of what it always bears
        if node.up_since and (until := self.slow_start.blocked_until(request, node, now)):
            return until
        # 5: the limit: this host's part of the bucket may never sink below its part of the tolerance
        limited = request.volume.plan.limit and not request.charged
        if limited and (until := request.volume.available_at(now, request.units)) > now:
            return until
        # 6: order within a key
        ordered = request.request_class.ordered_by_key
        if ordered and (until := self.key_order.blocked_until(request, now)):
            return until
        # 7: the retry budget
        if is_retry and not self.retry_budget.allows_retry(now):
            return now + READ_EVERY
        return 0

    def is_over(self, request: Request, now: int) -> bool:
        """Whether a request is finished, has no time left, or has used up its attempts."""
        return (
            request.done
            or max(now, request.wait_until) >= request.deadline
            or len(request.attempts) >= self.max_attempts
        )


def blocks_retry(request: Request, node: Node, at: int, earlier: list[Attempt]) -> bool:
    """Whether earlier attempts block a retry of the request at `node` at `at` (microseconds).

    Blocked is a retry while any attempt is in flight; of an unsafe request that may have run; of an
    idempotent one that may have run, once its repeat window has passed or where the node is of another shard
    or zone than the class's group allows.
    """
    request_class = request.request_class
    if any(attempt.outcome is None for attempt in earlier):
        return True
    first = next((attempt for attempt in earlier if attempt.may_have_run()), None)
    if first is None or request_class.effect is Effect.SAFE:
        return False
    if request_class.effect is Effect.UNSAFE or at >= first.sent_at + request_class.repeat_window:
        return True
    if request_class.group is Group.SHARD:
        return first.node.shard != node.shard
    return request_class.group is Group.ZONE and first.node.zone != node.zone
