"""The plan of a seed of the soak: its kind, and how its heads are ended."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import StrEnum

TERM = signal.SIGTERM
HUP = signal.SIGHUP
JUDGE_SLACK = 0.4  # seconds; allows for the whole program on a busy machine
MAX_SERIES_SECONDS = 0.2  # from the first signal of a series to the last


class Kind(StrEnum):
    """The load or setup of a seed's heads beside ends and disturbances."""

    PLAIN = "plain"
    CROWD = "crowd"  # idle clients use up the descriptors
    UPGRADE = "upgrade"  # a new process takes over from each ending one
    CREDIT = "credit"  # the heads form a fleet and share prepaid credit


# By the last digit of the seed: three in ten have idle clients, three in ten have credit.
KINDS = [Kind.CROWD, Kind.CREDIT, Kind.PLAIN, Kind.UPGRADE] + [Kind.CROWD, Kind.CREDIT] * 2
KINDS += [Kind.PLAIN, Kind.UPGRADE]


def kind_of(seed: int) -> Kind:
    """Return the kind of a seed."""
    return KINDS[seed % len(KINDS)]


class Pressure(StrEnum):
    """What many clients make the heads of a seed hold, beside its other load."""

    NONE = "none"
    HALTING_WRITERS = "halting writers"
    SLOW_WRITERS = "slow writers"
    LONG_HEADS = "long heads"
    ONE_BYTE_CHUNKS = "one-byte chunks"


def pressure_of(seed: int) -> Pressure:
    """Return the pressure of a seed; heads with credit have none."""
    if kind_of(seed) is Kind.CREDIT:
        return Pressure.NONE
    return list(Pressure)[(seed // len(KINDS) + seed) % len(Pressure)]


class Disturbance(StrEnum):
    """A disturbance at the same time as the end of a head."""

    DRAIN = "drain"
    SILENT_WATCHES = "silent watches"  # with a drain, which the watches miss
    RESET_WATCHES = "reset watches"  # with a drain
    OUTAGE = "outage"  # of discovery, lasting into the start of the next process


class EndMode(StrEnum):
    """The situation in which a process is ended."""

    SERIES = "by a series"
    EARLY = "within moments of its start"
    OLD = "as another takes over"
    NEW = "as it takes over"


@dataclass(slots=True, frozen=True)
class TimedSignal:
    """A signal of a series, and its delay after the first one in seconds."""

    delay: float
    signal_number: signal.Signals


SERIES = ((TERM,), (TERM, TERM), (HUP, TERM), (TERM, HUP), (HUP, TERM, HUP), (HUP, HUP, TERM, TERM))


def draw_series(draws: random.Random) -> list[TimedSignal]:
    """Draw the signals by which a process is ended, SIGTERM among them."""
    signals = draws.choice(SERIES)
    times = sorted(draws.choice((0.0, draws.uniform(0.0, MAX_SERIES_SECONDS))) for _ in signals)
    return [
        TimedSignal(at - times[0], signal_number) for at, signal_number in zip(times, signals, strict=True)
    ]
