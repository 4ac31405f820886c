"""Encoding of the detector's messages: datagrams of at most 256 bytes with a MAC. No I/O and no clock.

This is a wire format between heads: the layout, field order, kinds and sizes below must not change.

    offset  bytes  what
    0       1      version and kind: 0x10 ping, 0x11 ping-req, 0x12 ack
    1       4      sequence number of the health check, big-endian
    5       6      the sender's incarnation
    11      1+n    the sender's name, UTF-8, 1 to 24 bytes
            1+n    the target of a ping-req; empty otherwise
            ...    membership updates, to the end: 1+n name, 6 incarnation, 1 status
    end     16     keyed BLAKE2b of everything before it, personalised by the fleet's name

The fleet's name is not sent; the MAC of a message from another fleet does not verify. The settings loader
rejects names longer than 24 bytes.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from stoatrouter.membership.errors import (
    DatagramTooLong,
    DatagramTooShort,
    ForeignDatagram,
    UnreadableField,
    UnsupportedVersion,
)
from stoatrouter.membership.roster import MemberUpdate, Status

MAX_DATAGRAM_BYTES = 256  # bytes
MAC_BYTES = 16
MAX_NAME_BYTES = 24  # bytes
HEADER = struct.Struct(">BI")  # version and kind, sequence number
VERSION = 0x10
INCARNATION_BYTES = 6
LENGTH_BYTES = 1  # the length before each string
SEQUENCE_MASK = 0xFFFFFFFF
KIND_MASK = 0x0F
VERSION_MASK = 0xF0
MIN_DATAGRAM_BYTES = HEADER.size + INCARNATION_BYTES + 2 * LENGTH_BYTES + MAC_BYTES


class Kind(IntEnum):
    """The kind of a message, in the lower four bits of its first byte (SWIM section 3.1)."""

    PING = 0
    PING_FOR = 1  # SWIM's ping-req, an indirect health check; counted by this name in the lab ("ping_for")
    ACK = 2


@dataclass(slots=True, frozen=True)
class Datagram:
    """One message of the detector.

    Attributes:
        kind: Ping, ping-req or ack.
        number: The sequence number of the health check, 0 to 2**32 - 1; 0 in unsolicited acks.
        sender: The sending member's name, 1 to 24 bytes of UTF-8.
        incarnation: The sender's incarnation, 0 to 2**48 - 1.
        target: The member checked by a ping-req, or by the ack relayed for one; empty otherwise.
        updates: Piggybacked membership updates (SWIM section 4.1).
    """

    kind: Kind
    number: int
    sender: str
    incarnation: int
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()

    def update_capacity(self) -> int:
        """Return the number of bytes left for piggybacked updates."""
        return MAX_DATAGRAM_BYTES - MIN_DATAGRAM_BYTES - len(self.sender.encode()) - len(self.target.encode())


def compute_mac(data: bytes, secret: bytes, fleet: str) -> bytes:
    """Return the MAC of `data`: 16 bytes of BLAKE2b, keyed by the first 64 bytes of `secret`.

    The personalisation contains a hash of the fleet's name, so that two fleets with the same key reject each
    other's messages.
    """
    person = hashlib.blake2b(fleet.encode(), digest_size=16).digest()
    return hashlib.blake2b(data, key=secret[:64], person=person, digest_size=MAC_BYTES).digest()


def encode(message: Datagram, secret: bytes, fleet: str) -> bytes:
    """Encode a message with its MAC; `updates` must fit into Datagram.update_capacity()."""
    data = HEADER.pack(VERSION | message.kind, message.number & SEQUENCE_MASK)
    data += message.incarnation.to_bytes(INCARNATION_BYTES, "big")
    data += encode_text(message.sender) + encode_text(message.target)
    for update in message.updates:
        data += encode_text(update.name) + update.incarnation.to_bytes(INCARNATION_BYTES, "big")
        data += bytes((update.status,))
    data += compute_mac(data, secret, fleet)
    assert len(data) <= MAX_DATAGRAM_BYTES, "datagram exceeds MAX_DATAGRAM_BYTES"
    return data


def encode_text(value: str) -> bytes:
    """Encode a string as UTF-8 after one byte with its length; it has at most MAX_NAME_BYTES bytes."""
    data = value.encode()
    assert len(data) <= MAX_NAME_BYTES, "name exceeds MAX_NAME_BYTES"
    return bytes((len(data),)) + data


def decode(data: bytes, secret: bytes, fleet: str) -> Datagram:
    """Decode a datagram, after its MAC is verified.

    Raises:
        MalformedDatagram: The bytes are not a datagram of this fleet; the subclass tells the reason.
    """
    body = verify_mac(data, secret, fleet)
    first_byte, number = HEADER.unpack_from(body)
    reader = FieldReader(body, HEADER.size)
    try:
        kind = Kind(first_byte & KIND_MASK)
        incarnation = reader.read_incarnation()
        sender = reader.read_text()
        target = reader.read_text()
        updates = tuple(reader.read_updates())
    except (ValueError, IndexError) as error:
        raise UnreadableField(f"field at or after offset {reader.offset}: {error}") from None
    if first_byte & VERSION_MASK != VERSION or not sender:
        raise UnsupportedVersion(
            f"version byte {first_byte:#04x} and sender {sender!r}; version {VERSION:#04x} expected"
        )
    return Datagram(kind, number, sender, incarnation, target, updates)


def verify_mac(data: bytes, secret: bytes, fleet: str) -> bytes:
    """Check the size and the MAC of a datagram; return it without the MAC.

    Raises:
        DatagramTooLong: It has more than MAX_DATAGRAM_BYTES bytes.
        DatagramTooShort: It has fewer than MIN_DATAGRAM_BYTES bytes.
        ForeignDatagram: The MAC is not that of this fleet and key.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramTooLong(f"{len(data)} bytes; at most {MAX_DATAGRAM_BYTES}")
    if len(data) < MIN_DATAGRAM_BYTES:
        raise DatagramTooShort(f"{len(data)} bytes; at least {MIN_DATAGRAM_BYTES}")
    body = data[:-MAC_BYTES]
    if not hmac.compare_digest(data[-MAC_BYTES:], compute_mac(body, secret, fleet)):
        raise ForeignDatagram(f"the MAC does not match fleet {fleet!r} and this key")
    return body


@dataclass(slots=True)
class FieldReader:
    """Reads the fields of a datagram in order.

    Its methods raise IndexError if the data ends early and ValueError if a field is invalid.

    Attributes:
        data: The datagram without its MAC.
        offset: The offset of the next field, in bytes.
    """

    data: bytes
    offset: int

    def read_bytes(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        field_bytes = self.data[self.offset : self.offset + count]
        if len(field_bytes) < count:
            raise IndexError(f"{count} bytes expected, {len(field_bytes)} left")
        self.offset += count
        return field_bytes

    def read_byte(self) -> int:
        """Read the next byte as a number."""
        return self.read_bytes(1)[0]

    def read_incarnation(self) -> int:
        """Read the next 6 bytes as a big-endian number."""
        return int.from_bytes(self.read_bytes(INCARNATION_BYTES), "big")

    def read_text(self) -> str:
        """Read the next string."""
        count = self.read_byte()
        if count > MAX_NAME_BYTES:
            raise ValueError(f"string of {count} bytes; at most {MAX_NAME_BYTES}")
        return self.read_bytes(count).decode()

    def read_updates(self) -> Iterator[MemberUpdate]:
        """Read membership updates up to the end of the data."""
        while self.offset < len(self.data):
            yield MemberUpdate(self.read_text(), self.read_incarnation(), Status(self.read_byte()))
