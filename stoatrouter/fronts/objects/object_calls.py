"""Calls that read or write a whole object (S3 GetObject, HeadObject and PutObject)."""

from __future__ import annotations

import contextlib
import time

from aiohttp import web

from stoatrouter.fronts.objects.calls import Call
from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError
from stoatrouter.fronts.objects.headers import METADATA_PREFIX, check_md5, read_content_headers
from stoatrouter.fronts.objects.manifest import MAX_REFS, Manifest
from stoatrouter.fronts.objects.ranges import ByteRange, check_preconditions, format_date, read_range
from stoatrouter.fronts.objects.record_store import RecordStore
from stoatrouter.fronts.objects.transfer import receive_body, send_body
from stoatrouter.net.listener import Drain


class ObjectCalls:
    """Serves reads and writes of objects."""

    def __init__(self, records: RecordStore, drain: Drain) -> None:
        """Serve calls on the objects of these records.

        Args:
            records: The manifests of objects.
            drain: Tells whether the head is draining; if so, responses close their connections.
        """
        self.records = records
        self.drain = drain

    async def read(self, call: Call) -> web.StreamResponse:
        """Send an object or a range of it; raises ObjectError only before the response has started."""
        request = call.request
        manifest = await self.records.read_manifest(call.store, call.key)
        headers = object_headers(manifest)
        if not check_preconditions(request.headers, manifest.etag, manifest.modified):
            return web.Response(status=304, headers=headers)
        part = read_range(request.headers, manifest.etag, manifest.modified, manifest.size)
        start, stop = part or ByteRange(0, manifest.size)
        if part is not None:
            headers["Content-Range"] = f"bytes {start}-{stop - 1}/{manifest.size}"
        headers["Content-Length"] = str(stop - start)
        response = web.StreamResponse(status=200 if part is None else 206, headers=headers)
        self.drain.mark(response)
        if request.method == "HEAD":
            await response.prepare(request)
            return response
        async with contextlib.aclosing(call.store.read_body(manifest.refs, start, stop)) as body:
            await send_body(request, response, body)
        return response

    async def write(self, call: Call) -> web.StreamResponse:
        """Store a body as an object, which becomes visible with its manifest; raises ObjectError."""
        headers = call.request.headers
        # Conditions on writes cannot be guaranteed: two heads may write at once without seeing each other.
        if "If-Match" in headers or "If-None-Match" in headers:
            raise ObjectError(ErrorCode.NOT_IMPLEMENTED, "conditional writes are not served")
        content = read_content_headers(headers)
        body = await call.store.write_body(receive_body(call.request))
        check_md5(headers, body.md5)
        etag = body.md5.hex()
        manifest = Manifest(
            bucket=call.store.bucket.name,
            key=call.key,
            etag=etag,
            size=body.size,
            refs=await call.store.write_ref_pages(body.refs, MAX_REFS),
            modified=int(time.time()),
            content_type=content.content_type,
            metadata=content.metadata,
        )
        await self.records.write_manifest(call.store, manifest)
        return web.Response(headers={"ETag": f'"{etag}"'})


def object_headers(manifest: Manifest) -> dict[str, str]:
    """Build the header fields that are common to all answers about an object."""
    headers = {
        "ETag": f'"{manifest.etag}"',
        "Last-Modified": format_date(manifest.modified),
        "Accept-Ranges": "bytes",
        "Content-Type": manifest.content_type,
    }
    return headers | {METADATA_PREFIX + name: value for name, value in manifest.metadata.items()}
