"""The node list of the core, and the nodes that operators took out of service."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

from stoatrouter.policy import interface as api

MAX_NODES_OUT = 16_384  # nodes; beyond this, unlisted nodes are forgotten, the longest out of service first
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
    """Nodes that operators took out of service, independent of node lists and processes of this head."""

    out: dict[str, timedelta] = field(default_factory=dict)  # out of service since
    back: dict[str, tuple[timedelta, timedelta]] = field(default_factory=dict)  # out since, back since

    def take_out(self, node: str, now: timedelta) -> None:
        """Mark a node as out since `now`, or since it was first out if it was put back in the meantime."""
        since, _ = self.back.pop(node, (now, now))
        self.out.setdefault(node, min(since, now))

    def put_back(self, node: str, now: timedelta) -> None:
        """Mark a node as back since `now`; no effect on a node that is not out."""
        if (since := self.out.pop(node, None)) is not None:
            self.back[node] = (since, now)

    def forget_back(self, listed: Mapping[str, NodeInfo], now: timedelta) -> None:
        """Forget nodes that were put back long ago, except where the list still shows an older start time.

        For the decision module, such a node started when it was put back. If it were forgotten here, it would
        appear to have restarted, and the decision module would discard all it has learnt about it.
        """
        old = [node for node, (_, back) in self.back.items() if now - back > RETURNED_NODE_RETENTION]
        for node in old:
            entry = listed.get(node)
            if entry is None or entry.started >= self.back[node][0]:
                del self.back[node]

    def forget_surplus(self, listed: Container[str]) -> list[str]:
        """Forget unlisted nodes that are out, beyond `MAX_NODES_OUT`; listed nodes are never forgotten.

        Returns:
            The forgotten nodes, which from now on count as never taken out.
        """
        surplus = len(self.out) - MAX_NODES_OUT
        unlisted = [node for node in self.out if node not in listed] if surplus > 0 else []
        forgotten = unlisted[: max(0, surplus)]
        for node in forgotten:
            del self.out[node]
        return forgotten

    def shifted(self, offset: timedelta) -> AdministrativeState:
        """Return the state with its times moved by `offset`, to another process's clock."""
        return AdministrativeState(
            {node: since + offset for node, since in self.out.items()},
            {node: (since + offset, until + offset) for node, (since, until) in self.back.items()},
        )

    def effective(self, node: NodeInfo) -> NodeInfo:
        """Return a listed node for the decision module, with phase or start time overridden by operators."""
        if node.id in self.out:
            return node if node.phase is api.Phase.GONE else replace(node, phase=api.Phase.DRAINING)
        since, back = self.back.get(node.id, (node.started, node.started))
        if node.started < since:
            # The node may have restarted while it was out, without the list showing it, so it warms up.
            return replace(node, started=back)
        return node
