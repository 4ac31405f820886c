"""The version that a head keeps for a start without any other head, as bytes with a checksum. No I/O."""

from __future__ import annotations

import hashlib

import msgspec

MAGIC, SUM = b"stoatrules1\n", 32


class Unreadable(Exception):
    """The kept version is spoilt; the text says how."""


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """One version, as a head keeps it."""

    number: int
    digest: str
    content: bytes  # packed
    when: str  # it was put in force here


def write(kept: Kept) -> bytes:
    """A kept version as bytes, with its checksum."""
    body = msgspec.msgpack.encode(kept)
    return MAGIC + hashlib.blake2b(body, digest_size=SUM).digest() + body


def read(data: bytes) -> Kept:
    """Raises Unreadable."""
    if not data.startswith(MAGIC):
        raise Unreadable("it does not begin as a kept version does")
    body = data[len(MAGIC) + SUM :]
    if hashlib.blake2b(body, digest_size=SUM).digest() != data[len(MAGIC) : len(MAGIC) + SUM]:
        raise Unreadable("it does not match its checksum")
    try:
        return msgspec.msgpack.decode(body, type=Kept)
    except msgspec.MsgspecError as error:
        raise Unreadable(str(error)) from None
