"""The command line, as a person at a shell has it; the demo; and the log as JSON."""

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


def command(*words, **more):
    return CliRunner().invoke(main, [str(word) for word in words], **more)


@pytest.fixture
def rules(tmp_path):
    return write_rules(tmp_path)


@pytest.fixture
def conf(tmp_path):
    (tmp_path / "config.json").write_text(json.dumps(config_data(node_list(1))))
    return tmp_path / "config.json"


def test_check_says_all_that_is_wrong_and_ends_with_1(rules, conf, tmp_path):
    fine = command("rules", "check", rules, "--config", conf)
    assert fine.exit_code == 0 and "feed: 2 rules, at most" in fine.output
    assert command("config", "check", rules).output.endswith("fine (rules)\n")
    write_rules(tmp_path, feed='rules: [{name: "x", when: "request.headers.y == \\"\\"", class: "nope"}]')
    bad = command("rules", "check", rules, "--config", conf)
    assert (
        bad.exit_code == 1
        and 'feed.cue:1: scopes.feed.rules[0].when: 1:17: request.headers["y"]' in bad.output
    )
    assert "class 'nope' is not allowed in this scope" in bad.output and "2 errors" in bad.output
    data = json.loads(command("rules", "check", rules, "--config", conf, "--json").output)
    assert not data["ok"] and {(e["line"], e["path"]) for e in data["errors"]} == {
        (1, "scopes.feed.rules[0].when"),
        (1, "scopes.feed.rules[0].class"),
    }


def test_names_are_checked_against_the_configuration(rules, conf, tmp_path):
    write_rules(tmp_path, operator=OPERATOR.replace('plans: ["premium"]', 'plans: ["gold"]'))
    unknown = command("rules", "check", rules, "--config", conf)
    assert unknown.exit_code == 1 and "unknown plan 'gold' (available: basic, premium)" in unknown.output
    unchecked = command("rules", "check", rules, env={"NODE_CONFIG": ""})
    assert unchecked.exit_code == 0 and "were not checked" in unchecked.output


@pytest.mark.parametrize(
    ("name", "kind"), [("http.cue", "http"), ("objects.cue", "objects"), ("http-rules.cue", "rules")]
)
def test_the_files_that_are_shipped_are_fine(name, kind, conf):
    made = command("config", "check", ROOT / "deploy" / name, "--config", conf)
    assert made.exit_code == 0 and f"fine ({kind})" in made.output, made.output


def test_explain_names_the_conjunct_that_failed_and_the_cost(rules, conf):
    made = command(
        "rules", "explain", rules, "--config", conf, "--request", "PUT /feed/x", "-H", "Host: scores.example"
    )
    assert made.exit_code == 0
    assert (
        'reads: no: (request.method in ["GET", "HEAD"])' in made.output and "writes: matched" in made.output
    )
    assert "class: event-write" in made.output and re.search(
        r"cost: \d+ steps in the worst case", made.output
    )
    data = json.loads(
        command(
            "rules",
            "explain",
            rules,
            "--config",
            conf,
            "--json",
            "--request",
            "GET /archive/x",
            "-H",
            "x-client: banned",
        ).output
    )
    assert data["decided"] == {"refused": 403, "reason": "banned", "scope": "archive", "rule": "blocked"}
    assert data["looked"][0]["matched"] and len(data["looked"]) == 1
    assert "no scope claims" in command("rules", "explain", rules, "--request", "GET /x").output
    assert (
        "answered 400 before any rule"
        in command("rules", "explain", rules, "--request", "GET /a/../b").output
    )
    assert command("rules", "explain", rules, "--request", "nonsense").exit_code == 2


