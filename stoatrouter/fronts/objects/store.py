"""Reads and writes bodies as pieces, each with one request of the core under the volume's plan.

A rejection by the core is not retried here; it is passed on to the client at once, with its Retry-After.
"""

from __future__ import annotations

import hashlib
import math
import secrets
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.core import model
from stoatrouter.core.durations import from_microseconds
from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError
from stoatrouter.fronts.objects.extents import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_PIECE_BYTES,
    REFS_PER_PAGE,
    BadPiece,
    Overlap,
    PieceAddress,
    Ref,
    find_overlaps,
    frame,
    pack_page,
    unframe,
    unpack_page,
)
from stoatrouter.fronts.objects.settings import Bucket, ObjectSettings
from stoatrouter.fronts.objects.window import TaskWindow
from stoatrouter.policy import interface as api

Serve = Callable[[model.Request], Awaitable[model.Answer]]
MAX_PAGE_DEPTH = 4  # levels of pages; more than any body can need
NODE_FAILED_RETRY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, frozen=True)
class PieceTerms:
    """The part of a rule's decision that applies to a call's pieces, besides class and plan."""

    shard: int = -1  # shard of new pieces; -1: any node
    deadline: timedelta | None = None  # of each request; None: its class's deadline


DEFAULT_PIECE_TERMS = PieceTerms()


@dataclass(slots=True, frozen=True)
class CallTerms:
    """The settings for one call: those of the front and of the bucket, as changed by rules."""

    conf: ObjectSettings
    bucket: Bucket
    pieces: PieceTerms = DEFAULT_PIECE_TERMS


@dataclass(slots=True, frozen=True)
class WrittenBody:
    """A body that has been written to nodes."""

    refs: tuple[Ref, ...]
    md5: bytes
    size: int  # bytes


