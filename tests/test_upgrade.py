"""A new version under load: two processes of the program, one head."""

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


class Process:
    """One process of the program, and the operators' view of it."""

    def __init__(self, process: asyncio.subprocess.Process, management: str) -> None:
        self.process, self.management = process, management

    async def call(self, path: str, method: str = "GET") -> tuple[int, str]:
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with session.request(method, f"http://{self.management}/control/{path}") as response:
                    return response.status, await response.text()
        return 0, ""

    async def ready(self) -> Process:
        while (await self.call("ready"))[0] != 200:
            await asyncio.sleep(0.02)
        return self


class Platform:
    """Holds the clients' socket and starts processes of one head, as the platform does."""

    def __init__(self, folder: Path, discovery: int, nodes: tuple[Node, ...], stack) -> None:
        self.ear = socket.create_server((HOST, 0), backlog=128)
        self.folder, self.stack = folder, stack
        self.base = f"http://{HOST}:{self.ear.getsockname()[1]}"
        data = config_data(node_list(1, *(n.entry() for n in nodes)), discovery, self.ear.getsockname()[1])
        (folder / "config.json").write_text(json.dumps(data))
        (folder / "tmp").mkdir()
        stack.callback(self.ear.close)

    async def start(self, **more: str) -> Process:
        management = f"{HOST}:{free_port()}"
        environ = program_environ(
            self.folder / "config.json",
            NODE_MANAGEMENT=management,
            TMPDIR=str(self.folder / "tmp"),
            NODE_INHERITED_FD=str(self.ear.fileno()),
        )
        process = await start_program(
            self.folder, environ | more, optimized=True, pass_fds=[self.ear.fileno()]
        )

        async def end():
            if process.returncode is None:
                kill(process)
            await process.wait()

        self.stack.push_async_callback(end)
        return Process(process, management)


@contextlib.asynccontextmanager
async def platform(folder: Path, *nodes: Node):
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(nodes_up(*nodes))
        discovery = await stack.enter_async_context(listening(Discovery().handle))
        yield Platform(folder, discovery, nodes, stack)


def test_the_new_process_takes_what_is_new_and_the_old_one_ends_what_it_has(tmp_path):
    async def story():
        node, other, go = Node("a", 0), Node("b", 1), asyncio.Event()

        async def hold(request):
            if request.headers["Req-Id"] == "held":
                await go.wait()

        node.gate = hold
        async with platform(tmp_path, node, other) as there, aiohttp.ClientSession() as kept:
            old = await (await there.start()).ready()
            assert (await old.call("bricks/b/offline", "POST"))[0] == 200
            assert (await read(kept, there.base, "zero"))[0] == 200
            path = PATH.replace("score-read", "stats-export")
            held = asyncio.create_task(read(kept, there.base, "held", path, **{"Req-Deadline-Ms": "6000"}))
            await until(lambda: node.ran["zero"] == 1 and len(node.seen) == 2)
            new = await (await there.start()).ready()
            assert (await old.call("ready"))[0] == 503
            send_signal(old.process, signal.SIGTERM)
            for i in range(5):
                async with aiohttp.ClientSession() as fresh:
                    assert (await read(fresh, there.base, f"new{i}"))[0] == 200
            _, figures = await new.call("counters")
            assert "app.responses.score-read.ok:5|c" in figures and "app.pool_ejected:1|g" in figures
            go.set()
            assert (await held)[0] == 200
            assert await old.process.wait() == 0
            async with aiohttp.ClientSession() as fresh:
                assert (await read(fresh, there.base, "after"))[0] == 200
            assert set(node.ran.values()) == {1}

    run(story())


