"""The messages between the launcher of hollow heads and its worker processes: lines of JSON.

A worker reads commands from its standard input and writes one reply to each, in the order in which they are
done, to its standard output. It ends when its input does.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

MAX_LINE = 64 * 1024 * 1024  # bytes of one message


class WorkerSpec(msgspec.Struct, frozen=True):
    """All that a worker process knows at its start."""

    heads_file: str  # heads.cue, as a real head's STOATROUTER_HEADS
    config_file: str  # as a real head's NODE_CONFIG
    http_file: str | None  # as a real head's STOATROUTER_HTTP
    log_file: str
    names: tuple[str, ...]  # of the hollow heads in this process
    addresses: dict[str, str]  # of the datagrams of all heads, real ones too, by name
    places: dict[str, tuple[int, int, int]]  # region, zone and rack of all heads
    real: tuple[str, ...]
    watches: bool = True  # whether hollow heads follow discovery


# -- commands ---------------------------------------------------------------------------------------------
class Start(msgspec.Struct, frozen=True, tag=True):
    """Start these heads, a few at a time."""

    names: tuple[str, ...]
    concurrency: int = 16


class Crash(msgspec.Struct, frozen=True, tag=True):
    """End these heads as killed processes end."""

    names: tuple[str, ...]


class Close(msgspec.Struct, frozen=True, tag=True):
    """Shut these heads down gracefully."""

    names: tuple[str, ...]


class SetPartition(msgspec.Struct, frozen=True, tag=True):
    """Cut heads on different sides off from each other, or these pairs of sides alone; no sides: heal."""

    sides: dict[str, int]
    cut_pairs: tuple[tuple[int, int], ...] = ()


class Spend(msgspec.Struct, frozen=True, tag=True):
    """Let each head have requests of each of these volumes, at a rate a second; 0: no more."""

    volumes: tuple[str, ...]
    rate: float
    seed: int


class Report(msgspec.Struct, frozen=True, tag=True):
    """Report on all heads, as the reply to every command does."""


Command = Start | Crash | Close | SetPartition | Spend | Report


class NumberedCommand(msgspec.Struct, frozen=True):
    """A command with the number that its reply has."""

    number: int
    command: Command


# -- replies ----------------------------------------------------------------------------------------------
class HeadReport(msgspec.Struct, frozen=True):
    """One hollow head as its process sees it."""

    COUNTED: ClassVar[tuple[str, ...]] = ("alive", "suspect", "failed", "left")

    name: str
    lifecycle: str
    reason: str = ""  # why it died
    availability: str = ""  # "in touch", "cut off", ...
    leader: str = ""
    applied: int = 0
    version: int = 0  # of the rules that it decides by
    nodes: int = 0
    served: int = 0  # requests of `Spend`
    rejected: int = 0
    counts: dict[str, int] = {}  # messages by kind
    seen: dict[str, int] = {}  # heads by status, as its detector has them


class Reply(msgspec.Struct, frozen=True):
    """What a worker answers to a command: a report on its heads and on itself."""

    number: int
    at: float  # Unix time
    heads: tuple[HeadReport, ...] = ()
    error: str = ""  # empty: the command succeeded
    cpu_seconds: float = 0.0  # of the whole process, since its start
    longest_lag: float = 0.0  # seconds by which the loop woke late, at most, since the last report
    late_fraction: float = 0.0  # of the loop's wakes since the last report, those that were late
    compiled: int = 0  # sets of rules
    dropped: int = 0  # messages that a partition dropped
