"""Bodies on a client's connection: received with their stated length, sent without standing still."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp import web
from loguru import logger

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError

MAX_BODY_BYTES = 5 << 30  # of an object or a part
STALL_TIMEOUT = timedelta(seconds=60)  # how long a client may send or read nothing


async def receive_body(request: web.BaseRequest) -> AsyncIterator[bytes]:
    """Yield a call's body as it arrives, of exactly the length that was stated.

    Raises:
        ObjectError: The body is not served, too large, or does not arrive complete.
    """
    length = check_framing(request)
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    size = 0
    while chunk := await receive_chunk(request):
        size += len(chunk)
        yield chunk
    if size != length:  # the client went away: what has arrived is no object
        raise ObjectError(ErrorCode.INCOMPLETE_BODY, "the body ended early")


def check_framing(request: web.BaseRequest) -> int:
    """Check how a body is framed and return its length in bytes; raises ObjectError."""
    encoding = request.headers.get("Content-Encoding", "")
    signed = request.headers.get("x-amz-content-sha256", "").startswith("STREAMING")
    # Guards against framing that would be stored as if it were the object's bytes.
    if signed or "aws-chunked" in encoding:
        raise ObjectError(ErrorCode.NOT_IMPLEMENTED, "signed chunks are not served: send the body as it is")
    length = request.content_length
    if length is None:
        raise ObjectError(ErrorCode.MISSING_CONTENT_LENGTH, "Content-Length is needed")
    if length > MAX_BODY_BYTES:
        raise ObjectError(ErrorCode.ENTITY_TOO_LARGE, "a body has at most 5 GiB")
    return length


async def receive_chunk(request: web.BaseRequest) -> bytes:
    """Receive the next bytes of a body, none at its end; raises ObjectError where the client stalls."""
    try:
        async with asyncio.timeout(STALL_TIMEOUT.total_seconds()):
            return await request.content.readany()
    except TimeoutError:
        # Guards the operations that may run at once: a client that stalls must not hold one for ever.
        raise ObjectError(ErrorCode.REQUEST_TIMEOUT, "the body stalled") from None


async def send_body(
    request: web.BaseRequest, response: web.StreamResponse, body: AsyncIterator[bytes]
) -> None:
    """Send a response with its body.

    The body's first chunk is read before the status goes out, so an error at its start is answered as one.
    """
    first = await anext(body, b"")
    await response.prepare(request)
    try:
        await send_chunk(response, first)
        async for chunk in body:
            await send_chunk(response, chunk)
    except (ObjectError, TimeoutError) as error:
        # Guards against a short answer taken for a complete one: the connection breaks before the length
        # that was promised, which a client can see; it may ask for the rest by a range.
        logger.warning(
            "objects: an answer was cut: {reason}",
            event="objects.cut",
            reason=str(error) or "its reader stalled",
        )
        if request.transport is not None:
            request.transport.abort()
        response.force_close()
        return
    await response.write_eof()


async def send_chunk(response: web.StreamResponse, chunk: bytes) -> None:
    """Send some bytes of a body; raises TimeoutError where the client stalls."""
    async with asyncio.timeout(STALL_TIMEOUT.total_seconds()):
        await response.write(chunk)
