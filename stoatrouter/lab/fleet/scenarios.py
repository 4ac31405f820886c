"""Simulated runs of whole fleets: clients and random faults, then a fault-free period and final checks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from stoatrouter.agreement.raft import Raft
from stoatrouter.lab.fleet import faults
from stoatrouter.lab.fleet.credit import CreditFleet
from stoatrouter.lab.fleet.credit_account import ACCOUNT
from stoatrouter.lab.fleet.credit_ledger import LedgerFleet
from stoatrouter.lab.fleet.faults import Fault, FaultKind
from stoatrouter.lab.fleet.register_clients import run_client
from stoatrouter.lab.fleet.voter_changes import change_voters
from stoatrouter.lab.fleet.voters import MAX_DISK_DELAY, VoterFleet
from stoatrouter.lab.fleet.world import World

SECOND = timedelta(seconds=1)
SETTLE_TIME = 12 * SECOND  # time without faults before the final checks of voters
CREDIT_SETTLE_TIME = 20 * SECOND
SLOW_DISK_DELAY = timedelta(milliseconds=250)
FREQUENT_FAULT_INTERVAL = timedelta(milliseconds=400)  # mean interval between faults
CLIENTS = 3
CLIENT_INTERVAL = SECOND / 10
LOAD_INTERVAL = timedelta(milliseconds=25)
TOP_UPS = 16
# Short partitions and kills in quick succession.
FREQUENT_FAULT_KINDS = (
    FaultKind.PARTITION,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY,
    FaultKind.LOSS,
    FaultKind.KILL,
    FaultKind.KILL,
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.DELAY,
)


@dataclass(slots=True, frozen=True)
class AgreementResult:
    """The result of a run of voters. Equal results mean equal runs, as the digest is part of them."""

    digest: str
    events: int
    acknowledged: int  # number of puts
    reads: int
    voter_changes: int


def run_agreement(
    seed: int,
    heads: int = 5,
    make_raft: Callable[..., Raft] = Raft,
    span: timedelta = 20 * SECOND,
    script: list[Fault] | None = None,
) -> AgreementResult:
    """Run voters with faults, clients and changes of voters.

    Args:
        seed: Seed of all random choices.
        heads: Number of machines.
        make_raft: Creates the reducer of a head.
        span: How long clients and faults are active.
        script: Faults to inject instead of random ones.

    Returns:
        The result of the run.

    Raises:
        InvariantViolated: An invariant does not hold.
        AssertionError: An assertion of the program fails.
    """
    fleet = make_voter_fleet(seed, heads, make_raft)
    world = fleet.world
    injected = draw_faults(seed, world.names, span) if script is None else script
    faults.schedule(world, injected, fleet.kill, fleet.start)
    for client in range(1, CLIENTS + 1):
        run_client(fleet, client, CLIENT_INTERVAL, span)
    change_voters(fleet, span)
    world.run(span)
    fleet.max_disk_delay = MAX_DISK_DELAY
    restart_all(fleet, world.names)
    world.run(span + SETTLE_TIME)
    fleet.check_converged()
    reads = fleet.history.check_reads(fleet.committed_values())
    acknowledged = len(fleet.history.acknowledged)
    return AgreementResult(world.digest.hexdigest(), world.events, acknowledged, reads, fleet.voter_changes)


def has_frequent_faults(seed: int) -> bool:
    """Whether a run has slow disks and faults in quick succession, as half of the seeds have."""
    return seed % 4 >= 2


def make_voter_fleet(seed: int, heads: int, make_raft: Callable[..., Raft]) -> VoterFleet:
    """Create the machines of a run, three or five of which are voters."""
    world = World(seed, [f"h{i}" for i in range(heads)])
    fleet = VoterFleet(world, 3 if seed % 2 else min(5, heads), make_raft)
    if has_frequent_faults(seed):
        fleet.max_disk_delay = SLOW_DISK_DELAY
    return fleet


def draw_faults(seed: int, names: list[str], span: timedelta) -> list[Fault]:
    """Draw the faults of a run of voters."""
    if has_frequent_faults(seed):
        return faults.draw(seed, names, span, FREQUENT_FAULT_KINDS, FREQUENT_FAULT_INTERVAL, SECOND)
    return faults.draw(seed, names, span)


def restart_all(fleet: VoterFleet | CreditFleet, names: list[str]) -> None:
    """Heal the network, and restart every head that is down."""
    fleet.world.heal()
    for name in names:
        if not fleet.world.machines[name].up:
            fleet.start(name)


def run_credit(
    seed: int, heads: int = 5, span: timedelta = 20 * SECOND, wipes: bool = True, **options: Any
) -> CreditFleet:
    """Run credit under faults, with so little of it that accounts repeatedly run empty.

    Args:
        seed: Seed of all random choices.
        heads: Number of heads, without the account.
        span: How long clients and faults are active.
        wipes: Whether heads may lose their disks.
        options: Passed on to `CreditFleet`.

    Returns:
        The fleet at the end of the run.

    Raises:
        InvariantViolated: An invariant does not hold.
    """
    world = World(seed, [*(f"h{i}" for i in range(heads)), ACCOUNT])
    fleet = CreditFleet(world, **options)
    schedule_credit_run(fleet, seed, span, wipes)
    world.run(span)
    restart_all(fleet, fleet.names)
    world.run(span + CREDIT_SETTLE_TIME)
    fleet.check_settled()
    return fleet


def run_ledger(seed: int, heads: int = 5, span: timedelta = 20 * SECOND, **options: Any) -> LedgerFleet:
    """Run credit under faults while customers are created and volumes move; heads have copies of the ledger.

    Args:
        seed: Seed of all random choices.
        heads: Number of heads, without the account.
        span: How long clients and faults are active.
        options: Passed on to `LedgerFleet`.

    Returns:
        The fleet at the end of the run.

    Raises:
        InvariantViolated: An invariant does not hold.
    """
    world = World(seed, [*(f"h{i}" for i in range(heads)), ACCOUNT])
    fleet = LedgerFleet(world, **options)
    for i in range(fleet.customers):
        fleet.put_customer(f"c{i}", f"v{i}")
    schedule_credit_run(fleet, seed, span, wipes=True)
    fleet.change_owners(span)
    world.run(span)
    restart_all(fleet, fleet.names)
    world.run(span + CREDIT_SETTLE_TIME)
    fleet.check_settled()
    return fleet


def schedule_credit_run(fleet: CreditFleet, seed: int, span: timedelta, wipes: bool) -> None:
    """Schedule the faults, requests and top-ups of a credit run."""
    world = fleet.world
    all_kinds = (*faults.KINDS, FaultKind.PAUSE, FaultKind.DUPLICATION)
    kinds = tuple(kind for kind in all_kinds if wipes or kind is not FaultKind.WIPE)
    faults.schedule(world, faults.draw(seed, world.names, span, kinds), fleet.kill, fleet.start)
    fleet.load(span, LOAD_INTERVAL)

    def top_up(customer: str, amount: int) -> Callable[[], None]:
        return lambda: fleet.pay(customer, amount)

    for i in range(TOP_UPS):
        amount = world.rng.choice([20, 200, 1500])
        world.schedule(span * i / TOP_UPS, top_up(f"c{i % fleet.customers}", amount))
