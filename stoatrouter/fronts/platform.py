"""The platform's protocol: one HTTP request is one request of the core."""

from __future__ import annotations

import math
import re
from dataclasses import replace
from datetime import timedelta

from aiohttp import web

from stoatrouter.core import model
from stoatrouter.fronts.exchange import BadRequest, Exchange, answer, last, retry_after
from stoatrouter.net.bodies import BodyCapacity, StoredBody
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import NoCapacity
from stoatrouter.net.listener import Drain
from stoatrouter.policy import interface as api

ID = re.compile(r"[0-9A-Za-z_.-]{1,64}")
HEX16 = re.compile(r"[0-9A-Fa-f]{16}")
PLAIN = re.compile(rb"(?:GET|PUT) /([!-.0-~]{1,64})/[0-9A-Fa-f]{16}/[0-9A-Fa-f]{16} HTTP/1\.1\r\n")
UNUSUAL = re.compile(rb"\r\n(?:transfer-encoding|expect|connection|upgrade)[ \t]*:", re.IGNORECASE)
LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]{1,6}) *(?:\r|$)", re.IGNORECASE)


class PlatformFront(Exchange):
    """Serves the platform's clients."""

    def __init__(self, engine: Engine, settings: api.Settings, drain: Drain, room: BodyCapacity) -> None:
        super().__init__(engine, drain, room)
        self.settings = settings
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.plans = {p.name: i for i, p in enumerate(settings.plans)}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request: /healthz, or one request of the core and its one final answer."""
        if request.raw_path == "/healthz":
            return self.drain.mark(self.drain.health())
        try:
            wanted = self.translate(request)
            # Guards clients' connections: those that wait must not hold them all.
            if self.drain.overloaded():
                refused = answer(self.engine.reject(wanted.request_class))
                return last(refused) if request.body_exists else self.drain.mark(refused)
            body = await self.read(request)
            if request.method == "GET" and len(body):
                if isinstance(body, StoredBody):
                    body.close()
                raise BadRequest("a read has no body")
        except BadRequest as error:
            return last(web.Response(status=error.status, text=f"{error.reason}\n"))
        except NoCapacity:
            return last(answer(self.engine.reject(wanted.request_class)))
        try:
            final = await self.engine.serve(replace(wanted, body=body) if len(body) else wanted)
        finally:
            if isinstance(body, StoredBody):
                body.close()
        if isinstance(final, model.Served) and final.stream is not None:
            return await self.pass_on(request, wanted.id, final.stream)
        return self.drain.mark(answer(final))

    def refuse(self, data: bytes) -> bytes | None:
        """The refusal of a plain request that lies whole in `data`; None for any other request.

        Creating a response object for each refusal would cost a crowded head more time than it has.
        """
        head, end, body = data.partition(b"\r\n\r\n")
        line = PLAIN.match(head)
        kind = self.classes.get(line[1].decode()) if line is not None and end else None
        if kind is None or UNUSUAL.search(head):
            return None
        length = LENGTH.search(head)
        if len(body) != (int(length[1]) if length is not None else 0):
            return None
        refused = self.engine.reject(kind)
        assert isinstance(refused, model.Refused)
        fields = "".join(f"{name}: {value}\r\n" for name, value in retry_after(refused.retry_after).items())
        fields += "Connection: close\r\n" if self.drain.closing else ""
        return f"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n{fields}\r\n".encode()

    def translate(self, request: web.BaseRequest) -> model.Request:
        """Make a request of the core out of the client's; raises BadRequest."""
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
        if request.headers.get("Expect", "100-continue").lower() != "100-continue":
            raise BadRequest("an expectation that cannot be met", 417)
        units, shard, hosts = read_extras(headers.get("X-IO", ""))
        if units > self.settings.max_units:
            raise BadRequest("more units than a request may have")
        return model.Request(
            id=name,
            request_class=kind,
            plan=plan,
            volume=parts[2],
            key=parts[3],
            shard=shard,
            units=units,
            hosts=hosts,
            time_left=self.time_left(headers.get("Req-Deadline-Ms", ""), kind),
            write=request.method == "PUT",
            repeat=headers.get("Req-Retry") == "1",
            method=request.method,
            target=target,
            idempotency_key=headers.get("Idempotency-Key"),
        )

    def time_left(self, text: str, kind: int) -> timedelta:
        """The time that the client allows, at most the class's deadline; raises BadRequest."""
        if not text.isascii() or not text.isdigit():
            raise BadRequest("bad or missing Req-Deadline-Ms")
        # bounded by the class: a larger figure would only keep the request in memory
        most = timedelta(microseconds=self.settings.classes[kind].deadline)
        return min(most, timedelta(milliseconds=int(text[:12])))


def read_extras(text: str) -> tuple[float, int, int]:
    """Parse X-IO to units, shard (-1: any) and hosts; raises BadRequest."""
    fields = dict(pair.strip().partition("=")[::2] for pair in text.split(","))
    try:
        units, shard, hosts = float(fields["units"]), int(fields["shard"]), int(fields["hosts"])
    except (KeyError, ValueError):
        raise BadRequest("bad or missing X-IO") from None
    if not math.isfinite(units) or units <= 0 or shard < -1 or hosts < 1:
        raise BadRequest("X-IO out of range")
    return units, shard, hosts
