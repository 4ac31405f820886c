"""The records of objects and uploads, each in one piece whose place follows from its name."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field

from stoatrouter.fronts.objects.extents import BadPiece, Ref, pack_page, unpack_page

MOST_REFS = 64  # told in the manifest itself; of longer bodies it tells pages


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
        """The manifest as JSON, as it is written to its piece."""
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
        """Read what dump wrote; raises BadPiece where it is anything else."""
        try:
            d = json.loads(data)
            refs = tuple(unpack_page(base64.b64decode(d["refs"])))
            found = cls(
                d["bucket"], d["key"], d["etag"], d["size"], d["modified"], refs, d["type"], d["metadata"]
            )
        except (ValueError, KeyError, TypeError) as error:
            raise BadPiece(f"not a manifest: {error}") from None
        # Guards reads against a manifest whose extents and size differ: an answer's length would be wrong.
        if sum(r.size for r in refs) != found.size:
            raise BadPiece("a manifest's size is not that of its extents")
        return found


@dataclass(slots=True, frozen=True)
class Upload:
    """The record of an upload: open, aborted, or complete with the ETag that was returned."""

    state: str
    content_type: str
    metadata: dict[str, str]
    etag: str = ""

    def dump(self) -> bytes:
        """The state as JSON, as it is written to its piece."""
        return json.dumps(
            {"state": self.state, "type": self.content_type, "metadata": self.metadata, "etag": self.etag},
            separators=(",", ":"),
        ).encode()

    @classmethod
    def load(cls, data: bytes) -> Upload:
        """Read what dump wrote; raises BadPiece where it is anything else."""
        try:
            d = json.loads(data)
            return cls(d["state"], d["type"], d["metadata"], d["etag"])
        except (ValueError, KeyError, TypeError) as error:
            raise BadPiece(f"not an upload: {error}") from None
