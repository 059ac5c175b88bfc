"""
Commands to the replicated state machine and their results.

Every command is idempotent. Most have an idempotency key of their own (usage sequence, order id,
usage window, claim, step and epoch) and may be proposed under any request id; the state machine
answers a repeated command from the state stored under that key. `ApplyRules` and `DrainEndpoint`
have none: their key is the `Envelope`'s request id, made by
`ibisspring_core.request_ids.new_request_id`. If the state machine refuses a command, its result is
`Refused`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ibisspring_core.messages.claim_commands import (
    ClaimKey,
    ClaimState,
    SettleClaim,
)
from ibisspring_core.messages.codec import KindCodec
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    ReportEnd,
    StartTrial,
    SuspectsChanged,
    TrialStarted,
)
from ibisspring_core.messages.order_commands import (
    DaemonStarted,
    DrainEndpoint,
    IntentRecorded,
    OrderIntent,
    OrderResolved,
)
from ibisspring_core.messages.rule_commands import (
    ApplyRules,
    RulesApplied,
    RulesConflict,
)
from ibisspring_core.messages.step_commands import (
    AckStep,
    BatchStale,
    DeliverBatch,
    OpenStep,
    PublishVersion,
    SampleLabel,
    StepState,
)
from ibisspring_core.messages.usage_commands import (
    AddUsage,
    CloseWindow,
    UsageAdded,
    UsageRecord,
    WindowReported,
)


@dataclass(frozen=True)
class Envelope:
    """
    Content of one entry of the replicated log: a command with its request id and time.

    :param request_id: idempotency key of the command, set by the proposer.
    :param stamped_s: the leader's wall clock at the proposal, in seconds since 1970. The state
        machine uses no other clock, so that all replicas compute the same state.
    :param command: a command, encoded by `COMMANDS`.
    """

    request_id: str
    stamped_s: float
    command: msgspec.Raw


@dataclass(frozen=True)
class Done:
    """Result of a command that was applied and returns no value."""


@dataclass(frozen=True)
class Refused:
    """
    Result of a command that the state machine refuses.

    :param reason: value of an `errors.Reason`.
    :param detail: one sentence for humans.
    """

    reason: str
    detail: str = ""


COMMANDS = KindCodec.from_types(
    ApplyRules,
    ClaimKey,
    SettleClaim,
    AddUsage,
    CloseWindow,
    WindowReported,
    OrderIntent,
    OrderResolved,
    DrainEndpoint,
    PublishVersion,
    OpenStep,
    DeliverBatch,
    AckStep,
    DaemonStarted,
    ReportEnd,
    ClearSuspect,
    StartTrial,
)

RESULTS = KindCodec.from_types(
    RulesApplied,
    RulesConflict,
    ClaimState,
    UsageAdded,
    IntentRecorded,
    StepState,
    BatchStale,
    Done,
    Refused,
    SuspectsChanged,
    TrialStarted,
)

__all__ = [
    "COMMANDS",
    "RESULTS",
    "AckStep",
    "AddUsage",
    "ApplyRules",
    "BatchStale",
    "ClaimKey",
    "ClaimState",
    "CloseWindow",
    "DaemonStarted",
    "DeliverBatch",
    "Done",
    "DrainEndpoint",
    "Envelope",
    "IntentRecorded",
    "OpenStep",
    "OrderIntent",
    "OrderResolved",
    "PublishVersion",
    "Refused",
    "RulesApplied",
    "RulesConflict",
    "SampleLabel",
    "SettleClaim",
    "StepState",
    "UsageAdded",
    "UsageRecord",
    "WindowReported",
]
