"""Tests of an upgrade under load: two processes of the program, one head."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from pathlib import Path

import aiohttp
import pytest

from stoatrouter.net.handover_socket import HandoverSocket
from stoatrouter.net.startup_notification import SOCKET_NAME, StartupNotification
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.policy import Scheduler, handover
from stoatrouter.policy import interface as api
from stoatrouter.policy.units import SECOND
from tests.addresses import free_port
from tests.peers import HOST, Discovery, Node, config_data, listening, node_list, nodes_up, run, until
from tests.platform_client import started
from tests.process_signals import kill, send_signal
from tests.program_process import ROOT, program_environ, start_program
from tests.scheduler_driver import CLASSES, PLAN, READ
from tests.test_program import PATH, read

LIMITED = api.Plan("limited", usual_rate=5, reserve=1, weight=1, limit=20, burst=40, tolerance=4)


class HeadProcess:
    """One process of the program, with calls to its management address."""

    def __init__(self, process: asyncio.subprocess.Process, management: str) -> None:
        self.process = process
        self.management = management

    async def call(self, path: str, method: str = "GET") -> tuple[int, str]:
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with session.request(method, f"http://{self.management}/control/{path}") as response:
                    return response.status, await response.text()
        return 0, ""

    async def ready(self) -> HeadProcess:
        while (await self.call("ready"))[0] != 200:
            await asyncio.sleep(0.02)
        return self


class Platform:
    """Holds the clients' listening socket and starts processes of one head, as the platform does."""

    def __init__(self, folder: Path, discovery: int, nodes: tuple[Node, ...], stack) -> None:
        self.listening_socket = socket.create_server((HOST, 0), backlog=128)
        self.folder = folder
        self.stack = stack
        self.base = f"http://{HOST}:{self.listening_socket.getsockname()[1]}"
        data = config_data(
            node_list(1, *(n.entry() for n in nodes)), discovery, self.listening_socket.getsockname()[1]
        )
        (folder / "config.json").write_text(json.dumps(data))
        (folder / "tmp").mkdir()
        stack.callback(self.listening_socket.close)

    async def start(self, **more: str) -> HeadProcess:
        management = f"{HOST}:{free_port()}"
        environ = program_environ(
            self.folder / "config.json",
            NODE_MANAGEMENT=management,
            TMPDIR=str(self.folder / "tmp"),
            NODE_INHERITED_FD=str(self.listening_socket.fileno()),
        )
        process = await start_program(
            self.folder, environ | more, optimized=True, pass_fds=[self.listening_socket.fileno()]
        )

        async def end():
            if process.returncode is None:
                kill(process)
            await process.wait()

        self.stack.push_async_callback(end)
        return HeadProcess(process, management)


@contextlib.asynccontextmanager
async def platform(folder: Path, *nodes: Node):
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(nodes_up(*nodes))
        discovery = await stack.enter_async_context(listening(Discovery().handle))
        yield Platform(folder, discovery, nodes, stack)


def test_the_new_process_takes_what_is_new_and_the_old_one_ends_what_it_has(tmp_path):
    async def scenario():
        node = Node("a", 0)
        other = Node("b", 1)
        may_answer = asyncio.Event()

        async def hold(request):
            if request.headers["Req-Id"] == "held":
                await may_answer.wait()

        node.gate = hold
        async with platform(tmp_path, node, other) as platform_stand_in, aiohttp.ClientSession() as kept:
            old = await (await platform_stand_in.start()).ready()
            assert (await old.call("bricks/b/offline", "POST"))[0] == 200
            assert (await read(kept, platform_stand_in.base, "zero"))[0] == 200
            path = PATH.replace("score-read", "stats-export")
            held = asyncio.create_task(
                read(kept, platform_stand_in.base, "held", path, **{"Req-Deadline-Ms": "6000"})
            )
            await until(lambda: node.ran["zero"] == 1 and len(node.seen) == 2)
            new = await (await platform_stand_in.start()).ready()
            assert (await old.call("ready"))[0] == 503
            send_signal(old.process, signal.SIGTERM)
            for i in range(5):
                async with aiohttp.ClientSession() as fresh:
                    assert (await read(fresh, platform_stand_in.base, f"new{i}"))[0] == 200
            _, counters = await new.call("counters")
            assert "app.responses.score-read.ok:5|c" in counters and "app.pool_ejected:1|g" in counters
            may_answer.set()
            assert (await held)[0] == 200
            assert await old.process.wait() == 0
            async with aiohttp.ClientSession() as fresh:
                assert (await read(fresh, platform_stand_in.base, "after"))[0] == 200
            assert set(node.ran.values()) == {1}

    run(scenario())


