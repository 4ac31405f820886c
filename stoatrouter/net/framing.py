"""The framing of a node's answer: where its head ends and how long its body is (RFC 9112, section 6)."""

from __future__ import annotations

from stoatrouter.net.bodies import MAX_BODY_BYTES

HEAD_END = b"\r\n\r\n"
# What body_length returns in place of a length:
CHUNKED = -1
UNTIL_CLOSE = -2


def body_length(head: bytes) -> int:
    """The length of a body by its head: bytes, CHUNKED or UNTIL_CLOSE.

    Raises ValueError where the end is ambiguous: two lengths, none on a persistent connection, a length that
    is malformed or over the bound, or one together with chunks.
    """
    lengths: list[bytes] = []
    codings: list[bytes] = []
    closes = head[:8] == b"HTTP/1.0"
    for line in head[: -len(HEAD_END)].split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not name or name.strip() != name:
            raise ValueError("a header that cannot be read")
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
        raise ValueError("no length that can be read")
    if int(lengths[0]) > MAX_BODY_BYTES:
        raise ValueError("a body over the bound")
    return int(lengths[0])
