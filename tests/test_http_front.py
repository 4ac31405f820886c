"""The HTTP front end to end: clients over loopback, a head and scripted nodes."""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.config import ConfigError
from tests.http_client import check_settled, client_of, gateway, two_nodes
from tests.peers import HOST, run, until


def test_answers_pass_with_status_fields_and_bodies_of_any_size(tmp_path):
    async def scenario():
        nodes = two_nodes()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            status, fields, data = await client.ask(
                "GET", "/feed/x?y=%2F1", X_Client="c", Connection="x-gone", X_Gone="1"
            )
            assert (status, fields["Content-Type"], fields["ETag"]) == (200, "text/x-node", '"7"')
            _, target, sent_fields, *_ = (nodes[0].asked + nodes[1].asked)[0]
            assert target == "/feed/x?y=%2F1" and sent_fields["Host"] == "scores.example"  # bytes unchanged
            assert sent_fields["X-Client"] == "c" and "X-Gone" not in sent_fields
            assert sent_fields["X-Forwarded-For"] == HOST
            assert (await client.ask("GET", "/feed/missing"))[::2] == (404, b"nothing here")
            assert (await client.ask("GET", "/feed/same"))[0] == 304
            status, fields, _ = await client.ask("GET", "/feed/moved")
            assert (status, fields["Location"]) == (302, "/elsewhere") and "X-Hop" not in fields
            status, fields, data = await client.ask("GET", "/feed/large")
            assert (status, len(data), fields["Content-Type"]) == (200, 3_000_000, "video/mp4")
            assert "Srv-Load" not in fields
            status, fields, data = await client.ask("HEAD", "/feed/large")
            assert (status, data, fields["Content-Length"]) == (200, b"", "3000000")
            body = bytes(i % 251 for i in range(900_000))
            assert (await client.ask("PUT", "/feed/up", body, Content_Type="a/b"))[::2] == (200, body)
            last_requests = [node.asked[-1] for node in nodes if node.asked]
            puts = [request for request in last_requests if request[0] == "PUT"]
            assert [request[2]["Content-Type"] for request in puts] == ["a/b"]
            check_settled(head, client)

    run(scenario())


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
    async def scenario():
        nodes = two_nodes()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            assert (await client.ask(method, target, **fields))[0] == status
            assert not nodes[0].asked and not nodes[1].asked
            check_settled(head, client)

    run(scenario())


def test_repeats_only_as_the_class_allows(tmp_path):
    async def scenario():
        reads, writes = two_nodes("reset"), two_nodes("reset")
        async with gateway(tmp_path, *reads) as head, client_of(head) as client:
            assert (await client.ask("GET", "/feed/x"))[0] == 200  # safe: sent again after a reset
            assert sum(len(node.asked) for node in reads) == 2
        async with gateway(tmp_path, *writes) as head, client_of(head) as client:
            # idempotent, under a key that the head makes
            status, _, _ = await client.ask("PUT", "/feed/x", b"1")
            requests = [request for node in writes for request in node.asked]
            assert status == 200 and len(requests) <= 2
            assert len({request[2]["Idempotency-Key"] for request in requests}) == 1
            await client.ask("PUT", "/feed/x", b"2")
            requests = [request for node in writes for request in node.asked]
            assert len({request[2]["Idempotency-Key"] for request in requests}) == 2  # one key per request
            check_settled(head, client)

    run(scenario())


def test_a_client_that_leaves_and_a_head_that_drains(tmp_path):
    async def scenario():
        nodes = two_nodes()
        released = asyncio.Event()

        async def gate(request):
            await released.wait()

        nodes[0].gate = nodes[1].gate = gate
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            abandoned = asyncio.create_task(client.ask("GET", "/feed/x"))
            await until(lambda: head.engine.attempts)
            abandoned.cancel()
            await until(lambda: not head.engine.waiters and not head.engine.attempts)
            last = asyncio.create_task(client.ask("GET", "/feed/y"))
            await until(lambda: head.engine.attempts)
            head.drain.out_of_service()
            released.set()
            status, fields, _ = await last
            assert status == 200 and fields["Connection"] == "close"
            assert (await client.ask("GET", "/healthz"))[0] == 503
            client.answers.pop(0)
            check_settled(head, client)

    run(scenario())


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
    async def scenario():
        async with gateway(tmp_path, settings=settings):
            pass

    with pytest.raises(ConfigError) as refusal:
        run(scenario())
    assert what in str(refusal.value)
