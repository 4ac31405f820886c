"""Header fields of the S3 protocol: metadata and digests of bodies."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping

from stoatrouter.fronts.objects.errors import ObjectError

MOST_METADATA = 2048  # bytes of names and values
META = "x-amz-meta-"


def read_metadata(headers: Mapping[str, str]) -> tuple[str, dict[str, str]]:
    """The content type and the client's metadata; raises ObjectError where that is too large."""
    metadata = {k.lower().removeprefix(META): v for k, v in headers.items() if k.lower().startswith(META)}
    if sum(len(k) + len(v.encode()) for k, v in metadata.items()) > MOST_METADATA:
        raise ObjectError("InvalidArgument", f"metadata has at most {MOST_METADATA} bytes")
    return headers.get("Content-Type", "application/octet-stream")[:256], metadata


def check_md5(headers: Mapping[str, str], md5: bytes) -> None:
    """Check a body against Content-MD5; raises ObjectError."""
    if (stated := headers.get("Content-MD5")) is None:
        return
    try:
        wanted = base64.b64decode(stated, validate=True)
    except (binascii.Error, ValueError):
        raise ObjectError("InvalidDigest", "Content-MD5 is not base64") from None
    if wanted != md5:
        raise ObjectError("BadDigest", "the body does not match Content-MD5")
