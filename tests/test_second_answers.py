"""Tests of nodes that answer a request twice while a later one waits on the same connection.

They guard against giving the later request's client the answer of the earlier one, and its own answer to the
next request. The node writes the second answer once it has the later request complete, before that one's own
answer. The head's clock is advanced by the delay of the repetition, and the reuse delay is stretched so that
real time does not count. Bodies name the requests that they answer.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from datetime import timedelta

import pytest

from stoatrouter.net import answer_identity, reuse_delays
from stoatrouter.net.answer_identity import (
    MAX_RECENT_ANSWERS,
    MIN_DISTINCT_IN_A_ROW,
    PREFIX_BYTES,
    AnswerFingerprints,
    AnswerInspection,
    RecentAnswers,
    RequestKind,
)
from stoatrouter.net.nodes import NodeClient
from stoatrouter.policy.interface import Outcome
from tests.peers import HOST, run, until
from tests.platform_client import attempt

REUSE_DELAY = timedelta(seconds=100)
KEEPALIVE = timedelta(hours=1)
TIMEOUT = 300.0  # seconds of the clock that is advanced
DELAYS = (0.0, 0.02, 0.1, 0.2, 0.4, 0.98)  # parts of the reuse delay: 0 to 49 ms of the real one
METHODS = (("GET", b""), ("PUT", b"data"))
LARGE = 3 * PREFIX_BYTES  # bytes
STORED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored"
DECLINED = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"


def ok_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class RepeatingNode:
    """A node that repeats its answer to the request `repeated` when `between + 1` more have come."""

    def __init__(self, repeated: bytes = b"", between: int = 0, size: int = 0, answer: bytes = b"") -> None:
        self.repeated = repeated
        self.between = between
        self.size = size  # bytes that bodies are padded to
        self.answer = answer  # to the repeated request; an answer that names it if empty
        self.since_repeated = -1  # requests after the repeated one
        self.connections = 0
        self.pause = 0.0  # seconds between the second answer and the one after it
        self.repeat_writer: asyncio.StreamWriter | None = None

    def answer_to(self, name: bytes) -> bytes:
        if self.answer and name == self.repeated:
            return self.answer
        return ok_response(name.ljust(self.size, b"."))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: " in head:
                    await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
                name = head.split(b"Req-Id: ")[1].split(b"\r\n")[0]
                if self.since_repeated == self.between and self.repeat_writer is not None:
                    self.repeat_writer.write(self.answer_to(self.repeated))
                    await asyncio.sleep(self.pause)
                if name == self.repeated:
                    self.repeat_writer = writer
                if self.repeat_writer is not None:
                    self.since_repeated += 1
                writer.write(self.answer_to(name))
        writer.close()


class NodeCaller:
    """Sends requests of one method to one node; each answer has to belong to its request."""

    def __init__(self, nodes: NodeClient, address: str, method: str, body: bytes) -> None:
        self.nodes = nodes
        self.effect = attempt(address, method, body, timeout=timedelta(seconds=20))

    async def call(self, name: str) -> bytes:
        request = replace(self.effect.request, id=name)
        reply = await self.nodes.attempt(replace(self.effect, request=request))
        assert reply.outcome is Outcome.OK, (name, reply)
        return reply.body.rstrip(b".")

    def record_distinct_answers(self) -> None:
        """Record enough distinct answers that the head treats answers as distinctive."""
        for number in range(MIN_DISTINCT_IN_A_ROW):
            self.nodes.pool.fingerprints.record(number, RequestKind.READ)
            self.nodes.pool.fingerprints.record(-1 - number, RequestKind.WRITE)


@contextlib.asynccontextmanager
async def caller_of(node: RepeatingNode, method: str = "GET", body: bytes = b"") -> AsyncIterator[NodeCaller]:
    server = await asyncio.start_server(node.serve, HOST, 0)
    host, port = server.sockets[0].getsockname()
    nodes = NodeClient(timedelta(seconds=5), KEEPALIVE, 16)
    async with server:
        yield NodeCaller(nodes, f"{host}:{port}", method, body)
        await nodes.close()


def advance_clock(monkeypatch, delay: float) -> None:
    loop = asyncio.get_running_loop()
    real_time = loop.time
    monkeypatch.setattr(loop, "time", lambda: real_time() + delay * REUSE_DELAY.total_seconds())


@pytest.fixture(autouse=True)
def long_reuse_delay(monkeypatch):
    monkeypatch.setattr(reuse_delays, "REUSE_DELAY", REUSE_DELAY)


async def check_repetition_is_dropped(
    monkeypatch, delay: float, known: bool, node: RepeatingNode, method: str = "GET", body: bytes = b""
) -> int:
    """Check that each request gets its own answer; return how many repetitions were dropped."""
    between = node.between
    async with caller_of(node, method, body) as caller:
        if known:
            caller.record_distinct_answers()
        assert await caller.call("first") == b"first"
        for number in range(between):
            assert await caller.call(f"between{number}") == b"between%d" % number
        advance_clock(monkeypatch, delay)
        for number in range(4):
            assert await caller.call(f"later{number}") == b"later%d" % number
        return caller.nodes.pool.counters.repetitions_dropped


@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize(("method", "body"), METHODS)
@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("between", [0, 3])
def test_an_answer_that_comes_again_is_nobodys(monkeypatch, delay, method, body, known, between):
    """Guards callers against others' data, whether answers are known to be distinctive or not."""
    node = RepeatingNode(b"first", between)
    dropped = run(check_repetition_is_dropped(monkeypatch, delay, known, node, method, body), TIMEOUT)
    assert dropped == known, "where answers are distinctive the connection is reused at once"


