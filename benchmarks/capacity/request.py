"""One real head at its whole share: processor time of a request, memory and descriptors.

Series (`--series`), each with heads and load of its own:
  rest         no client: processor time and memory by number of nodes
  nodes        one rate, by number of nodes
  connections  clients that ask now and then, by their number, as the program ends idle ones after 2 s
  held         as many clients held open, where idle ones are kept for the purpose: memory and descriptors
  volumes      memory and processor time by number of volumes
  rates        by request rate, up to the first at which answers do not come in time any more
  split        processor time by place (instrumented head), by number of nodes

Clients, nodes and discovery are processes of their own on loopback; a request's time counts from when it was
due. Processor time is the head's, of /proc.
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

CLIENT_PROCESSES, NODE_PROCESSES = 4, 2
FASTEST_MS, SLOWEST_MS = 5, 20
ANY_PERCENT = 5
NODES, RATE, CONNECTIONS, VOLUMES = 120, 300, 300, 10_000
MOST_CLIENTS = 1_000  # by rate: a free client that has just asked asks again, so most of them end idle
WARM_UP_S, MEASURE_S = 2.0, 5.0
IN_TIME_PART = 0.99  # of a rate that is carried: so many answers come within their class's aim
FILL_RATE = 800  # requests a second with which clients and volumes are made known to a head
CONNECTIONS_MEMORY_MB = 0.2  # of the head and the clients' process together, for one connection
RATES = [50, 100, 200, 400, 500, 600, 700, 800, 900, 1_000, 1_200]
MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class Setting:
    """What one head is put before."""

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
        """Put requests at a rate; what became of them, over all processes."""
        parts = ask_all(self.clients, {"rate": rate / len(self.clients), "seconds": seconds})
        whole: Message = {key: sum(part[key] for part in parts) for key in parts[0] if key != "took_ms"}
        whole["took_ms"] = sorted(took for part in parts for took in part["took_ms"])
        return whole


@dataclass(frozen=True, slots=True)
class Phase:
    """One measured phase: the head's usage before and after, and what became of its requests."""

    before: Usage
    after: Usage
    counts: Message
    reference_ms: float  # processor time of the harness's reference work, before and after
    accepted: int  # connections that nodes accepted meanwhile
    open_at_nodes: int
    seconds: float

    @property
    def cpu_us(self) -> float:
        """Processor time of the head for each request."""
        return (self.after.cpu_s - self.before.cpu_s) / max(1, self.counts["due"]) * MICROSECONDS

    @property
    def cpu_percent(self) -> float:
        """Of one core, over the time in which requests came."""
        return (self.after.cpu_s - self.before.cpu_s) / self.seconds * 100

    @property
    def in_time(self) -> float:
        """The part of all requests that was answered within its class's aim."""
        return float(self.counts["in_time"]) / max(1, self.counts["due"])

    def took(self, part: float) -> float:
        """A quantile of the answers' times, in ms."""
        times = self.counts["took_ms"]
        return float(times[min(len(times) - 1, int(part * len(times)))]) if times else 0.0


