"""The operator's settings file for a fleet of heads (deploy/heads.cue is an example).

The schema `heads.#Heads` validates the form; constraints that it cannot express are checked here.
"""

from __future__ import annotations

import re
from datetime import timedelta
from pathlib import Path

import msgspec

from stoatrouter.agreement.state import Timing as AgreementTiming
from stoatrouter.config import Config, ConfigError, parse_address
from stoatrouter.credit.ledger_freshness import UnknownVolumes
from stoatrouter.membership.detector_records import Timing as DetectorTiming
from stoatrouter.peering.envelope import read_secret
from stoatrouter.settings import SettingsError, load

DURATION = re.compile(r"([0-9.]+)(ms|s|m)")
UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1), "m": timedelta(minutes=1)}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,23}")
VOTER_COUNTS = (1, 3, 5)
MIN_ELECTION_HEARTBEATS = 3  # lower bound of the election timeout, in heartbeat intervals


class HeadsSettingsError(ConfigError):
    """A setting of the heads has a value that is not allowed."""

    def __init__(self, path: Path, setting: str, found: str, allowed: str) -> None:
        """Format the message."""
        super().__init__(
            f"bad settings of the heads:\n{path.name}: {setting}: found {found} (allowed: {allowed})"
        )


# -- the file -----------------------------------------------------------------------------------------------
class DetectorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The part `detector` of the file."""

    period: str
    ack_within: str
    others: int
    suspicion: float
    local_health: int


class AgreementFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The part `agreement` of the file."""

    heartbeat: str
    election: str


class CreditFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The part `credit` of the file."""

    prices: dict[str, int]
    lease: str
    wait: str
    unknown_volumes: str


class RulesFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The part `rules` of the file."""

    versions: int
    check_within: str
    largest: int


class HeadsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; docs/heads.md describes each field."""

    fleet: str
    secret_file: str
    folder: str
    streams: dict[str, str]
    voters: tuple[str, ...]
    cut_off_after: str
    wait_at_start: str
    detector: DetectorFile
    agreement: AgreementFile
    listen: str | None = None
    credit: CreditFile | None = None
    rules: RulesFile | None = None


# -- the settings of a head ---------------------------------------------------------------------------------
class CreditSettings(msgspec.Struct, frozen=True):
    """The settings of prepaid credit."""

    prices: tuple[int, ...]  # by class, in millionths of a credit unit for each unit of a request
    lease: timedelta  # how long an allotment may be spent
    wait: timedelta  # how long a request waits for an allotment at most
    # policy for volumes without a known customer while the ledger is not current
    unknown_volumes: UnknownVolumes = UnknownVolumes.REJECT


class RulesSettings(msgspec.Struct, frozen=True):
    """The settings of the history of rules."""

    versions: int  # that the history retains
    check_within: timedelta  # the time limit for heads to check a new version
    largest: int  # upper bound of the size of a version's files, in bytes


class HeadsSettings(msgspec.Struct, frozen=True):
    """All settings of one head that concern the fleet."""

    name: str
    fleet: str
    secret: bytes  # the MAC key (envelope.read_secret)
    folder: Path  # of this head alone; persists across restarts
    streams: dict[str, str]  # where heads listen for streams, HOST:PORT by name
    voters: tuple[str, ...]  # the initial voters
    listen: str | None  # None: this head accepts no streams and only follows
    cut_off_after: timedelta  # time since the last contact with a majority
    wait_at_start: timedelta  # how long to wait for a majority before serving without one
    detector: DetectorTiming
    agreement: AgreementTiming
    peers: tuple[str, ...]  # addresses that datagrams are accepted from, HOST:PORT
    peer_listen: str | None  # address of the datagram socket; None: there is no failure detector
    credit: CreditSettings | None  # None: off
    rules: RulesSettings | None  # None: off


def load_heads(path: Path, conf: Config) -> HeadsSettings:
    """Read the operator's file.

    Args:
        path: The file; the secret's file and the folder are relative to it.
        conf: The head's own configuration, for its name, peers and classes.

    Returns:
        The settings of this head.

    Raises:
        ConfigError: The file, the secret or a value in it cannot be used; the text says what is allowed.
    """
    try:
        file = load(path, HeadsFile, "heads.#Heads").record
    except SettingsError as error:
        raise ConfigError(f"bad settings of the heads:\n{error}") from None
    check_file(path, file, conf)
    for stream_address in file.streams.values():
        parse_address(stream_address)
    return HeadsSettings(
        name=conf.name,
        fleet=file.fleet,
        secret=read_secret(path.parent / file.secret_file),
        folder=path.parent / file.folder / conf.name,
        streams=file.streams,
        voters=file.voters,
        listen=file.listen or file.streams.get(conf.name),
        cut_off_after=parse_duration(file.cut_off_after),
        wait_at_start=parse_duration(file.wait_at_start),
        detector=detector_timing(file.detector),
        agreement=agreement_timing(file.agreement),
        peers=conf.peers,
        peer_listen=conf.peer_listen,
        credit=credit_settings(path, file.credit, conf),
        rules=rules_settings(file.rules),
    )


def check_file(path: Path, file: HeadsFile, conf: Config) -> None:
    """Check the constraints that the schema cannot express; raises HeadsSettingsError."""
    agreement = file.agreement
    detector = file.detector
    if not NAME.fullmatch(conf.name):
        raise HeadsSettingsError(path, "NODE_NAME", repr(conf.name), "1 to 24 letters, digits, _ . -")
    check_voters(path, file)
    if parse_duration(agreement.election) < MIN_ELECTION_HEARTBEATS * parse_duration(agreement.heartbeat):
        raise HeadsSettingsError(
            path, "agreement.election", agreement.election, "three times agreement.heartbeat or more"
        )
    if parse_duration(detector.ack_within) >= parse_duration(detector.period):
        raise HeadsSettingsError(
            path, "detector.ack_within", detector.ack_within, "less than detector.period"
        )
    if file.rules is not None and not conf.http:
        raise HeadsSettingsError(
            path, "rules", "a history of rules", "this part only where STOATROUTER_HTTP names a file"
        )


def check_voters(path: Path, file: HeadsFile) -> None:
    """Check that the voters are 1, 3 or 5 heads with an address; raises HeadsSettingsError."""
    if len(file.voters) not in VOTER_COUNTS or len(set(file.voters)) != len(file.voters):
        raise HeadsSettingsError(
            path, "voters", ", ".join(file.voters) or "none", "1, 3 or 5 different heads"
        )
    missing = [name for name in file.voters if name not in file.streams]
    if missing:
        allowed = f"heads of streams: {', '.join(sorted(file.streams))}"
        raise HeadsSettingsError(path, "voters", ", ".join(missing), allowed)


def detector_timing(file: DetectorFile) -> DetectorTiming:
    """Return the detector's timings, from its part of the file."""
    return DetectorTiming(
        parse_duration(file.period),
        parse_duration(file.ack_within),
        file.others,
        file.suspicion,
        max_local_health=file.local_health,
    )


def agreement_timing(file: AgreementFile) -> AgreementTiming:
    """Return the agreement's timings, from its part of the file."""
    return AgreementTiming(parse_duration(file.heartbeat), parse_duration(file.election))


def credit_settings(path: Path, file: CreditFile | None, conf: Config) -> CreditSettings | None:
    """Return the credit settings, from their part of the file; None if credit is off.

    Raises:
        HeadsSettingsError: A price is given for a class that the settings do not name.
    """
    if file is None:
        return None
    classes = [request_class.name for request_class in conf.settings.classes]
    unknown = [name for name in file.prices if name not in classes]
    if unknown:
        allowed = f"classes of the settings: {', '.join(classes)}"
        raise HeadsSettingsError(path, "credit.prices", ", ".join(unknown), allowed)
    prices = tuple(file.prices.get(name, 0) for name in classes)
    unknown_volumes = UnknownVolumes(file.unknown_volumes)
    return CreditSettings(prices, parse_duration(file.lease), parse_duration(file.wait), unknown_volumes)


def rules_settings(file: RulesFile | None) -> RulesSettings | None:
    """Return the settings of the history of rules, from their part of the file; None if it is off."""
    if file is None:
        return None
    return RulesSettings(file.versions, parse_duration(file.check_within), file.largest)


def parse_duration(text: str) -> timedelta:
    """Parse a duration of the file, such as 500ms, 2.5s or 1m.

    Raises:
        ValueError: The text is not a duration; the schema rejects such a text before.
    """
    match = DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration (allowed: a number with the unit ms, s or m)")
    return float(match[1]) * UNITS[match[2]]
