"""`rules`: checking, explaining, comparing and timing tables."""

from __future__ import annotations

import json
import statistics
import sys
import time
from pathlib import Path

import click

from stoatrouter.cli.words import (
    FILE,
    Cannot,
    config_option,
    fault_data,
    json_option,
    note_words,
    objects_option,
    refused,
    table_of,
)
from stoatrouter.matching.conjuncts import PATH, PREFIX, Condition
from stoatrouter.matching.decisions import Refusal
from stoatrouter.matching.explain import Explanation, decision_data, explain, find_differences
from stoatrouter.matching.inputs import Input, Unreadable, read_input
from stoatrouter.matching.samples import read_sample, read_samples
from stoatrouter.matching.table import CompiledScope, Table
from stoatrouter.settings import SettingsError


@click.group("rules")
def rules_group() -> None:
    """Rule tables."""


@rules_group.command("check")
@click.argument("file", type=FILE)
@config_option
@objects_option
@json_option
def check(file: Path, conf: Path | None, objects: Path | None, as_json: bool) -> None:
    """Check a table: all errors at once, rules that can never match, and what a request may cost."""
    try:
        table, sources, _, known = table_of(file, conf, objects)
    except SettingsError as error:
        sys.exit(refused(error, as_json))
    warnings = [sources.locate(warning) for warning in table.warnings]
    if as_json:
        scopes = {
            n: {"rules": len(c.rules), "steps": c.max_steps, "most": c.scope.steps}
            for n, c in table.scopes.items()
        }
        click.echo(
            json.dumps(
                {
                    "ok": True,
                    "epoch": table.epoch,
                    "scopes": scopes,
                    "words_checked": known,
                    "warnings": [fault_data(w) for w in warnings],
                }
            )
        )
        return
    for warning in warnings:
        click.echo(f"warning: {warning}", err=True)
    for name, home in table.scopes.items():
        click.echo(
            f"{name}: {len(home.rules)} rules, at most {home.max_steps} of {home.scope.steps} steps a request"
        )
    note_words(known, as_json)
    click.echo(f"{file}: fine, table {table.epoch}")


@rules_group.command("explain")
@click.argument("file", type=FILE)
@click.option(
    "--request",
    "asked",
    required=True,
    help="'METHOD TARGET', or LOG:LINE of a recorded request, or one record as JSON.",
)
@click.option("--header", "-H", "headers", multiple=True, help="'Name: value'; may be given again.")
@click.option("--peer", default="127.0.0.1", show_default=True, help="The client's address.")
@click.option("--size", type=int, default=-1, help="The stated length of the body.")
@click.option(
    "--class", "request_class", default="", help="The class that the front would give without rules."
)
@click.option("--object", "named_object", default=None, help="BUCKET/KEY, for rules of the object front.")
@click.option(
    "--operation", default="read", show_default=True, help="The operation, for rules of the object front."
)
@config_option
@objects_option
@json_option
def explain_command(
    file: Path,
    asked: str,
    headers: tuple[str, ...],
    peer: str,
    size: int,
    request_class: str,
    named_object: str | None,
    operation: str,
    conf: Path | None,
    objects: Path | None,
    as_json: bool,
) -> None:
    """Which rules a request meets, which conjunct fails in each, what is yielded, and the cost."""
    try:
        table, _, environment, known = table_of(file, conf, objects)
    except SettingsError as error:
        sys.exit(refused(error, as_json))
    try:
        given = request_of(asked, headers, peer, size, request_class)
    except Unreadable as error:
        click.echo(
            json.dumps({"unreadable": error.status, "reason": str(error)})
            if as_json
            else f"answered {error.status} before any rule: {error}"
        )
        return
    if objects is not None:
        given.bucket, _, given.key = (named_object or "/").partition("/")
        given.operation = operation
    made = explain(table, given, environment)
    if as_json:
        click.echo(json.dumps(explained_data(made, table)))
        return
    say_explained(made, table)
    note_words(known, as_json)


def request_of(asked: str, headers: tuple[str, ...], peer: str, size: int, request_class: str) -> Input:
    """The request that a person means; raises Unreadable as service would."""
    if asked.startswith("{"):
        try:
            return read_sample(asked)
        except ValueError as error:
            raise Cannot(str(error)) from None
    method, _, target = asked.strip().partition(" ")
    if not target:
        return recorded(asked)
    fields = []
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon:
            raise Cannot(f"{header!r} is no 'Name: value'")
        fields.append((name.strip().encode(), value.strip().encode()))
    return read_input(method, target.strip(), fields, peer, size, request_class)


def recorded(asked: str) -> Input:
    name, _, line = asked.rpartition(":")
    if not name or not line.isdigit() or not Path(name).is_file():
        raise Cannot(f"{asked!r} is neither 'METHOD TARGET' nor LOG:LINE")
    with open(name, encoding="utf-8") as file:
        for number, text in enumerate(file, 1):
            if number == int(line):
                try:
                    return read_sample(text)
                except ValueError as error:
                    raise Cannot(f"{asked}: {error}") from None
    raise Cannot(f"{name} has no line {line}")


def explained_data(made: Explanation, table: Table) -> dict[str, object]:
    looked = [
        {"rule": each.rule, "matched": each.failed is None, "failed": each.failed, "steps": each.steps}
        for each in made.tried
    ]
    return {
        "scope": made.scope,
        "rules": made.rules,
        "looked": looked,
        "steps": made.steps,
        "decided": decision_data(made.decision, table),
    }


