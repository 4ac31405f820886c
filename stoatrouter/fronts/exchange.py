"""Shared code of the HTTP-based fronts: reads bodies, streams answers and builds responses.

An exchange is one HTTP request with its one response (RFC 9110, 3.4). Each front itself translates requests
of its protocol to requests of the core.
"""

from __future__ import annotations

from datetime import timedelta

from aiohttp import HttpVersion11, web

from stoatrouter.core import model
from stoatrouter.net.answer_stream import AnswerStream
from stoatrouter.net.bodies import Body, BodyCapacity, StoredBody, read_body
from stoatrouter.net.client_table import CloseReason
from stoatrouter.net.clients import request_memory
from stoatrouter.net.engine import Engine
from stoatrouter.net.errors import IncompleteAnswer, NoCapacity, TooLarge, TooSlow
from stoatrouter.net.listener import Drain

MIN_RETRY_AFTER = timedelta(milliseconds=1)  # the least that three decimals of seconds can express
HEALTH_PATH = "/healthz"


class BadRequest(Exception):
    """The client's request is malformed; it never reaches the core."""

    def __init__(self, reason: str, status: int = 400) -> None:
        """Create an error about a malformed request.

        Args:
            reason: What is wrong with the request, sent to the client as the body of the response.
            status: The HTTP status of the response.
        """
        super().__init__(reason)
        self.reason = reason
        self.status = status


class ExchangeFront:
    """Base class of the fronts that translate each HTTP request to one request of the core."""

    def __init__(self, engine: Engine, drain: Drain, body_capacity: BodyCapacity) -> None:
        """Serve requests with one engine.

        Args:
            engine: Serves the requests of the core.
            drain: Tells whether the head is draining; if so, responses close their connections.
            body_capacity: Limits the space for stored request bodies.
        """
        self.engine = engine
        self.drain = drain
        self.body_capacity = body_capacity

    async def read_body(self, request: web.BaseRequest) -> Body:
        """Read the complete body; the caller must release it with `release_body`.

        Raises:
            BadRequest: The body is too large, too slow or malformed.
            NoCapacity: Too many requests are open, there is no memory for another one, or this head ends
                before the body is complete.
        """
        if not self.drain.may_receive(request):
            raise NoCapacity("too much is being received")
        try:
            async with self.drain.receiving():
                body = await self._receive_body(request)
        except TimeoutError:
            raise NoCapacity("the head ends before the body is complete") from None
        if not self.drain.may_serve(request):
            release_body(body)
            raise NoCapacity("too many requests are open")
        return body

    async def _receive_body(self, request: web.BaseRequest) -> Body:
        try:
            return await read_body(request, self.body_capacity, request_memory(request))
        except TooLarge:
            raise BadRequest("the body is too large", 413) from None
        except TooSlow:
            self.drain.clients.closes[CloseReason.BODY_TIMEOUT] += 1
            raise BadRequest("the body did not come in time", 408) from None
        except web.RequestPayloadError:
            raise BadRequest("the body cannot be read") from None

    def reject_overloaded(self, request: web.BaseRequest, request_class: int) -> web.Response:
        """Reject a request for lack of capacity, without reading what is missing of its body."""
        rejection = self.reject(request_class)
        return self.drain.mark(rejection) if request.content.is_eof() else close_after(rejection)

    def reject(self, request_class: int) -> web.Response:
        """Build the rejection of a request of a class for lack of capacity."""
        return answer_response(self.engine.reject(request_class))

    def refuses_stream(
        self, request: web.BaseRequest, translated: model.Request, answer: model.Served
    ) -> bool:
        """Return whether a streamed answer has to be refused, as too many are streamed; it is then released.

        Only requests that may be repeated are refused: an answer that cannot be had again is passed on.
        """
        if self.drain.may_stream(request) or not self.engine.reducer.is_safe(translated.request_class):
            return False
        self.engine.discard_answer(translated.id, answer)
        return True

    async def stream_answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        stream: AnswerStream,
        response: web.StreamResponse | None = None,
    ) -> web.StreamResponse:
        """Stream an answer to the client; close the connection after a truncated one, so that clients notice.

        Args:
            request: The client's request.
            request_id: The id of the core's request, for reporting to the engine how the stream ended.
            stream: The body of the answer.
            response: The status and header fields of the response; None: a plain 200.
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
        except IncompleteAnswer:
            complete = False
            if request.transport is not None:
                request.transport.close()  # data already written is still sent
        finally:
            stream.close()
            self.engine.stream_ended(request_id, complete)
        return response


def frame_response(request: web.BaseRequest, response: web.StreamResponse, length: int | None) -> None:
    """Frame a streamed response by its length in bytes, else by chunks, or by close for HTTP/1.0."""
    if length is not None:
        response.content_length = length
    elif request.version >= HttpVersion11:
        response.enable_chunked_encoding()
    else:
        response.force_close()


def check_expectation(request: web.BaseRequest) -> None:
    """Check that the Expect field, if present, can be met (RFC 9110, 10.1.1); raises BadRequest."""
    if request.headers.get("Expect", "100-continue").lower() != "100-continue":
        raise BadRequest("an expectation that cannot be met", 417)


def release_body(body: Body) -> None:
    """Release the disk space of a body; may be called more than once."""
    if isinstance(body, StoredBody):
        body.close()


def close_after(response: web.Response) -> web.Response:
    """Mark a response to close its connection, because the rest of the request's body is not read."""
    response.force_close()
    return response


def answer_response(answer: model.Answer) -> web.Response:
    """Build the HTTP response for an answer of the core that is not streamed."""
    match answer:
        case model.Served():
            return web.Response(body=answer.body)
        case model.Refused():
            return web.Response(status=503, headers=retry_after_field(answer.retry_after))
        case _:
            return web.Response(status=502)


def retry_after_field(delay: timedelta | None) -> dict[str, str]:
    """Build the Retry-After field in decimal seconds; no field if the delay is unknown.

    A delay below MIN_RETRY_AFTER is rounded up to it, because 0 would tell the client to retry at once.
    """
    if delay is None:
        return {}
    shown_delay = max(delay, MIN_RETRY_AFTER) if delay else delay
    return {"Retry-After": f"{shown_delay.total_seconds():.3f}"}
