"""A short soak of fixed seeds, and checks that the soak finds the faults of broken programs.

The long run is `python -m benchmarks.soak`; its figures are in docs/measurements/soak.md.
"""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace
from unittest.mock import AsyncMock

import pytest

from benchmarks.soak import EXIT_FINDINGS, EXIT_UNJUDGED, exit_status, run_seeds
from stoatrouter.lab.histories.requests import CheckResult
from tests.heads.history_clients import OK
from tests.heads.ledger_chaos import FREE_VOLUMES, LEDGER_CHAOS_SETTINGS
from tests.heads.processes import HeadProcess
from tests.soak import ends, story
from tests.soak.credit_story import SERIES, SeriesChaos, play_credit
from tests.soak.ends import Signaller
from tests.soak.plan import MAX_SERIES_SECONDS, TERM, EndMode, Kind, draw_series, kind_of
from tests.soak.report import FINDING_BY_TEXT, Finding, SeedReport, classify, summary
from tests.soak.seed import play_seed
from tests.soak.story import Soak

SEED_SECONDS = 10.0
BROKEN_SEED_SECONDS = 6.0
SEEDS = (*range(10, 14), 204)  # one of each kind, and one with a finding under load
EXTRA_SEEDS = 2  # tried in place of one that was not judged
MAX_SEEDS = 5  # tried until a broken program is caught
UNKNOWN_CUSTOMER = "unknown"  # created while a head is cut off


def test_seeds_in_a_row_are_of_all_kinds():
    kinds = [kind_of(seed) for seed in range(60)]
    assert kinds.count(Kind.CROWD) == kinds.count(Kind.CREDIT) == 18
    assert {kind_of(seed) for seed in SEEDS} == set(Kind)


def test_each_series_has_its_sigterm_in_time():
    draws = random.Random(1)
    for _ in range(1_000):
        series = draw_series(draws)
        assert TERM in [timed_signal.signal_number for timed_signal in series]
        assert all(0.0 <= timed_signal.delay <= MAX_SERIES_SECONDS for timed_signal in series)


def test_the_report_names_what_was_found():
    report = SeedReport(3, Kind.PLAIN)
    report.lag_of("stand-ins")
    assert "nothing found" in report.line()
    for text, finding in FINDING_BY_TEXT.items():
        assert classify(f"c1-2: {text} x") is finding
    report.add(Finding.LOST, "text")
    assert "1 lost" in report.line() and "lost: 1" in summary([report]).splitlines()
    for hundredths in range(1, 101):
        report.add_end(EndMode.EARLY, hundredths / 100)
    spread = "ends, plain, within moments of its start: 100, median 0.50 s, 95th 0.95 s, slowest 1.00 s"
    assert spread in summary([report]).splitlines() and "(slowest 1.0 s" in report.line()
    assert classify("something new") is Finding.UNKNOWN


def test_an_error_of_a_seed_is_a_finding_and_the_next_one_is_played(tmp_path, monkeypatch, capsys):
    # Guards against an error of one seed that ends the run, so that later seeds find nothing.
    async def fail(story: Soak) -> None:
        if story.seed == 2:
            raise ProcessLookupError("gone")

    monkeypatch.setattr(Soak, "play", fail)
    first, second = run_seeds(tmp_path, 2, 2, 1.0)
    assert [found for found, _ in first.findings] == [Finding.STORY_FAILED] and not second.findings
    assert not second.was_judged  # the lag of its loop was not measured
    assert "the story failed: Traceback" in capsys.readouterr().out and "in fail\n" in first.findings[0][1]


def test_a_process_that_ends_as_its_time_is_over_was_not_killed():
    # Guards against killing a process that has ended, which raised an error and ended the run.
    async def story() -> None:
        report = SeedReport(2, Kind.PLAIN)
        process = await asyncio.create_subprocess_exec("true")
        await process.wait()
        await Signaller(2, report).wait_or_kill("h0", process, 0.0, EndMode.SERIES)
        assert (report.killed_after_timeout, report.findings) == (0, [])

    asyncio.run(story())


