"""Applies a changed configuration to a serving head, as far as that is possible without a restart."""

from __future__ import annotations

from collections.abc import Mapping

from loguru import logger

from stoatrouter import config
from stoatrouter.net.discovery import Watch

# Fields of Config that take effect only at a start: their change is logged.
FIXED_FIELDS = ("name", "listen", "settings", "sockets", "memory_mb", "conn_idle", "max_open")


def reload_configuration(environ: Mapping[str, str], current: config.Config, watch: Watch) -> None:
    """Read the configuration again and apply discovery's address; other changes wait for the next start.

    A configuration with any fault is rejected and logged.

    Args:
        environ: the environment, which names the file.
        current: the configuration that this head was started with.
        watch: follows the endpoint list; it moves to the new address.
    """
    try:
        conf = config.reload(environ)
    except config.ConfigError as error:
        # Guards a serving head against a file that is half written or faulty.
        logger.error(
            "reload: the configuration in force stays: {error}", event="reload.refused", error=str(error)
        )
        return
    log_deferred(conf, current)
    logger.info(
        "reload: discovery at {address}, was {before}",
        event="reload.taken",
        address=conf.discovery,
        before=watch.address,
    )
    watch.change_address(conf.discovery)


def log_deferred(conf: config.Config, current: config.Config) -> None:
    """Log the changed fields that take effect only at a start, if there are any."""
    deferred = [name for name in FIXED_FIELDS if getattr(conf, name) != getattr(current, name)]
    if deferred:
        logger.warning(
            "reload: changes of {fields} wait for the next start",
            event="reload.later",
            fields=", ".join(deferred),
        )
