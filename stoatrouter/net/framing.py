"""The framing of a node's answer: the end of its head and the length of its body (RFC 9112, section 6)."""

from __future__ import annotations

from stoatrouter.net.bodies import MAX_BODY_BYTES

HEAD_END = b"\r\n\r\n"
# Returned by body_length in place of a length:
CHUNKED = -1
UNTIL_CLOSE = -2


def body_length(head: bytes) -> int:
    """Return the body length that a head specifies: bytes, CHUNKED or UNTIL_CLOSE.

    Raises ValueError if the end of the body is ambiguous: two lengths, no length on a persistent connection,
    a length that is malformed or over the limit, or a length together with chunked coding.
    """
    lengths: list[bytes] = []
    codings: list[bytes] = []
    closes = head[:8] == b"HTTP/1.0"
    for line in head[: -len(HEAD_END)].split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not name or name.strip() != name:
            raise ValueError("malformed header line")
        if name.lower() == b"content-length":
            lengths.append(value.strip())
        elif name.lower() == b"transfer-encoding":
            codings.append(value.strip().lower())
        elif name.lower() == b"connection":
            closes = b"close" in value.lower()
    if codings == [b"chunked"] and not lengths:
        return CHUNKED
    if not codings and not lengths and closes:
        return UNTIL_CLOSE
    if codings or len(lengths) != 1 or not lengths[0].isdigit() or len(lengths[0]) > 9:
        raise ValueError("missing, malformed or ambiguous body length")
    if int(lengths[0]) > MAX_BODY_BYTES:
        raise ValueError("body exceeds the size limit")
    return int(lengths[0])
