"""The operator's file of the object front (deploy/objects.toml shows its form)."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cypressworks import interface as api
from stoatrouter.config import ConfigError

BUCKET = re.compile(r"[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]")
VOLUME = re.compile(r"[0-9a-f]{16}")
LEAST_SECRET = 32


@dataclass(slots=True, frozen=True)
class Bucket:
    """A volume with its plan, under the name that clients use."""

    name: str
    volume: str
    plan: int
    hosts: int


@dataclass(slots=True, frozen=True)
class ObjectSettings:
    """All that the object front is told."""

    listen: str
    secret: bytes
    read_class: int
    write_class: int
    shards: int
    max_units: float
    buckets: dict[str, Bucket]
    window: int = 4  # core requests that one operation has open together
    max_operations: int = 64


def load(path: Path, settings: api.Settings, shards: int) -> ObjectSettings:
    """Read the operator's file; ConfigError says what is wrong with it."""
    try:
        data = tomllib.loads(path.read_text())
        secret = (path.parent / data["secret_file"]).read_bytes().strip()
        return parse(data, secret, settings, shards)
    except (OSError, KeyError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"bad object settings in {path}: {type(error).__name__}: {error}") from None


def parse(data: dict[str, Any], secret: bytes, settings: api.Settings, shards: int) -> ObjectSettings:
    # Guards the ETags' authentication: a short secret can be guessed, and placement forged.
    if len(secret) < LEAST_SECRET:
        raise ValueError(f"the secret needs at least {LEAST_SECRET} bytes")
    if shards < 1:
        raise ValueError("the settings name no shards to place manifests on")
    plans = {p.name: i for i, p in enumerate(settings.plans)}
    classes = {c.name: i for i, c in enumerate(settings.classes)}
    read_class, write_class = classes[data["read_class"]], classes[data["write_class"]]
    if settings.classes[read_class].writes or not settings.classes[write_class].writes:
        raise ValueError("read_class must be a class that reads, write_class one that writes")
    buckets = {}
    for name, bucket in data["buckets"].items():
        if not BUCKET.fullmatch(name) or not VOLUME.fullmatch(bucket["volume"]) or bucket["hosts"] < 1:
            raise ValueError(f"bucket {name!r}: bad name, volume or hosts")
        buckets[name] = Bucket(name, bucket["volume"], plans[bucket["plan"]], int(bucket["hosts"]))
    window, operations = int(data.get("window", 4)), int(data.get("max_operations", 64))
    if window < 1 or operations < 1:
        raise ValueError("window and max_operations must be at least 1")
    return ObjectSettings(str(data["listen"]), secret, read_class, write_class, shards, settings.max_units,
                          buckets, window, operations)
