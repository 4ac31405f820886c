"""The program as a child process: started as the platform starts it, and ended with the tests."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent() -> None:
    """End this process with the one that started it, also when that one is killed (prctl(2))."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def program_environ(configuration: Path, **more: str) -> dict[str, str]:
    """Return the environment of the tests with this configuration and without NODE_DISCOVERY."""
    environ = os.environ | {"NODE_CONFIG": str(configuration), "PYTHONPATH": str(ROOT)}
    environ.pop("NODE_DISCOVERY", None)
    return environ | more


async def start_program(
    folder: Path,
    environ: dict[str, str],
    optimized: bool = False,
    preexec_fn: Callable[[], None] = end_with_parent,
    **how: Any,
) -> asyncio.subprocess.Process:
    """Start the program in a folder; `optimized` as it is shipped, else with its assertions."""
    flags = ["-O"] if optimized else []
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *flags,
        "-B",
        "-m",
        "stoatrouter",
        cwd=folder,
        env=environ,
        preexec_fn=preexec_fn,
        **how,
    )
