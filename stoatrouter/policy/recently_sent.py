"""Drops what nodes hold of their sends once it is of no more use, though nothing more is sent to them.

What is held of a node that goes on to get requests is dropped with each send (`Node.note_sent`). Nodes are
kept in the order of their last sends, so that a pass looks at those alone whose time is over.
"""

from __future__ import annotations

from collections import OrderedDict

from stoatrouter.policy.node import Node


class RecentlySent:
    """The nodes that hold something of their sends, at most once each; times are microseconds."""

    def __init__(self, send_span: int, key_span: int) -> None:
        """Hold no node.

        Args:
            send_span: for how long a send counts.
            key_span: after how long without a send a node is no longer taken to have keys cached.
        """
        self.send_span = send_span
        self.key_span = key_span
        self._with_sends: OrderedDict[Node, int] = OrderedDict()  # and when each was last sent to
        self._with_keys: OrderedDict[Node, int] = OrderedDict()  # the same, its sends count no more

    def note(self, node: Node, now: int) -> None:
        """Something was sent to a node at `now`, which is never before the last time given."""
        self._with_sends[node] = now
        self._with_sends.move_to_end(node)

    def forget_old(self, now: int) -> None:
        """Have nodes drop their sends, and later their keys, where the last send is too old."""
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
