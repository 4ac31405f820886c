"""Measures event loop lag, sheds load while it is high, logs the core's tally, and expires suspect nodes."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from loguru import logger

from stoatrouter.net.client_table import ClientTable
from stoatrouter.net.engine import Engine

CHECK_INTERVAL = timedelta(milliseconds=100)
MIN_LOGGED_LAG = timedelta(milliseconds=100)
# A lag above this means that the process gets too little processor time; normally it is a few milliseconds.
MIN_TIGHTENING_LAG = timedelta(milliseconds=30)
TIGHTENING_TIME = timedelta(milliseconds=500)
CHECKS_PER_TALLY = 100


async def monitor_loop(engine: Engine, clients: ClientTable) -> None:
    """Check the event loop's lag every CHECK_INTERVAL, until cancelled.

    Args:
        engine: The engine whose tally is logged every CHECKS_PER_TALLY checks, with the worst lag since the
            last time; nodes that are no longer suspect are dropped then.
        clients: The table that admits fewer open requests for TIGHTENING_TIME after a lag above
            MIN_TIGHTENING_LAG.
    """
    loop = asyncio.get_running_loop()
    checks = 0
    worst_lag = 0.0
    while True:
        due = loop.time() + CHECK_INTERVAL.total_seconds()
        await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        lag = loop.time() - due
        checks += 1
        worst_lag = max(worst_lag, lag)
        if lag > MIN_TIGHTENING_LAG.total_seconds():
            clients.tighten_busy_limit(TIGHTENING_TIME)
        if lag > MIN_LOGGED_LAG.total_seconds():
            logger.warning("loop: lagged by {lag_ms:.0f} ms", event="loop.lagged", lag_ms=lag * 1000)
        if checks % CHECKS_PER_TALLY == 0:
            log_tally(engine, worst_lag)
            log_clients(clients)
            engine.nodes.pool.reuse_delays.forget_old(loop.time())
            worst_lag = 0.0


def log_clients(clients: ClientTable) -> None:
    """Log why connections were closed since the last call, and the memory held if some was refused."""
    if closes := clients.take_closes():
        logger.info(
            "clients: closed {said}",
            event="clients.closed",
            counts=closes,
            said=" ".join(f"{reason}={count}" for reason, count in sorted(closes.items())),
        )
    if refused := clients.memory.take_refusals():
        logger.warning(
            "memory: {held} of {limit} bytes held ({kinds}); not allowed more: {said}",
            event="memory.refused",
            held=clients.memory.total,
            limit=clients.memory.limit,
            kinds=" ".join(f"{kind.value}={size}" for kind, size in clients.memory.held.items()),
            said=" ".join(f"{kind}={count}" for kind, count in sorted(refused.items())),
        )


def log_tally(engine: Engine, worst_lag: float) -> None:
    """Log the counts since the last call, if there are any; `worst_lag` is in seconds."""
    counts = engine.reducer.tally.take()
    if counts:
        logger.info(
            "tally: open={open} worst_lag_ms={worst_lag_ms:.0f} {said}",
            event="tally",
            open=engine.reducer.open,
            worst_lag_ms=worst_lag * 1000,
            counts=counts,
            said=" ".join(f"{name}={count}" for name, count in sorted(counts.items())),
        )