def say_explained(made: Explanation, table: Table) -> None:
    if made.scope is None:
        click.echo("no scope claims this host and path")
    else:
        click.echo(f"scope {made.scope}: {made.rules} rules, {len(made.tried)} looked at")
    for each in made.tried:
        result = "matched" if each.failed is None else f"no: {each.failed}"
        click.echo(f"  {each.rule}: {result} ({each.steps} steps at most)")
    data = decision_data(made.decision, table)
    if isinstance(made.decision, Refusal):
        click.echo(f"refused: {data['refused']} {data['reason']}")
    else:
        for name in ("class", "volume", "plan", "key", "shard", "units", "hosts", "repeat", "deadline_ms"):
            click.echo(f"  {name}: {data[name]}")
    click.echo(f"cost: {made.steps} steps in the worst case")


@rules_group.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--requests", "log", type=FILE, required=True, help="Recorded request heads, as JSON lines.")
@config_option
@json_option
def diff(old: Path, new: Path, log: Path, conf: Path | None, as_json: bool) -> None:
    """Which recorded requests a new table decides otherwise, by rule. Exit code 1 where any is."""
    try:
        before, after = table_of(old, conf)[0], table_of(new, conf)[0]
    except SettingsError as error:
        sys.exit(refused(error, as_json) + 1)
    with log.open(encoding="utf-8", errors="replace") as file:
        found, counts = find_differences(before, after, read_samples(file))
    if as_json:
        click.echo(
            json.dumps(
                {
                    "requests": counts["requests"],
                    "unreadable": counts["unreadable"],
                    "changed": counts["changed"],
                    "differences": [
                        {
                            "old": d.old,
                            "new": d.new,
                            "count": d.count,
                            "lines": d.lines,
                            "was": decision_data(d.example[0], before),
                            "is": decision_data(d.example[1], after),
                        }
                        for d in found
                        if d.example
                    ],
                }
            )
        )
    else:
        for each in found:
            assert each.example is not None
            was, now = decision_data(each.example[0], before), decision_data(each.example[1], after)
            changed = ", ".join(
                f"{k}: {was.get(k)} -> {now.get(k)}"
                for k in dict.fromkeys([*was, *now])
                if k not in ("scope", "rule") and was.get(k) != now.get(k)
            )
            click.echo(
                f"{each.count:6} {each.old} -> {each.new}: {changed} "
                f"(lines {', '.join(map(str, each.lines or []))})"
            )
        click.echo(
            f"{counts['changed']} of {counts['requests']} requests change"
            + (f"; {counts['unreadable']} lines cannot be read" if counts["unreadable"] else "")
        )
    sys.exit(1 if counts["changed"] else 0)


@rules_group.command("bench")
@click.argument("file", type=FILE)
@click.option(
    "--requests", "log", type=FILE, default=None, help="Recorded requests; made from the rules else."
)
@click.option("--rounds", type=click.IntRange(1, 1000), default=20, show_default=True)
@config_option
@json_option
def bench(file: Path, log: Path | None, rounds: int, conf: Path | None, as_json: bool) -> None:
    """Load time of a table, and the time that a request takes."""
    began = time.perf_counter()
    try:
        table = table_of(file, conf)[0]
    except SettingsError as error:
        sys.exit(refused(error, as_json))
    loaded = time.perf_counter() - began
    if log is not None:
        with log.open(encoding="utf-8", errors="replace") as lines:
            requests = [given for _, given in read_samples(lines) if isinstance(given, Input)]
    else:
        requests = [made for home in table.scopes.values() for made in made_for(home)]
    if not requests:
        raise Cannot("there are no requests to time")
    figures = sorted(timed(table, requests, rounds))
    data = {
        "rules": table.size,
        "requests": len(requests),
        "load_s": round(loaded, 3),
        "median_us": round(statistics.median(figures), 2),
        "p99_us": round(figures[max(0, int(len(figures) * 0.99) - 1)], 2),
        "worst_steps": max((home.max_steps for home in table.scopes.values()), default=0),
    }
    if as_json:
        click.echo(json.dumps(data))
        return
    click.echo(
        f"{data['rules']} rules loaded in {data['load_s']} s; {data['requests']} requests, each decided "
        f"{rounds} times: median {data['median_us']} us, 99th percentile {data['p99_us']} us; "
        f"at most {data['worst_steps']} steps"
    )


def timed(table: Table, requests: list[Input], rounds: int) -> list[float]:
    figures = []
    for given in requests:
        table.decide(given)  # what is worked out once for a request is not counted
        began = time.perf_counter_ns()
        for _ in range(rounds):
            table.decide(given)
        figures.append((time.perf_counter_ns() - began) / rounds / 1000)
    return figures


def made_for(home: CompiledScope) -> list[Input]:
    """A request for each rule, as far as its demands tell."""
    made = []
    for rule in home.rules:
        try:
            made.append(meeting(home, rule.condition))
        except Unreadable:
            continue
    return made


def meeting(home: CompiledScope, wanted: Condition) -> Input:
    """A request that meets the demands of a condition."""
    host, method, path, query, fields = home.scope.hosts[0].replace("*", "any"), "GET", "", [], []
    segments: dict[int, str] = {}
    for demand in wanted.constraints:
        (kind, name), value = demand.dimension, min(demand.values)
        if kind == "host":
            host = value
        elif kind == "method":
            method = value
        elif demand.dimension in (PATH, PREFIX):
            path = max(path, value, key=len)
        elif kind == "segment":
            segments[int(name)] = value
        elif kind == "header":
            fields.append((name.encode(), value.encode()))
        elif kind == "query":
            query.append(f"{name}={value}")
    path = path or home.scope.paths[0]
    parts = path.split("/")[1:]
    for at, value in segments.items():
        parts += ["x"] * (at + 1 - len(parts))
        parts[at] = value
    target = "/" + "/".join(parts) + ("?" + "&".join(query) if query else "")
    return read_input(method, target, [(b"Host", host.encode()), *fields], "127.0.0.1")