def test_a_seed_whose_loop_lagged_was_not_judged(tmp_path, monkeypatch):
    # Guards against false findings caused by the lag of a stand-in, and against "nothing found" in that case.
    async def stall(soak: Soak) -> None:
        time.sleep(0.8)

    late = "c1-2: repeated outside its window (with no record, seen after 0.950 s, limit 0.900 s)"
    wrote_late = "c1-4: repeated outside its window (written after 0.950 s, seen after 0.951 s)"

    def judge_something(*_: object) -> CheckResult:
        return CheckResult([late, "c1-3: lost by h1", wrote_late])

    monkeypatch.setattr(Soak, "run_load", stall)
    lagged = play_seed(tmp_path, 2, 1.0)
    assert not lagged.findings and "NOT JUDGED" in lagged.line() and "nothing found" not in lagged.line()
    assert exit_status([lagged]) == EXIT_UNJUDGED and "judged: 0, NOT JUDGED: 1" in summary([lagged])
    monkeypatch.setattr(story, "check_requests", judge_something)
    folder = tmp_path / "found"
    folder.mkdir()
    found = play_seed(folder, 2, 1.0)
    assert found.findings == [(Finding.LOST, "c1-3: lost by h1"), (Finding.RUN_TWICE, wrote_late)]
    assert found.withheld == [late]
    assert exit_status([lagged, found]) == EXIT_FINDINGS


@pytest.mark.parametrize("process", ["nodes", "clients 1"])
def test_a_lag_of_another_process_counts(tmp_path, process):
    # Guards against the lag of a stand-in in a process whose lag is not measured.
    report = SeedReport(2, Kind.PLAIN)
    soak = Soak(tmp_path, report, 2.0)
    soak.stalls = {process: 0.8}
    asyncio.run(soak.play())
    assert report.lags[process].worst > 0.7 and "NOT JUDGED" in report.line()


@pytest.mark.parametrize("seed", SEEDS)
def test_heads_lose_nothing_whatever_ends_them(tmp_path, seed):
    """With series of signals, idle clients, upgrades and lost folders each request gets its own answer once.

    A seed that was not judged is replaced by the next one of its kind, at most twice; findings of all of them
    count.
    """
    for played in range(seed, seed + 10 * (1 + EXTRA_SEEDS), 10):
        print("seed", played)
        folder = tmp_path / str(played)
        folder.mkdir()
        report = play_seed(folder, played, SEED_SECONDS)
        print(report.line())
        assert report.findings == []
        assert report.ends and report.answers["200"] > 50
        if report.was_judged:
            return
    pytest.fail(f"no seed could be judged: {report.verdict()}")


BROKEN_PROGRAMS = {
    Finding.LOST: "from stoatrouter.head import Head\nasync def stop(self):\n    pass\nHead.stop = stop\n",
    Finding.RUN_TWICE: "from stoatrouter.policy import scheduler, send_rules\n"
    "scheduler.blocks_retry = send_rules.blocks_retry = lambda *_: False\n",
    Finding.SENT_TO_DRAINED: "from stoatrouter.net import endpoint_list\n"
    "endpoint_list.PHASES['DRAINING'] = endpoint_list.PHASES['SERVING']\n",
    Finding.SENT_FOR_NOBODY: "from stoatrouter.core.reducer import Reducer\n"
    "Reducer._client_left = lambda self, name: []\n"
    "from stoatrouter.net import engine\nengine.has_disconnected = lambda client: False\n",
    Finding.ANOTHERS_ANSWER: "from datetime import timedelta\n"
    "from stoatrouter.net import answer_identity, reuse_delays\n"
    "answer_identity.RecentAnswers.is_duplicate = lambda *_: False\n"
    "reuse_delays.REUSE_DELAY = reuse_delays.SUSPECT_REUSE_DELAY = timedelta(0)\n",
    Finding.OVER_MEMORY: "hold = bytearray(b'x') * (200 << 20)\n",
    Finding.TRACEBACK: "import threading\nthreading.Thread(target=lambda: 1 / 0).start()\n",
    Finding.CRASHED: "import atexit, os\natexit.register(os._exit, 3)\n",
}


