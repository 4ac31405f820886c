"""Faults of the system that a head of the soak meets: a wall clock that is off, and accepts that fail.

The code runs in the head's process before the program; both are drawn from the seed, which is in the
environment.
"""

from __future__ import annotations

import random

CLOCK_STEPS = (0.0, 0.0, 2.0, -2.0, 3600.0, -3600.0)  # seconds
FAILED_ACCEPTS = 0.01  # part of all accepts
STEP_VARIABLE = "SOAK_CLOCK_STEP"
SEED_VARIABLE = "SOAK_SEED"

SHIMS = f"""
import errno, os, random, socket, time
def install(step, draws, true_time=time.time, true_time_ns=time.time_ns, true_accept=socket.socket.accept):
    def accept(self):
        if draws.random() < {FAILED_ACCEPTS}:
            raise OSError(draws.choice((errno.ENFILE, errno.ENOBUFS, errno.EPROTO)), "forced by the soak")
        return true_accept(self)
    socket.socket.accept = accept
    time.time = lambda: true_time() + step
    time.time_ns = lambda: true_time_ns() + int(step * 1e9)
install(float(os.environ["{STEP_VARIABLE}"]), random.Random(os.environ["{SEED_VARIABLE}"]))
"""


class ShimEnvironment:
    """Draws the environment of each process of one head."""

    def __init__(self, seed: int, head: str) -> None:
        self.seed = f"shims/{seed}/{head}"
        self.draws = random.Random(self.seed)

    def next(self) -> dict[str, str]:
        """Return the variables for the next process."""
        return {STEP_VARIABLE: str(self.draws.choice(CLOCK_STEPS)), SEED_VARIABLE: self.seed}
