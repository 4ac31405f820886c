"""The configuration of one head: the platform's JSON file and the environment."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from stoatrouter.core.spans import micros, span
from stoatrouter.policy import interface as api
from stoatrouter.policy.simhost import read_settings

LIMIT_SLACK = timedelta(milliseconds=150)  # by what a limit allows in this time its slack grows on sockets
MIN_INHERITED_DESCRIPTOR = 3  # below are the standard streams
MAX_SHOWN_FAULTS = 5
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT = 250_000  # microseconds
DEFAULT_CONN_IDLE = 30_000_000  # microseconds
DEFAULT_MAX_OPEN = 1 << 20
# Fields of the file that a variable of the environment may give.
VARIABLES = {
    "name": "NODE_NAME",
    "listen": "NODE_LISTEN",
    "discovery": "NODE_DISCOVERY",
    "management": "NODE_MANAGEMENT",
}


class ConfigError(Exception):
    """The configuration cannot be used; the text says where, why, and what would be right."""

    @classmethod
    def at(cls, place: str, fault: str, allowed: str) -> ConfigError:
        """An error with its place.

        Args:
            place: The variable or field that is concerned.
            fault: What was found there.
            allowed: What would be right.
        """
        return cls(f"{place}: {fault} (allowed: {allowed})")


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one head, parsed and checked."""

    name: str
    listen: str
    discovery: str
    seed: int
    settings: api.Settings
    known: dict[str, Any]
    sockets: int
    memory_mb: int
    connect_timeout: timedelta
    conn_idle: timedelta
    max_open: int
    shards: int  # 0: not given
    drain_grace: timedelta  # as the settings have it
    zones: tuple[str, ...] = ()  # by name, as the settings number them
    management: str | None = None  # the operators' address; None: there is none
    inherited: int | None = None  # the descriptor of a listening socket that this head inherits
    folder: str | None = None  # where an upgrade finds what this head saves; None: nothing is saved
    objects: str | None = None  # the operator's file of the object front; None: the front is off
    http: str | None = None  # the same of the HTTP front
    heads: str | None = None  # the same of peering with other heads
    peers: tuple[str, ...] = ()  # where datagrams reach other heads
    peer_listen: str | None = None  # where theirs reach this one; None: there are none


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that NODE_CONFIG names; the environment's other variables take precedence over it.

    Raises ConfigError.
    """
    return read(environ, {key: environ.get(variable) for key, variable in VARIABLES.items()})


def reload(environ: Mapping[str, str]) -> Config:
    """Read the file again; it takes precedence over the environment, which is as old as the process.

    Raises ConfigError.
    """
    return read(environ, {})


def read(environ: Mapping[str, str], overrides: Mapping[str, str | None]) -> Config:
    """Read and check the whole file.

    Args:
        environ: The environment, which names the file and fills in what neither the file nor `overrides` has.
        overrides: Values that take precedence over those of the file, by its field names.

    Raises:
        ConfigError: The file cannot be read, or it cannot be used.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set (allowed: the path of the head's JSON file)")
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    try:
        for key, variable in VARIABLES.items():
            data[key] = overrides.get(key) or data.get(key) or environ.get(variable)
        conf = apply_environment(parse(data), environ)
        check_addresses(conf)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"bad configuration in {path}: {describe_error(data, error)}") from None
    return conf


def apply_environment(conf: Config, environ: Mapping[str, str]) -> Config:
    """The configuration with what only the environment has; raises ValueError for a bad descriptor."""
    return replace(
        conf,
        objects=environ.get("STOATROUTER_OBJECTS") or None,
        http=environ.get("STOATROUTER_HTTP") or None,
        heads=environ.get("STOATROUTER_HEADS") or None,
        folder=environ.get("TMPDIR") or None,
        inherited=parse_descriptor(environ.get("NODE_INHERITED_FD")),
    )


def check_addresses(conf: Config) -> None:
    """Raise ConfigError where an address that this head listens at or connects to is malformed."""
    parse_address(conf.listen, "listen")
    parse_address(conf.discovery, "discovery")
    if conf.management:
        parse_address(conf.management, "management")


