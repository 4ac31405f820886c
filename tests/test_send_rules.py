"""Unit tests of the rules for sending and of the order in which waiting requests are sent."""

from __future__ import annotations

from pathlib import Path

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome, Phase
from stoatrouter.policy.request import Attempt
from tests.scheduler_driver import CLASSES, MS, PLAN, SECOND, SchedulerDriver, answer_after


def fill_window(driver: SchedulerDriver) -> None:
    """Fill the node's window, which has one place."""
    node = driver.scheduler.nodes["n1"]
    node.window = 1.0
    node.in_flight = {("other", 0): driver.now}


def blocked_until(driver: SchedulerDriver, request, node) -> int:
    """Return from when the rules allow a request to be sent to a node; 0: now."""
    return driver.scheduler.send_rules.blocked_until(request, node, driver.now)


def with_waiting_request(**more):
    """Return a driver, a request that waits for a full node, and that node."""
    driver = SchedulerDriver(**more)
    fill_window(driver)
    driver.request("r")
    request = driver.scheduler.requests["r"]
    node = driver.scheduler.nodes["n1"]
    assert not blocked_until(driver, request, node)
    return driver, request, node


def test_blocks_what_is_done_overdue_or_out_of_attempts():
    driver, request, node = with_waiting_request(max_attempts=1)
    request.done = True
    assert blocked_until(driver, request, node)
    request.done = False
    driver.now = request.deadline
    assert blocked_until(driver, request, node)
    driver, request, node = with_waiting_request(max_attempts=1)
    request.attempts.append(Attempt(node, driver.now, Outcome.FULL))
    assert blocked_until(driver, request, node)


def test_blocks_a_second_attempt_while_one_is_in_flight():
    driver, request, node = with_waiting_request()
    request.attempts.append(Attempt(node, driver.now))
    assert blocked_until(driver, request, node)


def test_blocks_an_idempotent_retry_on_another_shard():
    keyed = api.RequestClass(
        "k", 3, 400 * MS, 5 * SECOND, 0.2, api.Effect.IDEMPOTENT, api.Group.SHARD, 4 * SECOND
    )
    driver, request, node = with_waiting_request(
        classes=(keyed,), nodes=[api.NodeEntry("n1", 0), api.NodeEntry("n2", 1)]
    )
    request.attempts.append(Attempt(node, driver.now, Outcome.RESET))
    assert blocked_until(driver, request, driver.scheduler.nodes["n2"])
    assert not blocked_until(driver, request, node)


def test_blocks_a_draining_node_even_for_what_waits_there():
    driver, request, node = with_waiting_request()
    node.phase = Phase.DRAINING
    assert blocked_until(driver, request, node)


def test_files_at_a_node_that_is_on():
    driver = SchedulerDriver(nodes=[api.NodeEntry("n1", 0, phase=Phase.DRAINING), api.NodeEntry("n2", 0)])
    for i in range(4):
        driver.request(f"r{i}")
    assert [a.node for _, a in driver.sends()] == ["n2"] * 4


def test_a_restarted_node_warms_up_again_and_remembers_what_was_sent_to_it():
    rules = {
        "warm_up_from": 0.2,
        "warm_up_time": 10 * SECOND,
        "warm_up_units": 4.0,
        "overload_window": SECOND,
    }
    driver = SchedulerDriver(rules=rules)
    for i in range(4):
        driver.request(f"r{i}")
    driver.wait(10 * MS, answer_after(5 * MS))
    driver.listed(api.NodeEntry("n1", 0, up_since=driver.now))
    driver.request("x", left=3 * SECOND)
    driver.wait(500 * MS, answer_after(5 * MS))
    assert not driver.sends("x")
    driver.wait(700 * MS, answer_after(5 * MS))
    assert driver.sends("x")


def send_order(driver: SchedulerDriver, *names: str) -> list[str]:
    """Return the order in which the requests are sent when the window has one place."""
    node = driver.scheduler.nodes["n1"]
    node.in_flight.clear()
    driver.wait(2 * SECOND, answer_after(1 * MS))
    return [a.request for _, a in driver.sends() if a.request in names]


def driver_with_full_node(plans, **more) -> SchedulerDriver:
    driver = SchedulerDriver(
        plans=plans, quota_weight_factor=0.4, excess_weight_factor=0.05, max_units=1, **more
    )
    fill_window(driver)
    return driver


def test_units_within_the_reserve_go_before_others():
    driver = driver_with_full_node((api.Plan("none", 10), PLAN))
    driver.request("beyond", volume="a", plan=0)
    driver.request("inside", volume="b", plan=1)
    assert send_order(driver, "beyond", "inside") == ["inside", "beyond"]


def test_what_other_hosts_were_served_draws_on_the_reserve():
    driver = driver_with_full_node((api.Plan("p", 4, reserve=4), PLAN))
    driver.scheduler.nodes["n1"].in_flight.clear()
    driver.request("first", volume="a", plan=0)
    driver.end("first", units_by_others=20.0)
    assert driver.scheduler.volumes["a"].reserve < 0


def test_a_volume_far_beyond_its_quota_goes_after_one_within_it():
    driver = driver_with_full_node((api.Plan("none", 10),))
    for name in ("greedy", "b", "c", "d"):
        driver.request(name, volume=name)
    driver.scheduler.volumes["greedy"].excess = 50.0
    assert send_order(driver, "greedy", "b", "c", "d")[-1] == "greedy"


def test_a_key_just_sent_goes_first():
    driver = driver_with_full_node((PLAN,))
    driver.scheduler.nodes["n1"].recent_keys.append("warm")
    driver.request("other", key="x")
    driver.request("same", key="warm")
    driver.scheduler.requests["same"].objective_at = driver.scheduler.requests["other"].objective_at
    node = driver.scheduler.nodes["n1"]

    def priority(name: str) -> float:
        request = driver.scheduler.requests[name]
        return driver.scheduler.dispatcher.priority(request, node, 0.0, driver.now)

    assert priority("same") > priority("other")


def test_the_same_events_give_the_same_actions():
    def run(seed: int) -> list:
        driver = SchedulerDriver(seed=seed)
        for i in range(30):
            driver.request(f"r{i}", left=1 * SECOND)
        driver.wait(2 * SECOND, answer_after(5 * MS, Outcome.CONNECT_FAILED))
        return driver.log

    assert run(3) == run(3) and run(3) != run(4)


def test_the_readmes_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
    assert "send request-1 to 10.0.0.1:5000" in capsys.readouterr().out


def test_settings_that_make_no_sense_raise():
    for invalid in (
        lambda: api.Settings(classes=(), plans=(PLAN,)),
        lambda: api.Settings(classes=CLASSES, plans=(PLAN,), hosts=0),
        lambda: api.Settings(classes=CLASSES, plans=(PLAN,), tick=-1),
        lambda: api.RequestClass("c", priority_weight=1, latency_objective=-1, deadline=5),
        lambda: api.Rules(drain_grace=-1),
        lambda: api.Plan("p", usual_rate=-1),
    ):
        with pytest.raises(ValueError):
            invalid()


def test_late_and_repeated_events_are_ignored():
    driver = SchedulerDriver()
    driver.request("r")
    assert not [a for a in driver.request("r") if not isinstance(a, api.SetTimer)]
    driver.end("r")
    assert driver.event(api.AttemptEnded("r", 0, "n1", Outcome.OK, 5, True)) == []
    assert driver.event(api.ClientGone("r")) == [] and driver.event(api.ClientGone("never")) == []
    assert driver.event(api.TimerFired(987654)) == []
    assert driver.event(api.StreamStarted("r", 0, "n1")) == []
