"""The adapter: the simulator's wire on standard input and output, one scheduler for each instance.

It translates and does nothing else. Instances share nothing.
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
REGISTRY = {"automatic": False, "subscribe": True}  # whether the list must be asked for
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
    """The input is not what the wire page promises."""


def read_settings(data: Fields) -> api.Settings:
    """Build the settings from an instance's first message; keys that are not known are skipped."""
    extra, limits, rules = data.get("Extra", {}), data["Limits"], data["Contract"]
    writes = extra.get("ChangesData") or []
    classes = tuple(
        api.RequestClass(
            name=c["Name"],
            priority_weight=c["Points"],
            latency_objective=c["Promise"],
            deadline=c["HardLimit"],
            late_weight_factor=c.get("LateWorth") or 0.0,
            effect=EFFECTS[c["Effect"]],
            group=GROUPS[c.get("Group") or "all"],
            repeat_window=c.get("Window") or 0,
            writes=bool(writes[i]) if i < len(writes) else False,
            ordered_by_key=bool(c.get("InTurn")),
            stream=bool(c.get("Stream")),
        )
        for i, c in enumerate(data["Classes"])
    )
    plans = tuple(
        api.Plan(
            name=p["Name"],
            usual_rate=p.get("UsualRate") or 0.0,
            reserve=p.get("Guaranteed") or 0.0,
            weight=p.get("Shares", 1.0),
            price=p.get("Price", 1.0),
            limit=p.get("Limit") or 0.0,
            burst=p.get("Burst") or 0.0,
            tolerance=p.get("Tolerance") or 0.0,
        )
        for p in data["Contracts"]
    )
    return api.Settings(
        classes=classes,
        plans=plans,
        rules=api.Rules(
            answer_slack=rules.get("AnswerSlack") or 0,
            drain_grace=rules.get("DrainGrace") or 0,
            warm_up_from=rules.get("ColdFrom", 1.0),
            warm_up_time=rules.get("Cold") or 0,
            warm_up_units=extra.get("ColdBears") or 0.0,
            overload_window=rules.get("Fall") or 0,
            overload_multiple=rules.get("FallMultiple") or 1.0,
            poll_within=rules.get("AskWithin"),
            key_hold_down=rules.get("KeyRest"),
            retry_budget_window=rules.get("CountedOver"),
            retry_budget_min=rules.get("SpareAttempts") or 0.0,
            retry_budget_ratio=rules.get("ExtraRatio") or 0.0,
        ),
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


def read_list(e: Fields) -> api.EndpointList:
    """Read a message of the node list."""
    return api.EndpointList(
        LISTS[e["Form"]],
        tuple(
            api.NodeEntry(
                n["Brick"],
                n["UnitGroup"],
                n["RegionPart"],
                PHASES[n["Phase"]],
                n["Weight"],
                n.get("UpSince") or 0,
            )
            for n in e["NodesList"] or ()
        ),
    )


def read_request(e: Fields) -> api.RequestArrived:
    """Read a client's request."""
    bits = e["Bitmap"]
    return api.RequestArrived(
        request=e["MsgId"],
        volume=e["ShareId"],
        plan=e["ServiceLevel"],
        request_class=e["Service"],
        shard=int(e["Shard"]),
        time_left=e["Left"],
        units=e["Weight"],
        hosts=int(e["Writers"]),
        key=e["Item"],
        repeat=bool(bits & REPEAT_BIT),
        write=bool(bits & WRITE_BIT),
    )


def read_outcome(e: Fields) -> api.AttemptEnded:
    """Read how an attempt ended."""
    return api.AttemptEnded(
        e["MsgId"],
        e["SeqNo"],
        e["Brick"],
        api.Outcome(e["Status"]),
        e["TimeTaken"],
        bool(e["Finished"]),
        e.get("Used") or 0,
        e.get("ByOthers") or 0.0,
        e.get("Load"),
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
    "INBOX": lambda e: None,  # hosts keep every rule alone and tell each other nothing
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


class Bridge:
    """All instances of this process; each has a scheduler of its own."""

    def __init__(self) -> None:
        """Start with no instances; each is made by an ATTACH message for its host and ended by HALT."""
        self.instances: dict[str, Scheduler] = {}

    def batch(self, line: str) -> str:
        """Answer one batch."""
        try:
            batch = json.loads(line)
            now, events = batch["Time"], batch["events"]
        except (ValueError, KeyError, TypeError) as error:
            raise WireError(f"not a batch: {describe(error)}") from None
        if not isinstance(events, list):
            raise WireError("not a batch: events must be a list")
        commands: list[Fields] = []
        for event in events:
            commands.extend(self.event(now, event))
        return json.dumps({"cmds": commands}, separators=(",", ":"))

    def event(self, now: int, event: Fields) -> list[Fields]:
        """Pass one event to its instance and put its actions on the wire."""
        try:
            name, host = event["cmd"], event["HostId"]
            if name == "ATTACH":
                settings, seed = read_settings(event["ProfileData"]), event["InitSeed"]
            elif name == "HALT":
                self.instances.pop(host, None)
                return []
            elif name not in READERS:
                raise WireError(f"unknown message {name!r}")
            else:
                parsed, scheduler = READERS[name](event), self.instances[host]
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            label = event.get("cmd") if isinstance(event, dict) else event
            raise WireError(f"bad message {label!r}: {describe(error)}") from None
        try:
            if name == "ATTACH":
                self.instances[host] = Scheduler(settings, seed)
                return []
            actions = scheduler.handle(now, parsed) if parsed is not None else []
            return [{**WRITERS[type(a)](a), "HostId": host} for a in actions]
        except Exception as error:  # noqa: BLE001 - whatever breaks in a decision is reported on the wire
            return [{"cmd": "FAULT", "HostId": host, "NoteText": f"{type(error).__name__}: {error}"}]


def describe(error: Exception) -> str:
    """Name what was wrong in one line."""
    return f"missing {error}" if isinstance(error, KeyError) else " ".join(str(error).split())


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Serve batches until the input ends."""
    bridge = Bridge()
    for line in source:
        try:
            reply = bridge.batch(line)
        except WireError as error:
            print(f"simhost: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