@pytest.mark.parametrize("killed", ["old", "new"])
def test_whichever_dies_the_other_serves_on(tmp_path, killed):
    async def scenario():
        async with platform(tmp_path, Node("a", 0)) as platform_stand_in:
            old = await (await platform_stand_in.start()).ready()
            new = await (await platform_stand_in.start()).ready()
            ended, remaining = (old, new) if killed == "old" else (new, old)
            kill(ended.process)
            await ended.process.wait()
            await remaining.ready()
            async with aiohttp.ClientSession() as session:
                assert (await read(session, platform_stand_in.base, "r"))[0] == 200
            # the remaining process can hand over again
            third = await (await platform_stand_in.start()).ready()
            assert (await remaining.call("ready"))[0] == 503
            async with aiohttp.ClientSession() as session:
                assert (await read(session, platform_stand_in.base, "s"))[0] == 200
            assert "score-read.ok:1|c" in (await third.call("counters"))[1]

    run(scenario())


@pytest.mark.parametrize("left_behind", ["socket", "file"])
def test_what_a_dead_process_left_behind_stops_no_start(tmp_path, left_behind):
    async def scenario():
        folder = tmp_path / ("long" * 30)
        folder.mkdir()
        if left_behind == "file":
            (folder / SOCKET_NAME).write_text("")
        else:
            dead = HandoverSocket(str(folder))
            await dead.listen(lambda *_: None)
            await dead.close()
        first = HandoverSocket(str(folder))
        assert await first.take_over() is None
        take_over_requested = asyncio.Event()
        await first.listen(lambda *_: take_over_requested.set())
        take_over = asyncio.create_task(HandoverSocket(str(folder)).take_over())
        await take_over_requested.wait()
        take_over.cancel()
        await first.close()

    run(scenario())


# -- what the decision module hands over -------------------------------------------------------------------
def new_scheduler(**more) -> Scheduler:
    settings = api.Settings(classes=CLASSES, plans=(PLAN, LIMITED), max_units=4, **more)
    scheduler = Scheduler(settings, seed=1)
    scheduler.handle(SECOND, api.EndpointList(api.ListKind.RESTORED, (api.NodeEntry("n", 0),)))
    return scheduler


def is_sent(scheduler: Scheduler, now: int, name: str, units: float = 4.0) -> bool:
    """Hand a request to a scheduler; return whether it is sent at once."""
    request = api.RequestArrived(name, "v", 1, CLASSES.index(READ), 0, 2 * SECOND, units)
    return any(isinstance(action, api.Send) for action in scheduler.handle(now, request))


def hand_over_to_new(old: Scheduler, now: int) -> Scheduler:
    new = Scheduler(old.settings, seed=2)
    entries = (api.NodeEntry(n.id, n.shard, phase=n.phase, up_since=n.up_since) for n in old.nodes.values())
    new.handle(now, api.EndpointList(api.ListKind.RESTORED, tuple(entries)))
    handover.take_over(new, json.loads(json.dumps(handover.hand_over(old, now))))
    return new


def test_old_and_new_together_keep_a_limit_as_one():
    alone = new_scheduler()
    old = new_scheduler()
    now = 30 * SECOND
    for scheduler in alone, old:
        scheduler.volumes["v"] = scheduler.volumes.get("v") or handover.Volume(SECOND, LIMITED, 1, 4)
        scheduler.volumes["v"].refill(now)
    new = hand_over_to_new(old, now)
    volumes = [scheduler.volumes["v"] for scheduler in (alone, old, new)]
    available, old_part, new_part = (volume.limit_tokens - volume.limit_floor for volume in volumes)
    assert old_part + new_part == pytest.approx(available - handover.STARTUP_LOSS_SECONDS * LIMITED.limit)
    later = now + SECOND  # only the new process's part refills
    tokens = old.volumes["v"].limit_tokens
    assert old.volumes["v"].refill(later).limit_tokens == tokens
    assert new.volumes["v"].refill(later).limit_tokens > new.volumes["v"].limit_floor
    handover.take_back(old, later)
    assert old.volumes["v"].refill(later + SECOND).limit_tokens > tokens


def test_an_old_process_gives_a_volume_it_never_saw_nothing():
    old = new_scheduler()
    hand_over_to_new(old, 30 * SECOND)
    assert not is_sent(old, 31 * SECOND, "r")


def test_what_was_learnt_of_nodes_is_passed_on():
    old = new_scheduler()
    assert is_sent(old, 10 * SECOND, "r", 1.0)
    old.handle(10 * SECOND + 90_000, api.AttemptEnded("r", 0, "n", api.Outcome.OK, 90_000, True))
    new = hand_over_to_new(old, 11 * SECOND)
    for name in (
        "window",
        "latency",
        "read_latency",
        "recent_sends",
        "recent_keys",
        "units_sent",
        "throttleable",
    ):
        assert getattr(new.nodes["n"], name) == getattr(old.nodes["n"], name)
    assert new.state.started_at == old.state.started_at


