"""Creates the parts of fronts with rule tables. It is imported only where such a front is on."""

from __future__ import annotations

from pathlib import Path

from stoatrouter.config import Config, ConfigError
from stoatrouter.expressions.environment import Environment
from stoatrouter.fronts.http.settings import HttpSettings, vocabulary, windows
from stoatrouter.fronts.objects.settings import ObjectSettings
from stoatrouter.matching.files import Tables
from stoatrouter.matching.inputs import HTTP, OBJECTS
from stoatrouter.matching.samples import Sampler
from stoatrouter.matching.vocabulary import Bucket
from stoatrouter.net.recorder import Recorder
from stoatrouter.net.tables import TableService
from stoatrouter.settings import SettingsError


def http_tables(conf: Config, http: HttpSettings) -> TableService:
    """The table service of the HTTP front; raises ConfigError."""
    shadow = tables(conf, http.shadow) if http.shadow is not None else None
    return service(conf, tables(conf, http.rules), shadow)


def object_tables(conf: Config, objects: ObjectSettings) -> TableService:
    """The table service of the object front; raises ConfigError."""
    assert objects.rules is not None
    plans = [plan.name for plan in conf.settings.plans]
    buckets = {
        name: Bucket(bucket.volume, plans[bucket.plan] if bucket.plan >= 0 else None)
        for name, bucket in objects.buckets.items()
    }
    return service(conf, tables(conf, objects.rules, OBJECTS, buckets), None)


def tables(
    conf: Config, path: Path, environment: Environment = HTTP, buckets: dict[str, Bucket] | None = None
) -> Tables:
    """What loads the tables of a rule file, with the words of this configuration."""
    return Tables(path, vocabulary(conf), environment, buckets)


def service(conf: Config, made: Tables, shadow: Tables | None) -> TableService:
    """The service that puts tables in force and in shadow; raises ConfigError where the rules are wrong."""
    try:
        return TableService(made, shadow, windows(conf.settings))
    except SettingsError as error:
        raise ConfigError(f"bad rules:\n{error}") from None


def recorder(http: HttpSettings) -> Recorder | None:
    """The recorder of request samples; None where none is configured."""
    if http.record is None or http.record_file is None:
        return None
    return Recorder(http.record_file, http.record.most_bytes, Sampler(http.record.one_in, http.record.mask))
