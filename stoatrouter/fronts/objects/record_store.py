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
            shards: The number of shards that records are spread over.
        """
        self.tokens = tokens
        self.shards = shards

    async def read_manifest(self, store: PieceStore, key: str) -> Manifest:
        """Read an object's manifest; raises ObjectError (NoSuchKey if there is none)."""
        payload = await store.read_piece(self._object_address(store, key))
        if payload is None:
            raise ObjectError(ErrorCode.NO_SUCH_KEY, "there is no such object")
        manifest = load_record(Manifest.load, payload)
        # The addresses of two names may collide; one object must never be returned for the other.
        if (manifest.bucket, manifest.key) != (store.bucket.name, key):
            raise ObjectError(ErrorCode.NO_SUCH_KEY, "there is no such object")
        return manifest

    async def write_manifest(self, store: PieceStore, manifest: Manifest) -> None:
        """Write the manifest, as the last write of an object: it makes the new content visible to readers."""
        await store.write_piece(manifest.dump(), self._object_address(store, manifest.key))

    async def read_upload(self, store: PieceStore, key: str, upload_id: str) -> Upload:
        """Read an upload's record; raises ObjectError (NoSuchUpload if the id is not for this object)."""
        if not self.tokens.is_upload_id(store.bucket.name, key, upload_id):
            raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "there is no such upload")
        payload = await store.read_piece(self._upload_address(upload_id))
        if payload is None:
            raise ObjectError(ErrorCode.NO_SUCH_UPLOAD, "there is no such upload")
        return load_record(Upload.load, payload)

    async def write_upload(self, store: PieceStore, upload_id: str, upload: Upload) -> None:
        """Write an upload's record; raises ObjectError."""
        await store.write_piece(upload.dump(), self._upload_address(upload_id))

    def _object_address(self, store: PieceStore, key: str) -> PieceAddress:
        return self.tokens.derive_address("object", self.shards, store.bucket.name, key)

    def _upload_address(self, upload_id: str) -> PieceAddress:
        return self.tokens.derive_address("upload-state", self.shards, upload_id)


def load_record(load: Callable[[bytes], Record], payload: bytes) -> Record:
    """Parse a record; raises ObjectError (InternalError) if it is malformed."""
    try:
        return load(payload)
    except BadPiece as error:
        raise ObjectError(ErrorCode.INTERNAL_ERROR, str(error)) from None
