"""Proposes the commands of a step to the control plane and reads the step's state from it."""

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
    Sends step commands to the control plane for one incarnation of one entry.

    The state machine makes each command idempotent by its content, so a command whose response was
    lost can be proposed again without knowing whether it was applied.
    """

    def __init__(self, control: Any, daemon: str, incarnation: int) -> None:
        self._control = control
        self.daemon = daemon
        self.incarnation = incarnation

    async def open(
        self, trainer: str, step: int, request: StepRequest, take_over_epoch: int = 0
    ) -> StepState | Refusal:
        """
        Open a step, or read which entry owns it.

        :param take_over_epoch: epoch under which a lost entry owned the step, to take it over; 0 to
            take over nothing.
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
        Commit the delivery of a batch; the state machine checks the staleness bound.

        :return: the step's state after the command, the samples that are too old, or a refusal.
        """
        command = DeliverBatch(key.trainer, key.step, key.epoch, batch.digest, batch.labels)
        return await self._propose(command)

    async def acknowledge(self, trainer: str, step: int, digest: str) -> StepState | Refusal:
        """Record that the trainer has received the batch; return the step's state or a refusal."""
        return await self._propose(AckStep(trainer, step, digest))

    async def publish(self, trainer: str, model: str, version: int) -> Any:
        """Record a trainer's new weight version; return the result or a refusal."""
        return await self._propose(PublishVersion(trainer, model, version))

    async def read(self, trainer: str, step: int) -> StepState | None | Refusal:
        """
        Read a step's state from the control leader, confirmed by a quorum.

        :return: the state, None if the step does not exist, or a refusal.
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
