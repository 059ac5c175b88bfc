"""What is known of an item that has not ended: what runs made of it and how they failed."""

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
    Progress of one item; a new leader goes on from the parts that are kept in the log.

    :param parts: data of the events so far, one string for each run that made some.
    :param events: how many events these are.
    :param versions: weight versions that made them, in order.
    :param whole: the text has ended; what may be left is its reward call.
    :param failures: runs that failed by the endpoint's word.
    :param not_before_s: when it may run again.
    """

    parts: list[str] = field(default_factory=list)
    events: int = 0
    versions: list[int] = field(default_factory=list)
    whole: bool = False
    failures: int = 0
    not_before_s: float = 0.0

    @classmethod
    def from_parts(cls, parts: Iterable[TextPart]) -> ItemProgress:
        """Go on from what is kept of an item."""
        progress = cls()
        for part in parts:
            progress.add(part)
        return progress

    def add(self, made: Outcome | TextPart) -> None:
        """Add what a run made after the events before."""
        self.whole = self.whole or made.whole
        if not made.events:
            return
        self.parts.append(made.output)
        self.events += made.events
        for version in made.versions:
            if not self.versions or self.versions[-1] != version:
                self.versions.append(version)

    def fits(self, job: Job) -> bool:
        """
        Tell whether a job takes the versions that made it.

        A text may be joined from runs on engines of different versions.
        """
        if any(version < job.min_version for version in self.versions):
            return False
        return not (job.single_version and len(set(self.versions)) > 1)

    def begin_anew(self) -> None:
        """Throw the text away."""
        self.parts.clear()
        self.events = 0
        self.whole = False
        self.versions.clear()

    def completed(self, item: str, score: str) -> ItemResult:
        """Join the whole text."""
        return ItemResult(item, COMPLETED, "\n".join(self.parts), tuple(self.versions), score)


def abandoned(item: str) -> ItemResult:
    """The result of an item that was given up."""
    return ItemResult(item, ABANDONED)


__all__ = ["ItemProgress", "abandoned"]
