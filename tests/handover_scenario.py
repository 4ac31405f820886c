"""A host's decisions up to a handover, the same with the code of 8ad4498 and with the current code.

`tests/data/handover-8ad4498.json` was written with this file by the code at /work/wt-before (main at
8ad4498), in the form that processes hand over (`json.dumps` in `stoatrouter/net/handover_socket.py`):

    cd /work/wt-before && PYTHONDONTWRITEBYTECODE=1 /work/main/.ci-venv/bin/python -c \
        "import sys; sys.path.append('/work/wt-policy/tests'); import handover_scenario as s; s.write('OUT')"

Only names that exist in both versions are used here: the interface's records and events, `Scheduler`,
`handover.hand_over`, `handover.take_over`.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from stoatrouter.policy import Scheduler, handover
from stoatrouter.policy import interface as api

SECOND = 1_000_000  # microseconds
HANDED_AT = 20 * SECOND  # microseconds since the scheduler's clock began
CLASSES = (
    api.RequestClass("read", priority_weight=2, latency_objective=400_000, deadline=2 * SECOND),
    api.RequestClass("write", priority_weight=1, latency_objective=800_000, deadline=4 * SECOND, writes=True),
)
PLANS = (
    api.Plan("plain", usual_rate=100),
    api.Plan("limited", usual_rate=5, reserve=1, weight=1, limit=20, burst=40, tolerance=4),
)
NODES = (api.NodeEntry("n0", 0, zone=0), api.NodeEntry("n1", 0, zone=1), api.NodeEntry("n2", 1, zone=0))


def settings() -> api.Settings:
    """Return the settings of both processes: two classes, a plan without a limit and one with a limit."""
    return api.Settings(classes=CLASSES, plans=PLANS, max_units=4)


def play_before_handover() -> Scheduler:
    """Run requests with different outcomes, so that nodes and volumes have state to hand over."""
    scheduler = Scheduler(settings(), seed=1)
    scheduler.handle(SECOND, api.EndpointList(api.ListKind.RESTORED, NODES))
    outcomes = (api.Outcome.OK, api.Outcome.OK, api.Outcome.TIMEOUT, api.Outcome.OK, api.Outcome.FULL)
    now = SECOND
    for i in range(40):
        now += 250_000
        name = f"r{i}"
        plan = i % 2
        request_class = int(i % 3 == 0)
        shard = i % 2
        arrived = api.RequestArrived(
            name, f"v{i % 4}", plan, request_class, shard, 2 * SECOND, 1.0 + i % 3, key=f"k{i % 5}"
        )
        actions = scheduler.handle(now, arrived)
        sends = [action for action in actions if isinstance(action, api.Send)]
        latency = 60_000 + 7_000 * (i % 6)  # microseconds
        now += latency
        outcome = outcomes[i % len(outcomes)]
        is_ok = outcome is api.Outcome.OK
        for send in sends:
            scheduler.handle(now, api.AttemptEnded(send.request, 0, send.node, outcome, latency, is_ok))
        scheduler.handle(now, api.TimerFired(0))
    scheduler.handle(HANDED_AT - SECOND, api.TimerFired(0))
    return scheduler


def take_over_from(data: dict[str, Any]) -> Scheduler:
    """Return a new process that has got the same endpoint list and taken over the data."""
    new_process = Scheduler(settings(), seed=2)
    new_process.handle(HANDED_AT, api.EndpointList(api.ListKind.RESTORED, NODES))
    handover.take_over(new_process, data)
    return new_process


def write(path: str) -> None:
    """Write to a file, as JSON, what the old process hands over and what the new one would hand on."""
    handed_over = json.loads(json.dumps(handover.hand_over(play_before_handover(), HANDED_AT)))
    new_process = take_over_from(json.loads(json.dumps(handed_over)))
    handed_on = json.loads(json.dumps(handover.hand_over(new_process, HANDED_AT)))
    Path(path).write_text(
        json.dumps({"handed": handed_over, "handed_on": handed_on}, indent=1, sort_keys=True) + "\n"
    )
