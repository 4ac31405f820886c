"""Bodies as requests of the core: written piece by piece, read range by range.

Each piece is one request of the core under its volume's plan. A refusal of the core is not retried here; the
client gets it at once with the time to come back.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import secrets
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Generic, TypeVar

from stoatrouter.core import model
from stoatrouter.core.spans import span
from stoatrouter.fronts.objects.errors import ObjectError
from stoatrouter.fronts.objects.extents import (
    PAGE_REFS,
    PAYLOAD,
    PIECE,
    BadPiece,
    Ref,
    frame,
    overlapping,
    pack_page,
    unframe,
    unpack_page,
)
from stoatrouter.fronts.objects.settings import Bucket, ObjectSettings
from stoatrouter.policy import interface as api

Serve = Callable[[model.Request], Awaitable[model.Answer]]
Done = TypeVar("Done")
DEEPEST = 4  # pages upon pages; more than any body can need


@dataclass(slots=True, frozen=True)
class Pieces:
    """What rules say of a call's pieces, besides their classes and plan."""

    shard: int = -1  # where new ones go; -1: to any node
    deadline: timedelta | None = None  # of each; None: its class's


ANYWHERE = Pieces()


class Store:
    """Reads and writes the pieces of one volume."""

    def __init__(
        self,
        serve: Serve,
        settings: api.Settings,
        conf: ObjectSettings,
        bucket: Bucket,
        pieces: Pieces = ANYWHERE,
    ) -> None:
        self.serve, self.settings, self.conf, self.bucket, self.pieces = serve, settings, conf, bucket, pieces

    # -- single pieces ------------------------------------------------------------------------------------
    async def read_piece(self, piece: str, shard: int, size: int = PAYLOAD) -> bytes | None:
        """The payload of a piece; None where it was never written. Raises ObjectError."""
        served = await self._ask(self._request(self.conf.read_class, piece, shard, size + PIECE - PAYLOAD))
        try:
            return unframe(piece, served.body)
        except BadPiece as error:
            raise ObjectError("InternalError", f"a node gave a wrong piece: {error}") from None

    async def write_piece(self, payload: bytes, piece: str | None = None, shard: int = -1) -> Ref:
        """Write a piece; returns its reference.

        A new piece goes to any node, or where rules say; a named one goes to its own shard. Raises
        ObjectError.
        """
        if piece is None:
            piece, shard = secrets.token_hex(8), self.pieces.shard
        body = frame(piece, payload)
        served = await self._ask(self._request(self.conf.write_class, piece, shard, len(body), body))
        return Ref(piece, served.shard, len(payload))

    def _request(self, kind: int, piece: str, shard: int, size: int, body: bytes = b"") -> model.Request:
        chosen, bucket = self.settings.classes[kind], self.bucket
        keyed = chosen.effect is api.Effect.IDEMPOTENT
        time_left = span(chosen.deadline)
        if self.pieces.deadline is not None:
            time_left = min(time_left, self.pieces.deadline)
        return model.Request(
            id=secrets.token_hex(8),
            request_class=kind,
            plan=bucket.plan,
            volume=bucket.volume,
            key=piece,
            shard=shard,
            units=self._units(size),
            hosts=bucket.hosts,
            time_left=time_left,
            write=chosen.writes,
            method="PUT" if chosen.writes else "GET",
            target=f"/{chosen.name}/{bucket.volume}/{piece}",
            body=body,
            # fresh for each writing: a manifest written anew is no repeat of the one before
            idempotency_key=secrets.token_hex(8) if keyed else None,
        )

    def _units(self, size: int) -> float:
        """Units by size: a full piece counts as the largest request there is."""
        return float(max(1, math.ceil(self.conf.max_units * size / PIECE)))

    async def _ask(self, request: model.Request) -> model.Served:
        match await self.serve(request):
            case model.Served() as served:
                return served
            case model.Refused(retry_in):
                raise ObjectError("SlowDown", "the volume's plan or a node allows no more now", retry_in)
            case _:
                raise ObjectError("InternalError", "a node failed on the request", timedelta(seconds=1))

    # -- bodies -------------------------------------------------------------------------------------------
    async def write_body(self, chunks: AsyncIterator[bytes]) -> tuple[tuple[Ref, ...], bytes, int]:
        """Write a body as it arrives; returns its references, MD5 and size in bytes."""
        md5, size = hashlib.md5(usedforsecurity=False), 0

        async def payloads() -> AsyncIterator[bytes]:
            nonlocal size
            async for payload in in_payloads(chunks):
                md5.update(payload)
                size += len(payload)
                yield payload

        window = Window[Ref](self.conf.window)
        refs: list[Ref] = []
        async with window:
            async for payload in payloads():
                if (done := await window.add(self.write_piece(payload))) is not None:
                    refs.append(done)
            refs += [ref async for ref in window.rest()]
        return tuple(refs), md5.digest(), size

    async def fold(self, refs: tuple[Ref, ...], most: int) -> tuple[Ref, ...]:
        """Write pages of references until at most `most` references are left."""
        while len(refs) > most:
            pages = []
            for i in range(0, len(refs), PAGE_REFS):
                below = refs[i : i + PAGE_REFS]
                page = await self.write_piece(pack_page(below))
                depth = 1 + max(r.depth for r in below)
                pages.append(Ref(page.piece, page.shard, sum(r.size for r in below), depth))
            refs = tuple(pages)
        return refs

    async def read_body(self, refs: tuple[Ref, ...], start: int, stop: int) -> AsyncIterator[bytes]:
        """The bytes start to stop of a body, in order, read a little ahead."""
        window = Window[bytes](self.conf.window)
        async with window:
            async for ref, low, high in self._leaves(refs, start, stop):
                if (done := await window.add(self._part_of(ref, low, high))) is not None:
                    yield done
            async for done in window.rest():
                yield done

    async def _leaves(
        self, refs: tuple[Ref, ...], start: int, stop: int, level: int = 0
    ) -> AsyncIterator[tuple[Ref, int, int]]:
        """The pieces that hold a range; of the pages above them only those that are needed are read."""
        # Guards against references that lead back to themselves.
        if level > DEEPEST:
            raise ObjectError("InternalError", "references lie too deep")
        for ref, low, high in overlapping(refs, start, stop):
            if ref.depth == 0:
                yield ref, low, high
                continue
            payload = await self._known(ref.piece, ref.shard, PAYLOAD)
            try:
                below = tuple(unpack_page(payload))
            except BadPiece as error:
                raise ObjectError("InternalError", str(error)) from None
            async for leaf in self._leaves(below, low, high, level + 1):
                yield leaf

    async def _part_of(self, ref: Ref, low: int, high: int) -> bytes:
        payload = await self._known(ref.piece, ref.shard, ref.size)
        # Guards an answer's length: it was promised before this piece was read.
        if len(payload) != ref.size:
            raise ObjectError("InternalError", "a piece has another size than was written")
        return payload[low:high]

    async def _known(self, piece: str, shard: int, size: int) -> bytes:
        payload = await self.read_piece(piece, shard, size)
        if payload is None:
            raise ObjectError("InternalError", "a piece that was written is not there")
        return payload


class Window(Generic[Done]):
    """A few tasks at a time, with their results in order; leaving the window cancels the rest."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.tasks: deque[asyncio.Task[Done]] = deque()

    async def __aenter__(self) -> Window[Done]:
        return self

    async def __aexit__(self, *_: object) -> None:
        # Guards against attempts that go on for a client that has gone, or behind one that failed.
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def add(self, work: Coroutine[Any, Any, Done]) -> Done | None:
        """Start one more task; where that fills the window, wait for the oldest and return its result."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return await self._oldest() if len(self.tasks) >= self.most else None

    async def rest(self) -> AsyncIterator[Done]:
        """The results of what is still under way, in order."""
        while self.tasks:
            yield await self._oldest()

    async def _oldest(self) -> Done:
        done = await self.tasks[0]  # it stays listed until it is over: leaving the window ends it too
        self.tasks.popleft()
        return done


async def in_payloads(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Cut a body into payloads of PAYLOAD bytes, and a last one."""
    held = bytearray()
    async for chunk in chunks:
        held += chunk
        while len(held) >= PAYLOAD:
            yield bytes(held[:PAYLOAD])
            del held[:PAYLOAD]
    if held:
        yield bytes(held)
