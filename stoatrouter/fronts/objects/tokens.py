"""Upload ids and ETags of parts: authenticated tokens that carry the state of uploads.

A head stores no uploads and may restart at any time, and the next call of an upload may reach another head.
Clients therefore carry the state, under a MAC with a secret that all heads of the operator share.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import secrets
import struct
from dataclasses import dataclass

from stoatrouter.fronts.objects.extents import REF_FORMAT, PieceAddress, Ref

MAC_BYTES = 16  # of HMAC-SHA256 (RFC 2104), truncated
NONCE_BYTES = 16
PART_FORMAT = struct.Struct(">H16sB")  # number, MD5, whether a reference follows (not for an empty part)


@dataclass(slots=True, frozen=True)
class Part:
    """A part of an upload, as encoded in its ETag."""

    number: int
    md5: bytes
    ref: Ref | None


class Tokens:
    """Issues and checks tokens."""

    def __init__(self, secret: bytes) -> None:
        """Authenticate tokens with a secret.

        Args:
            secret: The operator's secret, the same on all heads.
        """
        self.secret = secret

    def compute_mac(self, purpose: str, *fields: bytes) -> bytes:
        """Compute a MAC over fields, each preceded by its length so that field boundaries are unambiguous."""
        state = hmac.new(self.secret, digestmod=hashlib.sha256)
        for field in (purpose.encode(), *fields):
            state.update(struct.pack(">I", len(field)) + field)
        return state.digest()[:MAC_BYTES]

    def issue_upload_id(self, bucket: str, key: str) -> str:
        """Issue a new upload id, bound to the bucket and key."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return encode(nonce + self.compute_mac("upload", bucket.encode(), key.encode(), nonce))

    def is_upload_id(self, bucket: str, key: str, upload: str) -> bool:
        """Return whether an upload id was issued for this object by a head with the same secret."""
        data = decode(upload)
        if len(data) != NONCE_BYTES + MAC_BYTES:
            return False
        expected = self.compute_mac("upload", bucket.encode(), key.encode(), data[:NONCE_BYTES])
        return hmac.compare_digest(data[NONCE_BYTES:], expected)

    def issue_part_etag(self, upload: str, part: Part) -> str:
        """Issue the ETag of a part, which contains its MD5 and reference under a MAC."""
        data = PART_FORMAT.pack(part.number, part.md5, part.ref is not None)
        if part.ref is not None:
            data += part.ref.pack()
        return encode(data + self.compute_mac("part", upload.encode(), data))

    def read_part(self, upload: str, etag: str) -> Part | None:
        """Return the part that an ETag describes; None if it was not issued for this upload."""
        data = decode(etag)
        content, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self.compute_mac("part", upload.encode(), content)):
            return None
        number, md5, has_ref = PART_FORMAT.unpack(content[: PART_FORMAT.size])
        ref = Ref.unpack(content[PART_FORMAT.size : PART_FORMAT.size + REF_FORMAT.size]) if has_ref else None
        return Part(number, md5, ref)

    def derive_address(self, purpose: str, shards: int, *fields: str) -> PieceAddress:
        """Derive the address of a piece from names alone, identically on all heads."""
        mac = self.compute_mac(purpose, *(field.encode() for field in fields))
        return PieceAddress(mac[:8].hex(), int.from_bytes(mac[8:16], "big") % shards)


def encode(data: bytes) -> str:
    """Encode bytes as a token: URL-safe base64 without padding (RFC 4648, 5)."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def decode(text: str) -> bytes:
    """Decode a token; return empty bytes if the text is malformed."""
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return b""
