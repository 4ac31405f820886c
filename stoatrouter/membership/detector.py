"""Who is there among the heads: SWIM's failure detector with suspicion, as reduce(event) -> effects.

No socket, no clock, no randomness of its own: times come with events, draws come from the seed given. After
SWIM (Das, Gupta, Motivala 2002): in each period one head is probed, in an order drawn anew each round (4.3);
without an ack others are asked to probe it (4.1); without any it is suspected, and taken for failed only if
it does not refute within a time that grows with the logarithm of the fleet (4.2); news rides on these
messages (4.1), so the load for each head is constant. From Lifeguard (Dadgar, Phillips, Currey 2018): a head
that misses acks suspects itself first and waits longer (local health), and a suspected head is told so in the
very message that probes it (buddy system).

A failed head is tried again once a period, one at a time, so that two halves of a split find each other
again. What the detector says moves no share and no right (agreement/availability.py): it only guides who is
waited for.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.membership.datagram import Datagram, Kind
from stoatrouter.membership.roster import News, Roster, Rumours, Status

MOST_HEADS = 1024  # a bound on what is held; news of further names is dropped and counted
MOST_RELAYED = 256  # probes under way for others; beyond, the oldest is forgotten


@dataclass(slots=True, frozen=True)
class Timing:
    """Timings of the detector.

    With these, all heads see a killed one as failed after 4 s at 3 heads, 8 s at 20 and 12 s at 100
    (docs/measurements/heads.md).
    """

    period: timedelta = timedelta(milliseconds=500)
    ack_within: timedelta = timedelta(milliseconds=150)  # of the direct probe; then others are asked
    others: int = 3  # asked to probe in this head's place
    suspicion: float = 3.0  # periods, times log2 of the fleet: how long a suspected head may refute
    gossip: float = 4.0  # times log10 of the fleet: how often one piece of news is passed on
    local_health: int = 4  # how many times over a head in doubt of itself lengthens its spans; 0: never


# -- events -----------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; it is sent several times in each period."""

    at: timedelta


@dataclass(slots=True, frozen=True)
class Heard:
    """A datagram has come from another head."""

    at: timedelta
    address: str  # where it came from
    message: Datagram


@dataclass(slots=True, frozen=True)
class Leaving:
    """This head stops and tells the others so."""

    at: timedelta


Event = Tick | Heard | Leaving


# -- effects ----------------------------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class SendTo:
    """Send a datagram to an address."""

    address: str
    message: Datagram


@dataclass(slots=True, frozen=True)
class Changed:
    """The status of a head has changed, as seen from here."""

    name: str
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class Dropped:
    """A message was ignored, and why."""

    why: str


Effect = SendTo | Changed | Dropped


@dataclass(slots=True)
class Probe:
    """The probe of the present period."""

    number: int
    name: str
    ask_others_at: timedelta
    asked: bool = False
    acked: bool = False


@dataclass(slots=True)
class Relayed:
    """A probe that is made for another head."""

    number: int  # the asker's
    asker: str  # its address


