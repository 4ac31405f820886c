"""Signals of the tests leave a process's exit status to whoever waits for it."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import threading

import pytest

from tests.process_signals import kill, send_signal
from tests.program_process import ROOT
from tests.soak.ends import Signaller
from tests.soak.plan import Kind
from tests.soak.report import Finding, SeedReport

OF_ASYNCIO = re.compile(r"process\.(send_signal|kill|terminate)\(")


@pytest.mark.parametrize("status", [0, 7, 255])
def test_a_signal_in_the_moment_of_the_end_leaves_the_status(monkeypatch, status):
    # guards against "ended with 255" of a process that ended well, and against passing over a real 255
    may_wait, wait = threading.Event(), os.waitpid

    def wait_late(process: int, options: int) -> tuple[int, int]:
        may_wait.wait()
        return wait(process, options)

    monkeypatch.setattr(os, "waitpid", wait_late)  # what the loop's own thread waits by

    async def story() -> None:
        process = await asyncio.create_subprocess_exec("sh", "-c", f"exit {status}")
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        send_signal(process, signal.SIGTERM)
        kill(process)
        may_wait.set()
        assert await process.wait() == status
        with pytest.raises(ProcessLookupError):
            kill(process)
        report = SeedReport(2, Kind.PLAIN)
        Signaller(2, report).judge_exit("h0", process.returncode)
        found = [(Finding.CRASHED, f"h0 ended with {status}")] if status else []
        assert report.findings == found

    asyncio.run(story())


def test_a_running_process_gets_the_signal():
    async def story() -> None:
        process = await asyncio.create_subprocess_exec("sleep", "60")
        send_signal(process, signal.SIGTERM)
        assert await process.wait() == -signal.SIGTERM

    asyncio.run(story())


def test_no_process_of_asyncio_is_signalled_otherwise():
    # guards all other tests against the false 255; a Popen that nobody else waits for may signal by itself
    files = [*(ROOT / "tests").rglob("*.py"), *(ROOT / "benchmarks").rglob("*.py")]
    texts = {str(file): file.read_text() for file in files}
    signalling = [file for file, text in texts.items() if OF_ASYNCIO.search(text)]
    assert [file for file in signalling if "subprocess.Popen" not in texts[file]] == []
