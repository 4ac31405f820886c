"""What fronts over HTTP have in common: reading a body, streaming an answer, final answers on the wire.

An exchange is one HTTP request with its one response (RFC 9110, 3.4). How a request of a protocol becomes
one of the core is known to the fronts alone.
"""

from __future__ import annotations

from datetime import timedelta

from aiohttp import HttpVersion11, web

from stoatrouter.core import model
from stoatrouter.net.answer_stream import AnswerStream
from stoatrouter.net.bodies import Body, BodyCapacity, StoredBody, read_body
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import BrokenOff, TooLarge, TooSlow
from stoatrouter.net.listener import Drain

MIN_RETRY_AFTER = timedelta(milliseconds=1)  # that a Retry-After field of three decimals can say
HEALTH_PATH = "/healthz"


class BadRequest(Exception):
    """The client's request is malformed; it never reaches the core."""

    def __init__(self, reason: str, status: int = 400) -> None:
        """Describe the fault of a request.

        Args:
            reason: What is wrong with the request; the client reads it as the body of the response.
            status: The HTTP status of the response.
        """
        super().__init__(reason)
        self.reason = reason
        self.status = status


class ExchangeFront:
    """Base of the fronts that make one request of the core out of one HTTP request."""

    def __init__(self, engine: Engine, drain: Drain, body_capacity: BodyCapacity) -> None:
        """Serve requests by one engine.

        Args:
            engine: Serves the requests of the core.
            drain: Whether the head is draining, and so whether responses end their connections.
            body_capacity: What large request bodies may take while they are stored.
        """
        self.engine = engine
        self.drain = drain
        self.body_capacity = body_capacity

    async def read_body(self, request: web.BaseRequest) -> Body:
        """Read the complete body; the caller releases it with `release_body`.

        Raises:
            BadRequest: The body is too large, too slow or malformed.
            NoCapacity: Other stored bodies leave no capacity for this one.
        """
        try:
            return await read_body(request, self.body_capacity)
        except TooLarge:
            raise BadRequest("the body is too large", 413) from None
        except TooSlow:
            raise BadRequest("the body did not come in time", 408) from None
        except web.RequestPayloadError:
            raise BadRequest("the body cannot be read") from None

    def reject_overloaded(self, request: web.BaseRequest, request_class: int) -> web.Response:
        """Reject a request whose body was not read, as too many requests are open."""
        rejection = self.reject(request_class)
        return close_after(rejection) if request.body_exists else self.drain.mark(rejection)

    def reject(self, request_class: int) -> web.Response:
        """Reject a request of a class for lack of capacity."""
        return answer_response(self.engine.reject(request_class))

    async def stream_answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        stream: AnswerStream,
        response: web.StreamResponse | None = None,
    ) -> web.StreamResponse:
        """Stream an answer to the client; a truncated one ends the connection, so that clients can tell.

        The response has the status and header fields of `response`; without one it is a plain 200. How the
        stream ended is reported to the engine under `request_id`, the id of the core's request.
        """
        response = self.drain.mark(response or web.StreamResponse())
        frame_response(request, response, stream.length)
        complete: bool | None = None
        try:
            await response.prepare(request)
            async for chunk in stream.pieces():
                await response.write(chunk)
            await response.write_eof()
            complete = True
        except BrokenOff:
            complete = False
            if request.transport is not None:
                request.transport.close()  # what was written still goes out
        finally:
            stream.close()
            self.engine.stream_ended(request_id, complete)
        return response


def frame_response(request: web.BaseRequest, response: web.StreamResponse, length: int | None) -> None:
    """Frame a streamed response by its length in bytes, else by what the client's HTTP version has for it."""
    if length is not None:
        response.content_length = length
    elif request.version >= HttpVersion11:
        response.enable_chunked_encoding()
    else:
        response.force_close()


def check_expectation(request: web.BaseRequest) -> None:
    """Check that the Expect field, where there is one, can be met (RFC 9110, 10.1.1); raises BadRequest."""
    if request.headers.get("Expect", "100-continue").lower() != "100-continue":
        raise BadRequest("an expectation that cannot be met", 417)


def release_body(body: Body) -> None:
    """Release what a body takes on the disk; calling it again changes nothing."""
    if isinstance(body, StoredBody):
        body.close()


def close_after(response: web.Response) -> web.Response:
    """Let the connection end with a response: the rest of the request's body is not read."""
    response.force_close()
    return response


def answer_response(answer: model.Answer) -> web.Response:
    """Build the HTTP response for a final answer of the core that is not streamed."""
    match answer:
        case model.Served():
            return web.Response(body=answer.body)
        case model.Refused():
            return web.Response(status=503, headers=retry_after_field(answer.retry_after))
        case _:
            return web.Response(status=502)


def retry_after_field(delay: timedelta | None) -> dict[str, str]:
    """Build the Retry-After field in decimal seconds; no field where no time is known.

    A wait shorter than the field can say is said as the least that it can: 0 would mean at once.
    """
    if delay is None:
        return {}
    printed = max(delay, MIN_RETRY_AFTER) if delay else delay
    return {"Retry-After": f"{printed.total_seconds():.3f}"}
