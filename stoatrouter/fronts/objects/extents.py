"""How a body is stored on nodes: pieces of at most 64 KiB, and pages of references to them.

A reference names a piece, the shard that took it, and how many bytes of the body lie below it. References of
a long body are themselves written as pages, with pages of pages above them, until few enough are left for a
manifest or an ETag. A head stores none of this.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

MAX_PIECE_BYTES = 64 * 1024  # bytes: what one request of the core may carry
MAGIC = b"SRp1"
DIGEST_BYTES = 12  # bytes
HEADER_BYTES = len(MAGIC) + DIGEST_BYTES
MAX_PAYLOAD_BYTES = MAX_PIECE_BYTES - HEADER_BYTES
REF_FORMAT = struct.Struct(">8sHQB")
REFS_PER_PAGE = MAX_PAYLOAD_BYTES // REF_FORMAT.size


class BadPiece(Exception):
    """A node returned something else than was written."""


class PieceAddress(NamedTuple):
    """Where a piece lies: its name, 16 hexadecimal digits, and its shard."""

    piece: str
    shard: int


@dataclass(slots=True, frozen=True)
class Ref:
    """A reference to a part of a body; with depth 0 the piece holds the bytes, else references."""

    piece: str
    shard: int
    size: int
    depth: int = 0

    @property
    def address(self) -> PieceAddress:
        """Where the referenced piece lies."""
        return PieceAddress(self.piece, self.shard)

    def pack(self) -> bytes:
        """Serialize the reference to REF_FORMAT.size bytes."""
        return REF_FORMAT.pack(bytes.fromhex(self.piece), self.shard, self.size, self.depth)

    @classmethod
    def unpack(cls, data: bytes) -> Ref:
        """Parse what `pack` wrote; raises struct.error where the length is wrong."""
        piece, shard, size, depth = REF_FORMAT.unpack(data)
        return cls(piece.hex(), shard, size, depth)


class Overlap(NamedTuple):
    """A reference with the bytes `start` to `stop` of its own part of a body, `stop` excluded."""

    ref: Ref
    start: int
    stop: int


def frame(piece: str, payload: bytes) -> bytes:
    """Frame a payload as it is written to a piece: behind a digest that is keyed by the piece's name."""
    return MAGIC + digest(piece, payload) + payload


def unframe(piece: str, data: bytes) -> bytes | None:
    """Return the payload of a piece; None where it was never written, as nodes then send an empty body.

    Raises:
        BadPiece: The digest does not match.
    """
    if not data:
        return None
    payload = data[HEADER_BYTES:]
    # Guards against an answer that belongs to another piece, or is truncated.
    if data[: len(MAGIC)] != MAGIC or data[len(MAGIC) : HEADER_BYTES] != digest(piece, payload):
        raise BadPiece(piece)
    return payload


def digest(piece: str, payload: bytes) -> bytes:
    """The keyed digest of a payload, by which a piece under another name is rejected."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES, key=piece.encode()).digest()


def pack_page(refs: Sequence[Ref]) -> bytes:
    """Serialize references, one after the other, to the payload of a page."""
    return b"".join(ref.pack() for ref in refs)


def unpack_page(payload: bytes) -> list[Ref]:
    """Parse the references of a page; raises BadPiece where the payload is truncated."""
    if len(payload) % REF_FORMAT.size:
        raise BadPiece("a page of references is not whole")
    return [
        Ref.unpack(payload[start : start + REF_FORMAT.size])
        for start in range(0, len(payload), REF_FORMAT.size)
    ]


def find_overlaps(refs: Sequence[Ref], start: int, stop: int) -> list[Overlap]:
    """Find the references that hold the bytes `start` to `stop`, each with its own part of that range."""
    overlaps: list[Overlap] = []
    offset = 0
    for ref in refs:
        low = max(start, offset)
        high = min(stop, offset + ref.size)
        if low < high:
            overlaps.append(Overlap(ref, low - offset, high - offset))
        offset += ref.size
    return overlaps
