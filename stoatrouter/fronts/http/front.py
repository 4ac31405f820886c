"""The HTTP front: parses a request, matches it against the rules and passes it to the core once.

Rules are evaluated by `stoatrouter.matching`; retries are up to the core.
"""

from __future__ import annotations

import secrets
from dataclasses import replace

from aiohttp import web
from multidict import CIMultiDict

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
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input, UnreadableRequestError, read_input
from stoatrouter.matching.matcher import Matcher
from stoatrouter.net.bodies import Body, BodyCapacity
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import NoCapacity
from stoatrouter.net.listener import Drain
from stoatrouter.net.recorder import Recorder
from stoatrouter.net.replies import HOP_BY_HOP
from stoatrouter.policy import interface as api

# Header fields of a client's request that are not forwarded to nodes: hop-by-hop fields, those that the node
# client sets itself, and those that have a meaning in the nodes' protocol.
NOT_FORWARDED = HOP_BY_HOP | {
    "content-length",
    "expect",
    "req-id",
    "req-deadline-ms",
    "req-kind",
    "req-retry",
    "x-plan",
    "x-io",
    "idempotency-key",
}
IDEMPOTENCY_KEY = "Idempotency-Key"
MAX_KEY_LENGTH = 255  # characters
RETRY_LATER_STATUSES = (429, 503)  # refusals by rules with these statuses carry Retry-After
BODILESS_STATUSES = (204, 304)


class HttpFront(ExchangeFront):
    """Serves HTTP clients by the active rules."""

    def __init__(
        self,
        engine: Engine,
        settings: api.Settings,
        drain: Drain,
        body_capacity: BodyCapacity,
        matcher: Matcher,
        recorder: Recorder | None = None,
        forwarded: bool = True,
    ) -> None:
        """Serve requests by the rules of a matcher.

        Args:
            engine: Serves the requests of the core.
            settings: The platform's settings.
            drain: Tells whether the head is draining.
            body_capacity: Limits the space for stored request bodies.
            matcher: Decides on requests by the active rules.
            recorder: Records a sample of request heads; None: nothing is recorded.
            forwarded: Whether to add X-Forwarded-For and Via to forwarded requests.
        """
        super().__init__(engine, drain, body_capacity)
        self.settings = settings
        self.matcher = matcher
        self.recorder = recorder
        self.forwarded = forwarded

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request."""
        if request.raw_path == HEALTH_PATH:
            return self.drain.mark(self.drain.health())
        try:
            rule_input = read_request(request)
            if self.recorder is not None:
                self.recorder.record(rule_input, request.raw_path, request.raw_headers)
            key = read_idempotency_key(request)
            decision = self.matcher.decide(rule_input, self.engine.clock.now(), key)
            if isinstance(decision, Refusal):
                return self.refuse(request, decision)
            translated = self.translate(request, decision, key)
            body = await self.read_body(request)
        except (BadRequest, UnreadableRequestError) as error:
            reason = error.reason if isinstance(error, BadRequest) else str(error)
            return close_after(web.Response(status=error.status, text=f"{reason}\n"))
        except NoCapacity:
            return self.reject_overloaded(request, translated.request_class)
        try:
            return await self.serve(request, translated, body)
        finally:
            release_body(body)

    async def serve(
        self, request: web.BaseRequest, translated: model.Request, body: Body
    ) -> web.StreamResponse:
        """Serve a request of the core and return the HTTP response."""
        answer = await self.engine.serve(replace(translated, body=body))
        if not isinstance(answer, model.Served):
            return self.drain.mark(answer_response(answer))
        head = answer.head or model.Head(200, ())
        if answer.stream is not None:
            if self.refuses_stream(request, translated, answer):
                return self.drain.mark(self.reject(translated.request_class))
            response = web.StreamResponse(status=head.status, headers=without_length(head))
            return await self.stream_answer(request, translated.id, answer.stream, response)
        return self.drain.mark(complete_response(request, head, answer.body))

    def refuse(self, request: web.BaseRequest, refusal: Refusal) -> web.StreamResponse:
        """Build the response to a request that a rule refuses, with Retry-After for RETRY_LATER_STATUSES."""
        reducer = self.engine.reducer
        reducer.tally.add("refused_by_rule")
        headers = (
            retry_after_field(reducer.default_retry_after) if refusal.status in RETRY_LATER_STATUSES else None
        )
        response = web.Response(status=refusal.status, text=f"{refusal.reason}\n", headers=headers)
        return close_after(response) if request.body_exists else self.drain.mark(response)

    def translate(self, request: web.BaseRequest, decision: Decision, key: str | None) -> model.Request:
        """Translate a decision to a request of the core.

        Args:
            request: The client's request.
            decision: The decision of the rules.
            key: The client's idempotency key; if it is None, an idempotent class gets a generated one.
        """
        request_class = self.settings.classes[decision.request_class]
        if key is None and request_class.effect is api.Effect.IDEMPOTENT:
            key = secrets.token_hex(8)  # lets nodes recognize the head's own retries
        return model.Request(
            id=secrets.token_hex(8),
            request_class=decision.request_class,
            plan=decision.plan,
            volume=decision.volume,
            key=decision.key,
            shard=decision.shard,
            units=decision.units,
            hosts=decision.hosts,
            time_left=decision.deadline,
            write=request_class.writes,
            repeat=decision.repeat,
            method=request.method,
            target=origin_form(request.raw_path),
            idempotency_key=key,
            fields=self.forwarded_fields(request),
            pass_through=True,
        )

    def forwarded_fields(self, request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
        """Return the header fields that are forwarded to the node."""
        connection = request.headers.get("Connection", "")
        excluded = NOT_FORWARDED | {name.strip().lower() for name in connection.split(",")}
        fields = [(name, value) for name, value in request.headers.items() if name.lower() not in excluded]
        if self.forwarded and request.remote:
            previous = ", ".join(request.headers.getall("X-Forwarded-For", []))
            fields = [field for field in fields if field[0].lower() != "x-forwarded-for"]
            fields.append(
                ("X-Forwarded-For", f"{previous}, {request.remote}" if previous else request.remote)
            )
            fields.append(("Via", f"{request.version.major}.{request.version.minor} stoatrouter"))
        return tuple(fields)


def read_request(request: web.BaseRequest) -> Input:
    """Parse a request into the rules' input; raises UnreadableRequestError or BadRequest."""
    if request.method == "CONNECT" or "Upgrade" in request.headers:
        raise BadRequest("tunnels and upgrades are not served", 501)
    check_expectation(request)
    size = request.content_length
    if size is None:
        size = -1 if request.body_exists else 0
    return read_input(
        request.method, request.raw_path, request.raw_headers, request.remote or "0.0.0.0", size
    )


