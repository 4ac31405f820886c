"""End-to-end tests of multipart uploads through the object API, over loopback."""

from __future__ import annotations

import asyncio

from stoatrouter.fronts.objects.extents import MAX_PAYLOAD_BYTES
from tests.object_client import BODY, check_settled, error_code, gateway, two_nodes
from tests.peers import Node, node_list, nodes_up, run, until


def test_parts_land_while_a_node_drains():
    async def scenario():
        a = Node("a", 0)
        b = Node("b", 1)
        c = Node("c", 1)
        async with gateway(a, b) as client, nodes_up(c):
            upload = await client.initiate("/footage/m")
            parts = {n: bytes([n]) * (MAX_PAYLOAD_BYTES + n) for n in range(1, 9)}
            etags = [(1, await client.part("/footage/m", upload, 1, parts[1]))]
            # b drains and declines new requests, c takes over its shard; the head is notified a little later
            ran = b.ran.copy()
            c.pieces = b.pieces
            b.script.extend(["decline"] * 1000)
            before = len(b.seen)
            uploads = asyncio.gather(*(client.part("/footage/m", upload, n, parts[n]) for n in range(2, 9)))
            other_parts = asyncio.create_task(asyncio.wait_for(uploads, 20))
            await until(lambda: len(b.seen) > before)
            client.head.watch.apply(node_list(2, b.entry(lifecycle="DRAINING"), c.entry(), reset=False))
            etags += list(zip(range(2, 9), await other_parts, strict=True))
            status, _, data = await client.complete("/footage/m", upload, etags)
            assert status == 200, data
            status, headers, data = await client.call("GET", "/footage/m")
            assert (status, data) == (200, b"".join(parts.values()))
            assert headers["Content-Type"] == "video/mp4" and headers["ETag"].endswith('-8"')
            check_settled(client)
            assert b.ran == ran and c.seen  # nothing ran on b once it drained
            assert max((a.ran + b.ran + c.ran).values()) == 1

    run(scenario())


def test_another_head_completes_what_one_began():
    async def scenario():
        nodes = two_nodes()
        async with gateway(*nodes) as client:
            upload = await client.initiate("/footage/m")
            etag = await client.part("/footage/m", upload, 1, BODY)
        async with gateway(*nodes) as client:  # a newly started head without any state
            status, _, first = await client.complete("/footage/m", upload, [(1, etag)])
            assert status == 200
            status, _, again = await client.complete("/footage/m", upload, [(1, etag)])
            assert (status, again) == (200, first)
            assert (await client.call("GET", "/footage/m"))[2] == BODY
            status, _, data = await client.call("PUT", f"/footage/m?partNumber=2&uploadId={upload}", b"x")
            assert (status, error_code(data)) == (404, "NoSuchUpload")

    run(scenario())


def test_uploads_end_as_the_protocol_says():
    async def scenario():
        async with gateway(*two_nodes()) as client:
            path = "/footage/m"
            other_path = "/footage/n"
            upload = await client.initiate(path)
            other_upload = await client.initiate(path)
            part_1, part_2 = [await client.part(path, upload, n, b"%d" % n) for n in (1, 2)]
            other_part = await client.part(path, other_upload, 1, b"1")

            async def error_of(call):
                status, _, data = await call
                return status, error_code(data)

            assert await error_of(client.complete(path, upload, [(2, part_2), (1, part_1)])) == (
                400,
                "InvalidPartOrder",
            )
            assert await error_of(client.complete(path, upload, [(1, other_part)])) == (400, "InvalidPart")
            assert await error_of(client.complete(path, upload, [(3, part_1)])) == (400, "InvalidPart")
            assert await error_of(client.complete(path, upload, [(1, "AAAA")])) == (400, "InvalidPart")
            assert await error_of(client.complete(path, upload, [])) == (400, "MalformedXML")
            assert await error_of(client.complete(path, "made-up", [(1, part_1)])) == (404, "NoSuchUpload")
            assert await error_of(client.complete(other_path, upload, [(1, part_1)])) == (404, "NoSuchUpload")
            assert (await client.call("DELETE", f"{path}?uploadId={upload}"))[0] == 204
            assert await error_of(client.complete(path, upload, [(1, part_1)])) == (404, "NoSuchUpload")
            assert await error_of(client.call("GET", path)) == (404, "NoSuchKey")
            check_settled(client)

    run(scenario())
