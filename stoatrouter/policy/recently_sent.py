"""Expires the recorded sends and keys of nodes to which nothing more is sent.

For a node that still gets requests, old records are dropped with each send (`Node.note_sent`). Nodes are kept
in the order of their last sends, so that a pass visits only those whose records have expired.
"""

from __future__ import annotations

from collections import OrderedDict

from stoatrouter.policy.node import Node


class RecentlySent:
    """The nodes with recorded sends or keys, each at most once; times are microseconds."""

    def __init__(self, send_span: int, key_span: int) -> None:
        """Start with no nodes.

        Args:
            send_span: how long a send counts.
            key_span: how long after its last send a node is assumed to have keys cached.
        """
        self.send_span = send_span
        self.key_span = key_span
        self._with_sends: OrderedDict[Node, int] = OrderedDict()  # and the time of each node's last send
        self._with_keys: OrderedDict[Node, int] = OrderedDict()  # the same, where the sends have expired

    def note(self, node: Node, now: int) -> None:
        """Record a send to a node at `now`, which must not be before the last recorded time."""
        self._with_sends[node] = now
        self._with_sends.move_to_end(node)

    def forget_old(self, now: int) -> None:
        """Drop the sends, and later the keys, of nodes whose last send is too old."""
        while self._with_sends and (oldest := next(iter(self._with_sends.items())))[1] < now - self.send_span:
            node, sent_at = oldest
            del self._with_sends[node]
            node.recent_sends.clear()
            self._with_keys[node] = sent_at
            self._with_keys.move_to_end(node)
        while self._with_keys and (oldest := next(iter(self._with_keys.items())))[1] < now - self.key_span:
            node, _ = oldest
            del self._with_keys[node]
            if node not in self._with_sends:
                node.recent_keys.clear()
