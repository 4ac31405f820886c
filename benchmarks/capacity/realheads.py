"""Real heads of a capacity run: voters and followers as processes of the program, together with hollow heads.

They use the process classes of the tests (tests/heads/processes.py). All hollow heads are among their peers,
and a relay between the real heads delays traffic by region, as the network of the hollow heads does.
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
    """One process of the program, optimized as in a deployment."""

    fleet: RealHeads
    optimized = True

    def write(self) -> None:
        """Write its configuration and settings, and its initial rules."""
        super().write()
        (self.folder / "rules.cue").write_text(self.fleet.http_rules)

    def configuration(self) -> dict[str, Any]:
        """Return its configuration, with hollow heads among its peers."""
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
        """Return its peering settings; only voters and spares have stream addresses."""
        relay = self.fleet.relay
        own = f"{self.host}:{self.stream_port}"
        streams = {
            name: own if name == self.name else relay.stream_address(self.name, name)
            for name in self.fleet.streams
        }
        return self.fleet.heads_file(streams)

    def settings_environ(self) -> dict[str, str]:
        """Return environment variables that name the settings files of enabled parts."""
        environ = {"STOATROUTER_HTTP": str(self.folder / "http.cue")}
        if self.fleet.heads_on:
            environ["STOATROUTER_HEADS"] = str(self.folder / "heads.cue")
        return environ

    @property
    def cpu(self) -> float:
        """Return its processor seconds since its start."""
        assert self.process is not None
        return process_cpu(self.process.pid)

    @property
    def memory_mb(self) -> float:
        """Return its resident memory, in MB."""
        assert self.process is not None
        return process_memory_mb(self.process.pid)


class RealHeads(ProcessFleet):
    """All real heads of a run: first the voters, then the spares that may become voters, then followers."""

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
        self.places = places
        self.discovery = discovery
        self.heads_on = heads_on
        self.hollow_addresses: Mapping[str, str] = {}

    def config_data(self) -> dict[str, object]:
        """Return the configuration common to all heads, real and hollow, which use one discovery."""
        data = config_data({}, self.discovery)
        data["settings"] = data["settings"] | {"RegistryMode": "subscribe", "Areas": ZONES}
        return data

    def heads_file(self, streams: Mapping[str, str]) -> str:
        """Return the peering settings, with the stream addresses that one head uses."""
        return (
            f'fleet: "{FLEET}"\nsecret_file: "secret"\nfolder: "disk"\n'
            f"streams: {json.dumps(streams)}\nvoters: {json.dumps(self.voters)}\n{self.extra_settings}"
        )

    async def open(self) -> None:
        """Start the relay and create the heads, without starting them."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))
        await self.relay.start()
        self.heads = {name: RealHead(self, name) for name in self.names}
        self.delay()

    def delay(self) -> None:
        """Set the delays of the relay according to the places; must be called again after `relay.heal`."""
        for (sender, receiver), link in self.relay.links.items():
            # the relay draws a delay between 0 and the given value, which is thus twice the mean
            sender_place, receiver_place = self.places.get(sender), self.places.get(receiver)
            link.delay = (
                0.0
                if sender_place is None or receiver_place is None
                else 2 * one_way_seconds(sender_place, receiver_place)
            )

    async def close(self) -> None:
        """End all heads and the relay."""
        await self.kill_all()
        await self.relay.close()
        await self.session.close()

    def write_hollow(self, folder: Path) -> tuple[Path, Path, Path]:
        """Write the files of hollow heads: configuration, peering, HTTP front. Their streams use no relay."""
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
