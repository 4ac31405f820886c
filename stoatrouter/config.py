"""Loads the configuration of one head from the platform's JSON file and the environment."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from stoatrouter.core.durations import from_microseconds, to_microseconds
from stoatrouter.policy import interface as api
from stoatrouter.policy.simhost import read_settings

# Over sockets, the platform accepts more than a limit by what the limit's bucket refills in this time.
LIMIT_SLACK = timedelta(milliseconds=150)
MIN_INHERITED_DESCRIPTOR = 3  # 0 to 2 are the standard streams
MAX_SHOWN_FAULTS = 5
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT = 250_000  # microseconds
DEFAULT_CONN_IDLE = 30_000_000  # microseconds
DEFAULT_MAX_OPEN = 1 << 20
# Fields of the file that an environment variable can override or supply.
VARIABLES = {
    "name": "NODE_NAME",
    "listen": "NODE_LISTEN",
    "discovery": "NODE_DISCOVERY",
    "management": "NODE_MANAGEMENT",
}


class ConfigError(Exception):
    """The configuration is invalid; the message names the place, the fault and the allowed values."""

    @classmethod
    def at(cls, place: str, fault: str, allowed: str) -> ConfigError:
        """Create an error about one field or variable.

        Args:
            place: The name of the variable or field.
            fault: What is wrong with its value.
            allowed: The allowed values.
        """
        return cls(f"{place}: {fault} (allowed: {allowed})")


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one head, parsed and validated."""

    name: str
    listen: str
    discovery: str
    seed: int
    settings: api.Settings
    last_list: dict[str, Any]
    sockets: int
    memory_mb: int
    connect_timeout: timedelta
    conn_idle: timedelta
    max_open: int
    shards: int  # number of shards; 0: not given
    drain_grace: timedelta  # as given in the settings, before `adapt_to_sockets`
    zones: tuple[str, ...] = ()  # zone names; the settings refer to zones by their index here
    management: str | None = None  # address of the management interface; None: off
    inherited: int | None = None  # descriptor of an inherited listening socket
    folder: str | None = None  # where this head saves state for an upgrade; None: nothing is saved
    objects: str | None = None  # path of the object front's settings file; None: the front is off
    http: str | None = None  # path of the HTTP front's settings file; None: the front is off
    heads: str | None = None  # path of the settings file of peering with other heads; None: peering is off
    peers: tuple[str, ...] = ()  # addresses of the other heads, for datagrams
    peer_listen: str | None = None  # address where this head receives datagrams; None: off


def load(environ: Mapping[str, str]) -> Config:
    """Load the file that NODE_CONFIG names; the other environment variables take precedence over it.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    return read(environ, {key: environ.get(variable) for key, variable in VARIABLES.items()})


def reload(environ: Mapping[str, str]) -> Config:
    """Load the file again; it takes precedence over the environment, which dates from the process's start.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    return read(environ, {})


