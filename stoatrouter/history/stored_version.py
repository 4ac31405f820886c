"""The file format of the version that a head stores, to be able to start without any other head. No I/O.

The file consists of magic bytes, a BLAKE2b checksum of the rest, and the version as a msgpack array. Files
written by earlier releases must stay readable, so a new field goes at the end of `StoredVersion`, with a
default.
"""

from __future__ import annotations

import hashlib

import msgspec

MAGIC = b"stoatrules1\n"
CHECKSUM_SIZE = 32  # bytes
BODY_START = len(MAGIC) + CHECKSUM_SIZE


class CorruptVersionError(Exception):
    """The bytes are not a stored version; the message describes the difference."""


class StoredVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of the rules, as a head stores it."""

    number: int
    digest: str
    packed_rules: bytes  # encoded by records.pack_rule_set
    when: str  # when it was activated at this head: ISO 8601, UTC


def encode_stored_version(version: StoredVersion) -> bytes:
    """Encode a version, with the magic bytes and a checksum."""
    body = msgspec.msgpack.encode(version)
    return MAGIC + _checksum(body) + body


def decode_stored_version(data: bytes) -> StoredVersion:
    """Decode a stored version.

    Raises:
        CorruptVersionError: The magic bytes, the checksum or the encoded version is invalid.
    """
    if not data.startswith(MAGIC):
        raise CorruptVersionError(f"it begins with {data[: len(MAGIC)]!r}, a stored version with {MAGIC!r}")
    body = data[BODY_START:]
    if _checksum(body) != data[len(MAGIC) : BODY_START]:
        raise CorruptVersionError(f"the {len(body)} bytes from {BODY_START} on do not match their checksum")
    try:
        return msgspec.msgpack.decode(body, type=StoredVersion)
    except msgspec.MsgspecError as error:
        raise CorruptVersionError(f"the encoded version from byte {BODY_START} on: {error}") from None


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_SIZE).digest()
