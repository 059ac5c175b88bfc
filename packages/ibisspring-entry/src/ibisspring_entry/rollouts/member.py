"""One sample to be made: its attempts and, in the end, the one that won."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.sampling import MemberView

if TYPE_CHECKING:
    import asyncio

    from ibisspring_entry.rollouts.attempt import EngineInUse
    from ibisspring_entry.rollouts.samples import Sample


class Member:
    """
    One member of a group.

    An attempt that ends whole takes the member before it is scored. Without that a slow scorer
    would make every sample look like a straggler on its engine, and of two racing attempts both
    could win.
    """

    def __init__(self, group: int, member: int) -> None:
        self.group = group
        self.member = member
        self.sample: Sample | None = None
        self.taken = False
        self.attempts = 0
        self.failures = 0
        self.not_before_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.started_by_task: dict[asyncio.Task[None], float] = {}
        self._engine_by_task: dict[asyncio.Task[None], EngineInUse] = {}

    def started(self, task: asyncio.Task[None], engine: EngineInUse, now: float) -> None:
        """Note an attempt that begins."""
        self.tasks.add(task)
        self.started_by_task[task] = now
        self._engine_by_task[task] = engine
        task.add_done_callback(self._forget)

    def take(self, winner: asyncio.Task[None] | None) -> None:
        """Let one attempt win: the others are cancelled, and none of them runs on an engine."""
        self.taken = True
        for task in self.started_by_task:
            if task is not winner:
                task.cancel()
        self.started_by_task.clear()
        self._engine_by_task.clear()

    def endpoints(self) -> tuple[str, ...]:
        """The engines on which attempts run now; a race goes elsewhere."""
        return tuple(engine.endpoint for engine in self._engine_by_task.values())

    def view(self) -> MemberView:
        """What the decision module needs to know."""
        return MemberView(
            self.group,
            self.member,
            done=self.taken,
            started_s=tuple(self.started_by_task.values()),
            not_before_s=self.not_before_s,
        )

    def _forget(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.started_by_task.pop(task, None)
        self._engine_by_task.pop(task, None)


__all__ = ["Member"]
