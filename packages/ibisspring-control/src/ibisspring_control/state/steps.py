"""Training steps: one batch per step, delivered whole, fresh enough, and each sample once."""

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

# A trainer resends a step or two; what is older is refused by the trainer's lowest step.
KEPT_STEPS = 8


@dataclass(frozen=True)
class Step:
    """
    One step of one trainer.

    :param epoch: rises each time that the step changes hands.
    :param sample_hashes: xxh3 of the ids of every sample that was ever delivered for the step,
        sorted; eight bytes each instead of the ids.
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
    """All steps sorted by trainer and step, and the lowest step that may still be opened."""

    steps: tuple[Step, ...] = ()
    lowest_by_trainer: dict[str, int] = dataclasses.field(default_factory=dict)


class Steps:
    """Steps by trainer and number."""

    def __init__(self, snapshot: StepsSnapshot) -> None:
        self.step_by_key = {(step.trainer, step.step): step for step in snapshot.steps}
        self.lowest_by_trainer = dict(snapshot.lowest_by_trainer)

    def snapshot(self) -> StepsSnapshot:
        """Everything, sorted."""
        steps = tuple(step for _, step in sorted(self.step_by_key.items()))
        return StepsSnapshot(steps, dict(self.lowest_by_trainer))

    def of_trainer(self, trainer: str) -> tuple[Step, ...]:
        """The kept steps of a trainer, lowest first."""
        return tuple(step for key, step in sorted(self.step_by_key.items()) if key[0] == trainer)

    def open(self, command: OpenStep, rules: Rules) -> StepState | Refused:
        """Open a step, answer with its state, or hand it to another entry."""
        key = (command.trainer, command.step)
        step = self.step_by_key.get(key)
        if step is not None:
            return self._open_again(step, command)
        # A forgotten step opened anew would start at epoch 1 and could deliver its old sample ids
        # once more.
        if command.step < self.lowest_by_trainer.get(command.trainer, 0):
            return Refused(Reason.STALE.value, f"step {command.step} is long over")
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
        self._forget_old(command.trainer)
        return _state_of(step)

    def _open_again(self, step: Step, command: OpenStep) -> StepState:
        if step.digest != command.digest:
            return dataclasses.replace(_state_of(step), state=CONFLICT)
        # Only the state machine orders two entries that both found the owner lost: the second one
        # comes with an epoch that is over and gets the new owner's name.
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
        Deliver a whole batch.

        This is the check that the staleness bound rests on: the log orders it against the
        trainer's versions, so no sample that was fresh when an entry looked can have become stale
        before it is delivered.
        """
        step = self.step_by_key.get((command.trainer, command.step))
        if step is None:
            return Refused(Reason.CONFLICT.value, f"step {command.step} is not open")
        if step.state != OPEN or step.epoch != command.epoch:
            same = step.batch_digest == command.batch_digest
            state = step.state if same and step.state != OPEN else CONFLICT
            return dataclasses.replace(_state_of(step), state=state)
        trainer = rules.trainer_by_name.get(command.trainer)
        if trainer is None:
            return Refused(Reason.NOT_ALLOWED.value, f"no rule for trainer {command.trainer!r}")
        hashes = {xxhash.xxh3_64_intdigest(label.sample.encode()) for label in command.labels}
        if len(hashes) != step.samples or len(command.labels) != step.samples:
            detail = f"the batch needs {step.samples} different samples"
            return Refused(Reason.BAD_REQUEST.value, detail)
        if self._delivered_already(command.trainer, hashes):
            return Refused(Reason.CONFLICT.value, "a sample was delivered before")
        oldest = trainer_version - trainer.staleness_versions
        stale = tuple(label.sample for label in command.labels if label.oldest_version < oldest)
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

    def _delivered_already(self, trainer: str, hashes: set[int]) -> bool:
        steps = self.of_trainer(trainer)
        return any(not hashes.isdisjoint(step.sample_hashes) for step in steps)

    def acknowledge(self, command: AckStep) -> StepState | Refused:
        """Note that the trainer holds the batch."""
        step = self.step_by_key.get((command.trainer, command.step))
        if step is None or step.state == OPEN:
            return Refused(Reason.CONFLICT.value, f"step {command.step} has no delivered batch")
        if command.batch_digest not in ("", step.batch_digest):
            return dataclasses.replace(_state_of(step), state=CONFLICT)
        step = dataclasses.replace(step, state=ACKNOWLEDGED)
        self.step_by_key[(step.trainer, step.step)] = step
        self._forget_old(step.trainer)
        return _state_of(step)

    def _forget_old(self, trainer: str) -> None:
        steps = self.of_trainer(trainer)
        for step in steps[:-KEPT_STEPS]:
            del self.step_by_key[(trainer, step.step)]
            lowest = max(self.lowest_by_trainer.get(trainer, 0), step.step + 1)
            self.lowest_by_trainer[trainer] = lowest


def _state_of(step: Step) -> StepState:
    return StepState(step.state, step.epoch, step.daemon, step.incarnation, step.batch_digest)


__all__ = ["Step", "Steps", "StepsSnapshot"]
