"""Imports mod_jk's workers.properties, as described in the reference guide of Tomcat Connectors."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from stoatrouter.importer.members import ImportedBalancers, ImporterError, Member, read_port, read_weight

VARIABLE = re.compile(r"\$\(([^)]+)\)")
ADDITIVE_PROPERTIES = {"balance_workers", "balanced_workers", "list"}  # repeated lines add values to these
SUPPORTED_KEYS = {
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
MAX_REFERENCES = 20  # the longest chain of references, as in mod_jk
TRUE_VALUES = {"true", "1", "on", "yes", "t", "y"}
NODE_TYPES = {"ajp13", "ajp14"}
DEFAULT_TYPE = "ajp13"
DEFAULT_PORT = "8009"
DEFAULT_BALANCER = "workers"  # name of the balancer for a file without balancers


@dataclass(slots=True)
class Workers:
    """The properties of all workers by name, the names of worker.list, and the variables."""

    properties: dict[str, dict[str, str]] = field(default_factory=dict)
    listed: list[str] = field(default_factory=list)
    variables: dict[str, str] = field(default_factory=dict)

    def get(self, worker: str, key: str) -> str | None:
        """Return a property of a worker, or of the workers that it references; None if it is not set.

        Raises:
            ImporterError: The references form a cycle.
        """
        for _ in range(MAX_REFERENCES):
            own = self.properties.get(worker, {})
            if key in own:
                return own[key]
            if "reference" not in own:
                return None
            worker = own["reference"].removeprefix("worker.")
        raise ImporterError(f"worker {worker!r}: its references form a cycle")

    def keys(self, worker: str) -> set[str]:
        """Return the names of a worker's own properties."""
        return set(self.properties.get(worker, {}))

    def add(self, key: str, value: str, where: str) -> None:
        """Add one line; as in mod_jk, every key also defines a variable for later lines.

        Raises:
            ImporterError: The line is not a property of a worker.
        """
        value = VARIABLE.sub(lambda match: self.variables.get(match[1], match[0]), value)
        self.variables[key] = value
        prefix, *names = key.split(".")
        if prefix != "worker":
            return
        match names:
            case ["list"]:
                self.listed += split_names(value)
            case [_]:
                pass  # a global setting
            case [worker, name]:
                own = self.properties.setdefault(worker, {})
                is_addition = name in ADDITIVE_PROPERTIES and name in own
                own[name] = f"{own[name]},{value}" if is_addition else value
            case _:
                raise ImporterError(f"{where}: unknown property {key!r}")


def read(text: str) -> ImportedBalancers:
    """Read the load balancers of a workers file; the plain workers of a file without any form one balancer.

    Raises:
        ImporterError: A line is malformed, or a worker of a balancer cannot be a node.
    """
    workers = parse(text)
    imported = ImportedBalancers()
    balancers = [worker for worker in workers.properties if workers.get(worker, "type") == "lb"]
    for balancer in balancers:
        names = workers.get(balancer, "balance_workers") or workers.get(balancer, "balanced_workers") or ""
        members = [read_worker(imported, workers, name) for name in split_names(names)]
        imported.balancers[balancer] = members
        note_unsupported(imported, workers, balancer)
    if not balancers:
        plain = [w for w in workers.listed if (workers.get(w, "type") or DEFAULT_TYPE) in NODE_TYPES]
        if plain:
            imported.balancers[DEFAULT_BALANCER] = [read_worker(imported, workers, name) for name in plain]
    return imported


def parse(text: str) -> Workers:
    """Parse all properties of a file.

    Raises:
        ImporterError: A line is not a property, or has an unknown property.
    """
    workers = Workers()
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = (part.strip() for part in line.partition("="))
        if not equals:
            raise ImporterError(f"line {number}: not a property: {line!r}")
        workers.add(key, value, f"line {number}")
    return workers


def read_worker(imported: ImportedBalancers, workers: Workers, name: str) -> Member:
    """Return a worker of a balancer as a member, and note what is not imported.

    Raises:
        ImporterError: The worker is not defined, its type cannot be a node, or a property is malformed.
    """
    if name not in workers.properties:
        raise ImporterError(f"worker {name!r} is used but not defined")
    kind = workers.get(name, "type") or DEFAULT_TYPE
    if kind not in NODE_TYPES:
        raise ImporterError(f"worker {name!r} has type {kind!r}, which cannot be a node")
    where = f"worker {name!r}"
    host = workers.get(name, "host") or "localhost"
    port = workers.get(name, "port") or DEFAULT_PORT
    route = workers.get(name, "route") or workers.get(name, "jvm_route") or name
    note_unsupported(imported, workers, name)
    return Member(
        route,
        "ajp",
        host.strip("[]"),
        read_port(port, where),
        read_weight(workers.get(name, "lbfactor") or "1", where),
        is_active(workers, name, where),
    )


def is_active(workers: Workers, name: str, where: str) -> bool:
    """Return whether a worker takes new requests; `disabled` and `stopped` are older forms of `activation`.

    Raises:
        ImporterError: The activation is not one of active, disabled and stopped.
    """
    activation = (workers.get(name, "activation") or "A")[:1].upper()
    if activation not in "ADS":
        raise ImporterError(f"{where}: unknown activation {workers.get(name, 'activation')!r}")
    off = any((workers.get(name, key) or "").lower() in TRUE_VALUES for key in ("disabled", "stopped"))
    return activation == "A" and not off


def note_unsupported(imported: ImportedBalancers, workers: Workers, name: str) -> None:
    """Note which of a worker's own properties are not imported."""
    if unsupported := sorted(workers.keys(name) - SUPPORTED_KEYS):
        imported.add_note(f"worker {name!r}: not imported: {', '.join(unsupported)}")


def split_names(text: str) -> list[str]:
    """Split a list of names at commas and white space."""
    return [name for name in re.split(r"[,\s]+", text) if name]
