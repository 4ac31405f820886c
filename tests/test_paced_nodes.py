"""Tests of nodes with a window below one: pacing, slow answers, and health checks that report the queue."""

from __future__ import annotations

import heapq
import itertools

from stoatrouter.policy import interface as api
from stoatrouter.policy.interface import Outcome
from tests.scheduler_driver import MS, PLAN, SECOND, SchedulerDriver, answer_after


def test_a_window_below_one_is_a_pace_so_that_many_hosts_do_not_make_seconds_of_queue():
    driver = SchedulerDriver(hosts=200)
    node = driver.scheduler.nodes["n1"]
    node.window = 0.25
    node.latency = 100.0 * MS
    for i in range(40):
        driver.request(f"r{i}", 2, left=3 * SECOND)
        node.window = 0.25
        driver.wait(50 * MS, answer_after(50 * MS))
    send_times = [at for at, _ in driver.sends()]
    gaps = [later - earlier for earlier, later in itertools.pairwise(send_times)]
    assert gaps and min(gaps) >= 150 * MS


def test_late_answers_leave_one_place_and_a_jam_less():
    driver = SchedulerDriver(hosts=200)
    node = driver.scheduler.nodes["n1"]
    node.latency = 100.0 * MS
    driver.request("long", 2)  # latency objective of a second: 200 ms is slow but no sign of overload
    driver.wait(200 * MS)
    driver.end("long")
    assert node.window == 1.0
    driver.wait(1 * SECOND)
    driver.request("jammed", 2, left=3 * SECOND)
    driver.wait(600 * MS)
    driver.end("jammed")
    assert node.window < 1.0


def test_lateness_and_order_follow_the_time_that_is_really_left():
    driver = SchedulerDriver()
    node = driver.scheduler.nodes["n1"]
    node.read_latency = 150.0 * MS  # in time for the objective of 250 ms, not for 100 ms
    node.window_cut_at = driver.now
    driver.request("hurried", left=100 * MS)
    assert not driver.sends("hurried")
    driver.request("patient", volume="v2")
    assert driver.sends("patient")
    assert driver.scheduler.requests["hurried"].objective_at == driver.now + 100 * MS


def test_a_host_that_stood_still_takes_its_own_gap_for_no_jam_and_sends_no_burst():
    driver = SchedulerDriver(hosts=4)
    node = driver.scheduler.nodes["n1"]
    node.latency = 20.0 * MS
    node.window = 32.0
    driver.wait(200 * MS)
    driver.request("before")
    driver.now += 900 * MS  # the process does not run for 900 ms, then handles all its timers at once
    while driver.timers and driver.timers[0][0] <= driver.now:
        driver.event(api.TimerFired(heapq.heappop(driver.timers)[1]))
    for i in range(40):
        driver.request(f"r{i}")
    driver.end("before")
    assert node.latency == 20.0 * MS and node.window == 4.0 and node.window_cut_at == 0
    assert len(driver.sends()) <= 1 + 5


def test_idle_volumes_and_gone_nodes_are_forgotten_without_refilling_a_limit():
    limited = api.Plan("limited", usual_rate=1, limit=0.1, burst=20, tolerance=8)
    driver = SchedulerDriver(plans=(limited, PLAN), nodes=[api.NodeEntry("n1", 0), api.NodeEntry("n2", 1)])
    driver.wait(100 * MS)
    driver.request("a", volume="slow", plan=0)
    driver.request("b", volume="idle", plan=1)
    driver.wait(20 * MS, answer_after(5 * MS))
    driver.listed(api.NodeEntry("n2", 1, phase=api.Phase.GONE))
    driver.wait(70 * SECOND)
    assert list(driver.scheduler.volumes) == ["slow"] and list(driver.scheduler.nodes) == ["n1"]


def test_a_window_below_one_grows_by_answers_that_are_slow_by_work_alone():
    driver = SchedulerDriver(hosts=200)
    node = driver.scheduler.nodes["n1"]
    node.window = 0.25
    node.latency = 150.0 * MS
    driver.request("export", 2)
    driver.wait(200 * MS)  # over a quarter of the 250 ms threshold, within half of its own objective
    driver.end("export")
    assert node.window == 0.5


def run_overloaded_node(hosts: int, health_checks: bool, seconds: int = 30) -> tuple[int, int]:
    """Run hosts that send to one node whose queue outlasts its cause; the node is slower while it is long.

    Returns the length of the queue at the end and how many attempts were answered in the last five seconds.
    """
    drivers = [
        SchedulerDriver(
            hosts=hosts,
            host_index=host_index,
            seed=host_index,
            health_checks=health_checks,
            report_fields=("queue",),
            start=(100 + host_index) * SECOND,
        )
        for host_index in range(hosts)
    ]
    queue: list = [(None, None)] * 150  # entries from before the test
    capacity = 0.0  # requests that the node can still complete in this tick
    served = 0
    for driver in drivers:
        node = driver.scheduler.nodes["n1"]
        node.window = 0.5  # each host has seen that the node is slow
        node.last_sent_at = driver.now
    for tick in range(seconds * 20):
        capacity += 3.0 if len(queue) < 20 else 1.0  # 60 requests a second, or 20
        while queue and capacity >= 1:
            driver, name = queue.pop(0)
            capacity -= 1
            if driver and any(send[0] == name for send in driver.open_sends):
                driver.end(name)
                served += tick >= (seconds - 5) * 20
        capacity = min(capacity, 3.0)
        for i, driver in enumerate(drivers):
            sends_before = len(driver.sends())
            actions_before = len(driver.log)
            if (tick + i) % 40 == 0:  # half a request a second from each host
                driver.request(f"r{tick}", left=2 * SECOND)
            driver.wait(50 * MS)
            queue += [(driver, a.request) for _, a in driver.sends()[sends_before:]]
            for name, _, _, at in list(driver.open_sends):
                if driver.now - at >= 2 * SECOND:
                    driver.end(name, Outcome.TIMEOUT)
            if any(isinstance(a, api.CheckHealth) for _, a in driver.log[actions_before:]):
                driver.event(api.HealthCheckEnded("n1", Outcome.OK, 1 * MS, {"queue": float(len(queue))}))
    return len(queue), served


