"""Reads a node's answer: its body, its outcome, and the load and other figures that it reports."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

import aiohttp
from multidict import CIMultiDictProxy

from stoatrouter.core import model
from stoatrouter.net.answer_stream import AnswerStream
from stoatrouter.net.bodies import MAX_IN_MEMORY_BYTES
from stoatrouter.net.node_connection import NodeConnection
from stoatrouter.policy.interface import Outcome

MAX_FIGURE = 1e6  # a larger figure in a node's report is ignored as implausible
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "srv-load",
        "srv-declined",
        "x-served-elsewhere",
    )
)


@dataclass(slots=True, frozen=True)
class Reply:
    """The outcome of an attempt or a health check, with what the node reported."""

    outcome: Outcome
    body: bytes = b""
    units_by_others: float = 0.0
    load: dict[str, float] | None = None
    stream: AnswerStream | None = None  # set for an answer that is too large to be checked as a whole
    head: model.Head | None = None  # set for a request whose front passes status and fields on


async def read_reply(response: aiohttp.ClientResponse, passes: bool = False, deadline: float = 0.0) -> Reply:
    """Read an answer: a small one completely, of a large one the first part, with a stream for the rest.

    With `passes` any answer below 500 is returned with its status and fields. The client's time is over at
    `deadline`, in the loop's time.
    """
    if passes and response.status < 500:
        reply = await read_complete_reply(response, deadline)
        return replace(reply, head=model.Head(response.status, end_to_end(response.headers)))
    if response.status != 200:
        return classify_answer(response.status, response.headers, await read_small(response))
    return await read_complete_reply(response, deadline)


def end_to_end(headers: CIMultiDictProxy[str]) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end header fields of an answer, which are passed on to the client.

    Hop-by-hop fields (RFC 9110, 7.6.1) and those of the node protocol are omitted.
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    omitted = HOP_BY_HOP | named
    return tuple((name, value) for name, value in headers.items() if name.lower() not in omitted)


async def read_complete_reply(response: aiohttp.ClientResponse, deadline: float) -> Reply:
    """Read a successful answer; a large one is returned as an AnswerStream."""
    stated = response.content_length
    body = b""
    while len(body) <= MAX_IN_MEMORY_BYTES and (stated is None or stated <= MAX_IN_MEMORY_BYTES or not body):
        data = await response.content.readany()
        if not data:
            return classify_answer(200, response.headers, body)
        body += data
    if response.connection is not None and isinstance(response.connection.protocol, NodeConnection):
        response.connection.protocol.start_streaming()
    return replace(
        classify_answer(200, response.headers, b""), stream=AnswerStream(response, body, stated, deadline)
    )


async def read_small(response: aiohttp.ClientResponse) -> bytes:
    """Read a body that is not passed on; raises ValueError if it exceeds MAX_IN_MEMORY_BYTES."""
    body = b""
    while data := await response.content.readany():
        body += data
        # Limits the memory that an endless answer can use.
        if len(body) > MAX_IN_MEMORY_BYTES:
            raise ValueError("body exceeds the size limit")
    return body


def classify_answer(status: int, headers: CIMultiDictProxy[str], body: bytes) -> Reply:
    """Return the reply for an answer, with the outcome that its status and fields mean."""
    units = read_number(headers.get("X-Served-Elsewhere")) or 0.0
    load = read_load(headers.get("Srv-Load"))
    if status == 200:
        return Reply(Outcome.OK, body, units, load)
    if headers.get("Srv-Declined") != "1" or status not in (503, 504):
        return Reply(Outcome.ERROR, b"", units, load)
    # A declining 504 must not shrink the node's window, as it is no sign of load: the request is already
    # over, or its data is on another node.
    return Reply(Outcome.FULL if status == 503 else Outcome.MOOT, b"", units, load)


def read_number(text: str | None) -> float | None:
    """Parse a figure in a node's report; None if it is absent, malformed or out of range.

    NaN or infinity would corrupt the limits of a volume, and a malformed load must not count as a load of 0.
    """
    if text is None or not NUMBER.fullmatch(text.strip()):
        return None
    number = float(text)
    return number if number <= MAX_FIGURE else None


def read_load(text: str | None) -> dict[str, float] | None:
    """Parse a load report such as `inflight=7,queue=2,util=0.61`; None if it has no valid figures."""
    pairs = (pair.partition("=") for pair in (text or "").split(","))
    figures = {name.strip(): read_number(value) for name, _, value in pairs if name.strip()}
    return {name: figure for name, figure in figures.items() if figure is not None} or None
