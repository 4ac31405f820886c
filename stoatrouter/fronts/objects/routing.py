"""Routes a call to an operation by its method, path, query and header fields; does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError

MAX_KEY_BYTES = 1024  # the limit of S3
# Query parameters of supported calls; any other one belongs to a call that is not supported.
QUERY_FIELDS = {"uploads", "uploadId", "partNumber", "x-id"}
IGNORED_QUERY_FIELDS = {"x-id"}  # only repeats the operation's name
UNSUPPORTED_HEADERS = (
    "x-amz-copy-source",
    "x-amz-tagging",
    "x-amz-object-lock-mode",
    "x-amz-acl",
    "x-amz-server-side-encryption",
    "x-amz-server-side-encryption-customer-algorithm",
    "x-amz-website-redirect-location",
)


class Operation(StrEnum):
    """The operations of the protocol; rules read these names as `object.operation`."""

    READ = "read"
    WRITE = "write"
    INITIATE = "initiate"
    WRITE_PART = "write-part"
    COMPLETE = "complete"
    ABORT = "abort"
    OTHER = "other"  # not supported


# Keyed by the method and the sorted names of the query parameters.
OPERATIONS = {
    ("GET",): Operation.READ,
    ("HEAD",): Operation.READ,
    ("PUT",): Operation.WRITE,
    ("POST", "uploads"): Operation.INITIATE,
    ("PUT", "partNumber", "uploadId"): Operation.WRITE_PART,
    ("POST", "uploadId"): Operation.COMPLETE,
    ("DELETE", "uploadId"): Operation.ABORT,
}


class ObjectPath(NamedTuple):
    """The path of a call: /bucket/key."""

    bucket: str
    encoded_key: str


def split_path(path: str) -> ObjectPath:
    """Split a path into bucket and key; raises ObjectError if there is no key."""
    bucket, _, encoded_key = path.removeprefix("/").partition("/")
    if not bucket or not encoded_key:
        raise ObjectError(ErrorCode.NOT_IMPLEMENTED, "calls on buckets and listings are not served")
    return ObjectPath(bucket, encoded_key)


def decode_key(encoded_key: str) -> str:
    """Percent-decode a key, without normalizing it otherwise; raises ObjectError."""
    try:
        key = unquote(encoded_key, errors="strict")
    except UnicodeDecodeError:
        raise ObjectError(ErrorCode.INVALID_ARGUMENT, "the key is not UTF-8") from None
    if len(key.encode()) > MAX_KEY_BYTES:
        raise ObjectError(ErrorCode.KEY_TOO_LONG, f"a key has at most {MAX_KEY_BYTES} bytes")
    return key


def parse_query(query: str) -> dict[str, str]:
    """Parse the query of a request target; the last value of a repeated parameter counts."""
    return dict(parse_qsl(query, keep_blank_values=True))


def check_supported(query: Mapping[str, str], headers: Mapping[str, str]) -> None:
    """Check that no query parameter or header field asks for an unsupported feature; raises ObjectError."""
    unknown = query.keys() - QUERY_FIELDS
    if unknown:
        raise ObjectError(ErrorCode.NOT_IMPLEMENTED, f"not served: {min(unknown)}")
    for name in UNSUPPORTED_HEADERS:
        if name in headers:
            raise ObjectError(ErrorCode.NOT_IMPLEMENTED, f"not served: {name}")


def find_operation(method: str, query: Mapping[str, str]) -> Operation:
    """Return the operation of a call; OTHER if it is not supported."""
    signature = (method, *sorted(query.keys() - IGNORED_QUERY_FIELDS))
    return OPERATIONS.get(signature, Operation.OTHER)
