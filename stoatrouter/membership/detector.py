"""SWIM's failure detector with suspicion for the heads, as reduce(event) -> effects.

It does no I/O and reads no clock: times come with the events, and random choices come from the given seed.

From SWIM (Das, Gupta, Motivala 2002): one member is pinged in each period, in a new random order each round
(4.3). Without an ack, other members are sent a ping-req, an indirect health check (4.1). Without any ack the
member is suspected; it counts as failed only if it does not refute the suspicion within a timeout that grows
with the logarithm of the fleet size (4.2). Membership updates are piggybacked on these messages (4.1), so the
load of each head is constant.

From Lifeguard (Dadgar, Phillips, Currey 2018): a head that misses acks raises its local health score and
waits longer (local health awareness, health.py), and a suspect is notified in the ping that checks it (buddy
system).

Addresses without an alive or suspect member, such as those of failed heads, are pinged too, one per period,
so that the two sides of a healed network partition find each other. The detector's view changes no quota and
no permission (agreement/availability.py); it only determines which heads are waited for.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.membership.datagram import Datagram, Kind
from stoatrouter.membership.detector_records import (
    OLDER_INCARNATION,
    OWN_NAME,
    TOO_MANY_HEADS,
    DatagramDropped,
    DatagramReceived,
    Effect,
    Event,
    Leaving,
    SendTo,
    StatusChanged,
    Tick,
    Timing,
)
from stoatrouter.membership.health import LocalHealth
from stoatrouter.membership.ping_round import PingRound
from stoatrouter.membership.roster import GossipQueue, MemberUpdate, Roster, Status, wire_size

MAX_HEADS = 1024  # members in the list; updates of further names are dropped and counted
MAX_RELAYED_PINGS = 256  # pings in flight for others' ping-reqs; the oldest are dropped
UNSOLICITED = 0  # the sequence number of an ack that answers no ping
GOSSIP_FLEET_OFFSET = 9  # log10(count + 9): at least 1 for a fleet of one


@dataclass(slots=True)
class HealthCheck:
    """The health check of the current period: a ping, then ping-reqs (SWIM section 4.1)."""

    number: int  # the sequence number
    target: str  # the checked member's name
    indirect_at: timedelta  # when to send ping-reqs if no ack was received
    indirect_sent: bool = False
    acked: bool = False  # directly or by a relayed ack

    def needs_ping_reqs(self, now: timedelta) -> bool:
        """Return whether ping-reqs are due."""
        return not self.acked and not self.indirect_sent and now >= self.indirect_at

    def is_answered_by(self, ack: Datagram) -> bool:
        """Return whether an ack is the target's own, or a relayed one that names the target."""
        return ack.number == self.number and self.target in (ack.sender, ack.target)


@dataclass(slots=True)
class RelayedPing:
    """A ping that this head has sent because of another head's ping-req."""

    number: int  # the ping-req's sequence number, sent back in the relayed ack
    requester: str  # the address of the head that sent the ping-req
    expires_at: timedelta  # from then on, that head no longer waits for the ack


