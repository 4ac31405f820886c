"""The configuration of one head: the platform's JSON file and the environment."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from stoatrouter.core.spans import micros, span
from stoatrouter.policy import interface as api
from stoatrouter.policy.simhost import read_settings

LIMIT_SLACK = timedelta(milliseconds=150)  # by what a limit allows in this time its slack grows on sockets
VARIABLES = {
    "name": "NODE_NAME",
    "listen": "NODE_LISTEN",
    "discovery": "NODE_DISCOVERY",
    "management": "NODE_MANAGEMENT",
}


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


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
    shards: int  # 0: not told
    drain_grace: timedelta  # as the settings have it
    zones: tuple[str, ...] = ()  # by name, as the settings number them
    management: str | None = None  # the operators' address; None: there is none
    inherited: int | None = None  # the descriptor of a listening socket that is held for this head
    folder: str | None = None  # where an upgrade finds what this head keeps; None: nothing is kept
    objects: str | None = None  # the operator's file of the object front; None: the front is off
    http: str | None = None  # the same of the HTTP front
    heads: str | None = None  # the same of heads that know each other
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


def read(environ: Mapping[str, str], first: Mapping[str, str | None]) -> Config:
    """Read and check the whole file.

    Values of `first` take precedence over those of the file; the environment fills in what neither has.
    Raises ConfigError.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    try:
        for key, variable in VARIABLES.items():
            data[key] = first.get(key) or data.get(key) or environ.get(variable)
        conf = replace(
            parse(data),
            objects=environ.get("STOATROUTER_OBJECTS") or None,
            http=environ.get("STOATROUTER_HTTP") or None,
            heads=environ.get("STOATROUTER_HEADS") or None,
            folder=environ.get("TMPDIR") or None,
            inherited=descriptor(environ.get("NODE_INHERITED_FD")),
        )
        address(conf.listen), address(conf.discovery), conf.management and address(conf.management)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"bad configuration in {path}: {describe_error(data, error)}") from None
    return conf


def describe_error(data: Any, error: Exception) -> str:
    """Describe what is wrong with a configuration: the known faults, else the exception."""
    from stoatrouter.faults import explain  # only where a start or a reload fails

    return "; ".join(explain(data)[:5]) or f"{type(error).__name__}: {error}"


def descriptor(text: str | None) -> int | None:
    """Parse the number of an inherited descriptor; None where the text is empty.

    Raises ValueError where it is no number or below 3.
    """
    if not text:
        return None
    number = int(text)
    if number < 3:
        raise ValueError(f"NODE_INHERITED_FD is {text}")
    return number


def parse(data: dict[str, Any]) -> Config:
    """Build the configuration from the file's data.

    Raises KeyError, TypeError, ValueError or AttributeError where a field is missing or wrong.
    """
    raw, limits = data["settings"], data.get("limits") or {}
    connect_timeout = span(raw["Limits"].get("ConnectTimeout") or 250_000)
    return Config(
        name=str(data["name"]),
        listen=str(data["listen"]),
        discovery=str(data["discovery"]),
        seed=int(str(data.get("seed") or "0"), 16),
        settings=on_sockets(read_settings(raw), connect_timeout),
        known=data.get("known") or {},
        sockets=int(limits.get("sockets") or 1024),
        memory_mb=int(limits.get("memory_mb") or 192),
        connect_timeout=connect_timeout,
        conn_idle=span(raw["Limits"].get("ConnIdle") or 30_000_000),
        max_open=int(raw["Limits"].get("MaxOpen") or 1 << 20),
        shards=int((raw.get("Extra") or {}).get("Shards") or 0),
        zones=tuple(str(zone) for zone in raw.get("Areas") or ()),
        drain_grace=span(raw["Contract"].get("DrainGrace") or 0),
        management=data.get("management") or None,
        peers=addresses(data.get("peers")),
        peer_listen=data.get("peer_listen") or None,
    )


def addresses(value: Any) -> tuple[str, ...]:
    """The addresses of other heads, from a list or from an object with their names.

    Items that are no `host:port` are skipped.
    """
    listed = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    texts = (item for item in listed if isinstance(item, str))
    return tuple(item for item in texts if item.rpartition(":")[0] and item.rpartition(":")[2].isdigit())


def on_sockets(settings: api.Settings, connect_timeout: timedelta) -> api.Settings:
    """Adjust the platform's settings to real sockets, where connecting takes time."""
    # Guards the rule on drains: a send decided within the grace may first have to connect.
    grace = max(0, settings.rules.drain_grace - micros(connect_timeout))
    # Guards the rule on limits: the platform's store stands full until a request comes, while ours fills from
    # the decision on. What it fills in the time to connect, beyond the slack, is not spent.
    late = max(timedelta(0), connect_timeout - LIMIT_SLACK).total_seconds()
    plans = tuple(replace(p, tolerance=max(0.0, p.tolerance - p.limit * late)) for p in settings.plans)
    rules = replace(settings.rules, drain_grace=grace, charged_on_arrival=True)
    return replace(settings, plans=plans, rules=rules)


def address(text: str) -> tuple[str, int]:
    """Split `host:port`, with an IPv6 host in brackets; raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ConfigError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)
