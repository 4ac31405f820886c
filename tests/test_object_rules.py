"""Tests of rule tables at the object front: what they decide for a call, and what they may not set."""

from __future__ import annotations

import pytest

from stoatrouter.config import ConfigError
from tests.object_client import BODY, check_settled, error_code, gateway, two_nodes
from tests.peers import run


def object_rules(folder, rules):
    (folder / "rules.cue").write_text(
        'scopes: archive: {hosts: ["*"], paths: ["/footage/", "/exports/"], plans: ["basic", "premium"], '
        'classes: ["score-read", "stats-export", "event-write"], volumes: ["*"], rules: [' + rules + "]}"
    )
    return {"rules": "rules.cue", "folder": folder}


READ_RULE = '{name: "live", when: #"request.method in ["GET", "HEAD"] && object.key.startsWith("live/")"#, class: "score-read"}'
WRITE_RULE = (
    '{name: "match", when: #"object.operation == "write" && object.bucket == "footage""#, class: "event-write", '
    'key: expr: "hash(object.key)", deadline: "2s"}'
)
REFUSE_RULE = '{name: "none", when: #"request.method == "PUT" && object.key.startsWith("old/")"#, refuse: {status: 403, reason: "old"}}'


def test_rules_give_calls_their_class_and_place_and_a_reload_loses_no_object(tmp_path):
    async def scenario():
        nodes = two_nodes()
        operator = object_rules(tmp_path, ", ".join((REFUSE_RULE, READ_RULE, WRITE_RULE)))
        async with gateway(*nodes, operator=operator) as client:
            assert (await client.call("PUT", "/footage/live/a", BODY))[0] == 200
            holders = [n for n in nodes if sum(size > 60_000 for _, _, _, size in n.seen) == 3]
            assert len(holders) == 1  # all full pieces are where the rule's key places them
            for node in nodes:
                node.seen.clear()
            assert (await client.call("GET", "/footage/live/a"))[2] == BODY
            assert {t.split("/")[1] for n in nodes for _, t, _, _ in n.seen} == {"score-read"}
            assert error_code((await client.call("PUT", "/footage/old/x", b"1"))[2]) == "AccessDenied"
            object_rules(tmp_path, READ_RULE)
            client.head.tables[0].reload()
            await client.head.tables[0].reload_task
            # pieces are found without the table
            assert (await client.call("GET", "/footage/live/a"))[2] == BODY
            assert (await client.call("PUT", "/footage/old/x", b"1"))[0] == 200
            check_settled(client)

    run(scenario())


@pytest.mark.parametrize(
    ("rules", "what"),
    [
        (
            WRITE_RULE[:-1] + ', plan: "basic"}',
            "a volume must have a single plan",
        ),  # the bucket is set to premium
        (WRITE_RULE[:-1] + ", units: 3}", "units cannot be set: each piece of an object has its own"),
        (
            WRITE_RULE[:-1] + ', volume: "00000000f0a70001"}',
            "volume cannot be set: each piece of an object has its own",
        ),
    ],
)
def test_rules_that_an_object_front_cannot_have_are_refused(tmp_path, rules, what):
    async def scenario():
        async with gateway(operator=object_rules(tmp_path, rules)):
            pass

    with pytest.raises(ConfigError, match=what):
        run(scenario())
