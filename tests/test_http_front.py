"""The HTTP front, whole paths: clients over loopback, rules of three teams, a head, and scripted nodes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import threading
from collections import Counter

import aiohttp
import pytest
from aiohttp import web

from stoatrouter.config import ConfigError
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.head import Head
from stoatrouter.matching.samples import read_samples
from tests.peers import HOST, SETTINGS, Node, head_config, nodes_up, run, until
from tests.rules import APP, ARCHIVE, FEED, READS, WRITES, write_rules


class WebNode(Node):
    """A node that answers as any HTTP server may, and notes what it was asked."""

    def __init__(self, name, shard, *script):
        super().__init__(name, shard, *script)
        self.asked = []  # method, target, fields, body, time

    async def handle(self, request):
        body = await request.read()
        step = self.script.popleft() if self.script else "serve"
        now = asyncio.get_running_loop().time()
        self.asked.append((request.method, request.raw_path, request.headers.copy(), body, now))
        if step == "reset":
            request.transport.abort()
        if step == "error":
            return web.Response(status=500)
        if step == "silent":
            await asyncio.sleep(3600)
        if self.gate is not None:
            await self.gate(request)
        self.ran[request.headers["Req-Id"]] += 1
        path = request.raw_path.partition("?")[0]
        if path.endswith("/missing"):
            return web.Response(status=404, text="nothing here", headers={"X-Kind": "none"})
        if path.endswith("/same"):
            return web.Response(status=304, headers={"ETag": '"1"'})
        if path.endswith("/large"):
            return web.Response(
                body=b"z" * 3_000_000, headers={"Content-Type": "video/mp4", "Srv-Load": "util=0.1"}
            )
        if path.endswith("/moved"):
            return web.Response(
                status=302, headers={"Location": "/elsewhere", "Connection": "x-hop", "X-Hop": "1"}
            )
        return web.Response(
            body=body or self.name.encode(), headers={"Content-Type": "text/x-node", "ETag": '"7"'}
        )


def two(*script):
    return WebNode("a", 0, *script), WebNode("b", 1, *script)


@contextlib.asynccontextmanager
async def gateway(folder, *nodes, settings='listen: "127.0.0.1:0"\nrules: "rules.cue"\n', **teams):
    """A head with the HTTP front before these nodes."""
    write_rules(folder, **teams)
    (folder / "http.cue").write_text(settings)
    async with nodes_up(*nodes):
        head = Head(head_config(*nodes), http=load_http(folder / "http.cue"))
        await head.start()
        try:
            yield head
        finally:
            await head.stop()


class Client:
    """A client that counts the final answer of each request."""

    def __init__(self, session, head):
        self.session, self.base = session, f"http://{HOST}:{head.http.port}"
        self.answers = Counter()

    async def ask(self, method, target, body=None, host="scores.example", **fields):
        number = len(self.answers)
        self.answers[number] = 0
        url = aiohttp.client.URL(self.base + target, encoded=True)
        headers = {"Host": host, **{name.replace("_", "-"): value for name, value in fields.items()}}
        async with self.session.request(
            method, url, data=body, headers=headers, allow_redirects=False
        ) as response:
            data = await response.read()
            self.answers[number] += 1
            return response.status, response.headers, data


@contextlib.asynccontextmanager
async def client_of(head):
    async with aiohttp.ClientSession(
        auto_decompress=False, connector=aiohttp.TCPConnector(limit=64)
    ) as session:
        yield Client(session, head)


def settled(head, client):
    """Each request had exactly one final answer, and nothing of it is left in the head."""
    assert set(client.answers.values()) <= {1}
    assert not head.engine.waiting and not head.engine.attempts


# -- answers as nodes give them -----------------------------------------------------------------------------
def test_answers_pass_with_status_fields_and_bodies_of_any_size(tmp_path):
    async def story():
        nodes = two()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            status, fields, data = await client.ask(
                "GET", "/feed/x?y=%2F1", X_Client="c", Connection="x-gone", X_Gone="1"
            )
            assert (status, fields["Content-Type"], fields["ETag"]) == (200, "text/x-node", '"7"')
            asked = (nodes[0].asked + nodes[1].asked)[0]
            assert asked[1] == "/feed/x?y=%2F1" and asked[2]["Host"] == "scores.example"  # bytes unchanged
            assert (
                asked[2]["X-Client"] == "c"
                and "X-Gone" not in asked[2]
                and asked[2]["X-Forwarded-For"] == HOST
            )
            assert (await client.ask("GET", "/feed/missing"))[::2] == (404, b"nothing here")
            assert (await client.ask("GET", "/feed/same"))[0] == 304
            status, fields, _ = await client.ask("GET", "/feed/moved")
            assert (status, fields["Location"]) == (302, "/elsewhere") and "X-Hop" not in fields
            status, fields, data = await client.ask("GET", "/feed/large")
            assert (status, len(data), fields["Content-Type"]) == (
                200,
                3_000_000,
                "video/mp4",
            ) and "Srv-Load" not in fields
            status, fields, data = await client.ask("HEAD", "/feed/large")
            assert (status, data, fields["Content-Length"]) == (200, b"", "3000000")
            body = bytes(i % 251 for i in range(900_000))
            assert (await client.ask("PUT", "/feed/up", body, Content_Type="a/b"))[::2] == (200, body)
            assert [n.asked[-1][2]["Content-Type"] for n in nodes if n.asked and n.asked[-1][0] == "PUT"] == [
                "a/b"
            ]
            settled(head, client)

    run(story())


@pytest.mark.parametrize(
    ("method", "target", "fields", "status"),
    [
        ("GET", "/other", {}, 404),
        ("GET", "/feed/x", {"host": "elsewhere"}, 404),
        ("DELETE", "/feed/x", {}, 404),
        ("GET", "/archive/x", {"X_Client": "banned"}, 403),
        ("GET", "/feed/../app/x", {}, 400),
        ("GET", "/feed/%00", {}, 400),
        ("GET", "/feed/x", {"Cookie": "a=1;" * 70}, 431),
        ("GET", "/feed/" + "a" * 300, {}, 414),
        ("GET", "/feed/x", {"Upgrade": "websocket", "Connection": "upgrade"}, 501),
        ("PUT", "/feed/x", {"Idempotency_Key": "é"}, 400),
        ("GET", "/feed/x", {"Expect": "miracles"}, 417),
    ],
)
def test_what_no_rule_lets_through_never_reaches_a_node(tmp_path, method, target, fields, status):
    async def story():
        nodes = two()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            assert (await client.ask(method, target, **fields))[0] == status
            assert not nodes[0].asked and not nodes[1].asked
            settled(head, client)

    run(story())


def test_repeats_only_as_the_class_allows(tmp_path):
    async def story():
        reads, writes = two("reset"), two("reset")
        async with gateway(tmp_path, *reads) as head, client_of(head) as client:
            assert (await client.ask("GET", "/feed/x"))[0] == 200  # safe: sent again after a break
            assert sum(len(n.asked) for n in reads) == 2
        async with gateway(tmp_path, *writes) as head, client_of(head) as client:
            status, _, _ = await client.ask("PUT", "/feed/x", b"1")  # keyed: again, under the head's own key
            asked = [a for n in writes for a in n.asked]
            assert status == 200 and len({a[2]["Idempotency-Key"] for a in asked}) == 1 and len(asked) <= 2
            await client.ask("PUT", "/feed/x", b"2")
            assert (
                len({a[2]["Idempotency-Key"] for n in writes for a in n.asked}) == 2
            )  # another request, another key
            settled(head, client)

    run(story())


def test_a_client_that_leaves_and_a_head_that_drains(tmp_path):
    async def story():
        nodes = two()
        held = asyncio.Event()

        async def gate(request):
            await held.wait()

        nodes[0].gate = nodes[1].gate = gate
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            gone = asyncio.create_task(client.ask("GET", "/feed/x"))
            await until(lambda: head.engine.attempts)
            gone.cancel()
            await until(lambda: not head.engine.waiting and not head.engine.attempts)
            last = asyncio.create_task(client.ask("GET", "/feed/y"))
            await until(lambda: head.engine.attempts)
            head.drain.out_of_service()
            held.set()
            status, fields, _ = await last
            assert status == 200 and fields["Connection"] == "close"
            assert (await client.ask("GET", "/healthz"))[0] == 503
            client.answers.pop(0)
            settled(head, client)

    run(story())


# -- tables in service --------------------------------------------------------------------------------------
def tagged(tag, extra=""):
    """A team's rules whose reads say by which table they were decided: by their units."""
    return f"rules: [{extra}{READS[:-1]}, units: {tag}}}, {WRITES[:-1]}, units: {tag}}}]"