def parts(whole: int, count: int) -> list[int]:
    """A number in nearly equal parts."""
    return [whole // count + (i < whole % count) for i in range(count)]


@contextlib.contextmanager
def running_bench(setting: Setting) -> Iterator[Bench]:
    """Nodes, a head and clients; all are ended, whatever happens meanwhile."""
    harness.require_capacity(
        descriptors=setting.connections + 3 * setting.nodes + 200,
        memory_mb=500 + round(setting.connections * CONNECTIONS_MEMORY_MB),
        ports=setting.connections + 3 * setting.nodes,
    )
    node_specifications = [
        {"count": count, "seed": i, "fastest_ms": FASTEST_MS, "slowest_ms": SLOWEST_MS}
        for i, count in enumerate(parts(setting.nodes, NODE_PROCESSES))
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
    """What each process of clients is told."""
    shares = [share for share in parts(setting.connections, CLIENT_PROCESSES) if share]
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


def measure_phase(made: Bench, rate: float, seconds: float = MEASURE_S, warm_up: float = WARM_UP_S) -> Phase:
    """One phase after a warm-up that does not count."""
    if warm_up:
        made.ask(rate, warm_up)
    accepted = sum(node.ask({})["accepted"] for node in made.nodes)
    reference = harness.reference_ms()
    before = made.head.usage()
    counts = made.ask(rate, seconds)
    after = made.head.usage()
    reference = (reference + harness.reference_ms()) / 2
    seen = [node.ask({}) for node in made.nodes]
    return Phase(
        before,
        after,
        counts,
        reference,
        sum(each["accepted"] for each in seen) - accepted,
        sum(each["open"] for each in seen),
        seconds,
    )


def report(run: harness.Run, series: str, size: float, phase: Phase, setting: Setting, rate: float) -> None:
    """Write down one phase."""
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
    add("median answer", phase.took(0.5), "ms")
    add("99th percentile", phase.took(0.99), "ms")
    add("dialled by clients", phase.counts["dialled"] / max(1, phase.counts["due"]), "a request")
    add("dialled to nodes", phase.accepted / max(1, phase.counts["due"]), "a request")
    add("connections to nodes", phase.open_at_nodes, "connections")


def measure_rest(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Heads without clients."""
    for nodes in arguments.sizes:
        setting = Setting(nodes=nodes, connections=1)
        with running_bench(setting) as made:
            time.sleep(WARM_UP_S)
            before = made.head.usage()
            time.sleep(arguments.seconds)
            after = made.head.usage()
        percent = (after.cpu_s - before.cpu_s) / (after.at - before.at) * 100
        details: dict[str, float | int | str] = {"nodes": nodes, "seconds": arguments.seconds}
        run.add(harness.Measurement("head, rest", nodes, round(percent, 3), "% of a core", 0, details))
        run.add(harness.Measurement("memory, rest", nodes, round(after.memory_mb, 2), "MB", 0, details))
        run.add(harness.Measurement("descriptors, rest", nodes, after.descriptors, "descriptors", 0, details))


def measure_nodes(run: harness.Run, arguments: argparse.Namespace) -> None:
    """One rate before more and more nodes."""
    for seed in arguments.seeds:
        for nodes in arguments.sizes:
            setting = Setting(nodes=nodes, connections=arguments.rate, seed=seed)
            with running_bench(setting) as made:
                phase = measure_phase(made, arguments.rate, arguments.seconds)
            report(run, "by nodes", nodes, phase, setting, arguments.rate)


def measure_connections(run: harness.Run, arguments: argparse.Namespace) -> None:
    """One rate over more and more clients, as the program is."""
    for seed in arguments.seeds:
        for connections in arguments.connections:
            setting = Setting(arguments.nodes, connections, choice="random", seed=seed)
            with running_bench(setting) as made:
                phase = measure_phase(made, arguments.rate, arguments.seconds)
            report(run, "by clients", connections, phase, setting, arguments.rate)


def measure_held(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Clients that have all asked and stay."""
    for connections in arguments.connections:
        setting = Setting(arguments.nodes, connections, program=Program.LONG_IDLE)
        with running_bench(setting) as made:
            empty = made.head.usage()
            made.ask(FILL_RATE, 1.1 * connections / FILL_RATE)
            phase = measure_phase(made, arguments.rate, arguments.seconds, warm_up=0)
            report(run, "by held clients", connections, phase, setting, arguments.rate)
            added = (phase.after.memory_mb - empty.memory_mb) * 1000 / connections
            run.add(harness.Measurement("memory for a client, held", connections, round(added, 2), "kB"))


def measure_volumes(run: harness.Run, arguments: argparse.Namespace) -> None:
    """A head that has met so many volumes."""
    for volumes in arguments.volumes:
        setting = Setting(arguments.nodes, CONNECTIONS, volumes)
        with running_bench(setting) as made:
            made.ask(FILL_RATE, max(2.0, min(1.5 * volumes / FILL_RATE, arguments.longest_fill)))
            phase = measure_phase(made, arguments.rate, arguments.seconds, warm_up=0)
        report(run, "by volumes", volumes, phase, setting, arguments.rate)


def measure_rates(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Higher and higher rates, until answers do not come in time any more."""
    for seed in arguments.seeds:
        carried = 0
        setting = Setting(arguments.nodes, MOST_CLIENTS, choice="newest", seed=seed)
        with running_bench(setting) as made:
            for rate in arguments.rates:
                phase = measure_phase(made, rate, arguments.seconds)
                report(run, f"by rate before {arguments.nodes} nodes", rate, phase, setting, rate)
                if phase.in_time < IN_TIME_PART:
                    break
                carried = rate
        run.add(harness.Measurement("carried in time", arguments.nodes, carried, "requests a second", seed))


def measure_split(run: harness.Run, arguments: argparse.Namespace) -> None:
    """Where the processor time of a request goes."""
    for nodes in arguments.sizes:
        setting = Setting(nodes=nodes, connections=arguments.rate, program=Program.SPLIT)
        with running_bench(setting) as made:
            made.ask(arguments.rate, WARM_UP_S)
            before = made.head.snapshot()
            counts = made.ask(arguments.rate, arguments.seconds)
            after = made.head.snapshot()
        report_split(run, nodes, before, after, counts["due"])


def report_split(run: harness.Run, nodes: int, before: Message, after: Message, requests: int) -> None:
    """Each place's processor time for a request, and what no place explains."""
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
        made = after["calls"].get(what, 0) - before["calls"].get(what, 0)
        run.add(harness.Measurement(f"{what}, split", nodes, round(made / requests, 4), "a request"))


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
    """The command."""
    arguments = arguments_parser().parse_args()
    end_on_signals()
    with harness.recording("request", arguments.out, arguments.at) as run:
        for series in arguments.series.split(","):
            SERIES[series](run, arguments)
    return 0


def arguments_parser() -> argparse.ArgumentParser:
    """The family's arguments and this command's own."""
    made = harness.parser(__doc__ or "", sizes="12,120,400,850,1700")
    made.formatter_class = argparse.RawDescriptionHelpFormatter
    made.add_argument("--series", default=",".join(SERIES), help="which, in order")
    made.add_argument("--rate", type=int, default=RATE, help=f"requests a second, default {RATE}")
    made.add_argument("--nodes", type=int, default=NODES, help=f"where not the axis, default {NODES}")
    made.add_argument("--connections", type=harness.numbers, default=[100, 1_000, 4_000, 9_054])
    made.add_argument("--volumes", type=harness.numbers, default=[10, 1_000, 10_000, 50_000])
    made.add_argument("--rates", type=harness.numbers, default=RATES)
    made.add_argument("--seconds", type=float, default=MEASURE_S, help="of each measured phase")
    made.add_argument("--longest-fill", type=float, default=65.0, help="seconds to make volumes known")
    return made


if __name__ == "__main__":
    sys.exit(main())
