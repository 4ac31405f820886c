"""One real head at its full share of the load: processor time per request, memory and descriptors.

Series (`--series`), each with its own heads and load:
  rest         no clients: processor time and memory by number of nodes
  nodes        one rate, by number of nodes
  connections  by number of clients with occasional requests; the program closes idle connections after 2 s
  held         by number of open connections, with a longer idle timeout: memory and descriptors
  volumes      memory and processor time by number of volumes
  rates        by request rate, up to the first at which too few answers come in time
  split        processor time by place (instrumented head), by number of nodes

Clients, nodes and discovery are separate processes on loopback. The latency of a request counts from the time
at which it was due. Processor time is that of the head, from /proc.
"""

from __future__ import annotations

import argparse
import contextlib
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from benchmarks.capacity import harness
from benchmarks.capacity.children import Child, Message, ask_all, children, end_on_signals
from benchmarks.capacity.head_process import HeadProcess, Program, Usage, running_head

CLIENT_PROCESSES = 4
NODE_PROCESSES = 2
FASTEST_MS = 5  # of the nodes' answers
SLOWEST_MS = 20
ANY_PERCENT = 5  # of all requests: writes that any node can serve
NODES = 120
RATE = 300  # requests a second
CONNECTIONS = 300
VOLUMES = 10_000
MAX_CLIENTS = (
    1_000  # of the series by rate, which reuses the newest free connection, so most are closed as idle
)
WARM_UP_S = 2.0
MEASURE_S = 5.0
MIN_IN_TIME_SHARE = 0.99  # a rate is sustained if this share of answers meets the latency target of its class
FILL_RATE = 800  # requests a second that make clients and volumes known to a head
CONNECTION_MEMORY_MB = 0.2  # for one connection, in the head and the client process together
RATES = [50, 100, 200, 400, 500, 600, 700, 800, 900, 1_000, 1_200]
MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class Setting:
    """Nodes, clients and load of one head."""

    nodes: int = NODES
    connections: int = CONNECTIONS
    volumes: int = VOLUMES
    choice: str = "oldest"
    program: Program = Program.SHIPPED
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Bench:
    """A running head, its nodes and its clients."""

    head: HeadProcess
    nodes: list[Child]
    clients: list[Child]

    def ask(self, rate: float, seconds: float) -> Message:
        """Send requests at a rate; return their outcomes, summed over all client processes."""
        parts = ask_all(self.clients, {"rate": rate / len(self.clients), "seconds": seconds})
        whole: Message = {key: sum(part[key] for part in parts) for key in parts[0] if key != "took_ms"}
        whole["took_ms"] = sorted(latency for part in parts for latency in part["took_ms"])
        return whole


@dataclass(frozen=True, slots=True)
class Phase:
    """One measured phase: usage of the head before and after, and the outcomes of its requests."""

    before: Usage
    after: Usage
    counts: Message
    reference_ms: float  # mean processor time of the harness's reference work, before and after
    accepted: int  # connections that nodes accepted during the phase
    open_at_nodes: int
    seconds: float

    @property
    def cpu_us(self) -> float:
        """Return the processor time of the head per request, in us."""
        return (self.after.cpu_s - self.before.cpu_s) / max(1, self.counts["due"]) * MICROSECONDS

    @property
    def cpu_percent(self) -> float:
        """Return the processor time of the head in % of a core."""
        return (self.after.cpu_s - self.before.cpu_s) / self.seconds * 100

    @property
    def in_time(self) -> float:
        """Return the share of all requests answered within the latency target of their class."""
        return float(self.counts["in_time"]) / max(1, self.counts["due"])

    def quantile_ms(self, part: float) -> float:
        """Return a quantile of the latencies, in ms."""
        times = self.counts["took_ms"]
        return float(times[min(len(times) - 1, int(part * len(times)))]) if times else 0.0


