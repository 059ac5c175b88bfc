"""Commits the texts and results that runners reported to the jobs' log."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any, TypeVar

import eliot

from ibisspring_core.errors import Refusal
from ibisspring_core.messages.jobs import COMPLETED
from ibisspring_core.portions import count_within
from ibisspring_jobs.commands import KeepTexts, RecordFailures, RecordKept, RecordResults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from ibisspring_core.messages.jobs import ItemFailure, ItemResult, TextPart
    from ibisspring_jobs.state import JobsState

# Size of the texts in one command of the jobs' log. The entries of other jobs wait while a command
# is replicated.
MAX_COMMAND_CHARS = 512 * 1024

Text = TypeVar("Text", "TextPart", "ItemResult")


class ResultCommits:
    """
    Proposes the commands for texts and results.

    Each method returns whether all its commands were committed.

    :param propose: proposes a command of the jobs' log.
    """

    def __init__(self, state: JobsState, propose: Callable[[Any], Awaitable[Any]]) -> None:
        self._state = state
        self._propose = propose

    async def commit_texts(self, parts_by_job: dict[str, list[TextPart]]) -> bool:
        """Commit parts of the texts of items that have no listed result yet."""
        commands = [
            KeepTexts(job, some) for job, parts in parts_by_job.items() for some in _portions(parts)
        ]
        if not await self._commit_all(commands):
            return False
        for job, parts in parts_by_job.items():
            eliot.log_message("jobs:texts_kept", job=job, items=len(parts))
        return True

    async def commit_results(self, results_by_job: dict[str, list[ItemResult]]) -> bool:
        """Commit results; a text that is in the log already is not written a second time."""
        commands: list[Any] = []
        for job, results in results_by_job.items():
            job_record = self._state.job_by_id.get(job)
            texts = (
                {result.item: job_record.complete_text(result.item) for result in results}
                if job_record
                else {}
            )
            without_output = [
                replace(result, output="")
                for result in results
                if result.state == COMPLETED and texts.get(result.item) == result.output
            ]
            items_without_output = {result.item for result in without_output}
            with_output = [result for result in results if result.item not in items_without_output]
            if without_output:
                commands.append(RecordKept(job, tuple(without_output)))
            if with_output:
                commands.extend(RecordResults(job, some) for some in _portions(with_output))
        return await self._commit_all(commands)

    async def commit_failures(self, failures_by_job: dict[str, list[ItemFailure]]) -> bool:
        """Commit failed runs of items that have no listed result yet."""
        return await self._commit_all(
            [RecordFailures(job, tuple(failures)) for job, failures in failures_by_job.items()]
        )

    async def _commit_all(self, commands: list[Any]) -> bool:
        answers = await asyncio.gather(*(self._propose(command) for command in commands))
        return not any(isinstance(answer, Refusal) for answer in answers)


def _portions(texts: list[Text]) -> Iterator[tuple[Text, ...]]:
    """Divide texts into tuples of at most MAX_COMMAND_CHARS together, or of one text."""
    start = 0
    while start < len(texts):
        sizes = (len(text.output) for text in texts[start:])
        end = start + count_within(sizes, MAX_COMMAND_CHARS)
        yield tuple(texts[start:end])
        start = end


__all__ = ["ResultCommits"]
