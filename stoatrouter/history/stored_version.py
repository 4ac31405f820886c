"""The file form of the version that a head stores for a start without any other head. No I/O.

A format mark, a BLAKE2b checksum of the rest, then the version as a msgpack array. Files written by earlier
releases are read: a new field goes at the end of `StoredVersion` and has a default.
"""

from __future__ import annotations

import hashlib

import msgspec

MAGIC = b"stoatrules1\n"
CHECKSUM_SIZE = 32  # bytes
BODY_START = len(MAGIC) + CHECKSUM_SIZE


class CorruptVersionError(Exception):
    """The bytes are not a stored version; the text says where they differ from one."""


class StoredVersion(msgspec.Struct, frozen=True, array_like=True):
    """One version of the rules, as a head stores it."""

    number: int
    digest: str
    packed_rules: bytes  # by records.pack_rule_set
    when: str  # it came into force at this head: ISO 8601, UTC


def encode_stored_version(version: StoredVersion) -> bytes:
    """Encode a version with the format's mark and a checksum."""
    body = msgspec.msgpack.encode(version)
    return MAGIC + _checksum(body) + body


def decode_stored_version(data: bytes) -> StoredVersion:
    """Decode a stored version.

    Raises:
        CorruptVersionError: The mark, the checksum or the encoded version is damaged.
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
