"""
Training steps: a trainer's requests for one batch of samples each.

Each step delivers one complete batch whose samples are within the trainer's staleness limit, and no
sample is delivered twice.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import (
    AckStep,
    BatchStale,
    DeliverBatch,
    OpenStep,
    Refused,
    StepState,
)

if TYPE_CHECKING:
    from ibisspring_core.rules import Rules

OPEN = "open"
DELIVERED = "delivered"
ACKNOWLEDGED = "acknowledged"
CONFLICT = "conflict"

# Maximum number of kept steps of one trainer. A trainer resends only its last one or two steps;
# steps with a lower number than the trainer's value in `lowest_by_trainer` are refused.
MAX_STEPS_PER_TRAINER = 8


@dataclass(frozen=True)
class Step:
    """
    One training step of one trainer.

    :param digest: digest of the trainer's request; another digest for the same step is a conflict.
    :param samples: number of samples in the batch.
    :param daemon: id of the entry that owns the step, that is, gathers its samples.
    :param epoch: number of the step's owner; incremented when another entry takes over the step.
    :param state: `open`, `delivered` or `acknowledged`.
    :param batch_digest: digest of the delivered batch; empty while the step is open.
    :param sample_hashes: xxh3 of the ids of every sample that was ever delivered for the step,
        sorted. Hashes are stored because a hash has eight bytes, less than an id.
    """

    trainer: str
    step: int
    model: str
    digest: str
    samples: int
    daemon: str
    incarnation: int
    epoch: int = 1
    state: str = OPEN
    batch_digest: str = ""
    sample_hashes: tuple[int, ...] = ()


@dataclass(frozen=True)
class StepsSnapshot:
    """All steps, sorted by trainer and step, and each trainer's lowest step that may be opened."""

    steps: tuple[Step, ...] = ()
    lowest_by_trainer: dict[str, int] = dataclasses.field(default_factory=dict)


