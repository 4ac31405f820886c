"""mod_jk: workers.properties."""

from __future__ import annotations

import re

from stoatrouter.importer.members import Imported, ImportFailed, Member, read_port, read_weight

VARIABLE = re.compile(r"\$\(([^)]+)\)")
ADDITIVE = {"balance_workers", "balanced_workers", "list"}  # further lines add to these
CARRIED = {
    "type",
    "host",
    "port",
    "lbfactor",
    "activation",
    "disabled",
    "stopped",
    "route",
    "jvm_route",
    "reference",
    "balance_workers",
    "balanced_workers",
}
MOST_REFERENCES = 20  # as mod_jk has it
TRUE = {"true", "1", "on", "yes", "t", "y"}
NODE_TYPES = {"ajp13", "ajp14"}


class Workers:
    """The properties of all workers, with references followed."""

    def __init__(self) -> None:
        self.properties: dict[str, dict[str, str]] = {}

    def get(self, worker: str, key: str) -> str | None:
        """A property of a worker, or of those it refers to."""
        for _ in range(MOST_REFERENCES):
            mine = self.properties.get(worker, {})
            if key in mine:
                return mine[key]
            if "reference" not in mine:
                return None
            worker = mine["reference"].removeprefix("worker.")
        raise ImportFailed(f"worker {worker!r}: references go round")

    def keys(self, worker: str) -> set[str]:
        return set(self.properties.get(worker, {}))


def read(text: str) -> Imported:
    """Read the load balancers of a workers file; a file with none is one of its plain workers."""
    workers, listed = parse(text)
    found = Imported()
    balancers = [w for w in workers.properties if workers.get(w, "type") == "lb"]
    for balancer in balancers:
        names = workers.get(balancer, "balance_workers") or workers.get(balancer, "balanced_workers") or ""
        found.balancers[balancer] = [read_worker(found, workers, name) for name in split(names)]
        note_others(found, workers, balancer)
    if not balancers:
        plain = [w for w in listed if (workers.get(w, "type") or "ajp13") in NODE_TYPES]
        if plain:
            found.balancers["workers"] = [read_worker(found, workers, name) for name in plain]
    return found


def parse(text: str) -> tuple[Workers, list[str]]:
    """All properties by worker, and the names of worker.list."""
    workers, variables, listed = Workers(), {}, []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = (part.strip() for part in line.partition("="))
        if not equals:
            raise ImportFailed(f"line {number}: not a property: {line!r}")
        value = VARIABLE.sub(lambda m: variables.get(m[1], m[0]), value)
        variables[key] = value
        parts = key.split(".")
        if parts[0] != "worker":
            continue  # a variable for later lines
        if len(parts) == 2:
            listed += split(value) if parts[1] == "list" else []
        elif len(parts) == 3:
            mine = workers.properties.setdefault(parts[1], {})
            adds = parts[2] in ADDITIVE and parts[2] in mine
            mine[parts[2]] = f"{mine[parts[2]]},{value}" if adds else value
        else:
            raise ImportFailed(f"line {number}: unknown property {key!r}")
    return workers, listed


def read_worker(found: Imported, workers: Workers, name: str) -> Member:
    """One worker of a balancer."""
    if name not in workers.properties:
        raise ImportFailed(f"worker {name!r} is named but not described")
    kind = workers.get(name, "type") or "ajp13"
    if kind not in NODE_TYPES:
        raise ImportFailed(f"worker {name!r} is of type {kind!r}, which no node is")
    where = f"worker {name!r}"
    host, port = workers.get(name, "host") or "localhost", workers.get(name, "port") or "8009"
    route = workers.get(name, "route") or workers.get(name, "jvm_route") or name
    note_others(found, workers, name)
    return Member(
        route,
        "ajp",
        host.strip("[]"),
        read_port(port, where),
        read_weight(workers.get(name, "lbfactor") or "1", where),
        is_active(workers, name, where),
    )


def is_active(workers: Workers, name: str, where: str) -> bool:
    """Whether a worker takes new requests; disabled and stopped are the older words."""
    activation = (workers.get(name, "activation") or "A")[:1].upper()
    if activation not in "ADS":
        raise ImportFailed(f"{where}: unknown activation {workers.get(name, 'activation')!r}")
    off = any((workers.get(name, key) or "").lower() in TRUE for key in ("disabled", "stopped"))
    return activation == "A" and not off


def note_others(found: Imported, workers: Workers, name: str) -> None:
    if others := sorted(workers.keys(name) - CARRIED):
        found.note(f"worker {name!r}: not carried over: {', '.join(others)}")


def split(text: str) -> list[str]:
    return [name for name in re.split(r"[,\s]+", text) if name]
