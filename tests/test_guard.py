"""The guard that every send passes, and the order of what is held, asked directly."""

from __future__ import annotations

from pathlib import Path

import pytest

from cypressworks import interface as api
from cypressworks.interface import Attempt, Outcome, Phase
from tests.bench_free import CLASSES, MS, PLAN, SECOND, Hand, answer_after


def fill(hand: Hand) -> None:
    """Take the one place of the node's window."""
    hand.scheduler.nodes["n1"].window, hand.scheduler.nodes["n1"].out = 1.0, {("other", 0): hand.now}


def waiting(**more):
    """A hand with one request held at a node that is full for it, and both of them."""
    hand = Hand(**more)
    fill(hand)
    hand.request("r")
    request, node = hand.scheduler.requests["r"], hand.scheduler.nodes["n1"]
    assert not hand.scheduler.barred(request, node)
    return hand, request, node


def test_bars_what_is_done_overdue_or_out_of_attempts():
    hand, request, node = waiting(max_attempts=1)
    request.done = True
    assert hand.scheduler.barred(request, node)
    request.done, hand.scheduler.now = False, request.deadline
    assert hand.scheduler.barred(request, node)
    hand, request, node = waiting(max_attempts=1)
    request.attempts.append(Attempt(node, hand.now, Outcome.FULL))
    assert hand.scheduler.barred(request, node)


def test_bars_a_second_attempt_while_one_is_out():
    hand, request, node = waiting()
    request.attempts.append(Attempt(node, hand.now))
    assert hand.scheduler.barred(request, node)


def test_bars_a_keyed_repeat_on_another_shard():
    keyed = api.RequestClass("k", 3, 400 * MS, 5 * SECOND, 0.2, api.Effect.KEYED, api.Group.SHARD, 4 * SECOND)
    hand, request, node = waiting(classes=(keyed,), nodes=[api.NodeEntry("n1", 0), api.NodeEntry("n2", 1)])
    request.attempts.append(Attempt(node, hand.now, Outcome.RESET))
    assert hand.scheduler.barred(request, hand.scheduler.nodes["n2"])
    assert not hand.scheduler.barred(request, node)


def test_bars_a_node_that_drains_even_for_what_is_filed_there():
    hand, request, node = waiting()
    node.phase = Phase.DRAINING
    assert hand.scheduler.barred(request, node)


def test_files_at_a_node_that_is_on():
    hand = Hand(nodes=[api.NodeEntry("n1", 0, phase=Phase.DRAINING), api.NodeEntry("n2", 0)])
    for i in range(4):
        hand.request(f"r{i}")
    assert [a.node for _, a in hand.sends()] == ["n2"] * 4


def test_a_restarted_node_is_cold_again_and_remembers_what_was_sent_to_it():
    rules = {"cold_from": 0.2, "cold_time": 10 * SECOND, "cold_units": 4.0, "fall_time": SECOND}
    hand = Hand(rules=rules)
    for i in range(4):
        hand.request(f"r{i}")
    hand.wait(10 * MS, answer_after(5 * MS))
    hand.listed(api.NodeEntry("n1", 0, up_since=hand.now))
    hand.request("x", left=3 * SECOND)
    hand.wait(500 * MS, answer_after(5 * MS))
    assert not hand.sends("x")
    hand.wait(700 * MS, answer_after(5 * MS))
    assert hand.sends("x")


def order(hand: Hand, *names: str) -> list[str]:
    """In which order the requests go once the window lets one through at a time."""
    node = hand.scheduler.nodes["n1"]
    node.out.clear()
    hand.wait(2 * SECOND, answer_after(1 * MS))
    return [a.request for _, a in hand.sends() if a.request in names]


def held(plans, **more) -> Hand:
    hand = Hand(plans=plans, share_worth=0.4, beyond_worth=0.05, max_units=1, **more)
    fill(hand)
    return hand


def test_units_within_the_reserve_go_before_others():
    hand = held((api.Plan("none", 10), PLAN))
    hand.request("beyond", volume="a", plan=0)
    hand.request("inside", volume="b", plan=1)
    assert order(hand, "beyond", "inside") == ["inside", "beyond"]


def test_what_other_hosts_were_served_draws_on_the_reserve():
    hand = held((api.Plan("p", 4, reserve=4), PLAN))
    hand.scheduler.nodes["n1"].out.clear()
    hand.request("first", volume="a", plan=0)
    hand.end("first", units_by_others=20.0)
    assert hand.scheduler.volumes["a"].reserve < 0


def test_a_volume_far_beyond_its_share_goes_after_one_within_it():
    hand = held((api.Plan("none", 10),))
    for name in ("greedy", "b", "c", "d"):
        hand.request(name, volume=name)
    hand.scheduler.volumes["greedy"].excess = 50.0
    assert order(hand, "greedy", "b", "c", "d")[-1] == "greedy"


def test_a_key_just_sent_goes_first():
    hand = held((PLAN,))
    hand.scheduler.nodes["n1"].keys.append("warm")
    hand.request("other", key="x")
    hand.request("same", key="warm")
    hand.scheduler.requests["same"].aim = hand.scheduler.requests["other"].aim
    node, requests = hand.scheduler.nodes["n1"], hand.scheduler.requests
    assert hand.scheduler.worth(requests["same"], node) > hand.scheduler.worth(requests["other"], node)


def test_the_same_events_give_the_same_actions():
    def run(seed: int) -> list:
        hand = Hand(seed=seed)
        for i in range(30):
            hand.request(f"r{i}", left=1 * SECOND)
        hand.wait(2 * SECOND, answer_after(5 * MS, Outcome.CONNECT_FAILED))
        return hand.log

    assert run(3) == run(3) and run(3) != run(4)


def test_the_readmes_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
    assert "send request-1 to 10.0.0.1:5000" in capsys.readouterr().out


def test_settings_that_make_no_sense_raise():
    for wrong in (
        lambda: api.Settings(classes=(), plans=(PLAN,)),
        lambda: api.Settings(classes=CLASSES, plans=(PLAN,), hosts=0),
        lambda: api.Settings(classes=CLASSES, plans=(PLAN,), tick=-1),
        lambda: api.RequestClass("c", worth=1, aim=-1, deadline=5),
        lambda: api.Rules(drain_grace=-1),
        lambda: api.Plan("p", usual_rate=-1),
    ):
        with pytest.raises(ValueError):
            wrong()


def test_late_and_repeated_events_are_ignored():
    hand = Hand()
    hand.request("r")
    assert not [a for a in hand.request("r") if not isinstance(a, api.SetTimer)]
    hand.end("r")
    assert hand.event(api.AttemptEnded("r", 0, "n1", Outcome.OK, 5, True)) == []
    assert hand.event(api.ClientGone("r")) == [] and hand.event(api.ClientGone("never")) == []
    assert hand.event(api.TimerFired(987654)) == []
    assert hand.event(api.StreamStarted("r", 0, "n1")) == []
