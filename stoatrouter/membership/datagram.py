"""The detector's messages as bytes: at most 256 of them, with their MAC. No socket, no file, no clock.

    offset  bytes  what
    0       1      version and kind: 0x10 ping, 0x11 ping for another, 0x12 ack
    1       4      number of the probe, big-endian
    5       6      the sender's incarnation
    11      1+n    the sender's name, UTF-8, 1 to 24 bytes
            1+n    the head that a ping for another is about; empty otherwise
            ...    news, to the end: 1+n name, 6 incarnation, 1 status
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

from stoatrouter.membership.roster import News, Status

LARGEST, MAC = 256, 16  # bytes
LONGEST_NAME = 24  # bytes
FIXED = struct.Struct(">BI")
VERSION = 0x10


class Kind(IntEnum):
    """The kind of a message, in the low half of its first byte."""

    PING = 0
    PING_FOR = 1
    ACK = 2


class Malformed(Exception):
    """Not a message of this fleet; the text is the reason under which it is counted."""


@dataclass(slots=True, frozen=True)
class Datagram:
    """One message of the detector."""

    kind: Kind
    number: int
    sender: str
    incarnation: int
    about: str = ""
    news: tuple[News, ...] = ()

    def room(self) -> int:
        """How many bytes are left for news."""
        return LARGEST - MAC - FIXED.size - 6 - 2 - len(self.sender.encode()) - len(self.about.encode())


def seal(data: bytes, secret: bytes, fleet: str) -> bytes:
    """The MAC over `data`. The fleet's name is hashed in, so that a key used twice joins no two fleets."""
    person = hashlib.blake2b(fleet.encode(), digest_size=16).digest()
    return hashlib.blake2b(data, key=secret[:64], person=person, digest_size=MAC).digest()


def encode(message: Datagram, secret: bytes, fleet: str) -> bytes:
    """The bytes of a message with its MAC; `news` must fit into Datagram.room()."""
    data = FIXED.pack(VERSION | message.kind, message.number & 0xFFFFFFFF)
    data += message.incarnation.to_bytes(6, "big") + text(message.sender) + text(message.about)
    for news in message.news:
        data += text(news.name) + news.incarnation.to_bytes(6, "big") + bytes((news.status,))
    data += seal(data, secret, fleet)
    assert len(data) <= LARGEST, "a datagram over its bound"
    return data


def text(value: str) -> bytes:
    """A string with its length in one byte before it."""
    data = value.encode()
    assert len(data) <= LONGEST_NAME
    return bytes((len(data),)) + data


def decode(data: bytes, secret: bytes, fleet: str) -> Datagram:
    """Read a datagram; raises Malformed. The MAC is checked before anything inside is used."""
    if len(data) > LARGEST:
        raise Malformed("too_long")
    if len(data) < FIXED.size + 6 + 2 + MAC:
        raise Malformed("too_short")
    body, mac = data[:-MAC], data[-MAC:]
    if not hmac.compare_digest(mac, seal(body, secret, fleet)):
        raise Malformed("foreign")
    first, number = FIXED.unpack_from(body)
    try:
        kind = Kind(first & 0x0F)
        reader = Reader(body, FIXED.size)
        incarnation, sender, about = reader.number(), reader.text(), reader.text()
        news = []
        while reader.at < len(body):
            news.append(News(reader.text(), reader.number(), Status(reader.byte())))
    except (ValueError, IndexError):
        raise Malformed("malformed") from None
    if first & 0xF0 != VERSION or not sender:
        raise Malformed("other_version")
    return Datagram(kind, number, sender, incarnation, about, tuple(news))


@dataclass(slots=True)
class Reader:
    """Reads the fields of a datagram one after the other; raises IndexError where the data ends early."""

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
        """The next 6 bytes as a big-endian number."""
        return int.from_bytes(self.take(6), "big")

    def text(self) -> str:
        """The next string; raises ValueError where it is too long or not UTF-8."""
        count = self.byte()
        if count > LONGEST_NAME:
            raise ValueError
        return self.take(count).decode()
