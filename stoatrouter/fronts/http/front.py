"""The HTTP front: a request is parsed, matched by the rules and put to the core once."""

from __future__ import annotations

import secrets
from dataclasses import replace

from aiohttp import web
from multidict import CIMultiDict

from stoatrouter.core import model
from stoatrouter.fronts.exchange import BadRequest, Exchange, answer, last, retry_after
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input, Unreadable, read_input
from stoatrouter.matching.matcher import Matcher
from stoatrouter.net.bodies import BodyCapacity, StoredBody
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import NoCapacity
from stoatrouter.net.listener import Drain
from stoatrouter.net.recorder import Recorder
from stoatrouter.net.replies import HOP_BY_HOP
from stoatrouter.policy import interface as api

# Of a client's request: those of its connection, those that the node client writes itself, and those that the
# nodes' protocol gives a meaning.
OWN = HOP_BY_HOP | {
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
KEY = "Idempotency-Key"
LONGEST_KEY = 255  # characters


class HttpFront(Exchange):
    """Serves any HTTP client by the rules in force."""

    def __init__(
        self,
        engine: Engine,
        settings: api.Settings,
        drain: Drain,
        room: BodyCapacity,
        matcher: Matcher,
        recorder: Recorder | None = None,
        forwarded: bool = True,
    ) -> None:
        super().__init__(engine, drain, room)
        self.settings, self.matcher, self.recorder, self.forwarded = settings, matcher, recorder, forwarded

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request with one final answer."""
        if request.raw_path == "/healthz":
            return self.drain.mark(self.drain.health())
        try:
            given = read_request(request)
            if self.recorder is not None:
                self.recorder.record(given, request.raw_path, request.raw_headers)
            decided = self.matcher.decide(given, self.engine.clock.now(), stated_key(request))
            if isinstance(decided, Refusal):
                return self.refused(request, decided)
            wanted = self.translate(request, decided)
            # Guards clients' connections: those that wait must not hold them all.
            if self.drain.overloaded():
                turned_away = answer(self.engine.reject(wanted.request_class))
                return last(turned_away) if request.body_exists else self.drain.mark(turned_away)
            body = await self.read(request)
        except (BadRequest, Unreadable) as error:
            reason = error.reason if isinstance(error, BadRequest) else str(error)
            return last(web.Response(status=error.status, text=f"{reason}\n"))
        except NoCapacity:
            return last(answer(self.engine.reject(wanted.request_class)))
        try:
            return await self.put(request, wanted, body)
        finally:
            if isinstance(body, StoredBody):
                body.close()

    async def put(self, request: web.BaseRequest, wanted: model.Request, body: object) -> web.StreamResponse:
        """Put a request to the core and return its answer as an HTTP response."""
        final = await self.engine.serve(replace(wanted, body=body))
        if not isinstance(final, model.Served):
            return self.drain.mark(answer(final))
        head = final.head or model.Head(200, ())
        if final.stream is not None:
            response = web.StreamResponse(status=head.status, headers=without_length(head))
            return await self.pass_on(request, wanted.id, final.stream, response)
        return self.drain.mark(whole(request, head, final.body))

    def refused(self, request: web.BaseRequest, refusal: Refusal) -> web.StreamResponse:
        """The answer to a request that a rule refuses, with Retry-After for 429 and 503."""
        self.engine.reducer.tally.add("refused_by_rule")
        headers = retry_after(self.engine.reducer.advice) if refusal.status in (429, 503) else None
        response = web.Response(status=refusal.status, text=f"{refusal.reason}\n", headers=headers)
        return last(response) if request.body_exists else self.drain.mark(response)

    def translate(self, request: web.BaseRequest, decided: Decision) -> model.Request:
        """Make a request of the core out of a decision."""
        chosen = self.settings.classes[decided.request_class]
        key = stated_key(request)
        if key is None and chosen.effect is api.Effect.KEYED:
            key = secrets.token_hex(8)  # for the head's own repeats: nodes tell them by it
        return model.Request(
            id=secrets.token_hex(8),
            request_class=decided.request_class,
            plan=decided.plan,
            volume=decided.volume,
            key=decided.key,
            shard=decided.shard,
            units=decided.units,
            hosts=decided.hosts,
            time_left=decided.deadline,
            write=chosen.writes,
            repeat=decided.repeat,
            method=request.method,
            target=origin_form(request.raw_path),
            idempotency_key=key,
            fields=self.fields(request),
            passes=True,
        )

    def fields(self, request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
        """The header fields that are sent to the node."""
        named = {name.strip().lower() for name in request.headers.get("Connection", "").split(",")}
        left = OWN | named
        kept = [(name, value) for name, value in request.headers.items() if name.lower() not in left]
        if self.forwarded and request.remote:
            before = ", ".join(request.headers.getall("X-Forwarded-For", []))
            kept = [pair for pair in kept if pair[0].lower() != "x-forwarded-for"]
            kept.append(("X-Forwarded-For", f"{before}, {request.remote}" if before else request.remote))
            kept.append(("Via", f"{request.version.major}.{request.version.minor} stoatrouter"))
        return tuple(kept)


def read_request(request: web.BaseRequest) -> Input:
    """Parse a request into the input of rules; raises Unreadable or BadRequest."""
    if request.method == "CONNECT" or "Upgrade" in request.headers:
        raise BadRequest("tunnels and upgrades are not served", 501)
    if request.headers.get("Expect", "100-continue").lower() != "100-continue":
        raise BadRequest("an expectation that cannot be met", 417)
    size = request.content_length
    stated = size if size is not None else -1 if request.body_exists else 0
    return read_input(
        request.method, request.raw_path, request.raw_headers, request.remote or "0.0.0.0", stated
    )


def stated_key(request: web.BaseRequest) -> str | None:
    """The client's idempotency key, or None; raises BadRequest where it is malformed."""
    key = request.headers.get(KEY)
    if key is None:
        return None
    # Guards the nodes' protocol: what goes on as a header must be one, and of a bounded length.
    if not key or len(key) > LONGEST_KEY or not key.isascii() or not key.isprintable():
        raise BadRequest(f"{KEY} must have 1 to {LONGEST_KEY} visible characters")
    return key


def origin_form(target: str) -> str:
    """The request target in origin form (RFC 9112, 3.2.1), without scheme and host."""
    if target.startswith("/"):
        return target
    rest = target.partition("://")[2]
    slash = min((at for at in (rest.find("/"), rest.find("?")) if at >= 0), default=-1)
    if slash < 0:
        return "/"
    return rest[slash:] if rest[slash] == "/" else "/" + rest[slash:]


def without_length(head: model.Head) -> CIMultiDict[str]:
    """The header fields of a node's answer without Content-Length, as this connection frames it anew."""
    return CIMultiDict((name, value) for name, value in head.fields if name.lower() != "content-length")


def whole(request: web.BaseRequest, head: model.Head, body: bytes) -> web.Response:
    """A complete answer as a response; the answer to HEAD keeps the length that the node stated."""
    fields = without_length(head)
    if request.method == "HEAD":
        stated = next((value for name, value in head.fields if name.lower() == "content-length"), None)
        response = web.Response(status=head.status, headers=fields)
        if stated is not None and stated.isdigit():
            response.headers["Content-Length"] = stated
        return response
    return web.Response(
        status=head.status, headers=fields, body=body if head.status not in (204, 304) else None
    )
