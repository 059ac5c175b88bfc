"""Items of all open jobs that have not ended: their progress, their runs, and which may begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.dispatch import WaitingItem, memory_needed, order_of
from ibisspring_jobs.progress import ItemProgress

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ibisspring_core.messages.jobs import JobItem
    from ibisspring_decisions.dispatch import Rank
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
        self._progress_by_job: dict[str, dict[str, ItemProgress]] = {}
        self._runs_by_key: dict[Key, set[int]] = {}
        # What ranks the items of one job never changes, so each job is sorted once.
        self._ordered_by_job: dict[str, list[JobItem]] = {}
        self.ending: set[Key] = set()
        self.unscored: set[Key] = {
            (job_id, item)
            for job_id, kept in state.job_by_id.items()
            for item in kept.item_by_id
            if kept.whole_text(item) is not None
        }

    def progress_of(self, key: Key) -> ItemProgress:
        """What is known of an item; after a change of leader, what the log kept."""
        progress = self._known_progress(key)
        if progress is None:
            kept = self._state.job_by_id[key[0]]
            progress = ItemProgress.from_parts(kept.parts_by_item.get(key[1], ()))
            self._progress_by_job.setdefault(key[0], {})[key[1]] = progress
        return progress

    def _known_progress(self, key: Key) -> ItemProgress | None:
        return self._progress_by_job.get(key[0], {}).get(key[1])

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
        progress = self._known_progress(key)
        if progress is not None and progress.whole:
            self.unscored.add(key)

    def forget(self, job: str) -> None:
        """Forget the items of a job that are listed or are not to run any more."""
        kept = self._state.job_by_id.get(job)
        open_items = kept.item_by_id if kept is not None else {}

        def is_open(key: Key) -> bool:
            return key[0] != job or key[1] in open_items

        self.ending = {key for key in self.ending if is_open(key)}
        self.unscored = {key for key in self.unscored if is_open(key)}
        if not open_items:
            self._progress_by_job.pop(job, None)
            self._ordered_by_job.pop(job, None)
            return
        known = self._progress_by_job.get(job, {})
        for item in [item for item in known if item not in open_items]:
            del known[item]
        if job in self._ordered_by_job:
            ordered = self._ordered_by_job[job]
            self._ordered_by_job[job] = [one for one in ordered if one.item in open_items]

    def to_be_scored(self) -> Iterable[Key]:
        """Items whose whole text only lacks its score, and that no runner has."""
        for key in sorted(self.unscored):
            kept = self._state.job_by_id.get(key[0])
            if kept is None or key[1] not in kept.item_by_id or not self.progress_of(key).whole:
                self.unscored.discard(key)
                continue
            if key not in self._runs_by_key and key not in self.ending:
                yield key

    def services(self) -> frozenset[str]:
        """Services that have items which are not listed yet."""
        return frozenset(kept.job.service for kept in self._open_jobs())

    def _open_jobs(self) -> Iterator[KeptJob]:
        for kept in self._state.job_by_id.values():
            if kept.item_by_id and not kept.ended:
                yield kept

    def waiting(self, service: str, engines: Engines, now: float) -> Iterator[WaitingItem]:
        """Items that may begin at some engine of a service, the one that begins first first."""
        jobs = [kept for kept in self._open_jobs() if kept.job.service == service]
        jobs.sort(key=lambda kept: (kept.job.priority, _due_s(kept)))
        for kept in jobs:
            allowed = engines.allowed(kept.job, now)
            if allowed:
                yield from self._waiting_of(kept, allowed, now)

    def _waiting_of(
        self, kept: KeptJob, engines: frozenset[str], now: float
    ) -> Iterator[WaitingItem]:
        for item in self._ordered(kept):
            key = (kept.job.job, item.item)
            if key in self.ending or key in self.unscored or key in self._runs_by_key:
                continue
            progress = self._known_progress(key)
            if progress is not None and now < progress.not_before_s:
                continue
            yield _waiting_item(kept, item, engines)

    def _ordered(self, kept: KeptJob) -> list[JobItem]:
        ordered = self._ordered_by_job.get(kept.job.job)
        if ordered is None:

            def rank(item: JobItem) -> Rank:
                return order_of(_waiting_item(kept, item, frozenset()))

            ordered = sorted(kept.item_by_id.values(), key=rank)
            self._ordered_by_job[kept.job.job] = ordered
        return ordered

    def item_of(self, run: Run) -> JobItem | None:
        """The item of a run; None where it has ended."""
        kept = self._state.job_by_id.get(run.job)
        return kept.item_by_id.get(run.item) if kept is not None else None


def _due_s(kept: KeptJob) -> float:
    return kept.job.submitted_s + kept.job.due_s


def _waiting_item(kept: KeptJob, item: JobItem, engines: frozenset[str]) -> WaitingItem:
    return WaitingItem(
        key=(kept.job.job, item.item),
        group=(kept.job.job, item.group),
        due_s=_due_s(kept),
        priority=kept.job.priority,
        carried=item.group in kept.carried,
        expected_tokens=item.expected_tokens,
        tokens=memory_of(item),
        engines=engines,
    )


def memory_of(item: JobItem) -> int:
    """Tokens that an item takes at its engine."""
    return memory_needed(item.tokens, item.prompt_tokens, item.expected_tokens)


__all__ = ["Items", "Key", "memory_of"]
