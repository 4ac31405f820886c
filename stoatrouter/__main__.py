"""Wiring: one real head."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from datetime import timedelta

from loguru import logger

from stoatrouter import config
from stoatrouter.core.reducer import Reducer
from stoatrouter.fronts.platform import PlatformFront
from stoatrouter.net.clock import Clock
from stoatrouter.net.discovery import Watch
from stoatrouter.net.engine import Engine, watch_loop
from stoatrouter.net.listener import Drain, Listener
from stoatrouter.net.nodes import NodeClient

NODE_SHARE, CLIENT_SHARE = 0.45, 0.45  # of the descriptors; the rest is for files, discovery and probes
LAG_EVERY, LAG_LIMIT = timedelta(milliseconds=100), timedelta(milliseconds=100)


async def run(conf: config.Config) -> None:
    """Serve until asked to stop."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, stop.set)
    nodes = NodeClient(conf.connect_timeout, conf.conn_idle, int(conf.sockets * NODE_SHARE))
    engine = Engine(Reducer(conf.settings, conf.seed, conf.max_open), Clock(), nodes)
    watch = Watch(conf.discovery, conf.known, engine.told)
    watch.restore()
    drain = Drain(int(conf.sockets * CLIENT_SHARE))
    listener = Listener(PlatformFront(engine, conf.settings, drain).handle, drain)
    await listener.start(*config.address(conf.listen))
    background = [loop.create_task(watch.run()), loop.create_task(watch_loop(engine, LAG_EVERY, LAG_LIMIT))]
    logger.info("start: {} listens on {}", conf.name, conf.listen)
    await stop.wait()
    logger.info("stop: asked to, {} requests open", engine.reducer.open)
    await listener.stop(lambda: engine.busy)
    for task in background:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*background, return_exceptions=True)
    await nodes.close()


def main() -> int:
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", backtrace=False,
               diagnose=False)
    try:
        conf = config.load(os.environ)
        asyncio.run(run(conf))
    except (config.ConfigError, OSError) as error:
        logger.error("start: {}", error)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
