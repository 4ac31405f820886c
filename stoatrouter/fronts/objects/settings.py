"""Loads the object front's settings file; deploy/objects.cue is an example."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from stoatrouter.config import ConfigError
from stoatrouter.policy import interface as api
from stoatrouter.settings import SettingsError
from stoatrouter.settings import load as load_file

BUCKET_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]")
VOLUME_NAME = re.compile(r"[0-9a-f]{16}")
MIN_SECRET_BYTES = 32
PLAN_BY_RULES = -1  # instead of a plan's number: rules choose the plan


@dataclass(slots=True, frozen=True)
class Bucket:
    """A bucket: the name that clients use for a volume, and the volume's plan."""

    name: str
    volume: str
    plan: int  # the plan's number, or PLAN_BY_RULES
    hosts: int  # the number of heads that send requests for the volume


@dataclass(slots=True, frozen=True)
class ObjectSettings:
    """The settings of the object front, checked against the platform's settings."""

    listen: str
    secret: bytes
    read_class: int
    write_class: int
    shards: int
    max_units: float
    buckets: dict[str, Bucket]
    window: int = 4  # maximum concurrent requests of the core per operation
    max_operations: int = 64
    rules: Path | None = None  # the operator's rule file; None: the classes above apply to all calls


class BucketFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one bucket in the settings file."""

    volume: str
    hosts: int
    plan: str | None = None


class ObjectsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the settings file; its keys are documented in settings/schemas/objects.cue."""

    listen: str
    secret_file: str
    read_class: str
    write_class: str
    buckets: dict[str, BucketFile]
    window: int = 4
    max_operations: int = 64
    rules: str | None = None


def load_objects(path: Path, settings: api.Settings, shards: int) -> ObjectSettings:
    """Load the settings file and the secret file that it names; the path is relative to its folder.

    Raises:
        ConfigError: A file cannot be read, or the settings are invalid.
    """
    try:
        record = load_file(path, ObjectsFile, "objects.#Objects").record
        secret = (path.parent / record.secret_file).read_bytes().strip()
        return check_settings(record, path.parent, secret, settings, shards)
    except SettingsError as error:
        raise ConfigError(f"invalid settings of the object front:\n{error}") from None
    except (OSError, ValueError) as error:
        raise ConfigError(
            f"invalid settings of the object front in {path}: {type(error).__name__}: {error}"
        ) from None


def check_settings(
    record: ObjectsFile, folder: Path, secret: bytes, settings: api.Settings, shards: int
) -> ObjectSettings:
    """Check the settings file's contents and the secret against the platform's settings and shards.

    Raises:
        ValueError: A field does not fit the platform's settings or is out of range.
    """
    check_placement(secret, shards)
    read_class, write_class = find_classes(record, settings)
    plans = {plan.name: number for number, plan in enumerate(settings.plans)}
    buckets = {name: check_bucket(name, record, plans) for name in record.buckets}
    if record.window < 1 or record.max_operations < 1:
        raise ValueError("window and max_operations must be at least 1")
    return ObjectSettings(
        listen=record.listen,
        secret=secret,
        read_class=read_class,
        write_class=write_class,
        shards=shards,
        max_units=settings.max_units,
        buckets=buckets,
        window=record.window,
        max_operations=record.max_operations,
        rules=folder / record.rules if record.rules else None,
    )


def check_placement(secret: bytes, shards: int) -> None:
    """Check the secret and the number of shards, from which addresses are derived; raises ValueError."""
    # ETags of parts hold piece addresses under a MAC; a short secret could be guessed, and addresses forged.
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"the secret must have at least {MIN_SECRET_BYTES} bytes")
    if shards < 1:
        raise ValueError("the platform's settings must give the number of shards")


def find_classes(record: ObjectsFile, settings: api.Settings) -> tuple[int, int]:
    """Return the numbers of the read class and the write class; raises ValueError if they are unsuitable."""
    numbers = {request_class.name: number for number, request_class in enumerate(settings.classes)}
    read_class = find_number(numbers, record.read_class, "class")
    write_class = find_number(numbers, record.write_class, "class")
    if settings.classes[read_class].writes or not settings.classes[write_class].writes:
        raise ValueError("read_class must be a class for reads, write_class a class for writes")
    return read_class, write_class


def check_bucket(name: str, record: ObjectsFile, plans: Mapping[str, int]) -> Bucket:
    """Check one bucket of the settings file; raises ValueError."""
    bucket = record.buckets[name]
    if not BUCKET_NAME.fullmatch(name) or not VOLUME_NAME.fullmatch(bucket.volume) or bucket.hosts < 1:
        raise ValueError(f"bucket {name!r}: invalid name, volume or hosts")
    if bucket.plan is None:
        if not record.rules:
            raise ValueError(f"bucket {name!r} has no plan, and no rule file is given that could choose one")
        return Bucket(name, bucket.volume, PLAN_BY_RULES, bucket.hosts)
    return Bucket(name, bucket.volume, find_number(plans, bucket.plan, "plan"), bucket.hosts)


def find_number(numbers: Mapping[str, int], name: str, kind: str) -> int:
    """Return the number of a class or plan; raises ValueError if the name is unknown."""
    if name not in numbers:
        raise ValueError(f"unknown {kind} {name!r}; allowed: {', '.join(numbers)}")
    return numbers[name]
