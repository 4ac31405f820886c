"""Stories of nodes that answer a request twice, as a later one waits on the same connection.

What happened: the later request's client was given the answer of the earlier one, and its own answer went
to the next. Here the second answer is written in the moment in which the later request has come whole,
before its own answer. The head's clock is set on by how much later that is; the span that is guarded is
stretched, so that real time does not count. Bodies name the requests that they answer.
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

GUARDED = timedelta(seconds=100)
IDLE = timedelta(hours=1)  # how long connections are kept
LIMIT = 300.0  # seconds of the clock that is set on
LATE = (0.0, 0.02, 0.1, 0.2, 0.4, 0.98)  # of what is guarded: 0 to 49 ms
METHODS = (("GET", b""), ("PUT", b"data"))
LARGE = 3 * PREFIX_BYTES
ALIKE = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored"
DECLINED = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"


def whole(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class TwiceAnswering:
    """A node that answers the request `twice` a second time, as the `between + 1`-th after it has come."""

    def __init__(self, twice: bytes = b"", between: int = 0, size: int = 0, first: bytes = b"") -> None:
        self.twice, self.between, self.size, self.first = twice, between, size, first
        self.since, self.connections = -1, 0
        self.pause = 0.0  # seconds between the second answer and the one after it
        self.again: asyncio.StreamWriter | None = None

    def answer_to(self, name: bytes) -> bytes:
        return self.first if self.first and name == self.twice else whole(name.ljust(self.size, b"."))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: " in head:
                    await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
                name = head.split(b"Req-Id: ")[1].split(b"\r\n")[0]
                if self.since == self.between and self.again is not None:
                    self.again.write(self.answer_to(self.twice))
                    await asyncio.sleep(self.pause)
                if name == self.twice:
                    self.again = writer
                if self.again is not None:
                    self.since += 1
                writer.write(self.answer_to(name))
        writer.close()


class Asker:
    """Requests of one method to one node; each answer has to be that of its request."""

    def __init__(self, nodes: NodeClient, address: str, method: str, body: bytes) -> None:
        self.nodes, self.effect = nodes, attempt(address, method, body, timeout=timedelta(seconds=20))

    async def ask(self, name: str) -> bytes:
        reply = await self.nodes.attempt(replace(self.effect, request=replace(self.effect.request, id=name)))
        assert reply.outcome is Outcome.OK, (name, reply)
        return reply.body.rstrip(b".")

    def make_known(self) -> None:
        """Have the head know that answers name their content."""
        for number in range(MIN_DISTINCT_IN_A_ROW):
            self.nodes.pool.fingerprints.record(number, RequestKind.READ)
            self.nodes.pool.fingerprints.record(-1 - number, RequestKind.WRITE)


@contextlib.asynccontextmanager
async def asker_of(node: TwiceAnswering, method: str = "GET", body: bytes = b"") -> AsyncIterator[Asker]:
    server = await asyncio.start_server(node.serve, HOST, 0)
    host, port = server.sockets[0].getsockname()
    nodes = NodeClient(timedelta(seconds=5), IDLE, 16)
    async with server:
        yield Asker(nodes, f"{host}:{port}", method, body)
        await nodes.close()


def set_clock_on(monkeypatch, late: float) -> None:
    loop = asyncio.get_running_loop()
    before = loop.time
    monkeypatch.setattr(loop, "time", lambda: before() + late * GUARDED.total_seconds())


@pytest.fixture(autouse=True)
def stretched(monkeypatch):
    monkeypatch.setattr(reuse_delays, "REUSE_DELAY", GUARDED)


async def second_answer_is_nobodys(
    monkeypatch, late: float, known: bool, node: TwiceAnswering, method: str = "GET", body: bytes = b""
) -> int:
    between = node.between
    async with asker_of(node, method, body) as asker:
        if known:
            asker.make_known()
        assert await asker.ask("first") == b"first"
        for number in range(between):
            assert await asker.ask(f"between{number}") == b"between%d" % number
        set_clock_on(monkeypatch, late)
        for number in range(4):
            assert await asker.ask(f"later{number}") == b"later%d" % number
        return asker.nodes.pool.counters.repetitions_dropped


@pytest.mark.parametrize("late", LATE)
@pytest.mark.parametrize(("method", "body"), METHODS)
@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("between", [0, 3])
def test_an_answer_that_comes_again_is_nobodys(monkeypatch, late, method, body, known, between):
    """Guards callers against others' data, where answers are known to differ and where they are not."""
    node = TwiceAnswering(b"first", between)
    dropped = run(second_answer_is_nobodys(monkeypatch, late, known, node, method, body), LIMIT)
    assert dropped == known, "where answers differ the connection is used at once"