@dataclass(slots=True)
class Detector:
    """The failure detector of one head.

    `name` (1 to 24 bytes of UTF-8) and `incarnation` are this head's. `peers` are the addresses of possible
    members, whose names are learned from their messages. `seed` determines the ping order and the members
    chosen for ping-reqs.
    """

    name: str
    incarnation: int
    peers: tuple[str, ...]
    seed: int
    timing: Timing = field(default_factory=Timing)
    roster: Roster = field(default_factory=Roster)
    gossip: GossipQueue = field(default_factory=GossipQueue)
    suspects: dict[str, timedelta] = field(default_factory=dict)  # when each counts as failed, by name
    relayed_pings: dict[int, RelayedPing] = field(default_factory=dict)  # by this head's sequence number
    health_check: HealthCheck | None = None
    member_round: PingRound = field(default_factory=PingRound)  # names of members
    address_round: PingRound = field(default_factory=PingRound)  # addresses without a known member
    next_period_at: timedelta | None = None
    sequence_number: int = 0  # the last one used
    health: LocalHealth = field(init=False)
    has_left: bool = False
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the random choices, and add this head's own update to the list and the gossip queue."""
        self.health = LocalHealth(self.timing.max_local_health)
        self.rng = random.Random(f"detector/{self.seed}/{self.name}")
        self._publish_own_update()

    @property
    def own_update(self) -> MemberUpdate:
        """Return this head's own update, with status alive, or left after a graceful shutdown."""
        return MemberUpdate(self.name, self.incarnation, Status.LEFT if self.has_left else Status.ALIVE)

    def _publish_own_update(self) -> None:
        self.roster.members[self.name] = self.own_update
        self.gossip.add(self.own_update)

    def reduce(self, event: Event) -> list[Effect]:
        """Process one event; return the effects, in order."""
        match event:
            case Tick():
                return self._tick(event.at)
            case DatagramReceived():
                return self._receive(event)
            case Leaving():
                return self._leave()

    # -- time ---------------------------------------------------------------------------------------------
    def _tick(self, now: timedelta) -> list[Effect]:
        if self.has_left:
            return []
        self._forget_relayed_pings(now)
        effects = self._fail_overdue_suspects(now)
        check = self.health_check
        if check is not None and check.needs_ping_reqs(now):
            check.indirect_sent = True
            effects += self._send_ping_reqs(check)
        if self.next_period_at is None or now >= self.next_period_at:
            effects += self._end_period(now)
            self.next_period_at = now + self.health.scale(self.timing.period)
            effects += self._begin_period(now)
        return effects

    def _forget_relayed_pings(self, now: timedelta) -> None:
        """Drop the pings whose ack would come too late; all have the same timeout, so the oldest go first."""
        while self.relayed_pings:
            number, oldest = next(iter(self.relayed_pings.items()))
            if now < oldest.expires_at:
                return
            del self.relayed_pings[number]

    def _fail_overdue_suspects(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for name in [name for name, fails_at in self.suspects.items() if fails_at <= now]:
            failed = MemberUpdate(name, self.roster.members[name].incarnation, Status.FAILED)
            effects += self._apply_update(failed, now)
        return effects

    def _end_period(self, now: timedelta) -> list[Effect]:
        check = self.health_check
        self.health_check = None
        if check is None:
            return []
        if check.acked:
            self.health.improve()
            return []
        self.health.worsen()
        known = self.roster.members.get(check.target)
        if known is None or known.status is not Status.ALIVE:
            return []
        return self._apply_update(MemberUpdate(check.target, known.incarnation, Status.SUSPECT), now)

    def _begin_period(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        target = self.member_round.next(self.roster.participants(self.name), self.rng)
        if target is not None:
            number = self._next_sequence_number()
            indirect_at = now + self.health.scale(self.timing.ack_timeout)
            self.health_check = HealthCheck(number, target, indirect_at)
            effects.append(self._ping(target, number))
        # An address without a known member may belong to a head that has started or was partitioned away.
        address = self.address_round.next(self.roster.unknown_addresses(self.peers), self.rng)
        if address is not None:
            name = self.roster.name_at(address)
            effects.append(self._send(address, Kind.PING, self._next_sequence_number(), recipient=name))
        return effects

    def _next_sequence_number(self) -> int:
        self.sequence_number += 1
        return self.sequence_number

    def _ping(self, name: str, number: int) -> SendTo:
        return self._send(self.roster.addresses[name], Kind.PING, number, recipient=name)

    def _send_ping_reqs(self, check: HealthCheck) -> list[Effect]:
        if check.target not in self.roster.addresses:
            return []
        helpers = [
            name
            for name in self.roster.participants(self.name, check.target)
            if self.roster.status(name) is Status.ALIVE
        ]
        chosen = self.rng.sample(helpers, min(self.timing.indirect_checks, len(helpers)))
        # The ping is also sent again directly: at 20% packet loss, 3 instead of 7 of 100 checks get no ack.
        effects: list[Effect] = [self._ping(check.target, check.number)]
        for name in chosen:
            address = self.roster.addresses[name]
            effects.append(self._send(address, Kind.PING_FOR, check.number, check.target))
        return effects

    # -- messages -----------------------------------------------------------------------------------------
    def _receive(self, event: DatagramReceived) -> list[Effect]:
        message = event.message
        if message.sender == self.name:
            return [DatagramDropped(OWN_NAME)]
        known = self.roster.members.get(message.sender)
        if known is None and len(self.roster.members) >= MAX_HEADS:
            return [DatagramDropped(TOO_MANY_HEADS)]
        # Ignores delayed or replayed datagrams of an earlier process of that head. The answer contains the
        # known incarnation, so that a head whose clock was set back can choose a higher one.
        if known is not None and message.incarnation < known.incarnation:
            answer = self._send(event.address, Kind.ACK, UNSOLICITED, recipient=message.sender)
            return [DatagramDropped(OLDER_INCARNATION), answer]
        self.roster.record_address(message.sender, event.address)
        effects = self._apply_updates_of(message, event.at)
        if not self.has_left:
            effects += self._answer(message, event.address, event.at)
        return effects

    def _apply_updates_of(self, message: Datagram, now: timedelta) -> list[Effect]:
        """Apply a message's updates; a message without an update of its sender shows that it is alive."""
        effects: list[Effect] = []
        if not any(update.name == message.sender for update in message.updates):
            alive = MemberUpdate(message.sender, message.incarnation, Status.ALIVE)
            effects += self._apply_update(alive, now)
        for update in message.updates:
            effects += self._apply_update(update, now)
        return effects

    def _answer(self, message: Datagram, address: str, now: timedelta) -> list[Effect]:
        match message.kind:
            case Kind.PING:
                return [self._send(address, Kind.ACK, message.number, recipient=message.sender)]
            case Kind.PING_FOR:
                return self._relay_ping_req(message, address, now)
            case Kind.ACK:
                return self._receive_ack(message)

    def _relay_ping_req(self, message: Datagram, requester: str, now: timedelta) -> list[Effect]:
        if message.target not in self.roster.addresses:
            return []
        number = self._next_sequence_number()
        if len(self.relayed_pings) >= MAX_RELAYED_PINGS:
            oldest = next(iter(self.relayed_pings))
            del self.relayed_pings[oldest]
        # The requester waits for at most its longest possible period.
        expires_at = now + self.timing.period * (1 + self.timing.max_local_health)
        self.relayed_pings[number] = RelayedPing(message.number, requester, expires_at)
        return [self._ping(message.target, number)]

    def _receive_ack(self, message: Datagram) -> list[Effect]:
        check = self.health_check
        if check is not None and check.is_answered_by(message):
            check.acked = True
        relayed = self.relayed_pings.pop(message.number, None)
        if relayed is None:
            return []
        return [self._send(relayed.requester, Kind.ACK, relayed.number, target=message.sender)]

    def _send(self, address: str, kind: Kind, number: int, target: str = "", recipient: str = "") -> SendTo:
        """Send a message with as many updates as fit; the first one may be that of `recipient` itself."""
        bare = Datagram(kind, number, self.name, self.incarnation, target)
        first: tuple[MemberUpdate, ...] = ()
        capacity = bare.update_capacity()
        known = self.roster.members.get(recipient)
        # Lifeguard's buddy system: the ping that checks a suspect tells it about the suspicion.
        if known is not None and (known.status is not Status.ALIVE or number == UNSOLICITED):
            first = (known,)
            capacity -= wire_size(known)
        gossiped = self.gossip.select(capacity, self._max_transmits())
        updates = first + tuple(update for update in gossiped if update not in first)
        return SendTo(address, Datagram(kind, number, self.name, self.incarnation, target, updates))

    def _max_transmits(self) -> int:
        """Return how many times an update is piggybacked: lambda times the log of the fleet size (4.1)."""
        return math.ceil(self.timing.gossip_factor * math.log10(self.roster.count() + GOSSIP_FLEET_OFFSET))

    # -- membership updates -------------------------------------------------------------------------------
    def _apply_update(self, update: MemberUpdate, now: timedelta) -> list[Effect]:
        if update.name == self.name:
            return self._refute(update)
        if update.name not in self.roster.members and len(self.roster.members) >= MAX_HEADS:
            return [DatagramDropped(TOO_MANY_HEADS)]
        before = self.roster.status(update.name)
        if not self.roster.apply(update):
            return []
        self.gossip.add(update)
        if update.status is Status.SUSPECT:
            self.suspects[update.name] = now + self._suspicion_timeout()
        else:
            self.suspects.pop(update.name, None)
        if update.status is before:
            return []
        return [StatusChanged(update.name, update.status, update.incarnation)]

    def _suspicion_timeout(self) -> timedelta:
        """Return how long a suspect may refute: periods times log2 of the fleet size (SWIM section 4.2)."""
        fleet_factor = max(1.0, math.log2(self.roster.count() + 1))
        return self.health.scale(self.timing.period * (self.timing.suspicion_factor * fleet_factor))

    def _refute(self, update: MemberUpdate) -> list[Effect]:
        """Refute an update of this head by a higher incarnation, unless it is outdated or agrees."""
        agrees = update.status is Status.ALIVE and update.incarnation == self.incarnation
        if self.has_left or update.incarnation < self.incarnation or agrees:
            return []
        if update.status is not Status.ALIVE:
            self.health.worsen()
        self.incarnation = update.incarnation + 1
        self._publish_own_update()
        return []

    def _leave(self) -> list[Effect]:
        """Notify a few members that this head leaves; they gossip it to the others."""
        if self.has_left:
            return []
        self.has_left = True
        self._publish_own_update()
        participants = self.roster.participants(self.name)
        chosen = self.rng.sample(participants, min(2 * self.timing.indirect_checks, len(participants)))
        leave_message = Datagram(
            Kind.ACK, UNSOLICITED, self.name, self.incarnation, updates=(self.own_update,)
        )
        return [SendTo(self.roster.addresses[name], leave_message) for name in chosen]