def read(environ: Mapping[str, str], overrides: Mapping[str, str | None]) -> Config:
    """Read and validate the whole file.

    Args:
        environ: The environment, which names the file and supplies fields that neither the file nor
            `overrides` has.
        overrides: Values that take precedence over those of the file, by field name.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set (allowed: the path of the head's JSON configuration file)")
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
        raise ConfigError(f"invalid configuration in {path}: {describe_error(data, error)}") from None
    return conf


def apply_environment(conf: Config, environ: Mapping[str, str]) -> Config:
    """Return the configuration with the settings that come from the environment alone.

    Raises:
        ValueError: NODE_INHERITED_FD is not a valid descriptor.
    """
    return replace(
        conf,
        objects=environ.get("STOATROUTER_OBJECTS") or None,
        http=environ.get("STOATROUTER_HTTP") or None,
        heads=environ.get("STOATROUTER_HEADS") or None,
        folder=environ.get("TMPDIR") or None,
        inherited=parse_descriptor(environ.get("NODE_INHERITED_FD")),
    )


def check_addresses(conf: Config) -> None:
    """Check the addresses that this head listens on or connects to; raises ConfigError."""
    parse_address(conf.listen, "listen")
    parse_address(conf.discovery, "discovery")
    if conf.management:
        parse_address(conf.management, "management")


def describe_error(data: Any, error: Exception) -> str:
    """Describe the faults of a configuration, or the exception if no known fault is found."""
    from stoatrouter.faults import find_faults  # needed only after a failed start or reload

    return "; ".join(find_faults(data)[:MAX_SHOWN_FAULTS]) or f"{type(error).__name__}: {error}"


def parse_descriptor(text: str | None) -> int | None:
    """Parse the number of an inherited descriptor; return None for an empty text.

    Raises:
        ValueError: The text is not a number, or is below MIN_INHERITED_DESCRIPTOR.
    """
    if not text:
        return None
    number = int(text)
    if number < MIN_INHERITED_DESCRIPTOR:
        raise ValueError(f"NODE_INHERITED_FD is {text} (allowed: {MIN_INHERITED_DESCRIPTOR} or more)")
    return number


def parse(data: dict[str, Any]) -> Config:
    """Build the configuration from the file's data.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: A field is missing or malformed.
    """
    raw = data["settings"]
    limits = data.get("limits") or {}
    connect_timeout = from_microseconds(raw["Limits"].get("ConnectTimeout") or DEFAULT_CONNECT_TIMEOUT)
    return Config(
        name=str(data["name"]),
        listen=str(data["listen"]),
        discovery=str(data["discovery"]),
        seed=int(str(data.get("seed") or "0"), 16),
        settings=adapt_to_sockets(read_settings(raw), connect_timeout),
        last_list=data.get("known") or {},
        sockets=int(limits.get("sockets") or DEFAULT_SOCKETS),
        memory_mb=int(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
        connect_timeout=connect_timeout,
        conn_idle=from_microseconds(raw["Limits"].get("ConnIdle") or DEFAULT_CONN_IDLE),
        max_open=int(raw["Limits"].get("MaxOpen") or DEFAULT_MAX_OPEN),
        shards=int((raw.get("Extra") or {}).get("Shards") or 0),
        zones=tuple(str(zone) for zone in raw.get("Areas") or ()),
        drain_grace=from_microseconds(raw["Contract"].get("DrainGrace") or 0),
        management=data.get("management") or None,
        peers=parse_peers(data.get("peers")),
        peer_listen=data.get("peer_listen") or None,
    )


def parse_peers(value: Any) -> tuple[str, ...]:
    """Return the addresses of other heads, from a list or from an object that maps names to addresses.

    Items that are not in the form `host:port` are skipped.
    """
    items: Iterable[Any] = ()
    if isinstance(value, dict):
        items = value.values()
    elif isinstance(value, list):
        items = value
    return tuple(item for item in items if isinstance(item, str) and is_address(item))


def adapt_to_sockets(settings: api.Settings, connect_timeout: timedelta) -> api.Settings:
    """Adjust the platform's settings for real sockets, where connecting takes time."""
    # A request sent within the drain grace may have to connect first, so the grace is shortened by the
    # connect timeout; otherwise it could arrive after the grace.
    grace = max(0, settings.rules.drain_grace - to_microseconds(connect_timeout))
    # The platform charges its token bucket when a request arrives; ours is charged at the decision and
    # refills during the connect. The refill beyond LIMIT_SLACK is taken off the tolerance, so that the
    # platform's limit is not exceeded.
    late = max(timedelta(0), connect_timeout - LIMIT_SLACK).total_seconds()
    plans = tuple(
        replace(plan, tolerance=max(0.0, plan.tolerance - plan.limit * late)) for plan in settings.plans
    )
    rules = replace(settings.rules, drain_grace=grace, charged_on_arrival=True)
    return replace(settings, plans=plans, rules=rules)


def is_address(text: str) -> bool:
    """Return whether a text has the form `host:port`."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()


def parse_address(text: str, place: str = "address") -> tuple[str, int]:
    """Split `host:port`, with an IPv6 host in brackets.

    Args:
        text: The address.
        place: The field or variable that holds it, for the error message.

    Raises:
        ConfigError: The address is malformed.
    """
    if not is_address(text):
        raise ConfigError.at(place, f"not an address: {text!r}", "host:port, with an IPv6 host in brackets")
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
