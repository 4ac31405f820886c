"""The object API: calls of the S3 protocol, served by requests of the core."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import secrets
import time
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from urllib.parse import parse_qsl, unquote

from aiohttp import web
from loguru import logger

from stoatrouter.fronts.objects import ranges
from stoatrouter.fronts.objects.errors import ObjectError, error_response
from stoatrouter.fronts.objects.extents import BadPiece
from stoatrouter.fronts.objects.headers import META, check_md5, read_metadata
from stoatrouter.fronts.objects.manifest import MOST_REFS, Manifest, Upload
from stoatrouter.fronts.objects.settings import Bucket, ObjectSettings
from stoatrouter.fronts.objects.store import Pieces, Serve, Store
from stoatrouter.fronts.objects.tokens import Part, Tokens
from stoatrouter.fronts.objects.xml_bodies import read_parts, xml_response
from stoatrouter.net.listener import Drain
from stoatrouter.policy import interface as api

LONGEST_KEY = 1024  # bytes, as clients of this protocol know it
LARGEST_BODY = 5 << 30
MOST_PARTS, LARGEST_XML = 10_000, 4 << 20
STALL = timedelta(seconds=60)  # how long a client may send or read nothing
# Query fields of calls that are served; any other names a call that is not.
FIELDS = {"uploads", "uploadId", "partNumber", "x-id"}
NOT_SERVED = (
    "x-amz-copy-source",
    "x-amz-tagging",
    "x-amz-object-lock-mode",
    "x-amz-acl",
    "x-amz-server-side-encryption",
    "x-amz-server-side-encryption-customer-algorithm",
    "x-amz-website-redirect-location",
)
OPERATIONS = {
    ("GET",): "read",
    ("HEAD",): "read",
    ("PUT",): "write",
    ("POST", "uploads"): "initiate",
    ("PUT", "partNumber", "uploadId"): "write-part",
    ("POST", "uploadId"): "complete",
    ("DELETE", "uploadId"): "abort",
}
Choose = Callable[[web.BaseRequest, ObjectSettings, Bucket, str, str], tuple[ObjectSettings, Bucket, Pieces]]


class ObjectFront:
    """Serves the object API; it keeps no state between calls."""

    def __init__(
        self,
        serve: Serve,
        settings: api.Settings,
        conf: ObjectSettings,
        drain: Drain,
        choose: Choose | None = None,
    ) -> None:
        self.serve, self.settings, self.conf, self.drain = serve, settings, conf, drain
        self.choose = choose  # what rules say of a call; None: the file's classes hold for all
        self.tokens = Tokens(conf.secret)
        self.operations = 0

    # -- routing ------------------------------------------------------------------------------------------
    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call with one final answer."""
        if request.raw_path == "/healthz":
            return self.drain.mark(self.drain.health())
        name = secrets.token_hex(8)
        self.operations += 1
        try:
            # Guards memory: each operation holds a few pieces.
            if self.operations > self.conf.max_operations or self.drain.overloaded():
                raise ObjectError("SlowDown", "too many operations at once", timedelta(seconds=1))
            response = await self._route(request)
        except ObjectError as error:
            response = self._failed(request, error, name)
        except Exception:
            # Guards the client's one final answer against a fault of our own.
            logger.exception(
                "objects: {request} failed in an unforeseen way", event="objects.fault", request=name
            )
            response = self._failed(request, ObjectError("InternalError", "the call failed"), name)
        finally:
            self.operations -= 1
        if not response.prepared:
            response.headers["x-amz-request-id"] = name
            self.drain.mark(response)
        return response

    def _failed(self, request: web.BaseRequest, error: ObjectError, name: str) -> web.StreamResponse:
        if error.code == "InternalError":
            logger.warning(
                "objects: {request} {method}: {reason}",
                event="objects.failed",
                request=name,
                method=request.method,
                reason=error.message,
            )
        path = request.raw_path.partition("?")[0]
        response = error_response(error, unquote(path, errors="replace"), name, request.method != "HEAD")
        if request.body_exists and not request.content.is_eof():
            response.force_close()  # what is left of the body is not read
        return response

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path, _, query = request.raw_path.partition("?")
        fields = dict(parse_qsl(query, keep_blank_values=True))
        bucket, key = self._names(path)
        if unknown := fields.keys() - FIELDS:
            raise ObjectError("NotImplemented", f"not served: {min(unknown)}")
        for header in NOT_SERVED:
            if header in request.headers:
                raise ObjectError("NotImplemented", f"not served: {header}")
        shape = (request.method, *sorted(fields.keys() - {"x-id"}))
        store = self._store(request, bucket, key, OPERATIONS.get(shape, "other"))
        match shape:
            case ("GET" | "HEAD",):
                return await self._read(request, store, key)
            case ("PUT",):
                return await self._put(request, store, key)
            case ("POST", "uploads"):
                return await self._initiate(request, store, key)
            case ("PUT", "partNumber", "uploadId"):
                return await self._put_part(request, store, key, fields["uploadId"], fields["partNumber"])
            case ("POST", "uploadId"):
                return await self._complete(request, store, key, fields["uploadId"])
            case ("DELETE", "uploadId"):
                return await self._abort(store, key, fields["uploadId"])
        raise ObjectError("NotImplemented", "this call is not served")

    def _store(self, request: web.BaseRequest, bucket: Bucket, key: str, operation: str) -> Store:
        """The pieces of a bucket, as this call is to have them."""
        if self.choose is None:
            return Store(self.serve, self.settings, self.conf, bucket)
        return Store(self.serve, self.settings, *self.choose(request, self.conf, bucket, key, operation))

    def _names(self, path: str) -> tuple[Bucket, str]:
        """The bucket and key of a path; the key is taken as it is once its escapes are undone."""
        name, slash, rest = path.removeprefix("/").partition("/")
        if not name or not rest:
            raise ObjectError("NotImplemented", "calls on buckets and listings are not served")
        if name not in self.conf.buckets:
            raise ObjectError("NoSuchBucket", "there is no such bucket")
        try:
            key = unquote(rest, errors="strict")
        except UnicodeDecodeError:
            raise ObjectError("InvalidArgument", "the key is not UTF-8") from None
        if len(key.encode()) > LONGEST_KEY:
            raise ObjectError("KeyTooLongError", f"a key has at most {LONGEST_KEY} bytes")
        return self.conf.buckets[name], key

    # -- whole objects ------------------------------------------------------------------------------------
    async def _manifest(self, store: Store, key: str) -> Manifest:
        piece, shard = self._object_place(store, key)
        payload = await store.read_piece(piece, shard)
        if payload is None:
            raise ObjectError("NoSuchKey", "there is no such object")
        found = load_checked(Manifest, payload)
        # Guards against two names whose places fall together: one is never answered with the other.
        if (found.bucket, found.key) != (store.bucket.name, key):
            raise ObjectError("NoSuchKey", "there is no such object")
        return found

    def _object_place(self, store: Store, key: str) -> tuple[str, int]:
        return self.tokens.place("object", self.conf.shards, store.bucket.name, key)

    async def _read(self, request: web.BaseRequest, store: Store, key: str) -> web.StreamResponse:
        found = await self._manifest(store, key)
        headers = {
            "ETag": f'"{found.etag}"',
            "Last-Modified": ranges.http_date(found.modified),
            "Accept-Ranges": "bytes",
            "Content-Type": found.content_type,
        }
        headers |= {META + k: v for k, v in found.metadata.items()}
        if not ranges.check_preconditions(request.headers, found.etag, found.modified):
            return web.Response(status=304, headers=headers)
        part = ranges.wanted_range(request.headers, found.etag, found.modified, found.size)
        start, stop = part or (0, found.size)
        if part is not None:
            headers["Content-Range"] = f"bytes {start}-{stop - 1}/{found.size}"
        headers["Content-Length"] = str(stop - start)
        response = web.StreamResponse(status=200 if part is None else 206, headers=headers)
        self.drain.mark(response)
        if request.method == "HEAD":
            await response.prepare(request)
            return response
        async with contextlib.aclosing(store.read_body(found.refs, start, stop)) as body:
            await self._send(request, response, body)
        return response

    async def _send(
        self, request: web.BaseRequest, response: web.StreamResponse, body: AsyncIterator[bytes]
    ) -> None:
        """Send a body. Its first piece is read before the status goes out, so a refusal can still be told."""
        first = await anext(body, b"")
        await response.prepare(request)
        try:
            await self._write(response, first)
            async for chunk in body:
                await self._write(response, chunk)
        except (ObjectError, TimeoutError) as error:
            # Guards against a short answer taken for a whole one: the connection breaks before the length
            # that was promised, which a client can see; it may ask for the rest by a range.
            logger.warning(
                "objects: an answer was cut: {reason}",
                event="objects.cut",
                reason=str(error) or "its reader stalled",
            )
            if request.transport is not None:
                request.transport.abort()
            response.force_close()
            return
        await response.write_eof()

    async def _write(self, response: web.StreamResponse, chunk: bytes) -> None:
        async with asyncio.timeout(STALL.total_seconds()):
            await response.write(chunk)

    async def _put(self, request: web.BaseRequest, store: Store, key: str) -> web.StreamResponse:
        # Guards against a promise that cannot be kept: two heads may write at once, none sees the other.
        if "If-Match" in request.headers or "If-None-Match" in request.headers:
            raise ObjectError("NotImplemented", "conditional writes are not served")
        kind, metadata = read_metadata(request.headers)
        refs, md5, size = await store.write_body(self._body(request))
        check_md5(request.headers, md5)
        etag = md5.hex()
        refs = await store.fold(refs, MOST_REFS)
        await self._write_manifest(
            store, key, Manifest(store.bucket.name, key, etag, size, int(time.time()), refs, kind, metadata)
        )
        return web.Response(headers={"ETag": f'"{etag}"'})

    async def _write_manifest(self, store: Store, key: str, manifest: Manifest) -> None:
        """The last write of an object: before it, readers see what was there; after it, the new one."""
        await store.write_piece(manifest.dump(), *self._object_place(store, key))

    async def _body(self, request: web.BaseRequest) -> AsyncIterator[bytes]:
        """A call's body as it comes in, of exactly the length that was stated."""
        encoding = request.headers.get("Content-Encoding", "")
        signed = request.headers.get("x-amz-content-sha256", "").startswith("STREAMING")
        # Guards against framing that would be stored as if it were the object's bytes.
        if signed or "aws-chunked" in encoding:
            raise ObjectError("NotImplemented", "signed chunks are not served: send the body as it is")
        length = request.content_length
        if length is None:
            raise ObjectError("MissingContentLength", "Content-Length is needed")
        if length > LARGEST_BODY:
            raise ObjectError("EntityTooLarge", "a body has at most 5 GiB")
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        size = 0
        while chunk := await self._next_chunk(request):
            size += len(chunk)
            yield chunk
        if size != length:  # the client went away: what has come is no object
            raise ObjectError("IncompleteBody", "the body ended early")

    async def _next_chunk(self, request: web.BaseRequest) -> bytes:
        try:
            async with asyncio.timeout(STALL.total_seconds()):
                return await request.content.readany()
        except TimeoutError:
            # Guards the operations that may run at once: a client that stalls must not hold one for ever.
            raise ObjectError("RequestTimeout", "the body stalled") from None

    # -- multipart uploads --------------------------------------------------------------------------------
    async def _upload(self, store: Store, key: str, upload: str) -> Upload:
        """An upload's state, as it lies on its node."""
        if not self.tokens.is_upload(store.bucket.name, key, upload):
            raise ObjectError("NoSuchUpload", "there is no such upload")
        payload = await store.read_piece(*self._upload_place(upload))
        if payload is None:
            raise ObjectError("NoSuchUpload", "there is no such upload")
        return load_checked(Upload, payload)

    def _upload_place(self, upload: str) -> tuple[str, int]:
        return self.tokens.place("upload-state", self.conf.shards, upload)

    async def _initiate(self, request: web.BaseRequest, store: Store, key: str) -> web.StreamResponse:
        kind, metadata = read_metadata(request.headers)
        upload = self.tokens.new_upload(store.bucket.name, key)
        await store.write_piece(Upload("open", kind, metadata).dump(), *self._upload_place(upload))
        return xml_response(
            "InitiateMultipartUploadResult", Bucket=store.bucket.name, Key=key, UploadId=upload
        )

    async def _put_part(
        self, request: web.BaseRequest, store: Store, key: str, upload: str, number: str
    ) -> web.StreamResponse:
        if not number.isascii() or not number.isdigit() or not 1 <= int(number[:9]) <= MOST_PARTS:
            raise ObjectError("InvalidArgument", f"partNumber is not from 1 to {MOST_PARTS}")
        if (await self._upload(store, key, upload)).state != "open":
            raise ObjectError("NoSuchUpload", "the upload is over")
        refs, md5, _ = await store.write_body(self._body(request))
        check_md5(request.headers, md5)
        refs = await store.fold(refs, 1)
        part = Part(int(number), md5, refs[0] if refs else None)
        return web.Response(headers={"ETag": f'"{self.tokens.part_etag(upload, part)}"'})

    async def _complete(
        self, request: web.BaseRequest, store: Store, key: str, upload: str
    ) -> web.StreamResponse:
        if (request.content_length or 0) > LARGEST_XML:
            raise ObjectError("MalformedXML", "the list of parts is too long")
        state = await self._upload(store, key, upload)
        parts = self._listed_parts(upload, read_parts(await read_all(self._body(request), LARGEST_XML)))
        etag = hashlib.md5(b"".join(p.md5 for p in parts), usedforsecurity=False).hexdigest()
        etag += f"-{len(parts)}"
        if state.state == "open":
            refs = tuple(p.ref for p in parts if p.ref is not None)
            size = sum(r.size for r in refs)
            refs = await store.fold(refs, MOST_REFS)
            await self._write_manifest(
                store,
                key,
                Manifest(
                    store.bucket.name,
                    key,
                    etag,
                    size,
                    int(time.time()),
                    refs,
                    state.content_type,
                    state.metadata,
                ),
            )
            done = Upload("complete", state.content_type, state.metadata, etag)
            await store.write_piece(done.dump(), *self._upload_place(upload))
        elif (state.state, state.etag) != ("complete", etag):
            raise ObjectError("NoSuchUpload", "the upload is over")  # else: asked again, the same answer
        return xml_response(
            "CompleteMultipartUploadResult", Bucket=store.bucket.name, Key=key, ETag=f'"{etag}"'
        )

    def _listed_parts(self, upload: str, listed: list[tuple[int, str]]) -> list[Part]:
        """The parts that a client names, each checked against its ETag."""
        if not listed or len(listed) > MOST_PARTS:
            raise ObjectError("MalformedXML", f"a list of 1 to {MOST_PARTS} parts is needed")
        parts = []
        for number, etag in listed:
            part = self.tokens.read_part(upload, etag)
            # Guards placement: an ETag made up, or of another upload or part, names no piece to be read.
            if part is None or part.number != number:
                raise ObjectError("InvalidPart", f"part {number} is not one of this upload's")
            if parts and parts[-1].number >= number:
                raise ObjectError("InvalidPartOrder", "parts are not in ascending order")
            parts.append(part)
        return parts

    async def _abort(self, store: Store, key: str, upload: str) -> web.StreamResponse:
        state = await self._upload(store, key, upload)
        if state.state == "complete":
            raise ObjectError("NoSuchUpload", "the upload is over")
        await store.write_piece(Upload("aborted", state.content_type, {}).dump(), *self._upload_place(upload))
        return web.Response(status=204)


def load_checked(kind: type, payload: bytes):  # noqa: ANN201 - the kind that was asked for
    """Load a manifest or an upload's state; raises ObjectError (InternalError) where it is malformed."""
    try:
        return kind.load(payload)
    except BadPiece as error:
        raise ObjectError("InternalError", str(error)) from None


async def read_all(chunks: AsyncIterator[bytes], most: int) -> bytes:
    """Read a body into memory; raises ObjectError (MalformedXML) beyond `most` bytes."""
    data = bytearray()
    async for chunk in chunks:
        data += chunk
        if len(data) > most:
            raise ObjectError("MalformedXML", "the list of parts is too long")
    return bytes(data)