def test_windows_count_what_the_old_process_still_has_out():
    new = hand_over_to_new(new_scheduler(), 30 * SECOND)
    new.nodes["n"].window = 2.0
    new.nodes["n"].in_flight_elsewhere = 2
    assert not is_sent(new, 31 * SECOND, "r", 1.0)
    new.nodes["n"].in_flight_elsewhere = 0
    assert is_sent(new, 31 * SECOND, "s", 1.0)


def test_a_warming_up_node_gets_nothing_from_the_old_process():
    rules = api.Rules(warm_up_time=18 * SECOND, warm_up_units=34, overload_window=3 * SECOND)
    for handed_over, sent in (False, True), (True, False):
        old = new_scheduler(rules=rules)
        cold = api.NodeEntry("n", 0, up_since=29 * SECOND)
        old.handle(30 * SECOND, api.EndpointList(api.ListKind.CHANGES, (cold,)))
        if handed_over:
            hand_over_to_new(old, 30 * SECOND)
        actions = old.handle(31 * SECOND, api.RequestArrived("r", "w", 0, 0, 0, 2 * SECOND, 1.0))
        assert any(isinstance(a, api.Send) for a in actions) is sent


def test_the_kept_file_and_the_socket_share_the_folder(tmp_path):
    async def scenario():
        handover_socket = HandoverSocket(str(tmp_path))
        await handover_socket.listen(lambda *_: None)
        assert AdministrativeStateFile(str(tmp_path)).write(AdministrativeStateFile(str(tmp_path)).read())
        await handover_socket.close()
        assert sorted(p.name for p in tmp_path.iterdir()) == ["stoatrouter-bricks.json", SOCKET_NAME]

    run(scenario())


def test_a_process_that_starts_says_so_before_it_can_ask(tmp_path):
    """The old process then accepts fewer requests: the start takes much of the CPU core that both run on."""

    async def scenario():
        folder = tmp_path / ("long" * 30)
        folder.mkdir()
        notified = asyncio.Event()
        notification = StartupNotification()
        old_socket = HandoverSocket(str(folder))
        notification.connect(str(folder))
        assert notification.connection is None  # no old process listens
        notification.connect(None)
        await old_socket.listen(lambda *_: notified.set())
        notification.connect(str(folder))
        await notified.wait()
        notification.close()
        await old_socket.close()

    run(scenario())


def test_a_head_holds_less_open_while_its_next_version_starts(tmp_path):
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            head.handover.socket.folder = str(tmp_path)
            await head.handover.listen()
            assert head.clients.busy_limit() == head.clients.max_busy
            notification = StartupNotification()
            notification.connect(str(tmp_path))
            await until(lambda: head.clients.busy_limit() == head.clients.max_busy_tightened)
            notification.close()
            assert head.serving and not head.drain.handed_over

    run(scenario())


def test_the_http_front_goes_over_to_the_new_process(tmp_path):
    """Its clients keep getting answers; they retry while no process listens on its port.

    A request that was sent as its connection closed is sent once more, as clients do; no other fails.
    """

    async def scenario():
        node = Node("a", 0)
        port = free_port()
        settings = (ROOT / "deploy" / "http.cue").read_text().replace("8490", str(port))
        (tmp_path / "http.cue").write_text(settings)
        (tmp_path / "http-rules.cue").write_text((ROOT / "deploy" / "http-rules.cue").read_text())
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(nodes_up(node))
            discovery = await stack.enter_async_context(listening(Discovery().handle))
            platform_stand_in = Platform(tmp_path, discovery, (node,), stack)
            http = {"STOATROUTER_HTTP": str(tmp_path / "http.cue")}
            old = await (await platform_stand_in.start(**http)).ready()
            answers = []
            done = asyncio.Event()

            async def get(session):
                async with session.get(f"http://{HOST}:{port}/feed/x") as response:
                    answers.append((response.status, await response.read()))

            async def client():
                async with aiohttp.ClientSession() as session:
                    while not done.is_set():
                        with contextlib.suppress(aiohttp.ClientConnectorError):
                            try:
                                await get(session)
                            except aiohttp.ServerDisconnectedError:
                                await get(session)
                        await asyncio.sleep(0.002)

            client_tasks = [asyncio.create_task(client()) for _ in range(4)]
            await until(lambda: len(answers) > 20)
            new = await (await platform_stand_in.start(**http)).ready()
            send_signal(old.process, signal.SIGTERM)
            assert await old.process.wait() == 0
            count = len(answers)
            await until(lambda: len(answers) > count + 20)
            done.set()
            await asyncio.gather(*client_tasks)
            assert {status for status, _ in answers} == {200} and new.process.returncode is None

    run(scenario())