@dataclass(slots=True)
class Detector:
    """One head's failure detector.

    `peers` are addresses at which heads may be; their names are learnt from their messages.
    """

    name: str
    incarnation: int
    peers: tuple[str, ...]
    seed: int
    timing: Timing = field(default_factory=Timing)
    roster: Roster = field(default_factory=Roster)
    rumours: Rumours = field(default_factory=Rumours)
    suspects: dict[str, timedelta] = field(default_factory=dict)  # taken for failed at
    relayed: dict[int, Relayed] = field(default_factory=dict)
    probe: Probe | None = None
    order: list[str] = field(default_factory=list)  # of this round, the next last
    strangers: list[str] = field(default_factory=list)
    next_period: timedelta | None = None
    number: int = 0
    doubt: int = 0  # of this head in itself: missed acks less good ones, 0 to timing.local_health
    gone: bool = False
    draws: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.draws = random.Random(f"detector/{self.seed}/{self.name}")
        self.roster.held[self.name] = self.myself
        self.rumours.add(self.myself)

    @property
    def myself(self) -> News:
        """The news of this head itself."""
        return News(self.name, self.incarnation, Status.LEFT if self.gone else Status.ALIVE)

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
        """A timing of this head, lengthened while its local health is low."""
        return base * (1 + self.doubt)

    def spread(self) -> float:
        """The factor by which spans grow with the fleet: log2 of its size."""
        return math.log2(self.roster.count() + 1)

    # -- time ---------------------------------------------------------------------------------------------
    def _tick(self, now: timedelta) -> list[Effect]:
        if self.gone:
            return []
        effects: list[Effect] = []
        for name in [n for n, at in self.suspects.items() if at <= now]:
            effects += self._take(News(name, self.roster.held[name].incarnation, Status.FAILED), now)
        probe = self.probe
        if probe is not None and not probe.acked and not probe.asked and now >= probe.ask_others_at:
            probe.asked = True
            effects += self._ask_others(probe)
        if self.next_period is None or now >= self.next_period:
            effects += self._end_period(now)
            self.next_period = now + self.span(self.timing.period)
            effects += self._begin_period(now)
        return effects

    def _end_period(self, now: timedelta) -> list[Effect]:
        probe, self.probe = self.probe, None
        if probe is None:
            return []
        if probe.acked:
            self.doubt = max(0, self.doubt - 1)
            return []
        self.doubt = min(self.timing.local_health, self.doubt + 1)
        held = self.roster.held.get(probe.name)
        if held is None or held.status is not Status.ALIVE:
            return []
        return self._take(News(probe.name, held.incarnation, Status.SUSPECT), now)

    def _begin_period(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        if (name := self._next()) is not None:
            self.number += 1
            self.probe = Probe(self.number, name, now + self.span(self.timing.ack_within))
            effects.append(self._send(self.roster.addresses[name], Kind.PING, self.number, told=name))
        if (address := self._next_stranger()) is not None:
            self.number += 1
            name = next((n for n, a in self.roster.addresses.items() if a == address), "")
            effects.append(self._send(address, Kind.PING, self.number, told=name))
        return effects

    def _next(self) -> str | None:
        """The next to be probed: each once a round, in an order drawn for it, so that none waits for long."""
        participants = set(self.roster.participants(self.name))
        while self.order:
            if (name := self.order.pop()) in participants:
                return name
        self.order = sorted(participants)
        self.draws.shuffle(self.order)
        return self.order.pop() if self.order else None

    def _next_stranger(self) -> str | None:
        """The next address at which nobody is known to be: a head that starts, or comes back after a
        split."""
        left = set(self.roster.unknown_addresses(self.peers))
        while self.strangers:
            if (address := self.strangers.pop()) in left:
                return address
        self.strangers = sorted(left)
        self.draws.shuffle(self.strangers)
        return self.strangers.pop() if self.strangers else None

    def _ask_others(self, probe: Probe) -> list[Effect]:
        if probe.name not in self.roster.addresses:
            return []
        participants = [
            n
            for n in self.roster.participants(self.name, probe.name)
            if self.roster.status(n) is Status.ALIVE
        ]
        chosen = self.draws.sample(participants, min(self.timing.others, len(participants)))
        # and once more itself: at 20% loss that leaves 3 of 100 probes without an answer where 7 were
        again = self._send(self.roster.addresses[probe.name], Kind.PING, probe.number, told=probe.name)
        return [
            again,
            *(
                self._send(self.roster.addresses[name], Kind.PING_FOR, probe.number, probe.name)
                for name in chosen
            ),
        ]

    # -- messages -----------------------------------------------------------------------------------------
    def _heard(self, event: Heard) -> list[Effect]:
        message, now = event.message, event.at
        if message.sender == self.name:
            return [Dropped("own_name")]
        before = self.roster.held.get(message.sender)
        if before is None and len(self.roster.held) >= MOST_HEADS:
            return [Dropped("too_many_heads")]
        # Guards against what an earlier process of that head said, come late or sent again: it is answered
        # with what is held of the head, so that one whose clock went back can go beyond it.
        if before is not None and message.incarnation < before.incarnation:
            answer = self._send(event.address, Kind.ACK, 0, told=message.sender)
            return [Dropped("older_incarnation"), answer]
        effects: list[Effect] = []
        self.roster.met(message.sender, event.address)
        said = News(message.sender, message.incarnation, Status.ALIVE)
        if not any(news.name == message.sender for news in message.news):
            effects += self._take(said, now)
        for news in message.news:
            effects += self._take(news, now)
        if self.gone:
            return effects
        match message.kind:
            case Kind.PING:
                effects.append(self._send(event.address, Kind.ACK, message.number, told=message.sender))
            case Kind.PING_FOR:
                effects += self._probe_for(message, event.address)
            case Kind.ACK:
                effects += self._acked(message)
        return effects

    def _probe_for(self, message: Datagram, asker: str) -> list[Effect]:
        address = self.roster.addresses.get(message.about)
        if address is None:
            return []
        self.number += 1
        if len(self.relayed) >= MOST_RELAYED:
            del self.relayed[next(iter(self.relayed))]
        self.relayed[self.number] = Relayed(message.number, asker)
        return [self._send(address, Kind.PING, self.number, told=message.about)]

    def _acked(self, message: Datagram) -> list[Effect]:
        # an ack that another head passes on names whom it is about
        if (
            self.probe is not None
            and message.number == self.probe.number
            and self.probe.name in (message.sender, message.about)
        ):
            self.probe.acked = True
        relayed = self.relayed.pop(message.number, None)
        if relayed is None:
            return []
        return [self._send(relayed.asker, Kind.ACK, relayed.number, about=message.sender)]

    def _send(self, address: str, kind: Kind, number: int, about: str = "", told: str = "") -> SendTo:
        """A message with what news fits; the head that it goes to is told first what is said of itself."""
        bare = Datagram(kind, number, self.name, self.incarnation, about)
        first: tuple[News, ...] = ()
        room = bare.room()
        held = self.roster.held.get(told)
        if held is not None and held.status is not Status.ALIVE or held is not None and number == 0:
            first, room = (held,), room - 8 - len(told.encode())
        most = math.ceil(self.timing.gossip * math.log10(self.roster.count() + 9))
        news = tuple(n for n in self.rumours.take(room, most) if n not in first)
        return SendTo(address, Datagram(kind, number, self.name, self.incarnation, about, first + news))

    # -- news ---------------------------------------------------------------------------------------------
    def _take(self, news: News, now: timedelta) -> list[Effect]:
        if news.name == self.name:
            return self._of_myself(news)
        if news.name not in self.roster.held and len(self.roster.held) >= MOST_HEADS:
            return [Dropped("too_many_heads")]
        before = self.roster.status(news.name)
        if not self.roster.take(news):
            return []
        self.rumours.add(news)
        if news.status is Status.SUSPECT:
            after = self.timing.period * (self.timing.suspicion * max(1.0, self.spread()))
            self.suspects[news.name] = now + self.span(after)
        else:
            self.suspects.pop(news.name, None)
        return [Changed(news.name, news.status, news.incarnation)] if news.status is not before else []

    def _of_myself(self, news: News) -> list[Effect]:
        """Refute what is said of this head, unless it is what it says itself."""
        if (
            self.gone
            or news.incarnation < self.incarnation
            or (news.status is Status.ALIVE and news.incarnation == self.incarnation)
        ):
            return []
        if news.status is not Status.ALIVE:
            self.doubt = min(self.timing.local_health, self.doubt + 1)
        self.incarnation = news.incarnation + 1
        self.roster.held[self.name] = self.myself
        self.rumours.add(self.myself)
        return []

    def _leave(self) -> list[Effect]:
        """Say so to a few at once; they pass it on."""
        if self.gone:
            return []
        self.gone = True
        self.roster.held[self.name] = self.myself
        self.rumours.add(self.myself)
        participants = self.roster.participants(self.name)
        chosen = self.draws.sample(participants, min(2 * self.timing.others, len(participants)))
        return [
            SendTo(
                self.roster.addresses[n],
                Datagram(Kind.ACK, 0, self.name, self.incarnation, "", (self.myself,)),
            )
            for n in chosen
        ]
