"""What fronts over HTTP share: reading a body, streaming an answer, final answers on the wire."""

from __future__ import annotations

from datetime import timedelta

from aiohttp import HttpVersion11, web

from stoatrouter.core import model
from stoatrouter.net.answer_stream import AnswerStream
from stoatrouter.net.bodies import Body, BodyCapacity, read_body
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import BrokenOff, TooLarge, TooSlow
from stoatrouter.net.listener import Drain


class BadRequest(Exception):
    """The client's request is malformed; it never reaches the core."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.reason, self.status = reason, status


class Exchange:
    """Base of the fronts that make one request of the core out of one HTTP request."""

    def __init__(self, engine: Engine, drain: Drain, room: BodyCapacity) -> None:
        self.engine, self.drain, self.room = engine, drain, room

    async def read(self, request: web.BaseRequest) -> Body:
        """Read the whole body; raises BadRequest (too large, too slow or malformed) or NoCapacity."""
        try:
            body = await read_body(request, self.room)
        except TooLarge:
            raise BadRequest("the body is too large", 413) from None
        except TooSlow:
            raise BadRequest("the body did not come in time", 408) from None
        except web.RequestPayloadError:
            raise BadRequest("the body cannot be read") from None
        return body

    async def pass_on(
        self,
        request: web.BaseRequest,
        name: str,
        stream: AnswerStream,
        response: web.StreamResponse | None = None,
    ) -> web.StreamResponse:
        """Stream an answer to the client; a truncated one ends the connection, so that clients can tell."""
        response = self.drain.mark(response or web.StreamResponse())
        if stream.length is not None:
            response.content_length = stream.length
        elif request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        else:
            response.force_close()
        whole: bool | None = None
        try:
            await response.prepare(request)
            async for piece in stream.pieces():
                await response.write(piece)
            await response.write_eof()
            whole = True
        except BrokenOff:
            whole = False
            if request.transport is not None:
                request.transport.close()  # what was written still goes out
        finally:
            stream.close()
            self.engine.stream_ended(name, whole)
        return response


def last(response: web.Response) -> web.Response:
    """Mark an answer as the last of its connection: the rest of the request's body is not read."""
    response.force_close()
    return response


def answer(final: model.Answer) -> web.Response:
    """A final answer of the core as an HTTP response."""
    match final:
        case model.Served():
            return web.Response(body=final.body)
        case model.Refused():
            return web.Response(status=503, headers=retry_after(final.retry_after))
        case _:
            return web.Response(status=502)


def retry_after(span: timedelta | None) -> dict[str, str]:
    """The Retry-After field in decimal seconds; no field where no time is known."""
    if span is None:
        return {}
    return {"Retry-After": f"{span.total_seconds():.3f}"}
