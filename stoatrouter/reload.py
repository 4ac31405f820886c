"""Applies configuration changes to a running head, as far as possible without a restart."""

from __future__ import annotations

from collections.abc import Mapping

from loguru import logger

from stoatrouter import config
from stoatrouter.net.discovery import Watch

# Fields of Config that take effect only at start-up; a change of one is logged.
FIXED_FIELDS = ("name", "listen", "settings", "sockets", "memory_mb", "conn_idle", "max_open")


def reload_configuration(environ: Mapping[str, str], current: config.Config, watch: Watch) -> None:
    """Read the configuration again and apply discovery's address; other changes need a restart.

    An invalid configuration is rejected as a whole and logged.

    Args:
        environ: the environment, which names the file.
        current: the configuration that this head was started with.
        watch: follows the endpoint list; it switches to the new address.
    """
    try:
        conf = config.reload(environ)
    except config.ConfigError as error:
        # The file may be faulty, or still being written; the head keeps serving with its configuration.
        logger.error(
            "reload: keeping the current configuration: {error}", event="reload.refused", error=str(error)
        )
        return
    log_deferred(conf, current)
    logger.info(
        "reload: discovery address is {address} (was {before})",
        event="reload.taken",
        address=conf.discovery,
        before=watch.address,
    )
    watch.change_address(conf.discovery)


def log_deferred(conf: config.Config, current: config.Config) -> None:
    """Log the changed fields that take effect only at start-up, if there are any."""
    deferred = [name for name in FIXED_FIELDS if getattr(conf, name) != getattr(current, name)]
    if deferred:
        logger.warning(
            "reload: changes to {fields} take effect at the next start",
            event="reload.later",
            fields=", ".join(deferred),
        )
