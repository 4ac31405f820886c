"""The adapter: each wire message in its documented form, and a one-line error on bad input."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from stoatrouter.policy import interface as api
from stoatrouter.policy import simhost

ROOT = Path(__file__).parent.parent
JOB = "5d3a91c4-8c0f-4746-a957-3462960d300a"
SETTINGS = {
    "Areas": ["room-a"],
    "Balancers": 3,
    "Me": 0,
    "Zone": 0,
    "Tick": 2000,
    "RegistryMode": "automatic",
    "Classes": [
        {
            "Effect": "retryable",
            "Group": "all",
            "HardLimit": 1200000,
            "LateWorth": 0.15,
            "Name": "look",
            "Points": 3.0,
            "Promise": 250000,
            "Stream": False,
            "Window": 5000000,
        },
        {
            "Effect": "dedup",
            "Group": "cell",
            "HardLimit": 2500000,
            "LateWorth": 0.2,
            "Name": "put",
            "Points": 3.0,
            "Promise": 400000,
            "Stream": False,
            "Window": 4000000,
            "InTurn": True,
        },
    ],
    "Contract": {
        "AnswerSlack": 8000,
        "AskWithin": 10000000,
        "Cold": 13000000,
        "ColdFrom": 0.25,
        "CountedOver": 5000000,
        "DrainGrace": 2000000,
        "ExtraRatio": 0.2,
        "Fall": 3000000,
        "FallMultiple": 4.0,
        "SpareAttempts": 3.0,
        "KeyRest": 700000,
    },
    "Contracts": [
        {
            "Burst": 40.0,
            "Guaranteed": 2.0,
            "Limit": 16.0,
            "Name": "small",
            "Price": 0.8,
            "Shares": 1.0,
            "Tolerance": 8.0,
            "UsualRate": 4.0,
        },
        {"Name": "large", "UsualRate": 9.0},
    ],
    "Extra": {
        "BeyondShare": 0.05,
        "ChangesData": [False, True],
        "ColdBears": 60.0,
        "FairWorth": 0.4,
        "Metering": 500000,
        "MostUnits": 8,
        "SaysOthers": True,
        "Shards": 2,
        "UnitMean": 2.0,
    },
    "Limits": {
        "Cancel": True,
        "MostTries": 3,
        "MaxRetryAfter": 500000,
        "ParallelTries": True,
        "Peers": False,
        "Probes": True,
        "RetryAfter": True,
    },
    "NotKnownHere": {"x": 1},
}
ATTACH = {"cmd": "ATTACH", "HostId": "host/3", "InitSeed": 5, "ProfileData": SETTINGS}
LIST = {
    "cmd": "DISCOVERY",
    "HostId": "host/3",
    "Form": "restored",
    "Epoch": 41,
    "NodesList": [
        {
            "Brick": "10.18.74.7:5003",
            "RegionPart": 0,
            "Kind": 0,
            "UnitGroup": 0,
            "Phase": "on",
            "Weight": 1,
            "UpSince": None,
        },
        {
            "Brick": "10.144.17.242:5044",
            "RegionPart": 1,
            "Kind": 0,
            "UnitGroup": 1,
            "Phase": "fading",
            "Weight": 1.5,
            "UpSince": 6100000,
        },
    ],
}
JOB_IN = {
    "cmd": "JOB_IN",
    "HostId": "host/3",
    "MsgId": JOB,
    "Bitmap": 6,
    "Writers": 3,
    "Left": 240000,
    "Item": "obj:a",
    "Weight": 2,
    "Shard": 0,
    "Service": 0,
    "ShareId": "tpl/c",
    "ServiceLevel": 1,
}
RESULT = {
    "cmd": "RESULT",
    "HostId": "host/3",
    "MsgId": JOB,
    "SeqNo": 0,
    "Brick": "10.18.74.7:5003",
    "Status": 1,
    "TimeTaken": 18500,
    "Finished": True,
    "Used": 86,
    "ByOthers": 3,
    "Load": None,
}


def process_batches(*batches: list) -> list[dict]:
    scheduler_host = simhost.SchedulerHost()
    batch_times = (8_412_250 + 2000 * i for i in range(len(batches)))  # microseconds
    return [
        json.loads(scheduler_host.process_batch(json.dumps({"Time": at, "events": events})))
        for at, events in zip(batch_times, batches, strict=True)
    ]


def commands(reply: dict, name: str) -> list[dict]:
    return [command for command in reply["cmds"] if command["cmd"] == name]


def test_an_empty_batch_gets_an_empty_reply():
    assert process_batches([]) == [{"cmds": []}]


def test_settings_are_read():
    settings = simhost.read_settings(SETTINGS)
    assert settings.hosts == 3 and settings.max_attempts == 3
    assert settings.health_checks and settings.meters_others
    assert settings.classes[1] == api.RequestClass(
        "put", 3.0, 400000, 2500000, 0.2, api.Effect.IDEMPOTENT, api.Group.SHARD, 4000000, True, True
    )
    assert settings.plans[0] == api.Plan("small", 4.0, 2.0, 1.0, 0.8, 16.0, 40.0, 8.0)
    assert settings.rules == api.Rules(
        8000, 2000000, 0.25, 13000000, 60.0, 3000000, 4.0, 10000000, 700000, 5000000, 3.0, 0.2
    )


def test_figures_of_rules_that_are_not_stated_are_none():
    rules = {
        name: value for name, value in SETTINGS["Contract"].items() if name not in ("CountedOver", "KeyRest")
    }
    settings = simhost.read_settings({**SETTINGS, "Contract": rules})
    assert settings.rules.retry_budget_window is None and settings.rules.key_hold_down is None


def test_messages_are_read():
    assert simhost.read_list(LIST) == api.EndpointList(
        api.ListKind.RESTORED,
        (
            api.NodeEntry("10.18.74.7:5003", 0),
            api.NodeEntry("10.144.17.242:5044", 1, 1, api.Phase.DRAINING, 1.5, 6100000),
        ),
    )
    assert simhost.read_request(JOB_IN) == api.RequestArrived(
        JOB, "tpl/c", 1, 0, 0, 240000, 2, 3, "obj:a", True, True
    )
    assert simhost.read_outcome(RESULT) == api.AttemptEnded(
        JOB, 0, "10.18.74.7:5003", api.Outcome.OK, 18500, True, 86, 3, None
    )
    readers = simhost.READERS
    assert readers["LEFT"]({"MsgId": JOB}) == api.ClientGone(JOB)
    assert readers["DUE"]({"Cookie": 77}) == api.TimerFired(77)
    assert readers["HEADERS"]({"MsgId": JOB, "SeqNo": 1, "Brick": "b"}) == api.StreamStarted(JOB, 1, "b")
    assert readers["CHECK_RESULT"]({"Brick": "b", "Status": 1, "TimeTaken": 9, "Load": {"util": 0.5}}) == (
        api.HealthCheckEnded("b", api.Outcome.OK, 9, {"util": 0.5})
    )
    assert simhost.read_list({"Form": "unavailable", "NodesList": None}).kind is api.ListKind.UNAVAILABLE


@pytest.mark.parametrize(
    ("action", "wire"),
    [
        (api.Send("r", "b", 80000), {"cmd": "CALL_OUT", "MsgId": "r", "Brick": "b", "TryFor": 80000}),
        (api.Reject("r", 5), {"cmd": "SHED", "MsgId": "r", "RetryIn": 5}),
        (api.Fail("r"), {"cmd": "REPORT_FAILURE", "MsgId": "r"}),
        (api.CancelAttempt("r", 1), {"cmd": "STOP_ATTEMPT", "MsgId": "r", "SeqNo": 1}),
        (api.SetTimer(500000, 77), {"cmd": "AFTER", "After": 500000, "Cookie": 77}),
        (api.Subscribe(), {"cmd": "WATCH", "Want": True}),
        (api.CheckHealth("b"), {"cmd": "SAMPLE", "Brick": "b"}),
    ],
)
def test_actions_are_written(action, wire):
    assert simhost.WRITERS[type(action)](action) == wire


def test_a_request_is_sent_and_its_answer_taken():
    replies = process_batches([ATTACH, LIST], [JOB_IN], [RESULT])
    sent = commands(replies[1], "CALL_OUT")
    assert [(c["HostId"], c["MsgId"], c["Brick"]) for c in sent] == [("host/3", JOB, "10.18.74.7:5003")]
    assert not commands(replies[2], "SHED") and not commands(replies[2], "REPORT_FAILURE")


def test_instances_share_nothing_and_a_killed_one_forgets():
    other = {"HostId": "host/5"}
    replies = process_batches(
        [ATTACH, LIST, {**ATTACH, **other}, {**LIST, **other}],
        [JOB_IN],
        [{"cmd": "HALT", "HostId": "host/3"}, ATTACH, LIST, RESULT],
        [{**RESULT, **other}],
    )
    assert {c["HostId"] for c in replies[1]["cmds"]} == {"host/3"}
    assert not commands(replies[3], "CALL_OUT")


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("not json", "not a batch"),
        ('{"Time": 1}', "events"),
        ('{"Time": 1, "events": [{"cmd": "WHAT", "HostId": "host/3"}]}', "WHAT"),
        ('{"Time": 1, "events": [{"cmd": "DUE", "HostId": "host/9", "Cookie": 1}]}', "host/9"),
        ('{"Time": 1, "events": [{"cmd": "ATTACH", "HostId": "host/3", "InitSeed": 1}]}', "ProfileData"),
        ('{"Time": 1, "events": [7]}', "7"),
        ('{"Time": 1, "events": null}', "events"),
    ],
)
def test_bad_input_ends_with_one_plain_line(line, word, capsys):
    output = io.StringIO()
    assert simhost.main(io.StringIO(line + "\n"), output) != 0
    error = capsys.readouterr().err
    assert word in error and error.count("\n") == 1 and "Traceback" not in error and output.getvalue() == ""


def test_an_exception_in_a_decision_is_sent_as_a_fault(monkeypatch):
    def broken(*_):
        raise RuntimeError("no such thing")

    monkeypatch.setattr(simhost.Scheduler, "handle", broken)
    fault = process_batches([ATTACH, LIST])[0]["cmds"]
    assert fault == [{"cmd": "FAULT", "HostId": "host/3", "NoteText": "RuntimeError: no such thing"}]


def test_the_adapter_runs_and_exits_at_the_end_of_input():
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "stoatrouter.policy.simhost"],
        cwd=ROOT,
        text=True,
        input='{"Time":1,"events":[]}\n',
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, '{"cmds":[]}\n', "")