def read_idempotency_key(request: web.BaseRequest) -> str | None:
    """Read the client's idempotency key, or None; raises BadRequest if it is malformed."""
    key = request.headers.get(IDEMPOTENCY_KEY)
    if key is None:
        return None
    # The key is forwarded to nodes in a header field, so it must be a valid field value of limited length.
    if not key or len(key) > MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        raise BadRequest(f"{IDEMPOTENCY_KEY} must have 1 to {MAX_KEY_LENGTH} visible characters")
    return key


def origin_form(target: str) -> str:
    """Return a request target in origin form (RFC 9112, 3.2.1), without scheme and host."""
    if target.startswith("/"):
        return target
    rest = target.partition("://")[2]
    starts = (rest.find("/"), rest.find("?"))  # of the path, or of the query if there is no path
    start = min((position for position in starts if position >= 0), default=-1)
    if start < 0:
        return "/"
    return rest[start:] if rest[start] == "/" else "/" + rest[start:]


def without_length(head: model.Head) -> CIMultiDict[str]:
    """Return the header fields of a node's answer without Content-Length, which the response sets itself."""
    return CIMultiDict((name, value) for name, value in head.fields if name.lower() != "content-length")


def complete_response(request: web.BaseRequest, head: model.Head, body: bytes) -> web.Response:
    """Build the response for a complete answer; a response to HEAD has the length that the node stated."""
    fields = without_length(head)
    if request.method == "HEAD":
        length = next((value for name, value in head.fields if name.lower() == "content-length"), None)
        response = web.Response(status=head.status, headers=fields)
        if length is not None and length.isdigit():
            response.headers["Content-Length"] = length
        return response
    return web.Response(
        status=head.status, headers=fields, body=None if head.status in BODILESS_STATUSES else body
    )
