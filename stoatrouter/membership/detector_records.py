"""The failure detector's timing, its events and its effects."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.membership.datagram import Datagram
from stoatrouter.membership.roster import Status

# Reasons under which a dropped datagram is counted (peering/datagrams.py); operators see them.
OWN_NAME = "own_name"
TOO_MANY_HEADS = "too_many_heads"
OLDER_INCARNATION = "older_incarnation"


@dataclass(slots=True, frozen=True)
class Timing:
    """Timings of the detector (SWIM section 4; Lifeguard section 4.1).

    With these, all heads see a killed one as failed after 4 s at 3 heads, 8 s at 20 and 12 s at 100
    (docs/measurements/heads.md). The settings file's fields are mapped onto these in peering/settings.py.

    Attributes:
        period: SWIM's protocol period: one member is pinged in each.
        ack_timeout: How long the ack of the direct ping is awaited before ping-reqs are sent.
        indirect_checks: SWIM's k: how many members are sent a ping-req in this head's place.
        suspicion_factor: Times the period and log2 of the fleet size: how long a suspect may refute.
        gossip_factor: Times log10 of the fleet: how many times one update is piggybacked (SWIM's lambda).
        max_local_health: Lifeguard's highest local health score: the most times over that its spans are
            lengthened while it misses acks; 0: never.
    """

    period: timedelta = timedelta(milliseconds=500)
    ack_timeout: timedelta = timedelta(milliseconds=150)
    indirect_checks: int = 3
    suspicion_factor: float = 3.0
    gossip_factor: float = 4.0
    max_local_health: int = 4


# -- events -----------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed, to `at` (from an arbitrary origin, never back); it is sent several times a period."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """The datagram `message` was received from the head at `address`, at time `at`."""

    at: timedelta
    address: str
    message: Datagram


@dataclass(slots=True, frozen=True)
class Leaving:
    """This head stops at time `at` and notifies the others (graceful shutdown)."""

    at: timedelta


Event = Tick | DatagramReceived | Leaving


# -- effects ----------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class SendTo:
    """Send `message` to `address`."""

    address: str
    message: Datagram


@dataclass(slots=True, frozen=True)
class StatusChanged:
    """The status of a member has changed, as seen from here, to `status` at `incarnation`."""

    name: str
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class DatagramDropped:
    """A datagram was ignored; `reason` is the label under which it is counted."""

    reason: str


Effect = SendTo | StatusChanged | DatagramDropped