class Steps:
    """Training steps by trainer and step number."""

    def __init__(self, snapshot: StepsSnapshot) -> None:
        self.step_by_key = {(step.trainer, step.step): step for step in snapshot.steps}
        self.lowest_by_trainer = dict(snapshot.lowest_by_trainer)

    def snapshot(self) -> StepsSnapshot:
        """Return all kept steps, sorted by trainer and step number."""
        steps = tuple(step for _, step in sorted(self.step_by_key.items()))
        return StepsSnapshot(steps, dict(self.lowest_by_trainer))

    def steps_of(self, trainer: str) -> tuple[Step, ...]:
        """Return the kept steps of a trainer, lowest first."""
        return tuple(step for key, step in sorted(self.step_by_key.items()) if key[0] == trainer)

    def open(self, command: OpenStep, rules: Rules) -> StepState | Refused:
        """Open a step, or make another entry its owner; return the resulting state of the step."""
        key = (command.trainer, command.step)
        step = self.step_by_key.get(key)
        if step is not None:
            return self._reopen(step, command)
        # If a step whose record was removed were opened again, it would start at epoch 1 and could
        # deliver the same sample ids a second time.
        if command.step < self.lowest_by_trainer.get(command.trainer, 0):
            return Refused(
                Reason.STALE.value, f"step {command.step} is older than the steps that are kept"
            )
        if command.trainer not in rules.trainers_by_model.get(command.model, ()):
            detail = f"no share rule lets {command.trainer!r} use {command.model!r}"
            return Refused(Reason.NOT_ALLOWED.value, detail)
        step = Step(
            command.trainer,
            command.step,
            command.model,
            command.digest,
            command.samples,
            command.daemon,
            command.incarnation,
        )
        self.step_by_key[key] = step
        self._remove_oldest(command.trainer)
        return _state_of(step)

    def _reopen(self, step: Step, command: OpenStep) -> StepState:
        if step.digest != command.digest:
            return dataclasses.replace(_state_of(step), state=CONFLICT)
        # Two entries may detect the loss of the step's owner at the same time. The entry whose
        # command is first in the log takes over the step. The second command has an outdated epoch
        # and is answered with the new owner.
        taken_over = command.take_over_epoch == step.epoch and step.state != ACKNOWLEDGED
        if not taken_over:
            return _state_of(step)
        step = dataclasses.replace(
            step,
            daemon=command.daemon,
            incarnation=command.incarnation,
            epoch=step.epoch + 1,
            state=OPEN,
            batch_digest="",
        )
        self.step_by_key[(step.trainer, step.step)] = step
        return _state_of(step)

    def deliver(
        self, command: DeliverBatch, rules: Rules, trainer_version: int
    ) -> StepState | BatchStale | Refused:
        """
        Record the delivery of a complete batch, or refuse the batch.

        The staleness limit is enforced here, because the log fixes whether a weight version was
        published before or after this command. A sample may have become stale since the entry
        checked it.
        """
        step = self.step_by_key.get((command.trainer, command.step))
        if step is None:
            return Refused(Reason.CONFLICT.value, f"step {command.step} is not open")
        if step.state != OPEN or step.epoch != command.epoch:
            same_batch = step.batch_digest == command.batch_digest
            state = step.state if same_batch and step.state != OPEN else CONFLICT
            return dataclasses.replace(_state_of(step), state=state)
        trainer = rules.trainer_by_name.get(command.trainer)
        if trainer is None:
            return Refused(Reason.NOT_ALLOWED.value, f"no rule for trainer {command.trainer!r}")
        hashes = {xxhash.xxh3_64_intdigest(label.sample.encode()) for label in command.labels}
        if len(hashes) != step.samples or len(command.labels) != step.samples:
            detail = f"the batch needs {step.samples} different samples"
            return Refused(Reason.BAD_REQUEST.value, detail)
        if self._any_delivered(command.trainer, hashes):
            return Refused(Reason.CONFLICT.value, "a sample of this batch was already delivered")
        oldest_allowed = trainer_version - trainer.staleness_versions
        stale = tuple(
            label.sample for label in command.labels if label.oldest_version < oldest_allowed
        )
        if stale:
            return BatchStale(trainer_version, stale)
        step = dataclasses.replace(
            step,
            state=DELIVERED,
            batch_digest=command.batch_digest,
            sample_hashes=tuple(sorted(hashes | set(step.sample_hashes))),
        )
        self.step_by_key[(step.trainer, step.step)] = step
        return _state_of(step)

    def _any_delivered(self, trainer: str, hashes: set[int]) -> bool:
        steps = self.steps_of(trainer)
        return any(not hashes.isdisjoint(step.sample_hashes) for step in steps)

    def acknowledge(self, command: AckStep) -> StepState | Refused:
        """Record that the trainer received the delivered batch of a step."""
        step = self.step_by_key.get((command.trainer, command.step))
        if step is None or step.state == OPEN:
            return Refused(Reason.CONFLICT.value, f"step {command.step} has no delivered batch")
        if command.batch_digest not in ("", step.batch_digest):
            return dataclasses.replace(_state_of(step), state=CONFLICT)
        step = dataclasses.replace(step, state=ACKNOWLEDGED)
        self.step_by_key[(step.trainer, step.step)] = step
        self._remove_oldest(step.trainer)
        return _state_of(step)

    def _remove_oldest(self, trainer: str) -> None:
        steps = self.steps_of(trainer)
        for step in steps[:-MAX_STEPS_PER_TRAINER]:
            del self.step_by_key[(trainer, step.step)]
            lowest = max(self.lowest_by_trainer.get(trainer, 0), step.step + 1)
            self.lowest_by_trainer[trainer] = lowest


def _state_of(step: Step) -> StepState:
    return StepState(step.state, step.epoch, step.daemon, step.incarnation, step.batch_digest)


__all__ = ["Step", "Steps", "StepsSnapshot"]
