"""Parses and builds XML bodies of the S3 protocol."""

from __future__ import annotations

import xml.etree.ElementTree as ET
from typing import NamedTuple
from xml.sax.saxutils import escape

from aiohttp import web

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError

XML_DECLARATION = '<?xml version="1.0" encoding="UTF-8"?>\n'
NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


class ListedPart(NamedTuple):
    """A part that a client lists in CompleteMultipartUpload."""

    number: int
    etag: str


def parse_part_list(data: bytes) -> list[ListedPart]:
    """Parse the body of CompleteMultipartUpload; raises ObjectError."""
    # Entity expansion attacks need a declaration, which no legitimate client sends.
    if b"<!" in data or b"\0" in data:
        raise ObjectError(ErrorCode.MALFORMED_XML, "declarations are not allowed")
    try:
        root = ET.fromstring(data.decode("utf-8"))
        if local_name(root) != "CompleteMultipartUpload":
            raise ValueError(root.tag)
        return [parse_part(part) for part in root if local_name(part) == "Part"]
    except (ET.ParseError, ValueError, KeyError):
        raise ObjectError(ErrorCode.MALFORMED_XML, "not a list of parts") from None


def parse_part(element: ET.Element) -> ListedPart:
    """Parse one part of the list; raises KeyError or ValueError if fields are missing or malformed."""
    fields = {local_name(child): (child.text or "").strip() for child in element}
    return ListedPart(int(fields["PartNumber"]), fields["ETag"].strip('"'))


def local_name(element: ET.Element) -> str:
    """Return an element's name without its namespace, which clients may omit."""
    return element.tag.rpartition("}")[2]


def xml_response(root: str, **fields: str) -> web.Response:
    """Build an XML response of the S3 protocol: a root element with a child element for each field."""
    children = "".join(f"<{name}>{escape(value)}</{name}>" for name, value in fields.items())
    document = f'{XML_DECLARATION}<{root} xmlns="{NAMESPACE}">{children}</{root}>'
    return web.Response(content_type="application/xml", body=document.encode())
