"""mod_jk: workers.properties, as Tomcat Connectors' reference guide describes it."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from stoatrouter.importer.members import ImportedBalancers, ImporterError, Member, read_port, read_weight

VARIABLE = re.compile(r"\$\(([^)]+)\)")
ADDITIVE_PROPERTIES = {"balance_workers", "balanced_workers", "list"}  # further lines add to these
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
MAX_REFERENCES = 20  # one after the other, as mod_jk has it
TRUE_VALUES = {"true", "1", "on", "yes", "t", "y"}
NODE_TYPES = {"ajp13", "ajp14"}
DEFAULT_TYPE = "ajp13"
DEFAULT_PORT = "8009"
DEFAULT_BALANCER = "workers"  # the name of the balancer of a file that has none


@dataclass(slots=True)
class Workers:
    """The properties of all workers by name, the names of worker.list, and the variables."""

    properties: dict[str, dict[str, str]] = field(default_factory=dict)
    listed: list[str] = field(default_factory=list)
    variables: dict[str, str] = field(default_factory=dict)

    def get(self, worker: str, key: str) -> str | None:
        """A property of a worker, or of those that it refers to.

        Raises:
            ImporterError: The references form a circle.
        """
        for _ in range(MAX_REFERENCES):
            own = self.properties.get(worker, {})
            if key in own:
                return own[key]
            if "reference" not in own:
                return None
            worker = own["reference"].removeprefix("worker.")
        raise ImporterError(f"worker {worker!r}: references go round")

    def keys(self, worker: str) -> set[str]:
        """The names of a worker's own properties."""
        return set(self.properties.get(worker, {}))

    def add(self, key: str, value: str, where: str) -> None:
        """Add one line. Every key is a variable for later lines too, as mod_jk has it.

        Raises:
            ImporterError: It is no property of a worker.
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
                pass  # another setting of all workers
            case [worker, name]:
                own = self.properties.setdefault(worker, {})
                is_addition = name in ADDITIVE_PROPERTIES and name in own
                own[name] = f"{own[name]},{value}" if is_addition else value
            case _:
                raise ImporterError(f"{where}: unknown property {key!r}")


def read(text: str) -> ImportedBalancers:
    """Read the load balancers of a workers file; a file with none is one of its plain workers.

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
    """All properties of a file.

    Raises:
        ImporterError: A line is no property, or one of no worker.
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
    """One worker of a balancer, with notes of what is not carried over.

    Raises:
        ImporterError: It is not described, or of a type that no node is, or a property is malformed.
    """
    if name not in workers.properties:
        raise ImporterError(f"worker {name!r} is named but not described")
    kind = workers.get(name, "type") or DEFAULT_TYPE
    if kind not in NODE_TYPES:
        raise ImporterError(f"worker {name!r} is of type {kind!r}, which no node is")
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
    """Whether a worker takes new requests; `disabled` and `stopped` are the older names of activations.

    Raises:
        ImporterError: Its activation is none of active, disabled and stopped.
    """
    activation = (workers.get(name, "activation") or "A")[:1].upper()
    if activation not in "ADS":
        raise ImporterError(f"{where}: unknown activation {workers.get(name, 'activation')!r}")
    off = any((workers.get(name, key) or "").lower() in TRUE_VALUES for key in ("disabled", "stopped"))
    return activation == "A" and not off


def note_unsupported(imported: ImportedBalancers, workers: Workers, name: str) -> None:
    """Note which of a worker's own properties are not carried over."""
    if others := sorted(workers.keys(name) - SUPPORTED_KEYS):
        imported.add_note(f"worker {name!r}: not carried over: {', '.join(others)}")


def split_names(text: str) -> list[str]:
    """The names of a list, which commas or white space separate."""
    return [name for name in re.split(r"[,\s]+", text) if name]
