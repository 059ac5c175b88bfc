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

from ibisspring_core.messages.codec import KindCodec


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
class ApplyRules:
    """
    Put a rules file in force by compare-and-set.

    :param base: the version that the operator edited.
    :param text: the whole file.
    :param operator: who applies it.
    """

    base: int
    text: str
    operator: str


@dataclass(frozen=True)
class RulesApplied:
    """Result of `ApplyRules`: the new version."""

    version: int


@dataclass(frozen=True)
class RulesConflict:
    """Result of `ApplyRules` under an old base: who changed what since."""

    version: int
    operator: str
    changed_lines: tuple[str, ...]


@dataclass(frozen=True)
class ClaimKey:
    """
    Claim an idempotency key before a non-idempotent request is sent.

    :param client_account: the claiming client account.
    :param key: the caller's Idempotency-Key, unique within the account.
    :param digest: digest of method, path and body; another one under the same key is a conflict.
    :param request_id: id of the request under which the endpoint sees it.
    :param daemon: entry that claims.
    :param incarnation: start of that entry; a claim of an earlier incarnation is `may_have_run`.
    """

    client_account: str
    key: str
    digest: str
    request_id: str
    daemon: str
    incarnation: int


@dataclass(frozen=True)
class SettleClaim:
    """
    Settle a claim.

    :param outcome: `done` (answer stored), `not_run` (the claim is released) or `may_have_run`.
    :param status: HTTP status of the answer.
    :param answer: body of the answer; empty where it was too large to be stored.
    :param stored: whether `answer` is the whole answer.
    """

    client_account: str
    key: str
    request_id: str
    outcome: str
    status: int = 0
    answer: bytes = b""
    content_type: str = ""
    stored: bool = False


@dataclass(frozen=True)
class ClaimState:
    """
    Result of `ClaimKey` and `SettleClaim`.

    :param state: `granted` (the proposer may send), `running`, `done`, `may_have_run`, `conflict`
        or `released`.
    """

    state: str
    request_id: str
    daemon: str = ""
    status: int = 0
    answer: bytes = b""
    content_type: str = ""
    stored: bool = False


@dataclass(frozen=True)
class UsageRecord:
    """
    Usage of one client account on one service.

    :param tokens: generated tokens.
    :param calls: answered calls.
    :param endpoint_s: seconds of endpoint work.
    """

    client_account: str
    service: str
    tokens: int = 0
    calls: int = 0
    endpoint_s: float = 0.0


@dataclass(frozen=True)
class AddUsage:
    """
    Add an entry's usage; (daemon, incarnation, sequence) counts once.

    :param window: index of the usage window in which the work ended.
    """

    daemon: str
    incarnation: int
    sequence: int
    window: int
    records: tuple[UsageRecord, ...]


@dataclass(frozen=True)
class UsageAdded:
    """
    Result of `AddUsage`: the window that took it, a later one when its own was closed already.
    """

    window: int


@dataclass(frozen=True)
class CloseWindow:
    """Fix the figures of a usage window; proposed by the leader when it is over."""

    window: int


@dataclass(frozen=True)
class WindowReported:
    """The usage interface acknowledged the window."""

    window: int


@dataclass(frozen=True)
class OrderIntent:
    """
    Intent to send an order, committed before it is sent.

    :param order_id: id under which the receiver sees it, also when it is sent again.
    :param receiver: `platform` or `endpoint:<id>`.
    :param body: the order as JSON, sent byte for byte.
    """

    order_id: str
    receiver: str
    body: bytes


@dataclass(frozen=True)
class IntentRecorded:
    """Result of `OrderIntent`: the fencing number, which rises with every intent."""

    fencing: int


@dataclass(frozen=True)
class OrderResolved:
    """
    The end of an order.

    :param outcome: `done`, `refused` or `unknown` (sent, never answered, and given up).
    """

    order_id: str
    outcome: str
    detail: str = ""


@dataclass(frozen=True)
class DrainEndpoint:
    """
    An operator asks that an endpoint gets no new work and is stopped when idle.

    :param cancel: lifts an earlier drain; also proposed once the endpoint was stopped.
    """

    endpoint: str
    operator: str
    cancel: bool = False


@dataclass(frozen=True)
class DaemonStarted:
    """A daemon started: requests that an earlier start of it had claimed may have run."""

    daemon: str
    incarnation: int


@dataclass(frozen=True)
class PublishVersion:
    """A trainer has new weights in the weight store; versions of a trainer only rise."""

    trainer: str
    model: str
    version: int


@dataclass(frozen=True)
class OpenStep:
    """
    Open a training step, or take it over from a lost entry.

    :param step: number of the step.
    :param digest: digest of the step's request; another digest under the same (trainer, step) is a
        conflict.
    :param samples: how many samples make the batch.
    :param daemon: entry that gathers the samples.
    :param incarnation: start of that entry.
    :param take_over_epoch: epoch that the proposer found with a lost owner and replaces; another
        owner keeps the step unless this is its epoch. 0 only opens. A delivered step that is
        taken over is open again: its batch went with the owner and its sample ids are never
        delivered again.
    """

    trainer: str
    step: int
    model: str
    digest: str
    samples: int
    daemon: str
    incarnation: int
    take_over_epoch: int = 0


@dataclass(frozen=True)
class StepState:
    """
    Result of the step commands.

    :param state: `open`, `delivered`, `acknowledged` or `conflict`.
    :param epoch: rises each time that another entry takes the step over; sample ids contain it.
    :param daemon: entry that holds the step.
    :param batch_digest: digest of the delivered batch.
    """

    state: str
    epoch: int
    daemon: str
    incarnation: int
    batch_digest: str = ""


@dataclass(frozen=True)
class SampleLabel:
    """
    A sample in a batch, without its payload.

    :param oldest_version: oldest weight version in its label runs.
    """

    sample: str
    digest: str
    oldest_version: int


@dataclass(frozen=True)
class DeliverBatch:
    """
    Deliver a whole batch; the staleness bound is checked where this is applied.

    :param epoch: the proposer's epoch; an older one loses.
    """

    trainer: str
    step: int
    epoch: int
    batch_digest: str
    labels: tuple[SampleLabel, ...]


@dataclass(frozen=True)
class BatchStale:
    """Result of `DeliverBatch` when samples are older than the bound at this log index."""

    trainer_version: int
    stale_samples: tuple[str, ...]


@dataclass(frozen=True)
class AckStep:
    """
    The trainer holds the batch; its payload may go.

    :param batch_digest: the batch that it holds; one that was replaced is a conflict. Empty takes
        any.
    """

    trainer: str
    step: int
    batch_digest: str = ""


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
