"""How a request is parsed for rules, in service, by `explain` and for recorded requests alike.

It is documented in docs/rules.md, "How a request is read". A request that can be read in more than one way,
or exceeds the bounds that costs are computed from, is rejected here before any rule is tried.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable
from functools import lru_cache
from typing import Any
from urllib.parse import unquote_to_bytes

from stoatrouter.expressions import types as t
from stoatrouter.expressions.bounds import Bound, int_bound, list_bound, text_bound
from stoatrouter.expressions.environment import Environment, Variable
from stoatrouter.expressions.runtime import Fields

MOST_METHOD, MOST_HOST, MOST_PATH, MOST_QUERY, MOST_VALUE = 32, 255, 2048, 4096, 8192
MOST_SEGMENTS, MOST_SEGMENT, MOST_FIELDS, MOST_PAIRS = 32, 255, 64, 64
MOST_SIZE = 1 << 53

STRINGS = t.MapOf(t.STRING, repeated=True)
HTTP = Environment(
    {
        "request.method": Variable(t.STRING, "method", text_bound(MOST_METHOD, 1)),
        "request.host": Variable(t.STRING, "host", text_bound(MOST_HOST)),
        "request.path": Variable(t.STRING, "path", text_bound(MOST_PATH, 1)),
        "request.segments": Variable(
            t.ListOf(t.STRING), "segments", list_bound(MOST_SEGMENTS, text_bound(MOST_SEGMENT))
        ),
        "request.headers": Variable(
            t.MapOf(t.STRING, folded=True, repeated=True),
            "headers",
            list_bound(MOST_FIELDS, text_bound(MOST_VALUE)),
        ),
        "request.query": Variable(STRINGS, "query", list_bound(MOST_PAIRS, text_bound(MOST_QUERY))),
        "request.cookies": Variable(STRINGS, "cookies", list_bound(MOST_PAIRS, text_bound(MOST_VALUE))),
        "request.size": Variable(t.INT, "size", int_bound(-1, MOST_SIZE)),
        "request.class": Variable(t.STRING, "request_class", text_bound(64)),
        "source.ip": Variable(t.IP, "ip", Bound()),
    }
)
OBJECTS = Environment(
    {
        **HTTP.variables,
        "object.bucket": Variable(t.STRING, "bucket", text_bound(63)),
        "object.key": Variable(t.STRING, "key", text_bound(1024)),
        "object.operation": Variable(t.STRING, "operation", text_bound(32, 1)),
    }
)

METHOD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
HOST = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z._~!$&'()*+,;=%-]*)(?::[0-9]*)?")
TARGET = re.compile(r"[!-~]+")
ABSOLUTE = re.compile(r"https?://([^/?]*)(.*)", re.IGNORECASE | re.DOTALL)
ESCAPED = re.compile(r"%([0-9A-Fa-f]{2})?")
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
CONTROL = re.compile("[\x00-\x1f\x7f]")


class Unreadable(Exception):
    """A request that is rejected before rules are tried; `status` is a 4xx."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Input:
    """A request as expressions see it; rarely used values are computed on first use."""

    __slots__ = (
        "method",
        "host",
        "path",
        "raw_path",
        "raw_query",
        "headers",
        "size",
        "request_class",
        "peer",
        "segments",
        "query",
        "cookies",
        "ip",
        "bucket",
        "key",
        "operation",
    )

    def __getattr__(self, name: str) -> Any:
        # only called for a slot that is not filled yet
        value = LATER[name](self)
        setattr(self, name, value)
        return value


LATER = {
    "query": lambda given: read_query(given.raw_query),
    "cookies": lambda given: read_cookies(given.headers.get("cookie", "")),
    "ip": lambda given: address(given.peer),
    "segments": lambda given: read_segments(given.path),
}


def read_input(
    method: str,
    target: str,
    fields: Iterable[tuple[bytes, bytes]],
    peer: str,
    size: int = -1,
    request_class: str = "",
) -> Input:
    """Parse a request; raises Unreadable.

    `fields` are the header lines as they came, `peer` is the client's address, `size` the stated length of
    the body in bytes or -1.
    """
    given = Input()
    if not METHOD.fullmatch(method):
        raise Unreadable(400, "the method is no token")
    given.method, given.size, given.request_class, given.peer = method, size, request_class, peer
    given.headers = read_fields(fields)
    host = given.headers.get("host", "")
    if "host" in given.headers.lists:
        raise Unreadable(400, "more than one Host")
    if not TARGET.fullmatch(target):
        raise Unreadable(400, "the target has characters that must be escaped")
    if not target.startswith("/"):
        found = ABSOLUTE.fullmatch(target)
        if found is None:
            raise Unreadable(400, "the target is no path")
        host, target = found[1], found[2] if found[2].startswith("/") else "/" + found[2]
    given.host = read_host(host)
    path, _, given.raw_query = target.partition("?")
    if len(path) > MOST_PATH or len(given.raw_query) > MOST_QUERY or given.raw_query.count("&") >= MOST_PAIRS:
        raise Unreadable(414, "the path or the query is too long")
    given.raw_path = path
    given.path = normal_path(path) if "%" in path or "." in path else path
    if "%" in path or len(path) > MOST_SEGMENT or path.count("/") > MOST_SEGMENTS:
        given.segments = read_segments(given.path)  # it may be refused, which must not happen within a rule
    if "%" in given.raw_query:
        given.query = read_query(given.raw_query)
    return given


