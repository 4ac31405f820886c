"""The records of objects and uploads; each is one piece whose address is derived from its name."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field
from enum import StrEnum

from stoatrouter.fronts.objects.extents import BadPiece, Ref, pack_page, unpack_page

MAX_REFS = 64  # in the manifest itself; the manifest of a longer body refers to pages


@dataclass(slots=True, frozen=True)
class Manifest:
    """The record of an object: its name, size, metadata and references."""

    bucket: str
    key: str
    etag: str
    size: int
    modified: int  # Unix seconds
    refs: tuple[Ref, ...]
    content_type: str = "application/octet-stream"
    metadata: dict[str, str] = field(default_factory=dict)

    def dump(self) -> bytes:
        """Serialize the manifest to the JSON that its piece holds."""
        refs = base64.b64encode(pack_page(self.refs)).decode()
        return json.dumps(
            {
                "bucket": self.bucket,
                "key": self.key,
                "etag": self.etag,
                "size": self.size,
                "modified": self.modified,
                "refs": refs,
                "type": self.content_type,
                "metadata": self.metadata,
            },
            separators=(",", ":"),
        ).encode()

    @classmethod
    def load(cls, data: bytes) -> Manifest:
        """Parse the result of `dump`; raises BadPiece if the data is malformed."""
        try:
            fields = json.loads(data)
            manifest = cls(
                bucket=fields["bucket"],
                key=fields["key"],
                etag=fields["etag"],
                size=fields["size"],
                modified=fields["modified"],
                refs=tuple(unpack_page(base64.b64decode(fields["refs"]))),
                content_type=fields["type"],
                metadata=fields["metadata"],
            )
        except (ValueError, KeyError, TypeError) as error:
            raise BadPiece(f"not a manifest: {error}") from None
        # A manifest whose size differs from its extents' would give an answer the wrong Content-Length.
        if sum(ref.size for ref in manifest.refs) != manifest.size:
            raise BadPiece("a manifest's size is not that of its extents")
        return manifest


class UploadState(StrEnum):
    """The states of an upload; OPEN changes to one of the others, which are final."""

    OPEN = "open"
    ABORTED = "aborted"
    COMPLETE = "complete"


@dataclass(slots=True, frozen=True)
class Upload:
    """The record of an upload.

    Attributes:
        state: An UploadState; a state unknown to this version counts as final.
        content_type: The content type that the client gave when it initiated the upload.
        metadata: The metadata that the client gave when it initiated the upload.
        etag: The ETag that was returned for a complete upload.
    """

    state: str
    content_type: str
    metadata: dict[str, str]
    etag: str = ""

    def dump(self) -> bytes:
        """Serialize the record to the JSON that its piece holds."""
        return json.dumps(
            {"state": self.state, "type": self.content_type, "metadata": self.metadata, "etag": self.etag},
            separators=(",", ":"),
        ).encode()

    @classmethod
    def load(cls, data: bytes) -> Upload:
        """Parse the result of `dump`; raises BadPiece if the data is malformed."""
        try:
            fields = json.loads(data)
            return cls(fields["state"], fields["type"], fields["metadata"], fields["etag"])
        except (ValueError, KeyError, TypeError) as error:
            raise BadPiece(f"not an upload: {error}") from None
