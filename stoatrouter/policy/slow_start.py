"""Slow start: how much this host sends to a node that warms up. Settings: `Rules` in interface.py."""

from __future__ import annotations

from stoatrouter.policy.node import Node
from stoatrouter.policy.node_index import RecentKeys
from stoatrouter.policy.request import Request
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import CONTROL_INTERVAL, MS, NEVER

SENDER_MARGIN = 1.5  # on the number of hosts expected to send to a node, as more send to some nodes
EARNED_FRACTION = 0.75  # of a host's share accrues over time where the share is less than one request
LATE_FRACTION = 0.5  # of a host's share is available to late requests; the rest is kept for those in time


class SlowStart:
    """Estimates the capacity of a node that warms up, and this host's share of it."""

    def __init__(self, state: SchedulerState) -> None:
        """Use the scheduler's shared state; no shard has been requested yet."""
        self.state = state
        self.rules = state.rules
        self.requested_shards = RecentKeys(state.rules.overload_window)

    def capacity_fraction(self, node: Node, at: int) -> float:
        """Return the fraction of its capacity that a node is guaranteed to have at `at` while it warms up."""
        if not node.up_since:
            return 1.0
        age = at - node.up_since
        if age >= self.rules.warm_up_time:
            return 1.0
        first = self.rules.warm_up_from
        return first + (1 - first) * max(0, age) / self.rules.warm_up_time

    def expected_senders(self, now: int) -> float:
        """Return how many hosts send to a node, as estimated by this host.

        If clients request few of the nodes through this host, the same is assumed of the other hosts, so that
        on average all hosts together use one full share at each node. If the assumption is wrong, a node that
        warms up gets more than its capacity.
        """
        hosts = self.state.settings.hosts
        nodes = self.state.nodes.listed()
        if now - self.state.started_at < self.rules.overload_window or not nodes:
            return hosts  # it is not known yet which shards are requested here
        requested = self.requested_shards.count(now) + 2
        return max(1.0, hosts * min(1.0, SENDER_MARGIN * requested / nodes))

    def blocked_until(self, request: Request, node: Node, now: int) -> int:
        """Return from when a warming-up node may be sent the request (microseconds); 0: now.

        Returns:
            0 if the node is warm or has capacity; the next control cycle if it may have capacity by the
            request's deadline; otherwise `NEVER`.
        """
        warm_up_time = self.rules.warm_up_time
        if now - node.up_since >= warm_up_time or self.has_capacity(request, node, now, now):
            return 0
        deadline = request.deadline
        if deadline - node.up_since >= warm_up_time or self.has_capacity(request, node, deadline, now):
            return now + CONTROL_INTERVAL
        return NEVER

    def has_capacity(self, request: Request, node: Node, at: int, now: int) -> bool:
        """Return whether this host's share of a warming-up node allows the request at `at` (microseconds).

        The share is this host's part of the capacity in any overload window, scaled by the promised capacity
        fraction. With many hosts the share is less than one request; three quarters of it then accrue over
        time, and the hosts take turns by host number for the first request.
        """
        if self.state.handed_over:
            return False  # this host's whole share belongs to the next process
        known_since = self.state.spending_known_since
        if known_since >= 0 and at < known_since + self.rules.overload_window:
            return False  # the next process may have used the whole share before it died
        share = self._share(request, node, at, now)
        sent = node.sent_since(at - self.rules.overload_window)
        if sent + request.units <= share * self.capacity_fraction(node, at):
            return True
        return not sent and self._has_earned(request, node, at, share)

    def _share(self, request: Request, node: Node, at: int, now: int) -> float:
        """Return this host's share of the warm node's capacity, in units within the overload window."""
        rules = self.rules
        # New data may go to any node, so any host may send it to this one.
        hosts = self.state.settings.hosts if request.shard == -1 else self.expected_senders(now)
        # The guaranteed capacity is that of the slowest node. A node that has answered this host may have
        # more: at least what it does for one attempt at a time. If that was cheap work, the estimate is too
        # high.
        observed_capacity = 0.0
        if node.unit_latency and not node.in_flight:
            observed_capacity = rules.overload_multiple * rules.overload_window / node.unit_latency
        capacity = max(rules.warm_up_units / rules.warm_up_from, observed_capacity)
        return capacity / hosts * (LATE_FRACTION if request.is_late(node, at) else 1.0)

    def _has_earned(self, request: Request, node: Node, at: int, share: float) -> bool:
        """Return whether this host's share, accrued since its sends are known, covers the request."""
        settings = self.state.settings
        windows = (at - node.sends_known_since) / max(1, self.rules.overload_window)
        mean_fraction = self.capacity_fraction(node, (node.sends_known_since + at) // 2)
        earned = EARNED_FRACTION * share * windows * mean_fraction
        turn = (settings.host_index + node.up_since // MS) % settings.hosts
        return earned >= node.units_sent + turn / settings.hosts * request.units
