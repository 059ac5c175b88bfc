"""The jobs' state machine; deterministic, it reads no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.jobs import ItemResult, Job, JobItem, TextPart
from ibisspring_jobs.commands import (
    COMMANDS,
    AcceptJob,
    CloseJob,
    ForgetJobs,
    KeepTexts,
    RecordKept,
    RecordResults,
)

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel


@dataclass(frozen=True)
class StoredJob:
    """
    One job in a snapshot.

    :param job: with those items only that are not listed.
    :param total: items that it was submitted with.
    :param groups: all groups that it was submitted with.
    :param carried: those of them that an earlier job had as well; the trainer waits for these.
    :param texts: what was made of its items so far, in order.
    """

    job: Job
    total: int
    results: tuple[ItemResult, ...]
    ended: bool
    groups: tuple[str, ...] = ()
    carried: tuple[str, ...] = ()
    texts: tuple[TextPart, ...] = ()


class KeptJob:
    """
    One job.

    :param job: as submitted, without its items.
    :param total: items that it was submitted with.
    :param item_by_id: items that are not listed yet.
    :param results: by position.
    :param ended: nothing of it is to run any more.
    :param groups: all groups that it was submitted with.
    :param carried: groups that an earlier job had as well.
    :param parts_by_item: what was made of items that are not listed.
    """

    def __init__(self, stored: StoredJob) -> None:
        self.job = replace(stored.job, items=())
        self.total = stored.total
        self.item_by_id: dict[str, JobItem] = {item.item: item for item in stored.job.items}
        self.results: list[ItemResult] = list(stored.results)
        self.ended = stored.ended
        self.groups = frozenset(stored.groups)
        self.carried = frozenset(stored.carried)
        self.parts_by_item: dict[str, list[TextPart]] = {}
        for part in stored.texts:
            self.keep(part)

    def keep(self, part: TextPart) -> None:
        """Add to an item's text, where the part follows on what is kept."""
        parts = self.parts_by_item.setdefault(part.item, [])
        if part.after == 0:
            parts.clear()
        elif not parts or parts[-1].after + parts[-1].events != part.after:
            return
        parts.append(part)

    def whole_text(self, item: str) -> str | None:
        """The text of an item that is kept whole; None where it is not."""
        parts = self.parts_by_item.get(item)
        if not parts or not parts[-1].whole:
            return None
        return "\n".join(part.output for part in parts if part.events)

    def stored(self) -> StoredJob:
        """Describe the job for a snapshot."""
        job = replace(self.job, items=tuple(self.item_by_id.values()))
        groups = tuple(sorted(self.groups))
        carried = tuple(sorted(self.carried))
        texts = tuple(part for parts in self.parts_by_item.values() for part in parts)
        return StoredJob(job, self.total, tuple(self.results), self.ended, groups, carried, texts)


class JobsState:
    """The service `jobs_state`; only consensus applies to it, others read."""

    name = "jobs_state"

    def __init__(self) -> None:
        self.job_by_id: dict[str, KeptJob] = {}
        self._on_change: list[Callable[[str], None]] = []
        self._apply_by_type: dict[type[Any], Callable[[Any], None]] = {
            AcceptJob: self._accept,
            RecordResults: self._record,
            RecordKept: self._record_kept,
            KeepTexts: self._keep,
            CloseJob: self._close,
            ForgetJobs: self._forget,
        }

    async def start(self, kernel: Kernel) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the job's id after each change; with an empty one after a restore."""
        self._on_change.append(callback)

    def apply(self, index: int, data: bytes) -> bytes:
        """
        Apply one committed command.

        :param index: its log index.
        :param data: a command, encoded by COMMANDS.
        :return: nothing; what a command did is read from the state.
        """
        command = COMMANDS.decode(data)
        self._apply_by_type[type(command)](command)
        return b""

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return encode(tuple(job.stored() for job in self.job_by_id.values()))

    def restore(self, data: bytes) -> None:
        """Take the state over from a snapshot."""
        jobs = decode(data, tuple[StoredJob, ...])
        self.job_by_id = {stored.job.job: KeptJob(stored) for stored in jobs}
        self._changed("")

    def _changed(self, job: str) -> None:
        for callback in self._on_change:
            callback(job)

    def _accept(self, command: AcceptJob) -> None:
        job = command.job
        if job.job in self.job_by_id:
            return
        items = {item.item: item for item in job.items}
        groups = {item.group for item in job.items}
        known = {
            group
            for kept in self.job_by_id.values()
            if (kept.job.client_account, kept.job.model) == (job.client_account, job.model)
            for group in kept.groups
        }
        stored = StoredJob(
            job, len(items), (), False, tuple(sorted(groups)), tuple(sorted(groups & known))
        )
        self.job_by_id[job.job] = KeptJob(stored)
        self._changed(job.job)

    def _record(self, command: RecordResults) -> None:
        kept = self.job_by_id.get(command.job)
        if kept is None:
            return
        for result in command.results:
            # An item may have run twice; its first result keeps the position that was read.
            if kept.item_by_id.pop(result.item, None) is not None:
                kept.results.append(result)
                kept.parts_by_item.pop(result.item, None)
        self._changed(command.job)

    def _record_kept(self, command: RecordKept) -> None:
        kept = self.job_by_id.get(command.job)
        if kept is None:
            return
        results = []
        for result in command.results:
            text = kept.whole_text(result.item)
            # The item may be listed by now; then nothing is kept of it any more.
            if text is not None:
                results.append(replace(result, output=text))
        self._record(RecordResults(command.job, tuple(results)))

    def _keep(self, command: KeepTexts) -> None:
        kept = self.job_by_id.get(command.job)
        if kept is None:
            return
        for part in command.parts:
            if part.item in kept.item_by_id:
                kept.keep(part)

    def _close(self, command: CloseJob) -> None:
        kept = self.job_by_id.get(command.job)
        if kept is not None:
            kept.ended = True
            kept.item_by_id.clear()
            kept.parts_by_item.clear()
            self._changed(command.job)

    def _forget(self, command: ForgetJobs) -> None:
        for job in command.jobs:
            if self.job_by_id.pop(job, None) is not None:
                self._changed(job)


__all__ = ["JobsState", "KeptJob"]
