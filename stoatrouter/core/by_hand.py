"""Nodes that an operator has left out, laid over what discovery lists."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from cypressworks.interface import Phase
from stoatrouter.core.model import NodeInfo
from stoatrouter.core.spans import micros, span


@dataclass(slots=True)
class ByHand:
    """Since when nodes are out, and when those that were came back. It outlives lists and processes."""

    out: dict[str, timedelta] = field(default_factory=dict)
    back: dict[str, tuple[timedelta, timedelta]] = field(default_factory=dict)  # out since, back since

    def put_out(self, node: str, now: timedelta) -> None:
        since, _ = self.back.pop(node, (now, now))
        self.out.setdefault(node, min(since, now))

    def put_back(self, node: str, now: timedelta) -> None:
        if (since := self.out.pop(node, None)) is not None:
            self.back[node] = (since, now)

    def seen(self, node: NodeInfo) -> NodeInfo:
        """A listed node as the module is to see it."""
        if node.id in self.out:
            return node if node.phase is Phase.GONE else replace(node, phase=Phase.DRAINING)
        since, back = self.back.get(node.id, (node.started, node.started))
        if node.started < since:
            # Guards a node that was restarted while it was out, which the list may not tell yet: it is cold.
            return replace(node, started=back)
        return node

    def dump(self) -> dict[str, Any]:
        return {"out": {node: micros(at) for node, at in self.out.items()},
                "back": {node: [micros(a), micros(b)] for node, (a, b) in self.back.items()}}

    @classmethod
    def load(cls, data: Any) -> ByHand:
        """Read what dump wrote; ValueError where it is anything else."""
        try:
            return cls({str(node): span(int(at)) for node, at in data["out"].items()},
                       {str(node): (span(int(a)), span(int(b))) for node, (a, b) in data["back"].items()})
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
