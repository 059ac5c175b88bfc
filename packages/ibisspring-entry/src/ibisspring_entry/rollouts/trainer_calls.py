"""Interface between the trainers' HTTP routes and the service that handles their requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisspring_core.errors import Refusal
    from ibisspring_entry.rollouts.peer_batches import Progress
    from ibisspring_entry.rollouts.step_request import StepRequest


@dataclass(frozen=True)
class Published:
    """Response to the publication of a weight version."""

    trainer: str
    version: int


class TrainerCalls(Protocol):
    """The requests of a trainer; each returns its result or a refusal."""

    async def open_step(self, trainer: str, step: int, request: StepRequest) -> Progress | Refusal:
        """Open a step and return its progress."""

    async def fetch(self, trainer: str, step: int) -> bytes | Progress | Refusal:
        """Return a step's batch, or its progress while the batch is incomplete."""

    async def acknowledge(self, trainer: str, step: int, digest: str) -> Progress | Refusal:
        """Record that the trainer has received the batch with this digest."""

    async def publish(self, trainer: str, model: str, version: int) -> Published | Refusal:
        """Record a weight version of a model that the trainer has published."""


__all__ = ["Published", "TrainerCalls"]
