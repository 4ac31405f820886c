"""Calls of multipart uploads: an object is written in parts, and each call may reach another head.

The upload's record holds its state. Only the client knows which parts exist, by the ETags that it got for
them (`stoatrouter.fronts.objects.tokens`).
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import AsyncIterator, Sequence

from aiohttp import web

from stoatrouter.fronts.objects.calls import Call
from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError
from stoatrouter.fronts.objects.headers import check_md5, read_content_headers
from stoatrouter.fronts.objects.manifest import MAX_REFS, Manifest, Upload, UploadState
from stoatrouter.fronts.objects.record_store import RecordStore
from stoatrouter.fronts.objects.tokens import Part, Tokens
from stoatrouter.fronts.objects.transfer import receive_body
from stoatrouter.fronts.objects.xml_bodies import ListedPart, parse_part_list, xml_response

MAX_PARTS = 10_000
MAX_PART_LIST_BYTES = 4 << 20


class UploadCalls:
    """Serves the calls of multipart uploads."""

    def __init__(self, records: RecordStore, tokens: Tokens) -> None:
        """Serve calls on the uploads of these records.

        Args:
            records: The records of uploads and the manifests of objects.
            tokens: Issues and checks upload ids and the ETags of parts.
        """
        self.records = records
        self.tokens = tokens

    async def initiate(self, call: Call) -> web.StreamResponse:
        """Open an upload and return its id; raises ObjectError."""
        content = read_content_headers(call.request.headers)
        bucket = call.store.bucket.name
        upload_id = self.tokens.issue_upload_id(bucket, call.key)
        upload = Upload(UploadState.OPEN, content.content_type, content.metadata)
        await self.records.write_upload(call.store, upload_id, upload)
        return xml_response("InitiateMultipartUploadResult", Bucket=bucket, Key=call.key, UploadId=upload_id)

    async def write_part(self, call: Call) -> web.StreamResponse:
        """Store a part and return its ETag; raises ObjectError."""
        upload_id = call.query["uploadId"]
        number = parse_part_number(call.query["partNumber"])
        upload = await self.records.read_upload(call.store, call.key, upload_id)
        if upload.state != UploadState.OPEN:
            raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "the upload is over")
        body = await call.store.write_body(receive_body(call.request))
        check_md5(call.request.headers, body.md5)
        refs = await call.store.write_ref_pages(body.refs, 1)
        part = Part(number, body.md5, refs[0] if refs else None)
        return web.Response(headers={"ETag": f'"{self.tokens.issue_part_etag(upload_id, part)}"'})

    async def complete(self, call: Call) -> web.StreamResponse:
        """Create the object from the parts that the client lists; a retry gets the same answer.

        Raises:
            ObjectError: The list is malformed, or the upload has ended with another result.
        """
        if (call.request.content_length or 0) > MAX_PART_LIST_BYTES:
            raise ObjectError(ErrorCode.MALFORMED_XML, "the list of parts is too long")
        upload_id = call.query["uploadId"]
        upload = await self.records.read_upload(call.store, call.key, upload_id)
        part_list = await read_all(receive_body(call.request), MAX_PART_LIST_BYTES)
        parts = self._check_parts(upload_id, parse_part_list(part_list))
        etag = multipart_etag(parts)
        if upload.state == UploadState.OPEN:
            await self._write_object(call, upload, parts, etag)
            completed = Upload(UploadState.COMPLETE, upload.content_type, upload.metadata, etag)
            await self.records.write_upload(call.store, upload_id, completed)
        elif (upload.state, upload.etag) != (UploadState.COMPLETE, etag):
            raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "the upload is over")
        return xml_response(
            "CompleteMultipartUploadResult",
            Bucket=call.store.bucket.name,
            Key=call.key,
            ETag=f'"{etag}"',
        )

    async def abort(self, call: Call) -> web.StreamResponse:
        """End an upload without creating an object; raises ObjectError if it is complete."""
        upload_id = call.query["uploadId"]
        upload = await self.records.read_upload(call.store, call.key, upload_id)
        if upload.state == UploadState.COMPLETE:
            raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "the upload is over")
        aborted = Upload(UploadState.ABORTED, upload.content_type, {})
        await self.records.write_upload(call.store, upload_id, aborted)
        return web.Response(status=204)

    async def _write_object(self, call: Call, upload: Upload, parts: Sequence[Part], etag: str) -> None:
        refs = tuple(part.ref for part in parts if part.ref is not None)
        manifest = Manifest(
            bucket=call.store.bucket.name,
            key=call.key,
            etag=etag,
            size=sum(ref.size for ref in refs),
            refs=await call.store.write_ref_pages(refs, MAX_REFS),
            modified=int(time.time()),
            content_type=upload.content_type,
            metadata=upload.metadata,
        )
        await self.records.write_manifest(call.store, manifest)

    def _check_parts(self, upload_id: str, listed: Sequence[ListedPart]) -> list[Part]:
        """Check each listed part against its ETag; raises ObjectError."""
        if not listed or len(listed) > MAX_PARTS:
            raise ObjectError(ErrorCode.MALFORMED_XML, f"a list of 1 to {MAX_PARTS} parts is needed")
        parts: list[Part] = []
        for number, etag in listed:
            part = self.tokens.read_part(upload_id, etag)
            # A forged ETag, or one of another upload or part, must not give access to any piece.
            if part is None or part.number != number:
                raise ObjectError(ErrorCode.INVALID_PART, f"part {number} is not one of this upload's")
            if parts and parts[-1].number >= number:
                raise ObjectError(ErrorCode.INVALID_PART_ORDER, "parts are not in ascending order")
            parts.append(part)
        return parts


def parse_part_number(text: str) -> int:
    """Parse the number of a part; raises ObjectError if it is not from 1 to MAX_PARTS."""
    if not text.isascii() or not text.isdigit() or not 1 <= int(text[:9]) <= MAX_PARTS:
        raise ObjectError(ErrorCode.INVALID_ARGUMENT, f"partNumber is not from 1 to {MAX_PARTS}")
    return int(text)


def multipart_etag(parts: Sequence[Part]) -> str:
    """Compute a multipart object's ETag as S3 does: the MD5 of the parts' MD5s, and the number of parts."""
    digest = hashlib.md5(b"".join(part.md5 for part in parts), usedforsecurity=False).hexdigest()
    return f"{digest}-{len(parts)}"


async def read_all(chunks: AsyncIterator[bytes], limit: int) -> bytes:
    """Read a body into memory; raises ObjectError (MalformedXML) if it exceeds `limit` bytes."""
    data = bytearray()
    async for chunk in chunks:
        data += chunk
        if len(data) > limit:
            raise ObjectError(ErrorCode.MALFORMED_XML, "the list of parts is too long")
    return bytes(data)