def split_evenly(whole: int, count: int) -> list[int]:
    """Split a number into nearly equal parts."""
    return [whole // count + (i < whole % count) for i in range(count)]


@contextlib.contextmanager
def running_bench(setting: Setting) -> Iterator[Bench]:
    """Run nodes, a head and clients; all are ended on exit, also after an exception."""
    harness.require_capacity(
        descriptors=setting.connections + 3 * setting.nodes + 200,
        memory_mb=500 + round(setting.connections * CONNECTION_MEMORY_MB),
        ports=setting.connections + 3 * setting.nodes,
    )
    node_specifications = [
        {"count": count, "seed": i, "fastest_ms": FASTEST_MS, "slowest_ms": SLOWEST_MS}
        for i, count in enumerate(split_evenly(setting.nodes, NODE_PROCESSES))
    ]
    with children("benchmarks.capacity.node_servers", node_specifications) as nodes:
        ports = [port for node in nodes for port in node.receive()["ports"]]
        with running_head(ports, setting.program) as head:
            specifications = client_specifications(setting, head.port)
            with children("benchmarks.capacity.load_clients", specifications) as clients:
                for client in clients:
                    client.receive()
                yield Bench(head, nodes, clients)


def client_specifications(setting: Setting, port: int) -> list[Message]:
    """Return the specification of each client process."""
    shares = [share for share in split_evenly(setting.connections, CLIENT_PROCESSES) if share]
    return [
        {
            "port": port,
            "connections": share,
            "source": f"127.0.0.{2 + i}",
            "name": f"c{i}",
            "process": i,
            "processes": len(shares),
            "seed": f"{setting.seed}/{i}",
            "shards": setting.nodes,
            "volumes": setting.volumes,
            "any_percent": ANY_PERCENT,
            "choice": setting.choice,
        }
        for i, share in enumerate(shares)
    ]


def measure_phase(
    running: Bench, rate: float, seconds: float = MEASURE_S, warm_up: float = WARM_UP_S
) -> Phase:
    """Measure one phase, after a warm-up that is not measured."""
    if warm_up:
        running.ask(rate, warm_up)
    accepted = sum(node.ask({})["accepted"] for node in running.nodes)
    reference = harness.reference_ms()
    before = running.head.usage()
    counts = running.ask(rate, seconds)
    after = running.head.usage()
    reference = (reference + harness.reference_ms()) / 2
    seen = [node.ask({}) for node in running.nodes]
    return Phase(
        before,
        after,
        counts,
        reference,
        sum(each["accepted"] for each in seen) - accepted,
        sum(each["open"] for each in seen),
        seconds,
    )


def record_phase(
    run: harness.Run, series: str, size: float, phase: Phase, setting: Setting, rate: float
) -> None:
    """Record one phase."""
    counts = {key: value for key, value in phase.counts.items() if key != "took_ms"}
    details: dict[str, float | int | str] = {
        "nodes": setting.nodes,
        "connections": setting.connections,
        "volumes": setting.volumes,
        "rate": rate,
        "reference_ms": round(phase.reference_ms, 2),
        **{key: round(value, 3) for key, value in counts.items()},
    }

    def add(what: str, value: float, unit: str) -> None:
        measurement = harness.Measurement(
            f"{what}, {series}", size, round(value, 4), unit, setting.seed, details
        )
        run.add(measurement)

    add("request", phase.cpu_us, "us a request")
    add("head", phase.cpu_percent, "% of a core")
    add("memory", phase.after.memory_mb, "MB")
    add("descriptors", phase.after.descriptors, "descriptors")
    add("in time", phase.in_time * 100, "% of requests")
    add("median answer", phase.quantile_ms(0.5), "ms")
    add("99th percentile", phase.quantile_ms(0.99), "ms")
    add("dialled by clients", phase.counts["dialled"] / max(1, phase.counts["due"]), "a request")
    add("dialled to nodes", phase.accepted / max(1, phase.counts["due"]), "a request")
    add("connections to nodes", phase.open_at_nodes, "connections")


def measure_rest(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure heads without clients."""
    for nodes in arguments.sizes:
        setting = Setting(nodes=nodes, connections=1)
        with running_bench(setting) as running:
            time.sleep(WARM_UP_S)
            before = running.head.usage()
            time.sleep(arguments.seconds)
            after = running.head.usage()
        percent = (after.cpu_s - before.cpu_s) / (after.at - before.at) * 100
        details: dict[str, float | int | str] = {"nodes": nodes, "seconds": arguments.seconds}
        run.add(harness.Measurement("head, rest", nodes, round(percent, 3), "% of a core", 0, details))
        run.add(harness.Measurement("memory, rest", nodes, round(after.memory_mb, 2), "MB", 0, details))
        run.add(harness.Measurement("descriptors, rest", nodes, after.descriptors, "descriptors", 0, details))


def measure_nodes(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure one rate with increasing numbers of nodes."""
    for seed in arguments.seeds:
        for nodes in arguments.sizes:
            setting = Setting(nodes=nodes, connections=arguments.rate, seed=seed)
            with running_bench(setting) as running:
                phase = measure_phase(running, arguments.rate, arguments.seconds)
            record_phase(run, "by nodes", nodes, phase, setting, arguments.rate)


def measure_connections(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure one rate over increasing numbers of clients, with the idle timeout of the program."""
    for seed in arguments.seeds:
        for connections in arguments.connections:
            setting = Setting(arguments.nodes, connections, choice="random", seed=seed)
            with running_bench(setting) as running:
                phase = measure_phase(running, arguments.rate, arguments.seconds)
            record_phase(run, "by clients", connections, phase, setting, arguments.rate)


def measure_held(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure clients that have each sent a request and stay connected."""
    for connections in arguments.connections:
        setting = Setting(arguments.nodes, connections, program=Program.LONG_IDLE)
        with running_bench(setting) as running:
            empty = running.head.usage()
            running.ask(FILL_RATE, 1.1 * connections / FILL_RATE)
            phase = measure_phase(running, arguments.rate, arguments.seconds, warm_up=0)
            record_phase(run, "by held clients", connections, phase, setting, arguments.rate)
            added = (phase.after.memory_mb - empty.memory_mb) * 1000 / connections
            run.add(harness.Measurement("memory for a client, held", connections, round(added, 2), "kB"))


def measure_volumes(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure a head after requests for increasing numbers of volumes."""
    for volumes in arguments.volumes:
        setting = Setting(arguments.nodes, CONNECTIONS, volumes)
        with running_bench(setting) as running:
            running.ask(FILL_RATE, max(2.0, min(1.5 * volumes / FILL_RATE, arguments.longest_fill)))
            phase = measure_phase(running, arguments.rate, arguments.seconds, warm_up=0)
        record_phase(run, "by volumes", volumes, phase, setting, arguments.rate)


def measure_rates(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure increasing rates, until too few answers come in time."""
    for seed in arguments.seeds:
        carried = 0
        setting = Setting(arguments.nodes, MAX_CLIENTS, choice="newest", seed=seed)
        with running_bench(setting) as running:
            for rate in arguments.rates:
                phase = measure_phase(running, rate, arguments.seconds)
                record_phase(run, f"by rate before {arguments.nodes} nodes", rate, phase, setting, rate)
                if phase.in_time < MIN_IN_TIME_SHARE:
                    break
                carried = rate
        run.add(harness.Measurement("carried in time", arguments.nodes, carried, "requests a second", seed))


def measure_split(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Measure the processor time of a request by place, with an instrumented head."""
    for nodes in arguments.sizes:
        setting = Setting(nodes=nodes, connections=arguments.rate, program=Program.SPLIT)
        with running_bench(setting) as running:
            running.ask(arguments.rate, WARM_UP_S)
            before = running.head.snapshot()
            counts = running.ask(arguments.rate, arguments.seconds)
            after = running.head.snapshot()
        record_split(run, nodes, before, after, counts["due"])


def record_split(run: harness.Run, nodes: int, before: Message, after: Message, requests: int) -> None:
    """Record the processor time per request of each place, and the rest that no place accounts for."""
    whole = sum(after[key] - before[key] for key in ("user_s", "system_s"))
    explained = 0.0
    for place, seconds in sorted(after["seconds"].items()):
        spent = seconds - before["seconds"].get(place, 0.0)
        explained += spent
        calls = after["calls"][place] - before["calls"].get(place, 0)
        details: dict[str, float | int | str] = {"nodes": nodes, "requests": requests, "calls": calls}
        value = round(spent / requests * MICROSECONDS, 2)
        run.add(harness.Measurement(f"{place}, split", nodes, value, "us a request", 0, details))
    for name, seconds in (("whole", whole), ("loop and timing", whole - explained)):
        value = round(seconds / requests * MICROSECONDS, 2)
        run.add(harness.Measurement(f"{name}, split", nodes, value, "us a request"))
    for what in ("attempts", "connections dialled"):
        count = after["calls"].get(what, 0) - before["calls"].get(what, 0)
        run.add(harness.Measurement(f"{what}, split", nodes, round(count / requests, 4), "a request"))


SERIES: dict[str, Callable[[harness.Run, argparse.Namespace], None]] = {
    "rest": measure_rest,
    "nodes": measure_nodes,
    "connections": measure_connections,
    "held": measure_held,
    "volumes": measure_volumes,
    "rates": measure_rates,
    "split": measure_split,
}


def main() -> int:
    """Run the command."""
    arguments = arguments_parser().parse_args()
    end_on_signals()
    with harness.recording("request", arguments.out, arguments.at) as run:
        for series in arguments.series.split(","):
            SERIES[series](run, arguments)
    return 0


def arguments_parser() -> argparse.ArgumentParser:
    """Return a parser of the common arguments and those of this command."""
    command = harness.parser(__doc__ or "", sizes="12,120,400,850,1700")
    command.formatter_class = argparse.RawDescriptionHelpFormatter
    command.add_argument("--series", default=",".join(SERIES), help="series to run, in order")
    command.add_argument("--rate", type=int, default=RATE, help=f"requests a second, default {RATE}")
    command.add_argument("--nodes", type=int, default=NODES, help=f"in series not by nodes, default {NODES}")
    command.add_argument("--connections", type=harness.parse_ints, default=[100, 1_000, 4_000, 9_054])
    command.add_argument("--volumes", type=harness.parse_ints, default=[10, 1_000, 10_000, 50_000])
    command.add_argument("--rates", type=harness.parse_ints, default=RATES)
    command.add_argument("--seconds", type=float, default=MEASURE_S, help="length of each measured phase")
    command.add_argument(
        "--longest-fill", type=float, default=65.0, help="maximum seconds to make volumes known"
    )
    return command


if __name__ == "__main__":
    sys.exit(main())
