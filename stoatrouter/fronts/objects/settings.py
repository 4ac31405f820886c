"""The operator's file of the object front; deploy/objects.cue is an example."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from stoatrouter.config import ConfigError
from stoatrouter.policy import interface as api
from stoatrouter.settings import SettingsError
from stoatrouter.settings import load as read_file

BUCKET = re.compile(r"[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]")
VOLUME = re.compile(r"[0-9a-f]{16}")
LEAST_SECRET = 32


@dataclass(slots=True, frozen=True)
class Bucket:
    """A volume with its plan, under the name that clients use."""

    name: str
    volume: str
    plan: int  # -1: the rules say it
    hosts: int


@dataclass(slots=True, frozen=True)
class ObjectSettings:
    """The settings of the object front."""

    listen: str
    secret: bytes
    read_class: int
    write_class: int
    shards: int
    max_units: float
    buckets: dict[str, Bucket]
    window: int = 4  # core requests that one operation has open together
    max_operations: int = 64
    rules: Path | None = None  # the operator's rule file; None: the classes above hold for all calls


class BucketFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one bucket in the file."""

    volume: str
    hosts: int
    plan: str | None = None


class ObjectsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the file."""

    listen: str
    secret_file: str
    read_class: str
    write_class: str
    window: int
    max_operations: int
    buckets: dict[str, BucketFile]
    rules: str | None = None


def load(path: Path, settings: api.Settings, shards: int) -> ObjectSettings:
    """Read the operator's file; raises ConfigError."""
    try:
        loaded = read_file(path, ObjectsFile, "objects.#Objects")
        data = msgspec.to_builtins(loaded.record)
        secret = (path.parent / data["secret_file"]).read_bytes().strip()
        return parse({**data, "folder": path.parent}, secret, settings, shards)
    except SettingsError as error:
        raise ConfigError(f"bad object settings:\n{error}") from None
    except (OSError, KeyError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"bad object settings in {path}: {type(error).__name__}: {error}") from None


def parse(data: dict[str, Any], secret: bytes, settings: api.Settings, shards: int) -> ObjectSettings:
    """Check the file's fields against the platform's settings; raises ValueError or KeyError."""
    # Guards the ETags' authentication: a short secret can be guessed, and placement forged.
    if len(secret) < LEAST_SECRET:
        raise ValueError(f"the secret needs at least {LEAST_SECRET} bytes")
    if shards < 1:
        raise ValueError("the settings name no shards to place manifests on")
    plans = {p.name: i for i, p in enumerate(settings.plans)}
    classes = {c.name: i for i, c in enumerate(settings.classes)}
    read_class, write_class = (known(classes, data[name], "class") for name in ("read_class", "write_class"))
    if settings.classes[read_class].writes or not settings.classes[write_class].writes:
        raise ValueError("read_class must be a class that reads, write_class one that writes")
    buckets = {}
    for name, bucket in data["buckets"].items():
        if not BUCKET.fullmatch(name) or not VOLUME.fullmatch(bucket["volume"]) or bucket["hosts"] < 1:
            raise ValueError(f"bucket {name!r}: bad name, volume or hosts")
        plan = bucket.get("plan")
        if plan is None and not data.get("rules"):
            raise ValueError(f"bucket {name!r} has no plan, and there are no rules that would give it one")
        number = -1 if plan is None else known(plans, plan, "plan")
        buckets[name] = Bucket(name, bucket["volume"], number, int(bucket["hosts"]))
    window, operations = int(data.get("window", 4)), int(data.get("max_operations", 64))
    if window < 1 or operations < 1:
        raise ValueError("window and max_operations must be at least 1")
    return ObjectSettings(
        str(data["listen"]),
        secret,
        read_class,
        write_class,
        shards,
        settings.max_units,
        buckets,
        window,
        operations,
        rules_file(data),
    )


def rules_file(data: dict[str, Any]) -> Path | None:
    """The path of the rule file, relative to the settings' folder; None where none is named."""
    return Path(data["folder"]) / data["rules"] if data.get("rules") else None


def known(numbers: dict[str, int], name: str, what: str) -> int:
    """The number of a class or plan; raises ValueError where there is none of that name."""
    if name not in numbers:
        raise ValueError(f"there is no {what} {name!r}; there is: {', '.join(numbers)}")
    return numbers[name]