def test_three_teams_a_reload_in_service_and_no_limit_passed(tmp_path):
    """Every request gets one answer, by one table; `basic` is kept in rate and at once; a bad table changes nothing."""
    seed = 20261201
    print("seed", seed)

    async def story():
        nodes, drawn = two(), random.Random(seed)
        decisions = []
        async with gateway(tmp_path, *nodes, app=tagged(2)) as head, client_of(head) as client:
            matcher, serve = head.http_front.matcher, head.engine.serve

            class Noting:
                def decide(self, given, now, key=None):
                    made = matcher.decide(given, now, key)
                    decisions.append((matcher.table.epoch, given.path, made))
                    return made

            taken = []

            async def serving(request):
                taken.append(request)
                return await serve(request)

            head.http_front.matcher, head.engine.serve = Noting(), serving
            outcomes = Counter()
            done = False

            async def asking(team):
                while not done:
                    method = drawn.choice(["GET", "GET", "PUT"])
                    status, fields, _ = await client.ask(
                        method, f"/{team}/{drawn.randrange(50)}", b"x" if method == "PUT" else None
                    )
                    outcomes[team, status] += 1
                    if status == 503:
                        assert float(fields["Retry-After"]) >= 0
                        await asyncio.sleep(0.02)

            clients = [
                asyncio.create_task(asking(team))
                for team in ("feed", "app", "app", "archive")
                for _ in range(4)
            ]
            epochs = [matcher.table.epoch]
            for text, good in (
                (tagged(4), True),
                ("rules: [", False),
                (tagged(3, '{name: "x", when: "1"}, '), False),
                (tagged(1), True),
            ):
                await asyncio.sleep(0.25)
                write_rules(tmp_path, app=text)
                service = head.tables[0]
                service.reload()
                service.reload()  # right after: it is read once more, not beside itself
                await service.reloading
                assert (matcher.table.epoch != epochs[-1]) is good
                epochs.append(matcher.table.epoch)
            await asyncio.sleep(0.25)
            done = True
            await asyncio.gather(*clients)
            settled(head, client)
            # each request of the core is what one table made of it
            units = {epochs[0]: 2, epochs[1]: 4, epochs[4]: 1}
            for epoch, path, made in decisions:
                assert not path.startswith("/app/") or made.units == units[epoch]
            assert {epoch for epoch, _, _ in decisions} == set(units)
            assert Counter((r.volume, r.units) for r in taken) == Counter(
                (d.volume, d.units) for _, _, d in decisions
            )
            assert {r.volume for r in taken} == {FEED, APP, ARCHIVE}
            assert outcomes["app", 200] and outcomes["app", 503]  # the limit was reached
            # what came to the nodes for `basic`, in any stretch of time
            by_id = {r.id: r for r in taken}
            plan = SETTINGS["Contracts"][0]
            for volume in (APP, ARCHIVE):
                sent = sorted(
                    (a[4], by_id[a[2]["Req-Id"]].units)
                    for n in nodes
                    for a in n.asked
                    if by_id[a[2]["Req-Id"]].volume == volume
                )
                seen, first = set(), []
                for (at, units_of), name in zip(
                    sent,
                    [
                        a[2]["Req-Id"]
                        for n in nodes
                        for a in n.asked
                        if by_id[a[2]["Req-Id"]].volume == volume
                    ],
                    strict=True,
                ):
                    if name not in seen:
                        first.append((at, units_of))
                    seen.add(name)
                level, last = plan["Burst"], first[0][0] if first else 0
                for at, amount in sorted(first):
                    level = min(plan["Burst"], level + (at - last) * plan["Limit"]) - amount
                    last = at
                    assert level >= -plan["Tolerance"] - 0.15 * plan["Limit"]

    run(story())


