"""What a seed of the soak plays: its kind, and how its heads are ended."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import StrEnum

TERM, HUP = signal.SIGTERM, signal.SIGHUP
SLACK = 0.4  # seconds, of the judge: for a whole program on a busy machine
SIGNALS_WITHIN = 0.2  # seconds, from the first signal of a series to its last


class Kind(StrEnum):
    """What the heads of a seed have to bear beside ends and disturbances."""

    PLAIN = "plain"
    CROWD = "crowd"  # idle clients fill the descriptors
    UPGRADE = "upgrade"  # a new process takes over from each that ends
    CREDIT = "credit"  # the heads know each other and share prepaid credit


# by the last digit of the seed: three in ten have a crowd, three in ten have credit
KINDS = [Kind.CROWD, Kind.CREDIT, Kind.PLAIN, Kind.UPGRADE] + [Kind.CROWD, Kind.CREDIT] * 2
KINDS += [Kind.PLAIN, Kind.UPGRADE]


def kind_of(seed: int) -> Kind:
    """The kind of a seed."""
    return KINDS[seed % len(KINDS)]


class Disturbance(StrEnum):
    """What goes wrong beside the end of a head."""

    DRAIN = "drain"
    SILENT_WATCHES = "silent watches"  # and a drain, which they miss
    RESET_WATCHES = "reset watches"  # and a drain
    OUTAGE = "outage"  # of discovery, into the start of the next process


class Way(StrEnum):
    """How a process came to be ended."""

    SERIES = "by a series"
    EARLY = "within moments of its start"
    OLD = "as another takes over"


@dataclass(slots=True, frozen=True)
class Signalled:
    """A signal of a series, and how long after the first it is sent, in seconds."""

    after: float
    sign: signal.Signals


SERIES = ((TERM,), (TERM, TERM), (HUP, TERM), (TERM, HUP), (HUP, TERM, HUP), (HUP, HUP, TERM, TERM))


def draw_series(draws: random.Random) -> list[Signalled]:
    """Draw the signals by which a process is ended, SIGTERM among them."""
    signs = draws.choice(SERIES)
    times = sorted(draws.choice((0.0, draws.uniform(0.0, SIGNALS_WITHIN))) for _ in signs)
    return [Signalled(at - times[0], sign) for at, sign in zip(times, signs, strict=True)]
