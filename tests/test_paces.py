"""Windows below one as paces, slow answers, and what a node's queue tells."""

from __future__ import annotations

import heapq

from cypressworks import interface as api
from cypressworks.interface import Outcome
from tests.bench_free import MS, PLAN, SECOND, Hand, answer_after

THRESHOLD = 250 * MS


def test_a_window_below_one_is_a_pace_so_that_many_hosts_do_not_make_seconds_of_queue():
    hand = Hand(hosts=200)
    node = hand.scheduler.nodes["n1"]
    node.window, node.answers = 0.25, 100.0 * MS
    for i in range(40):
        hand.request(f"r{i}", 2, left=3 * SECOND)
        node.window = 0.25
        hand.wait(50 * MS, answer_after(50 * MS))
    gaps = [b - a for (a, _), (b, _) in zip(hand.sends(), hand.sends()[1:], strict=False)]
    assert gaps and min(gaps) >= 150 * MS


def test_late_answers_leave_one_place_and_a_jam_less():
    hand = Hand(hosts=200)
    node = hand.scheduler.nodes["n1"]
    node.answers = 100.0 * MS
    hand.request("long", 2)  # its aim is a second, so 200 ms are late but no jam
    hand.wait(200 * MS)
    hand.end("long")
    assert node.window == 1.0
    hand.wait(1 * SECOND)
    hand.request("jammed", 2, left=3 * SECOND)
    hand.wait(600 * MS)
    hand.end("jammed")
    assert node.window < 1.0


def test_lateness_and_order_follow_the_time_that_is_really_left():
    hand = Hand()
    node = hand.scheduler.nodes["n1"]
    node.reads, node.cut_at = 150.0 * MS, hand.now  # in time for the aim of 250 ms, not for 100 ms
    hand.request("hurried", left=100 * MS)
    assert not hand.sends("hurried")
    hand.request("patient", volume="v2")
    assert hand.sends("patient") and hand.scheduler.requests["hurried"].aim == hand.now + 100 * MS


def test_a_host_that_stood_still_takes_its_own_gap_for_no_jam_and_sends_no_burst():
    hand = Hand(hosts=4)
    node = hand.scheduler.nodes["n1"]
    node.answers, node.window = 20.0 * MS, 32.0
    hand.wait(200 * MS)
    hand.request("before")
    hand.now += 900 * MS  # no turn for 900 ms, then all at once
    while hand.timers and hand.timers[0][0] <= hand.now:
        hand.event(api.TimerFired(heapq.heappop(hand.timers)[1]))
    for i in range(40):
        hand.request(f"r{i}")
    hand.end("before")
    assert node.answers == 20.0 * MS and node.window == 4.0 and node.cut_at == 0
    assert len(hand.sends()) <= 1 + 5


def test_idle_volumes_and_gone_nodes_are_forgotten_without_refilling_a_limit():
    limited = api.Plan("limited", usual_rate=1, limit=0.1, burst=20, tolerance=8)
    hand = Hand(plans=(limited, PLAN), nodes=[api.NodeEntry("n1", 0), api.NodeEntry("n2", 1)])
    hand.wait(100 * MS)
    hand.request("a", volume="slow", plan=0)
    hand.request("b", volume="idle", plan=1)
    hand.wait(20 * MS, answer_after(5 * MS))
    hand.listed(api.NodeEntry("n2", 1, phase=api.Phase.GONE))
    hand.wait(70 * SECOND)
    assert list(hand.scheduler.volumes) == ["slow"] and list(hand.scheduler.nodes) == ["n1"]


def test_a_window_below_one_grows_by_answers_that_are_slow_by_work_alone():
    hand = Hand(hosts=200)
    node = hand.scheduler.nodes["n1"]
    node.window, node.answers = 0.25, 150.0 * MS
    hand.request("export", 2)  # 200 ms: over a quarter of the threshold, within half of its own aim
    hand.wait(200 * MS)
    hand.end("export")
    assert node.window == 0.5


def jammed_fleet(hosts: int, probes: bool, seconds: int = 30) -> tuple[int, int]:
    """Hosts with work for one node whose queue outlived its cause: it works it off slowly while it is long.

    Returns how much still waits at the end and how many of the last five seconds' attempts were answered.
    """
    hands = [
        Hand(
            hosts=hosts, me=me, seed=me, may_probe=probes, report_fields=("queue",), start=(100 + me) * SECOND
        )
        for me in range(hosts)
    ]
    queue: list = [(None, None)] * 150  # of what came before
    done = served = 0.0
    for hand in hands:
        node = hand.scheduler.nodes["n1"]
        node.window, node.last_sent = 0.5, hand.now  # each has seen that the node is slow
    for tick in range(seconds * 20):
        done += 3.0 if len(queue) < 20 else 1.0  # sixty a second, or twenty
        while queue and done >= 1:
            hand, name = queue.pop(0)
            done -= 1
            if hand and any(s[0] == name for s in hand.open_sends):
                hand.end(name)
                served += tick >= (seconds - 5) * 20
        done = min(done, 3.0)
        for i, hand in enumerate(hands):
            before, probed = len(hand.sends()), len(hand.log)
            if (tick + i) % 40 == 0:  # half a request a second from each
                hand.request(f"r{tick}", left=2 * SECOND)
            hand.wait(50 * MS)
            queue += [(hand, a.request) for _, a in hand.sends()[before:]]
            for name, _, _, at in list(hand.open_sends):
                if hand.now - at >= 2 * SECOND:
                    hand.end(name, Outcome.TIMEOUT)
            if any(isinstance(a, api.ProbeNode) for _, a in hand.log[probed:]):
                hand.event(api.ProbeEnded("n1", Outcome.OK, 1 * MS, {"queue": float(len(queue))}))
    return len(queue), int(served)