@pytest.mark.parametrize("dies", ["old", "new"])
def test_whichever_dies_the_other_serves_on(tmp_path, dies):
    async def story():
        async with platform(tmp_path, Node("a", 0)) as there:
            old = await (await there.start()).ready()
            new = await (await there.start()).ready()
            gone, left = (old, new) if dies == "old" else (new, old)
            kill(gone.process)
            await gone.process.wait()
            await left.ready()
            async with aiohttp.ClientSession() as session:
                assert (await read(session, there.base, "r"))[0] == 200
            # and it hands over once more
            third = await (await there.start()).ready()
            assert (await left.call("ready"))[0] == 503
            async with aiohttp.ClientSession() as session:
                assert (await read(session, there.base, "s"))[0] == 200
            assert "score-read.ok:1|c" in (await third.call("counters"))[1]

    run(story())


@pytest.mark.parametrize("left_behind", ["socket", "file"])
def test_what_a_dead_process_left_behind_stops_no_start(tmp_path, left_behind):
    async def story():
        folder = tmp_path / ("long" * 30)
        folder.mkdir()
        if left_behind == "file":
            (folder / SOCKET_NAME).write_text("")
        else:
            dead = HandoverSocket(str(folder))
            await dead.listen(lambda *_: None)
            await dead.close()
        one = HandoverSocket(str(folder))
        assert await one.take_over() is None
        asked = asyncio.Event()
        await one.listen(lambda *_: asked.set())
        taking = asyncio.create_task(HandoverSocket(str(folder)).take_over())
        await asked.wait()
        taking.cancel()
        await one.close()

    run(story())


# -- what the decision module hands over -------------------------------------------------------------------
def scheduler(**more) -> Scheduler:
    made = Scheduler(api.Settings(classes=CLASSES, plans=(PLAN, LIMITED), max_units=4, **more), seed=1)
    made.handle(SECOND, api.EndpointList(api.ListKind.RESTORED, (api.NodeEntry("n", 0),)))
    return made


def ask(made: Scheduler, now: int, name: str, units: float = 4.0) -> bool:
    actions = made.handle(now, api.RequestArrived(name, "v", 1, CLASSES.index(READ), 0, 2 * SECOND, units))
    return any(isinstance(a, api.Send) for a in actions)


def passed_on(old: Scheduler, now: int) -> Scheduler:
    new = Scheduler(old.settings, seed=2)
    entries = (api.NodeEntry(n.id, n.shard, phase=n.phase, up_since=n.up_since) for n in old.nodes.values())
    new.handle(now, api.EndpointList(api.ListKind.RESTORED, tuple(entries)))
    handover.take_over(new, json.loads(json.dumps(handover.hand_over(old, now))))
    return new


def test_old_and_new_together_keep_a_limit_as_one():
    alone, old = scheduler(), scheduler()
    now = 30 * SECOND
    for made in alone, old:
        made.volumes["v"] = made.volumes.get("v") or handover.Volume(SECOND, LIMITED, 1, 4)
        made.volumes["v"].refill(now)
    new = passed_on(old, now)
    full = alone.volumes["v"].limit_tokens - alone.volumes["v"].limit_floor
    parts = sum(made.volumes["v"].limit_tokens - made.volumes["v"].limit_floor for made in (old, new))
    assert parts == pytest.approx(full - handover.STARTUP_LOSS_SECONDS * LIMITED.limit)
    later = now + SECOND  # only the new one's part fills
    kept = old.volumes["v"].limit_tokens
    assert old.volumes["v"].refill(later).limit_tokens == kept
    assert new.volumes["v"].refill(later).limit_tokens > new.volumes["v"].limit_floor
    handover.take_back(old, later)
    assert old.volumes["v"].refill(later + SECOND).limit_tokens > kept


def test_an_old_process_gives_a_volume_it_never_saw_nothing():
    old = scheduler()
    passed_on(old, 30 * SECOND)
    assert not ask(old, 31 * SECOND, "r")


def test_what_was_learnt_of_nodes_is_passed_on():
    old = scheduler()
    assert ask(old, 10 * SECOND, "r", 1.0)
    old.handle(10 * SECOND + 90_000, api.AttemptEnded("r", 0, "n", api.Outcome.OK, 90_000, True))
    new = passed_on(old, 11 * SECOND)
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
    new = passed_on(scheduler(), 30 * SECOND)
    new.nodes["n"].window, new.nodes["n"].in_flight_elsewhere = 2.0, 2
    assert not ask(new, 31 * SECOND, "r", 1.0)
    new.nodes["n"].in_flight_elsewhere = 0
    assert ask(new, 31 * SECOND, "s", 1.0)