def test_diff_says_by_rule_which_recorded_requests_change(rules, conf, tmp_path):
    (tmp_path / "new").mkdir()
    new = write_rules(tmp_path / "new", feed=f"rules: [{READS[:-1]}, units: 3}}, {WRITES}]")
    log = tmp_path / "heads.jsonl"
    record = {"fields": [["Host", "scores.example"]], "peer": "10.0.0.1", "size": -1}
    log.write_text(
        "".join(
            json.dumps({"method": m, "target": t, **record}) + "\n"
            for m, t in (("GET", "/feed/a"), ("PUT", "/feed/a"), ("GET", "/app/a"), ("GET", "/feed/b"))
        )
        + "spoilt\n"
    )
    made = command("rules", "diff", rules, new, "--requests", log, "--config", conf)
    assert made.exit_code == 1 and "2 feed/reads -> feed/reads: units: 1.0 -> 3.0 (lines 1, 4)" in made.output
    assert "2 of 4 requests change; 1 lines cannot be read" in made.output
    data = json.loads(
        command("rules", "diff", rules, new, "--requests", log, "--config", conf, "--json").output
    )
    assert (data["requests"], data["changed"], data["differences"][0]["lines"]) == (4, 2, [1, 4])
    assert command("rules", "diff", rules, rules, "--requests", log, "--config", conf).exit_code == 0
    lined = command("rules", "explain", rules, "--config", conf, "--request", f"{log}:2")
    assert "writes: matched" in lined.output


def test_bench_times_requests_made_from_the_rules(rules, conf):
    data = json.loads(command("rules", "bench", rules, "--config", conf, "--rounds", "2", "--json").output)
    assert data["rules"] == 7 and data["requests"] == 7 and data["median_us"] > 0


def test_usage_is_2_and_run_needs_a_configuration():
    assert command("rules", "check", "/nonexistent.cue").exit_code == 2
    assert command("run", env={"NODE_CONFIG": ""}).exit_code == 2
    assert command("--help").exit_code == 0


# -- the demo, as the README has it -------------------------------------------------------------------------
def test_the_demo_shows_calls_that_work_and_ends_on_interrupt():
    process = subprocess.Popen(
        [sys.executable, "-m", "stoatrouter", "demo"],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    seen = []
    try:
        for line in process.stdout:
            seen.append(line)
            if "what becomes of requests" in line:
                break
        base = {m[1]: m[2] for m in re.finditer(r"^(\w+) +(http://\S+)$", "".join(seen), re.MULTILINE)}
        assert set(base) == {"platform", "objects", "http", "management"}

        def call(url, method="GET", data=None, **fields):
            request = urllib.request.Request(
                url, data, {k.replace("_", "-"): v for k, v in fields.items()}, method=method
            )
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
        rest, _ = process.communicate(timeout=60)
        assert process.returncode == 0
        assert "PUT  /feed/matches/7  event-write, volume 00000000f0a70011" in rest and "served: 200" in rest
        assert "requests of the core, by node: node-0" in rest and "Traceback" not in rest
    finally:
        if process.poll() is None:
            process.kill()
            process.communicate()


# -- logs ---------------------------------------------------------------------------------------------------
def test_a_head_logs_json_with_event_and_fields(conf):
    environ = os.environ | {
        "NODE_CONFIG": str(conf),
        "STOATROUTER_LOG_FORMAT": "json",
        "TMPDIR": str(conf.parent),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "stoatrouter"], cwd=ROOT, env=environ, text=True, stderr=subprocess.PIPE
    )
    began, found = time.monotonic(), []
    for line in process.stderr:
        record = json.loads(line)["record"]
        found.append((record["extra"]["event"], record["extra"]))
        if record["extra"]["event"] == "start":
            process.send_signal(signal.SIGTERM)
    assert process.wait() == 0 and time.monotonic() - began < 60
    events = [event for event, _ in found]
    assert events[0] == "discovery.told" and {"start", "stop.asked", "stop.answered"} <= set(events)
    assert dict(found)["start"]["name"] == "n0"


def logged():
    """Each call of the logger: its file, line, text and event."""
    for path in sorted((ROOT / "stoatrouter").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("info", "warning", "error", "exception", "debug")
                and "logger" in ast.unparse(node.func.value)
            ):
                event = [k.value.value for k in node.keywords if k.arg == "event"]
                yield f"{path.name}:{node.lineno}", node.args[0].value, event[0] if event else None


def test_each_log_line_has_an_event_that_the_page_for_on_call_names():
    page = (ROOT / "docs" / "on-call.md").read_text()
    calls = list(logged())
    assert len(calls) > 40
    assert [place for place, _, event in calls if event is None] == []
    assert [(place, event) for place, _, event in calls if f"`{event}`" not in page] == []
