"""Ranges and preconditions of reads (RFC 9110, 13 and 14)."""

from __future__ import annotations

import re
from collections.abc import Mapping
from email.utils import formatdate, parsedate_to_datetime

from stoatrouter.fronts.objects.errors import ObjectError

ONE_RANGE = re.compile(r"bytes=(\d{0,19})-(\d{0,19})")


def wanted_range(headers: Mapping[str, str], etag: str, modified: int, size: int) -> tuple[int, int] | None:
    """The bytes start to stop that a request asks for; None: all of them.

    A malformed range, or more than one, is ignored, as the RFC allows. Raises ObjectError where a range lies
    beyond the body.
    """
    match = ONE_RANGE.fullmatch(headers.get("Range", "").replace(" ", ""))
    if match is None or match.groups() == ("", "") or not if_range_holds(headers, etag, modified):
        return None
    first, last = match.groups()
    if not first:  # the last so many bytes
        start, stop = max(0, size - int(last)), size
    else:
        start, stop = int(first), min(size, int(last) + 1) if last else size
        if last and int(last) < int(first):
            return None  # not a valid range: ignored
    if start >= size or start >= stop:
        raise ObjectError(
            "InvalidRange", "the range lies beyond the object", headers={"Content-Range": f"bytes */{size}"}
        )
    return start, stop


def if_range_holds(headers: Mapping[str, str], etag: str, modified: int) -> bool:
    """Whether If-Range allows a range: a changed object must not be joined to its old start."""
    condition = headers.get("If-Range")
    if condition is None:
        return True
    if condition.startswith(('"', "W/")):
        return condition == f'"{etag}"'  # a weak tag never matches here
    return read_date(condition) == modified


def check_preconditions(headers: Mapping[str, str], etag: str, modified: int) -> bool:
    """Whether a read goes on; False: not modified. Raises ObjectError where a precondition failed."""
    if (wanted := headers.get("If-Match")) is not None:
        if not matches(wanted, etag):
            raise ObjectError("PreconditionFailed", "If-Match does not hold")
    elif (since := read_date(headers.get("If-Unmodified-Since"))) is not None and modified > since:
        raise ObjectError("PreconditionFailed", "If-Unmodified-Since does not hold")
    if (unwanted := headers.get("If-None-Match")) is not None:
        return not matches(unwanted, etag)
    since = read_date(headers.get("If-Modified-Since"))
    return since is None or modified > since


def matches(tags: str, etag: str) -> bool:
    """Whether an entity tag is in a list of tags, compared weakly (RFC 9110, 8.8.3.2); `*` matches any."""
    return any(tag.strip().removeprefix("W/") in ("*", f'"{etag}"', etag) for tag in tags.split(","))


def read_date(text: str | None) -> int | None:
    """An HTTP date in Unix seconds; None where it is absent or malformed."""
    try:
        return int(parsedate_to_datetime(text).timestamp()) if text else None
    except (ValueError, TypeError, OverflowError):
        return None


def http_date(seconds: int) -> str:
    """A time in Unix seconds as an HTTP date."""
    return formatdate(seconds, usegmt=True)
