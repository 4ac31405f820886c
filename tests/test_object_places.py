"""Records of the object front are found whatever the number of shards was when they were written."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from stoatrouter.fronts.objects.errors import ObjectError
from stoatrouter.fronts.objects.manifest import Manifest
from stoatrouter.fronts.objects.record_store import RecordStore
from stoatrouter.fronts.objects.tokens import Tokens, jump_places

TOKENS = Tokens(b"secret of the operator")
KEYS = [f"clip-{number}" for number in range(60)]


class Pieces:
    """The pieces of all shards in memory, with the number of reads."""

    def __init__(self) -> None:
        self.stored = {}
        self.reads = 0
        self.bucket = SimpleNamespace(name="footage")

    async def read_piece(self, address):
        self.reads += 1
        return self.stored.get(address)

    async def write_piece(self, payload, address):
        self.stored[address] = payload


@pytest.fixture
def pieces(monkeypatch):
    """Return empty pieces, with manifests that are plain records of an object and its content."""
    monkeypatch.setattr(Manifest, "load", staticmethod(lambda payload: payload))
    return Pieces()


def manifest(key: str, content: str) -> SimpleNamespace:
    record = SimpleNamespace(bucket="footage", key=key, content=content)
    record.dump = lambda: record
    return record


async def contents(pieces: Pieces, shards: int) -> list[str]:
    records = RecordStore(TOKENS, shards)
    return [(await records.read_manifest(pieces, key)).content for key in KEYS]


@pytest.mark.parametrize("growth", [(10, 12), (10, 11, 13, 20), (1, 2), (200, 201, 400)])
def test_an_object_is_found_after_nodes_with_new_shards_were_switched_on(pieces, growth):
    async def scenario():
        for shards in growth:
            for key in KEYS[:: growth.index(shards) + 1]:  # fewer are written again each time
                await RecordStore(TOKENS, shards).write_manifest(pieces, manifest(key, f"at {shards}"))
        found = await contents(pieces, growth[-1])
        for number, content in enumerate(found):
            written = [shards for place, shards in enumerate(growth) if number % (place + 1) == 0]
            assert content == f"at {written[-1]}"

    asyncio.run(scenario())


def test_a_found_object_costs_one_read_where_nothing_changed_and_a_missing_one_a_bounded_number(pieces):
    async def scenario():
        records = RecordStore(TOKENS, 12)
        for key in KEYS:
            await records.write_manifest(pieces, manifest(key, "now"))
        await contents(pieces, 12)
        assert pieces.reads == len(KEYS)
        pieces.reads = 0
        with pytest.raises(ObjectError):
            await records.read_manifest(pieces, "missing")
        assert pieces.reads <= 13

    asyncio.run(scenario())


def test_an_object_of_an_older_version_is_found_and_written_anew_at_its_present_place(pieces):
    async def scenario():
        for key in KEYS:  # modulo ten shards
            address = TOKENS.derive_addresses("object", 10, "footage", key)[0]
            mac = TOKENS.compute_mac("object", b"footage", key.encode())
            old = address._replace(shard=int.from_bytes(mac[8:16], "big") % 10)
            await pieces.write_piece(manifest(key, "old"), old)
        assert set(await contents(pieces, 12)) == {"old"}
        for key in KEYS:
            await RecordStore(TOKENS, 12).write_manifest(pieces, manifest(key, "new"))
        assert set(await contents(pieces, 13)) == {"new"}

    asyncio.run(scenario())


def test_few_objects_move_with_a_further_shard():
    places = [
        [jump_places(number * 0x9E3779B97F4A7C15 % 2**64, shards)[0] for number in range(2_000)]
        for shards in (10, 11)
    ]
    moved = [new for old, new in zip(*places, strict=True) if old != new]
    assert set(moved) == {10} and len(moved) < 2_000 * 2 / 11
