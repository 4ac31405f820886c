"""State shared by the parts of one host's scheduler: settings, nodes, requests. Terms: interface.py."""

from __future__ import annotations

import random
import sys
from operator import methodcaller

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import Node
from stoatrouter.policy.node_index import NodeIndex
from stoatrouter.policy.request import Request
from stoatrouter.policy.units import SECOND
from stoatrouter.policy.volume import Volume

IDLE_LATENCY_FRACTION = 0.25  # of the tightest objective: the expected latency of an idle node
MAX_EXAMINED = 16  # volumes in the search for one to drop
RETENTION = 60 * SECOND  # beyond the longest deadline: how long unused volumes and gone nodes are retained


class SchedulerState:
    """The mutable state of one host's scheduler, and values derived once from its settings."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start without nodes, volumes or requests; `seed` makes jitter and tie-breaking reproducible."""
        classes = settings.classes
        self.settings = settings
        self.rules = settings.rules
        self.random = random.Random(seed)
        self.tightest_objective = min(c.latency_objective for c in classes)
        self.idle_latency = IDLE_LATENCY_FRACTION * self.tightest_objective
        # The lowest latency expected of an answer.
        self.min_latency = int(IDLE_LATENCY_FRACTION * self.tightest_objective / 2)
        self.retention = RETENTION + max(c.deadline for c in classes)
        self.background_classes = background_classes(classes)
        self.nodes: NodeIndex[Node] = NodeIndex(self.rules.warm_up_time, methodcaller("load"))
        self.requests: dict[str, Request] = {}
        self.volumes: dict[str, Volume] = {}
        self.max_volumes = sys.maxsize
        self.started_at = -1  # the time of the first event; -1: none yet
        # Since when this host knows what it spends and sends; -1: since the first event. What another process
        # of it did before is not known after that one has died.
        self.spending_known_since = -1
        self.resumed_at = 0  # when this host last resumed after a stall
        self.handed_over = False  # to this host's next process, while this one finishes its requests
        self.actions: list[api.Action] = []  # of the current event, in the order to take them

    @property
    def limits_since(self) -> int:
        """From when the limits of volumes that are seen for the first time fill up (microseconds)."""
        return max(self.started_at, self.spending_known_since)

    def make_room_for_volume(self, now: int) -> bool:
        """Return whether one more volume may be recorded, after dropping old ones that this does no harm to.

        Only those without open requests and with a full limit are dropped, of MAX_EXAMINED old ones.
        """
        for _ in range(MAX_EXAMINED):
            if len(self.volumes) < self.max_volumes:
                return True
            name = next(iter(self.volumes))
            volume = self.volumes.pop(name)
            if volume.open_requests or not volume.is_full(now):
                self.volumes[name] = volume  # at the end of the order
        return len(self.volumes) < self.max_volumes

    def jitter(self, span: float) -> int:
        """Return a time span (microseconds) scaled by a random factor from 0.5 to 1.5."""
        return int(span * (0.5 + self.random.random()))

    def new_node(self, entry: api.NodeEntry, known_since: int) -> Node:
        """Create the record of a listed node; its sends are known from `known_since` (microseconds)."""
        return Node(entry, self.settings.hosts, self.tightest_objective, known_since)


def background_classes(classes: tuple[api.RequestClass, ...]) -> set[str]:
    """Return the classes with a priority weight below the mean and a latency objective above the mean."""
    mean_weight = sum(c.priority_weight for c in classes) / len(classes)
    mean_objective = sum(c.latency_objective for c in classes) / len(classes)
    return {
        c.name for c in classes if c.priority_weight < mean_weight and c.latency_objective > mean_objective
    }
