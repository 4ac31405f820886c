"""A client of the object API, and a head with the object front in front of scripted nodes."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections import Counter
from pathlib import Path

import aiohttp
import msgspec

from stoatrouter.config import Config
from stoatrouter.fronts.objects.extents import MAX_PAYLOAD_BYTES
from stoatrouter.fronts.objects.settings import ObjectSettings, ObjectsFile, check_settings
from stoatrouter.head import Head
from tests.peers import HOST, Node, head_config, nodes_up

SECRET = b"a secret of at least thirty-two bytes"
OPERATOR = {
    "listen": f"{HOST}:0",
    "secret_file": "objects.secret",
    "read_class": "stats-export",
    "write_class": "event-write",
    "window": 3,
    "buckets": {
        "footage": {"volume": "00000000f0a70001", "plan": "premium", "hosts": 1},
        "exports": {"volume": "00000000f0a70002", "plan": "basic", "hosts": 1},
    },
}
BODY = bytes(i * 7 % 251 for i in range(3 * MAX_PAYLOAD_BYTES + 1234))


class Client:
    """A client of the object API that counts the final answer of each call."""

    def __init__(self, session: aiohttp.ClientSession, port: int, head: Head) -> None:
        self.session = session
        self.base = f"http://{HOST}:{port}"
        self.head = head
        self.answers: Counter[str] = Counter()

    async def call(self, method: str, path: str, body: bytes | None = None, **headers: str):
        name = f"{len(self.answers)} {method} {path}"
        self.answers[name] = 0
        url = aiohttp.client.URL(self.base + path, encoded=True)
        async with self.session.request(method, url, data=body, headers=headers) as response:
            data = await response.read()
            self.answers[name] += 1
            return response.status, response.headers, data

    async def initiate(self, path: str) -> str:
        _, _, data = await self.call("POST", f"{path}?uploads", **{"Content-Type": "video/mp4"})
        return re.search("<UploadId>(.*)</UploadId>", data.decode())[1]

    async def part(self, path: str, upload: str, number: int, body: bytes) -> str:
        """Upload a part; on SlowDown, retry with a new call."""
        while True:
            status, headers, data = await self.call(
                "PUT", f"{path}?partNumber={number}&uploadId={upload}", body
            )
            if status == 200:
                return headers["ETag"]
            assert (status, error_code(data)) == (503, "SlowDown")
            await asyncio.sleep(0.05)

    async def complete(self, path: str, upload: str, etags: list[tuple[int, str]]):
        listed = "".join(f"<Part><PartNumber>{n}</PartNumber><ETag>{e}</ETag></Part>" for n, e in etags)
        return await self.call(
            "POST",
            f"{path}?uploadId={upload}",
            f"<CompleteMultipartUpload>{listed}</CompleteMultipartUpload>".encode(),
        )


def object_settings(conf: Config, operator: dict | None = None) -> ObjectSettings:
    """Return the front's settings as from a file with these fields in `folder`."""
    fields = {**OPERATOR, **(operator or {})}
    folder = fields.pop("folder", Path())
    record = msgspec.convert(fields, ObjectsFile)
    return check_settings(record, folder, SECRET, conf.settings, conf.shards)


@contextlib.asynccontextmanager
async def gateway(*nodes: Node, operator: dict | None = None):
    """Run a head with the object front in front of these nodes; yield a client of it."""
    async with nodes_up(*nodes):
        conf = head_config(*nodes)
        head = Head(conf, object_settings(conf, operator))
        await head.start()
        async with aiohttp.ClientSession() as session:
            try:
                yield Client(session, head.objects.port, head)
            finally:
                await head.stop()


def two_nodes() -> tuple[Node, Node]:
    return Node("a", 0), Node("b", 1)


def check_settled(client: Client) -> None:
    """Check that each call had exactly one final answer and that the head keeps no state of it."""
    assert set(client.answers.values()) == {1}
    assert not client.head.engine.waiters and not client.head.engine.attempts


def error_code(data: bytes) -> str:
    return re.search("<Code>(.*)</Code>", data.decode())[1]
