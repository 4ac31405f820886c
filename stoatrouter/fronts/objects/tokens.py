"""Upload ids and ETags of parts: authenticated tokens that carry the state of uploads.

A head stores no uploads and may restart at any time, and the next call of an upload may reach another head.
Clients therefore carry the state, under a MAC with a secret that all heads of the operator share.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import math
import secrets
import struct
from dataclasses import dataclass

from stoatrouter.fronts.objects.extents import REF_FORMAT, PieceAddress, Ref

MAC_BYTES = 16  # of HMAC-SHA256 (RFC 2104), truncated
NONCE_BYTES = 16
# Of the present number of shards: a record of an older version is looked for as if there had been no fewer.
FEWEST_SHARDS = 0.5
# Of the linear congruential generator of jump_places.
JUMP_FACTOR = 2862933555777941757
MAX_KEY = (1 << 64) - 1
JUMP_SCALE = float(1 << 31)
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

    def derive_addresses(self, purpose: str, shards: int, *fields: str) -> list[PieceAddress]:
        """Derive the addresses of a piece from names alone, identically on all heads.

        The first is that of a piece written now. The others, newest first, are those that it may have been
        written to while there were fewer shards. Last come those of older versions, which took the place
        modulo the number of shards, down to the fraction FEWEST_SHARDS.
        """
        mac = self.compute_mac(purpose, *(field.encode() for field in fields))
        piece, place = mac[:8].hex(), int.from_bytes(mac[8:16], "big")
        fewest = max(1, math.floor(shards * FEWEST_SHARDS))
        by_modulo = [place % count for count in range(shards, fewest - 1, -1)]
        places = dict.fromkeys([*jump_places(place, shards), *by_modulo])
        return [PieceAddress(piece, shard) for shard in places]


def jump_places(key: int, shards: int) -> list[int]:
    """Return the shard of a 64-bit key among `shards`, and before it those it had among fewer, newest first.

    Jump consistent hash (Lamping, Veach, 2014): with each further shard a key stays where it is or moves to
    that one, so an older place is never taken for a newer one.
    """
    places = []
    shard, following = -1, 0
    while following < shards:
        shard = following
        places.append(shard)
        key = (key * JUMP_FACTOR + 1) & MAX_KEY
        following = int((shard + 1) * (JUMP_SCALE / ((key >> 33) + 1)))
    return places[::-1]


def encode(data: bytes) -> str:
    """Encode bytes as a token: URL-safe base64 without padding (RFC 4648, 5)."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def decode(text: str) -> bytes:
    """Decode a token; return empty bytes if the text is malformed."""
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return b""
