"""Slow start: how much a node that is warming up bears of this host. Settings: `Rules` in interface.py."""

from __future__ import annotations

from stoatrouter.policy.node import Node
from stoatrouter.policy.node_index import RecentKeys
from stoatrouter.policy.request import Request
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import MS, NEVER, READ_EVERY

SENDERS_MARGIN = 1.5  # on how many hosts are expected to send to a node, for nodes that more send to
EARNED_PART = 0.75  # of a host's part is earned over time where the part is less than a request
LATE_PART = 0.5  # of a host's part is left to late requests; the rest waits for what will earn more


class SlowStart:
    """What a node bears while it warms up, and which part of that is this host's."""

    def __init__(self, state: SchedulerState) -> None:
        """Work on the scheduler's state; no shard has been asked for yet."""
        self.state = state
        self.rules = state.rules
        self.requested_shards = RecentKeys(state.rules.overload_window)

    def capacity_fraction(self, node: Node, at: int) -> float:
        """The least part of its capacity that a node has at `at`, by what is promised of its warming up."""
        if not node.up_since:
            return 1.0
        age = at - node.up_since
        if age >= self.rules.warm_up_time:
            return 1.0
        first = self.rules.warm_up_from
        return first + (1 - first) * max(0, age) / self.rules.warm_up_time

    def expected_senders(self, now: int) -> float:
        """How many hosts send to a node, as far as this one can tell.

        Where this host is asked for few of the nodes, so are the others, and on average all of them together
        have one whole part at each node. Harm: if wrong, a warming-up node gets more than it bears.
        """
        hosts = self.state.settings.hosts
        nodes = self.state.nodes.listed()
        if now - self.state.started_at < self.rules.overload_window or not nodes:
            return hosts  # what it is asked for is not known yet
        requested = self.requested_shards.count(now) + 2
        return max(1.0, hosts * min(1.0, SENDERS_MARGIN * requested / nodes))

    def blocked_until(self, request: Request, node: Node, now: int) -> int:
        """From when a warming-up node may take the request; 0: now.

        Returns:
            0 where the node is warm or has capacity, the next reading where it may have it within the
            request's deadline, else `NEVER`.
        """
        warm_up_time = self.rules.warm_up_time
        if now - node.up_since >= warm_up_time or self.has_capacity(request, node, now, now):
            return 0
        deadline = request.deadline
        if deadline - node.up_since >= warm_up_time or self.has_capacity(request, node, deadline, now):
            return now + READ_EVERY
        return NEVER

    def has_capacity(self, request: Request, node: Node, at: int, now: int) -> bool:
        """Whether this host's part of a warming-up node's capacity takes the request at `at` (microseconds).

        The share is this host's part of the capacity in any overload window, scaled by the promised capacity
        fraction. With many hosts the share is less than one request; three quarters of it then accrue over
        time, and the hosts take turns by host number for the first request.
        """
        if self.state.handed_over:
            return False  # all of this host's part is the next process's
        part = self._part(request, node, at, now)
        sent = node.sent_since(at - self.rules.overload_window)
        if sent + request.units <= part * self.capacity_fraction(node, at):
            return True
        return not sent and self._has_earned(request, node, at, part)

    def _part(self, request: Request, node: Node, at: int, now: int) -> float:
        """This host's part, in units within the overload window, of what the node bears once it is warm."""
        rules = self.rules
        # new data may go to any node, so any host may send it here
        hosts = self.state.settings.hosts if request.shard == -1 else self.expected_senders(now)
        # Always borne is what the slowest node bears. One that has answered this host bears more: at least
        # what it does in one place. Harm: if that was easy work, it is sent more than it bears.
        shown = 0.0
        if node.unit_latency and not node.in_flight:
            shown = rules.overload_multiple * rules.overload_window / node.unit_latency
        bears = max(rules.warm_up_units / rules.warm_up_from, shown)
        return bears / hosts * (LATE_PART if request.is_late(node, at) else 1.0)

    def _has_earned(self, request: Request, node: Node, at: int, part: float) -> bool:
        """Whether the parts of all windows since the node is known have added up to the request."""
        settings = self.state.settings
        windows = (at - node.sends_known_since) / max(1, self.rules.overload_window)
        mean_warmth = self.capacity_fraction(node, (node.sends_known_since + at) // 2)
        earned = EARNED_PART * part * windows * mean_warmth
        turn = (settings.host_index + node.up_since // MS) % settings.hosts
        return earned >= node.units_sent + turn / settings.hosts * request.units
