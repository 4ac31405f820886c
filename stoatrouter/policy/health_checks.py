"""Health checks: asking a paced node for its queue, where load reports tell it. Terms: interface.py."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import CROWDED_QUEUE, HEALTH_CHECK_EVERY, LONGEST_PACE, Node
from stoatrouter.policy.state import SchedulerState

QUEUE = "queue"  # the load report's field


class HealthChecks:
    """Decides when a node is asked for its load report, and takes what it answers."""

    def __init__(self, state: SchedulerState) -> None:
        """Work on the scheduler's state; checks are sent only where the settings allow and reports help."""
        self.state = state
        self.enabled = state.settings.health_checks and QUEUE in state.settings.report_fields

    def check_if_due(self, node: Node, now: int) -> None:
        """Ask a node for its queue when work comes to it at a window below one, at most every interval."""
        if self.enabled and node.window < 1 and node.accepts(now) and now >= node.next_health_check_at:
            node.health_check_sent_at = now
            node.next_health_check_at = now + self.state.jitter(HEALTH_CHECK_EVERY)
            self.state.actions.append(api.CheckHealth(node.id))

    def take_result(self, event: api.HealthCheckEnded, now: int) -> Node | None:
        """Take a health check's result.

        Returns:
            The node, whose pace may be another now; None where nothing was learnt.
        """
        node = self.state.nodes.get(event.node)
        if node is None or event.load is None or QUEUE not in event.load:
            return None
        queue = event.load[QUEUE]
        if queue <= CROWDED_QUEUE < node.reported_queue:
            # once it is short again the pace counts from now, as all hosts hear it at once
            node.last_sent_at = now
        node.reported_queue = queue
        node.queue_reported_at = now
        node.health_check_sent_at = -LONGEST_PACE
        return node
