"""Rule tables at the object front: what they decide of a call, and what they may not."""

from __future__ import annotations

import pytest

from stoatrouter.config import ConfigError
from tests.object_client import BODY, error_code, gateway, settled, two
from tests.peers import run


def object_rules(folder, rules):
    (folder / "rules.cue").write_text(
        'scopes: archive: {hosts: ["*"], paths: ["/footage/", "/exports/"], plans: ["basic", "premium"], '
        'classes: ["score-read", "stats-export", "event-write"], volumes: ["*"], rules: [' + rules + "]}"
    )
    return {"rules": "rules.cue", "folder": folder}


READ = '{name: "live", when: #"request.method in ["GET", "HEAD"] && object.key.startsWith("live/")"#, class: "score-read"}'
WRITE = (
    '{name: "match", when: #"object.operation == "write" && object.bucket == "footage""#, class: "event-write", '
    'key: expr: "hash(object.key)", deadline: "2s"}'
)
BANNED = '{name: "none", when: #"request.method == "PUT" && object.key.startsWith("old/")"#, refuse: {status: 403, reason: "old"}}'


def test_rules_give_calls_their_class_and_place_and_a_reload_loses_no_object(tmp_path):
    async def story():
        nodes = two()
        operator = object_rules(tmp_path, ", ".join((BANNED, READ, WRITE)))
        async with gateway(*nodes, operator=operator) as client:
            assert (await client.call("PUT", "/footage/live/a", BODY))[0] == 200
            new = [n for n in nodes if sum(size > 60_000 for _, _, _, size in n.seen) == 3]
            assert len(new) == 1  # all full pieces lie where the rule's key says
            for node in nodes:
                node.seen.clear()
            assert (await client.call("GET", "/footage/live/a"))[2] == BODY
            assert {t.split("/")[1] for n in nodes for _, t, _, _ in n.seen} == {"score-read"}
            assert error_code((await client.call("PUT", "/footage/old/x", b"1"))[2]) == "AccessDenied"
            object_rules(tmp_path, READ)
            client.head.tables[0].reload()
            await client.head.tables[0].reload_task
            assert (await client.call("GET", "/footage/live/a"))[2] == BODY  # its place never was the table's
            assert (await client.call("PUT", "/footage/old/x", b"1"))[0] == 200
            settled(client)

    run(story())


@pytest.mark.parametrize(
    ("rules", "what"),
    [
        (
            WRITE[:-1] + ', plan: "basic"}',
            "a volume must have a single plan",
        ),  # the bucket's file says premium
        (WRITE[:-1] + ", units: 3}", "units cannot be set: each piece of an object has its own"),
        (
            WRITE[:-1] + ', volume: "00000000f0a70001"}',
            "volume cannot be set: each piece of an object has its own",
        ),
    ],
)
def test_rules_that_an_object_front_cannot_have_are_refused(tmp_path, rules, what):
    async def story():
        async with gateway(operator=object_rules(tmp_path, rules)):
            pass

    with pytest.raises(ConfigError, match=what):
        run(story())
