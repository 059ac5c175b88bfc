"""Items of all open jobs that have not ended: their progress, their runs, and which may begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.dispatch import WaitingItem, memory_needed
from ibisspring_jobs.progress import ItemProgress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.jobs import JobItem
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobsState, KeptJob

Key = tuple[str, str]
"""Job and item."""


class Items:
    """
    The items under one epoch; `now` is always given.

    :param ending: items whose result is being committed.
    :param unscored: items whose whole text is with no runner.
    """

    def __init__(self, state: JobsState) -> None:
        self._state = state
        self._progress_by_key: dict[Key, ItemProgress] = {}
        self._runs_by_key: dict[Key, set[int]] = {}
        self.ending: set[Key] = set()
        self.unscored: set[Key] = {
            (job_id, item)
            for job_id, kept in state.job_by_id.items()
            for item in kept.item_by_id
            if kept.whole_text(item) is not None
        }

    def progress_of(self, key: Key) -> ItemProgress:
        """What is known of an item; after a change of leader, what the log kept."""
        progress = self._progress_by_key.get(key)
        if progress is None:
            kept = self._state.job_by_id[key[0]]
            progress = ItemProgress.from_parts(kept.parts_by_item.get(key[1], ()))
            self._progress_by_key[key] = progress
        return progress

    def begins(self, key: Key, number: int) -> None:
        """Note a run of an item."""
        self._runs_by_key.setdefault(key, set()).add(number)
        self.unscored.discard(key)

    def ends(self, key: Key, number: int) -> None:
        """Note that a run of an item is over; a whole text that it leaves is to be scored."""
        runs = self._runs_by_key.get(key)
        if runs is not None:
            runs.discard(number)
            if not runs:
                del self._runs_by_key[key]
        progress = self._progress_by_key.get(key)
        if progress is not None and progress.whole:
            self.unscored.add(key)

    def forget(self, job: str) -> None:
        """Forget the items of a job that are listed or are not to run any more."""
        kept = self._state.job_by_id.get(job)

        def is_open(key: Key) -> bool:
            return key[0] != job or (kept is not None and key[1] in kept.item_by_id)

        self._progress_by_key = {
            key: progress for key, progress in self._progress_by_key.items() if is_open(key)
        }
        self.ending = {key for key in self.ending if is_open(key)}
        self.unscored = {key for key in self.unscored if is_open(key)}

    def to_be_scored(self) -> Iterable[Key]:
        """Items whose whole text only lacks its score, and that no runner has."""
        for key in sorted(self.unscored):
            kept = self._state.job_by_id.get(key[0])
            if kept is None or key[1] not in kept.item_by_id or not self.progress_of(key).whole:
                self.unscored.discard(key)
                continue
            if key not in self._runs_by_key and key not in self.ending:
                yield key

    def waiting(self, engines: Engines, now: float) -> list[WaitingItem]:
        """Items that may begin at some engine."""
        found: list[WaitingItem] = []
        for job_id, kept in self._state.job_by_id.items():
            if kept.ended or not kept.item_by_id:
                continue
            allowed = engines.allowed(kept.job, now)
            if allowed:
                found.extend(self._waiting_of(job_id, kept, allowed, now))
        return found

    def _waiting_of(
        self, job_id: str, kept: KeptJob, engines: frozenset[str], now: float
    ) -> Iterable[WaitingItem]:
        job = kept.job
        for item in kept.item_by_id.values():
            key = (job_id, item.item)
            if key in self.ending or key in self.unscored or key in self._runs_by_key:
                continue
            progress = self._progress_by_key.get(key)
            if progress is not None and now < progress.not_before_s:
                continue
            yield WaitingItem(
                key=key,
                group=(job_id, item.group),
                due_s=job.submitted_s + job.due_s,
                priority=job.priority,
                carried=item.group in kept.carried,
                expected_tokens=item.expected_tokens,
                tokens=memory_of(item),
                engines=engines,
            )

    def item_of(self, run: Run) -> JobItem | None:
        """The item of a run; None where it has ended."""
        kept = self._state.job_by_id.get(run.job)
        return kept.item_by_id.get(run.item) if kept is not None else None


def memory_of(item: JobItem) -> int:
    """Tokens that an item takes at its engine."""
    return memory_needed(item.tokens, item.prompt_tokens, item.expected_tokens)


__all__ = ["Items", "Key", "memory_of"]
