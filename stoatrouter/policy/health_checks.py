"""Health checks: query a paced node's queue length, where load reports contain it. Terms: interface.py."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import CROWDED_QUEUE, HEALTH_CHECK_INTERVAL, MAX_PACE, Node
from stoatrouter.policy.state import SchedulerState

QUEUE = "queue"  # the field of the load report


class HealthChecks:
    """Decides when to ask a node for its load report, and evaluates the report."""

    def __init__(self, state: SchedulerState) -> None:
        """Use the scheduler's shared state; checks require permission in the settings and a queue field."""
        self.state = state
        self.enabled = state.settings.health_checks and QUEUE in state.settings.report_fields

    def check_if_due(self, node: Node, now: int) -> None:
        """Check a node whose window is below one when a request arrives for it, at most once per interval."""
        if self.enabled and node.window < 1 and node.accepts(now) and now >= node.next_health_check_at:
            node.health_check_sent_at = now
            node.next_health_check_at = now + self.state.jitter(HEALTH_CHECK_INTERVAL)
            self.state.actions.append(api.CheckHealth(node.id))

    def take_result(self, event: api.HealthCheckEnded, now: int) -> Node | None:
        """Record the result of a health check.

        Returns:
            The node, whose pace may have changed; None where the result tells nothing.
        """
        node = self.state.nodes.get(event.node)
        if node is None or event.load is None or QUEUE not in event.load:
            return None
        queue = event.load[QUEUE]
        if queue <= CROWDED_QUEUE < node.reported_queue:
            # The queue is short again. All hosts learn this at about the same time, so the pace counts from
            # now rather than from the last send, which would let them all send at once.
            node.last_sent_at = now
        node.reported_queue = queue
        node.queue_reported_at = now
        node.health_check_sent_at = -MAX_PACE
        return node
