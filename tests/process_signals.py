"""Signals to processes that asyncio started, which leave the exit status to asyncio.

The `send_signal` of `asyncio.subprocess.Process` is that of `subprocess.Popen`, which polls first and so
reaps a process that has just ended. Then asyncio's own wait finds no child, logs "Unknown child process" and
reports 255 whatever the status was. A `subprocess.Popen` that asyncio does not wait for keeps the status that
it collected, so its own methods are safe.
"""

from __future__ import annotations

import asyncio
import os
import signal


def send_signal(process: asyncio.subprocess.Process, sign: signal.Signals) -> None:
    """Send a signal; without effect if the process has ended and the event loop has not noticed it yet.

    Raises:
        ProcessLookupError: The event loop has noticed that the process has ended.
    """
    if process.returncode is not None:
        raise ProcessLookupError(process.pid)
    try:
        descriptor = os.pidfd_open(process.pid)
    except ProcessLookupError:  # it has just been reaped
        return
    try:
        # fails unless the descriptor is of a child, so no reused pid is signalled; WNOWAIT keeps the status
        os.waitid(os.P_PIDFD, descriptor, os.WEXITED | os.WNOHANG | os.WNOWAIT)
        signal.pidfd_send_signal(descriptor, sign)
    except (ChildProcessError, ProcessLookupError):
        return
    finally:
        os.close(descriptor)


def kill(process: asyncio.subprocess.Process) -> None:
    """Send SIGKILL, as `send_signal` does."""
    send_signal(process, signal.SIGKILL)
