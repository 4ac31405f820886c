"""Parses a request for rules: in the fronts, in `explain` and for recorded requests alike.

The parsing is documented in docs/rules.md, "How a request is read". A request that is ambiguous, or exceeds
the bounds from which costs are computed, is rejected here before any rule is tried.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from typing import Any, NamedTuple
from urllib.parse import unquote_to_bytes

from stoatrouter.expressions import types as t
from stoatrouter.expressions.bounds import Bound, int_bound, list_bound, text_bound
from stoatrouter.expressions.environment import Environment, Variable
from stoatrouter.expressions.runtime import Address, Fields

# Bounds on lengths, in characters.
MAX_METHOD_LENGTH = 32
MAX_HOST_LENGTH = 255
MAX_PATH_LENGTH = 2048
MAX_QUERY_LENGTH = 4096
MAX_FIELD_VALUE_LENGTH = 8192
MAX_SEGMENT_LENGTH = 255
# Bounds on numbers of elements.
MAX_SEGMENTS = 32
MAX_FIELDS = 64
MAX_PAIRS = 64  # names with values, of a query or of the cookies
MAX_BODY_SIZE = 1 << 53  # bytes

STRING_MAP = t.MapOf(t.STRING, repeated=True)
HTTP_ENVIRONMENT = Environment(
    {
        "request.method": Variable(t.STRING, "method", text_bound(MAX_METHOD_LENGTH, 1)),
        "request.host": Variable(t.STRING, "host", text_bound(MAX_HOST_LENGTH)),
        "request.path": Variable(t.STRING, "path", text_bound(MAX_PATH_LENGTH, 1)),
        "request.segments": Variable(
            t.ListOf(t.STRING), "segments", list_bound(MAX_SEGMENTS, text_bound(MAX_SEGMENT_LENGTH))
        ),
        "request.headers": Variable(
            t.MapOf(t.STRING, folded=True, repeated=True),
            "headers",
            list_bound(MAX_FIELDS, text_bound(MAX_FIELD_VALUE_LENGTH)),
        ),
        "request.query": Variable(STRING_MAP, "query", list_bound(MAX_PAIRS, text_bound(MAX_QUERY_LENGTH))),
        "request.cookies": Variable(
            STRING_MAP, "cookies", list_bound(MAX_PAIRS, text_bound(MAX_FIELD_VALUE_LENGTH))
        ),
        "request.size": Variable(t.INT, "size", int_bound(-1, MAX_BODY_SIZE)),
        "request.class": Variable(t.STRING, "request_class", text_bound(64)),
        "source.ip": Variable(t.IP, "ip", Bound()),
    }
)
OBJECT_ENVIRONMENT = Environment(
    {
        **HTTP_ENVIRONMENT.variables,
        "object.bucket": Variable(t.STRING, "bucket", text_bound(63)),
        "object.key": Variable(t.STRING, "key", text_bound(1024)),
        "object.operation": Variable(t.STRING, "operation", text_bound(32, 1)),
    }
)

METHOD_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
HOST_PATTERN = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z._~!$&'()*+,;=%-]*)(?::[0-9]*)?")
TARGET_PATTERN = re.compile(r"[!-~]+")
ABSOLUTE_FORM = re.compile(r"https?://([^/?]*)(.*)", re.IGNORECASE | re.DOTALL)
PERCENT_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})?")
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
CONTROL_CHARACTER = re.compile("[\x00-\x1f\x7f]")


class UnreadableRequestError(Exception):
    """A request is rejected before rules are tried."""

    def __init__(self, status: int, reason: str) -> None:
        """Reject a request.

        Args:
            status: The HTTP status of the answer, 4xx.
            reason: What is wrong with the request; the body of the answer.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Input:
    """The variables of a request for expressions; those in LAZY_ATTRIBUTES are computed on first use.

    Attributes:
        method: The method as received.
        host: The host in lower case, without port and trailing dot.
        path: The path in normal form (`normalize_path`).
        raw_path: The path as received, without the query.
        raw_query: The query as received, without the `?`.
        headers: Header fields by lower-case name.
        size: The declared length of the body in bytes; -1 if none is declared.
        request_class: The class that the front assigns without rules; empty if there is none.
        peer: The client's address as text.
        segments: The percent-decoded segments of the path.
        query: Names and values of the query.
        cookies: Names and values of cookies.
        ip: The client's address.
        bucket: The bucket of an object call; set by the object front.
        key: The key of an object call; set by the object front.
        operation: The operation of an object call; set by the object front.
    """

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

    method: str
    host: str
    path: str
    raw_path: str
    raw_query: str
    headers: Fields
    size: int
    request_class: str
    peer: str
    segments: list[str]
    query: Fields
    cookies: Fields
    ip: Address
    bucket: str
    key: str
    operation: str

    def __getattr__(self, name: str) -> Any:
        """Compute and store an attribute; called only for attributes that are not set yet.

        Raises:
            KeyError: The attribute is not in LAZY_ATTRIBUTES.
        """
        value = LAZY_ATTRIBUTES[name](self)
        setattr(self, name, value)
        return value