@pytest.mark.parametrize("late", LATE)
@pytest.mark.parametrize("pause", [0.0, 0.01])
def test_a_large_answer_that_comes_again_is_nobodys(monkeypatch, late, pause):
    node = TwiceAnswering(b"first", between=1, size=LARGE)
    node.pause = pause
    assert run(second_answer_is_nobodys(monkeypatch, late, True, node), LIMIT) == 1


@pytest.mark.parametrize("first", [ALIKE, DECLINED])
@pytest.mark.parametrize("late", LATE)
def test_an_answer_without_a_name_that_comes_again_is_nobodys(monkeypatch, first, late):
    """ "Stored" for what is not, or declined, and so repeated, what has run."""

    async def story():
        node = TwiceAnswering(b"first", first=first)
        async with asker_of(node, "PUT", b"data") as asker:
            asker.make_known()
            with contextlib.suppress(AssertionError):  # it may be declined
                await asker.ask("first")
            set_clock_on(monkeypatch, late)
            assert await asker.ask("later") == b"later"

    run(story(), LIMIT)


def test_a_head_that_uses_connections_at_once_and_compares_nothing_is_seen(monkeypatch):
    monkeypatch.setattr(RecentAnswers, "is_duplicate", lambda *_: False)
    with pytest.raises(AssertionError):
        run(second_answer_is_nobodys(monkeypatch, 0.2, True, TwiceAnswering(b"first")), LIMIT)


def test_the_request_that_got_a_second_answer_only_may_have_run(monkeypatch):
    """Its own answer never comes: it ends soon, as one that may have run, and is not served."""

    async def story():
        node = TwiceAnswering(b"first")
        node.pause = 10.0  # longer than the rest of an answer may take
        async with asker_of(node) as asker:
            asker.make_known()
            assert await asker.ask("first") == b"first"
            request = replace(asker.effect.request, id="later")
            reply = await asker.nodes.attempt(replace(asker.effect, request=request))
            assert (reply.outcome, reply.body) == (Outcome.RESET, b"")
            await until(lambda: not asker.nodes.pool.open_connections)

    run(story(), LIMIT)


# -- what is compared ----------------------------------------------------------------------------------------
def test_answers_are_distinctive_once_many_in_a_row_differed():
    known = AnswerFingerprints()
    told = [known.record(number, RequestKind.READ) for number in range(MIN_DISTINCT_IN_A_ROW + 5)]
    assert told == [False] * MIN_DISTINCT_IN_A_ROW + [True] * 5
    assert not known.record(0, RequestKind.READ), "it came before"
    assert not known.record(-1, RequestKind.READ), "so the next one may as well"
    assert not known.record(-2, RequestKind.WRITE), "nothing is known of writes"
    assert not any(known.record(-3 - number, RequestKind.HEALTH_CHECK) for number in range(100))


def test_what_is_remembered_of_answers_is_bounded(monkeypatch):
    monkeypatch.setattr(answer_identity, "MAX_FINGERPRINTS", 8)
    known, recent = AnswerFingerprints(), RecentAnswers()
    for number in range(1_000):
        known.record(number, RequestKind.READ)
    assert len(known._subjects) == 8
    assert [recent.add(number, 0.0) for number in range(MAX_RECENT_ANSWERS + 1)] == [
        True
    ] * MAX_RECENT_ANSWERS + [False]
    assert recent.may_get_duplicate(1.0) and not recent.may_get_duplicate(2 * GUARDED.total_seconds())


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
