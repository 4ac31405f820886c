"""End-to-end tests of the object API: a client over loopback, a head, and scripted storage nodes."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from datetime import timedelta

import aiohttp
import pytest

from stoatrouter.core import model
from stoatrouter.fronts.objects import ranges, transfer
from stoatrouter.fronts.objects.errors import ObjectError
from stoatrouter.fronts.objects.extents import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    BadPiece,
    Ref,
    find_overlaps,
    frame,
    unframe,
)
from stoatrouter.fronts.objects.tokens import Part, Tokens
from stoatrouter.head import Head
from tests.object_client import (
    BODY,
    SECRET,
    Client,
    check_settled,
    error_code,
    gateway,
    object_settings,
    two_nodes,
)
from tests.peers import HOST, Node, head_config, piece, run


# -- whole objects and ranges ----------------------------------------------------------------------------
def test_an_object_is_written_and_read_back():
    async def scenario():
        nodes = two_nodes()
        async with gateway(*nodes) as client:
            status, headers, _ = await client.call(
                "PUT",
                "/footage/derby%20night/a%2Fb.mp4",
                BODY,
                **{"Content-Type": "video/mp4", "x-amz-meta-camera": "4"},
            )
            assert status == 200 and headers["ETag"] == f'"{hashlib.md5(BODY).hexdigest()}"'
            status, headers, data = await client.call("GET", "/footage/derby%20night/a/b.mp4")
            assert (status, data) == (200, BODY)
            assert headers["Content-Type"] == "video/mp4" and headers["x-amz-meta-camera"] == "4"
            status, headers, data = await client.call("HEAD", "/footage/derby%20night/a/b.mp4")
            assert (status, data, headers["Content-Length"]) == (200, b"", str(len(BODY)))
            check_settled(client)
            requests = [request for node in nodes for request in node.requests]
            assert max(Counter(request.headers["Req-Id"] for request in requests).values()) == 1
            assert all(r.headers.get("Idempotency-Key") for r in requests if r.method == "PUT")

    run(scenario())


@pytest.mark.parametrize(
    ("requested", "status", "start", "stop"),
    [
        ("bytes=0-99", 206, 0, 100),
        # across the boundary of two pieces
        (
            f"bytes={MAX_PAYLOAD_BYTES - 5}-{MAX_PAYLOAD_BYTES + 4}",
            206,
            MAX_PAYLOAD_BYTES - 5,
            MAX_PAYLOAD_BYTES + 5,
        ),
        (f"bytes={len(BODY) - 10}-", 206, len(BODY) - 10, len(BODY)),
        ("bytes=-7", 206, len(BODY) - 7, len(BODY)),
        (f"bytes=5-{10**12}", 206, 5, len(BODY)),
        (f"bytes={len(BODY)}-", 416, 0, 0),
        ("bytes=-0", 416, 0, 0),
        ("bytes=9-3", 200, 0, len(BODY)),
        ("bytes=0-1,4-5", 200, 0, len(BODY)),
        ("lines=1-2", 200, 0, len(BODY)),
    ],
)
def test_ranges(requested, status, start, stop):
    async def scenario():
        async with gateway(*two_nodes()) as client:
            await client.call("PUT", "/footage/o", BODY)
            answer_status, headers, data = await client.call("GET", "/footage/o", Range=requested)
            assert answer_status == status
            if status == 416:
                assert error_code(data) == "InvalidRange"
                assert headers["Content-Range"] == f"bytes */{len(BODY)}"
            else:
                assert data == BODY[start:stop]
            if status == 206:
                assert headers["Content-Range"] == f"bytes {start}-{stop - 1}/{len(BODY)}"
            check_settled(client)

    run(scenario())


@pytest.mark.parametrize(
    ("headers", "whole"),
    [
        ({"If-Range": '"{etag}"'}, False),
        ({"If-Range": '"other"'}, True),
        ({"If-Range": 'W/"{etag}"'}, True),
        ({"If-Range": "{date}"}, False),
        ({"If-Range": "Thu, 01 Jan 1970 00:00:00 GMT"}, True),
        ({"If-Range": "nonsense"}, True),
    ],
)
def test_if_range_joins_only_what_belongs_together(headers, whole):
    date = ranges.format_date(1_700_000_000)
    filled = {name: value.format(etag="e1", date=date) for name, value in headers.items()}
    found = ranges.read_range({"Range": "bytes=2-4", **filled}, "e1", 1_700_000_000, 10)
    assert found == (None if whole else (2, 5))


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        ({}, True),
        ({"If-None-Match": '"e1"'}, False),
        ({"If-None-Match": '"x", W/"e1"'}, False),
        ({"If-Match": '"x"'}, ObjectError),
        ({"If-Match": "*"}, True),
        ({"If-Modified-Since": ranges.format_date(1_700_000_000)}, False),
        ({"If-Unmodified-Since": ranges.format_date(1_600_000_000)}, ObjectError),
    ],
)
def test_preconditions(headers, outcome):
    if outcome is ObjectError:
        with pytest.raises(ObjectError, match="PreconditionFailed"):
            ranges.check_preconditions(headers, "e1", 1_700_000_000)
    else:
        assert ranges.check_preconditions(headers, "e1", 1_700_000_000) is outcome


def test_a_ranged_read_cut_halfway_is_seen_and_resent():
    async def scenario():
        a, b = two_nodes()
        async with gateway(a, b) as client:
            await client.call("PUT", "/footage/o", BODY)
            wanted = f"bytes=10-{len(BODY) - 20}"
            # the last piece is the only one of its size; its node resets each time, after the others came
            last = {
                target.split("/", 2)[2]
                for n in (a, b)
                for _, target, _, size in n.seen
                if size == len(BODY) % MAX_PAYLOAD_BYTES + HEADER_BYTES
            }
            assert len(last) == 1

            async def break_last(request):
                if piece(request) in last:
                    request.transport.abort()
                    await asyncio.sleep(0)

            a.gate = b.gate = break_last
            with pytest.raises(aiohttp.ClientPayloadError):
                await client.call("GET", "/footage/o", Range=wanted)
            unanswered = [name for name, count in client.answers.items() if not count]
            assert len(unanswered) == 1  # without a final answer: the client sees that its data is incomplete
            del client.answers[unanswered[0]]
            a.gate = b.gate = None
            status, _, data = await client.call("GET", "/footage/o", Range=wanted)
            assert (status, data) == (206, BODY[10 : len(BODY) - 19])
            check_settled(client)

    run(scenario())


def test_a_client_that_goes_halfway_leaves_nothing_behind():
    async def scenario():
        a, b = two_nodes()
        async with gateway(a, b) as client:
            await client.call("PUT", "/footage/o", BODY)
            reached = asyncio.Event()
            never = asyncio.Event()

            async def stall(request):
                reached.set()
                await never.wait()

            a.gate = b.gate = stall
            call = asyncio.create_task(client.call("GET", "/footage/o"))
            await reached.wait()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            while client.head.engine.waiters or client.head.engine.attempts:
                await asyncio.sleep(0.005)
            assert client.head.engine.reducer.open == 0
            never.set()

    run(scenario())


def test_a_client_that_waits_to_be_asked_for_its_body_is_asked():
    async def scenario():
        async with gateway(*two_nodes()) as client:
            reader, writer = await asyncio.open_connection(HOST, client.head.objects.port)
            writer.write(
                b"PUT /footage/o HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
            )
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            writer.write(b"body")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            writer.close()
            assert (await client.call("GET", "/footage/o"))[2] == b"body"

    run(scenario())


def test_a_body_that_stalls_ends_its_operation(monkeypatch):
    monkeypatch.setattr(transfer, "STALL_TIMEOUT", timedelta(milliseconds=50))

    async def scenario():
        async with gateway(*two_nodes()) as client:
            reader, writer = await asyncio.open_connection(HOST, client.head.objects.port)
            writer.write(b"PUT /footage/o HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
            writer.close()
            assert client.head.object_front.operations == 0
            assert (await client.call("GET", "/footage/o"))[0] == 404

    run(scenario())


# -- refusals, limits, what is not served ----------------------------------------------------------------
def test_a_basic_volume_stays_within_its_limit_and_is_told_when_to_come_back():
    async def scenario():
        nodes = two_nodes()
        async with gateway(*nodes) as client:
            answers = await asyncio.gather(
                *(client.call("PUT", f"/exports/o{i}", b"x" * (2 * MAX_PAYLOAD_BYTES)) for i in range(8))
            )
            slow = [(headers, data) for status, headers, data in answers if status == 503]
            assert slow and {status for status, _, _ in answers} <= {200, 503}
            assert all(error_code(d) == "SlowDown" and int(h["Retry-After"]) >= 1 for h, d in slow)
            check_settled(client)
            # units as the front counts them; the token bucket starts full and refills at the limit's rate
            sent = sorted((at, max(1, -(-8 * size // 65536))) for n in nodes for _, _, at, size in n.seen)
            spent = 0
            began = sent[0][0]
            for at, units in sent:
                spent += units
                assert spent <= 48 + 8 + 19 * (at - began + 0.15)

    run(scenario())


def test_what_the_core_refuses_is_told_at_once_and_not_asked_again():
    async def scenario():
        conf = head_config()
        head = Head(conf, object_settings(conf))
        requested = []

        async def refuse(request):
            requested.append(request)
            return model.Refused(timedelta(milliseconds=400))

        await head.start()
        head.object_front.serve = refuse
        async with aiohttp.ClientSession() as session:
            client = Client(session, head.objects.port, head)
            status, headers, data = await client.call("GET", "/footage/o")
            assert (status, error_code(data), headers["Retry-After"]) == (503, "SlowDown", "1")
            assert len(requested) == 1
        await head.stop()

    run(scenario())


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "code"),
    [
        ("GET", "/footage/none", {}, 404, "NoSuchKey"),
        ("GET", "/nowhere/o", {}, 404, "NoSuchBucket"),
        ("GET", "/footage", {}, 501, "NotImplemented"),
        ("GET", "/footage/?list-type=2", {}, 501, "NotImplemented"),
        ("DELETE", "/footage/o", {}, 501, "NotImplemented"),
        ("GET", "/footage/o?acl", {}, 501, "NotImplemented"),
        ("PUT", "/footage/o", {"x-amz-copy-source": "/footage/p"}, 501, "NotImplemented"),
        ("PUT", "/footage/o", {"If-None-Match": "*"}, 501, "NotImplemented"),
        (
            "PUT",
            "/footage/o",
            {"x-amz-content-sha256": "STREAMING-AWS4-HMAC-SHA256-MAX_PAYLOAD_BYTES"},
            501,
            "NotImplemented",
        ),
        ("PUT", "/footage/o", {"Content-MD5": "AAAAAAAAAAAAAAAAAAAAAA=="}, 400, "BadDigest"),
        ("PUT", "/footage/o", {"Content-MD5": "?"}, 400, "InvalidDigest"),
        ("PUT", "/footage/o?partNumber=0&uploadId=x", {}, 400, "InvalidArgument"),
        ("PUT", "/footage/" + "k" * 1025, {}, 400, "KeyTooLongError"),
        ("PUT", "/footage/%ff", {}, 400, "InvalidArgument"),
        ("POST", "/footage/o?uploadId=x", {}, 404, "NoSuchUpload"),
    ],
)
def test_errors_are_worded_as_the_protocol_words_them(method, path, headers, status, code):
    async def scenario():
        async with gateway(*two_nodes()) as client:
            body = b"body" if method == "PUT" else None
            answer_status, _, data = await client.call(method, path, body, **headers)
            assert (answer_status, error_code(data)) == (status, code)
            check_settled(client)

    run(scenario())


def test_a_write_that_may_have_run_is_sent_again_only_to_its_own_shard():
    async def scenario():
        a = Node("a", 0, "reset")
        b = Node("b", 1, "reset")
        async with gateway(a, b) as client:
            assert (await client.call("PUT", "/footage/o", b"x"))[0] == 200
            for node in (a, b):
                other_node = b if node is a else a
                targets = {request.raw_path for request in node.requests}
                assert not targets & {request.raw_path for request in other_node.requests}
            assert (await client.call("GET", "/footage/o"))[2] == b"x"
            check_settled(client)

    run(scenario())


# -- components, without sockets -------------------------------------------------------------------------
def test_pieces_know_when_they_are_not_themselves():
    assert unframe("a" * 16, frame("a" * 16, b"data")) == b"data"
    assert unframe("a" * 16, b"") is None
    for wrong in (frame("b" * 16, b"data"), frame("a" * 16, b"data")[:-1], b"nonsense"):
        with pytest.raises(BadPiece):
            unframe("a" * 16, wrong)


def test_references_are_found_by_range():
    refs = [Ref(f"{i:016x}", 0, 10) for i in range(3)]
    assert find_overlaps(refs, 5, 21) == [(refs[0], 5, 10), (refs[1], 0, 10), (refs[2], 0, 1)]
    assert find_overlaps(refs, 7, 7) == []


def test_etags_of_parts_are_authenticated():
    tokens = Tokens(SECRET)
    other = Tokens(SECRET[::-1])
    upload = tokens.issue_upload_id("bucket", "key")
    part = Part(3, b"m" * 16, Ref("ab" * 8, 5, 1 << 33, 2))
    etag = tokens.issue_part_etag(upload, part)
    assert tokens.read_part(upload, etag) == part
    assert tokens.read_part(tokens.issue_upload_id("bucket", "key"), etag) is None
    assert other.read_part(upload, etag) is None
    changed = ("B" if etag[0] == "A" else "A") + etag[1:]
    assert tokens.read_part(upload, changed) is None and tokens.read_part(upload, "") is None
    assert tokens.is_upload_id("bucket", "key", upload) and not tokens.is_upload_id("bucke", "tkey", upload)
