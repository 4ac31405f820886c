"""Follows the endpoint list: phases, restarts, the subscription to watch events. Terms: interface.py."""

from __future__ import annotations

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import ListKind, Phase
from stoatrouter.policy.node import Node
from stoatrouter.policy.placement import Placement
from stoatrouter.policy.state import SchedulerState
from stoatrouter.policy.units import SECOND

RESUBSCRIBE_EVERY = 2 * SECOND  # between two attempts to subscribe, before jitter


class EndpointFollower:
    """Keeps the nodes as the endpoint list has them."""

    def __init__(self, state: SchedulerState, placement: Placement) -> None:
        """Work on the scheduler's state; nothing is subscribed to yet."""
        self.state = state
        self.placement = placement
        self.subscribed = False
        self.next_subscribe_at = 0

    def follow(self, event: api.EndpointList, now: int) -> None:
        """Take the endpoint list or a watch event, and place what is not in flight anew."""
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
                self.placement.place(request, now)  # sent with the next reading

    def _mark_unlisted_gone(self, entries: tuple[api.NodeEntry, ...]) -> None:
        listed = {entry.node for entry in entries}
        for node in self.state.nodes.values():
            if node.id not in listed:
                node.phase = Phase.GONE

    def _update(self, entry: api.NodeEntry, now: int, since: int) -> None:
        """Take one endpoint: a new node, another phase, or a restart."""
        known_since = self._known_since(entry, now)
        node = self.state.nodes.get(entry.node)
        if node is None:
            node = self.state.nodes[entry.node] = self.state.new_node(entry, known_since)
        if entry.phase is not node.phase:
            self._set_phase(node, entry.phase, since)
        if entry.up_since != node.up_since:
            node.restart(entry.up_since, known_since)

    def _known_since(self, entry: api.NodeEntry, now: int) -> int:
        """From when this host knows what it sent to a node.

        A restarted host cannot know what it sent before; else the node earned for a window at the most.
        """
        if now > self.state.started_at:
            return max(entry.up_since, now - self.state.rules.overload_window)
        return max(entry.up_since, now)

    def _set_phase(self, node: Node, phase: Phase, since: int) -> None:
        """Change a node's phase; it accepts work for the grace after `since` (microseconds)."""
        grace = 0  # one that was gone gets none: it may have been listed as draining long before
        if node.phase is Phase.ON:
            grace = self.state.rules.drain_grace - self.state.settings.tick
        node.phase = phase
        node.drain_ends_at = grace + since

    def subscribe_if_due(self, now: int) -> None:
        """Subscribe where the list must be asked for; after a failure again, later and with jitter."""
        if self.state.settings.must_subscribe and not self.subscribed and now >= self.next_subscribe_at:
            self.state.actions.append(api.Subscribe())
            self.next_subscribe_at = now + self.state.jitter(RESUBSCRIBE_EVERY)
