"""The reducer, event by event: each request gets exactly one answer, and only `reduce` changes state."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest

from stoatrouter.config import ConfigError, adapt_to_sockets, parse_address
from stoatrouter.core import model
from stoatrouter.core.durations import from_microseconds, to_microseconds
from stoatrouter.core.invariants import InvariantBroken, invariant
from stoatrouter.core.reducer import Reducer
from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import ListKind, Outcome, Phase
from tests.scheduler_driver import CLASSES, PLAN

ROOT = Path(__file__).parent.parent
START = timedelta(days=20_000)
MS = timedelta(milliseconds=1)
SETTINGS = api.Settings(classes=CLASSES, plans=(PLAN,), max_attempts=4, max_units=8)


def node(name: str = "n1", phase: Phase = Phase.ON) -> model.NodeInfo:
    return model.NodeInfo(name, f"{name}:80", 0, phase)


def request(name: str = "r", left: timedelta = 2000 * MS) -> model.Request:
    return model.Request(name, 0, 0, "v", "k", 0, 1.0, 1, left, False)


def reducer(*nodes: model.NodeInfo, **more) -> Reducer:
    created = Reducer(SETTINGS, seed=1, **more)
    created.reduce(model.EndpointListReceived(START, ListKind.RESTORED, nodes))
    return created


def only(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_a_request_is_sent_and_its_answer_passed_on():
    r = reducer(node())
    effects = r.reduce(model.Arrived(START, request()))
    (sent,) = only(effects, model.SendAttempt)
    assert (sent.address, sent.attempt, sent.timeout) == ("n1:80", 0, 2000 * MS)
    (given,) = only(r.reduce(model.AttemptEnded(START + MS, "r", 0, Outcome.OK, b"body")), model.GiveAnswer)
    assert given.answer == model.Served(b"body", shard=0) and r.open == 0


def test_an_outcome_told_twice_answers_once():
    r = reducer(node())
    r.reduce(model.Arrived(START, request()))
    ended = model.AttemptEnded(START + MS, "r", 0, Outcome.OK, b"body")
    assert only(r.reduce(ended), model.GiveAnswer) and r.reduce(ended) == []


def test_what_the_client_left_is_cancelled_and_answers_nothing():
    r = reducer(node())
    r.reduce(model.Arrived(START, request()))
    cancelled = r.reduce(model.ClientLeft(START + MS, "r"))
    assert only(cancelled, model.CancelAttempt) == [model.CancelAttempt("r", 0)]
    ended = r.reduce(model.AttemptEnded(START + 2 * MS, "r", 0, Outcome.OK, b"late"))
    assert not only(ended, model.GiveAnswer)
    assert r.open == 0


def test_an_id_in_use_and_a_flood_never_reach_the_module():
    r = reducer(node(), max_open=1)
    r.reduce(model.Arrived(START, request()))
    assert r.reduce(model.Arrived(START, request())) == [model.RejectRequest(model.Failed())]
    assert r.reduce(model.Arrived(START, request("s"))) == [model.RejectRequest(model.Refused(timedelta(0)))]
    assert list(r.scheduler.requests) == ["r"]


@pytest.mark.parametrize(
    "told",
    [
        model.EndpointListReceived(START + MS, ListKind.CHANGES, (node(phase=Phase.GONE),)),
        model.EndpointListReceived(START + MS, ListKind.FULL, (node("n2"),)),
    ],
)
def test_a_node_that_left_the_list_gets_nothing(told):
    r = reducer(node())
    r.reduce(told)
    assert "n1" not in r.nodes
    sent = only(r.reduce(model.Arrived(START + 2 * MS, request())), model.SendAttempt)
    assert all(s.address == "n2:80" for s in sent)


def test_a_send_to_a_node_that_just_left_never_ran():
    r = reducer(node())
    r.nodes.clear()  # as if the node left just after the decision
    effects = r.reduce(model.Arrived(START, request()))
    assert not only(effects, model.SendAttempt)
    assert only(effects, model.GiveAnswer)[0].answer == model.Refused(timedelta(0))


def test_time_never_goes_back_for_the_module():
    r = reducer(node())
    r.reduce(model.Arrived(START + 10 * MS, request()))
    r.reduce(model.Arrived(START, request("s")))
    assert r.scheduler.now == to_microseconds(START + 10 * MS)


def test_every_request_has_its_last_moment_watched():
    r = reducer()
    (watch,) = only(r.reduce(model.Arrived(START, request(left=300 * MS))), model.WatchOverdue)
    # after the decision module's own deadline, within the slack of the rule
    assert 300 * MS < watch.after < 358 * MS


def test_the_watch_of_an_answered_request_ends_no_later_one_of_its_id():
    """Guards clients that reuse an id: the new request failed at the deadline of the earlier one."""
    r = reducer(node())
    (first,) = only(r.reduce(model.Arrived(START, request())), model.WatchOverdue)
    r.reduce(model.AttemptEnded(START + MS, "r", 0, Outcome.OK))
    (second,) = only(r.reduce(model.Arrived(START + 1500 * MS, request())), model.WatchOverdue)
    assert r.reduce(model.Overdue(START + first.after, "r")) == [] and r.open == 1
    ended = r.reduce(model.AttemptEnded(START + 3000 * MS, "r", 0, Outcome.OK))
    assert only(ended, model.GiveAnswer)[0].answer == model.Served(b"", shard=0)
    assert r.reduce(model.Overdue(START + 1500 * MS + second.after, "r")) == []


def test_under_minus_o_a_failing_decision_is_survived_and_its_request_answered():
    code = """
