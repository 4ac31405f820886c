"""Creates the rule tables and recorders of fronts; imported only if a front that uses them is on."""

from __future__ import annotations

from pathlib import Path

from stoatrouter.config import Config, ConfigError
from stoatrouter.expressions.environment import Environment
from stoatrouter.fronts.http.settings import HttpSettings, idempotency_windows, vocabulary
from stoatrouter.fronts.objects.settings import ObjectSettings
from stoatrouter.matching.files import TableLoader
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, OBJECT_ENVIRONMENT
from stoatrouter.matching.samples import Sampler
from stoatrouter.matching.vocabulary import Bucket
from stoatrouter.net.recorder import Recorder
from stoatrouter.net.tables import TableService
from stoatrouter.settings import SettingsError


def create_http_tables(conf: Config, http: HttpSettings) -> TableService:
    """Create the table service of the HTTP front, with a shadow table if one is configured.

    Raises:
        ConfigError: The rules have faults; the message lists them all.
    """
    shadow = create_table_loader(conf, http.shadow) if http.shadow is not None else None
    return create_table_service(conf, create_table_loader(conf, http.rules), shadow)


def create_object_tables(conf: Config, objects: ObjectSettings) -> TableService:
    """Create the table service of an object front whose settings name a rule file.

    Raises:
        ConfigError: The rules have faults; the message lists them all.
    """
    assert objects.rules is not None  # checked by the caller
    plans = [plan.name for plan in conf.settings.plans]
    buckets = {
        name: Bucket(bucket.volume, plans[bucket.plan] if bucket.plan >= 0 else None)
        for name, bucket in objects.buckets.items()
    }
    return create_table_service(
        conf, create_table_loader(conf, objects.rules, OBJECT_ENVIRONMENT, buckets), shadow=None
    )


def create_table_loader(
    conf: Config,
    path: Path,
    environment: Environment = HTTP_ENVIRONMENT,
    buckets: dict[str, Bucket] | None = None,
) -> TableLoader:
    """Create the loader of a rule file's tables, with the vocabulary of this configuration.

    Args:
        conf: The head's configuration; rules may name its classes and plans.
        path: The operator's rule file.
        environment: The names that expressions may use: those of the HTTP front or of the object front.
        buckets: The buckets that rules may name; None for the HTTP front.
    """
    return TableLoader(path, vocabulary(conf), environment, buckets)


def create_table_service(conf: Config, tables: TableLoader, shadow: TableLoader | None) -> TableService:
    """Create the service that activates rule and shadow tables; raises ConfigError for faulty rules."""
    try:
        return TableService(tables, shadow, idempotency_windows(conf.settings))
    except SettingsError as error:
        raise ConfigError(f"invalid rules:\n{error}") from None


def create_recorder(http: HttpSettings) -> Recorder | None:
    """Create the recorder of request samples; return None if recording is not configured."""
    if http.record is None or http.record_file is None:
        return None
    return Recorder(http.record_file, http.record.most_bytes, Sampler(http.record.one_in, http.record.mask))