@pytest.mark.parametrize("finding", BROKEN_PROGRAMS)
def test_a_broken_program_is_found(tmp_path, monkeypatch, finding):
    # the slack of the platform's page; the wider one allows for the whole program on a busy machine
    monkeypatch.setattr(story, "JUDGE_SLACK", 0.05)

    def is_found(number: int) -> bool:
        seed = 2 + 10 * number  # seeds of the plain kind
        print("seed", seed)
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = SeedReport(seed, kind_of(seed))
        asyncio.run(Soak(folder, report, BROKEN_SEED_SECONDS, BROKEN_PROGRAMS[finding]).play())
        return any(found is finding for found, _ in report.findings)

    assert any(is_found(number) for number in range(MAX_SEEDS))


def test_a_program_that_is_not_ready_in_time_is_found(tmp_path, monkeypatch):
    monkeypatch.setattr(ends, "READY_TIMEOUT", 1.0)
    report = SeedReport(2, kind_of(2))
    asyncio.run(Soak(tmp_path, report, BROKEN_SEED_SECONDS, "import time\ntime.sleep(60)\n").play())
    assert {found for found, _ in report.findings} == {Finding.NOT_READY}


def test_no_fault_follows_while_signals_end_a_head():
    # Guards against a head that is killed while signals end it, and is then started twice.
    async def story() -> None:
        head = SimpleNamespace(name="h0", process=object())
        ended = []

        async def end_process(name: str, *_: object) -> None:
            await asyncio.sleep(0.01)
            ended.append(name)

        chaos = SeriesChaos.__new__(SeriesChaos)
        chaos.fleet = SimpleNamespace(up=[head, 1, 2])
        chaos.restarts = []
        chaos.signaller = SimpleNamespace(end_process=end_process)
        chaos.start_after = AsyncMock()
        await chaos.inject(SERIES, head, 0.0)
        assert ended == ["h0"]
        await asyncio.gather(*chaos.restarts)
        chaos.start_after.assert_awaited_once_with(0.0, head)

    asyncio.run(story())


async def serve_without_ledger(chaos: SeriesChaos, head: HeadProcess, duration: float) -> None:
    """Cut a head off, create a customer, and send the head requests of the customer until it serves one."""
    if UNKNOWN_CUSTOMER in chaos.customers:
        return
    await head.kill()
    chaos.cut_off(head)
    other = next(each for each in chaos.fleet.up if each is not head)
    volume = FREE_VOLUMES[0]

    async def is_created() -> bool:
        return await chaos.put(other, UNKNOWN_CUSTOMER, volume) == OK

    async def is_served() -> bool:
        return await chaos.request_volume(head, volume) == OK

    await chaos.fleet.until(is_created, "a customer is created")
    await head.start(ready=False)
    await chaos.fleet.until(is_served, f"{head.name} serves without a ledger")


async def leave_customers(chaos: SeriesChaos) -> None:
    """Change no customers."""


def test_heads_that_serve_without_a_ledger_are_found(tmp_path, monkeypatch):
    """The operator's setting that serves unknown volumes stands in for a program with this fault.

    The crossing is forced: a head that starts cut off is sent requests of a customer created after its end.
    """
    monkeypatch.setattr(SeriesChaos, "fault_kinds", ["start_cut_off"])
    monkeypatch.setattr(SeriesChaos, "start_cut_off", serve_without_ledger)
    monkeypatch.setattr(SeriesChaos, "change_owners", leave_customers)
    serving = LEDGER_CHAOS_SETTINGS.replace('lease: "2s"', 'lease: "2s", unknown_volumes: "serve"')
    assert serving != LEDGER_CHAOS_SETTINGS
    report = SeedReport(1, Kind.CREDIT)
    asyncio.run(play_credit(tmp_path, report, SEED_SECONDS, serving))
    assert any(found is Finding.UNCHARGED for found, _ in report.findings)
