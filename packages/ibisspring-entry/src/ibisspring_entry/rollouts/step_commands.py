"""The step commands that an entry proposes and the step's state as control has it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import (
    AckStep,
    BatchStale,
    DeliverBatch,
    OpenStep,
    PublishVersion,
    Refused,
    StepState,
)
from ibisspring_core.request_ids import new_request_id

if TYPE_CHECKING:
    from ibisspring_entry.rollouts.gathering import StepKey
    from ibisspring_entry.rollouts.samples import Batch
    from ibisspring_entry.rollouts.step_request import StepRequest


class StepCommands:
    """
    Speaks to control in the name of one start of one entry.

    The state machine makes each command idempotent by what it says, so a command whose answer was
    lost is proposed again without knowing whether it was applied.
    """

    def __init__(self, control: Any, daemon: str, incarnation: int) -> None:
        self._control = control
        self.daemon = daemon
        self.incarnation = incarnation

    async def open(
        self, trainer: str, step: int, request: StepRequest, take_over_epoch: int = 0
    ) -> StepState | Refusal:
        """
        Open a step, or learn who has it.

        :param take_over_epoch: epoch of a lost owner that is replaced; 0 replaces none.
        :return: the step's state, or a refusal.
        """
        command = OpenStep(
            trainer,
            step,
            request.model,
            request.digest(),
            request.sample_count(),
            self.daemon,
            self.incarnation,
            take_over_epoch,
        )
        return await self._propose(command)

    async def deliver(self, key: StepKey, batch: Batch) -> StepState | BatchStale | Refusal:
        """
        Commit the delivery of a batch; the staleness bound is checked where this is applied.

        :return: the step's state after it, the samples that are too old, or a refusal.
        """
        command = DeliverBatch(key.trainer, key.step, key.epoch, batch.digest, batch.labels)
        return await self._propose(command)

    async def acknowledge(self, trainer: str, step: int, digest: str) -> StepState | Refusal:
        """Note that the trainer holds the batch."""
        return await self._propose(AckStep(trainer, step, digest))

    async def publish(self, trainer: str, model: str, version: int) -> Any:
        """Take a trainer's new weight version."""
        return await self._propose(PublishVersion(trainer, model, version))

    async def read(self, trainer: str, step: int) -> StepState | None | Refusal:
        """
        Read a step's state, confirmed by a quorum.

        :return: the state, None for a step that is not known, or a refusal.
        """
        answer = await self._control.read("step", trainer=trainer, step=step)
        if isinstance(answer, Refusal):
            return answer
        if not answer["found"]:
            return None
        return msgspec.convert(answer, StepState)

    async def _propose(self, command: Any) -> Any:
        result = await self._control.propose(command, new_request_id())
        if isinstance(result, Refused):
            return Refusal(Reason(result.reason), not_run=True, detail=result.detail)
        return result


__all__ = ["StepCommands"]
