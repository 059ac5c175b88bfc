"""A step on the entry that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_entry.rollouts.gathering import Gathering
    from ibisspring_entry.rollouts.samples import Batch
    from ibisspring_entry.rollouts.scoring import ScoreBatcher
    from ibisspring_entry.rollouts.step_request import StepRequest


class OwnedStep:
    """
    A step that this entry gathers and whose payload it holds until the trainer has it.

    `proposed` is a batch whose delivery may have been committed, `batch` the one that was.
    """

    def __init__(self, request: StepRequest, gathering: Gathering, scorer: ScoreBatcher) -> None:
        self.request = request
        self.gathering = gathering
        self.scorer = scorer
        self.proposed: Batch | None = None
        self.batch: Batch | None = None

    async def stop(self) -> None:
        """End all work for the step."""
        await self.gathering.stop()
        await self.scorer.stop()


__all__ = ["OwnedStep"]
