"""The envelope of messages on streams: authenticated, addressed and bounded.

On the wire: 32 bytes of BLAKE2b (RFC 7693), keyed with the fleet's secret and personalised with the fleet's
name, over the rest, which is one msgpack array (`Envelope`). The sender's identity and incarnation are
inside: once a later incarnation of a head was heard, messages of its earlier ones are rejected. Nothing is
encrypted.
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

MAX_MESSAGE_SIZE = 64 * 1024 * 1024  # bytes, with the MAC; longer ones are rejected unread
MAC_SIZE = 32
MIN_SECRET_SIZE = 32  # bytes


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, its receiver and its number.

    Heads of two releases talk to each other: fields are identified by position, so a new one goes at the
    end and has a default.
    """

    origin: str  # of the sender's fleet; "": it belongs to none yet
    sender: Voter
    incarnation: int  # of the sender's process; a later process has a higher one
    receiver: str  # the name of the head that it is for
    request_id: int  # the sender's; an answer repeats it
    kind: str
    body: bytes


class OlderIncarnation(MessageRejected):
    """A message of an earlier process of its head, or of one whose clock went back.

    Attributes:
        envelope: The message, which is authentic.
        latest: The highest incarnation heard of that head.
    """

    def __init__(self, envelope: Envelope, latest: int) -> None:
        """Reject a message for the latest incarnation heard of its sender."""
        super().__init__(RejectReason.OLDER_PROCESS)
        self.envelope = envelope
        self.latest = latest


def read_secret(path: Path) -> bytes:
    """Read the fleet's secret and derive the key of all MACs from it.

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
        name: This head's name; only envelopes for it are unsealed.
        incarnations: The latest incarnation heard of each head, by its name.
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
        """Encode an envelope and put its MAC before it."""
        data = msgspec.msgpack.encode(envelope)
        return self._mac(data) + data

    def unseal(self, data: bytes) -> Envelope:
        """Authenticate and decode an envelope; nothing inside is looked at before the MAC.

        Raises:
            MessageRejected: It is too long, not authentic, malformed or for another head.
            OlderIncarnation: A later incarnation of its sender was heard before.
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
        """Guard against replays of what an earlier process of the sender sent; raises OlderIncarnation."""
        latest = self.incarnations.get(envelope.sender.name, 0)
        if envelope.incarnation < latest:
            raise OlderIncarnation(envelope, latest)
        self.incarnations[envelope.sender.name] = envelope.incarnation

    def _mac(self, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, key=self.secret, person=self._personalisation, digest_size=MAC_SIZE
        ).digest()
