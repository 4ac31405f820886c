"""The watch of the node list over loopback, against a scripted stand-in for discovery."""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.net import discovery
from stoatrouter.net.discovery import Watch
from stoatrouter.policy.interface import ListKind, Phase
from tests.peers import HOST, Discovery, Node, listening, node_list, run, until


def test_the_watch_goes_on_whatever_discovery_does():
    async def scenario():
        node = Node("a", 0)
        script = (
            b"no json",
            500,
            {"generation": 2},
            node_list(2, node.entry(lifecycle="DRAINING"), reset=False),
            node_list(3, node.entry(lifecycle="SLEEPING"), reset=False),
            node_list(4, reset=False),
            node_list(5, node.entry(), reset=True),
        )
        peer = Discovery(*script)
        received = []
        async with listening(peer.handle) as port:
            watch = Watch(
                f"{HOST}:{port}",
                node_list(1, node.entry()),
                lambda kind, nodes, _: received.append((kind, [n.phase for n in nodes])),
            )
            watch.restore()
            task = asyncio.create_task(watch.run())
            await until(lambda: len(peer.calls) == len(script) + 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert received == [
            (ListKind.RESTORED, [Phase.ON]),
            (ListKind.CHANGES, [Phase.DRAINING]),
            (ListKind.FULL, [Phase.ON]),
        ]
        # an invalid answer changes nothing: the next call asks from the same generation; an invalid entry is
        # skipped
        assert [path.split("from=")[1].split("&")[0] for _, path in peer.calls] == list("11112345")

    run(scenario())


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
    a = Node("a", 0)
    b = Node("b", 1)
    counted = []
    received = []
    watch = Watch(
        f"{HOST}:9",
        node_list(1, a.entry(), b.entry()),
        lambda kind, nodes, _: received.append({n.id: n.phase for n in nodes}),
        counted.append,
    )
    watch.restore()
    for generation, reset in (2, True), (3, False), (4, True):
        entries = a.entry(lifecycle="DRAINING"), b.entry(**spoilt), "nonsense"
        watch.apply(node_list(generation, *entries, reset=reset))
    kept = {} if "instanceId" in spoilt else {"b": Phase.ON}  # without an id it is not known which node it is
    assert received[1] == received[3] == {"a": Phase.DRAINING} | kept
    assert received[2] == {"a": Phase.DRAINING} and watch.generation == 4
    assert counted == ["entry_unreadable"] * 6 and len(watch.entry_faults.logged) == 2


def test_an_agent_that_holds_no_call_is_asked_at_a_pace():
    async def scenario():
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

    run(scenario())


def test_a_moved_watch_keeps_what_it_holds_and_leaves_a_silent_agent():
    async def scenario():
        node = Node("a", 0)
        received = []
        old = Discovery(node_list(2, node.entry(), reset=True))  # answers once, then no more
        new = Discovery(
            node_list(3, node.entry(lifecycle="DRAINING"), reset=False), node_list(2, reset=False)
        )
        async with listening(old.handle) as old_port, listening(new.handle) as new_port:
            watch = Watch(
                f"{HOST}:{old_port}",
                node_list(1),
                lambda kind, nodes, _: received.append((kind, len(nodes))),
            )
            watch.restore()
            task = asyncio.create_task(watch.run())
            await until(lambda: len(old.calls) == 2)
            watch.change_address(f"{HOST}:{new_port}")
            await until(lambda: len(new.calls) == 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert [path.partition("&")[0] for _, path in new.calls] == [
            "/v1/servers?from=2",
            "/v1/servers?from=3",
            "/v1/servers",
        ]  # after a lower generation the next call asks for the full list
        assert received == [(ListKind.RESTORED, 0), (ListKind.FULL, 1), (ListKind.CHANGES, 1)]

    run(scenario())


def test_a_fault_set_off_by_a_list_does_not_end_the_watch():
    async def scenario():
        def failing_callback(*_):
            raise RuntimeError("no such thing")

        peer = Discovery(b"[" * 100_000, node_list(2), node_list(3))
        async with listening(peer.handle) as port:
            task = asyncio.create_task(Watch(f"{HOST}:{port}", {}, failing_callback).run())
            await until(lambda: len(peer.calls) == 4)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(scenario())


def test_silence_ends_in_a_new_call():
    async def scenario():
        peer = Discovery()
        async with listening(peer.handle) as port:
            task = asyncio.create_task(Watch(f"{HOST}:{port}", node_list(1), lambda *_: None).run())
            await until(lambda: len(peer.calls) >= 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(scenario())