def test_ten_thousand_rules_reloaded_beside_requests(tmp_path):
    """A large table is made beside the requests: they are answered meanwhile, by the old one."""

    def large(change):
        rules = ", ".join(
            f'{{name: "r{i}", when: #"request.method == "GET" && request.path == "/feed/{i}{change}""#, '
            'class: "score-read"}'
            for i in range(10_000)
        )
        return f"rules: [{rules}]"

    async def story():
        nodes = two()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            service, epoch = head.tables[0], head.tables[0].matcher.table.epoch
            write_rules(
                tmp_path, feed=large("").replace('"/feed/9999"', '"/app/9999"')
            )  # the last one is bad
            service.reload()
            answered = 0
            while not service.reloading.done():
                assert (await client.ask("GET", "/feed/1"))[0] == 200
                answered += 1
            assert answered > 20 and service.matcher.table.epoch == epoch
            write_rules(tmp_path, feed=large(""))
            service.reload()
            await service.reloading
            assert service.matcher.table.size == 10_005
            assert (await client.ask("GET", "/feed/9999"))[0] == 200 and (await client.ask("GET", "/feed/x"))[
                0
            ] == 404
            settled(head, client)

    run(story(), 90)


def test_a_head_that_is_asked_to_stop_does_not_wait_for_a_table(tmp_path):
    held = threading.Event()

    async def story():
        async with gateway(tmp_path, *two()) as head:
            service, load = head.tables[0], head.tables[0].load
            service.load = lambda: held.wait() and load()
            service.reload()
            await asyncio.sleep(0)
        assert service.reloading.done() and not held.is_set()

    run(story())  # an executor's thread would hold up the end of the loop
    held.set()