def test_a_queue_that_outlived_its_cause_drains_as_hosts_ask_the_node_and_do_not_test_it():
    queue_length, served = run_overloaded_node(100, health_checks=True)
    assert queue_length < 20 and served >= 150


def test_a_report_of_a_crowd_holds_work_back_and_an_old_one_does_not():
    driver = SchedulerDriver(hosts=50, health_checks=True, report_fields=("util", "queue"))
    node = driver.scheduler.nodes["n1"]
    node.window = 0.3
    node.last_sent_at = driver.now
    driver.event(api.HealthCheckEnded("n1", Outcome.OK, 1 * MS, {"queue": 80.0}))
    driver.request("r", left=2 * SECOND)
    driver.wait(500 * MS)
    assert not driver.sends("r") and any(isinstance(a, api.CheckHealth) for _, a in driver.log)
    driver.wait(1200 * MS)  # no newer report of the queue: the safe default is the window's own pace
    driver.request("s", left=2 * SECOND)
    driver.wait(300 * MS)
    assert driver.sends("s")
    driver.event(api.HealthCheckEnded("n1", Outcome.OK, 1 * MS, {"queue": float("nan"), "util": 3.0}))
    driver.event(api.HealthCheckEnded("n1", Outcome.TIMEOUT, 250 * MS, None))
    driver.event(api.HealthCheckEnded("gone", Outcome.OK, 1 * MS, {"queue": 80.0}))


def test_a_client_that_comes_back_with_what_was_shed_has_not_got_a_new_objective():
    driver = SchedulerDriver(hosts=200)
    node = driver.scheduler.nodes["n1"]
    node.window = 0.1
    node.last_sent_at = driver.now
    node.last_round_trip = 300.0 * MS
    driver.request("first", key="k", left=2 * SECOND)
    first_objective = driver.now + 250 * MS
    assert driver.finals("first")
    driver.wait(150 * MS)
    node.window = 1.0
    node.in_flight[("other", 0)] = driver.now
    driver.request("again", key="k", left=1850 * MS)
    driver.request("fresh", key="k", left=2 * SECOND)
    requests = driver.scheduler.requests
    assert requests["again"].objective_at == first_objective
    assert requests["fresh"].objective_at == driver.now + 250 * MS


def test_nothing_goes_past_a_late_request_of_higher_priority():
    driver = SchedulerDriver(
        plans=(api.Plan("p", 50, reserve=50, price=8.0), api.Plan("q", 50, reserve=50, price=0.2))
    )
    node = driver.scheduler.nodes["n1"]
    node.window = 2.0
    node.read_latency = 300.0 * MS
    node.window_cut_at = driver.now
    node.in_flight[("other", 0)] = driver.now
    driver.request("late", volume="a", plan=0)
    driver.request("less", 2, volume="b", plan=1, left=3 * SECOND)
    assert not driver.sends()


def test_where_answers_vanish_one_silence_is_no_jam_and_two_in_a_row_are():
    driver = SchedulerDriver(hosts=100, nodes=[api.NodeEntry(f"n{i}", i) for i in range(9)])
    for i in range(120):  # at busier nodes every sixth answer is lost, as later answers show
        driver.request(f"r{i}", volume=f"v{i % 8}", shard=i % 8, left=1 * SECOND)
        lost = [s for s in driver.open_sends if int(s[0][1:]) % 6 == 0]
        driver.open_sends = [s for s in driver.open_sends if s not in lost]
        driver.wait(20 * MS, answer_after(10 * MS))
        driver.open_sends += lost
        for name, _, _, at in lost:
            if driver.now - at >= 1 * SECOND:
                driver.end(name, Outcome.TIMEOUT)
    driver.wait(2 * SECOND, answer_after(10 * MS))
    idle_node = driver.scheduler.nodes["n8"]
    for i, window in enumerate((1.0, 0.5)):
        driver.request(f"q{i}", shard=8, left=500 * MS)
        driver.wait(600 * MS, answer_after(500 * MS, Outcome.TIMEOUT))
        assert driver.sends(f"q{i}") and idle_node.window <= window
        if window == 1.0:
            assert idle_node.window == 1.0


def test_an_idempotent_write_that_may_have_run_is_retried_at_the_shard_it_was_sent_to():
    write_class = api.RequestClass(
        "write",
        priority_weight=3,
        latency_objective=400 * MS,
        deadline=2 * SECOND,
        writes=True,
        effect=api.Effect.IDEMPOTENT,
        group=api.Group.SHARD,
        repeat_window=5 * SECOND,
    )
    for outcome in (Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT):
        driver = SchedulerDriver(classes=(write_class,), nodes=[api.NodeEntry(f"n{i}", i) for i in range(5)])
        driver.request("w", shard=-1)
        first = driver.sends("w")[0][1].node
        for name in range(4):  # the other nodes are less loaded now
            driver.request(f"x{name}", shard=int(first[1:]))
        driver.end("w", outcome)
        driver.wait(1 * SECOND)
        assert [s.node for _, s in driver.sends("w")] == [first, first]
