"""Evaluates ranges and preconditions of reads (RFC 9110, 13 and 14)."""

from __future__ import annotations

import re
from collections.abc import Mapping
from email.utils import formatdate, parsedate_to_datetime
from typing import NamedTuple

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError

SINGLE_RANGE = re.compile(r"bytes=(\d{0,19})-(\d{0,19})")


class ByteRange(NamedTuple):
    """A byte range of a body, from `start` up to but excluding `stop`."""

    start: int
    stop: int


def read_range(headers: Mapping[str, str], etag: str, modified: int, size: int) -> ByteRange | None:
    """Return the range of an object that a request asks for.

    A malformed range, or more than one, is ignored, as the RFC allows (14.2).

    Args:
        headers: The request's header fields.
        etag: The object's entity tag, without quotes.
        modified: When the object was written, in Unix seconds.
        size: The object's size in bytes.

    Returns:
        The range, or None for the complete body.

    Raises:
        ObjectError: The range lies outside the body.
    """
    match = SINGLE_RANGE.fullmatch(headers.get("Range", "").replace(" ", ""))
    if match is None or match.groups() == ("", "") or not if_range_holds(headers, etag, modified):
        return None
    found = resolve_range(match[1], match[2], size)
    if found is not None and (found.start >= size or found.start >= found.stop):
        raise ObjectError(
            ErrorCode.INVALID_RANGE,
            "the range lies beyond the object",
            headers={"Content-Range": f"bytes */{size}"},
        )
    return found


def resolve_range(first: str, last: str, size: int) -> ByteRange | None:
    """Resolve the two positions of a range against a size; return None if they are not a valid range."""
    if not first:  # a suffix range: the last N bytes
        return ByteRange(max(0, size - int(last)), size)
    if not last:
        return ByteRange(int(first), size)
    if int(last) < int(first):
        return None
    return ByteRange(int(first), min(size, int(last) + 1))


def if_range_holds(headers: Mapping[str, str], etag: str, modified: int) -> bool:
    """Return whether If-Range allows a range, so that no client joins parts of two versions of an object."""
    condition = headers.get("If-Range")
    if condition is None:
        return True
    if condition.startswith(('"', "W/")):
        return condition == f'"{etag}"'  # a weak tag never matches here
    return parse_date(condition) == modified


def check_preconditions(headers: Mapping[str, str], etag: str, modified: int) -> bool:
    """Evaluate the preconditions of a read in the order of RFC 9110, 13.2.2.

    Returns:
        Whether the read goes on; False: the client's copy is current (304).

    Raises:
        ObjectError: A precondition failed (412).
    """
    required_tags = headers.get("If-Match")
    if required_tags is not None:
        if not matches_etag(required_tags, etag):
            raise ObjectError(ErrorCode.PRECONDITION_FAILED, "If-Match does not hold")
    else:
        unmodified_since = parse_date(headers.get("If-Unmodified-Since"))
        if unmodified_since is not None and modified > unmodified_since:
            raise ObjectError(ErrorCode.PRECONDITION_FAILED, "If-Unmodified-Since does not hold")
    known_tags = headers.get("If-None-Match")
    if known_tags is not None:
        return not matches_etag(known_tags, etag)
    modified_since = parse_date(headers.get("If-Modified-Since"))
    return modified_since is None or modified > modified_since


def matches_etag(tags: str, etag: str) -> bool:
    """Return whether a list of tags has an entity tag, by weak comparison (RFC 9110, 8.8.3.2), or is `*`."""
    return any(tag.strip().removeprefix("W/") in ("*", f'"{etag}"', etag) for tag in tags.split(","))


def parse_date(text: str | None) -> int | None:
    """Parse an HTTP date to Unix seconds; return None if it is absent or malformed."""
    try:
        return int(parsedate_to_datetime(text).timestamp()) if text else None
    except (ValueError, TypeError, OverflowError):
        return None


def format_date(seconds: int) -> str:
    """Format a time in Unix seconds as an HTTP date."""
    return formatdate(seconds, usegmt=True)
