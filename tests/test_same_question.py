"""Stories of requests that ask a node for the same, or nearly, over the only connection to it.

What happened: the right answer to the later one equals that to the earlier one, was taken for it written a
second time, and dropped; the later request ended as one that may have run. The span that is guarded is
stretched, so that a loop that is late does not count.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import replace
from datetime import timedelta

from stoatrouter.net import reuse_delays
from stoatrouter.net.answer_identity import MIN_DISTINCT_IN_A_ROW, RequestKind
from stoatrouter.net.nodes import NodeClient
from stoatrouter.net.request_digest import contains_request_id
from stoatrouter.policy.interface import Outcome
from tests.peers import HOST, run
from tests.platform_client import attempt

GUARDED = timedelta(seconds=1)
WITH_NEXT = -1.0  # in the moment in which the next request has come whole
LATE = (None, WITH_NEXT, 0.0, 0.1, 0.4, 0.8)  # of what is guarded; None: nothing is written twice
FIELDS = (b"range", b"authorization")
Ask = tuple[str, str, bytes, tuple[tuple[str, str], ...]]


class ContentNode:
    """A node that answers with what its targets hold; with `late` the first request for /new twice."""

    def __init__(self, late: float | None = None) -> None:
        self.late = None if late is None else late * GUARDED.total_seconds()
        self.connections, self.served, self.ran = 0, Counter[bytes](), set[bytes]()
        self.again: tuple[float, bytes] | None = None

    def answer_to(self, target: bytes, fields: dict[bytes, bytes]) -> bytes:
        parts = [b"content of", target, *(fields[name] for name in FIELDS if name in fields)]
        parts += [b"%d" % self.served[target]] if b"changing" in target else []
        body = b" ".join(parts if b"whole" not in target else parts[:2])
        status = b"206 Partial" if b"part" in target else b"200 OK"
        return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        loop, due = asyncio.get_running_loop(), 0.8 * GUARDED.total_seconds()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                line, *lines = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
                fields = {name.lower(): value for name, _, value in (each.partition(b": ") for each in lines)}
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                if self.again is not None and loop.time() < self.again[0] + due:
                    writer.write(self.again[1])
                self.again = None
                await asyncio.sleep(0.005)
                target = line.split(b" ")[1]
                answer = self.answer_to(target, fields)
                self.ran.add(fields[b"req-id"])
                self.served[target] += 1
                writer.write(answer)
                if self.late is not None and target.startswith(b"/new") and self.served[target] == 1:
                    if self.late < 0:
                        self.again = loop.time(), answer
                    else:
                        loop.call_later(self.late, writer.write, answer)
        writer.close()


@contextlib.asynccontextmanager
async def client_of(node: ContentNode) -> AsyncIterator[tuple[NodeClient, str]]:
    server = await asyncio.start_server(node.serve, HOST, 0)
    host, port = server.sockets[0].getsockname()
    nodes = NodeClient(timedelta(seconds=5), timedelta(hours=1), 1)
    async with server:
        yield nodes, f"{host}:{port}"
        await nodes.close()


def read(target: str, *fields: tuple[str, str]) -> Ask:
    return "GET", target, b"", fields


async def ask(nodes: NodeClient, address: str, name: str, what: Ask) -> bytes:
    method, target, body, fields = what
    effect = attempt(address, method, body, target, timedelta(seconds=50))
    request = replace(effect.request, id=name, fields=fields, pass_through=True)
    reply = await nodes.attempt(replace(effect, request=request))
    assert reply.outcome is Outcome.OK, (name, what, reply)
    return reply.body


def test_two_reads_of_one_object_get_its_content():
    """Guards a right answer: the second one was dropped, 3 of 3."""

    async def story():
        async with client_of(ContentNode()) as (nodes, address):
            targets = [f"/read/{number}" for number in range(2 * MIN_DISTINCT_IN_A_ROW)]
            for number, target in enumerate((*targets, "/new", "/new")):
                body = await ask(nodes, address, f"{number}", read(target))
                assert body == b"content of " + target.encode()

    run(story())


OTHER = [read("/other")]
ALICE, BOB = (read("/new", ("Authorization", name)) for name in ("alice", "bob"))
FIRST, LAST = ("Range", "bytes=0-3"), ("Range", "bytes=4-7")
# Waves: the requests of one are sent at once, the next wave once all are answered.
PLAYS: dict[str, list[list[Ask]]] = {
    "at once": [[read("/new")] * 6, OTHER],
    "after one another": [[read("/new")]] * 4 + [OTHER],
    "then something else": [[read("/new")], OTHER, OTHER],
    "changing": [[read("/new-changing")], [read("/new-changing")], OTHER, OTHER],
    "ranges": [[read("/new-part", FIRST)], [read("/new-part", LAST)], OTHER],
    "ranges that the node ignores": [[read("/new-whole", FIRST)], [read("/new-whole", LAST)], OTHER],
    "of two users": [[ALICE], [BOB], OTHER],
    "writes alike": [[("PUT", "/new", b"data", ())]] * 3 + [OTHER],
    "posts alike": [[("POST", "/new", b"data", ())] * 2, OTHER],
    "writes of one object": [[("PUT", "/new", b"data", ())], [("PUT", "/new", b"more", ())], OTHER],
    "written and read": [[("PUT", "/new", b"data", ())], [read("/new")], OTHER],
    "read and written": [[read("/new")], [("PUT", "/new", b"data", ())], OTHER],
}


async def play(story: str, late: float | None) -> None:
    """Play a story: each request gets what it asked for, and no right answer is dropped."""
    node = ContentNode(late)
    async with client_of(node) as (nodes, address):
        for number in range(MIN_DISTINCT_IN_A_ROW):
            nodes.pool.fingerprints.record(number, RequestKind.READ)
            nodes.pool.fingerprints.record(-1 - number, RequestKind.WRITE)

        async def ask_and_check(name: str, what: Ask) -> None:
            body = await ask(nodes, address, name, what)
            method, target, _, fields = what
            assert body.startswith(b"content of " + target.encode()), (story, name, late, body)
            assert "whole" in target or all(value.encode() in body for _, value in fields), (story, late)
            assert method == "GET" or name.encode() in node.ran, (story, late, "it is not stored")

        for number, wave in enumerate(PLAYS[story]):
            asking = (ask_and_check(f"{number}-{each}", what) for each, what in enumerate(wave))
            await asyncio.gather(*asking)
        counters = nodes.pool.counters
        assert counters.repetitions_without_another == 0, (story, late, "a right answer was dropped")
        assert late is not None or (node.connections, counters.repetitions_dropped) == (1, 0), story


def test_requests_for_the_same_get_their_own_or_the_same_content(monkeypatch):
    """Guards against another's answer, and against a right one dropped, where a node answers twice or not."""
    monkeypatch.setattr(reuse_delays, "REUSE_DELAY", GUARDED)
    monkeypatch.setattr(reuse_delays, "SUSPECT_REUSE_DELAY", 2 * GUARDED)

    async def stories():
        results = await asyncio.gather(
            *(play(story, late) for story in PLAYS for late in LATE), return_exceptions=True
        )
        assert [repr(result) for result in results if result is not None] == []

    run(stories(), 60.0)


def test_an_id_that_stands_in_an_answer_by_accident_names_no_request():
    """Guards right answers: one that seems to name another request is dropped."""
    long = b"9b1f03aa5c7e2d41"
    assert contains_request_id(b"stored for " + long, long) and contains_request_id(
        b"10001 is stored", b"10001"
    )
    assert not contains_request_id(b"price 10001", b"10001") and not contains_request_id(b"77 pieces", b"77")
