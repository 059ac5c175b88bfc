"""The runs of a runner: those of the current epoch, and those of earlier ones that it holds."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_core.messages.jobs import FAILURES, AdoptedRun, HeldRun, text_digest
from ibisspring_gateway.item_run import RunProgress

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ibisspring_core.messages.jobs import Assignment

_keys = itertools.count(1)


@dataclass
class ActiveRun:
    """
    An assignment whose final outcome the dispatcher has not confirmed.

    :param number: number of the assignment in the current epoch; outdated while the run is held.
    :param progress: the events that the engine has produced in this run.
    :param kind: how the generation ended; empty while it goes on.
    :param scoring: the item's reward call is in progress.
    :param returned: the generation was stopped because this entry is near a limit.
    :param task: the task of the generation, or of the steps after it.
    :param key: the runner's own number, which is the same in all epochs.
    :param run_id: id of the run, unique among all runners.
    """

    assignment: Assignment
    number: int
    progress: RunProgress = field(default_factory=RunProgress)
    kind: str = ""
    scoring: bool = False
    returned: bool = False
    task: asyncio.Task[None] | None = None
    key: int = field(default_factory=lambda: next(_keys))
    run_id: str = field(default_factory=lambda: secrets.token_hex(8))

    def start(self, steps: Coroutine[None, None, None]) -> None:
        """Run the next steps of this run in a task."""
        self.task = asyncio.create_task(steps, name=f"run:{self.assignment.item.item}")

    def cancel(self) -> None:
        """Cancel what the run is doing; its stream is closed, so that the engine stops."""
        if self.task is not None:
            self.task.cancel()

    def remaining_events(self) -> int:
        """Estimate the number of events until the end of the text, from the caller's hints."""
        item = self.assignment.item
        expected = item.expected_tokens or max(0, item.tokens - item.prompt_tokens)
        return expected - self.assignment.resume_after - len(self.progress.data)

    def offer(self) -> HeldRun:
        """Describe the run for a new leader, which decides whether it goes on."""
        assignment = self.assignment
        return HeldRun(
            self.key,
            assignment.job,
            assignment.item.item,
            assignment.endpoint,
            assignment.resume_after,
            len(self.progress.data),
            failure=self.kind if self.kind in FAILURES else "",
            run_id=self.run_id,
        )

    def matches(self, adopted: AdoptedRun) -> bool:
        """Whether the events that the log contains of this run are those that it has produced."""
        stored = self.progress.data[: adopted.stored_events]
        return len(stored) == adopted.stored_events and text_digest(stored) == adopted.digest


class ActiveRuns:
    """
    All runs of a runner.

    When the leader of the jobs' log changes, its runs are held: their streams are read on, but
    nothing is reported until the new leader has adopted them.

    :param by_number: runs of the current epoch, by the number of their assignment.
    """

    def __init__(self) -> None:
        self.by_number: dict[int, ActiveRun] = {}
        self._held_by_key: dict[int, ActiveRun] = {}

    def __len__(self) -> int:
        return len(self.by_number) + len(self._held_by_key)

    def streams(self) -> int:
        """Number of runs that read, or will read, the stream of an engine."""
        return sum(1 for run in self.all() if not run.scoring)

    def longest_remaining(self, count: int) -> tuple[ActiveRun, ...]:
        """
        Return the runs with the most events left, of those that may be given back.

        :param count: most runs to return.
        """
        generating = [
            run
            for run in self.by_number.values()
            if run.progress.data and not (run.kind or run.scoring or run.returned)
        ]
        generating.sort(key=lambda run: run.remaining_events(), reverse=True)
        return tuple(generating[:count])

    def all(self) -> tuple[ActiveRun, ...]:
        """Return all runs, held ones included."""
        return (*self.by_number.values(), *self._held_by_key.values())

    def add(self, run: ActiveRun) -> None:
        """Add a run of the current epoch."""
        self.by_number[run.number] = run

    def is_current(self, run: ActiveRun) -> bool:
        """Whether the dispatcher of the current epoch expects an outcome of a run."""
        return self.by_number.get(run.number) is run

    def hold_all(self) -> None:
        """
        Hold the runs of an epoch that has ended.

        A run without an engine only makes a reward call, which any runner can repeat; it is
        cancelled, as is the reward call of a run whose text is complete. A run that produced
        nothing and has ended is dropped, unless its engine reported a failure, which the new leader
        counts if the last one did not.
        """
        for run in self.by_number.values():
            if run.kind or not run.assignment.endpoint:
                run.cancel()
            run.scoring = False
            is_counted = run.progress.data or not run.kind or run.kind in FAILURES
            if run.assignment.endpoint and is_counted:
                self._held_by_key[run.key] = run
        self.by_number.clear()

    def offers(self) -> tuple[HeldRun, ...]:
        """Return the descriptions of all held runs."""
        return tuple(run.offer() for run in self._held_by_key.values())

    def resume(
        self,
        offered: tuple[HeldRun, ...],
        adopted: tuple[AdoptedRun, ...],
        finish: Callable[[ActiveRun], Coroutine[None, None, None]],
    ) -> tuple[AdoptedRun, ...]:
        """
        Continue the runs that the new leader adopted, and stop the others that were offered.

        :param finish: the steps after the end of a generation, which start for runs that ended
            while they were held.
        :return: adopted runs that do not continue the stored text, or are not held any more.
        """
        rejected = []
        for one in adopted:
            run = self._held_by_key.pop(one.key, None)
            if run is None or not run.matches(one):
                rejected.append(one)
                if run is not None:
                    run.cancel()
                continue
            run.number = one.number
            run.progress.reported_events = one.stored_events
            self.by_number[run.number] = run
            if run.kind:
                run.start(finish(run))
        for held in offered:
            run = self._held_by_key.pop(held.key, None)
            if run is not None:
                run.cancel()
        return tuple(rejected)


__all__ = ["ActiveRun", "ActiveRuns"]
