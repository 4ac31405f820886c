"""Who is there among the heads: SWIM's failure detector with suspicion, as reduce(event) -> effects.

No socket, no clock, no randomness of its own: times come with events, draws come from the seed given. After
SWIM (Das, Gupta, Motivala 2002): in each period one head is pinged, in an order drawn anew each round (4.3);
without an ack others are sent a ping-req, an indirect health check (4.1); without any ack the member is
suspected, and taken for failed only if it does not refute within a suspicion timeout that grows with the
logarithm of the fleet (4.2); membership updates are piggybacked on these messages (4.1), so the load for each
head is constant. From Lifeguard (Dadgar, Phillips, Currey 2018): a head that misses acks lowers its own local
health score and waits longer (local health awareness), and a suspected member is notified in the very ping
that checks it (buddy system).

A failed head is pinged again once a period, one at a time, so that two halves of a split find each other
again. What the detector says moves no quota and no right (agreement/availability.py): it only guides who is
waited for.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.membership.datagram import Datagram, Kind
from stoatrouter.membership.roster import UPDATE_FIXED_BYTES, GossipQueue, MemberUpdate, Roster, Status

MOST_HEADS = 1024  # a bound on the membership list; updates of further names are dropped and counted
MOST_RELAYED = 256  # pings in flight for others' ping-reqs; beyond, the oldest is forgotten
UNSOLICITED = 0  # the sequence number of an ack that answers no ping
GOSSIP_FLEET_OFFSET = 9  # log10(count + 9): at least 1 for a fleet of one
# reasons under which a Dropped datagram is counted (peering/datagrams.py); operators see them
OWN_NAME, TOO_MANY_HEADS, OLDER_INCARNATION = "own_name", "too_many_heads", "older_incarnation"


@dataclass(slots=True, frozen=True)
class Timing:
    """Timings of the detector (SWIM section 4; Lifeguard section 4.1).

    With these, all heads see a killed one as failed after 4 s at 3 heads, 8 s at 20 and 12 s at 100
    (docs/measurements/heads.md). The settings file's fields are mapped onto these in peering/settings.py.

    Attributes:
        period: SWIM's protocol period: one member is pinged in each.
        ack_within: How long the ack of the direct ping is awaited before ping-reqs are sent.
        indirect_checks: SWIM's k: how many members are sent a ping-req in this head's place.
        suspicion: The suspicion timeout in periods, times log2 of the fleet: how long a suspect may refute.
        gossip: Times log10 of the fleet: how many times one update is piggybacked (SWIM's lambda).
        local_health: Lifeguard's highest local health score: the most times over that this head's spans are
            lengthened while it misses acks; 0: never.
    """

    period: timedelta = timedelta(milliseconds=500)
    ack_within: timedelta = timedelta(milliseconds=150)
    indirect_checks: int = 3
    suspicion: float = 3.0
    gossip: float = 4.0
    local_health: int = 4


# -- events -----------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed, to `at` (from an arbitrary origin, never back); it is sent several times a period."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class Heard:
    """A datagram, `message`, has come from another head at `address`, at time `at`."""

    at: timedelta
    address: str
    message: Datagram


@dataclass(slots=True, frozen=True)
class Leaving:
    """This head stops at time `at` and notifies the others (graceful shutdown)."""

    at: timedelta


Event = Tick | Heard | Leaving


# -- effects ----------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class SendTo:
    """Send `message` to `address`."""

    address: str
    message: Datagram


@dataclass(slots=True, frozen=True)
class Changed:
    """The status of a member has changed, as seen from here, to `status` at `incarnation`."""

    name: str
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class Dropped:
    """A message was ignored; `why` is the reason under which it is counted."""

    why: str


Effect = SendTo | Changed | Dropped


@dataclass(slots=True)
class HealthCheck:
    """The health check of the present period: a ping, then ping-reqs (SWIM section 4.1)."""

    number: int  # its sequence number
    target: str  # the member checked
    indirect_at: timedelta  # when ping-reqs are due without an ack
    indirect_sent: bool = False
    acked: bool = False  # direct or relayed


@dataclass(slots=True)
class Relayed:
    """A ping that this head sends for another's ping-req."""

    number: int  # the ping-req's sequence number, named in the relayed ack
    asker: str  # the address of the head that sent the ping-req


@dataclass(slots=True)
class Detector:
    """One head's failure detector.

    `name` (1 to 24 bytes of UTF-8) and `incarnation` are this head's; `peers` are addresses at which members
    may be, whose names are learnt from their messages; `seed` seeds the draws of ping order and helpers.
    """

    name: str
    incarnation: int
    peers: tuple[str, ...]
    seed: int
    timing: Timing = field(default_factory=Timing)
    roster: Roster = field(default_factory=Roster)
    gossip: GossipQueue = field(default_factory=GossipQueue)
    suspects: dict[str, timedelta] = field(default_factory=dict)  # when each is taken for failed
    relayed: dict[int, Relayed] = field(default_factory=dict)  # by this head's sequence number
    health_check: HealthCheck | None = None
    order: list[str] = field(default_factory=list)  # members to ping this round, the next last
    unknown: list[str] = field(default_factory=list)  # addresses of nobody known, to ping this round
    next_period: timedelta | None = None
    number: int = 0  # the latest sequence number used
    health_score: int = 0  # Lifeguard's local health multiplier: missed acks less good ones
    gone: bool = False
    draws: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the draws, and put this head's own update into the list and the gossip."""
        self.draws = random.Random(f"detector/{self.seed}/{self.name}")
        self.roster.members[self.name] = self.own_update
        self.gossip.add(self.own_update)

    @property
    def own_update(self) -> MemberUpdate:
        """The update of this head itself: alive, or left once it has left."""
        return MemberUpdate(self.name, self.incarnation, Status.LEFT if self.gone else Status.ALIVE)

    def reduce(self, event: Event) -> list[Effect]:
        """Take one event; returns the effects, in order."""
        match event:
            case Tick():
                return self._tick(event.at)
            case Heard():
                return self._heard(event)
            case Leaving():
                return self._leave()

    def span(self, base: timedelta) -> timedelta:
        """A timing of this head, lengthened while its local health is low (Lifeguard section 4.1)."""
        return base * (1 + self.health_score)

    def spread(self) -> float:
        """The factor by which spans grow with the fleet: log2 of its size."""
        return math.log2(self.roster.count() + 1)

    # -- time ---------------------------------------------------------------------------------------------
    def _tick(self, now: timedelta) -> list[Effect]:
        if self.gone:
            return []
        effects: list[Effect] = []
        for name in [n for n, at in self.suspects.items() if at <= now]:
            failed = MemberUpdate(name, self.roster.members[name].incarnation, Status.FAILED)
            effects += self._apply_update(failed, now)
        check = self.health_check
        if check is not None and not check.acked and not check.indirect_sent and now >= check.indirect_at:
            check.indirect_sent = True
            effects += self._send_ping_reqs(check)
        if self.next_period is None or now >= self.next_period:
            effects += self._end_period(now)
            self.next_period = now + self.span(self.timing.period)
            effects += self._begin_period(now)
        return effects

    def _end_period(self, now: timedelta) -> list[Effect]:
        check, self.health_check = self.health_check, None
        if check is None:
            return []
        if check.acked:
            self.health_score = max(0, self.health_score - 1)
            return []
        self.health_score = min(self.timing.local_health, self.health_score + 1)
        known = self.roster.members.get(check.target)
        if known is None or known.status is not Status.ALIVE:
            return []
        return self._apply_update(MemberUpdate(check.target, known.incarnation, Status.SUSPECT), now)

    def _begin_period(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        if (name := self._next_target()) is not None:
            self.number += 1
            self.health_check = HealthCheck(self.number, name, now + self.span(self.timing.ack_within))
            effects.append(self._send(self.roster.addresses[name], Kind.PING, self.number, recipient=name))
        if (address := self._next_unknown_address()) is not None:
            self.number += 1
            name = next((n for n, a in self.roster.addresses.items() if a == address), "")
            effects.append(self._send(address, Kind.PING, self.number, recipient=name))
        return effects

    def _next_target(self) -> str | None:
        """The next member to ping: each once a round, in an order drawn for it (SWIM section 4.3)."""
        participants = set(self.roster.participants(self.name))
        while self.order:
            if (name := self.order.pop()) in participants:
                return name
        self.order = sorted(participants)
        self.draws.shuffle(self.order)
        return self.order.pop() if self.order else None

    def _next_unknown_address(self) -> str | None:
        """The next peer address at which no member is known: a head that starts, or is back after a split."""
        left = set(self.roster.unknown_addresses(self.peers))
        while self.unknown:
            if (address := self.unknown.pop()) in left:
                return address
        self.unknown = sorted(left)
        self.draws.shuffle(self.unknown)
        return self.unknown.pop() if self.unknown else None

    def _send_ping_reqs(self, check: HealthCheck) -> list[Effect]:
        if check.target not in self.roster.addresses:
            return []
        participants = [
            n
            for n in self.roster.participants(self.name, check.target)
            if self.roster.status(n) is Status.ALIVE
        ]
        chosen = self.draws.sample(participants, min(self.timing.indirect_checks, len(participants)))
        # and once more itself: at 20% loss that leaves 3 of 100 checks without an answer where 7 were
        again = self._send(
            self.roster.addresses[check.target], Kind.PING, check.number, recipient=check.target
        )
        return [
            again,
            *(
                self._send(self.roster.addresses[name], Kind.PING_FOR, check.number, check.target)
                for name in chosen
            ),
        ]

    # -- messages -----------------------------------------------------------------------------------------
    def _heard(self, event: Heard) -> list[Effect]:
        message, now = event.message, event.at
        if message.sender == self.name:
            return [Dropped(OWN_NAME)]
        before = self.roster.members.get(message.sender)
        if before is None and len(self.roster.members) >= MOST_HEADS:
            return [Dropped(TOO_MANY_HEADS)]
        # Guards against what an earlier process of that head said, come late or sent again: it is answered
        # with what is known of the head, so that one whose clock went back can go beyond it.
        if before is not None and message.incarnation < before.incarnation:
            answer = self._send(event.address, Kind.ACK, UNSOLICITED, recipient=message.sender)
            return [Dropped(OLDER_INCARNATION), answer]
        effects: list[Effect] = []
        self.roster.met(message.sender, event.address)
        said = MemberUpdate(message.sender, message.incarnation, Status.ALIVE)
        if not any(update.name == message.sender for update in message.updates):
            effects += self._apply_update(said, now)
        for update in message.updates:
            effects += self._apply_update(update, now)
        if self.gone:
            return effects
        match message.kind:
            case Kind.PING:
                effects.append(self._send(event.address, Kind.ACK, message.number, recipient=message.sender))
            case Kind.PING_FOR:
                effects += self._relay_ping_req(message, event.address)
            case Kind.ACK:
                effects += self._take_ack(message)
        return effects

    def _relay_ping_req(self, message: Datagram, asker: str) -> list[Effect]:
        address = self.roster.addresses.get(message.target)
        if address is None:
            return []
        self.number += 1
        if len(self.relayed) >= MOST_RELAYED:
            del self.relayed[next(iter(self.relayed))]
        self.relayed[self.number] = Relayed(message.number, asker)
        return [self._send(address, Kind.PING, self.number, recipient=message.target)]

    def _take_ack(self, message: Datagram) -> list[Effect]:
        # an ack that another head relays names its target
        check = self.health_check
        if (
            check is not None
            and message.number == check.number
            and check.target in (message.sender, message.target)
        ):
            check.acked = True
        relayed = self.relayed.pop(message.number, None)
        if relayed is None:
            return []
        return [self._send(relayed.asker, Kind.ACK, relayed.number, target=message.sender)]

    def _send(self, address: str, kind: Kind, number: int, target: str = "", recipient: str = "") -> SendTo:
        """A message with what updates fit; `recipient` is notified first of what is said of itself."""
        bare = Datagram(kind, number, self.name, self.incarnation, target)
        first: tuple[MemberUpdate, ...] = ()
        capacity = bare.update_capacity()
        known = self.roster.members.get(recipient)
        # Lifeguard's buddy system: a suspect learns of it in the very ping that checks it.
        if known is not None and (known.status is not Status.ALIVE or number == UNSOLICITED):
            first, capacity = (known,), capacity - UPDATE_FIXED_BYTES - len(recipient.encode())
        most = math.ceil(self.timing.gossip * math.log10(self.roster.count() + GOSSIP_FLEET_OFFSET))
        updates = tuple(u for u in self.gossip.take(capacity, most) if u not in first)
        return SendTo(address, Datagram(kind, number, self.name, self.incarnation, target, first + updates))

    # -- membership updates -------------------------------------------------------------------------------
    def _apply_update(self, update: MemberUpdate, now: timedelta) -> list[Effect]:
        if update.name == self.name:
            return self._refute(update)
        if update.name not in self.roster.members and len(self.roster.members) >= MOST_HEADS:
            return [Dropped(TOO_MANY_HEADS)]
        before = self.roster.status(update.name)
        if not self.roster.apply(update):
            return []
        self.gossip.add(update)
        if update.status is Status.SUSPECT:
            timeout = self.timing.period * (self.timing.suspicion * max(1.0, self.spread()))
            self.suspects[update.name] = now + self.span(timeout)
        else:
            self.suspects.pop(update.name, None)
        return (
            [Changed(update.name, update.status, update.incarnation)] if update.status is not before else []
        )

    def _refute(self, update: MemberUpdate) -> list[Effect]:
        """Refute what is said of this head by a higher incarnation, unless it is what it says itself."""
        if (
            self.gone
            or update.incarnation < self.incarnation
            or (update.status is Status.ALIVE and update.incarnation == self.incarnation)
        ):
            return []
        if update.status is not Status.ALIVE:
            self.health_score = min(self.timing.local_health, self.health_score + 1)
        self.incarnation = update.incarnation + 1
        self.roster.members[self.name] = self.own_update
        self.gossip.add(self.own_update)
        return []

    def _leave(self) -> list[Effect]:
        """Notify a few members at once that this head leaves; they gossip it on."""
        if self.gone:
            return []
        self.gone = True
        self.roster.members[self.name] = self.own_update
        self.gossip.add(self.own_update)
        participants = self.roster.participants(self.name)
        chosen = self.draws.sample(participants, min(2 * self.timing.indirect_checks, len(participants)))
        return [
            SendTo(
                self.roster.addresses[n],
                Datagram(Kind.ACK, UNSOLICITED, self.name, self.incarnation, "", (self.own_update,)),
            )
            for n in chosen
        ]