def describe_error(data: Any, error: Exception) -> str:
    """Describe the faults of a configuration: the known ones, else the exception."""
    from stoatrouter.faults import find_faults  # only where a start or a reload fails

    return "; ".join(find_faults(data)[:MAX_SHOWN_FAULTS]) or f"{type(error).__name__}: {error}"


def parse_descriptor(text: str | None) -> int | None:
    """Parse the number of an inherited descriptor; None where the text is empty.

    Raises ValueError where it is no number or below MIN_INHERITED_DESCRIPTOR.
    """
    if not text:
        return None
    number = int(text)
    if number < MIN_INHERITED_DESCRIPTOR:
        raise ValueError(f"NODE_INHERITED_FD is {text} (allowed: {MIN_INHERITED_DESCRIPTOR} or more)")
    return number


def parse(data: dict[str, Any]) -> Config:
    """Build the configuration from the file's data.

    Raises KeyError, TypeError, ValueError or AttributeError where a field is missing or malformed.
    """
    raw = data["settings"]
    limits = data.get("limits") or {}
    connect_timeout = span(raw["Limits"].get("ConnectTimeout") or DEFAULT_CONNECT_TIMEOUT)
    return Config(
        name=str(data["name"]),
        listen=str(data["listen"]),
        discovery=str(data["discovery"]),
        seed=int(str(data.get("seed") or "0"), 16),
        settings=adapt_to_sockets(read_settings(raw), connect_timeout),
        known=data.get("known") or {},
        sockets=int(limits.get("sockets") or DEFAULT_SOCKETS),
        memory_mb=int(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
        connect_timeout=connect_timeout,
        conn_idle=span(raw["Limits"].get("ConnIdle") or DEFAULT_CONN_IDLE),
        max_open=int(raw["Limits"].get("MaxOpen") or DEFAULT_MAX_OPEN),
        shards=int((raw.get("Extra") or {}).get("Shards") or 0),
        zones=tuple(str(zone) for zone in raw.get("Areas") or ()),
        drain_grace=span(raw["Contract"].get("DrainGrace") or 0),
        management=data.get("management") or None,
        peers=parse_peers(data.get("peers")),
        peer_listen=data.get("peer_listen") or None,
    )


def parse_peers(value: Any) -> tuple[str, ...]:
    """The addresses of other heads, from a list or from an object with their names.

    Items that are no `host:port` are skipped.
    """
    items: Iterable[Any] = ()
    if isinstance(value, dict):
        items = value.values()
    elif isinstance(value, list):
        items = value
    return tuple(item for item in items if isinstance(item, str) and is_address(item))


def adapt_to_sockets(settings: api.Settings, connect_timeout: timedelta) -> api.Settings:
    """Adjust the platform's settings to real sockets, where connecting takes time."""
    # Guards the rule on drains: a send decided within the grace may first have to connect.
    grace = max(0, settings.rules.drain_grace - micros(connect_timeout))
    # Guards the rule on limits: the platform's token bucket stays full until a request arrives, while ours
    # refills from the decision on. What it refills in the time to connect, beyond the slack, is not spent.
    late = max(timedelta(0), connect_timeout - LIMIT_SLACK).total_seconds()
    plans = tuple(
        replace(plan, tolerance=max(0.0, plan.tolerance - plan.limit * late)) for plan in settings.plans
    )
    rules = replace(settings.rules, drain_grace=grace, charged_on_arrival=True)
    return replace(settings, plans=plans, rules=rules)


def is_address(text: str) -> bool:
    """Whether a text has the form `host:port`."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()


def parse_address(text: str, place: str = "address") -> tuple[str, int]:
    """Split `host:port`, with an IPv6 host in brackets; raises ConfigError, which names `place`."""
    if not is_address(text):
        raise ConfigError.at(place, f"not an address: {text!r}", "host:port, with an IPv6 host in brackets")
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
