"""The watch of the node list over loopback, against a discovery that follows a script."""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.net import discovery
from stoatrouter.net.discovery import Watch
from stoatrouter.policy.interface import ListKind, Phase
from tests.peers import HOST, Discovery, Node, listening, node_list, run, until


def test_the_watch_goes_on_whatever_discovery_does():
    async def story():
        a = Node("a", 0)
        script = (
            b"no json",
            500,
            {"generation": 2},
            node_list(2, a.entry(lifecycle="DRAINING"), reset=False),
            node_list(3, a.entry(lifecycle="SLEEPING"), reset=False),
            node_list(4, reset=False),
            node_list(5, a.entry(), reset=True),
        )
        peer, heard = Discovery(*script), []
        async with listening(peer.handle) as port:
            watch = Watch(
                f"{HOST}:{port}",
                node_list(1, a.entry()),
                lambda kind, nodes, _: heard.append((kind, [n.phase for n in nodes])),
            )
            watch.restore()
            task = asyncio.create_task(watch.run())
            await until(lambda: len(peer.calls) == len(script) + 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert heard == [
            (ListKind.RESTORED, [Phase.ON]),
            (ListKind.CHANGES, [Phase.DRAINING]),
            (ListKind.FULL, [Phase.ON]),
        ]
        # an answer that makes no sense moves nothing: the next call asks from the list that is held; an entry
        # that makes none is passed over
        assert [path.split("from=")[1].split("&")[0] for _, path in peer.calls] == list("11112345")

    run(story())


@pytest.mark.parametrize(
    "spoilt",
    [
        {"lifecycle": "SLEEPING"},
        {"cell": "x"},
        {"hostPort": ""},
        {"startedAtMs": 1e400},
        {"weight": [1]},
        {"instanceId": None, "lifecycle": 3},
    ],
)
def test_a_spoilt_entry_costs_itself_alone(spoilt):
    a, b, counted, heard = Node("a", 0), Node("b", 1), [], []
    watch = Watch(
        f"{HOST}:9",
        node_list(1, a.entry(), b.entry()),
        lambda kind, nodes, _: heard.append({n.id: n.phase for n in nodes}),
        counted.append,
    )
    watch.restore()
    for generation, reset in (2, True), (3, False), (4, True):
        entries = a.entry(lifecycle="DRAINING"), b.entry(**spoilt), "nonsense"
        watch.apply(node_list(generation, *entries, reset=reset))
    stays = {} if "instanceId" in spoilt else {"b": Phase.ON}  # what it stood for cannot be told
    assert heard[1] == heard[3] == {"a": Phase.DRAINING} | stays
    assert heard[2] == {"a": Phase.DRAINING} and watch.generation == 4
    assert counted == ["entry_unreadable"] * 6 and len(watch.entry_faults.logged) == 2


def test_an_agent_that_holds_no_call_is_asked_at_a_pace():
    async def story():
        peer = Discovery(*(node_list(1, reset=False) for _ in range(3)))
        async with listening(peer.handle) as port:
            watch = Watch(f"{HOST}:{port}", node_list(1), lambda *_: None)
            watch.restore()
            task = asyncio.create_task(watch.run())
            await until(lambda: len(peer.calls) == 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        times = [at for at, _ in peer.calls]
        assert times[2] - times[0] >= 2 * discovery.MIN_CALL_INTERVAL.total_seconds()
        assert not watch.failures

    run(story())


def test_a_moved_watch_keeps_what_it_holds_and_leaves_a_silent_agent():
    async def story():
        a, heard = Node("a", 0), []
        old = Discovery(node_list(2, a.entry(), reset=True))  # then silence
        new = Discovery(node_list(3, a.entry(lifecycle="DRAINING"), reset=False), node_list(2, reset=False))
        async with listening(old.handle) as before, listening(new.handle) as after:
            watch = Watch(
                f"{HOST}:{before}", node_list(1), lambda kind, nodes, _: heard.append((kind, len(nodes)))
            )
            watch.restore()
            task = asyncio.create_task(watch.run())
            await until(lambda: len(old.calls) == 2)
            watch.change_address(f"{HOST}:{after}")
            await until(lambda: len(new.calls) == 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert [path.partition("&")[0] for _, path in new.calls] == [
            "/v1/servers?from=2",
            "/v1/servers?from=3",
            "/v1/servers",
        ]  # one that goes back fits no more
        assert heard == [(ListKind.RESTORED, 0), (ListKind.FULL, 1), (ListKind.CHANGES, 1)]

    run(story())


def test_a_fault_set_off_by_a_list_does_not_end_the_watch():
    async def story():
        def told_badly(*_):
            raise RuntimeError("no such thing")

        peer = Discovery(b"[" * 100_000, node_list(2), node_list(3))
        async with listening(peer.handle) as port:
            task = asyncio.create_task(Watch(f"{HOST}:{port}", {}, told_badly).run())
            await until(lambda: len(peer.calls) == 4)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(story())


def test_silence_ends_in_a_new_call():

    async def story():
        peer = Discovery()
        async with listening(peer.handle) as port:
            task = asyncio.create_task(Watch(f"{HOST}:{port}", node_list(1), lambda *_: None).run())
            await until(lambda: len(peer.calls) >= 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(story())