class Target(NamedTuple):
    """A request target in origin form, with the host of the request (RFC 9112, 3.2)."""

    host: str
    path_and_query: str


def read_input(
    method: str,
    target: str,
    fields: Iterable[tuple[bytes, bytes]],
    peer: str,
    size: int = -1,
    request_class: str = "",
) -> Input:
    """Parse a request; raises UnreadableRequestError if it is malformed, ambiguous or exceeds a bound.

    Method, target and header lines are as received, `peer` is the client's address, `size` the declared
    length of the body in bytes or -1, `request_class` the class that the front assigns without rules, if any.
    """
    if not METHOD_PATTERN.fullmatch(method):
        raise UnreadableRequestError(400, "the method is no token")
    request = Input()
    request.method = method
    request.size = size
    request.request_class = request_class
    request.peer = peer
    request.headers = read_fields(fields)
    if "host" in request.headers.lists:
        raise UnreadableRequestError(400, "more than one Host")
    host, path_and_query = split_target(target, request.headers.get("host", ""))
    request.host = read_host(host)
    read_path_and_query(request, path_and_query)
    return request


def split_target(target: str, host: str) -> Target:
    """Split a target in origin or absolute form; the host of the absolute form overrides the Host field.

    Raises:
        UnreadableRequestError: The target is malformed.
    """
    if not TARGET_PATTERN.fullmatch(target):
        raise UnreadableRequestError(400, "the target has characters that must be escaped")
    if target.startswith("/"):
        return Target(host, target)
    absolute = ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        raise UnreadableRequestError(400, "the target is no path")
    path_and_query = absolute[2] if absolute[2].startswith("/") else "/" + absolute[2]
    return Target(absolute[1], path_and_query)


def read_path_and_query(request: Input, path_and_query: str) -> None:
    """Set a request's path and query; raises UnreadableRequestError.

    Segments and query that may be malformed are parsed here and not on first use, as the evaluation of a rule
    must not reject the request.
    """
    path, _, query = path_and_query.partition("?")
    if len(path) > MAX_PATH_LENGTH or len(query) > MAX_QUERY_LENGTH or query.count("&") >= MAX_PAIRS:
        raise UnreadableRequestError(414, "the path or the query is too long")
    request.raw_path = path
    request.raw_query = query
    request.path = normalize_path(path) if "%" in path or "." in path else path
    if "%" in path or len(path) > MAX_SEGMENT_LENGTH or path.count("/") > MAX_SEGMENTS:
        request.segments = read_segments(request.path)
    if "%" in query:
        request.query = read_query(query)


