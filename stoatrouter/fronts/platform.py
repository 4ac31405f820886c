"""The platform's protocol: one HTTP request is one request of the core."""

from __future__ import annotations

import asyncio
import math
import re
from datetime import timedelta

from aiohttp import web

from cypressworks import interface as api
from stoatrouter.core import model
from stoatrouter.net.door import time_for_body
from stoatrouter.net.engine import Engine
from stoatrouter.net.listener import Drain

LARGEST_BODY = 64 * 1024
ID = re.compile(r"[0-9A-Za-z_.-]{1,64}")
HEX16 = re.compile(r"[0-9A-Fa-f]{16}")


class BadRequest(Exception):
    """The client's request is malformed; it never reaches the core."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.reason, self.status = reason, status


class PlatformFront:
    """Serves the platform's clients."""

    def __init__(self, engine: Engine, settings: api.Settings, drain: Drain) -> None:
        self.engine, self.drain = engine, drain
        self.settings = settings
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.plans = {p.name: i for i, p in enumerate(settings.plans)}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/healthz":
            return self.drain.mark(self.drain.health())
        try:
            body = await read_body(request)
            wanted = self.translate(request, body)
        except BadRequest as error:
            response = web.Response(status=error.status, text=f"{error.reason}\n")
            response.force_close()  # what is left of such a request is not read
            return response
        # Guards the descriptors: beyond the bound a connection gets its refusal and ends.
        if self.drain.crowded():
            response = answer(self.engine.turn_away(wanted))
            response.force_close()
            return response
        return self.drain.mark(answer(await self.engine.serve(wanted)))

    def translate(self, request: web.BaseRequest, body: bytes) -> model.Request:
        """Read a request of the core out of the client's, or say what is wrong with it."""
        headers, target = request.headers, request.raw_path
        parts = target.partition("?")[0].split("/")
        if len(parts) != 4 or parts[0] or not HEX16.fullmatch(parts[2]) or not HEX16.fullmatch(parts[3]):
            raise BadRequest("path is not /class/volume/data", 404)
        name = headers.get("Req-Id", "")
        if not ID.fullmatch(name):
            raise BadRequest("bad or missing Req-Id")
        kind = self.classes.get(headers.get("Req-Kind", parts[1]))
        if kind is None or self.settings.classes[kind].name != parts[1]:
            raise BadRequest("unknown class, or not that of the path")
        plan = self.plans.get(headers.get("X-Plan", ""))
        if plan is None:
            raise BadRequest("unknown or missing X-Plan")
        if request.method not in ("GET", "PUT"):
            raise BadRequest("method is neither GET nor PUT", 405)
        if request.method == "GET" and body:
            raise BadRequest("a read has no body")
        units, shard, hosts = read_extras(headers.get("X-IO", ""))
        if units > self.settings.max_units:
            raise BadRequest("more units than a request may have")
        return model.Request(
            id=name, request_class=kind, plan=plan, volume=parts[2], key=parts[3], shard=shard, units=units,
            hosts=hosts, time_left=self.time_left(headers.get("Req-Deadline-Ms", ""), kind),
            write=request.method == "PUT", repeat=headers.get("Req-Retry") == "1", method=request.method,
            target=target, body=body, idempotency_key=headers.get("Idempotency-Key"))

    def time_left(self, text: str, kind: int) -> timedelta:
        if not text.isascii() or not text.isdigit():
            raise BadRequest("bad or missing Req-Deadline-Ms")
        # bounded by the class: a larger figure would only keep the request in memory
        most = timedelta(microseconds=self.settings.classes[kind].deadline)
        return min(most, timedelta(milliseconds=int(text[:12])))


def read_extras(text: str) -> tuple[float, int, int]:
    """Read units, shard and hosts."""
    fields = dict(pair.strip().partition("=")[::2] for pair in text.split(","))
    try:
        units, shard, hosts = float(fields["units"]), int(fields["shard"]), int(fields["hosts"])
    except (KeyError, ValueError):
        raise BadRequest("bad or missing X-IO") from None
    if not math.isfinite(units) or units <= 0 or shard < -1 or hosts < 1:
        raise BadRequest("X-IO out of range")
    return units, shard, hosts


async def read_body(request: web.BaseRequest) -> bytes:
    """Read a body of at most 64 KiB."""
    if (request.content_length or 0) > LARGEST_BODY:
        raise BadRequest("body over 64 KiB", 413)
    if not request.can_read_body:
        return b""
    body = bytearray()
    try:
        async with asyncio.timeout(time_for_body(request).total_seconds()):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > LARGEST_BODY:
                    raise BadRequest("body over 64 KiB", 413)
    except TimeoutError:
        # Guards the connections, and the end of a head that stops, against a body that never comes.
        raise BadRequest("the body did not come in time", 408) from None
    except web.RequestPayloadError:
        raise BadRequest("the body cannot be read") from None
    return bytes(body)


def answer(final: model.Answer) -> web.Response:
    """A final answer on this wire."""
    match final:
        case model.Served():
            return web.Response(body=final.body)
        case model.Refused():
            return web.Response(status=503, headers=retry_after(final.retry_in))
        case _:
            return web.Response(status=502)


def retry_after(span: timedelta) -> dict[str, str]:
    """The advice when to come back, in decimal seconds; a refusal always carries it."""
    return {"Retry-After": f"{span.total_seconds():.3f}"}
