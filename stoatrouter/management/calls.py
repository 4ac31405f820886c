"""Routes the operators' calls to the parts of the head that they concern, and builds the responses.

A `stoatrouter.net.listener.Listener` does the network I/O.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from functools import partial
from urllib.parse import unquote

from aiohttp import web

from stoatrouter.net.engine import Engine
from stoatrouter.net.listener import Drain

COUNTERS_PATH = "/control/counters"
CONNECTIONS_PATH = "/control/connections"
READY_PATH = "/control/ready"
OUT_OF_SERVICE_PATH = "/control/out-of-service"
IN_SERVICE_PATH = "/control/in-service"
NODES_PATH = "/control/bricks/"  # followed by the node's name and a state of NODE_STATES
NODE_STATES = ("offline", "online")
# Maximum concurrent connections: a few unfinished calls must not block other operators, and the descriptors
# are needed for clients.
MAX_CALLERS = 8
MAX_BODY_BYTES = 32 * 1024 * 1024  # of a call; bodies are read only with peering enabled

# Answers calls that involve other heads, by method, path and body; returns None for any other call.
PeerCallHandler = Callable[[str, str, bytes], Awaitable[web.Response | None]]
CallHandler = Callable[[], web.Response]


class Management:
    """Serves operators' calls to one head."""

    def __init__(
        self,
        engine: Engine,
        drain: Drain,
        is_serving: Callable[[], bool],
        handle_peer_call: PeerCallHandler | None = None,
    ) -> None:
        """Serve calls to one head.

        Args:
            engine: The head's engine; calls read its counters and change the state of its nodes.
            drain: The head's drain state, which calls can start and end.
            is_serving: Returns whether the head is serving, for the readiness call.
            handle_peer_call: Answers calls that involve other heads; None if peering is off.
        """
        self.engine = engine
        self.drain = drain
        self.is_serving = is_serving
        self.handle_peer_call = handle_peer_call

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call; the response closes its connection."""
        path = request.raw_path.partition("?")[0]
        response = None
        if self.handle_peer_call is not None:
            body = await read_body(request)
            if body is None:
                response = text_response(413, f"more than {MAX_BODY_BYTES} bytes")
            else:
                response = await self.handle_peer_call(request.method, path, body)
        response = response or self.answer(request.method, path)
        response.force_close()
        return response

    def answer(self, method: str, path: str) -> web.Response:
        """Answer a call by its method and path: 404 for an unknown path, 405 for an unsupported method."""
        handlers = self.find_handlers(path)
        if handlers is None:
            return text_response(404, "no such call")
        if method not in handlers:
            return web.Response(
                status=405, headers={"Allow": ", ".join(handlers)}, text="not by this method\n"
            )
        return handlers[method]()

    def find_handlers(self, path: str) -> dict[str, CallHandler] | None:
        """Return the handlers of a path, by method; None for an unknown path."""
        fixed: dict[str, dict[str, CallHandler]] = {
            READY_PATH: {"GET": self.report_readiness},
            COUNTERS_PATH: {"GET": self.report_counters},
            CONNECTIONS_PATH: {"GET": self.report_connections},
            OUT_OF_SERVICE_PATH: {"POST": self.take_out_of_service},
            IN_SERVICE_PATH: {"POST": self.put_in_service},
        }
        if path in fixed:
            return fixed[path]
        node, slash, state = path.removeprefix(NODES_PATH).rpartition("/")
        if path.startswith(NODES_PATH) and slash and node and state in NODE_STATES:
            return {"POST": partial(self.set_node_state, unquote(node), state == "offline")}
        return None

    def set_node_state(self, node: str, offline: bool) -> web.Response:
        """Take a node out of service or put it back; 404 for an unknown node, 500 if saving fails."""
        persisted = self.engine.set_administrative_state(node, offline)
        if persisted is None:
            return text_response(404, "no such brick")
        if not persisted:
            return text_response(500, "done, but not kept")
        return text_response(200, "out" if offline else "back")

    def report_readiness(self) -> web.Response:
        """Answer 200 if this head is serving, else 503."""
        return text_response(200, "ready") if self.is_serving() else text_response(503, "not ready")

    def report_counters(self) -> web.Response:
        """Return all counters and gauges, one per line."""
        return text_response(200, "\n".join(counter_lines(self.engine)))

    def report_connections(self) -> web.Response:
        """Return the counters of connections to nodes, one per line."""
        pool = self.engine.nodes.pool
        lines = [f"connections.{name}:{count}|c" for name, count in asdict(pool.counters).items()]
        return text_response(200, "\n".join([*lines, f"connections.open:{len(pool.open_connections)}|g"]))

    def take_out_of_service(self) -> web.Response:
        """Drain the head; calling it again changes nothing."""
        self.drain.out_of_service()
        return text_response(200, "out of service")

    def put_in_service(self) -> web.Response:
        """Serve clients again after `take_out_of_service`."""
        self.drain.in_service()
        return text_response(200, "in service")


def counter_lines(engine: Engine) -> list[str]:
    """Format all counters and gauges as `name:value|type`; all are present from the start."""
    reducer = engine.reducer
    outcomes = (
        ("ok", reducer.counters.ok),
        ("shed", reducer.counters.shed),
        ("errors", reducer.counters.errors),
    )
    responses = [
        f"app.responses.{request_class.name}.{outcome}:{counts[number]}|c"
        for number, request_class in enumerate(reducer.scheduler.settings.classes)
        for outcome, counts in outcomes
    ]
    return [
        *responses,
        f"app.tries:{engine.nodes.pool.attempts_written}|c",
        f"app.active:{reducer.counters.active}|g",
        f"app.pool_size:{len(reducer.nodes)}|g",
        f"app.pool_ejected:{reducer.avoided}|g",
    ]


async def read_body(request: web.BaseRequest) -> bytes | None:
    """Read a call's body; return None if it exceeds MAX_BODY_BYTES."""
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return None
    return bytes(body)


def text_response(status: int, text: str) -> web.Response:
    """Build a plain-text response of one line."""
    return web.Response(status=status, text=text + "\n")
