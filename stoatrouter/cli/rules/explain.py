"""`rules explain`: shows the rules evaluated for a request, and why each of them matches or not."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import click

from stoatrouter.cli.options import EXISTING_FILE, config_option, json_option, objects_option
from stoatrouter.cli.output import CommandError, echo_json, echo_unchecked_names, exit_with_faults
from stoatrouter.cli.tables import load_table
from stoatrouter.matching.decisions import Refusal
from stoatrouter.matching.explain import Explanation, decision_data, explain
from stoatrouter.matching.inputs import Input, UnreadableRequestError, read_input
from stoatrouter.matching.samples import read_sample
from stoatrouter.matching.table import Table
from stoatrouter.settings import SettingsError

SHOWN_FIELDS = ("class", "volume", "plan", "key", "shard", "units", "hosts", "repeat", "deadline_ms")


@click.command("explain")
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--request",
    "request_text",
    required=True,
    help="'METHOD TARGET', or LOG:LINE of a recorded request, or one record as JSON.",
)
@click.option("--header", "-H", "headers", multiple=True, help="'Name: value'; may be repeated.")
@click.option("--peer", default="127.0.0.1", show_default=True, help="The client's address.")
@click.option("--size", type=int, default=-1, help="Content-Length of the body; -1: unknown.")
@click.option("--class", "request_class", default="", help="The class that the front assigns without rules.")
@click.option("--object", "object_name", default=None, help="BUCKET/KEY, for rules of the object front.")
@click.option(
    "--operation", default="read", show_default=True, help="The operation, for rules of the object front."
)
@config_option
@objects_option
@json_option
def explain_command(
    file: Path,
    request_text: str,
    headers: tuple[str, ...],
    peer: str,
    size: int,
    request_class: str,
    object_name: str | None,
    operation: str,
    config_path: Path | None,
    objects: Path | None,
    as_json: bool,
) -> None:
    """Show the rules evaluated for a request, the conjunct that fails in each, the decision and the cost."""
    try:
        loaded = load_table(file, config_path, objects)
        request = read_request(request_text, headers, peer, size, request_class)
    except SettingsError as error:
        exit_with_faults(error, as_json)
    except UnreadableRequestError as error:
        echo_unreadable(error, as_json)
        return
    if objects is not None:
        set_object(request, object_name, operation)
    explanation = explain(loaded.table, request, loaded.environment)
    if as_json:
        echo_json(explanation_data(explanation, loaded.table))
        return
    echo_explanation(explanation, loaded.table)
    echo_unchecked_names(loaded.names_checked)


def read_request(text: str, headers: Iterable[str], peer: str, size: int, request_class: str) -> Input:
    """Return the request that the options describe.

    Raises:
        UnreadableRequestError: A front would reject the request before applying rules.
        CommandError: The options do not describe a request.
    """
    if text.startswith("{"):
        try:
            return read_sample(text)
        except ValueError as error:
            raise CommandError(str(error)) from None
    method, _, target = text.strip().partition(" ")
    if not target:
        return read_recorded(text)
    fields = [read_header(header) for header in headers]
    return read_input(method, target.strip(), fields, peer, size, request_class)


def read_header(text: str) -> tuple[bytes, bytes]:
    """Parse a header field to its name and value in bytes.

    Raises:
        CommandError: There is no colon.
    """
    name, colon, value = text.partition(":")
    if not colon:
        raise CommandError(f"{text!r} is not in the form 'Name: value'")
    return name.strip().encode(), value.strip().encode()


def read_recorded(reference: str) -> Input:
    """Return the recorded request that LOG:LINE refers to.

    Raises:
        UnreadableRequestError: A front would reject the request before applying rules.
        CommandError: There is no such line, or it does not hold a request.
    """
    name, _, line = reference.rpartition(":")
    if not name or not line.isdigit() or not Path(name).is_file():
        raise CommandError(f"{reference!r} is neither 'METHOD TARGET' nor LOG:LINE")
    with open(name, encoding="utf-8") as file:
        for number, text in enumerate(file, 1):
            if number == int(line):
                try:
                    return read_sample(text)
                except ValueError as error:
                    raise CommandError(f"{reference}: {error}") from None
    raise CommandError(f"{name} has no line {line}")


def set_object(request: Input, object_name: str | None, operation: str) -> None:
    """Set the inputs that only calls of the object front have."""
    bucket, _, key = (object_name or "/").partition("/")
    for name, value in (("bucket", bucket), ("key", key), ("operation", operation)):
        setattr(request, name, value)


def echo_unreadable(error: UnreadableRequestError, as_json: bool) -> None:
    """Print how a front would answer a request that it rejects before applying rules."""
    if as_json:
        echo_json({"unreadable": error.status, "reason": str(error)})
    else:
        click.echo(f"answered {error.status} before any rule: {error}")


def explanation_data(explanation: Explanation, table: Table) -> dict[str, object]:
    """Return an explanation as data for JSON output."""
    looked = [
        {"rule": each.rule, "matched": each.failed is None, "failed": each.failed, "steps": each.steps}
        for each in explanation.tried
    ]
    return {
        "scope": explanation.scope,
        "rules": explanation.rules,
        "looked": looked,
        "steps": explanation.steps,
        "decided": decision_data(explanation.decision, table),
    }


def echo_explanation(explanation: Explanation, table: Table) -> None:
    """Print an explanation as text: the scope, the rules, the decision and the cost."""
    if explanation.scope is None:
        click.echo("no scope claims this host and path")
    else:
        looked = len(explanation.tried)
        click.echo(f"scope {explanation.scope}: {explanation.rules} rules, {looked} evaluated")
    for each in explanation.tried:
        result = "matched" if each.failed is None else f"no: {each.failed}"
        click.echo(f"  {each.rule}: {result} ({each.steps} steps at most)")
    data = decision_data(explanation.decision, table)
    if isinstance(explanation.decision, Refusal):
        click.echo(f"refused: {data['refused']} {data['reason']}")
    else:
        for name in SHOWN_FIELDS:
            click.echo(f"  {name}: {data[name]}")
    click.echo(f"cost: {explanation.steps} steps in the worst case")
