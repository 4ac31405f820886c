"""Errors of object operations, as error codes of the S3 protocol."""

from __future__ import annotations

import math
from datetime import timedelta
from enum import StrEnum
from xml.sax.saxutils import escape

from aiohttp import web


class ErrorCode(StrEnum):
    """The error codes of the S3 protocol that this front uses."""

    ACCESS_DENIED = "AccessDenied"
    BAD_DIGEST = "BadDigest"
    ENTITY_TOO_LARGE = "EntityTooLarge"
    INCOMPLETE_BODY = "IncompleteBody"
    INTERNAL_ERROR = "InternalError"
    INVALID_ARGUMENT = "InvalidArgument"
    INVALID_DIGEST = "InvalidDigest"
    INVALID_PART = "InvalidPart"
    INVALID_PART_ORDER = "InvalidPartOrder"
    INVALID_RANGE = "InvalidRange"
    INVALID_REQUEST = "InvalidRequest"
    KEY_TOO_LONG = "KeyTooLongError"
    MALFORMED_XML = "MalformedXML"
    MISSING_CONTENT_LENGTH = "MissingContentLength"
    NO_SUCH_BUCKET = "NoSuchBucket"
    NO_SUCH_KEY = "NoSuchKey"
    NO_SUCH_UPLOAD = "NoSuchUpload"
    NOT_IMPLEMENTED = "NotImplemented"
    PRECONDITION_FAILED = "PreconditionFailed"
    REQUEST_TIMEOUT = "RequestTimeout"
    SLOW_DOWN = "SlowDown"


STATUSES = {
    ErrorCode.ACCESS_DENIED: 403,
    ErrorCode.BAD_DIGEST: 400,
    ErrorCode.ENTITY_TOO_LARGE: 413,
    ErrorCode.INCOMPLETE_BODY: 400,
    ErrorCode.INTERNAL_ERROR: 500,
    ErrorCode.INVALID_ARGUMENT: 400,
    ErrorCode.INVALID_DIGEST: 400,
    ErrorCode.INVALID_PART: 400,
    ErrorCode.INVALID_PART_ORDER: 400,
    ErrorCode.INVALID_RANGE: 416,
    ErrorCode.INVALID_REQUEST: 400,
    ErrorCode.KEY_TOO_LONG: 400,
    ErrorCode.MALFORMED_XML: 400,
    ErrorCode.MISSING_CONTENT_LENGTH: 411,
    ErrorCode.NO_SUCH_BUCKET: 404,
    ErrorCode.NO_SUCH_KEY: 404,
    ErrorCode.NO_SUCH_UPLOAD: 404,
    ErrorCode.NOT_IMPLEMENTED: 501,
    ErrorCode.PRECONDITION_FAILED: 412,
    ErrorCode.REQUEST_TIMEOUT: 400,
    ErrorCode.SLOW_DOWN: 503,
}


class ObjectError(Exception):
    """An operation failed; the error determines its answer."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        retry_after: timedelta | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Create the error of a failed operation.

        Args:
            code: The S3 error code, which implies the HTTP status.
            message: A description of the failure for the client.
            retry_after: The delay after which the client may retry; None: unknown.
            headers: Additional header fields of the response.
        """
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.retry_after = retry_after
        self.headers = headers or {}

    @property
    def status(self) -> int:
        """The HTTP status of the error's code."""
        return STATUSES[self.code]


def error_response(
    error: ObjectError, resource: str, request_id: str, with_body: bool = True
) -> web.Response:
    """Build the S3 response for an error; without a body for a HEAD request."""
    headers = dict(error.headers)
    if error.retry_after is not None:
        # S3 clients expect whole seconds
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after.total_seconds())))
    text = (
        '<?xml version="1.0" encoding="UTF-8"?>\n<Error>'
        f"<Code>{error.code}</Code><Message>{escape(error.message)}</Message>"
        f"<Resource>{escape(resource)}</Resource><RequestId>{request_id}</RequestId></Error>"
    )
    return web.Response(
        status=error.status,
        headers=headers,
        content_type="application/xml",
        body=text.encode("utf-8", "replace") if with_body else None,
    )
