"""Apache httpd: BalancerMember, inside <Proxy balancer://...> or with the balancer named."""

from __future__ import annotations

import re
from collections.abc import Iterator
from urllib.parse import urlsplit

from stoatrouter.importer.members import Imported, ImportFailed, Member, read_port, read_weight

DEFAULT_PORTS = {"http": 80, "https": 443, "ajp": 8009}
BALANCER = "balancer://"
WORD = re.compile(r'"((?:[^"\\]|\\.)*)"|(\S+)')
VARIABLE = re.compile(r"\$\{(\w+)\}")
FLAG = re.compile(r"([+-]?)([DSIRHENdsirhen])")
CARRIED = {"loadfactor", "route", "status"}
# Members under one of these get nothing new: disabled, stopped, draining, a spare or a standby.
RESTING = set("DSNRH")


def read(text: str) -> Imported:
    """Read the balancers of a configuration; directives that are not about them are passed over."""
    found, variables, inside = Imported(), {}, [""]
    for number, words in directives(text):
        where, name = f"line {number}", words[0].lower()
        words = [substitute(word, variables, where) for word in words]
        if name == "define" and len(words) >= 2:
            variables[words[1]] = words[2] if len(words) > 2 else ""
        elif name == "<proxy":
            url = words[1].rstrip(">") if len(words) > 1 else ""
            inside.append(url if url.lower().startswith(BALANCER) else "")
        elif name == "</proxy>":
            if len(inside) == 1:
                raise ImportFailed(f"{where}: </Proxy> without <Proxy>")
            inside.pop()
        elif name == "balancermember":
            read_member(found, words[1:], inside[-1], where)
        elif name in ("include", "includeoptional"):
            found.note(f"{where}: {words[0]} is not followed")
        elif name == "proxyset" and inside[-1]:
            found.note(f"{where}: ProxySet is not carried over: {' '.join(words[1:])}")
    if len(inside) > 1:
        raise ImportFailed("the file ends inside <Proxy>")
    return found


def directives(text: str) -> Iterator[tuple[int, list[str]]]:
    """Directives as words, with the number of their first line; a backslash joins lines."""
    held, began = "", 0
    for number, line in enumerate([*text.splitlines(), ""], 1):
        began = began if held else number
        if line.endswith("\\"):
            held += line[:-1] + " "
            continue
        whole, held = (held + line).strip(), ""
        if whole and not whole.startswith("#"):
            yield (
                began,
                [
                    re.sub(r"\\(.)", r"\1", quoted) if quoted or not bare else bare
                    for quoted, bare in WORD.findall(whole)
                ],
            )


def substitute(word: str, variables: dict[str, str], where: str) -> str:
    def value(match: re.Match[str]) -> str:
        if match[1] not in variables:
            raise ImportFailed(f"{where}: ${{{match[1]}}} is not defined in this file")
        return variables[match[1]]

    return VARIABLE.sub(value, word)


def read_member(found: Imported, words: list[str], inside: str, where: str) -> None:
    """One BalancerMember: [balancer] url [key=value ...]."""
    balancer = inside
    if words and words[0].lower().startswith(BALANCER):
        balancer, words = words[0], words[1:]
    if not balancer or not words:
        raise ImportFailed(f"{where}: BalancerMember without a balancer or a URL")
    fields = {}
    for word in words[1:]:
        key, equals, value = word.partition("=")
        if not equals:
            raise ImportFailed(f"{where}: not key=value: {word!r}")
        fields[key.lower()] = value
    if others := sorted(fields.keys() - CARRIED):
        found.note(f"{where}: not carried over: {', '.join(others)}")
    scheme, host, port = read_url(words[0], where)
    name = fields.get("route") or f"{host}:{port}"
    flags = read_status(fields.get("status", ""), where)
    if flags & {"R", "H"}:
        found.note(f"{where}: {name} is a spare or standby: it holds a shard of its own and gets nothing")
    members = found.balancers.setdefault(balancer[len(BALANCER) :].rstrip("/"), [])
    members.append(
        Member(
            name, scheme, host, port, read_weight(fields.get("loadfactor", "1"), where), not flags & RESTING
        )
    )


def read_url(url: str, where: str) -> tuple[str, str, int]:
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port
    except ValueError as error:
        raise ImportFailed(f"{where}: {url!r}: {error}") from None
    if not host or parts.scheme == "unix" or "|" in url:
        raise ImportFailed(f"{where}: no host in {url!r}")
    port = port or DEFAULT_PORTS.get(parts.scheme)
    if port is None:
        raise ImportFailed(f"{where}: no port in {url!r}")
    return parts.scheme, host, read_port(str(port), where)


def read_status(text: str, where: str) -> set[str]:
    """Flags that are set: a letter or +letter sets, -letter clears, as in 'S-E'."""
    if FLAG.sub("", text):
        raise ImportFailed(f"{where}: unknown status {text!r}")
    flags: set[str] = set()
    for sign, letter in FLAG.findall(text):
        flags = flags - {letter.upper()} if sign == "-" else flags | {letter.upper()}
    return flags
