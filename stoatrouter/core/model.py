"""The core's types in one namespace: requests, answers, nodes, events, effects and records.

They are defined in the modules `requests`, `nodes`, `events`, `effects` and `records`, and re-exported here
for use as `model.Request` or `model.SendAttempt`. All times are since the Unix epoch.
"""

from __future__ import annotations

from stoatrouter.core.effects import (
    CancelAttempt,
    CheckHealth,
    Effect,
    GiveAnswer,
    HandoverState,
    RejectRequest,
    SaveAdministrativeState,
    SendAttempt,
    SetTimer,
    WatchOverdue,
)
from stoatrouter.core.events import (
    Arrived,
    AttemptEnded,
    AttemptsElsewhere,
    AttemptStalled,
    ClientLeft,
    ControlEvent,
    EndpointListReceived,
    Event,
    HandedOver,
    HealthCheckEnded,
    Overdue,
    RejectedByFront,
    SetAdministrativeState,
    SpentElsewhere,
    StreamEnded,
    TakenBack,
    TakenOver,
    TimerDue,
)
from stoatrouter.core.nodes import AdministrativeState, NodeInfo
from stoatrouter.core.records import Attempt, Counters, Record, Tally
from stoatrouter.core.requests import Answer, Failed, Head, Refused, Request, Served

__all__ = [
    "AdministrativeState",
    "Answer",
    "Arrived",
    "Attempt",
    "AttemptEnded",
    "AttemptStalled",
    "AttemptsElsewhere",
    "CancelAttempt",
    "CheckHealth",
    "ClientLeft",
    "ControlEvent",
    "Counters",
    "Effect",
    "EndpointListReceived",
    "Event",
    "Failed",
    "StreamEnded",
    "GiveAnswer",
    "HandedOver",
    "HandoverState",
    "Head",
    "HealthCheckEnded",
    "NodeInfo",
    "Overdue",
    "Record",
    "Refused",
    "RejectRequest",
    "RejectedByFront",
    "Request",
    "SaveAdministrativeState",
    "SendAttempt",
    "Served",
    "SetAdministrativeState",
    "SpentElsewhere",
    "SetTimer",
    "Tally",
    "TakenBack",
    "TakenOver",
    "TimerDue",
    "WatchOverdue",
]