def test_a_repeat_across_a_reload_goes_where_the_first_went(tmp_path):
    async def story():
        nodes = two()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            assert (await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k1"))[0] == 200
            first = next(n for n in nodes if n.asked)
            other = 1 - first.shard
            write_rules(tmp_path, feed=f"rules: [{WRITES[:-1]}, shard: {other}}}]")
            head.tables[0].reload()
            await head.tables[0].reloading
            await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k1")
            assert len(first.asked) == 2 and first.asked[1][2]["Idempotency-Key"] == "k1"
            await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k2")
            assert len(nodes[other].asked) == 1
            assert (await client.ask("PUT", "/feed/x?v=2", b"1", Idempotency_Key="k1"))[0] == 422

    run(story())


def test_shadow_and_recorded_requests(tmp_path):
    async def story():
        settings = (
            'listen: "127.0.0.1:0"\nrules: "rules.cue"\nshadow: "next.cue"\n'
            'record: {file: "heads.jsonl", one_in: 1, most_bytes: 4096, mask: ["x-secret"]}\n'
        )
        (tmp_path / "next.cue").write_text(
            f'scopes: feed: {{hosts: ["*"], paths: ["/feed/"], classes: ["event-write"], plans: ["premium"], '
            f'volumes: ["{FEED}"], rules: [{WRITES}]}}\notherwise: reason: "not yet"\n'
        )
        async with gateway(tmp_path, *two(), settings=settings) as head, client_of(head) as client:
            for i in range(30):
                await client.ask("GET", f"/feed/{i}", X_Secret="s3cret")
            await client.ask("PUT", "/feed/x", b"1")
            matcher = head.http_front.matcher
            assert matcher.differences == {("feed/reads", "feed/-"): 30} and matcher.shadowed == 31
            head.recorder.write()
            head.recorder.most = 2048
            head.recorder.sampler.take(
                matcher_input := next(iter(read_samples([first_line(tmp_path)])))[1], "/feed/0", ()
            )
            assert matcher_input.path == "/feed/0" and matcher_input.headers["x-secret"] == "***"
            for i in range(60):
                await client.ask("GET", f"/feed/{i}")
                head.recorder.write()
            sizes = [p.stat().st_size for p in (tmp_path / "heads.jsonl", tmp_path / "heads.jsonl.1")]
            assert max(sizes) <= 8192 and "s3cret" not in (tmp_path / "heads.jsonl.1").read_text()

    run(story())


def first_line(folder):
    return (folder / "heads.jsonl").read_text().splitlines()[0]


@pytest.mark.parametrize(
    ("settings", "what"),
    [
        ('listen: "x"\nrules: "rules.cue"', 'http.cue:1: listen: found "x"'),
        ('listen = "127.0.0.1:0"', "this is TOML"),
        ('listen: "127.0.0.1:0"', "rules: is missing"),
        ('listen: "127.0.0.1:0"\nrules: "none.cue"', "none.cue:1: cannot be read"),
    ],
)
def test_a_head_does_not_start_with_settings_that_are_wrong(tmp_path, settings, what):
    async def story():
        async with gateway(tmp_path, settings=settings):
            pass

    with pytest.raises(ConfigError) as refusal:
        run(story())
    assert what in str(refusal.value)


def test_recorded_heads_hold_what_service_read(tmp_path):
    line = json.dumps({"method": "GET", "target": "/a?x=%ff", "fields": []})
    (_, first), (_, second) = read_samples([line, "{"])
    assert getattr(first, "status", 0) == 400 and isinstance(second, ValueError)
