"""One sample of a group: its attempts and the sample of the winning attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.sampling import SampleState

if TYPE_CHECKING:
    import asyncio

    from ibisspring_entry.rollouts.attempt import AttemptEngine
    from ibisspring_entry.rollouts.samples import Sample


class Member:
    """
    One member of a group: a sample, with the attempts to generate it.

    If an attempt is slow, a second engine generates the same sample, and the first complete attempt
    wins. An attempt becomes the winner when its generation is complete, before the sample is
    scored. Otherwise a slow scorer would make every sample look like a straggler on its engine, and
    both of two concurrent attempts could win.
    """

    def __init__(self, group: int, member: int) -> None:
        self.group = group
        self.member = member
        self.sample: Sample | None = None
        self.has_winner = False
        self.attempts = 0
        self.failures = 0
        self.not_before_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.started_by_task: dict[asyncio.Task[None], float] = {}
        self._engine_by_task: dict[asyncio.Task[None], AttemptEngine] = {}

    def add_attempt(self, task: asyncio.Task[None], engine: AttemptEngine, now: float) -> None:
        """Register an attempt that has started, with the engine that runs it."""
        self.tasks.add(task)
        self.started_by_task[task] = now
        self._engine_by_task[task] = engine
        task.add_done_callback(self._remove_attempt)

    def select_winner(self, winner: asyncio.Task[None] | None) -> None:
        """Make one attempt the winner; cancel all other attempts, which frees their engines."""
        self.has_winner = True
        for task in self.started_by_task:
            if task is not winner:
                task.cancel()
        self.started_by_task.clear()
        self._engine_by_task.clear()

    def engines_in_use(self) -> tuple[str, ...]:
        """Return the engines that run attempts now; a second attempt avoids these engines."""
        return tuple(engine.endpoint for engine in self._engine_by_task.values())

    def view(self) -> SampleState:
        """Return the state that `ibisspring_decisions.sampling` needs."""
        return SampleState(
            self.group,
            self.member,
            done=self.has_winner,
            attempt_starts_s=tuple(self.started_by_task.values()),
            not_before_s=self.not_before_s,
        )

    def _remove_attempt(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.started_by_task.pop(task, None)
        self._engine_by_task.pop(task, None)


__all__ = ["Member"]
