"""The command line as a user runs it, the demo, and the log as JSON."""

from __future__ import annotations

import ast
import json
import os
import re
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest
from click.testing import CliRunner

from stoatrouter.cli import main
from tests.peers import config_data, node_list
from tests.rules import OPERATOR, READS, WRITES, write_rules

ROOT = Path(__file__).parent.parent


def invoke(*arguments, **options):
    return CliRunner().invoke(main, [str(argument) for argument in arguments], **options)


@pytest.fixture
def rules(tmp_path):
    return write_rules(tmp_path)


@pytest.fixture
def config_path(tmp_path):
    (tmp_path / "config.json").write_text(json.dumps(config_data(node_list(1))))
    return tmp_path / "config.json"


def test_check_says_all_that_is_wrong_and_ends_with_1(rules, config_path, tmp_path):
    checked = invoke("rules", "check", rules, "--config", config_path)
    assert checked.exit_code == 0 and "feed: 2 rules, at most" in checked.output
    assert invoke("config", "check", rules).output.endswith("fine (rules)\n")
    write_rules(tmp_path, feed='rules: [{name: "x", when: "request.headers.y == \\"\\"", class: "nope"}]')
    rejected = invoke("rules", "check", rules, "--config", config_path)
    assert rejected.exit_code == 1
    assert 'feed.cue:1: scopes.feed.rules[0].when: 1:17: request.headers["y"]' in rejected.output
    assert "class 'nope' is not allowed in this scope" in rejected.output and "2 errors" in rejected.output
    data = json.loads(invoke("rules", "check", rules, "--config", config_path, "--json").output)
    assert not data["ok"] and {(error["line"], error["path"]) for error in data["errors"]} == {
        (1, "scopes.feed.rules[0].when"),
        (1, "scopes.feed.rules[0].class"),
    }


def test_names_are_checked_against_the_configuration(rules, config_path, tmp_path):
    write_rules(tmp_path, operator=OPERATOR.replace('plans: ["premium"]', 'plans: ["gold"]'))
    unknown = invoke("rules", "check", rules, "--config", config_path)
    assert unknown.exit_code == 1 and "unknown plan 'gold' (available: basic, premium)" in unknown.output
    unchecked = invoke("rules", "check", rules, env={"NODE_CONFIG": ""})
    assert unchecked.exit_code == 0 and "were not checked" in unchecked.output


@pytest.mark.parametrize(
    ("name", "kind"), [("http.cue", "http"), ("objects.cue", "objects"), ("http-rules.cue", "rules")]
)
def test_the_files_that_are_shipped_are_fine(name, kind, config_path):
    result = invoke("config", "check", ROOT / "deploy" / name, "--config", config_path)
    assert result.exit_code == 0 and f"fine ({kind})" in result.output, result.output


def test_explain_names_the_conjunct_that_failed_and_the_cost(rules, config_path):
    result = invoke(
        "rules",
        "explain",
        rules,
        "--config",
        config_path,
        "--request",
        "PUT /feed/x",
        "-H",
        "Host: scores.example",
    )
    assert result.exit_code == 0
    assert 'reads: no: (request.method in ["GET", "HEAD"])' in result.output
    assert "writes: matched" in result.output
    assert "class: event-write" in result.output
    assert re.search(r"cost: \d+ steps in the worst case", result.output)
    data = json.loads(
        invoke(
            "rules",
            "explain",
            rules,
            "--config",
            config_path,
            "--json",
            "--request",
            "GET /archive/x",
            "-H",
            "x-client: banned",
        ).output
    )
    assert data["decided"] == {"refused": 403, "reason": "banned", "scope": "archive", "rule": "blocked"}
    assert data["looked"][0]["matched"] and len(data["looked"]) == 1
    assert "no scope claims" in invoke("rules", "explain", rules, "--request", "GET /x").output
    assert (
        "answered 400 before any rule" in invoke("rules", "explain", rules, "--request", "GET /a/../b").output
    )
    assert invoke("rules", "explain", rules, "--request", "nonsense").exit_code == 2


def test_diff_says_by_rule_which_recorded_requests_change(rules, config_path, tmp_path):
    (tmp_path / "new").mkdir()
    new = write_rules(tmp_path / "new", feed=f"rules: [{READS[:-1]}, units: 3}}, {WRITES}]")
    log = tmp_path / "heads.jsonl"
    record = {"fields": [["Host", "scores.example"]], "peer": "10.0.0.1", "size": -1}
    log.write_text(
        "".join(
            json.dumps({"method": method, "target": target, **record}) + "\n"
            for method, target in (
                ("GET", "/feed/a"),
                ("PUT", "/feed/a"),
                ("GET", "/app/a"),
                ("GET", "/feed/b"),
            )
        )
        + "spoilt\n"
    )
    result = invoke("rules", "diff", rules, new, "--requests", log, "--config", config_path)
    assert (
        result.exit_code == 1
        and "2 feed/reads -> feed/reads: units: 1.0 -> 3.0 (lines 1, 4)" in result.output
    )
    assert "2 of 4 requests change; 1 lines cannot be read" in result.output
    data = json.loads(
        invoke("rules", "diff", rules, new, "--requests", log, "--config", config_path, "--json").output
    )
    assert (data["requests"], data["changed"], data["differences"][0]["lines"]) == (4, 2, [1, 4])
    assert invoke("rules", "diff", rules, rules, "--requests", log, "--config", config_path).exit_code == 0
    explained = invoke("rules", "explain", rules, "--config", config_path, "--request", f"{log}:2")
    assert "writes: matched" in explained.output


