"""Multipart uploads of the object API, whole paths over loopback."""

from __future__ import annotations

import asyncio

from stoatrouter.fronts.objects.extents import MAX_PAYLOAD_BYTES
from tests.object_client import BODY, error_code, gateway, settled, two
from tests.peers import Node, node_list, nodes_up, run, until


def test_parts_land_while_a_node_drains():
    async def story():
        a, b, c = Node("a", 0), Node("b", 1), Node("c", 1)
        async with gateway(a, b) as client, nodes_up(c):
            upload = await client.initiate("/footage/m")
            parts = {n: bytes([n]) * (MAX_PAYLOAD_BYTES + n) for n in range(1, 9)}
            etags = [(1, await client.part("/footage/m", upload, 1, parts[1]))]
            # b drains and turns away what is new, c takes over its shard; the head is told a little later
            ran, c.pieces = b.ran.copy(), b.pieces
            b.script.extend(["decline"] * 1000)
            before = len(b.seen)
            others = asyncio.create_task(
                asyncio.wait_for(
                    asyncio.gather(*(client.part("/footage/m", upload, n, parts[n]) for n in range(2, 9))), 20
                )
            )
            await until(lambda: len(b.seen) > before)
            client.head.watch.apply(node_list(2, b.entry(lifecycle="DRAINING"), c.entry(), reset=False))
            etags += list(zip(range(2, 9), await others, strict=True))
            status, _, data = await client.complete("/footage/m", upload, etags)
            assert status == 200, data
            status, headers, data = await client.call("GET", "/footage/m")
            assert (status, data) == (200, b"".join(parts.values()))
            assert headers["Content-Type"] == "video/mp4" and headers["ETag"].endswith('-8"')
            settled(client)
            assert b.ran == ran and c.seen  # nothing ran on b once it drained
            assert max((a.ran + b.ran + c.ran).values()) == 1

    run(story())


def test_another_head_completes_what_one_began():
    async def story():
        nodes = two()
        async with gateway(*nodes) as client:
            upload = await client.initiate("/footage/m")
            etag = await client.part("/footage/m", upload, 1, BODY)
        async with gateway(*nodes) as client:  # a head that has just started and knows nothing
            status, _, first = await client.complete("/footage/m", upload, [(1, etag)])
            assert status == 200
            status, _, again = await client.complete("/footage/m", upload, [(1, etag)])
            assert (status, again) == (200, first)
            assert (await client.call("GET", "/footage/m"))[2] == BODY
            status, _, data = await client.call("PUT", f"/footage/m?partNumber=2&uploadId={upload}", b"x")
            assert (status, error_code(data)) == (404, "NoSuchUpload")

    run(story())


def test_uploads_end_as_the_protocol_says():
    async def story():
        async with gateway(*two()) as client:
            path, other = "/footage/m", "/footage/n"
            upload, second = await client.initiate(path), await client.initiate(path)
            one, two_ = [await client.part(path, upload, n, b"%d" % n) for n in (1, 2)]
            foreign = await client.part(path, second, 1, b"1")

            async def code(call):
                status, _, data = await call
                return status, error_code(data)

            assert await code(client.complete(path, upload, [(2, two_), (1, one)])) == (
                400,
                "InvalidPartOrder",
            )
            assert await code(client.complete(path, upload, [(1, foreign)])) == (400, "InvalidPart")
            assert await code(client.complete(path, upload, [(3, one)])) == (400, "InvalidPart")
            assert await code(client.complete(path, upload, [(1, "AAAA")])) == (400, "InvalidPart")
            assert await code(client.complete(path, upload, [])) == (400, "MalformedXML")
            assert await code(client.complete(path, "made-up", [(1, one)])) == (404, "NoSuchUpload")
            assert await code(client.complete(other, upload, [(1, one)])) == (404, "NoSuchUpload")
            assert (await client.call("DELETE", f"{path}?uploadId={upload}"))[0] == 204
            assert await code(client.complete(path, upload, [(1, one)])) == (404, "NoSuchUpload")
            assert await code(client.call("GET", path)) == (404, "NoSuchKey")
            settled(client)

    run(story())
