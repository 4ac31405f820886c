"""The messages between the launcher of hollow heads and its worker processes: lines of JSON.

A worker reads commands from standard input and writes a reply to each to standard output, in the order in
which commands complete. It exits when its input is closed.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

MAX_LINE = 64 * 1024 * 1024  # bytes of one message


class WorkerSpec(msgspec.Struct, frozen=True):
    """The specification that a worker process reads at its start."""

    heads_file: str  # heads.cue, like STOATROUTER_HEADS of a real head
    config_file: str  # like NODE_CONFIG of a real head
    http_file: str | None  # like STOATROUTER_HTTP of a real head
    log_file: str
    names: tuple[str, ...]  # of the hollow heads in this process
    addresses: dict[str, str]  # datagram addresses of all heads, including real ones, by name
    places: dict[str, tuple[int, int, int]]  # region, zone and rack of all heads
    real: tuple[str, ...]  # names of the real heads
    watches: bool = True  # whether hollow heads watch discovery


# -- commands ---------------------------------------------------------------------------------------------
class Start(msgspec.Struct, frozen=True, tag=True):
    """Start heads, at most `concurrency` at a time."""

    names: tuple[str, ...]
    concurrency: int = 16


class Crash(msgspec.Struct, frozen=True, tag=True):
    """End heads like killed processes."""

    names: tuple[str, ...]


class Close(msgspec.Struct, frozen=True, tag=True):
    """Shut heads down gracefully."""

    names: tuple[str, ...]


class SetPartition(msgspec.Struct, frozen=True, tag=True):
    """Partition heads on different sides, or only the given pairs of sides; no sides: heal the network."""

    sides: dict[str, int]
    cut_pairs: tuple[tuple[int, int], ...] = ()


class Spend(msgspec.Struct, frozen=True, tag=True):
    """Make requests of random volumes of these at each head, at a rate per second; 0 stops them."""

    volumes: tuple[str, ...]
    rate: float
    seed: int


class Report(msgspec.Struct, frozen=True, tag=True):
    """Request only the report on all heads that every reply contains."""


Command = Start | Crash | Close | SetPartition | Spend | Report


class NumberedCommand(msgspec.Struct, frozen=True):
    """A command with a number that identifies its reply."""

    number: int
    command: Command


# -- replies ----------------------------------------------------------------------------------------------
class HeadReport(msgspec.Struct, frozen=True):
    """The state of one hollow head, reported by its process."""

    COUNTED: ClassVar[tuple[str, ...]] = ("alive", "suspect", "failed", "left")

    name: str
    lifecycle: str
    reason: str = ""  # why the head died
    availability: str = ""  # "in touch", "cut off", ...
    leader: str = ""
    applied: int = 0
    version: int = 0  # of the rules in force
    nodes: int = 0
    served: int = 0  # requests made for `Spend`
    rejected: int = 0
    counts: dict[str, int] = {}  # message counters by kind
    seen: dict[str, int] = {}  # number of heads by status, as seen by its detector


class Reply(msgspec.Struct, frozen=True):
    """The reply of a worker to a command, with a report on its heads and on itself."""

    number: int
    at: float  # Unix time
    heads: tuple[HeadReport, ...] = ()
    error: str = ""  # empty: the command succeeded
    cpu_seconds: float = 0.0  # of the process since its start
    longest_lag: float = 0.0  # seconds; maximum delay of the event loop since the last report
    late_fraction: float = 0.0  # fraction of late wake-ups of the event loop since the last report
    compiled: int = 0  # number of compiled sets of rules
    dropped: int = 0  # number of messages dropped by partitions
