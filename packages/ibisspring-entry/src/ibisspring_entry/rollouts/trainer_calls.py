"""What the trainers' routes ask of the service behind them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisspring_core.errors import Refusal
    from ibisspring_entry.rollouts.peer_batches import Progress
    from ibisspring_entry.rollouts.step_request import StepRequest


@dataclass(frozen=True)
class Published:
    """A version that was taken."""

    trainer: str
    version: int


class TrainerCalls(Protocol):
    """A trainer's calls; each is answered by what was asked for or by a refusal."""

    async def open_step(self, trainer: str, step: int, request: StepRequest) -> Progress | Refusal:
        """Open a step."""

    async def fetch(self, trainer: str, step: int) -> bytes | Progress | Refusal:
        """Bring a step's batch, or how far it is."""

    async def acknowledge(self, trainer: str, step: int, digest: str) -> Progress | Refusal:
        """Take in that the trainer has the batch."""

    async def publish(self, trainer: str, model: str, version: int) -> Published | Refusal:
        """Take in a weight version."""


__all__ = ["Published", "TrainerCalls"]
