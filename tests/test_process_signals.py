"""Tests that the helpers for signals leave a process's exit status to the code that waits for it."""

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

DIRECT_SIGNAL = re.compile(r"process\.(send_signal|kill|terminate)\(")


@pytest.mark.parametrize("status", [0, 7, 255])
def test_a_signal_in_the_moment_of_the_end_leaves_the_status(monkeypatch, status):
    # guards against reporting "ended with 255" for a process that ended well, and against missing a real 255
    waitpid_allowed = threading.Event()
    original_waitpid = os.waitpid

    def delayed_waitpid(process: int, options: int) -> tuple[int, int]:
        waitpid_allowed.wait()
        return original_waitpid(process, options)

    monkeypatch.setattr(os, "waitpid", delayed_waitpid)  # used by the thread of asyncio's child watcher

    async def scenario() -> None:
        process = await asyncio.create_subprocess_exec("sh", "-c", f"exit {status}")
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        send_signal(process, signal.SIGTERM)
        kill(process)
        waitpid_allowed.set()
        assert await process.wait() == status
        with pytest.raises(ProcessLookupError):
            kill(process)
        report = SeedReport(2, Kind.PLAIN)
        Signaller(2, report).judge_exit("h0", process.returncode)
        expected = [(Finding.CRASHED, f"h0 ended with {status}")] if status else []
        assert report.findings == expected

    asyncio.run(scenario())


def test_a_running_process_gets_the_signal():
    async def scenario() -> None:
        process = await asyncio.create_subprocess_exec("sleep", "60")
        send_signal(process, signal.SIGTERM)
        assert await process.wait() == -signal.SIGTERM

    asyncio.run(scenario())


def test_no_process_of_asyncio_is_signalled_otherwise():
    # guards all other tests against the false 255; a Popen that only its owner waits for may signal directly
    files = [*(ROOT / "tests").rglob("*.py"), *(ROOT / "benchmarks").rglob("*.py")]
    text_by_file = {str(file): file.read_text() for file in files}
    signalling_files = [file for file, text in text_by_file.items() if DIRECT_SIGNAL.search(text)]
    assert [file for file in signalling_files if "subprocess.Popen" not in text_by_file[file]] == []