@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("pause", [0.0, 0.01])
def test_a_large_answer_that_comes_again_is_nobodys(monkeypatch, delay, pause):
    node = RepeatingNode(b"first", between=1, size=LARGE)
    node.pause = pause
    assert run(check_repetition_is_dropped(monkeypatch, delay, True, node), TIMEOUT) == 1


@pytest.mark.parametrize("first", [STORED, DECLINED])
@pytest.mark.parametrize("delay", DELAYS)
def test_an_answer_without_a_name_that_comes_again_is_nobodys(monkeypatch, first, delay):
    """Guards against reporting data as stored that is not, and against retrying what has already run."""

    async def scenario():
        node = RepeatingNode(b"first", answer=first)
        async with caller_of(node, "PUT", b"data") as caller:
            caller.record_distinct_answers()
            with contextlib.suppress(AssertionError):  # the answer may be the declined one
                await caller.call("first")
            advance_clock(monkeypatch, delay)
            assert await caller.call("later") == b"later"

    run(scenario(), TIMEOUT)


def test_a_head_that_uses_connections_at_once_and_compares_nothing_is_seen(monkeypatch):
    monkeypatch.setattr(RecentAnswers, "is_duplicate", lambda *_: False)
    with pytest.raises(AssertionError):
        run(check_repetition_is_dropped(monkeypatch, 0.2, True, RepeatingNode(b"first")), TIMEOUT)


def test_the_request_that_got_a_second_answer_only_may_have_run(monkeypatch):
    """Its own answer never comes: reported as a stall, it ends unserved with its client's time."""

    async def scenario():
        node = RepeatingNode(b"first")
        node.pause = 10.0  # seconds: longer than the client's time
        stalls = []
        async with caller_of(node) as caller:
            caller.record_distinct_answers()
            assert await caller.call("first") == b"first"
            request = replace(caller.effect.request, id="later")
            effect = replace(caller.effect, request=request, timeout=timedelta(seconds=1))
            reply = await caller.nodes.attempt(effect, on_stall=lambda: stalls.append(1))
            assert (reply.outcome, reply.body) == (Outcome.TIMEOUT, b"") and stalls == [1]
            await until(lambda: not caller.nodes.pool.open_connections)

    run(scenario(), TIMEOUT)


# -- what is compared ----------------------------------------------------------------------------------------
def test_answers_are_distinctive_once_many_in_a_row_differed():
    fingerprints = AnswerFingerprints()
    distinctive = [
        fingerprints.record(number, RequestKind.READ) for number in range(MIN_DISTINCT_IN_A_ROW + 5)
    ]
    assert distinctive == [False] * MIN_DISTINCT_IN_A_ROW + [True] * 5
    assert not fingerprints.record(0, RequestKind.READ), "it came before"
    assert not fingerprints.record(-1, RequestKind.READ), "the next one may be a repetition as well"
    assert not fingerprints.record(-2, RequestKind.WRITE), "no writes were recorded"
    assert not any(fingerprints.record(-3 - number, RequestKind.HEALTH_CHECK) for number in range(100))


def test_what_is_remembered_of_answers_is_bounded(monkeypatch):
    monkeypatch.setattr(answer_identity, "MAX_FINGERPRINTS", 8)
    fingerprints = AnswerFingerprints()
    recent = RecentAnswers()
    for number in range(1_000):
        fingerprints.record(number, RequestKind.READ)
    assert len(fingerprints._subjects) == 8
    added = [recent.add(number, 0.0) for number in range(MAX_RECENT_ANSWERS + 1)]
    assert added == [True] * MAX_RECENT_ANSWERS + [False]
    assert recent.may_get_duplicate(1.0) and not recent.may_get_duplicate(2 * REUSE_DELAY.total_seconds())


@pytest.mark.parametrize("size", [1, 50, PREFIX_BYTES, PREFIX_BYTES + 1, LARGE])
@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize("again", [False, True])
def test_an_answer_in_pieces_passes_whole_or_not_at_all(size, step, again):
    body = (b"0123456789" * size)[:size]
    recent = RecentAnswers()
    first = AnswerInspection(b"200", size, None)
    assert first.feed(b"head", body) == b"head" + body
    assert recent.add(first.fingerprint if again else 1, 0.0)
    other = AnswerInspection(b"200", size, recent)
    passed = other.feed(b"head", b"")
    for begin in range(0, size, step):
        passed += other.feed(b"", body[begin : begin + step])
    assert passed == (b"" if again else b"head" + body)
    assert other.is_duplicate is again
