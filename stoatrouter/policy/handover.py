"""What one process of a host hands to the next: all that the decision module has learnt, as plain data.

Together the two keep every limit as one host. What is left of a limit's token bucket is divided between them,
and only the new one's part refills; a node that warms up gets work from the new one only; its windows count
what the old one still has in flight.

The keys of the data are a stored form: a process of another version reads them. An attribute may be renamed,
its key may not.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import RECENT_KEY_COUNT, Node
from stoatrouter.policy.scheduler import Scheduler
from stoatrouter.policy.volume import Volume

RETAINED_PART = (
    0.2  # of the tokens beyond what waits here: the old process's clients come until their answers
)
STARTUP_LOSS = (
    0.3  # seconds of a limit: the new process opens its connections anew, and first sends come late
)

VOLUME_ATTRIBUTES = {  # by key of the data
    "hosts": "hosts",
    "stamp": "refilled_at",
    "excess": "excess",
    "reserve": "reserve",
    "store": "limit_tokens",
    "lowest": "limit_floor",
}
NODE_ATTRIBUTES = {  # by key of the data
    "closes": "drain_ends_at",
    "up_since": "up_since",
    "known": "sends_known_since",
    "spent": "units_sent",
    "window": "window",
    "cut_at": "window_cut_at",
    "last_sent": "last_sent_at",
    "reads": "read_latency",
    "answers": "latency",
    "trip": "last_round_trip",
    "step": "delay_step",
    "output": "controller_output",
    "pinned": "saturated_readings",
    "heard": "answered_at",
    "read_at": "read_answered_at",
    "newest": "newest_answered",
    "quiet": "timeouts_in_a_row",
    "crowd": "reported_queue",
    "crowd_at": "queue_reported_at",
    "unit": "unit_latency",
}


def hand_over(scheduler: Scheduler, now: int) -> dict[str, Any]:
    """Give up all but a part of the token buckets, and return what the next process needs.

    Args:
        scheduler: of the process that ends; it sends nothing more to nodes that warm up.
        now: in microseconds.

    Returns:
        Plain data, fit for JSON, under the keys that every version reads.
    """
    scheduler.state.handed_over = True
    waiting = waiting_units(scheduler)
    volumes = {
        name: volume_state(volume, waiting.get(volume, 0.0), now)
        | {"plan": scheduler.settings.plans.index(volume.plan)}
        for name, volume in scheduler.volumes.items()
    }
    requested = scheduler.slow_start.requested_shards
    return {
        "born": scheduler.state.started_at,
        "vanish": scheduler.observer.loss_rate,
        "rests": scheduler.key_order.hold_down_until,
        "asked": list(requested.times.items()),
        "volumes": volumes,
        "nodes": {name: node_state(node) for name, node in scheduler.nodes.items()},
    }


def waiting_units(scheduler: Scheduler) -> dict[Volume, float]:
    """The units of requests that have not been sent yet, by volume."""
    units: dict[Volume, float] = {}
    for request in scheduler.requests.values():
        if not request.done and not request.attempts:
            units[request.volume] = units.get(request.volume, 0.0) + request.units
    return units


def volume_state(volume: Volume, waiting: float, now: int) -> dict[str, Any]:
    """The state of a volume to hand over; what is not retained is taken off its bucket here.

    Args:
        volume: the old process's record; from now on its limit does not refill.
        waiting: units of its requests that the old process has yet to send.
        now: in microseconds.
    """
    volume.refill(now).limit_refills = False
    state = {key: getattr(volume, attribute) for key, attribute in VOLUME_ATTRIBUTES.items()}
    if volume.plan.limit:
        left = max(0.0, volume.limit_tokens - volume.limit_floor)
        needed = min(left, waiting)
        retained = needed + RETAINED_PART * (left - needed)
        lost = STARTUP_LOSS * volume.plan.limit / volume.hosts
        state["store"] = max(volume.limit_floor, volume.limit_tokens - retained - lost)
        volume.limit_tokens = volume.limit_floor + retained
    return state


def node_state(node: Node) -> dict[str, Any]:
    """The state of a node to hand over."""
    return {key: getattr(node, attribute) for key, attribute in NODE_ATTRIBUTES.items()} | {
        "shard": node.shard,
        "zone": node.zone,
        "errors": list(node.controller_errors),
        "writes": node.write_rates,
        "throttled": sorted(node.throttleable),
        "sent": [list(send) for send in node.recent_sends],
        "keys": list(node.recent_keys),
    }


def take_back(scheduler: Scheduler, now: int) -> None:
    """Go on after the next process died: the token buckets refill, from what is left of them here."""
    scheduler.state.handed_over = False
    for volume in scheduler.volumes.values():
        volume.refill(now).limit_refills = True


def take_over(scheduler: Scheduler, data: dict[str, Any]) -> None:
    """Learn what the process before knew, after its endpoint list; nodes in neither list are left out.

    Args:
        scheduler: of the process that starts.
        data: what `hand_over` returned, perhaps of another version.

    Raises:
        KeyError, TypeError, ValueError, AttributeError, IndexError: where the data is of a form not known.
    """
    settings = scheduler.settings
    scheduler.state.started_at = int(data["born"])
    scheduler.observer.loss_rate = float(data["vanish"])
    scheduler.key_order.hold_down_until = {str(key): int(until) for key, until in data["rests"].items()}
    for shard, at in sorted(data.get("asked", ()), key=lambda pair: pair[1]):
        scheduler.slow_start.requested_shards.note(int(shard), int(at))
    for name, state in data["volumes"].items():
        plan = settings.plans[state["plan"]]
        volume = Volume(state["stamp"], plan, state["hosts"], settings.max_units)
        for key, attribute in VOLUME_ATTRIBUTES.items():
            setattr(volume, attribute, state[key])
        scheduler.volumes[name] = volume
    try:
        learn_nodes(scheduler, data["nodes"])
    finally:  # of what was learnt before an entry that cannot be read, too
        note_sends(scheduler)


def learn_nodes(scheduler: Scheduler, nodes: dict[str, Any]) -> None:
    """Read the handed-over nodes; one that is not listed here is taken as gone."""
    for name, state in nodes.items():
        node = scheduler.nodes.get(name)
        if node is None:
            # it is gone from the list, yet what was sent to it counts should it come back
            entry = api.NodeEntry(name, state["shard"], state["zone"], api.Phase.GONE)
            node = scheduler.nodes[name] = scheduler.state.new_node(entry, state["known"])
        learn(node, state)


def note_sends(scheduler: Scheduler) -> None:
    """Have what nodes hold of handed-over sends dropped in time."""
    sent_to = [node for node in scheduler.nodes.values() if node.recent_sends or node.recent_keys]
    for node in sorted(sent_to, key=last_send):
        scheduler.recently_sent.note(node, last_send(node))


def last_send(node: Node) -> int:
    """When a node was last sent to, as far as the process before has handed it over (microseconds)."""
    return node.recent_sends[-1][0] if node.recent_sends else node.last_sent_at


def learn(node: Node, state: dict[str, Any]) -> None:
    """Read one node's handed-over state into `node`, unless it restarted since.

    Args:
        node: the taker's node of that name.
        state: the node's entry in the handed data, under the keys of `NODE_ATTRIBUTES` and the extra keys
            written by `node_state`; a key missing (written by a version that knew less) leaves the attribute
            as it is.
    """
    node.recent_sends = deque((int(at), float(units)) for at, units in state["sent"])
    if node.up_since != state["up_since"]:
        return  # it was restarted since
    for key, attribute in NODE_ATTRIBUTES.items():
        setattr(node, attribute, state.get(key, getattr(node, attribute)))
    node.controller_errors = tuple(state["errors"])
    node.write_rates = dict(state["writes"])
    node.throttleable = set(state["throttled"])
    node.recent_keys = deque(state["keys"], maxlen=RECENT_KEY_COUNT)
