"""The handover between processes is stored data: the current code reads what commit 8ad4498 wrote."""

import json
from pathlib import Path

from stoatrouter.policy import handover
from tests.handover_scenario import HANDED_AT, play_before_handover, settings, take_over_from

WRITTEN_BEFORE = json.loads((Path(__file__).parent / "data" / "handover-8ad4498.json").read_text())

# The keys as 8ad4498 wrote them; the attributes that hold the values may have been renamed since.
VOLUME_KEYS = ("hosts", "stamp", "excess", "reserve", "store", "lowest")
NODE_KEYS = (
    *("closes", "up_since", "known", "spent", "window", "cut_at", "last_sent", "reads", "answers", "trip"),
    *("step", "output", "pinned", "heard", "read_at", "newest", "quiet", "crowd", "crowd_at", "unit"),
)


def as_sent(data: dict) -> dict:
    """Return what the other process reads: the handover is sent as JSON (`net/handover_socket.py`)."""
    return json.loads(json.dumps(data))


def drop_expired(handover_data: dict) -> dict:
    """Return the data without sends and shard requests before the overload window, which 8ad4498 kept."""
    oldest = HANDED_AT - settings().rules.overload_window
    nodes = {
        name: state | {"sent": [send for send in state["sent"] if send[0] >= oldest]}
        for name, state in handover_data["nodes"].items()
    }
    return handover_data | {
        "asked": [pair for pair in handover_data["asked"] if pair[1] >= oldest],
        "nodes": nodes,
    }


def test_the_same_decisions_hand_over_the_same_data_under_the_same_keys():
    handover_data = as_sent(handover.hand_over(play_before_handover(), HANDED_AT))
    assert handover_data == drop_expired(WRITTEN_BEFORE["handed"])


def test_a_handover_written_by_the_code_before_is_taken_over_with_the_same_state():
    successor = take_over_from(as_sent(WRITTEN_BEFORE["handed"]))
    assert as_sent(handover.hand_over(successor, HANDED_AT)) == WRITTEN_BEFORE["handed_on"]


def test_every_key_of_a_node_and_a_volume_is_read_into_the_state():
    handover_data = WRITTEN_BEFORE["handed"]
    successor = take_over_from(as_sent(handover_data))
    for name, state in handover_data["nodes"].items():
        node = successor.nodes[name]
        assert {key: getattr(node, attribute) for key, attribute in handover.NODE_ATTRIBUTES.items()} == {
            key: state[key] for key in NODE_KEYS
        }
    for name, state in handover_data["volumes"].items():
        volume = successor.volumes[name]
        assert {key: getattr(volume, attribute) for key, attribute in handover.VOLUME_ATTRIBUTES.items()} == {
            key: state[key] for key in VOLUME_KEYS
        }
