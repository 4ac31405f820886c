"""Entry point of the program: starts a head, or runs a command of the command line."""

from __future__ import annotations

import gc
import os
import sys

if __name__ == "__main__" and len(sys.argv) > 1:
    from stoatrouter.cli import main as run_command  # a head takes no arguments

    run_command(prog_name="stoatrouter")

from stoatrouter.net.sighup import hangup_signal

if __name__ == "__main__":
    hangup_signal.install_handler()  # before the imports below, which take most of the start-up time

from stoatrouter.net.startup_notification import startup_notification

if __name__ == "__main__":
    startup_notification.connect(os.environ.get("TMPDIR"))
    gc.disable()  # objects created by imports are never freed; collecting them takes 1/3 of the import time

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from stoatrouter import config
from stoatrouter.head import Head

if TYPE_CHECKING:
    from stoatrouter.fronts.http.settings import HttpSettings
    from stoatrouter.fronts.objects.settings import ObjectSettings
    from stoatrouter.peering.settings import HeadsSettings

# High thresholds: reference counting frees most objects of a request before a collection would start.
GC_THRESHOLDS = (10_000, 20, 20)


def configure_logs(log_format: str | None) -> None:
    """Configure logging: plain text, or JSON with event and fields (loguru's format, docs/on-call.md)."""
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, serialize=True, level="INFO", backtrace=False, diagnose=False)
        return
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        backtrace=False,
        diagnose=False,
    )


async def run(
    conf: config.Config,
    objects: ObjectSettings | None,
    http: HttpSettings | None,
    heads: HeadsSettings | None,
) -> None:
    """Run a head until SIGTERM or SIGINT arrives."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop.set)
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)
    head = Head(conf, objects, http, heads)
    loop.add_signal_handler(signal.SIGHUP, head.reload, os.environ)
    if hangup_signal.received:  # the signal may have arrived after the file was read
        head.reload(os.environ)
    await head.start()
    await stop.wait()
    await head.stop()


def main() -> int:
    """Run one head until it is stopped; return 2 if it cannot start with its configuration."""
    configure_logs(os.environ.get("STOATROUTER_LOG_FORMAT"))
    try:
        conf = config.load(os.environ)
        objects = http = heads = None
        if conf.http:
            from stoatrouter.fronts.http.settings import load_http

            http = load_http(Path(conf.http))
        if conf.objects:
            from stoatrouter.fronts.objects.settings import load_objects

            objects = load_objects(Path(conf.objects), conf.settings, conf.shards)
        if conf.heads:
            from stoatrouter.peering.heads import load as load_heads

            heads = load_heads(conf.heads, conf)
        asyncio.run(run(conf, objects, http, heads))
    except (config.ConfigError, OSError) as error:
        logger.error("start failed: {error}", event="start.refused", error=str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
