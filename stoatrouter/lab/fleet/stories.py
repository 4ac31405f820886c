"""Whole runs of virtual fleets: drawn faults and clients beside them, checked invariants, then a calm end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from stoatrouter.agreement.raft import Raft
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger import Ledger
from stoatrouter.lab.fleet import faults
from stoatrouter.lab.fleet.credit import CreditFleet
from stoatrouter.lab.fleet.credit_account import ACCOUNT
from stoatrouter.lab.fleet.faults import Fault, FaultKind
from stoatrouter.lab.fleet.register_clients import run_client
from stoatrouter.lab.fleet.voter_changes import change_voters
from stoatrouter.lab.fleet.voters import MAX_DISK_DELAY, VoterFleet
from stoatrouter.lab.fleet.world import World

SECOND = timedelta(seconds=1)
SETTLE_TIME = 12 * SECOND  # without faults, before voters are checked
CREDIT_SETTLE_TIME = 20 * SECOND
SLOW_DISK_DELAY = timedelta(milliseconds=250)
CLIENTS = 3
CLIENT_INTERVAL = SECOND / 10
LOAD_INTERVAL = timedelta(milliseconds=25)
TOP_UPS = 16
# Short partitions and kills that follow each other closely.
ROUGH_KINDS = (
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
    """What a run of voters came to; equal results mean equal runs, as the digest is one of them."""

    digest: str
    events: int
    acknowledged: int  # puts
    reads: int
    voter_changes: int


def run_agreement(
    seed: int,
    heads: int = 5,
    make_raft: Callable[..., Raft] = Raft,
    span: timedelta = 20 * SECOND,
    script: list[Fault] | None = None,
) -> AgreementResult:
    """Run voters under faults, with clients and changes of voters.

    Args:
        seed: Everything that is random; half of the seeds have slow disks and faults in quick succession.
        heads: How many machines there are.
        make_raft: Builds a head's reducer.
        span: How long faults and clients go on.
        script: These faults, in place of drawn ones.

    Returns:
        What the run came to.

    Raises:
        InvariantViolated: An invariant does not hold.
        AssertionError: One of the program's own assertions fails.
    """
    names = [f"h{i}" for i in range(heads)]
    world = World(seed, names)
    is_rough = seed % 4 >= 2
    fleet = VoterFleet(world, 3 if seed % 2 else min(5, heads), make_raft)
    if is_rough:
        fleet.max_disk_delay = SLOW_DISK_DELAY
    drawn = draw_faults(seed, names, span, is_rough)
    faults.schedule(world, drawn if script is None else script, fleet.kill, fleet.start)
    for client in range(1, CLIENTS + 1):
        run_client(fleet, client, CLIENT_INTERVAL, span)
    change_voters(fleet, span)
    world.run(span)
    fleet.max_disk_delay = MAX_DISK_DELAY
    restart_all(fleet, names)
    world.run(span + SETTLE_TIME)
    fleet.check_converged()
    history = fleet.history
    reads = history.check_reads(fleet.committed_values())
    return AgreementResult(
        world.digest.hexdigest(), world.events, len(history.acknowledged), reads, fleet.voter_changes
    )


def draw_faults(seed: int, names: list[str], span: timedelta, is_rough: bool) -> list[Fault]:
    """Draw the faults of a run of voters."""
    if is_rough:
        return faults.draw(seed, names, span, ROUGH_KINDS, timedelta(milliseconds=400), SECOND)
    return faults.draw(seed, names, span)


def restart_all(fleet: VoterFleet | CreditFleet, names: list[str]) -> None:
    """End all faults: heal the network, and start every head that is down."""
    fleet.world.heal()
    for name in names:
        if not fleet.world.machines[name].up:
            fleet.start(name)


def run_credit(
    seed: int,
    heads: int = 5,
    span: timedelta = 20 * SECOND,
    wipes: bool = True,
    customers: int = 2,
    returned: bool = False,
    make_escrow: Callable[..., HeadEscrow] = HeadEscrow,
    make_ledger: Callable[[], Ledger] = Ledger,
    charged_if_unsent: bool = False,
    uneven: bool = False,
) -> CreditFleet:
    """Run credit under faults, so little of it that accounts run empty again and again.

    Args:
        seed: Everything that is random.
        heads: How many heads there are, beside the account.
        span: How long faults and clients go on.
        wipes: Whether heads may lose their disks.
        customers: Passed on to `CreditFleet`, as all that follow.
        returned: Customers get back what failed heads held.
        make_escrow: Builds a head's escrow.
        make_ledger: Builds the account's ledger.
        charged_if_unsent: Charge also requests that never reached a node.
        uneven: Customers come through one head above all.

    Returns:
        The fleet at the end of the run.

    Raises:
        InvariantViolated: An invariant does not hold.
    """
    names = [*(f"h{i}" for i in range(heads)), ACCOUNT]
    world = World(seed, names)
    fleet = CreditFleet(world, customers, returned, make_escrow, make_ledger, charged_if_unsent, uneven)
    schedule_credit_run(fleet, seed, span, wipes)
    world.run(span)
    restart_all(fleet, fleet.names)
    world.run(span + CREDIT_SETTLE_TIME)
    fleet.check_settled()
    return fleet


def schedule_credit_run(fleet: CreditFleet, seed: int, span: timedelta, wipes: bool) -> None:
    """Schedule the faults, requests and top-ups of a run of credit."""
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