def read_fields(lines: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Header fields by lower-case name; raises Unreadable.

    Lines of one name are joined by ', ' in their order (RFC 9110, 5.3), those of Cookie by '; ' (RFC 6265).
    Bytes that are not UTF-8 become U+FFFD.
    """
    values: dict[str, str] = {}
    lists: dict[str, tuple[str, ...]] = {}
    for raw_name, raw_value in lines:
        name = raw_name.decode("ascii", "replace").lower()
        value = raw_value.strip(b" \t").decode("utf-8", "replace")
        if name in values:
            lists[name] = (*lists.get(name, (values[name],)), value)
            value = values[name] + ("; " if name == "cookie" else ", ") + value
        values[name] = value
        # Guards the bounds that costs are computed from.
        if len(value) > MOST_VALUE:
            raise Unreadable(431, f"the header field {name[:40]} is too long")
    if len(values) > MOST_FIELDS or any(len(same) > MOST_FIELDS for same in lists.values()):
        raise Unreadable(431, "too many header fields")
    if values.get("cookie", "").count(";") >= MOST_PAIRS:
        raise Unreadable(431, "too many cookies")
    return Fields(values, lists)


@lru_cache(maxsize=1024)
def read_host(text: str) -> str:
    """The host without its port, in lower case and without a trailing dot; raises Unreadable."""
    found = HOST.fullmatch(text)
    if found is None or len(found[1]) > MOST_HOST:
        raise Unreadable(400, "the host cannot be read")
    return found[1].lower().removesuffix(".")


def normal_path(path: str) -> str:
    """The path in the normal form of RFC 3986, 6.2.2; raises Unreadable.

    Escapes of unreserved characters are undone, and hex digits are in upper case. Escaped slashes and empty
    segments stay.
    """

    def normal(found: re.Match[str]) -> str:
        if found[1] is None:
            raise Unreadable(400, "a % in the path is followed by no two hex digits")
        character = chr(int(found[1], 16))
        return character if character in UNRESERVED else f"%{found[1].upper()}"

    path = ESCAPED.sub(normal, path)
    # Guards nodes and rules against two readings of one path: whoever resolves dots would see another one.
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        raise Unreadable(400, "the path has dot segments")
    return path


def read_segments(path: str) -> list[str]:
    """The unescaped segments of a normal path; raises Unreadable."""
    parts = path[1:].split("/") if path != "/" else []
    if len(parts) > MOST_SEGMENTS:
        raise Unreadable(414, "the path has too many segments")
    return [segment(part) for part in parts]


def segment(part: str) -> str:
    """One segment of a path, unescaped; raises Unreadable."""
    value = unescaped(part, 400, "the path") if "%" in part else part
    # Guards keys and logs: nothing that ends a string or a line elsewhere gets through.
    if CONTROL.search(value):
        raise Unreadable(400, "the path has control characters")
    if len(value) > MOST_SEGMENT:
        raise Unreadable(414, "a segment of the path is too long")
    return value


def unescaped(text: str, status: int, what: str) -> str:
    """Undo percent escapes, which must be UTF-8; raises Unreadable."""
    if any(found[1] is None for found in ESCAPED.finditer(text)):
        raise Unreadable(status, f"a % in {what} is followed by no two hex digits")
    try:
        return unquote_to_bytes(text).decode("utf-8")
    except UnicodeDecodeError:
        raise Unreadable(status, f"{what} is not UTF-8") from None


def read_query(raw: str) -> Fields:
    """Names and values of a query in form encoding, where '+' is a space.

    The first value of a name counts; `values` gives all of them.
    """
    return pairs((part.partition("=")[::2] for part in raw.split("&") if part), query_text)


def query_text(text: str) -> str:
    """A name or value of a query, unescaped; raises Unreadable."""
    text = text.replace("+", " ")
    return unescaped(text, 400, "the query") if "%" in text else text


def read_cookies(raw: str) -> Fields:
    """Names and values of Cookie (RFC 6265, 5.4); parts without '=' are skipped."""
    return pairs((part.partition("=")[::2] for part in raw.split(";") if "=" in part), str.strip)


def pairs(items: Iterable[Any], read: Any) -> Fields:
    """Names with their first values, and all values of names that occur more than once."""
    values: dict[str, str] = {}
    lists: dict[str, tuple[str, ...]] = {}
    for raw_name, raw_value in items:
        name, value = read(raw_name), read(raw_value)
        if name in values:
            lists[name] = (*lists.get(name, (values[name],)), value)
        else:
            values[name] = value
    return Fields(values, lists)


@lru_cache(maxsize=4096)
def address(peer: str) -> Any:
    """The address of a connection's peer; an IPv4-mapped IPv6 address is read as IPv4."""
    found = ipaddress.ip_address(peer.partition("%")[0])
    return found.ipv4_mapped or found if isinstance(found, ipaddress.IPv6Address) else found
