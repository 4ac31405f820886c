"""The operator's file of heads that know each other (deploy/heads.cue shows its form)."""

from __future__ import annotations

import re
from datetime import timedelta
from pathlib import Path

import msgspec

from stoatrouter.agreement.state import Timing as AgreementTiming
from stoatrouter.config import Config, ConfigError, address
from stoatrouter.membership.detector_records import Timing as DetectorTiming
from stoatrouter.peering.envelope import read_secret
from stoatrouter.settings import SettingsError, load

SPAN = re.compile(r"([0-9.]+)(ms|s|m)")
UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1), "m": timedelta(minutes=1)}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,23}")


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


class RulesFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The part `rules` of the file."""

    versions: int
    check_within: str
    largest: int


class HeadsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the file says."""

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


class CreditSettings(msgspec.Struct, frozen=True):
    """What a head is told of prepaid credit."""

    prices: tuple[int, ...]  # by class, in millionths of a credit unit for each unit of a request
    lease: timedelta
    wait: timedelta


class RulesSettings(msgspec.Struct, frozen=True):
    """What a head is told of the history of rules."""

    versions: int
    check_within: timedelta
    largest: int  # bytes


class HeadsSettings(msgspec.Struct, frozen=True):
    """All that a head is told of the others."""

    name: str
    fleet: str
    secret: bytes
    folder: Path
    streams: dict[str, str]
    voters: tuple[str, ...]
    listen: str | None  # None: this head is not reached by streams, it only follows
    cut_off_after: timedelta
    wait_at_start: timedelta
    detector: DetectorTiming
    agreement: AgreementTiming
    peers: tuple[str, ...]
    peer_listen: str | None
    credit: CreditSettings | None
    rules: RulesSettings | None


def span_of(text: str) -> timedelta:
    """A span as the file has it."""
    match = SPAN.fullmatch(text)
    assert match is not None, "the schema allows spans only"
    return float(match[1]) * UNITS[match[2]]


def load_heads(path: Path, conf: Config) -> HeadsSettings:
    """Read the operator's file; raises ConfigError with what is wrong and what would be right."""
    try:
        made = load(path, HeadsFile, "heads.#Heads").record
    except SettingsError as error:
        raise ConfigError(f"bad settings of the heads:\n{error}") from None
    check(path, made, conf)
    for at in made.streams.values():
        address(at)
    listen = made.listen or made.streams.get(conf.name)
    timing = made.detector
    return HeadsSettings(
        conf.name,
        made.fleet,
        read_secret(path.parent / made.secret_file),
        path.parent / made.folder / conf.name,
        made.streams,
        made.voters,
        listen,
        span_of(made.cut_off_after),
        span_of(made.wait_at_start),
        DetectorTiming(
            span_of(timing.period),
            span_of(timing.ack_within),
            timing.others,
            timing.suspicion,
            local_health=timing.local_health,
        ),
        AgreementTiming(span_of(made.agreement.heartbeat), span_of(made.agreement.election)),
        conf.peers,
        conf.peer_listen,
        credit_of(path, made, conf),
        None
        if made.rules is None
        else RulesSettings(made.rules.versions, span_of(made.rules.check_within), made.rules.largest),
    )


def check(path: Path, made: HeadsFile, conf: Config) -> None:
    """What the schema cannot say."""

    def wrong(place: str, found: str, allowed: str) -> ConfigError:
        return ConfigError(
            f"bad settings of the heads:\n{path.name}: {place}: found {found} (allowed: {allowed})"
        )

    if not NAME.fullmatch(conf.name):
        raise wrong("NODE_NAME", repr(conf.name), "1 to 24 letters, digits, _ . -")
    if len(made.voters) not in (1, 3, 5) or len(set(made.voters)) != len(made.voters):
        raise wrong("voters", ", ".join(made.voters) or "none", "1, 3 or 5 different heads")
    if missing := [name for name in made.voters if name not in made.streams]:
        raise wrong("voters", ", ".join(missing), f"heads of streams: {', '.join(sorted(made.streams))}")
    if span_of(made.agreement.election) < 3 * span_of(made.agreement.heartbeat):
        raise wrong("agreement.election", made.agreement.election, "three times agreement.heartbeat or more")
    if span_of(made.detector.ack_within) >= span_of(made.detector.period):
        raise wrong("detector.ack_within", made.detector.ack_within, "less than detector.period")
    if made.rules is not None and not conf.http:
        raise wrong("rules", "a history of rules", "this part only where STOATROUTER_HTTP names a file")


def credit_of(path: Path, made: HeadsFile, conf: Config) -> CreditSettings | None:
    """The credit's settings; raises ConfigError where a price names no class."""
    if made.credit is None:
        return None
    classes = [c.name for c in conf.settings.classes]
    if unknown := [name for name in made.credit.prices if name not in classes]:
        raise ConfigError(
            f"bad settings of the heads:\n{path.name}: credit.prices: found "
            f"{', '.join(unknown)} (allowed: classes of the settings: {', '.join(classes)})"
        )
    prices = tuple(made.credit.prices.get(name, 0) for name in classes)
    return CreditSettings(prices, span_of(made.credit.lease), span_of(made.credit.wait))
