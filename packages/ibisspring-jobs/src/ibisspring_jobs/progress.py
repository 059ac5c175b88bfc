"""The progress of an item that has no result yet: the text so far, and how many runs failed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_core.messages.jobs import ABANDONED, COMPLETED, ItemResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.jobs import Job, Outcome, TextPart


@dataclass
class ItemProgress:
    """
    Progress of one item, in the memory of the jobs' leader.

    A new leader restores the text and the failed runs from the log.

    :param parts: data of the text's events so far, one string per part that contains events.
    :param events: number of events in `parts`.
    :param versions: weight versions that produced the text, in order.
    :param complete: the text has ended; at most the item's reward call is still to be made.
    :param failed_runs: ids of the runs that the engine reported as failed.
    :param ends: number of the last runs, in a row, whose engines ended before the first event.
    :param not_before_s: earliest start of the next run, in seconds since boot.
    """

    parts: list[str] = field(default_factory=list)
    events: int = 0
    versions: list[int] = field(default_factory=list)
    complete: bool = False
    failed_runs: set[str] = field(default_factory=set)
    ends: int = 0
    not_before_s: float = 0.0

    @classmethod
    def from_log(cls, parts: Iterable[TextPart], failed_runs: Iterable[str]) -> ItemProgress:
        """
        Restore the progress from what the log contains of an item.

        :param parts: the parts of the item's text.
        :param failed_runs: ids of its failed runs.
        """
        progress = cls(failed_runs=set(failed_runs))
        for part in parts:
            progress.add(part)
        return progress

    def add(self, produced: Outcome | TextPart) -> None:
        """
        Append a run's text since its last report to the item's text.

        :param produced: the text, as the runner reported it or as it is stored in the log.
        """
        self.complete = self.complete or produced.whole
        if not produced.events:
            return
        self.parts.append(produced.output)
        self.events += produced.events
        for version in produced.versions:
            if not self.versions or self.versions[-1] != version:
                self.versions.append(version)

    def versions_allowed(self, job: Job) -> bool:
        """
        Whether a job accepts the weight versions that produced the text.

        Runs at engines with different versions may have contributed to the same text, which a job
        with `single_version` does not accept.
        """
        if any(version < job.min_version for version in self.versions):
            return False
        return not (job.single_version and len(set(self.versions)) > 1)

    def reset(self) -> None:
        """Discard the text, so that the next run starts from the beginning."""
        self.parts.clear()
        self.events = 0
        self.complete = False
        self.versions.clear()

    def completed_result(self, item: str, score: str) -> ItemResult:
        """
        Return the result of an item whose text is complete.

        :param score: answer to the reward call; empty if the item has no reward call.
        """
        return ItemResult(item, COMPLETED, "\n".join(self.parts), tuple(self.versions), score)


def abandoned_result(item: str) -> ItemResult:
    """Return the result of an item that failed permanently or exceeded its job's time limit."""
    return ItemResult(item, ABANDONED)


__all__ = ["ItemProgress", "abandoned_result"]
