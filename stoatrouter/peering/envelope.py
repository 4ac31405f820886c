"""Messages between heads on streams: sealed, addressed, bounded.

On the wire: 32 bytes of BLAKE2b, keyed with the fleet's secret and personalised with its name, over the rest,
which is one msgpack array (`Envelope`). The sender's identity and process number are inside; what an earlier
process of a head said is not believed once a later one was heard.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from stoatrouter.agreement.records import Voter
from stoatrouter.config import ConfigError
from stoatrouter.peering.errors import MessageRejected

LARGEST = 64 * 1024 * 1024  # bytes of one message
MAC, SHORTEST_SECRET = 32, 32  # bytes


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, its receiver and its number."""

    origin: str  # of the sender's fleet; "": it belongs to none yet
    sender: Voter
    process: int  # of the sender; later ones have higher numbers
    to: str  # the name of the head that it is for
    number: int  # of the question; an answer repeats it
    kind: str
    body: bytes


def read_secret(path: Path) -> bytes:
    """The fleet's secret; raises ConfigError."""
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"{path}: the heads' secret cannot be read: {error.strerror}") from None
    if len(secret) < SHORTEST_SECRET:
        raise ConfigError(
            f"{path}: the heads' secret has {len(secret)} bytes (allowed: {SHORTEST_SECRET} or "
            "more; `head -c 32 /dev/urandom | base64` makes one)"
        )
    return hashlib.blake2b(secret, digest_size=64).digest()


class OlderIncarnation(MessageRejected):
    """From an earlier process of its head, or from one whose clock went back."""

    def __init__(self, envelope: Envelope, latest: int) -> None:
        super().__init__("older_process")
        self.envelope, self.latest = envelope, latest


@dataclass(slots=True)
class EnvelopeSealer:
    """Seals and opens messages of one fleet."""

    secret: bytes
    fleet: str
    name: str
    processes: dict[str, int] = field(default_factory=dict)  # the latest heard of, by head
    person: bytes = b""

    def __post_init__(self) -> None:
        self.person = hashlib.blake2b(b"stream/" + self.fleet.encode(), digest_size=16).digest()

    def mac(self, data: bytes) -> bytes:
        """The authentication code of these bytes."""
        return hashlib.blake2b(data, key=self.secret, person=self.person, digest_size=MAC).digest()

    def seal(self, envelope: Envelope) -> bytes:
        """An envelope as bytes, authenticated."""
        data = msgspec.msgpack.encode(envelope)
        return self.mac(data) + data

    def unseal(self, data: bytes) -> Envelope:
        """Read a message; raises MessageRejected. Nothing inside is looked at before the MAC."""
        if len(data) > LARGEST:
            raise MessageRejected("too_long")
        body = data[MAC:]
        if not hmac.compare_digest(data[:MAC], self.mac(body)):
            raise MessageRejected("foreign")
        try:
            envelope = msgspec.msgpack.decode(body, type=Envelope)
        except (msgspec.MsgspecError, ValueError):
            raise MessageRejected("malformed") from None
        if envelope.to != self.name:
            raise MessageRejected("for_another")
        latest = self.processes.get(envelope.sender.name, 0)
        # Guards against what an earlier process of that head said, sent again.
        if envelope.process < latest:
            raise OlderIncarnation(envelope, latest)
        self.processes[envelope.sender.name] = envelope.process
        return envelope
