"""Reads and writes the records of objects and uploads at addresses derived from their names."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError
from stoatrouter.fronts.objects.extents import BadPiece, PieceAddress
from stoatrouter.fronts.objects.manifest import Manifest, Upload
from stoatrouter.fronts.objects.store import PieceStore
from stoatrouter.fronts.objects.tokens import Tokens

Record = TypeVar("Record", Manifest, Upload)


class RecordStore:
    """The records of all buckets; any head can find them, since addresses depend only on names."""

    def __init__(self, tokens: Tokens, shards: int) -> None:
        """Derive the addresses of records from the operator's secret.

        Args:
            tokens: Checks upload ids and derives addresses.
            shards: The number of shards that records are spread over; a record that was written while there
                were fewer is found too.
        """
        self.tokens = tokens
        self.shards = shards

    async def read_manifest(self, store: PieceStore, key: str) -> Manifest:
        """Read an object's manifest; raises ObjectError (NoSuchKey if there is none)."""
        for address in self._object_addresses(store, key):
            payload = await store.read_piece(address)
            if payload is None:
                continue  # it may have been written while there were fewer shards
            manifest = load_record(Manifest.load, payload)
            # The addresses of two names may collide; one object must never be returned for the other.
            if (manifest.bucket, manifest.key) == (store.bucket.name, key):
                return manifest
        raise ObjectError(ErrorCode.NO_SUCH_KEY, "there is no such object")

    async def write_manifest(self, store: PieceStore, manifest: Manifest) -> None:
        """Write the manifest, as the last write of an object: it makes the new content visible to readers."""
        await store.write_piece(manifest.dump(), self._object_addresses(store, manifest.key)[0])

    async def read_upload(self, store: PieceStore, key: str, upload_id: str) -> Upload:
        """Read an upload's record; raises ObjectError (NoSuchUpload if the id is not for this object)."""
        if not self.tokens.is_upload_id(store.bucket.name, key, upload_id):
            raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "there is no such upload")
        for address in self._upload_addresses(upload_id):
            if (payload := await store.read_piece(address)) is not None:
                return load_record(Upload.load, payload)
        raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "there is no such upload")

    async def write_upload(self, store: PieceStore, upload_id: str, upload: Upload) -> None:
        """Write an upload's record; raises ObjectError."""
        await store.write_piece(upload.dump(), self._upload_addresses(upload_id)[0])

    def _object_addresses(self, store: PieceStore, key: str) -> list[PieceAddress]:
        return self.tokens.derive_addresses("object", self.shards, store.bucket.name, key)

    def _upload_addresses(self, upload_id: str) -> list[PieceAddress]:
        return self.tokens.derive_addresses("upload-state", self.shards, upload_id)


def load_record(load: Callable[[bytes], Record], payload: bytes) -> Record:
    """Parse a record; raises ObjectError (InternalError) if it is malformed."""
    try:
        return load(payload)
    except BadPiece as error:
        raise ObjectError(ErrorCode.INTERNAL_ERROR, str(error)) from None
