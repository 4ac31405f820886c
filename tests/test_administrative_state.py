"""The administrative state of nodes: no list, node restart or new process undoes an operator's call."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter.core import model
from stoatrouter.core.durations import to_microseconds
from stoatrouter.core.nodes import RETURNED_NODE_RETENTION
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.policy.interface import ListKind, Outcome, Phase
from tests.test_core import MS, START, node, only, reducer, request

SECOND = 1000 * MS


def take_out(r, at: timedelta = START, name: str = "n1"):
    return r.reduce(model.SetAdministrativeState(at, name, True))


def put_back(r, at: timedelta = START, name: str = "n1"):
    return r.reduce(model.SetAdministrativeState(at, name, False))


def is_request_sent(r, at: timedelta, name: str) -> bool:
    return bool(only(r.reduce(model.Arrived(at, request(name))), model.SendAttempt))


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL, ListKind.RESTORED])
def test_what_is_out_gets_nothing_new_whatever_is_listed(kind):
    r = reducer(node())
    assert only(take_out(r), model.SaveAdministrativeState)
    r.reduce(model.EndpointListReceived(START + SECOND, kind, (node(),)))
    assert r.scheduler.nodes["n1"].phase is Phase.DRAINING
    assert not is_request_sent(r, START + 3 * SECOND, "late")
    assert r.nodes["n1"].phase is Phase.ON  # the listed phase stays known


def test_gone_from_the_list_and_back_gives_no_new_grace():
    """A node that is restarted while it is out leaves the endpoint list and comes back."""
    r = reducer(node())
    take_out(r)
    r.reduce(model.EndpointListReceived(START + 3 * SECOND, ListKind.CHANGES, (node(phase=Phase.GONE),)))
    r.reduce(model.EndpointListReceived(START + 5 * SECOND, ListKind.CHANGES, (node(),)))
    assert not is_request_sent(r, START + 5 * SECOND, "late")


def test_out_twice_is_out_once():
    r = reducer(node())
    take_out(r)
    take_out(r, START + SECOND)
    assert put_back(r, START + 2 * SECOND)
    assert is_request_sent(r, START + 3 * SECOND, "r")


def test_an_unknown_node_is_owed_a_no_and_one_that_is_out_stays_known():
    r = reducer(node())
    assert take_out(r, name="n2") == [] and put_back(r, name="n2") == []
    take_out(r)
    r.reduce(model.EndpointListReceived(START, ListKind.FULL, ()))
    assert take_out(r) and put_back(r)


@pytest.mark.parametrize("restarted", [False, True])
def test_put_back_it_is_cold_until_a_list_tells_of_its_restart(restarted):
    """The list may report a restart late; until then a node treated as warm would be overloaded."""
    r = reducer(node())
    take_out(r)
    if restarted:
        entry = model.NodeInfo("n1", "n1:80", 0, Phase.ON, started=START + 2 * SECOND)
        r.reduce(model.EndpointListReceived(START + 3 * SECOND, ListKind.CHANGES, (entry,)))
    put_back(r, START + 5 * SECOND)
    r.reduce(model.EndpointListReceived(START + 6 * SECOND, ListKind.FULL, tuple(r.nodes.values())))
    since = START + (2 if restarted else 5) * SECOND
    assert r.scheduler.nodes["n1"].up_since == to_microseconds(since)
    assert is_request_sent(r, START + 7 * SECOND, "r")


def test_what_is_out_is_kept_for_a_new_process(tmp_path):
    state = model.AdministrativeState()
    state.take_out("n1", START)
    state.take_out("n2", START)
    state.put_back("n2", START + SECOND)
    assert AdministrativeStateFile(str(tmp_path)).write(state)
    assert AdministrativeStateFile(str(tmp_path)).read() == state
    assert [path.name for path in tmp_path.iterdir()] == ["stoatrouter-bricks.json"]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        '{"out": {"n1": null}, "back": {}}',
        '{"out": 3, "back": {}}',
        json.dumps({"out": {"n1": 10**30}, "back": {}}),
    ],
)
def test_a_spoilt_file_is_as_none(tmp_path, text):
    (tmp_path / "stoatrouter-bricks.json").write_text(text)
    assert AdministrativeStateFile(str(tmp_path)).read() == model.AdministrativeState()


def test_a_file_that_cannot_be_written_is_told(tmp_path):
    assert not AdministrativeStateFile(str(tmp_path / "absent")).write(model.AdministrativeState())


def test_what_was_learnt_of_a_node_outlives_the_record_that_it_was_put_back():
    """Guards nodes: an hour after one was put back it counted as restarted, and lost its reduced window."""
    listed = (node("n1"), replace(node("n2"), shard=1))
    r = reducer(*listed)
    take_out(r)
    put_back(r, START + SECOND)
    late = START + 3 * RETURNED_NODE_RETENTION
    r.reduce(model.Arrived(late, request()))
    r.reduce(model.AttemptEnded(late + MS, "r", 0, Outcome.FULL))
    state = r.scheduler.nodes["n1"]
    reduced_window = state.window
    assert reduced_window < state.window_quota
    take_out(r, late, "n2")  # a call drops expired records
    r.reduce(model.EndpointListReceived(late, ListKind.FULL, listed))
    assert state.window == reduced_window
    # the list shows a restart: the record is no longer needed
    restarted = replace(node("n1"), started=late)
    r.reduce(model.EndpointListReceived(late, ListKind.CHANGES, (restarted,)))
    put_back(r, late, "n2")
    assert list(r.administrative_state.back) == ["n2"] and state.window == state.window_quota
