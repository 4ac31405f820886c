"""Upload ids and ETags of parts: state of uploads, authenticated, that clients carry.

A head has no disk and may restart at any time, and the next call of an upload may come through another head.
So both carry what is needed, under a MAC with the secret that all heads of the operator share.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import secrets
import struct
from dataclasses import dataclass

from stoatrouter.fronts.objects.extents import REF, Ref

MAC = 16
NONCE = 16
PART = struct.Struct(">H16sB")  # number, MD5, whether a reference follows (an empty part has none)


@dataclass(slots=True, frozen=True)
class Part:
    """A part of an upload, as its ETag describes it."""

    number: int
    md5: bytes
    ref: Ref | None


class Tokens:
    """Issues and checks tokens."""

    def __init__(self, secret: bytes) -> None:
        self.secret = secret

    def mac(self, purpose: str, *fields: bytes) -> bytes:
        """A MAC over fields; each is preceded by its length, so that fields cannot run into one another."""
        state = hmac.new(self.secret, digestmod=hashlib.sha256)
        for field in (purpose.encode(), *fields):
            state.update(struct.pack(">I", len(field)) + field)
        return state.digest()[:MAC]

    def new_upload(self, bucket: str, key: str) -> str:
        """A fresh upload id, bound to the bucket and key."""
        nonce = secrets.token_bytes(NONCE)
        return encode(nonce + self.mac("upload", bucket.encode(), key.encode(), nonce))

    def is_upload(self, bucket: str, key: str, upload: str) -> bool:
        """Whether an upload id was issued by a head of this operator for this object."""
        data = decode(upload)
        if len(data) != NONCE + MAC:
            return False
        return hmac.compare_digest(
            data[NONCE:], self.mac("upload", bucket.encode(), key.encode(), data[:NONCE])
        )

    def part_etag(self, upload: str, part: Part) -> str:
        """The ETag of a part, which carries its MD5 and reference under a MAC."""
        data = PART.pack(part.number, part.md5, part.ref is not None)
        data += part.ref.pack() if part.ref is not None else b""
        return encode(data + self.mac("part", upload.encode(), data))

    def read_part(self, upload: str, etag: str) -> Part | None:
        """The part that an ETag describes; None where it was not issued for this upload."""
        data = decode(etag)
        body, mac = data[:-MAC], data[-MAC:]
        if not hmac.compare_digest(mac, self.mac("part", upload.encode(), body)):
            return None
        number, md5, more = PART.unpack(body[: PART.size])
        ref = Ref.unpack(body[PART.size : PART.size + REF.size]) if more else None
        return Part(number, md5, ref)

    def place(self, purpose: str, shards: int, *fields: str) -> tuple[str, int]:
        """The piece and shard that follow from a name alone."""
        data = self.mac(purpose, *(f.encode() for f in fields))
        return data[:8].hex(), int.from_bytes(data[8:16], "big") % shards


def encode(data: bytes) -> str:
    """Bytes as a token: URL-safe base64 without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def decode(text: str) -> bytes:
    """The bytes of a token; empty where the text is malformed."""
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return b""
