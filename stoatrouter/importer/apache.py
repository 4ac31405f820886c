"""Imports Apache httpd's BalancerMember, inside <Proxy balancer://...> or with the balancer as an argument.

Source: the httpd 2.4 documentation of mod_proxy (BalancerMember, its parameters and status flags) and of the
core directive Define.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from stoatrouter.importer.members import ImportedBalancers, ImporterError, Member, read_port, read_weight

DEFAULT_PORTS = {"http": 80, "https": 443, "ajp": 8009}
BALANCER = "balancer://"
ARGUMENT = re.compile(r'"((?:[^"\\]|\\.)*)"|(\S+)')
VARIABLE = re.compile(r"\$\{(\w+)\}")
STATUS_FLAG = re.compile(r"([+-]?)([DSIRHENdsirhen])")
SUPPORTED_KEYS = {"loadfactor", "route", "status"}
# Members with one of these flags get no new requests: disabled, stopped, draining, hot spare, hot standby.
NOT_SERVING_FLAGS = set("DSNRH")
SPARE_FLAGS = set("RH")


@dataclass(slots=True, frozen=True)
class Directive:
    """A directive: its arguments, starting with its name, and the line on which it begins."""

    arguments: list[str]
    where: str

    @property
    def name(self) -> str:
        """The name in lower case; httpd ignores case."""
        return self.arguments[0].lower()


@dataclass(slots=True)
class Configuration:
    """The state built from the directives read so far: balancers, variables and open sections.

    A section is represented by the balancer that its <Proxy> names, or by an empty text; the first one stands
    for the top level of the file.
    """

    imported: ImportedBalancers = field(default_factory=ImportedBalancers)
    variables: dict[str, str] = field(default_factory=dict)
    sections: list[str] = field(default_factory=lambda: [""])

    def apply(self, directive: Directive) -> None:
        """Apply one directive; directives that are not about balancers have no effect.

        Raises:
            ImporterError: The directive is malformed, or uses a variable that the file does not define.
        """
        where = directive.where
        name, *arguments = (self.substitute(argument, where) for argument in directive.arguments)
        match directive.name:
            case "define" if arguments:
                self.variables[arguments[0]] = arguments[1] if len(arguments) > 1 else ""
            case "<proxy":
                url = arguments[0].rstrip(">") if arguments else ""
                self.sections.append(url if url.lower().startswith(BALANCER) else "")
            case "</proxy>":
                if len(self.sections) == 1:
                    raise ImporterError(f"{where}: </Proxy> without <Proxy>")
                self.sections.pop()
            case "balancermember":
                read_member(self.imported, arguments, self.sections[-1], where)
            case "include" | "includeoptional":
                self.imported.add_note(f"{where}: {name} is ignored")
            case "proxyset" if self.sections[-1]:
                self.imported.add_note(f"{where}: ProxySet is not imported: {' '.join(arguments)}")

    def substitute(self, argument: str, where: str) -> str:
        """Return an argument with its `${variables}` replaced.

        Raises:
            ImporterError: A variable is not defined in this file.
        """

        def value(match: re.Match[str]) -> str:
            if match[1] not in self.variables:
                raise ImporterError(f"{where}: ${{{match[1]}}} is not defined in this file")
            return self.variables[match[1]]

        return VARIABLE.sub(value, argument)


def read(text: str) -> ImportedBalancers:
    """Read the balancers of a configuration; directives that are not about balancers are skipped.

    Raises:
        ImporterError: A directive about balancers is malformed, or a <Proxy> section is not closed.
    """
    configuration = Configuration()
    for directive in directives(text):
        configuration.apply(directive)
    if len(configuration.sections) > 1:
        raise ImporterError("the file ends inside <Proxy>")
    return configuration.imported


def directives(text: str) -> Iterator[Directive]:
    """Yield the directives of a file in order; a backslash at the end of a line continues it on the next."""
    pending = ""
    first_line = 0
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if not pending:
            first_line = number
        if line.endswith("\\"):
            pending += line[:-1] + " "
            continue
        complete = (pending + line).strip()
        pending = ""
        if complete and not complete.startswith("#"):
            yield Directive(split_arguments(complete), f"line {first_line}")


def split_arguments(line: str) -> list[str]:
    """Split a directive into its arguments; within quotes, a backslash escapes the next character."""
    return [
        re.sub(r"\\(.)", r"\1", quoted) if quoted or not bare else bare
        for quoted, bare in ARGUMENT.findall(line)
    ]


def read_member(imported: ImportedBalancers, arguments: list[str], section: str, where: str) -> None:
    """Add the member of a BalancerMember, `[balancer] url [key=value ...]`, to its balancer.

    Raises:
        ImporterError: The directive is malformed, or is outside of a section and names no balancer.
    """
    balancer = section
    if arguments and arguments[0].lower().startswith(BALANCER):
        balancer, *arguments = arguments
    if not balancer or not arguments:
        raise ImporterError(f"{where}: BalancerMember without a balancer or a URL")
    url, *parameters = arguments
    values = read_parameters(parameters, where)
    if unsupported := sorted(values.keys() - SUPPORTED_KEYS):
        imported.add_note(f"{where}: not imported: {', '.join(unsupported)}")
    scheme, host, port = read_url(url, where)
    name = values.get("route") or f"{host}:{port}"
    flags = read_status(values.get("status", ""), where)
    if flags & SPARE_FLAGS:
        note = f"{where}: {name} is a spare or standby: it gets its own shard, but no new requests"
        imported.add_note(note)
    members = imported.balancers.setdefault(balancer[len(BALANCER) :].rstrip("/"), [])
    weight = read_weight(values.get("loadfactor", "1"), where)
    members.append(Member(name, scheme, host, port, weight, not flags & NOT_SERVING_FLAGS))


def read_parameters(parameters: list[str], where: str) -> dict[str, str]:
    """Return the values of `key=value` parameters, by lower-case key.

    Raises:
        ImporterError: A parameter has no equals sign.
    """
    values = {}
    for parameter in parameters:
        key, equals, value = parameter.partition("=")
        if not equals:
            raise ImporterError(f"{where}: not key=value: {parameter!r}")
        values[key.lower()] = value
    return values


def read_url(url: str, where: str) -> tuple[str, str, int]:
    """Return the scheme, host and port of a member; the port defaults to that of the scheme.

    Raises:
        ImporterError: The URL has no host, such as that of a UNIX socket, or no valid port.
    """
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port
    except ValueError as error:
        raise ImporterError(f"{where}: {url!r}: {error}") from None
    if not host or parts.scheme == "unix" or "|" in url:
        raise ImporterError(f"{where}: no host in {url!r}")
    port = port or DEFAULT_PORTS.get(parts.scheme)
    if port is None:
        raise ImporterError(f"{where}: no port in {url!r}")
    return parts.scheme, host, read_port(str(port), where)


def read_status(text: str, where: str) -> set[str]:
    """Return the status flags that are set: a letter or +letter sets one, -letter clears it, as in 'S-E'.

    Raises:
        ImporterError: The text has anything but flags.
    """
    if STATUS_FLAG.sub("", text):
        raise ImporterError(f"{where}: unknown status {text!r}")
    flags: set[str] = set()
    for sign, letter in STATUS_FLAG.findall(text):
        flags = flags - {letter.upper()} if sign == "-" else flags | {letter.upper()}
    return flags
