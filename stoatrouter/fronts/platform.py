"""The front for the platform's protocol: each HTTP request becomes one request of the core.

The request line names class, volume and key; header fields give the id, the plan, the remaining time and
the cost of the request.
"""

from __future__ import annotations

import math
import re
from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple

from aiohttp import web

from stoatrouter.core import model
from stoatrouter.fronts.exchange import (
    HEALTH_PATH,
    BadRequest,
    ExchangeFront,
    answer_response,
    check_expectation,
    close_after,
    release_body,
    retry_after_field,
)
from stoatrouter.net.bodies import Body, BodyCapacity
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import NoCapacity
from stoatrouter.net.listener import Drain
from stoatrouter.policy import interface as api

REQUEST_ID = re.compile(r"[0-9A-Za-z_.-]{1,64}")
HEX16 = re.compile(r"[0-9A-Fa-f]{16}")
# Patterns for requests that can be rejected without a full parse: the request line, header fields that rule
# this out, and the length.
PLAIN_REQUEST_LINE = re.compile(
    rb"(?:GET|PUT) /([!-.0-~]{1,64})/[0-9A-Fa-f]{16}/[0-9A-Fa-f]{16} HTTP/1\.1\r\n"
)
UNUSUAL_FIELD = re.compile(rb"\r\n(?:transfer-encoding|expect|connection|upgrade)[ \t]*:", re.IGNORECASE)
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]{1,6}) *(?:\r|$)", re.IGNORECASE)


class Target(NamedTuple):
    """The path of a request: /class/volume/key."""

    class_name: str
    volume: str
    key: str


class Cost(NamedTuple):
    """The cost of a request, as its X-IO field states it."""

    units: float
    shard: int  # -1: any shard
    hosts: int


