"""Applies the endpoint list: phases, restarts and the subscription to watch events. Terms: interface.py."""

from __future__ import annotations

from dataclasses import replace

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import ListKind, Phase
from stoatrouter.policy.node import Node
from stoatrouter.policy.placement import Placement
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import SECOND

RESUBSCRIBE_INTERVAL = 2 * SECOND  # between two attempts to subscribe; jitter is added


class EndpointTracker:
    """Keeps the scheduler's nodes in step with the endpoint list."""

    def __init__(self, state: SchedulerState, placement: Placement) -> None:
        """Use the scheduler's shared state; there is no subscription yet."""
        self.state = state
        self.placement = placement
        self.subscribed = False
        self.next_subscribe_at = 0
        # Listed start times that lay in the future when they were first listed, and when that was, by node.
        self.future_starts: dict[str, tuple[int, int]] = {}

    def apply_update(self, event: api.EndpointList, now: int) -> None:
        """Apply the endpoint list or a watch event, and place again all requests that are not in flight."""
        if event.kind is ListKind.UNAVAILABLE:
            self.subscribed = False
            return
        self.subscribed = self.subscribed or event.kind is not ListKind.RESTORED
        if event.kind is not ListKind.CHANGES:
            self._mark_unlisted_gone(event.entries)
        for entry in event.entries:
            self._update(entry, now, now if event.since is None else event.since)
        for request in self.state.requests.values():
            if not request.done and not request.in_flight():
                self.placement.place(request, now)  # sent by the next control cycle

    def _mark_unlisted_gone(self, entries: tuple[api.NodeEntry, ...]) -> None:
        listed = {entry.node for entry in entries}
        for node in self.state.nodes.values():
            if node.id not in listed:
                node.phase = Phase.GONE

    def _update(self, entry: api.NodeEntry, now: int, since: int) -> None:
        """Apply one endpoint: a new node, a change of phase, or a restart."""
        entry = replace(entry, up_since=self._start_of(entry, now))
        known_since = self._known_since(entry, now)
        node = self.state.nodes.get(entry.node)
        if node is None:
            node = self.state.nodes[entry.node] = self.state.new_node(entry, known_since)
        if entry.phase is not node.phase:
            self._set_phase(node, entry.phase, since)
        if entry.up_since != node.up_since:
            node.restart(entry.up_since, known_since)

    def _start_of(self, entry: api.NodeEntry, now: int) -> int:
        """Return when a node started: one that is listed as starting in the future has just started.

        Its machine's clock, or this one's, is off. By the listed time it would stay cold until then.
        """
        listed, first_seen = self.future_starts.get(entry.node, (entry.up_since, entry.up_since))
        if listed == entry.up_since and first_seen <= now:
            return first_seen
        self.future_starts.pop(entry.node, None)
        if entry.up_since <= now or entry.phase is Phase.GONE:
            return entry.up_since
        self.future_starts[entry.node] = entry.up_since, now
        return now

    def _known_since(self, entry: api.NodeEntry, now: int) -> int:
        """Return from when this host knows what it sent to a new or restarted node (microseconds).

        A host that has just started does not know what it sent before. Otherwise the node accrues capacity
        for one overload window at most.
        """
        if now > self.state.started_at:
            return max(entry.up_since, now - self.state.rules.overload_window)
        return max(entry.up_since, now)

    def _set_phase(self, node: Node, phase: Phase, since: int) -> None:
        """Change a node's phase; if draining, it accepts work for the grace after `since` (microseconds)."""
        grace = 0  # none for a node that was gone, which may have been draining for long
        if node.phase is Phase.ON:
            grace = self.state.rules.drain_grace - self.state.settings.tick
        node.phase = phase
        node.drain_ends_at = grace + since

    def subscribe_if_due(self, now: int) -> None:
        """Subscribe where the settings require it; retry after an interval with jitter."""
        if self.state.settings.must_subscribe and not self.subscribed and now >= self.next_subscribe_at:
            self.state.actions.append(api.Subscribe())
            self.next_subscribe_at = now + self.state.jitter(RESUBSCRIBE_INTERVAL)
