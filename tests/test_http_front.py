"""The HTTP front, whole paths: clients over loopback, a head, and scripted nodes."""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.config import ConfigError
from tests.http_client import client_of, gateway, settled, two
from tests.peers import HOST, run, until


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
            await until(lambda: not head.engine.waiters and not head.engine.attempts)
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
