"""The node list of the core, and the nodes that operators took out of service."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

from stoatrouter.policy import interface as api

MAX_NODES_OUT = 16_384  # nodes; beyond, those that are not listed are forgotten, the first that was out first
RETURNED_NODE_RETENTION = timedelta(hours=1)  # far longer than any node takes to warm up


@dataclass(slots=True, frozen=True)
class NodeInfo:
    """One entry of the node list."""

    id: str
    address: str
    shard: int
    phase: api.Phase
    zone: int = 0
    weight: float = 1.0
    started: timedelta = timedelta(0)  # since the epoch; 0: long ago


@dataclass(slots=True)
class AdministrativeState:
    """Nodes that operators took out of service, over all node lists and processes of this head."""

    out: dict[str, timedelta] = field(default_factory=dict)  # since when
    back: dict[str, tuple[timedelta, timedelta]] = field(default_factory=dict)  # out since, back since

    def take_out(self, node: str, now: timedelta) -> None:
        """Mark a node as out since now; if it was put back meanwhile, since it first was out."""
        since, _ = self.back.pop(node, (now, now))
        self.out.setdefault(node, min(since, now))

    def put_back(self, node: str, now: timedelta) -> None:
        """Mark a node as back since now; without effect on a node that is not out."""
        if (since := self.out.pop(node, None)) is not None:
            self.back[node] = (since, now)

    def forget_back(self, listed: Mapping[str, NodeInfo], now: timedelta) -> None:
        """Forget which nodes were put back long ago, except where the list still shows an older start.

        Such a node has started for the decision module when it was put back: forgotten, it would count as
        restarted, and all that was learnt of it would be lost.
        """
        old = [node for node, (_, back) in self.back.items() if now - back > RETURNED_NODE_RETENTION]
        for node in old:
            entry = listed.get(node)
            if entry is None or entry.started >= self.back[node][0]:
                del self.back[node]

    def forget_surplus(self, listed: Container[str]) -> list[str]:
        """Forget nodes that are out, beyond the bound; those of the list never.

        Returns:
            Nodes that were out, and count as never taken out from now on.
        """
        surplus = len(self.out) - MAX_NODES_OUT
        unlisted = [node for node in self.out if node not in listed] if surplus > 0 else []
        forgotten = unlisted[: max(0, surplus)]
        for node in forgotten:
            del self.out[node]
        return forgotten

    def effective(self, node: NodeInfo) -> NodeInfo:
        """A listed node with the phase or start time that operators override, for the decision module."""
        if node.id in self.out:
            return node if node.phase is api.Phase.GONE else replace(node, phase=api.Phase.DRAINING)
        since, back = self.back.get(node.id, (node.started, node.started))
        if node.started < since:
            # Guards a node that was restarted while it was out, which the list may not show: it warms up.
            return replace(node, started=back)
        return node