from tests.test_core import *
r = reducer(node())
def broken(*_): raise RuntimeError("no such thing")
r.scheduler.handle = broken
early_answers = only(r.reduce(model.Arrived(START, request())), model.GiveAnswer)
given = only(r.reduce(model.Overdue(START + 2015 * MS, "r")), model.GiveAnswer)
from stoatrouter.core.invariants import violations as counted
print(early_answers, given[0].answer, sum(counted.values()), r.tally.counts["decision_failed"])
"""
    completed = subprocess.run(
        [sys.executable, "-O", "-B", "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.stdout == "[] Failed() 1 1\n", completed.stderr
    assert "decision failed on RequestArrived" in completed.stderr and "invariant broken" in completed.stderr


def test_a_broken_invariant_raises_a_typed_assertion_in_debug_builds():
    with pytest.raises(InvariantBroken) as raised:
        invariant(False, "a send for a request that is over", request="r")
    assert isinstance(raised.value, AssertionError)
    assert (raised.value.what, raised.value.details) == (
        "a send for a request that is over",
        {"request": "r"},
    )
    assert str(raised.value) == "a send for a request that is over: {'request': 'r'}"
    assert invariant(True, "never raised", request="r")


def test_spans_and_counts_are_each_others_inverse():
    assert to_microseconds(from_microseconds(1_234_567)) == 1_234_567
    assert to_microseconds(timedelta(seconds=1.5)) == 1_500_000


def test_on_sockets_the_grace_of_drains_leaves_time_to_connect():
    rules = api.Rules(drain_grace=2_000_000)
    settings = api.Settings(classes=CLASSES, plans=(PLAN,), rules=rules)
    assert adapt_to_sockets(settings, timedelta(milliseconds=250)).rules.drain_grace == 1_750_000


@pytest.mark.parametrize(
    ("text", "read"),
    [("127.0.0.1:8443", ("127.0.0.1", 8443)), ("[::1]:80", ("::1", 80)), (":80", None), ("host", None)],
)
def test_addresses(text, read):
    if read is None:
        with pytest.raises(ConfigError):
            parse_address(text)
    else:
        assert parse_address(text) == read


@pytest.mark.parametrize(
    ("events", "counts"),
    [
        ([model.AttemptEnded(START + MS, "r", 0, Outcome.OK, b"")] * 2, (1, 0, 0)),
        ([model.ClientLeft(START + MS, "r")] * 2, (0, 0, 0)),
        ([model.ClientLeft(START + MS, "r"), model.AttemptEnded(START + MS, "r", 0, Outcome.OK)], (0, 0, 0)),
    ],
)
def test_a_request_counts_once_and_none_stays_active(events, counts):
    r = reducer(node())
    r.reduce(model.Arrived(START, request()))
    assert r.counters.active == 1
    for event in events:
        r.reduce(event)
    counters = r.counters
    totals = (sum(counters.ok), sum(counters.shed), sum(counters.errors), counters.active)
    assert totals == (*counts, 0)


def test_what_is_turned_away_counts_as_shed_or_failed():
    r = reducer(node(), max_open=1)
    for arrived in request(), request(), request("s"):
        r.reduce(model.Arrived(START, arrived))
    r.reduce(model.RejectedByFront(START, 0))
    counters = r.counters
    totals = (sum(counters.ok), sum(counters.shed), sum(counters.errors), counters.active)
    assert totals == (0, 2, 1, 1)


def write_new_object(r):
    """Write a new object through this head, and return the shard where it was placed."""
    new = replace(request("w"), shard=-1, write=True, key="new")
    (sent,) = only(r.reduce(model.Arrived(START, new)), model.SendAttempt)
    r.reduce(model.AttemptEnded(START + MS, "w", 0, Outcome.OK, b""))
    return int(sent.address[1]) - 1  # n1 holds shard 0, n2 shard 1


def test_a_read_with_an_older_place_is_sent_to_where_its_data_was_put():
    """A client may send a read with the old shard before the write of that data is answered."""
    r = reducer(node(), replace(node("n2"), shard=1))
    placed_at = write_new_object(r)
    read = replace(request(), shard=1 - placed_at, key="new")
    (first,) = only(r.reduce(model.Arrived(START + 2 * MS, read)), model.SendAttempt)
    window = r.scheduler.nodes[first.address[:2]].window
    effects = r.reduce(model.AttemptEnded(START + 3 * MS, "r", 0, Outcome.MOOT))
    assert r.scheduler.nodes[first.address[:2]].window == window  # the outcome says nothing about the load
    (timer,) = [timer for timer in only(effects, model.SetTimer) if not timer.after]
    (second,) = only(r.reduce(model.TimerDue(START + 3 * MS, timer.token)), model.SendAttempt)
    assert second.address == f"n{placed_at + 1}:80"


def test_what_no_node_holds_is_given_up_at_once():
    r = reducer(node())
    r.reduce(model.Arrived(START, request()))
    effects = r.reduce(model.AttemptEnded(START + MS, "r", 0, Outcome.MOOT))
    assert isinstance(only(effects, model.GiveAnswer)[0].answer, model.Refused)