class PlatformFront(ExchangeFront):
    """Serves the platform's clients."""

    def __init__(
        self, engine: Engine, settings: api.Settings, drain: Drain, body_capacity: BodyCapacity
    ) -> None:
        """Serve the classes and plans of the settings.

        Args:
            engine: Serves the requests of the core.
            settings: The platform's settings.
            drain: Tells whether the head is draining.
            body_capacity: Limits the space for stored request bodies.
        """
        super().__init__(engine, drain, body_capacity)
        self.settings = settings
        self.class_numbers = {c.name: number for number, c in enumerate(settings.classes)}
        self.plan_numbers = {p.name: number for number, p in enumerate(settings.plans)}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request: /healthz, or one request of the core with its answer."""
        if request.raw_path == HEALTH_PATH:
            return self.drain.mark(self.drain.health())
        try:
            translated = self.translate(request)
            body = await self.read_body(request)
            if request.method == "GET" and len(body):
                release_body(body)
                raise BadRequest("a read has no body")
        except BadRequest as error:
            return close_after(web.Response(status=error.status, text=f"{error.reason}\n"))
        except NoCapacity:
            return self.reject_overloaded(request, translated.request_class)
        return await self.serve(request, translated, body)

    async def serve(
        self, request: web.BaseRequest, translated: model.Request, body: Body
    ) -> web.StreamResponse:
        """Serve a request of the core, release its body and return the HTTP response."""
        try:
            answer = await self.engine.serve(replace(translated, body=body) if len(body) else translated)
        finally:
            release_body(body)
        if isinstance(answer, model.Served) and answer.stream is not None:
            if self.refuses_stream(request, translated, answer):
                return self.drain.mark(self.reject(translated.request_class))
            return await self.stream_answer(request, translated.id, answer.stream)
        return self.drain.mark(answer_response(answer))

    def reject_unparsed(self, data: bytes) -> bytes | None:
        """Return the rejection of a plain request that is complete in `data`; None for any other request.

        An overloaded head cannot afford to create request and response objects for each rejection.
        """
        head, end, body = data.partition(b"\r\n\r\n")
        line = PLAIN_REQUEST_LINE.match(head)
        request_class = self.class_numbers.get(line[1].decode()) if line is not None and end else None
        if request_class is None or UNUSUAL_FIELD.search(head):
            return None
        length = CONTENT_LENGTH.search(head)
        if len(body) != (int(length[1]) if length is not None else 0):
            return None
        answer = self.engine.reject(request_class)
        assert isinstance(answer, model.Refused)  # always so for lack of capacity
        fields = retry_after_field(answer.retry_after)
        if self.drain.closing:
            fields["Connection"] = "close"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n{lines}\r\n".encode()

    def translate(self, request: web.BaseRequest) -> model.Request:
        """Translate the client's request to a request of the core; raises BadRequest."""
        headers = request.headers
        target = parse_target(request.raw_path)
        request_id = headers.get("Req-Id", "")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequest("bad or missing Req-Id")
        request_class = self.find_class(headers.get("Req-Kind", target.class_name), target)
        plan = self.plan_numbers.get(headers.get("X-Plan", ""))
        if plan is None:
            raise BadRequest("unknown or missing X-Plan")
        check_method_and_expectation(request)
        cost = self.read_cost(headers.get("X-IO", ""))
        return model.Request(
            id=request_id,
            request_class=request_class,
            plan=plan,
            volume=target.volume,
            key=target.key,
            shard=cost.shard,
            units=cost.units,
            hosts=cost.hosts,
            time_left=self.read_time_left(headers.get("Req-Deadline-Ms", ""), request_class),
            write=request.method == "PUT",
            repeat=headers.get("Req-Retry") == "1",
            method=request.method,
            target=request.raw_path,
            idempotency_key=headers.get("Idempotency-Key"),
        )

    def find_class(self, name: str, target: Target) -> int:
        """Return the number of a class, which must be the class in the path; raises BadRequest."""
        number = self.class_numbers.get(name)
        if number is None or self.settings.classes[number].name != target.class_name:
            raise BadRequest("unknown class, or not that of the path")
        return number

    def read_cost(self, text: str) -> Cost:
        """Parse X-IO and check it against the settings; raises BadRequest."""
        cost = parse_cost(text)
        if cost.units > self.settings.max_units:
            raise BadRequest("more units than a request may have")
        return cost

    def read_time_left(self, text: str, request_class: int) -> timedelta:
        """Parse Req-Deadline-Ms, bounded by the class's deadline; raises BadRequest."""
        if not text.isascii() or not text.isdigit():
            raise BadRequest("bad or missing Req-Deadline-Ms")
        # a larger value would only keep the request in memory for longer
        limit = timedelta(microseconds=self.settings.classes[request_class].deadline)
        return min(limit, timedelta(milliseconds=int(text[:12])))


def parse_target(raw_path: str) -> Target:
    """Parse a request target, ignoring its query; raises BadRequest."""
    parts = raw_path.partition("?")[0].split("/")
    if len(parts) != 4 or parts[0] or not HEX16.fullmatch(parts[2]) or not HEX16.fullmatch(parts[3]):
        raise BadRequest("path is not /class/volume/data", 404)
    return Target(parts[1], parts[2], parts[3])


def check_method_and_expectation(request: web.BaseRequest) -> None:
    """Check that the method and the Expect field are supported; raises BadRequest."""
    if request.method not in ("GET", "PUT"):
        raise BadRequest("method is neither GET nor PUT", 405)
    check_expectation(request)


def parse_cost(text: str) -> Cost:
    """Parse X-IO, such as `units=1,shard=-1,hosts=3`; raises BadRequest."""
    fields = dict(pair.strip().partition("=")[::2] for pair in text.split(","))
    try:
        cost = Cost(float(fields["units"]), int(fields["shard"]), int(fields["hosts"]))
    except (KeyError, ValueError):
        raise BadRequest("bad or missing X-IO") from None
    if not math.isfinite(cost.units) or cost.units <= 0 or cost.shard < -1 or cost.hosts < 1:
        raise BadRequest("X-IO out of range")
    return cost
