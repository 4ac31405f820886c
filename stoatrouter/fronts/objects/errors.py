"""Errors of object operations, in the terms of the S3 protocol."""

from __future__ import annotations

import math
from datetime import timedelta
from xml.sax.saxutils import escape

from aiohttp import web

STATUS = {
    "AccessDenied": 403,
    "BadDigest": 400,
    "EntityTooLarge": 413,
    "IncompleteBody": 400,
    "InternalError": 500,
    "InvalidArgument": 400,
    "InvalidDigest": 400,
    "InvalidPart": 400,
    "InvalidPartOrder": 400,
    "InvalidRange": 416,
    "InvalidRequest": 400,
    "KeyTooLongError": 400,
    "MalformedXML": 400,
    "MethodNotAllowed": 405,
    "MissingContentLength": 411,
    "NoSuchBucket": 404,
    "NoSuchKey": 404,
    "NoSuchUpload": 404,
    "NotImplemented": 501,
    "PreconditionFailed": 412,
    "RequestTimeout": 400,
    "SlowDown": 503,
}


class ObjectError(Exception):
    """The final answer of an operation that did not succeed."""

    def __init__(
        self,
        code: str,
        message: str,
        retry_in: timedelta | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(f"{code}: {message}")
        self.code, self.message, self.retry_in, self.headers = code, message, retry_in, headers or {}

    @property
    def status(self) -> int:
        """The HTTP status of the error's code."""
        return STATUS[self.code]


def error_response(error: ObjectError, resource: str, request_id: str, body: bool = True) -> web.Response:
    """An error as an S3 response; the answer to HEAD has no body."""
    headers = dict(error.headers)
    if error.retry_in is not None:
        # whole seconds, as clients of this protocol read them
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_in.total_seconds())))
    text = (
        '<?xml version="1.0" encoding="UTF-8"?>\n<Error>'
        f"<Code>{error.code}</Code><Message>{escape(error.message)}</Message>"
        f"<Resource>{escape(resource)}</Resource><RequestId>{request_id}</RequestId></Error>"
    )
    return web.Response(
        status=error.status,
        headers=headers,
        content_type="application/xml",
        body=text.encode("utf-8", "replace") if body else None,
    )
