"""What the launcher of hollow heads and its worker processes say to each other: lines of JSON.

A worker reads commands from its standard input and writes one answer to each, in the order in which they are
done, to its standard output. It ends when its input does.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec


class WorkerSpec(msgspec.Struct, frozen=True):
    """All that a worker process is told at its start."""

    heads_file: str  # heads.cue, as a real head's STOATROUTER_HEADS
    config_file: str  # as a real head's NODE_CONFIG
    http_file: str | None  # as a real head's STOATROUTER_HTTP
    log_file: str
    names: tuple[str, ...]  # of the hollow heads in this process
    addresses: dict[str, str]  # of the datagrams of all heads, real ones with them, by name
    places: dict[str, tuple[int, int, int]]  # region, zone and rack of all heads
    real: tuple[str, ...]
    watches: bool = True  # whether hollow heads follow discovery


class Start(msgspec.Struct, frozen=True, tag=True):
    """Start these heads, a few at a time."""

    names: tuple[str, ...]
    at_once: int = 16


class Crash(msgspec.Struct, frozen=True, tag=True):
    """End these heads as killed processes end."""

    names: tuple[str, ...]


class Close(msgspec.Struct, frozen=True, tag=True):
    """End these heads as processes that are asked to."""

    names: tuple[str, ...]


class Part(msgspec.Struct, frozen=True, tag=True):
    """Put a partition between heads on different sides, or between these pairs of sides alone; nobody named:
    take it away.
    """

    sides: dict[str, int]
    apart: tuple[tuple[int, int], ...] = ()


class Spend(msgspec.Struct, frozen=True, tag=True):
    """Let each head have requests of each of these volumes, at a rate a second; 0: no more."""

    volumes: tuple[str, ...]
    rate: float
    seed: int


class Tell(msgspec.Struct, frozen=True, tag=True):
    """Report on all heads."""


Command = Start | Crash | Close | Part | Spend | Tell


class Ordered(msgspec.Struct, frozen=True):
    """A command with its number."""

    number: int
    command: Command


class HeadReport(msgspec.Struct, frozen=True):
    """One hollow head as its process sees it."""

    COUNTED: ClassVar[tuple[str, ...]] = ("alive", "suspect", "failed", "left")

    name: str
    life: str
    why: str = ""
    state: str = ""  # standing: in touch, cut off, ...
    leader: str = ""
    applied: int = 0
    version: int = 0  # of the rules that it decides by
    nodes: int = 0
    served: int = 0
    refused: int = 0
    counts: dict[str, int] = {}
    seen: dict[str, int] = {}  # heads by status, as its detector has them


class Answer(msgspec.Struct, frozen=True):
    """To one command."""

    number: int
    at: float  # Unix time
    heads: tuple[HeadReport, ...] = ()
    error: str = ""
    cpu_seconds: float = 0.0  # of the whole process, since its start
    longest_lag: float = 0.0  # seconds by which the loop woke late, at most, since the last report
    lag_share: float = 0.0  # of the loop's wakes since the last report, those later than a tenth of a second
    compiled: int = 0  # sets of rules
    cut_off: int = 0  # messages that a partition dropped
