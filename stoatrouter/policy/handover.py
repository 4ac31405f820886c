"""What one process of a host hands to the next: all that the decision module has learnt, as plain data.

Together the two keep every limit as one host. What is left of a limit's store is dealt out between them, and
only the new one's part fills; a cold node gets work from the new one only; its windows count what the old one
still has out.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from stoatrouter.policy import interface as api
from stoatrouter.policy.logic import Scheduler
from stoatrouter.policy.rules import CACHED_KEY_COUNT, Node
from stoatrouter.policy.volume import Volume

# Of what is left of a store beyond what the old process holds for: its clients come until their answers.
OLD_PART = 0.2
# Taken off each store: the new process opens its connections anew, and what it sends first comes late.
LATE = 0.3  # seconds of its limit
VOLUME = ("hosts", "stamp", "excess", "reserve", "store", "lowest")
NODE = (
    "closes",
    "up_since",
    "known",
    "spent",
    "window",
    "cut_at",
    "last_sent",
    "reads",
    "answers",
    "trip",
    "step",
    "output",
    "pinned",
    "heard",
    "read_at",
    "newest",
    "quiet",
    "crowd",
    "crowd_at",
    "unit",
)


def hand_over(scheduler: Scheduler, now: int) -> dict[str, Any]:
    """Give up all but a part of the stores, and tell what the next process needs."""
    reserved: dict[int, float] = {}
    for r in scheduler.requests.values():
        if not r.done and not r.attempts:
            reserved[id(r.volume)] = reserved.get(id(r.volume), 0.0) + r.units
    scheduler.handed = True
    plans = scheduler.settings.plans
    volumes = {}
    for name, volume in scheduler.volumes.items():
        volume.at(now).fills = False
        state = {key: getattr(volume, key) for key in VOLUME}
        if volume.plan.limit:
            left = max(0.0, volume.store - volume.lowest)
            needed = min(left, reserved.get(id(volume), 0.0))
            retained = needed + OLD_PART * (left - needed)
            late = LATE * volume.plan.limit / volume.hosts
            state["store"] = max(volume.lowest, volume.store - retained - late)
            volume.store = volume.lowest + retained
        volumes[name] = state | {"plan": plans.index(volume.plan)}
    nodes = {
        name: {key: getattr(node, key) for key in NODE}
        | {
            "shard": node.shard,
            "zone": node.zone,
            "errors": list(node.errors),
            "writes": node.writes,
            "throttled": sorted(node.throttled),
            "sent": [list(pair) for pair in node.sent],
            "keys": list(node.keys),
        }
        for name, node in scheduler.nodes.items()
    }
    return {
        "born": scheduler.born,
        "vanish": scheduler.vanish,
        "rests": scheduler.rests,
        "asked": list(scheduler.asked.times.items()),
        "volumes": volumes,
        "nodes": nodes,
    }


def take_back(scheduler: Scheduler, now: int) -> None:
    """The next process died: the stores fill again, from what is left of them here."""
    scheduler.handed = False
    for volume in scheduler.volumes.values():
        volume.at(now).fills = True


def take_over(scheduler: Scheduler, data: dict[str, Any]) -> None:
    """Know what the process before knew. Its list has been state already; what is in none is not taken."""
    settings = scheduler.settings
    scheduler.born, scheduler.vanish = int(data["born"]), float(data["vanish"])
    scheduler.rests = {str(key): int(at) for key, at in data["rests"].items()}
    for shard, at in sorted(data.get("asked", ()), key=lambda pair: pair[1]):
        scheduler.asked.note(int(shard), int(at))
    for name, state in data["volumes"].items():
        volume = Volume(state["stamp"], settings.plans[state["plan"]], state["hosts"], settings.max_units)
        for key in VOLUME:
            setattr(volume, key, state[key])
        scheduler.volumes[name] = volume
    for name, state in data["nodes"].items():
        node = scheduler.nodes.get(name)
        if node is None:
            # it is gone from the list, yet what was sent to it counts should it come back
            entry = api.NodeEntry(name, state["shard"], state["zone"], api.Phase.GONE)
            node = scheduler.nodes[name] = Node(entry, settings.hosts, state["known"])
        learn(node, state)


def learn(node: Node, state: dict[str, Any]) -> None:
    """Read one node's handed-over state into `node`, unless it restarted since.

    Args:
        node: the taker's node of that name.
        state: the node's entry in the handed data, under the keys of `NODE` and the extra keys written by
            `hand_over`; a key missing (written by a version that knew less) leaves the attribute as it is.
    """
    node.sent = deque((int(at), float(units)) for at, units in state["sent"])
    if node.up_since != state["up_since"]:
        return  # it was restarted since
    for key in NODE:  # guards what is state against a version that knew less: it keeps what a start has
        setattr(node, key, state.get(key, getattr(node, key)))
    node.errors = tuple(state["errors"])
    node.writes, node.throttled = dict(state["writes"]), set(state["throttled"])
    node.keys = deque(state["keys"], maxlen=CACHED_KEY_COUNT)
