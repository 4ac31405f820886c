"""Sound answers that a node writes slowly are served whole; one that hangs is hedged where allowed."""

from __future__ import annotations

import http.client
import json
import secrets

import pytest

from benchmarks.pressure.stand_ins import serve_nodes
from benchmarks.pressure.trial import SETTINGS, configuration, receive, running, running_head
from stoatrouter.policy import Scheduler
from stoatrouter.policy import interface as api

SHORTEST_PROMISE = 150_000  # microseconds, of a class that the requests here do not have
LATE = "&late=0.45"
SHAPES = [
    "size=40000&hang=1",
    f"size=40000{LATE}",
    f"size=40000&chunked=1{LATE}",
    f"size=220000{LATE}",
    f"size=220000&chunked=1{LATE}",
    "size=204800&piece=102400&gap=0.4&chunked=1",
    "size=64000&piece=4000&gap=0.04",
]


def export(port: int, query: str) -> int:
    """Read a long answer in the slowest class; returns its length, 0 unless it is 200 and whole."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    fields = {
        "Req-Id": secrets.token_hex(8),
        "Req-Kind": "stats-export",
        "X-Plan": "premium",
        "Req-Deadline-Ms": "5000",
        "X-IO": "units=1,shard=0,hosts=1",
    }
    connection.request("GET", f"/stats-export/00000000b4d60021/00000000b4d60022?{query}", headers=fields)
    response = connection.getresponse()
    length = len(response.read())
    connection.close()
    return length if response.status == 200 else 0


def test_a_quick_class_does_not_cut_off_slow_answers_of_another():
    settings = json.loads(SETTINGS.read_text())
    settings["Classes"][0]["Promise"] = SHORTEST_PROMISE
    with running(serve_nodes) as nodes:
        ports, discovery = receive(nodes)
        with running_head(configuration(ports, discovery, 192, 1024, settings)) as head:
            lengths = {shape: export(head.port, shape) for shape in SHAPES}
    assert lengths == {shape: int(shape.partition("size=")[2].split("&")[0]) for shape in SHAPES}


# -- decisions -----------------------------------------------------------------------------------------------
def stalled(effect: api.Effect, parallel: bool, **more: int) -> list[api.Action]:
    """Return the actions for a request of a class whose only attempt has stalled."""
    request_class = api.RequestClass(
        "c", 1, 400_000, 2_000_000, effect=effect, repeat_window=more.get("window", 5_000_000)
    )
    settings = api.Settings((request_class,), (api.Plan("p", 7),), max_attempts=3, parallel_attempts=parallel)
    scheduler = Scheduler(settings, 1)
    nodes = tuple(api.NodeEntry(f"n{number}", 0) for number in range(more.get("nodes", 2)))
    scheduler.handle(1_000_000, api.EndpointList(api.ListKind.FULL, nodes))
    sent = scheduler.handle(1_000_000, api.RequestArrived("r", "v", 0, 0, 0, 2_000_000))
    assert any(isinstance(action, api.Send) for action in sent)
    return scheduler.handle(1_400_000, api.AttemptStalled("r", 0))


@pytest.mark.parametrize("nodes", [1, 2])
@pytest.mark.parametrize(
    ("effect", "parallel", "window", "hedged"),
    [
        (api.Effect.SAFE, True, 0, True),
        (api.Effect.SAFE, False, 0, False),
        (api.Effect.IDEMPOTENT, True, 5_000_000, True),
        (api.Effect.IDEMPOTENT, True, 300_000, False),
        (api.Effect.UNSAFE, True, 0, False),
    ],
)
def test_a_stalled_attempt_is_hedged_only_where_class_and_settings_allow_it(
    effect, parallel, window, hedged, nodes
):
    actions = stalled(effect, parallel, window=window, nodes=nodes)
    assert [action.request for action in actions if isinstance(action, api.Send)] == ["r"] * hedged
    assert not any(isinstance(action, api.Reject | api.Fail | api.CancelAttempt) for action in actions)