class PieceStore:
    """Reads and writes the pieces of one volume."""

    def __init__(self, serve: Serve, settings: api.Settings, terms: CallTerms) -> None:
        """Read and write under the terms of one call.

        Args:
            serve: Serves a request of the core and returns its answer with the complete body.
            settings: The platform's settings.
            terms: The call's classes, bucket and settings for pieces.
        """
        self.serve = serve
        self.settings = settings
        self.conf = terms.conf
        self.bucket = terms.bucket
        self.pieces = terms.pieces

    # -- single pieces ------------------------------------------------------------------------------------
    async def read_piece(self, address: PieceAddress, size: int = MAX_PAYLOAD_BYTES) -> bytes | None:
        """Read the payload of a piece.

        Args:
            address: The address of the piece.
            size: The payload's size in bytes, which sets the read's cost; MAX_PAYLOAD_BYTES if unknown.

        Returns:
            The payload; None if the piece was never written.

        Raises:
            ObjectError: The core rejects or fails the request, or a node returns a wrong piece.
        """
        request = self._create_request(self.conf.read_class, address, size + HEADER_BYTES)
        served = await self._serve(request)
        try:
            return unframe(address.piece, served.body)
        except BadPiece as error:
            raise ObjectError(ErrorCode.INTERNAL_ERROR, f"a node gave a wrong piece: {error}") from None

    async def write_piece(self, payload: bytes, address: PieceAddress | None = None) -> Ref:
        """Write a piece and return its reference.

        Args:
            payload: At most MAX_PAYLOAD_BYTES bytes.
            address: The address of the piece; None: a new one, on any node or on the shard given by rules.

        Raises:
            ObjectError: The core rejects or fails the request.
        """
        if address is None:
            address = PieceAddress(secrets.token_hex(8), self.pieces.shard)
        body = frame(address.piece, payload)
        served = await self._serve(self._create_request(self.conf.write_class, address, len(body), body))
        return Ref(address.piece, served.shard, len(payload))

    def _create_request(
        self, class_number: int, address: PieceAddress, size: int, body: bytes = b""
    ) -> model.Request:
        request_class = self.settings.classes[class_number]
        bucket = self.bucket
        return model.Request(
            id=secrets.token_hex(8),
            request_class=class_number,
            plan=bucket.plan,
            volume=bucket.volume,
            key=address.piece,
            shard=address.shard,
            units=self._count_units(size),
            hosts=bucket.hosts,
            time_left=self._limit_time(from_microseconds(request_class.deadline)),
            write=request_class.writes,
            method="PUT" if request_class.writes else "GET",
            target=f"/{request_class.name}/{bucket.volume}/{address.piece}",
            body=body,
            # a new key for each write: writing a manifest again is not a retry of the previous write
            idempotency_key=secrets.token_hex(8) if request_class.effect is api.Effect.IDEMPOTENT else None,
        )

    def _limit_time(self, class_deadline: timedelta) -> timedelta:
        """Return the time for a request: its class's deadline, or that given by rules if it is shorter."""
        return class_deadline if self.pieces.deadline is None else min(class_deadline, self.pieces.deadline)

    def _count_units(self, size: int) -> float:
        """Return the units of work for a size; a full piece costs as much as the largest request allowed."""
        return float(max(1, math.ceil(self.conf.max_units * size / MAX_PIECE_BYTES)))

    async def _serve(self, request: model.Request) -> model.Served:
        match await self.serve(request):
            case model.Served() as served:
                return served
            case model.Refused(retry_after):
                message = "the volume's plan or a node allows no more now"
                raise ObjectError(ErrorCode.SLOW_DOWN, message, retry_after)
            case _:
                message = "a node failed on the request"
                raise ObjectError(ErrorCode.INTERNAL_ERROR, message, NODE_FAILED_RETRY_AFTER)

    # -- bodies -------------------------------------------------------------------------------------------
    async def write_body(self, chunks: AsyncIterator[bytes]) -> WrittenBody:
        """Write a body while it arrives; raises ObjectError."""
        md5 = hashlib.md5(usedforsecurity=False)
        size = 0
        refs: list[Ref] = []
        async with TaskWindow[Ref](self.conf.window) as window:
            async for payload in split_payloads(chunks):
                md5.update(payload)
                size += len(payload)
                ref = await window.add(self.write_piece(payload))
                if ref is not None:
                    refs.append(ref)
            refs += [ref async for ref in window.drain()]
        return WrittenBody(tuple(refs), md5.digest(), size)

    async def write_ref_pages(self, refs: tuple[Ref, ...], limit: int) -> tuple[Ref, ...]:
        """Write levels of reference pages until at most `limit` references remain; raises ObjectError."""
        while len(refs) > limit:
            pages: list[Ref] = []
            for start in range(0, len(refs), REFS_PER_PAGE):
                children = refs[start : start + REFS_PER_PAGE]
                page = await self.write_piece(pack_page(children))
                depth = 1 + max(child.depth for child in children)
                pages.append(Ref(page.piece, page.shard, sum(child.size for child in children), depth))
            refs = tuple(pages)
        return refs

    async def read_body(self, refs: tuple[Ref, ...], start: int, stop: int) -> AsyncGenerator[bytes, None]:
        """Yield the bytes `start` to `stop` of a body in order, with some read-ahead; raises ObjectError."""
        async with TaskWindow[bytes](self.conf.window) as window:
            async for leaf in self._find_leaves(refs, start, stop):
                chunk = await window.add(self._read_leaf(leaf))
                if chunk is not None:
                    yield chunk
            async for chunk in window.drain():
                yield chunk

    async def _find_leaves(
        self, refs: tuple[Ref, ...], start: int, stop: int, level: int = 0
    ) -> AsyncIterator[Overlap]:
        """Yield the pieces that hold a range, reading only the pages that are needed for it."""
        # Stops at cyclic references.
        if level > MAX_PAGE_DEPTH:
            raise ObjectError(ErrorCode.INTERNAL_ERROR, "references lie too deep")
        for overlap in find_overlaps(refs, start, stop):
            if overlap.ref.depth == 0:
                yield overlap
                continue
            payload = await self._read_written(overlap.ref.address, MAX_PAYLOAD_BYTES)
            try:
                children = tuple(unpack_page(payload))
            except BadPiece as error:
                raise ObjectError(ErrorCode.INTERNAL_ERROR, str(error)) from None
            async for leaf in self._find_leaves(children, overlap.start, overlap.stop, level + 1):
                yield leaf

    async def _read_leaf(self, leaf: Overlap) -> bytes:
        payload = await self._read_written(leaf.ref.address, leaf.ref.size)
        # Content-Length was sent before this piece was read, so its size must match.
        if len(payload) != leaf.ref.size:
            raise ObjectError(ErrorCode.INTERNAL_ERROR, "a piece has another size than was written")
        return payload[leaf.start : leaf.stop]

    async def _read_written(self, address: PieceAddress, size: int) -> bytes:
        payload = await self.read_piece(address, size)
        if payload is None:
            raise ObjectError(ErrorCode.INTERNAL_ERROR, "a piece that was written is not there")
        return payload


async def split_payloads(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Split a body into payloads of MAX_PAYLOAD_BYTES bytes; the last one may be shorter."""
    buffer = bytearray()
    async for chunk in chunks:
        buffer += chunk
        while len(buffer) >= MAX_PAYLOAD_BYTES:
            yield bytes(buffer[:MAX_PAYLOAD_BYTES])
            del buffer[:MAX_PAYLOAD_BYTES]
    if buffer:
        yield bytes(buffer)
