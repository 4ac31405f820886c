"""Rule tables of the HTTP front under traffic: reloads, retries across a reload, a shadow table."""

from __future__ import annotations

import asyncio
import json
import random
import threading
from collections import Counter

from stoatrouter.matching.samples import read_samples
from tests.http_client import check_settled, client_of, gateway, two_nodes
from tests.peers import SETTINGS, run
from tests.rules import APP, ARCHIVE, FEED, READS, WRITES, write_rules


def rules_with_units(units, extra=""):
    """Return a team's rules whose units show which table decided a request."""
    return f"rules: [{extra}{READS[:-1]}, units: {units}}}, {WRITES[:-1]}, units: {units}}}]"


def assert_limit_kept(sends, plan):
    """Check that sends, as pairs of time in seconds and units, keep to a plan in any stretch of time."""
    level = plan["Burst"]
    last = sends[0][0] if sends else 0
    for at, units in sorted(sends):
        level = min(plan["Burst"], level + (at - last) * plan["Limit"]) - units
        last = at
        assert level >= -plan["Tolerance"] - 0.15 * plan["Limit"]


def test_three_teams_a_reload_in_service_and_no_limit_passed(tmp_path):
    """One table decides each request, the limit of `basic` holds, and an invalid table changes nothing."""
    seed = 20261201
    print("seed", seed)

    async def scenario():
        nodes = two_nodes()
        rng = random.Random(seed)
        decisions = []
        async with gateway(tmp_path, *nodes, app=rules_with_units(2)) as head, client_of(head) as client:
            matcher = head.http_front.matcher
            serve = head.engine.serve

            class RecordingMatcher:
                def decide(self, given, now, key=None):
                    decision = matcher.decide(given, now, key)
                    decisions.append((matcher.table.epoch, given.path, decision))
                    return decision

            served = []

            async def serve_recorded(request):
                served.append(request)
                return await serve(request)

            head.http_front.matcher = RecordingMatcher()
            head.engine.serve = serve_recorded
            outcomes = Counter()
            done = False

            async def send_requests(team):
                while not done:
                    method = rng.choice(["GET", "GET", "PUT"])
                    status, fields, _ = await client.ask(
                        method, f"/{team}/{rng.randrange(50)}", b"x" if method == "PUT" else None
                    )
                    outcomes[team, status] += 1
                    if status == 503:
                        assert float(fields["Retry-After"]) >= 0
                        await asyncio.sleep(0.02)

            clients = [
                asyncio.create_task(send_requests(team))
                for team in ("feed", "app", "app", "archive")
                for _ in range(4)
            ]
            epochs = [matcher.table.epoch]
            for text, valid in (
                (rules_with_units(4), True),
                ("rules: [", False),
                (rules_with_units(3, '{name: "x", when: "1"}, '), False),
                (rules_with_units(1), True),
            ):
                await asyncio.sleep(0.25)
                write_rules(tmp_path, app=text)
                service = head.tables[0]
                service.reload()
                service.reload()  # during the first reload: a second one follows it, not beside it
                await service.reload_task
                assert (matcher.table.epoch != epochs[-1]) is valid
                epochs.append(matcher.table.epoch)
            await asyncio.sleep(0.25)
            done = True
            await asyncio.gather(*clients)
            check_settled(head, client)
            # each request of the core has the volume and units of one table's decision
            units_by_epoch = {epochs[0]: 2, epochs[1]: 4, epochs[4]: 1}
            for epoch, path, decision in decisions:
                assert not path.startswith("/app/") or decision.units == units_by_epoch[epoch]
            assert {epoch for epoch, _, _ in decisions} == set(units_by_epoch)
            assert Counter((request.volume, request.units) for request in served) == Counter(
                (decision.volume, decision.units) for _, _, decision in decisions
            )
            assert {request.volume for request in served} == {FEED, APP, ARCHIVE}
            assert outcomes["app", 200] and outcomes["app", 503]  # the limit was reached
            # the sends of plan `basic` to the nodes, without retries
            by_id = {request.id: request for request in served}
            plan = SETTINGS["Contracts"][0]
            for volume in (APP, ARCHIVE):
                sent = [(a[4], a[2]["Req-Id"]) for node in nodes for a in node.asked]
                names = [name for _, name in sent if by_id[name].volume == volume]
                times_and_units = sorted(
                    (at, by_id[name].units) for at, name in sent if by_id[name].volume == volume
                )
                seen = set()
                first_sends = []
                for send, name in zip(times_and_units, names, strict=True):
                    if name not in seen:
                        first_sends.append(send)
                    seen.add(name)
                assert_limit_kept(first_sends, plan)

    run(scenario())


