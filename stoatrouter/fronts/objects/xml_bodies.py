"""XML bodies of the S3 protocol: the parts that a client lists, and answers."""

from __future__ import annotations

import xml.etree.ElementTree as ET
from xml.sax.saxutils import escape

from aiohttp import web

from stoatrouter.fronts.objects.errors import ObjectError

XML = '<?xml version="1.0" encoding="UTF-8"?>\n'
NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


def read_parts(data: bytes) -> list[tuple[int, str]]:
    """The parts named by CompleteMultipartUpload as number and ETag; raises ObjectError."""
    # Guards the parser: entities that grow without end need a declaration, which no client sends.
    if b"<!" in data or b"\0" in data:
        raise ObjectError("MalformedXML", "declarations are not allowed")
    try:
        root = ET.fromstring(data.decode("utf-8"))
        if local(root) != "CompleteMultipartUpload":
            raise ValueError(root.tag)
        return [read_part(part) for part in root if local(part) == "Part"]
    except (ET.ParseError, ValueError, KeyError):
        raise ObjectError("MalformedXML", "not a list of parts") from None


def read_part(part: ET.Element) -> tuple[int, str]:
    """The number and ETag of one part; raises KeyError or ValueError where they are missing or malformed."""
    fields = {local(child): (child.text or "").strip() for child in part}
    return int(fields["PartNumber"]), fields["ETag"].strip('"')


def local(element: ET.Element) -> str:
    """An element's name without its namespace, which clients may leave out."""
    return element.tag.rpartition("}")[2]


def xml_response(root: str, **fields: str) -> web.Response:
    """An answer of the S3 protocol: one element with these fields as its children."""
    inner = "".join(f"<{name}>{escape(value)}</{name}>" for name, value in fields.items())
    return web.Response(
        content_type="application/xml", body=f'{XML}<{root} xmlns="{NAMESPACE}">{inner}</{root}>'.encode()
    )