def test_a_warming_up_node_gets_nothing_from_the_old_process():
    rules = api.Rules(warm_up_time=18 * SECOND, warm_up_units=34, overload_window=3 * SECOND)
    for handed, sent in (False, True), (True, False):
        old = scheduler(rules=rules)
        cold = api.NodeEntry("n", 0, up_since=29 * SECOND)
        old.handle(30 * SECOND, api.EndpointList(api.ListKind.CHANGES, (cold,)))
        if handed:
            passed_on(old, 30 * SECOND)
        actions = old.handle(31 * SECOND, api.RequestArrived("r", "w", 0, 0, 0, 2 * SECOND, 1.0))
        assert any(isinstance(a, api.Send) for a in actions) is sent


def test_the_kept_file_and_the_socket_share_the_folder(tmp_path):
    async def story():
        one = HandoverSocket(str(tmp_path))
        await one.listen(lambda *_: None)
        assert AdministrativeStateFile(str(tmp_path)).write(AdministrativeStateFile(str(tmp_path)).read())
        await one.close()
        assert sorted(p.name for p in tmp_path.iterdir()) == ["stoatrouter-bricks.json", SOCKET_NAME]

    run(story())


def test_a_process_that_starts_says_so_before_it_can_ask(tmp_path):
    """The old one then holds less open: the start takes much of the core that both run on."""

    async def story():
        folder, came = tmp_path / ("long" * 30), asyncio.Event()
        folder.mkdir()
        notification, one = StartupNotification(), HandoverSocket(str(folder))
        notification.connect(str(folder))
        assert notification.connection is None  # there is none to say it to
        notification.connect(None)
        await one.listen(lambda *_: came.set())
        notification.connect(str(folder))
        await came.wait()
        notification.close()
        await one.close()

    run(story())


def test_a_head_holds_less_open_while_its_next_version_starts(tmp_path):
    async def story():
        async with started(Node("a", 0)) as (head, _):
            head.handover.socket.folder = str(tmp_path)
            await head.handover.listen()
            assert head.clients.busy_limit() == head.clients.max_busy
            notification = StartupNotification()
            notification.connect(str(tmp_path))
            await until(lambda: head.clients.busy_limit() == head.clients.max_busy_tightened)
            notification.close()
            assert head.serving and not head.drain.handed_over

    run(story())


def test_the_http_front_goes_over_to_the_new_process(tmp_path):
    """Its clients keep being answered; in the moment in which nobody listens they try again.

    A request that crossed the end of its connection is sent once more, as clients do; none fails otherwise.
    """

    async def story():
        node, port = Node("a", 0), free_port()
        settings = (ROOT / "deploy" / "http.cue").read_text().replace("8490", str(port))
        (tmp_path / "http.cue").write_text(settings)
        (tmp_path / "http-rules.cue").write_text((ROOT / "deploy" / "http-rules.cue").read_text())
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(nodes_up(node))
            discovery = await stack.enter_async_context(listening(Discovery().handle))
            platform = Platform(tmp_path, discovery, (node,), stack)
            http = {"STOATROUTER_HTTP": str(tmp_path / "http.cue")}
            old = await (await platform.start(**http)).ready()
            answers, done = [], asyncio.Event()

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

            asking = [asyncio.create_task(client()) for _ in range(4)]
            await until(lambda: len(answers) > 20)
            new = await (await platform.start(**http)).ready()
            send_signal(old.process, signal.SIGTERM)
            assert await old.process.wait() == 0
            count = len(answers)
            await until(lambda: len(answers) > count + 20)
            done.set()
            await asyncio.gather(*asking)
            assert {status for status, _ in answers} == {200} and new.process.returncode is None

    run(story())
