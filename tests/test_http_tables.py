"""Rule tables of the HTTP front in service: reloads, repeats across them, a table in shadow."""

from __future__ import annotations

import asyncio
import json
import random
import threading
from collections import Counter

from stoatrouter.matching.samples import read_samples
from tests.http_client import client_of, gateway, settled, two
from tests.peers import SETTINGS, run
from tests.rules import APP, ARCHIVE, FEED, READS, WRITES, write_rules


def tagged(tag, extra=""):
    """A team's rules whose reads say by which table they were decided: by their units."""
    return f"rules: [{extra}{READS[:-1]}, units: {tag}}}, {WRITES[:-1]}, units: {tag}}}]"


def test_three_teams_a_reload_in_service_and_no_limit_passed(tmp_path):
    """Every request gets one answer, by one table; `basic` is kept in rate and at once; a bad table changes nothing."""
    seed = 20261201
    print("seed", seed)

    async def story():
        nodes, drawn = two(), random.Random(seed)
        decisions = []
        async with gateway(tmp_path, *nodes, app=tagged(2)) as head, client_of(head) as client:
            matcher, serve = head.http_front.matcher, head.engine.serve

            class Noting:
                def decide(self, given, now, key=None):
                    made = matcher.decide(given, now, key)
                    decisions.append((matcher.table.epoch, given.path, made))
                    return made

            taken = []

            async def serving(request):
                taken.append(request)
                return await serve(request)

            head.http_front.matcher, head.engine.serve = Noting(), serving
            outcomes = Counter()
            done = False

            async def asking(team):
                while not done:
                    method = drawn.choice(["GET", "GET", "PUT"])
                    status, fields, _ = await client.ask(
                        method, f"/{team}/{drawn.randrange(50)}", b"x" if method == "PUT" else None
                    )
                    outcomes[team, status] += 1
                    if status == 503:
                        assert float(fields["Retry-After"]) >= 0
                        await asyncio.sleep(0.02)

            clients = [
                asyncio.create_task(asking(team))
                for team in ("feed", "app", "app", "archive")
                for _ in range(4)
            ]
            epochs = [matcher.table.epoch]
            for text, good in (
                (tagged(4), True),
                ("rules: [", False),
                (tagged(3, '{name: "x", when: "1"}, '), False),
                (tagged(1), True),
            ):
                await asyncio.sleep(0.25)
                write_rules(tmp_path, app=text)
                service = head.tables[0]
                service.reload()
                service.reload()  # right after: it is read once more, not beside itself
                await service.reloading
                assert (matcher.table.epoch != epochs[-1]) is good
                epochs.append(matcher.table.epoch)
            await asyncio.sleep(0.25)
            done = True
            await asyncio.gather(*clients)
            settled(head, client)
            # each request of the core is what one table made of it
            units = {epochs[0]: 2, epochs[1]: 4, epochs[4]: 1}
            for epoch, path, made in decisions:
                assert not path.startswith("/app/") or made.units == units[epoch]
            assert {epoch for epoch, _, _ in decisions} == set(units)
            assert Counter((r.volume, r.units) for r in taken) == Counter(
                (d.volume, d.units) for _, _, d in decisions
            )
            assert {r.volume for r in taken} == {FEED, APP, ARCHIVE}
            assert outcomes["app", 200] and outcomes["app", 503]  # the limit was reached
            # what came to the nodes for `basic`, in any stretch of time
            by_id = {r.id: r for r in taken}
            plan = SETTINGS["Contracts"][0]
            for volume in (APP, ARCHIVE):
                sent = sorted(
                    (a[4], by_id[a[2]["Req-Id"]].units)
                    for n in nodes
                    for a in n.asked
                    if by_id[a[2]["Req-Id"]].volume == volume
                )
                seen, first = set(), []
                for (at, units_of), name in zip(
                    sent,
                    [
                        a[2]["Req-Id"]
                        for n in nodes
                        for a in n.asked
                        if by_id[a[2]["Req-Id"]].volume == volume
                    ],
                    strict=True,
                ):
                    if name not in seen:
                        first.append((at, units_of))
                    seen.add(name)
                level, last = plan["Burst"], first[0][0] if first else 0
                for at, amount in sorted(first):
                    level = min(plan["Burst"], level + (at - last) * plan["Limit"]) - amount
                    last = at
                    assert level >= -plan["Tolerance"] - 0.15 * plan["Limit"]

    run(story())