def test_bench_times_requests_made_from_the_rules(rules, config_path):
    data = json.loads(
        invoke("rules", "bench", rules, "--config", config_path, "--rounds", "2", "--json").output
    )
    assert data["rules"] == 7 and data["requests"] == 7 and data["median_us"] > 0


def test_usage_is_2_and_run_needs_a_configuration():
    assert invoke("rules", "check", "/nonexistent.cue").exit_code == 2
    assert invoke("run", env={"NODE_CONFIG": ""}).exit_code == 2
    assert invoke("--help").exit_code == 0


# -- the demo, as the README describes it -------------------------------------------------------------------
def test_the_demo_shows_calls_that_work_and_ends_on_interrupt():
    process = subprocess.Popen(
        [sys.executable, "-m", "stoatrouter", "demo"],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    printed = []
    try:
        for line in process.stdout:
            printed.append(line)
            if "what becomes of requests" in line:
                break
        addresses = re.finditer(r"^(\w+) +(http://\S+)$", "".join(printed), re.MULTILINE)
        base = {match[1]: match[2] for match in addresses}
        assert set(base) == {"platform", "objects", "http", "management"}

        def call(url, method="GET", data=None, **fields):
            headers = {name.replace("_", "-"): value for name, value in fields.items()}
            request = urllib.request.Request(url, data, headers, method=method)
            with urllib.request.urlopen(request, timeout=20) as answer:
                return answer.read()

        call(base["http"] + "/feed/matches/7", "PUT", b"1:0")
        assert call(base["http"] + "/feed/matches/7") == b"1:0"
        call(base["objects"] + "/match-footage/readme", "PUT", b"text" * 100)
        assert call(base["objects"] + "/match-footage/readme", Range="bytes=0-7") == b"texttext"
        call(
            base["platform"] + "/event-write/00000000f0a70001/0000000000000007",
            "PUT",
            b"goal",
            Req_Id="demo-1",
            X_Plan="premium",
            Req_Deadline_Ms="2000",
            X_IO="units=1,shard=-1,hosts=1",
            Idempotency_Key="1",
        )
        assert b"app.responses.event-write.ok" in call(base["management"] + "/control/counters")
        process.send_signal(signal.SIGINT)
        output, _ = process.communicate(timeout=60)
        assert process.returncode == 0
        assert "PUT  /feed/matches/7  event-write, volume 00000000f0a70011" in output
        assert "served: 200" in output
        assert "requests of the core, by node: node-0" in output and "Traceback" not in output
    finally:
        if process.poll() is None:
            process.kill()
            process.communicate()


# -- logs ---------------------------------------------------------------------------------------------------
def test_a_head_logs_json_with_event_and_fields(config_path):
    environ = os.environ | {
        "NODE_CONFIG": str(config_path),
        "STOATROUTER_LOG_FORMAT": "json",
        "TMPDIR": str(config_path.parent),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "stoatrouter"], cwd=ROOT, env=environ, text=True, stderr=subprocess.PIPE
    )
    started_at = time.monotonic()
    records = []
    for line in process.stderr:
        record = json.loads(line)["record"]
        records.append((record["extra"]["event"], record["extra"]))
        if record["extra"]["event"] == "start":
            process.send_signal(signal.SIGTERM)
    assert process.wait() == 0 and time.monotonic() - started_at < 60
    events = [event for event, _ in records]
    assert events[0] == "discovery.told" and {"start", "stop.asked", "stop.answered"} <= set(events)
    assert dict(records)["start"]["name"] == "n0"


def logger_calls():
    """Yield the place, text and event of each call of the logger."""
    for path in sorted((ROOT / "stoatrouter").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("info", "warning", "error", "exception", "debug")
                and "logger" in ast.unparse(node.func.value)
            ):
                events = [keyword.value.value for keyword in node.keywords if keyword.arg == "event"]
                yield f"{path.name}:{node.lineno}", node.args[0].value, events[0] if events else None


def test_each_log_line_has_an_event_that_the_page_for_on_call_names():
    page = (ROOT / "docs" / "on-call.md").read_text()
    calls = list(logger_calls())
    assert len(calls) > 40
    assert [place for place, _, event in calls if event is None] == []
    assert [(place, event) for place, _, event in calls if f"`{event}`" not in page] == []
