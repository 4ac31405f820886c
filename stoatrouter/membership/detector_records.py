"""The failure detector's time settings, events and effects."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.membership.datagram import Datagram
from stoatrouter.membership.roster import Status

# Labels under which dropped datagrams are counted (peering/datagrams.py); operators see them.
OWN_NAME = "own_name"
TOO_MANY_HEADS = "too_many_heads"
OLDER_INCARNATION = "older_incarnation"


@dataclass(slots=True, frozen=True)
class Timing:
    """Time settings of the detector (SWIM section 4; Lifeguard section 4.1).

    With the defaults, all heads see a killed head as failed after 4 s with 3 heads, 8 s with 20 and 12 s with
    100 (docs/measurements/heads.md). peering/settings.py maps the fields of the settings file to these.

    Attributes:
        period: SWIM's protocol period; one member is pinged in each period.
        ack_timeout: How long to wait for the ack of the direct ping before ping-reqs are sent.
        indirect_checks: SWIM's k: the number of members that are sent a ping-req.
        suspicion_factor: The suspicion timeout is this many periods times log2 of the fleet size.
        gossip_factor: SWIM's lambda: each update is piggybacked this many times log10 of the fleet size.
        max_local_health: Lifeguard's highest local health score, by which this head's timeouts are extended
            while it misses acks; 0 disables this.
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
    """The time is `at` (monotonic, with any origin); to be sent several times a period."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """The datagram `message` was received from `address` at time `at`."""

    at: timedelta
    address: str
    message: Datagram


@dataclass(slots=True, frozen=True)
class Leaving:
    """This head starts a graceful shutdown at time `at`."""

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
    """This head's view of a member has changed to `status` at `incarnation`."""

    name: str
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class DatagramDropped:
    """A datagram or update was ignored; `reason` is the label under which it is counted."""

    reason: str


Effect = SendTo | StatusChanged | DatagramDropped
