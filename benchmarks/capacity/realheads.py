"""Real heads of a capacity run: voters and followers as processes of the program, beside hollow ones.

They are the processes of the tests (tests/heads/processes.py), with the addresses of all hollow heads among
their peers and a relay among themselves, which delays by region as the hollow heads' own network does.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp

from benchmarks.capacity.harness import process_cpu, process_memory_mb
from stoatrouter.lab.hollow.places import Place, one_way_seconds
from tests.heads.processes import SECRET, HeadProcess, ProcessFleet
from tests.peers import config_data

FLEET = "capacity"
ZONES = [f"zone-{number}" for number in range(12)]


class RealHead(HeadProcess):
    """One process of the program, with optimisation as it is shipped."""

    fleet: RealHeads
    optimized = True

    def write(self) -> None:
        """Write its configuration and settings, and the rules that it starts with."""
        super().write()
        (self.folder / "rules.cue").write_text(self.fleet.http_rules)

    def configuration(self) -> dict[str, Any]:
        """Its configuration: hollow heads are among its peers."""
        fleet, relay = self.fleet, self.fleet.relay
        others = [name for name in fleet.names if name != self.name]
        peers = [relay.datagram_address(self.name, other) for other in others]
        return fleet.config_data() | {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "management": f"{self.host}:{self.management_port}",
            "peer_listen": f"{self.host}:{self.datagram_port}",
            "peers": [*peers, *fleet.hollow_addresses.values()],
        }

    def heads_settings(self) -> str:
        """Its settings of the heads; only voters and spares have an address for streams."""
        relay = self.fleet.relay
        own = f"{self.host}:{self.stream_port}"
        streams = {
            name: own if name == self.name else relay.stream_address(self.name, name)
            for name in self.fleet.streams
        }
        return self.fleet.heads_file(streams)

    def settings_environ(self) -> dict[str, str]:
        """Name the files of the parts that are switched on."""
        environ = {"STOATROUTER_HTTP": str(self.folder / "http.cue")}
        if self.fleet.heads_on:
            environ["STOATROUTER_HEADS"] = str(self.folder / "heads.cue")
        return environ

    @property
    def cpu(self) -> float:
        """Processor seconds since its start."""
        assert self.process is not None
        return process_cpu(self.process.pid)

    @property
    def memory_mb(self) -> float:
        """What it holds now."""
        assert self.process is not None
        return process_memory_mb(self.process.pid)


class RealHeads(ProcessFleet):
    """All real heads of a run: the first are voters, the next may come to vote, the others only follow."""

    def __init__(
        self,
        folder: Path,
        count: int,
        voters: int,
        spares: int,
        seed: int,
        more: str,
        rules: str,
        places: Mapping[str, Place],
        discovery: int,
        heads_on: bool = True,
    ) -> None:
        super().__init__(folder, count, voters, seed, more, rules, {})
        self.streams = self.names[: voters + spares]
        self.places, self.discovery, self.heads_on = places, discovery, heads_on
        self.hollow_addresses: Mapping[str, str] = {}

    def config_data(self) -> dict[str, object]:
        """The configuration of all heads, hollow ones too: one discovery serves all in turn."""
        data = config_data({}, self.discovery)
        data["settings"] = data["settings"] | {"RegistryMode": "subscribe", "Areas": ZONES}
        return data

    def heads_file(self, streams: Mapping[str, str]) -> str:
        """The file of heads that know each other, with streams as one head reaches them."""
        return (
            f'fleet: "{FLEET}"\nsecret_file: "secret"\nfolder: "disk"\n'
            f"streams: {json.dumps(streams)}\nvoters: {json.dumps(self.voters)}\n{self.extra_settings}"
        )

    async def open(self) -> None:
        """Open the relay and make the heads' folders; no head is started yet."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))
        await self.relay.start()
        self.heads = {name: RealHead(self, name) for name in self.names}
        self.delay()

    def delay(self) -> None:
        """Delay what passes the relay as the places say; to be called again after `relay.heal`."""
        for (sender, receiver), way in self.relay.links.items():
            # the relay draws a delay from nothing up to what it is given: twice the mean
            here, there = self.places.get(sender), self.places.get(receiver)
            way.delay = 0.0 if here is None or there is None else 2 * one_way_seconds(here, there)

    async def close(self) -> None:
        """End all heads."""
        await self.kill_all()
        await self.relay.close()
        await self.session.close()

    def write_hollow(self, folder: Path) -> tuple[Path, Path, Path]:
        """The files of hollow heads: configuration, heads, HTTP front. Their streams need no relay."""
        folder.mkdir(parents=True, exist_ok=True)
        first = self.heads[self.names[0]]
        streams = {name: f"{self[name].host}:{self[name].stream_port}" for name in self.streams}
        data = self.config_data() | {"listen": f"{first.host}:0"}
        files = folder / "config.json", folder / "heads.cue", folder / "http.cue"
        files[0].write_text(json.dumps(data))
        files[1].write_text(self.heads_file(streams))
        files[2].write_text('listen: "127.0.0.1:0"\nrules: "rules.cue"\n')
        (folder / "secret").write_text(SECRET)
        (folder / "rules.cue").write_text(self.http_rules)
        return files
