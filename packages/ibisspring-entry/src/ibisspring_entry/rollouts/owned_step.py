"""State of a training step on the entry that owns the step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_entry.rollouts.gathering import Gathering
    from ibisspring_entry.rollouts.samples import Batch
    from ibisspring_entry.rollouts.scoring import ScoreBatcher
    from ibisspring_entry.rollouts.step_request import StepRequest


class OwnedStep:
    """
    A training step owned by this entry, which holds the batch until the trainer acknowledges it.

    `proposed` is a batch whose delivery was proposed and may have been committed; `batch` is the
    batch whose delivery is known to be committed.
    """

    def __init__(self, request: StepRequest, gathering: Gathering, scorer: ScoreBatcher) -> None:
        self.request = request
        self.gathering = gathering
        self.scorer = scorer
        self.proposed: Batch | None = None
        self.batch: Batch | None = None

    async def stop(self) -> None:
        """Cancel generation and scoring of the step."""
        await self.gathering.stop()
        await self.scorer.stop()


__all__ = ["OwnedStep"]