def read_fields(lines: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Return header fields by lower-case name; raises UnreadableRequestError.

    Lines with the same name are joined by ', ' in their order (RFC 9110, 5.3), those of Cookie by '; '
    (RFC 6265). Bytes that are not UTF-8 become U+FFFD.
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
        # The cost of a rule is computed from this bound.
        if len(value) > MAX_FIELD_VALUE_LENGTH:
            raise UnreadableRequestError(431, f"the header field {name[:40]} is too long")
    if len(values) > MAX_FIELDS or any(len(lines) > MAX_FIELDS for lines in lists.values()):
        raise UnreadableRequestError(431, "too many header fields")
    if values.get("cookie", "").count(";") >= MAX_PAIRS:
        raise UnreadableRequestError(431, "too many cookies")
    return Fields(values, lists)


@lru_cache(maxsize=1024)
def read_host(text: str) -> str:
    """Return a host in lower case without its port and its trailing dot.

    Raises:
        UnreadableRequestError: The host is malformed or too long.
    """
    match = HOST_PATTERN.fullmatch(text)
    if match is None or len(match[1]) > MAX_HOST_LENGTH:
        raise UnreadableRequestError(400, "the host cannot be read")
    return match[1].lower().removesuffix(".")


def normalize_path(path: str) -> str:
    """Return a path in the normal form of RFC 3986, 6.2.2; raises UnreadableRequestError.

    Escapes of unreserved characters are decoded, and the hex digits of others put in upper case. Escaped
    slashes and empty segments are kept.
    """

    def normalize_escape(escape: re.Match[str]) -> str:
        if escape[1] is None:
            raise UnreadableRequestError(400, "a % in the path is followed by no two hex digits")
        character = chr(int(escape[1], 16))
        return character if character in UNRESERVED else f"%{escape[1].upper()}"

    path = PERCENT_ESCAPE.sub(normalize_escape, path)
    # A node that resolves dot segments would see another path than the rules do.
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        raise UnreadableRequestError(400, "the path has dot segments")
    return path


def read_segments(path: str) -> list[str]:
    """Split a path in normal form into its percent-decoded segments; raises UnreadableRequestError."""
    parts = path[1:].split("/") if path != "/" else []
    if len(parts) > MAX_SEGMENTS:
        raise UnreadableRequestError(414, "the path has too many segments")
    return [read_segment(part) for part in parts]


def read_segment(part: str) -> str:
    """Percent-decode one segment of a path; raises UnreadableRequestError."""
    value = unescape(part, 400, "the path") if "%" in part else part
    # Control characters would end a string or a line in keys and logs.
    if CONTROL_CHARACTER.search(value):
        raise UnreadableRequestError(400, "the path has control characters")
    if len(value) > MAX_SEGMENT_LENGTH:
        raise UnreadableRequestError(414, "a segment of the path is too long")
    return value


def unescape(text: str, status: int, subject: str) -> str:
    """Decode percent escapes as UTF-8; raises an UnreadableRequestError that names the subject."""
    if any(escape[1] is None for escape in PERCENT_ESCAPE.finditer(text)):
        raise UnreadableRequestError(status, f"a % in {subject} is followed by no two hex digits")
    try:
        return unquote_to_bytes(text).decode("utf-8")
    except UnicodeDecodeError:
        raise UnreadableRequestError(status, f"{subject} is not UTF-8") from None


def read_query(raw: str) -> Fields:
    """Return the names and values of a query in form encoding, where '+' is a space.

    A name maps to its first value; the expression function `values` returns all of them.
    """
    parts = (part for part in raw.split("&") if part)
    return collect_pairs((part.partition("=")[::2] for part in parts), unescape_query)


def unescape_query(text: str) -> str:
    """Decode a name or value of a query; raises UnreadableRequestError."""
    text = text.replace("+", " ")
    return unescape(text, 400, "the query") if "%" in text else text


def read_cookies(raw: str) -> Fields:
    """Return the names and values of a Cookie field (RFC 6265, 5.4); parts without '=' are skipped."""
    parts = (part for part in raw.split(";") if "=" in part)
    return collect_pairs((part.partition("=")[::2] for part in parts), str.strip)


def collect_pairs(pairs: Iterable[Sequence[str]], read: Callable[[str], str]) -> Fields:
    """Return names with their first values, and all values of names that occur more than once.

    Args:
        pairs: Encoded names and values.
        read: Decodes a name or a value.
    """
    values: dict[str, str] = {}
    lists: dict[str, tuple[str, ...]] = {}
    for raw_name, raw_value in pairs:
        name = read(raw_name)
        value = read(raw_value)
        if name in values:
            lists[name] = (*lists.get(name, (values[name],)), value)
        else:
            values[name] = value
    return Fields(values, lists)


@lru_cache(maxsize=4096)
def parse_address(peer: str) -> Address:
    """Parse the address of a connection's peer; an IPv4-mapped IPv6 address becomes an IPv4 address."""
    address = ipaddress.ip_address(peer.partition("%")[0])
    if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped is not None:
        return address.ipv4_mapped
    return address


LAZY_ATTRIBUTES: dict[str, Callable[[Input], Any]] = {
    "query": lambda request: read_query(request.raw_query),
    "cookies": lambda request: read_cookies(request.headers.get("cookie", "")),
    "ip": lambda request: parse_address(request.peer),
    "segments": lambda request: read_segments(request.path),
}
