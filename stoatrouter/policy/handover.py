"""Handover of the decision module's state from one process of a host to the next, as plain data.

Together the two processes keep every limit as one host does. The tokens left in a limit's bucket are divided
between them, and only the new process's share refills; only the new process sends to nodes that warm up; and
its windows count the attempts that the old process still has in flight.

Times are those of the process that writes them. It adds its own time, and the monotonic time of the machine,
so that the next one can carry them over to its own clock: the system's time may have been stepped in between.

The keys of the data are a stored form that a process of another version reads: an attribute may be renamed,
its key may not.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from stoatrouter.policy import interface as api
from stoatrouter.policy.node import RECENT_KEY_COUNT, Node
from stoatrouter.policy.scheduler import Scheduler
from stoatrouter.policy.volume import Volume

# Of the tokens beyond what the pending requests need: clients keep sending to the old process until they have
# their answers.
RETAINED_FRACTION = 0.2
# Seconds' worth of a limit's rate that the new process does not get: it has to open its connections again,
# and its first sends arrive late.
STARTUP_LOSS_SECONDS = 0.3

# The keys whose values are times; 0 stands for never.
VOLUME_TIMES = ("stamp",)
NODE_TIMES = ("closes", "known", "cut_at", "last_sent", "heard", "read_at", "newest", "crowd_at")

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
    """Give up most of the tokens of limits, and return the state that the next process needs.

    Args:
        scheduler: of the ending process; from now on it sends nothing to nodes that warm up.
        now: in microseconds.

    Returns:
        Plain data that can be written as JSON, under the keys that every version reads.
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
    """Return the units of requests that have not been sent yet, by volume."""
    units: dict[Volume, float] = {}
    for request in scheduler.requests.values():
        if not request.done and not request.attempts:
            units[request.volume] = units.get(request.volume, 0.0) + request.units
    return units


def volume_state(volume: Volume, waiting: float, now: int) -> dict[str, Any]:
    """Return the state of a volume to hand over, and take the tokens handed over off its bucket.

    Args:
        volume: the old process's record; its limit no longer refills.
        waiting: units of its requests that the old process has yet to send.
        now: in microseconds.
    """
    volume.refill(now).limit_refills = False
    state = {key: getattr(volume, attribute) for key, attribute in VOLUME_ATTRIBUTES.items()}
    if volume.plan.limit:
        left = max(0.0, volume.limit_tokens - volume.limit_floor)
        needed = min(left, waiting)
        retained = needed + RETAINED_FRACTION * (left - needed)
        lost = STARTUP_LOSS_SECONDS * volume.plan.limit / volume.hosts
        state["store"] = max(volume.limit_floor, volume.limit_tokens - retained - lost)
        volume.limit_tokens = volume.limit_floor + retained
    return state


def node_state(node: Node) -> dict[str, Any]:
    """Return the state of a node to hand over."""
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
    """Resume after the next process has died: token buckets refill from the tokens left here.

    What that process has spent is not known. Volumes that are seen for the first time from now on may have
    spent all of their limit there, and nodes that warm up may have been sent all of this host's share.
    """
    scheduler.state.handed_over = False
    scheduler.state.spending_known_since = now
    for volume in scheduler.volumes.values():
        volume.refill(now).limit_refills = True


def shift_times(data: dict[str, Any], offset: int) -> dict[str, Any]:
    """Return handed-over data with its times moved by `offset` microseconds, to another process's clock.

    The start times of nodes are those of the endpoint list, and stay.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: where the form of the data is unknown.
    """
    return data | {
        "born": data["born"] + offset,
        "rests": {key: until + offset for key, until in data["rests"].items()},
        "asked": [[shard, at + offset] for shard, at in data.get("asked", ())],
        "volumes": {
            name: volume | shifted(volume, VOLUME_TIMES, offset) for name, volume in data["volumes"].items()
        },
        "nodes": {
            name: node
            | shifted(node, NODE_TIMES, offset)
            | {"sent": [[at + offset, units] for at, units in node["sent"]]}
            for name, node in data["nodes"].items()
        },
    }


def shifted(state: dict[str, Any], keys: tuple[str, ...], offset: int) -> dict[str, Any]:
    """Return the times under these keys moved by `offset` microseconds, where they are there and not 0."""
    return {key: state[key] + offset for key in keys if state.get(key)}


def take_over(scheduler: Scheduler, data: dict[str, Any]) -> None:
    """Restore the state of the previous process, once its endpoint list has been applied.

    Args:
        scheduler: of the starting process.
        data: what `hand_over` returned, possibly in a process of another version.

    Raises:
        KeyError, TypeError, ValueError, AttributeError, IndexError: where the form of the data is unknown.
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
        restore_nodes(scheduler, data["nodes"])
    finally:  # also covers the nodes restored before an entry that cannot be read
        schedule_send_expiry(scheduler)


def restore_nodes(scheduler: Scheduler, nodes: dict[str, Any]) -> None:
    """Restore the nodes handed over; one that is not in the endpoint list is added as gone."""
    for name, state in nodes.items():
        node = scheduler.nodes.get(name)
        if node is None:
            # Its sends still count should it be listed again.
            entry = api.NodeEntry(name, state["shard"], state["zone"], api.Phase.GONE)
            node = scheduler.nodes[name] = scheduler.state.new_node(entry, state["known"])
        restore_node(node, state)


def schedule_send_expiry(scheduler: Scheduler) -> None:
    """Have the restored sends and keys of nodes expire in time."""
    sent_to = [node for node in scheduler.nodes.values() if node.recent_sends or node.recent_keys]
    for node in sorted(sent_to, key=last_sent_time):
        scheduler.recently_sent.note(node, last_sent_time(node))


def last_sent_time(node: Node) -> int:
    """Return when a node was last sent to, as far as the handed-over state tells (microseconds)."""
    return node.recent_sends[-1][0] if node.recent_sends else node.last_sent_at


def restore_node(node: Node, state: dict[str, Any]) -> None:
    """Restore one node's state; of a node that has restarted since, only its recent sends.

    Args:
        node: the new process's node of that name.
        state: the node's entry in the data, under the keys of `NODE_ATTRIBUTES` and the extra keys written by
            `node_state`; where an older version did not write a key of `NODE_ATTRIBUTES`, the attribute keeps
            its value.
    """
    node.recent_sends = deque((int(at), float(units)) for at, units in state["sent"])
    if node.up_since != state["up_since"]:
        return  # the node has restarted since
    for key, attribute in NODE_ATTRIBUTES.items():
        setattr(node, attribute, state.get(key, getattr(node, attribute)))
    node.controller_errors = tuple(state["errors"])
    node.write_rates = dict(state["writes"])
    node.throttleable = set(state["throttled"])
    node.recent_keys = deque(state["keys"], maxlen=RECENT_KEY_COUNT)
