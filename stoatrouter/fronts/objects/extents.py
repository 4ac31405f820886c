"""The storage format of a body: pieces of at most 64 KiB, and pages of references to them.

A reference holds the name of a piece, its shard, and the number of bytes of the body that it covers.
References of a long body are written as pages, with more levels of pages above them, until few enough
references remain for a manifest or an ETag. Everything is stored on nodes; a head stores nothing.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

MAX_PIECE_BYTES = 64 * 1024  # the largest body of one request of the core
MAGIC = b"SRp1"
DIGEST_BYTES = 12
HEADER_BYTES = len(MAGIC) + DIGEST_BYTES
MAX_PAYLOAD_BYTES = MAX_PIECE_BYTES - HEADER_BYTES
REF_FORMAT = struct.Struct(">8sHQB")
REFS_PER_PAGE = MAX_PAYLOAD_BYTES // REF_FORMAT.size


class BadPiece(Exception):
    """A node returned other data than was written."""


class PieceAddress(NamedTuple):
    """The address of a piece: its name, 16 hexadecimal digits, and its shard."""

    piece: str
    shard: int


@dataclass(slots=True, frozen=True)
class Ref:
    """A reference to a part of a body; at depth 0 the piece holds data, above it a page of references."""

    piece: str
    shard: int
    size: int
    depth: int = 0

    @property
    def address(self) -> PieceAddress:
        """The address of the referenced piece."""
        return PieceAddress(self.piece, self.shard)

    def pack(self) -> bytes:
        """Serialize the reference to REF_FORMAT.size bytes."""
        return REF_FORMAT.pack(bytes.fromhex(self.piece), self.shard, self.size, self.depth)

    @classmethod
    def unpack(cls, data: bytes) -> Ref:
        """Parse the result of `pack`; raises struct.error if the length is wrong."""
        piece, shard, size, depth = REF_FORMAT.unpack(data)
        return cls(piece.hex(), shard, size, depth)


class Overlap(NamedTuple):
    """A reference and a byte range, from `start` up to but excluding `stop`, within its part of a body."""

    ref: Ref
    start: int
    stop: int


def frame(piece: str, payload: bytes) -> bytes:
    """Build a piece from its payload: a header with a digest keyed by the piece's name, then the payload."""
    return MAGIC + digest(piece, payload) + payload


def unframe(piece: str, data: bytes) -> bytes | None:
    """Return the payload of a piece; None if it was never written, for which nodes send an empty body.

    Raises:
        BadPiece: The digest does not match.
    """
    if not data:
        return None
    payload = data[HEADER_BYTES:]
    # Detects an answer that belongs to another piece or is truncated.
    if data[: len(MAGIC)] != MAGIC or data[len(MAGIC) : HEADER_BYTES] != digest(piece, payload):
        raise BadPiece(piece)
    return payload


def digest(piece: str, payload: bytes) -> bytes:
    """Return the digest of a payload, keyed by the piece's name so that no other piece passes for it."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES, key=piece.encode()).digest()


def pack_page(refs: Sequence[Ref]) -> bytes:
    """Serialize references to the payload of a page."""
    return b"".join(ref.pack() for ref in refs)


def unpack_page(payload: bytes) -> list[Ref]:
    """Parse the references of a page; raises BadPiece if the payload is truncated."""
    if len(payload) % REF_FORMAT.size:
        raise BadPiece("a page of references is not whole")
    return [
        Ref.unpack(payload[start : start + REF_FORMAT.size])
        for start in range(0, len(payload), REF_FORMAT.size)
    ]


def find_overlaps(refs: Sequence[Ref], start: int, stop: int) -> list[Overlap]:
    """Find the references that cover the bytes `start` to `stop`, each with its own part of that range."""
    overlaps: list[Overlap] = []
    offset = 0
    for ref in refs:
        low = max(start, offset)
        high = min(stop, offset + ref.size)
        if low < high:
            overlaps.append(Overlap(ref, low - offset, high - offset))
        offset += ref.size
    return overlaps
