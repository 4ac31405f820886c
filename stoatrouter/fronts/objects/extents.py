"""How a body lies on nodes: pieces of at most 64 KiB, and pages of references where there are many.

A reference names a piece, the shard that took it, and how many bytes of the body lie below it. References
of a long body are themselves written as pages, pages of pages above them, until few enough are left to be
told in a manifest or an ETag. Nothing of this is kept in a head.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

PIECE = 64 * 1024  # what one request of the core may carry
MAGIC = b"SRp1"
DIGEST = 12
HEADER = len(MAGIC) + DIGEST
PAYLOAD = PIECE - HEADER
REF = struct.Struct(">8sHQB")
PAGE_REFS = PAYLOAD // REF.size


class BadPiece(Exception):
    """What a node gave is not what was written there."""


@dataclass(slots=True, frozen=True)
class Ref:
    """Where some bytes of a body lie; depth 0: the piece holds them itself, else a page of references."""

    piece: str
    shard: int
    size: int
    depth: int = 0

    def pack(self) -> bytes:
        return REF.pack(bytes.fromhex(self.piece), self.shard, self.size, self.depth)

    @classmethod
    def unpack(cls, data: bytes) -> Ref:
        piece, shard, size, depth = REF.unpack(data)
        return cls(piece.hex(), shard, size, depth)


def frame(piece: str, payload: bytes) -> bytes:
    """A piece as it is written: its payload behind a digest, so that a wrong answer is known as one."""
    return MAGIC + digest(piece, payload) + payload


def unframe(piece: str, data: bytes) -> bytes | None:
    """The payload of a piece; None where it was never written (nodes then answer with an empty body)."""
    if not data:
        return None
    payload = data[HEADER:]
    # Guards against an answer that belongs to another piece, or is not whole.
    if data[: len(MAGIC)] != MAGIC or data[len(MAGIC) : HEADER] != digest(piece, payload):
        raise BadPiece(piece)
    return payload


def digest(piece: str, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=DIGEST, key=piece.encode()).digest()


def pack_page(refs: Sequence[Ref]) -> bytes:
    return b"".join(ref.pack() for ref in refs)


def unpack_page(payload: bytes) -> list[Ref]:
    if len(payload) % REF.size:
        raise BadPiece("a page of references is not whole")
    return [Ref.unpack(payload[i : i + REF.size]) for i in range(0, len(payload), REF.size)]


def overlapping(refs: Sequence[Ref], start: int, stop: int) -> list[tuple[Ref, int, int]]:
    """The references that hold bytes start to stop of a body, each with its own part of them."""
    found, offset = [], 0
    for ref in refs:
        low, high = max(start, offset), min(stop, offset + ref.size)
        if low < high:
            found.append((ref, low - offset, high - offset))
        offset += ref.size
    return found