def test_ten_thousand_rules_reloaded_beside_requests(tmp_path):
    """A large table is made beside the requests: they are answered meanwhile, by the old one."""

    def large(change):
        rules = ", ".join(
            f'{{name: "r{i}", when: #"request.method == "GET" && request.path == "/feed/{i}{change}""#, '
            'class: "score-read"}'
            for i in range(10_000)
        )
        return f"rules: [{rules}]"

    async def story():
        nodes = two()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            service, epoch = head.tables[0], head.tables[0].matcher.table.epoch
            write_rules(
                tmp_path, feed=large("").replace('"/feed/9999"', '"/app/9999"')
            )  # the last one is bad
            service.reload()
            answered = 0
            while not service.reloading.done():
                assert (await client.ask("GET", "/feed/1"))[0] == 200
                answered += 1
            assert answered > 20 and service.matcher.table.epoch == epoch
            write_rules(tmp_path, feed=large(""))
            service.reload()
            await service.reloading
            assert service.matcher.table.size == 10_005
            assert (await client.ask("GET", "/feed/9999"))[0] == 200 and (await client.ask("GET", "/feed/x"))[
                0
            ] == 404
            settled(head, client)

    run(story(), 90)


def test_a_head_that_is_asked_to_stop_does_not_wait_for_a_table(tmp_path):
    held = threading.Event()

    async def story():
        async with gateway(tmp_path, *two()) as head:
            service, load = head.tables[0], head.tables[0].load
            service.load = lambda: held.wait() and load()
            service.reload()
            await asyncio.sleep(0)
        assert service.reloading.done() and not held.is_set()

    run(story())  # an executor's thread would hold up the end of the loop
    held.set()


def test_a_repeat_across_a_reload_goes_where_the_first_went(tmp_path):
    async def story():
        nodes = two()
        async with gateway(tmp_path, *nodes) as head, client_of(head) as client:
            assert (await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k1"))[0] == 200
            first = next(n for n in nodes if n.asked)
            other = 1 - first.shard
            write_rules(tmp_path, feed=f"rules: [{WRITES[:-1]}, shard: {other}}}]")
            head.tables[0].reload()
            await head.tables[0].reloading
            await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k1")
            assert len(first.asked) == 2 and first.asked[1][2]["Idempotency-Key"] == "k1"
            await client.ask("PUT", "/feed/x", b"1", Idempotency_Key="k2")
            assert len(nodes[other].asked) == 1
            assert (await client.ask("PUT", "/feed/x?v=2", b"1", Idempotency_Key="k1"))[0] == 422

    run(story())


def test_shadow_and_recorded_requests(tmp_path):
    async def story():
        settings = (
            'listen: "127.0.0.1:0"\nrules: "rules.cue"\nshadow: "next.cue"\n'
            'record: {file: "heads.jsonl", one_in: 1, most_bytes: 4096, mask: ["x-secret"]}\n'
        )
        (tmp_path / "next.cue").write_text(
            f'scopes: feed: {{hosts: ["*"], paths: ["/feed/"], classes: ["event-write"], plans: ["premium"], '
            f'volumes: ["{FEED}"], rules: [{WRITES}]}}\notherwise: reason: "not yet"\n'
        )
        async with gateway(tmp_path, *two(), settings=settings) as head, client_of(head) as client:
            for i in range(30):
                await client.ask("GET", f"/feed/{i}", X_Secret="s3cret")
            await client.ask("PUT", "/feed/x", b"1")
            matcher = head.http_front.matcher
            assert matcher.differences == {("feed/reads", "feed/-"): 30} and matcher.shadowed == 31
            head.recorder.write()
            head.recorder.max_file_bytes = 2048
            head.recorder.sampler.sample(
                matcher_input := next(iter(read_samples([first_line(tmp_path)])))[1], "/feed/0", ()
            )
            assert matcher_input.path == "/feed/0" and matcher_input.headers["x-secret"] == "***"
            for i in range(60):
                await client.ask("GET", f"/feed/{i}")
                head.recorder.write()
            sizes = [p.stat().st_size for p in (tmp_path / "heads.jsonl", tmp_path / "heads.jsonl.1")]
            assert max(sizes) <= 8192 and "s3cret" not in (tmp_path / "heads.jsonl.1").read_text()

    run(story())


def first_line(folder):
    return (folder / "heads.jsonl").read_text().splitlines()[0]


def test_recorded_heads_hold_what_service_read(tmp_path):
    line = json.dumps({"method": "GET", "target": "/a?x=%ff", "fields": []})
    (_, first), (_, second) = read_samples([line, "{"])
    assert getattr(first, "status", 0) == 400 and isinstance(second, ValueError)
