"""
Commands to the replicated state machine and their results.

Every command is idempotent. Most have a key of their own (usage sequence, order id, window, claim,
step and epoch) and may be proposed under any request id; the state machine answers a repetition
from what it holds under that key. `ApplyRules` and `DrainEndpoint` have none: for them the
`Envelope`'s request id is the key, made by `ibisspring_core.request_ids.new_request_id`. A refusal
by the state machine is the result `Refused`.
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
    What one log entry holds.

    :param request_id: idempotency key of the command, chosen by who proposes it.
    :param stamped_s: wall-clock seconds given by the leader at the proposal; the only time the
        state machine knows.
    :param command: a command, encoded by `COMMANDS`.
    """

    request_id: str
    stamped_s: float
    command: msgspec.Raw


@dataclass(frozen=True)
class Done:
    """Result of a command that has nothing to tell."""


@dataclass(frozen=True)
class Refused:
    """
    Result of a command that the state machine refuses.

    :param reason: value of an `errors.Reason`.
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
