"""A host's decisions up to a handover, the same for main's code of 8ad4498 and for today's.

`tests/data/handover-8ad4498.json` was written with this file by the code at /work/wt-before (main of
8ad4498) as the processes hand it over (`json.dumps` in `stoatrouter/net/handover_socket.py`):

    cd /work/wt-before && PYTHONDONTWRITEBYTECODE=1 /work/main/.ci-venv/bin/python -c \
        "import sys; sys.path.append('/work/wt-policy/tests'); import handover_scenario as s; s.write('OUT')"

Only names that both versions share are used here: the interface's records and events, `Scheduler`,
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
    """The settings of both processes: two classes, a plan with a limit, three nodes' worth of units."""
    return api.Settings(classes=CLASSES, plans=PLANS, max_units=4)


def play_before_handover() -> Scheduler:
    """Requests, answers of every kind and readings, so that nodes and volumes carry learnt state."""
    made = Scheduler(settings(), seed=1)
    made.handle(SECOND, api.EndpointList(api.ListKind.RESTORED, NODES))
    outcomes = (api.Outcome.OK, api.Outcome.OK, api.Outcome.TIMEOUT, api.Outcome.OK, api.Outcome.FULL)
    now = SECOND
    for i in range(40):
        now += 250_000
        name = f"r{i}"
        plan, kind, shard = i % 2, i % 3 == 0, i % 2
        arrived = api.RequestArrived(
            name, f"v{i % 4}", plan, int(kind), shard, 2 * SECOND, 1.0 + i % 3, key=f"k{i % 5}"
        )
        actions = made.handle(now, arrived)
        sent = [a for a in actions if isinstance(a, api.Send)]
        now += 60_000 + 7_000 * (i % 6)
        for action in sent:
            outcome = outcomes[i % len(outcomes)]
            took = 60_000 + 7_000 * (i % 6)
            made.handle(
                now,
                api.AttemptEnded(action.request, 0, action.node, outcome, took, outcome is api.Outcome.OK),
            )
        made.handle(now, api.TimerFired(0))
    made.handle(HANDED_AT - SECOND, api.TimerFired(0))
    return made


def take_over_from(data: dict[str, Any]) -> Scheduler:
    """A new process that hears the same list, then takes the handed-over data."""
    taker = Scheduler(settings(), seed=2)
    taker.handle(HANDED_AT, api.EndpointList(api.ListKind.RESTORED, NODES))
    handover.take_over(taker, data)
    return taker


def write(path: str) -> None:
    """Write what the old process hands over, and what its taker would hand on, as JSON, to a file."""
    handed = json.loads(json.dumps(handover.hand_over(play_before_handover(), HANDED_AT)))
    taker = take_over_from(json.loads(json.dumps(handed)))
    handed_on = json.loads(json.dumps(handover.hand_over(taker, HANDED_AT)))
    Path(path).write_text(
        json.dumps({"handed": handed, "handed_on": handed_on}, indent=1, sort_keys=True) + "\n"
    )
