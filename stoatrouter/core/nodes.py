"""The node list of the core, and the nodes that operators took out of service."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta

from stoatrouter.policy import interface as api


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

    def effective(self, node: NodeInfo) -> NodeInfo:
        """A listed node with the phase or start time that operators override, for the decision module."""
        if node.id in self.out:
            return node if node.phase is api.Phase.GONE else replace(node, phase=api.Phase.DRAINING)
        since, back = self.back.get(node.id, (node.started, node.started))
        if node.started < since:
            # Guards a node that was restarted while it was out, which the list may not show: it warms up.
            return replace(node, started=back)
        return node
