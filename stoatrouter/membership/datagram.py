"""The detector's messages as bytes: at most 256 of them, with their MAC. No socket, no file, no clock.

This is a wire format between heads: the layout, field order, kinds and sizes below must not change.

    offset  bytes  what
    0       1      version and kind: 0x10 ping, 0x11 ping-req, 0x12 ack
    1       4      sequence number of the health check, big-endian
    5       6      the sender's incarnation
    11      1+n    the sender's name, UTF-8, 1 to 24 bytes
            1+n    the target of a ping-req; empty otherwise
            ...    membership updates, to the end: 1+n name, 6 incarnation, 1 status
    end     16     BLAKE2b of all before it, keyed, personalised by the fleet's name

The fleet's name is not sent; a message of another fleet fails its MAC. Names longer than 24 bytes are refused
where settings are read.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass
from enum import IntEnum

from stoatrouter.membership.roster import MemberUpdate, Status

LARGEST, MAC = 256, 16  # bytes
LONGEST_NAME = 24  # bytes
FIXED = struct.Struct(">BI")  # version and kind, sequence number
VERSION = 0x10
INCARNATION_BYTES = 6
LENGTH_BYTES = 1  # before each string
SEQUENCE_MASK = 0xFFFFFFFF
KIND_MASK, VERSION_MASK = 0x0F, 0xF0
SMALLEST = FIXED.size + INCARNATION_BYTES + 2 * LENGTH_BYTES + MAC


class Kind(IntEnum):
    """The kind of a message, in the low half of its first byte (SWIM section 3.1)."""

    PING = 0
    PING_FOR = 1  # SWIM's ping-req, an indirect health check; the name is in lab counts ("ping_for")
    ACK = 2


class Malformed(Exception):
    """Bytes that are not a datagram of this fleet.

    `str()` of it is the reason under which it is counted (peering/datagrams.py): operators see these
    labels, so they do not change. Each subclass names one reason; `detail` says what was wrong and what
    would be right.
    """

    reason = "malformed"

    def __init__(self, detail: str = "") -> None:
        """Record what was wrong; `detail` is for logs and tests, not for the count's label."""
        super().__init__(self.reason)
        self.detail = detail


class TooLong(Malformed):
    """More bytes than a datagram may have (LARGEST)."""

    reason = "too_long"


class TooShort(Malformed):
    """Fewer bytes than the smallest datagram has (SMALLEST)."""

    reason = "too_short"


class Foreign(Malformed):
    """The MAC fails: another fleet, another key, or bytes changed on the way."""

    reason = "foreign"


class BadField(Malformed):
    """A field inside a sealed datagram cannot be read: a string too long, not UTF-8, or cut short."""

    reason = "malformed"


class OtherVersion(Malformed):
    """A version this head does not speak, or a datagram without a sender's name."""

    reason = "other_version"


@dataclass(slots=True, frozen=True)
class Datagram:
    """One message of the detector.

    Attributes:
        kind: Ping, ping-req or ack.
        number: The sequence number of the health check, 0 to 2**32 - 1; 0 in unsolicited acks.
        sender: The sending member's name, 1 to 24 bytes of UTF-8.
        incarnation: The sender's incarnation, 0 to 2**48 - 1.
        target: The member that a ping-req (or the ack relayed for one) is about; empty otherwise.
        updates: Piggybacked membership updates (SWIM section 4.1).
    """

    kind: Kind
    number: int
    sender: str
    incarnation: int
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()

    def update_capacity(self) -> int:
        """How many bytes are left for piggybacked updates."""
        return LARGEST - SMALLEST - len(self.sender.encode()) - len(self.target.encode())


def seal(data: bytes, secret: bytes, fleet: str) -> bytes:
    """The MAC over `data`: BLAKE2b keyed by `secret` (its first 64 bytes), 16 bytes.

    The fleet's name is hashed into the personalisation, so that a key used twice joins no two fleets.
    """
    person = hashlib.blake2b(fleet.encode(), digest_size=16).digest()
    return hashlib.blake2b(data, key=secret[:64], person=person, digest_size=MAC).digest()


def encode(message: Datagram, secret: bytes, fleet: str) -> bytes:
    """The bytes of a message with its MAC; `updates` must fit into Datagram.update_capacity()."""
    data = FIXED.pack(VERSION | message.kind, message.number & SEQUENCE_MASK)
    data += message.incarnation.to_bytes(INCARNATION_BYTES, "big")
    data += encode_text(message.sender) + encode_text(message.target)
    for update in message.updates:
        data += encode_text(update.name) + update.incarnation.to_bytes(INCARNATION_BYTES, "big")
        data += bytes((update.status,))
    data += seal(data, secret, fleet)
    assert len(data) <= LARGEST, "a datagram over its bound"
    return data


def encode_text(value: str) -> bytes:
    """A string as UTF-8 with its length in one byte before it; at most LONGEST_NAME bytes."""
    data = value.encode()
    assert len(data) <= LONGEST_NAME
    return bytes((len(data),)) + data


def decode(data: bytes, secret: bytes, fleet: str) -> Datagram:
    """Read a datagram; the MAC is checked before anything inside is used.

    Raises:
        Malformed: The bytes are not a datagram of this fleet; one of its subclasses names the reason.
    """
    if len(data) > LARGEST:
        raise TooLong(f"{len(data)} bytes; at most {LARGEST}")
    if len(data) < SMALLEST:
        raise TooShort(f"{len(data)} bytes; at least {SMALLEST}")
    body, mac = data[:-MAC], data[-MAC:]
    if not hmac.compare_digest(mac, seal(body, secret, fleet)):
        raise Foreign(f"the MAC does not match fleet {fleet!r} and this key")
    first, number = FIXED.unpack_from(body)
    reader = Reader(body, FIXED.size)
    try:
        kind = Kind(first & KIND_MASK)
        incarnation, sender, target = reader.number(), reader.text(), reader.text()
        updates = []
        while reader.at < len(body):
            updates.append(MemberUpdate(reader.text(), reader.number(), Status(reader.byte())))
    except (ValueError, IndexError) as error:
        raise BadField(
            f"a field at or after offset {reader.at} cannot be read ({type(error).__name__})"
        ) from None
    if first & VERSION_MASK != VERSION or not sender:
        raise OtherVersion(
            f"version byte {first:#04x} and sender {sender!r}; version {VERSION:#04x} expected"
        )
    return Datagram(kind, number, sender, incarnation, target, tuple(updates))


@dataclass(slots=True)
class Reader:
    """Reads the fields of a datagram one after the other; raises IndexError where the data ends early.

    Attributes:
        data: The datagram without its MAC.
        at: The offset of the next field, in bytes.
    """

    data: bytes
    at: int

    def take(self, count: int) -> bytes:
        """The next `count` bytes."""
        piece = self.data[self.at : self.at + count]
        if len(piece) < count:
            raise IndexError
        self.at += count
        return piece

    def byte(self) -> int:
        """The next byte as a number."""
        return self.take(1)[0]

    def number(self) -> int:
        """The next 6 bytes as a big-endian number: an incarnation."""
        return int.from_bytes(self.take(INCARNATION_BYTES), "big")

    def text(self) -> str:
        """The next string; raises ValueError where it is too long or not UTF-8."""
        count = self.byte()
        if count > LONGEST_NAME:
            raise ValueError
        return self.take(count).decode()
