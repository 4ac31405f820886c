"""The envelope of messages on streams: authenticated, addressed and bounded in size.

Format: a 32-byte BLAKE2b MAC (RFC 7693), keyed with the fleet's secret and personalised with the fleet's
name, followed by one msgpack array (`Envelope`) that it covers. The array holds the sender's identity and
incarnation: after a message of a later incarnation, those of earlier ones are rejected. Nothing is encrypted.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from stoatrouter.agreement.records import Voter
from stoatrouter.config import ConfigError
from stoatrouter.peering.errors import MessageRejected, RejectReason

MAX_MESSAGE_SIZE = 64 * 1024 * 1024  # bytes, including the MAC; longer messages are rejected unread
MAC_SIZE = 32
MIN_SECRET_SIZE = 32  # bytes


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, receiver and request id.

    Heads of two releases communicate, and fields are identified by position: a new one goes at the end and
    has a default.
    """

    origin: str  # identity of the sender's fleet; "": it belongs to none yet
    sender: Voter
    incarnation: int  # of the sender's process; later processes have higher ones
    receiver: str  # the name of the receiving head
    request_id: int  # chosen by the sender; the answer repeats it
    kind: str
    body: bytes


class OlderIncarnation(MessageRejected):
    """A message from an earlier process of its head, or from one whose clock was set back.

    Attributes:
        envelope: The message, which is authentic.
        latest: The highest incarnation seen of that head.
    """

    def __init__(self, envelope: Envelope, latest: int) -> None:
        """Store the message and the latest incarnation seen of its sender."""
        super().__init__(RejectReason.OLDER_PROCESS)
        self.envelope = envelope
        self.latest = latest


def read_secret(path: Path) -> bytes:
    """Read the fleet's secret and derive the MAC key from it.

    Returns:
        64 bytes.

    Raises:
        ConfigError: The file cannot be read, or the secret is shorter than MIN_SECRET_SIZE.
    """
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"{path}: the heads' secret cannot be read: {error.strerror}") from None
    if len(secret) < MIN_SECRET_SIZE:
        raise ConfigError(
            f"{path}: the heads' secret has {len(secret)} bytes (allowed: {MIN_SECRET_SIZE} or "
            "more; `head -c 32 /dev/urandom | base64` makes one)"
        )
    return hashlib.blake2b(secret, digest_size=64).digest()


@dataclass(slots=True)
class EnvelopeSealer:
    """Seals and unseals envelopes for one head of a fleet.

    Attributes:
        secret: The key of the MACs (`read_secret`).
        fleet: The fleet's name.
        name: This head's name; only envelopes addressed to it are unsealed.
        incarnations: The latest incarnation seen of each head, by name.
    """

    secret: bytes
    fleet: str
    name: str
    incarnations: dict[str, int] = field(default_factory=dict)
    _personalisation: bytes = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Derive the personalisation of the MACs from the fleet's name."""
        self._personalisation = hashlib.blake2b(b"stream/" + self.fleet.encode(), digest_size=16).digest()

    def seal(self, envelope: Envelope) -> bytes:
        """Encode an envelope and prepend its MAC."""
        data = msgspec.msgpack.encode(envelope)
        return self._mac(data) + data

    def unseal(self, data: bytes) -> Envelope:
        """Authenticate and decode an envelope; the content is not parsed before the MAC is verified.

        Raises:
            MessageRejected: It is too long, not authentic, malformed or addressed to another head.
            OlderIncarnation: A later incarnation of its sender was seen before.
        """
        if len(data) > MAX_MESSAGE_SIZE:
            raise MessageRejected(RejectReason.TOO_LONG)
        body = data[MAC_SIZE:]
        if not hmac.compare_digest(data[:MAC_SIZE], self._mac(body)):
            raise MessageRejected(RejectReason.FOREIGN)
        try:
            envelope = msgspec.msgpack.decode(body, type=Envelope)
        except (msgspec.MsgspecError, ValueError):
            raise MessageRejected(RejectReason.MALFORMED) from None
        if envelope.receiver != self.name:
            raise MessageRejected(RejectReason.FOR_ANOTHER)
        self._check_incarnation(envelope)
        return envelope

    def _check_incarnation(self, envelope: Envelope) -> None:
        """Reject replays of messages from an earlier process of the sender; raises OlderIncarnation."""
        latest = self.incarnations.get(envelope.sender.name, 0)
        if envelope.incarnation < latest:
            raise OlderIncarnation(envelope, latest)
        self.incarnations[envelope.sender.name] = envelope.incarnation

    def _mac(self, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, key=self.secret, person=self._personalisation, digest_size=MAC_SIZE
        ).digest()