def test_ten_thousand_rules_reloaded_beside_requests(tmp_path):
    """Requests are answered by the old table while a large one is compiled."""

    def large(change):
        rules = ", ".join(
            f'{{name: "r{i}", when: #"request.method == "GET" && request.path == "/feed/{i}{change}""#, '
            'class: "score-read"}'
            for i in range(10_000)
        )
        return f"rules: [{rules}]"

    async def scenario():
        nodes = two_nodes()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            service = head.tables[0]
            epoch = service.matcher.table.epoch
            last_rule_invalid = large("").replace('"/feed/9999"', '"/app/9999"')
            write_rules(tmp_path, feed=last_rule_invalid)
            service.reload()
            answered = 0
            while not service.reload_task.done():
                assert (await client.ask("GET", "/feed/1"))[0] == 200
                answered += 1
            assert answered > 20 and service.matcher.table.epoch == epoch
            write_rules(tmp_path, feed=large(""))
            service.reload()
            await service.reload_task
            assert service.matcher.table.size == 10_005
            assert (await client.ask("GET", "/feed/9999"))[0] == 200
            assert (await client.ask("GET", "/feed/x"))[0] == 404
            check_settled(head, client)

    run(scenario(), 90)


def test_a_head_that_is_asked_to_stop_does_not_wait_for_a_table(tmp_path):
    may_load = threading.Event()

    async def scenario():
        async with gateway(tmp_path, *two_nodes()) as head:
            service = head.tables[0]
            load = service.load
            service.load = lambda: may_load.wait() and load()
            service.reload()
            await asyncio.sleep(0)
        assert service.reload_task.done() and not may_load.is_set()

    run(scenario())  # a thread of an executor would delay the end of the loop
    may_load.set()


def test_a_repeat_across_a_reload_goes_where_the_first_went(tmp_path):
    async def scenario():
        nodes = two_nodes()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            assert (await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k1"))[0] == 200
            first = next(n for n in nodes if n.asked)
            other = 1 - first.shard
            write_rules(tmp_path, feed=f"rules: [{WRITES[:-1]}, shard: {other}}}]")
            head.tables[0].reload()
            await head.tables[0].reload_task
            await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k1")
            assert len(first.asked) == 2 and first.asked[1][2]["Idempotency-Key"] == "k1"
            await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k2")
            assert len(nodes[other].asked) == 1
            assert (await client.ask("PUT", "/feed/x?v=2", b"1", Idempotency_Key="k1"))[0] == 422

    run(scenario())


def test_shadow_and_recorded_requests(tmp_path):
    async def scenario():
        settings = (
            'listen: "127.0.0.1:0"\nrules: "rules.cue"\nshadow: "next.cue"\n'
            'record: {file: "heads.jsonl", one_in: 1, most_bytes: 4096, mask: ["x-secret"]}\n'
        )
        (tmp_path / "next.cue").write_text(
            f'scopes: feed: {{hosts: ["*"], paths: ["/feed/"], classes: ["event-write"], plans: ["premium"], '
            f'volumes: ["{FEED}"], rules: [{WRITES}]}}\notherwise: reason: "not yet"\n'
        )
        async with gateway(tmp_path, *two_nodes(), settings=settings) as head, client_of(head) as client:
            for i in range(30):
                await client.ask("GET", f"/feed/{i}", X_Secret="s3cret")
            await client.ask("PUT", "/feed/x", b"1")
            matcher = head.http_front.matcher
            assert matcher.differences == {("feed/reads", "feed/-"): 30} and matcher.shadowed == 31
            head.recorder.write()
            head.recorder.max_file_bytes = 2048
            _, sample = next(iter(read_samples([first_line(tmp_path)])))
            head.recorder.sampler.sample(sample, "/feed/0", ())
            assert sample.path == "/feed/0" and sample.headers["x-secret"] == "***"
            for i in range(60):
                await client.ask("GET", f"/feed/{i}")
                head.recorder.write()
            paths = (tmp_path / "heads.jsonl", tmp_path / "heads.jsonl.1")
            sizes = [path.stat().st_size for path in paths]
            assert max(sizes) <= 8192 and "s3cret" not in (tmp_path / "heads.jsonl.1").read_text()

    run(scenario())


def first_line(folder):
    return (folder / "heads.jsonl").read_text().splitlines()[0]


def test_recorded_heads_hold_what_service_read(tmp_path):
    line = json.dumps({"method": "GET", "target": "/a?x=%ff", "fields": []})
    (_, first), (_, second) = read_samples([line, "{"])
    assert getattr(first, "status", 0) == 400 and isinstance(second, ValueError)
