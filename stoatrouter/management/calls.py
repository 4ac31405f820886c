"""The operators' calls: each is looked up, put to the part that it concerns, and answered."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from stoatrouter.net.listener import Drain

READY, OUT, BACK = "/control/ready", "/control/out-of-service", "/control/in-service"
# Callers at once: a few that finish no call must not keep out one that does, nor take clients' descriptors.
MOST_CALLERS = 8


class Management:
    """Answers the operators' calls."""

    def __init__(self, drain: Drain, serving: Callable[[], bool]) -> None:
        self.drain, self.serving = drain, serving

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One call; its connection ends with the answer."""
        response = self.answer(request.method, request.raw_path.partition("?")[0])
        response.force_close()
        return response

    def answer(self, method: str, path: str) -> web.Response:
        calls = self.calls(path)
        if calls is None:
            return say(404, "no such call")
        if method not in calls:
            return web.Response(status=405, headers={"Allow": ", ".join(calls)}, text="not by this method\n")
        return calls[method]()

    def calls(self, path: str) -> dict[str, Callable[[], web.Response]] | None:
        """What may be called at a path, by method."""
        match path:
            case _ if path == READY:
                return {"GET": self.ready}
            case _ if path == OUT:
                return {"POST": self.out_of_service}
            case _ if path == BACK:
                return {"POST": self.in_service}
        return None

    def ready(self) -> web.Response:
        return say(200, "ready") if self.serving() else say(503, "not ready")

    def out_of_service(self) -> web.Response:
        self.drain.out_of_service()
        return say(200, "out of service")

    def in_service(self) -> web.Response:
        self.drain.in_service()
        return say(200, "in service")


def say(status: int, text: str) -> web.Response:
    return web.Response(status=status, text=text + "\n")