def test_a_queue_that_outlived_its_cause_drains_as_hosts_ask_the_node_and_do_not_test_it():
    waiting, served = jammed_fleet(100, probes=True)
    assert waiting < 20 and served >= 150


def test_a_report_of_a_crowd_holds_work_back_and_an_old_one_does_not():
    hand = Hand(hosts=50, may_probe=True, report_fields=("util", "queue"))
    node = hand.scheduler.nodes["n1"]
    node.window, node.last_sent = 0.3, hand.now
    hand.event(api.ProbeEnded("n1", Outcome.OK, 1 * MS, {"queue": 80.0}))
    hand.request("r", left=2 * SECOND)
    hand.wait(500 * MS)
    assert not hand.sends("r") and any(isinstance(a, api.ProbeNode) for _, a in hand.log)
    hand.wait(1200 * MS)  # nothing more is heard of the queue: a safe default, the window's own pace
    hand.request("s", left=2 * SECOND)
    hand.wait(300 * MS)
    assert hand.sends("s")
    hand.event(api.ProbeEnded("n1", Outcome.OK, 1 * MS, {"queue": float("nan"), "util": 3.0}))
    hand.event(api.ProbeEnded("n1", Outcome.TIMEOUT, 250 * MS, None))
    hand.event(api.ProbeEnded("gone", Outcome.OK, 1 * MS, {"queue": 80.0}))


def test_a_client_that_comes_back_with_what_was_given_up_has_not_got_a_new_aim():
    hand = Hand(hosts=200)
    node = hand.scheduler.nodes["n1"]
    node.window, node.last_sent, node.trip = 0.1, hand.now, 300.0 * MS
    hand.request("first", key="k", left=2 * SECOND)
    aim = hand.now + 250 * MS
    assert hand.finals("first")
    hand.wait(150 * MS)
    node.window = 1.0
    node.out[("other", 0)] = hand.now
    hand.request("again", key="k", left=1850 * MS)
    hand.request("fresh", key="k", left=2 * SECOND)
    requests = hand.scheduler.requests
    assert requests["again"].aim == aim and requests["fresh"].aim == hand.now + 250 * MS


def test_nothing_goes_past_a_late_request_that_is_worth_more():
    hand = Hand(plans=(api.Plan("p", 50, reserve=50, price=8.0), api.Plan("q", 50, reserve=50, price=0.2)))
    node = hand.scheduler.nodes["n1"]
    node.window, node.reads, node.cut_at = 2.0, 300.0 * MS, hand.now
    node.out[("other", 0)] = hand.now
    hand.request("late", volume="a", plan=0)
    hand.request("less", 2, volume="b", plan=1, left=3 * SECOND)
    assert not hand.sends()


def test_where_answers_vanish_one_silence_is_no_jam_and_two_in_a_row_are():
    hand = Hand(hosts=100, nodes=[api.NodeEntry(f"n{i}", i) for i in range(9)])
    for i in range(120):  # at busier nodes every sixth answer vanishes, as later ones show
        hand.request(f"r{i}", volume=f"v{i % 8}", shard=i % 8, left=1 * SECOND)
        lost = [s for s in hand.open_sends if int(s[0][1:]) % 6 == 0]
        hand.open_sends = [s for s in hand.open_sends if s not in lost]
        hand.wait(20 * MS, answer_after(10 * MS))
        hand.open_sends += lost
        for name, _, _, at in lost:
            if hand.now - at >= 1 * SECOND:
                hand.end(name, Outcome.TIMEOUT)
    hand.wait(2 * SECOND, answer_after(10 * MS))
    quiet = hand.scheduler.nodes["n8"]
    for i, window in enumerate((1.0, 0.5)):
        hand.request(f"q{i}", shard=8, left=500 * MS)
        hand.wait(600 * MS, answer_after(500 * MS, Outcome.TIMEOUT))
        assert hand.sends(f"q{i}") and quiet.window <= window
        if window == 1.0:
            assert quiet.window == 1.0


def test_a_keyed_write_that_may_have_run_goes_on_at_the_shard_it_was_sent_to():
    kind = api.RequestClass(
        "write",
        worth=3,
        aim=400 * MS,
        deadline=2 * SECOND,
        writes=True,
        effect=api.Effect.KEYED,
        group=api.Group.SHARD,
        repeat_window=5 * SECOND,
    )
    for outcome in (Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT):
        hand = Hand(classes=(kind,), nodes=[api.NodeEntry(f"n{i}", i) for i in range(5)])
        hand.request("w", shard=-1)
        first = hand.sends("w")[0][1].node
        for name in range(4):  # the other nodes look better now
            hand.request(f"x{name}", shard=int(first[1:]))
        hand.end("w", outcome)
        hand.wait(1 * SECOND)
        assert [s.node for _, s in hand.sends("w")] == [first, first]
