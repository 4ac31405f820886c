"""The adapter for the simulator: its wire protocol on standard input and output, one scheduler per instance.

It only translates between the wire and the scheduler. Instances share no state.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from stoatrouter.policy import interface as api
from stoatrouter.policy.scheduler import Scheduler

Fields = dict[str, Any]

EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.IDEMPOTENT, "fragile": api.Effect.UNSAFE}
REGISTRY = {"automatic": False, "subscribe": True}  # whether the endpoint list requires a subscription
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.SHARD}
PHASES = {"on": api.Phase.ON, "fading": api.Phase.DRAINING, "off": api.Phase.GONE}
LISTS = {
    "update": api.ListKind.CHANGES,
    "replace": api.ListKind.FULL,
    "restored": api.ListKind.RESTORED,
    "unavailable": api.ListKind.UNAVAILABLE,
}
REPEAT_BIT, WRITE_BIT = 2, 4


class WireError(Exception):
    """The input does not follow the wire protocol."""


def read_settings(data: Fields) -> api.Settings:
    """Read the settings from an instance's first message; unknown keys are ignored."""
    extra = data.get("Extra", {})
    limits = data["Limits"]
    rules = data["Contract"]
    writes = extra.get("ChangesData") or []
    return api.Settings(
        classes=tuple(
            read_class(kind, bool(writes[i]) if i < len(writes) else False)
            for i, kind in enumerate(data["Classes"])
        ),
        plans=tuple(read_plan(plan) for plan in data["Contracts"]),
        rules=read_rules(rules, extra),
        hosts=data["Balancers"],
        host_index=data["Me"],
        zone=data.get("Zone") or 0,
        tick=data.get("Tick") or 0,
        max_attempts=limits["MostTries"],
        parallel_attempts=bool(limits.get("ParallelTries")),
        may_cancel=bool(limits.get("Cancel")),
        health_checks=bool(limits.get("Probes")),
        accepts_retry_after=bool(limits.get("RetryAfter")),
        max_retry_after=limits.get("MaxRetryAfter") or 0,
        must_subscribe=REGISTRY[data.get("RegistryMode") or "automatic"],
        quota_weight_factor=extra.get("FairWorth", 1.0),
        excess_weight_factor=extra.get("BeyondShare", 1.0),
        mean_units=extra.get("UnitMean") or 1.0,
        max_units=extra.get("MostUnits") or 1.0,
        meter_period=extra.get("Metering") or 0,
        meters_others=bool(extra.get("SaysOthers")),
        report_fields=tuple((data.get("Report") or {}).get("Fields") or ()),
    )


def read_class(data: Fields, writes: bool) -> api.RequestClass:
    """Read a request class; whether it writes is sent separately on the wire."""
    return api.RequestClass(
        name=data["Name"],
        priority_weight=data["Points"],
        latency_objective=data["Promise"],
        deadline=data["HardLimit"],
        late_weight_factor=data.get("LateWorth") or 0.0,
        effect=EFFECTS[data["Effect"]],
        group=GROUPS[data.get("Group") or "all"],
        repeat_window=data.get("Window") or 0,
        writes=writes,
        ordered_by_key=bool(data.get("InTurn")),
        stream=bool(data.get("Stream")),
    )


def read_plan(data: Fields) -> api.Plan:
    """Read a plan."""
    return api.Plan(
        name=data["Name"],
        usual_rate=data.get("UsualRate") or 0.0,
        reserve=data.get("Guaranteed") or 0.0,
        weight=data.get("Shares", 1.0),
        price=data.get("Price", 1.0),
        limit=data.get("Limit") or 0.0,
        burst=data.get("Burst") or 0.0,
        tolerance=data.get("Tolerance") or 0.0,
    )


def read_rules(data: Fields, extra: Fields) -> api.Rules:
    """Read the parameters of the rules."""
    return api.Rules(
        answer_slack=data.get("AnswerSlack") or 0,
        drain_grace=data.get("DrainGrace") or 0,
        warm_up_from=data.get("ColdFrom", 1.0),
        warm_up_time=data.get("Cold") or 0,
        warm_up_units=extra.get("ColdBears") or 0.0,
        overload_window=data.get("Fall") or 0,
        overload_multiple=data.get("FallMultiple") or 1.0,
        poll_within=data.get("AskWithin"),
        key_hold_down=data.get("KeyRest"),
        retry_budget_window=data.get("CountedOver"),
        retry_budget_min=data.get("SpareAttempts") or 0.0,
        retry_budget_ratio=data.get("ExtraRatio") or 0.0,
    )


def read_list(message: Fields) -> api.EndpointList:
    """Read a message of the endpoint list."""
    kind = LISTS[message["Form"]]
    return api.EndpointList(kind, tuple(read_entry(entry) for entry in message["NodesList"] or ()))


def read_entry(data: Fields) -> api.NodeEntry:
    """Read one endpoint."""
    return api.NodeEntry(
        node=data["Brick"],
        shard=data["UnitGroup"],
        zone=data["RegionPart"],
        phase=PHASES[data["Phase"]],
        weight=data["Weight"],
        up_since=data.get("UpSince") or 0,
    )


