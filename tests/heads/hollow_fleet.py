"""Hollow heads that all run in the process of a test, and what they have counted."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
from collections.abc import AsyncIterator
from pathlib import Path

from benchmarks.capacity.capacity_fleet import CREDIT_AND_RULES_SETTINGS
from benchmarks.capacity.realheads import FLEET
from stoatrouter import config
from stoatrouter.fronts.http.settings import load_http
from stoatrouter.lab.hollow.head import HollowHead, SharedResources, settings_of_head
from stoatrouter.lab.hollow.launcher import choose_addresses
from stoatrouter.lab.hollow.network import Network
from stoatrouter.peering.settings import load_heads
from tests.addresses import free_port
from tests.heads.rules_clients import RULES
from tests.peers import config_data, node_list


@contextlib.asynccontextmanager
async def hollow_heads(folder: Path, count: int, voters: int = 3) -> AsyncIterator[list[HollowHead]]:
    """Run voting hollow heads and hollow followers, all in this process."""
    names = tuple(f"h{number}" for number in range(count))
    addresses = choose_addresses([names])
    ports = [free_port() for _ in range(voters)]
    streams = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=False)}
    (folder / "secret").write_text("s" * 40)
    (folder / "rules.cue").write_text(RULES)
    (folder / "http.cue").write_text('listen: "127.0.0.1:0"\nrules: "rules.cue"\n')
    (folder / "config.json").write_text(json.dumps(config_data(node_list(1))))
    (folder / "heads.cue").write_text(
        f'fleet: "{FLEET}"\nsecret_file: "secret"\nfolder: "disk"\n'
        f"streams: {json.dumps(streams)}\nvoters: {json.dumps(names[:voters])}\n{CREDIT_AND_RULES_SETTINGS}"
    )
    files = {"NODE_CONFIG": str(folder / "config.json"), "STOATROUTER_HTTP": str(folder / "http.cue")}
    conf = config.read(files, {})
    common = load_heads(folder / "heads.cue", conf)
    network = Network({}, {address: name for name, address in addresses.items()})
    shared = SharedResources(conf, load_http(folder / "http.cue"), network, watches=False)
    peers = tuple(addresses.values())
    heads = [
        HollowHead(name, settings_of_head(common, name, addresses[name], peers), shared) for name in names
    ]
    try:
        await asyncio.gather(*(asyncio.create_task(head.start()) for head in heads))
        yield heads
    finally:
        await asyncio.gather(*(head.close() for head in heads))


def reachable_heads(head: HollowHead) -> int:
    """Return how many heads a hollow head's detector has heard directly, including itself."""
    assert head.heads is not None and head.heads.fleet.datagrams is not None
    return len(head.heads.fleet.datagrams.detector.roster.addresses) + 1


def own_probe_count(counts: dict[str, int]) -> int:
    """Return the pings that a head sent as its own probes.

    Excludes pings relayed for other heads, and the second ping of each probe with ping-reqs.
    """
    for_others = counts.get("hollow.heard.ping_for", 0)
    again = math.ceil(counts.get("hollow.said.ping_for", 0) / 3)
    return counts.get("hollow.said.ping", 0) - for_others - again
