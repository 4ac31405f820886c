"""The operators' calls: each is routed to the part that it concerns, and answered."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from urllib.parse import unquote

from aiohttp import web

from stoatrouter.net.engine import Engine
from stoatrouter.net.listener import Drain

COUNTERS, READY = "/control/counters", "/control/ready"
OUT, BACK = "/control/out-of-service", "/control/in-service"
BRICKS = "/control/bricks/"
# Callers at once: a few that finish no call must not keep out one that does, nor take clients' descriptors.
MOST_CALLERS = 8
LARGEST = 32 * 1024 * 1024  # bytes of a call's body, where calls with bodies are on

# What answers calls that concern other heads as well: method, path and body; None: it is no such call.
HeadsCall = Callable[[str, str, bytes], Awaitable[web.Response | None]]


class Management:
    """Serves the operators' calls."""

    def __init__(
        self, engine: Engine, drain: Drain, serving: Callable[[], bool], heads: HeadsCall | None = None
    ) -> None:
        """Serve calls on one head.

        Args:
            engine: the head's engine, whose reducer and counters the calls read and change.
            drain: the head's draining, which the calls start.
            serving: whether the head serves requests now, for the readiness call.
            heads: what answers calls that concern other heads too; None where that part is off.
        """
        self.engine, self.drain, self.serving, self.heads = engine, drain, serving, heads

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call; the connection ends with the answer."""
        path = request.raw_path.partition("?")[0]
        response = None
        if self.heads is not None:
            body = await read(request)
            if body is None:
                response = text_response(413, f"more than {LARGEST} bytes")
            else:
                response = await self.heads(request.method, path, body)
        response = response or self.answer(request.method, path)
        response.force_close()
        return response

    def answer(self, method: str, path: str) -> web.Response:
        """Answer a call by its method and path; 404 and 405 for calls that do not exist."""
        calls = self.calls(path)
        if calls is None:
            return text_response(404, "no such call")
        if method not in calls:
            return web.Response(status=405, headers={"Allow": ", ".join(calls)}, text="not by this method\n")
        return calls[method]()

    def calls(self, path: str) -> dict[str, Callable[[], web.Response]] | None:
        """The handlers at a path, by method; None for an unknown path."""
        match path:
            case _ if path == READY:
                return {"GET": self.ready}
            case _ if path == COUNTERS:
                return {"GET": self.counters}
            case _ if path == OUT:
                return {"POST": self.out_of_service}
            case _ if path == BACK:
                return {"POST": self.in_service}
        name, slash, word = path.removeprefix(BRICKS).rpartition("/")
        if path.startswith(BRICKS) and slash and name and word in ("offline", "online"):
            return {"POST": partial(self.brick, unquote(name), word == "offline")}
        return None

    def brick(self, name: str, out: bool) -> web.Response:
        """Take a node out of service or put it back; 404 for an unknown node, 500 if it cannot be saved."""
        kept = self.engine.set_administrative_state(name, out)
        if kept is None:
            return text_response(404, "no such brick")
        if not kept:
            return text_response(500, "done, but not kept")
        return text_response(200, "out" if out else "back")

    def ready(self) -> web.Response:
        """200 where this head serves, else 503."""
        return text_response(200, "ready") if self.serving() else text_response(503, "not ready")

    def counters(self) -> web.Response:
        """All counters and gauges, a line each."""
        return text_response(200, "\n".join(counter_lines(self.engine)))

    def out_of_service(self) -> web.Response:
        """Send the clients away; calling it again changes nothing."""
        self.drain.out_of_service()
        return text_response(200, "out of service")

    def in_service(self) -> web.Response:
        """Serve clients again after out_of_service."""
        self.drain.in_service()
        return text_response(200, "in service")


def counter_lines(engine: Engine) -> list[str]:
    """All counters and gauges as `name:value|type`; each is present from the start."""
    core = engine.reducer
    responses = [
        f"app.responses.{kind.name}.{end}:{counts[i]}|c"
        for i, kind in enumerate(core.scheduler.settings.classes)
        for end, counts in (
            ("ok", core.counters.ok),
            ("shed", core.counters.shed),
            ("errors", core.counters.errors),
        )
    ]
    return [
        *responses,
        f"app.tries:{engine.nodes.pool.attempts_written}|c",
        f"app.active:{core.counters.active}|g",
        f"app.pool_size:{len(core.nodes)}|g",
        f"app.pool_ejected:{core.avoided}|g",
    ]


async def read(request: web.BaseRequest) -> bytes | None:
    """Read a call's body; None where it has more than LARGEST bytes."""
    body = bytearray()
    async for piece in request.content.iter_any():
        body += piece
        if len(body) > LARGEST:
            return None
    return bytes(body)


def text_response(status: int, text: str) -> web.Response:
    """A plain-text answer of one line."""
    return web.Response(status=status, text=text + "\n")