def read_request(message: Fields) -> api.RequestArrived:
    """Read a client's request."""
    bits = message["Bitmap"]
    return api.RequestArrived(
        request=message["MsgId"],
        volume=message["ShareId"],
        plan=message["ServiceLevel"],
        request_class=message["Service"],
        shard=int(message["Shard"]),
        time_left=message["Left"],
        units=message["Weight"],
        hosts=int(message["Writers"]),
        key=message["Item"],
        repeat=bool(bits & REPEAT_BIT),
        write=bool(bits & WRITE_BIT),
    )


def read_outcome(message: Fields) -> api.AttemptEnded:
    """Read how an attempt ended."""
    return api.AttemptEnded(
        request=message["MsgId"],
        attempt=message["SeqNo"],
        node=message["Brick"],
        outcome=api.Outcome(message["Status"]),
        took=message["TimeTaken"],
        finished=bool(message["Finished"]),
        volume_percent=message.get("Used") or 0,
        units_by_others=message.get("ByOthers") or 0.0,
        load=message.get("Load"),
    )


READERS: dict[str, Callable[[Fields], api.Event | None]] = {
    "DISCOVERY": read_list,
    "JOB_IN": read_request,
    "RESULT": read_outcome,
    "HEADERS": lambda e: api.StreamStarted(e["MsgId"], e["SeqNo"], e["Brick"]),
    "CHECK_RESULT": lambda e: api.HealthCheckEnded(
        e["Brick"], api.Outcome(e["Status"]), e["TimeTaken"], e.get("Load")
    ),
    "LEFT": lambda e: api.ClientGone(e["MsgId"]),
    "DUE": lambda e: api.TimerFired(e["Cookie"]),
    "INBOX": lambda e: None,  # hosts exchange no messages: each keeps every rule on its own
}

WRITERS: dict[type, Callable[[Any], Fields]] = {
    api.Send: lambda a: {"cmd": "CALL_OUT", "MsgId": a.request, "Brick": a.node, "TryFor": a.timeout},
    api.Reject: lambda a: {"cmd": "SHED", "MsgId": a.request, "RetryIn": a.retry_after},
    api.Fail: lambda a: {"cmd": "REPORT_FAILURE", "MsgId": a.request},
    api.CancelAttempt: lambda a: {"cmd": "STOP_ATTEMPT", "MsgId": a.request, "SeqNo": a.attempt},
    api.SetTimer: lambda a: {"cmd": "AFTER", "After": a.after, "Cookie": a.token},
    api.Subscribe: lambda a: {"cmd": "WATCH", "Want": True},
    api.CheckHealth: lambda a: {"cmd": "SAMPLE", "Brick": a.node},
}


class SchedulerHost:
    """All instances of this process, each with its own scheduler."""

    def __init__(self) -> None:
        """Start without instances; an ATTACH message creates one for its host, and HALT ends it."""
        self.instances: dict[str, Scheduler] = {}

    def process_batch(self, line: str) -> str:
        """Process one batch, a line of JSON, and return the reply line.

        Raises:
            WireError: if the line is not a batch, or a message in it does not follow the protocol.
        """
        try:
            batch = json.loads(line)
            now = batch["Time"]
            events = batch["events"]
        except (ValueError, KeyError, TypeError) as error:
            raise WireError(f"not a batch: {describe(error)}") from None
        if not isinstance(events, list):
            raise WireError("not a batch: events must be a list")
        commands: list[Fields] = []
        for event in events:
            commands.extend(self.process_event(now, event))
        return json.dumps({"cmds": commands}, separators=(",", ":"))

    def process_event(self, now: int, event: Fields) -> list[Fields]:
        """Pass one event to its instance and return the resulting commands in wire format."""
        try:
            name = event["cmd"]
            host = event["HostId"]
            if name == "ATTACH":
                settings = read_settings(event["ProfileData"])
                seed = event["InitSeed"]
            elif name == "HALT":
                self.instances.pop(host, None)
                return []
            elif name not in READERS:
                raise WireError(f"unknown message {name!r}")
            else:
                parsed = READERS[name](event)
                scheduler = self.instances[host]
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            label = event.get("cmd") if isinstance(event, dict) else event
            raise WireError(f"bad message {label!r}: {describe(error)}") from None
        try:
            if name == "ATTACH":
                self.instances[host] = Scheduler(settings, seed)
                return []
            actions = scheduler.handle(now, parsed) if parsed is not None else []
            return [{**WRITERS[type(a)](a), "HostId": host} for a in actions]
        except Exception as error:  # noqa: BLE001 - any fault in a decision is reported on the wire
            return [{"cmd": "FAULT", "HostId": host, "NoteText": f"{type(error).__name__}: {error}"}]


def describe(error: Exception) -> str:
    """Return a description of the fault in one line."""
    return f"missing {error}" if isinstance(error, KeyError) else " ".join(str(error).split())


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Serve batches until the input ends."""
    scheduler_host = SchedulerHost()
    for line in source:
        try:
            reply = scheduler_host.process_batch(line)
        except WireError as error:
            print(f"simhost: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
