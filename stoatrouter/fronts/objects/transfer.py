"""Receives and sends bodies on a client's connection, with checks of length and a timeout for stalls."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp import web
from loguru import logger

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError

MAX_BODY_BYTES = 5 << 30  # of an object or a part: 5 GiB
STALL_TIMEOUT = timedelta(seconds=60)  # a client may send or read nothing for this long


async def receive_body(request: web.BaseRequest) -> AsyncIterator[bytes]:
    """Yield a call's body as it arrives, and check it against Content-Length.

    Raises:
        ObjectError: The body's encoding is not supported, or it is too large or incomplete.
    """
    length = check_framing(request)
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    size = 0
    while chunk := await receive_chunk(request):
        size += len(chunk)
        yield chunk
    if size != length:  # the client disconnected early; the incomplete body is not stored as an object
        raise ObjectError(ErrorCode.INCOMPLETE_BODY, "the body ended early")


def check_framing(request: web.BaseRequest) -> int:
    """Check a body's framing and return its length in bytes; raises ObjectError."""
    encoding = request.headers.get("Content-Encoding", "")
    signed = request.headers.get("x-amz-content-sha256", "").startswith("STREAMING")
    # The framing of signed chunks would be stored as part of the object.
    if signed or "aws-chunked" in encoding:
        raise ObjectError(ErrorCode.NOT_IMPLEMENTED, "signed chunks are not served: send the body as it is")
    length = request.content_length
    if length is None:
        raise ObjectError(ErrorCode.MISSING_CONTENT_LENGTH, "Content-Length is needed")
    if length > MAX_BODY_BYTES:
        raise ObjectError(ErrorCode.ENTITY_TOO_LARGE, "a body has at most 5 GiB")
    return length


async def receive_chunk(request: web.BaseRequest) -> bytes:
    """Receive the next bytes of a body, none at its end; raises ObjectError if the client stalls."""
    try:
        async with asyncio.timeout(STALL_TIMEOUT.total_seconds()):
            return await request.content.readany()
    except TimeoutError:
        # The number of concurrent operations is limited; a stalled client must not hold one for ever.
        raise ObjectError(ErrorCode.REQUEST_TIMEOUT, "the body stalled") from None


async def send_body(
    request: web.BaseRequest, response: web.StreamResponse, body: AsyncIterator[bytes]
) -> None:
    """Send a response with its body.

    The first chunk of the body is read before the status is sent, so an early error gets an error status.
    """
    first = await anext(body, b"")
    await response.prepare(request)
    try:
        await send_chunk(response, first)
        async for chunk in body:
            await send_chunk(response, chunk)
    except (ObjectError, TimeoutError) as error:
        # The connection is aborted before Content-Length is reached, so that the client notices the
        # truncation; it can request the rest with a range.
        logger.warning(
            "objects: a response was truncated: {reason}",
            event="objects.cut",
            reason=str(error) or "the client stalled",
        )
        if request.transport is not None:
            request.transport.abort()
        response.force_close()
        return
    await response.write_eof()


async def send_chunk(response: web.StreamResponse, chunk: bytes) -> None:
    """Send some bytes of a body; raises TimeoutError if the client stalls."""
    async with asyncio.timeout(STALL_TIMEOUT.total_seconds()):
        await response.write(chunk)
