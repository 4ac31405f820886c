"""Reads header fields of the S3 protocol: metadata and digests of bodies."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from typing import NamedTuple

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError

MAX_METADATA_BYTES = 2048  # names and values together
MAX_CONTENT_TYPE_LENGTH = 256  # characters; longer values are truncated
METADATA_PREFIX = "x-amz-meta-"


class ContentHeaders(NamedTuple):
    """The content type and metadata that a client gives an object; each read returns them."""

    content_type: str
    metadata: dict[str, str]  # by lower-case name without METADATA_PREFIX


def read_content_headers(headers: Mapping[str, str]) -> ContentHeaders:
    """Read the content type and the client's metadata; raises ObjectError if the metadata is too large."""
    metadata = {
        name.lower().removeprefix(METADATA_PREFIX): value
        for name, value in headers.items()
        if name.lower().startswith(METADATA_PREFIX)
    }
    if sum(len(name) + len(value.encode()) for name, value in metadata.items()) > MAX_METADATA_BYTES:
        raise ObjectError(ErrorCode.INVALID_ARGUMENT, f"metadata has at most {MAX_METADATA_BYTES} bytes")
    content_type = headers.get("Content-Type", "application/octet-stream")
    return ContentHeaders(content_type[:MAX_CONTENT_TYPE_LENGTH], metadata)


def check_md5(headers: Mapping[str, str], md5: bytes) -> None:
    """Check a body against Content-MD5 (RFC 1864); raises ObjectError if it differs or is malformed."""
    encoded = headers.get("Content-MD5")
    if encoded is None:
        return
    try:
        expected = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        raise ObjectError(ErrorCode.INVALID_DIGEST, "Content-MD5 is not base64") from None
    if expected != md5:
        raise ObjectError(ErrorCode.BAD_DIGEST, "the body does not match Content-MD5")
