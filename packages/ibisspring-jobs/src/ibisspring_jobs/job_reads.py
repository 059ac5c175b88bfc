"""Answers reads of jobs: their results by position, and the bodies of items without a result."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.job_reads import (
    BodyRead,
    ReadBody,
    ReadListed,
    ReadResults,
    ResultsListed,
    ResultsRead,
)
from ibisspring_core.messages.jobs import UnknownJob
from ibisspring_core.portions import count_within

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_consensus import ConsensusNode
    from ibisspring_jobs.state import JobRecord, JobsState


class JobReads:
    """
    The handlers of read messages.

    :param has_leader_lease: whether this store leads the jobs' log and no other store can.
    """

    def __init__(
        self, state: JobsState, consensus: ConsensusNode, has_leader_lease: Callable[[], bool]
    ) -> None:
        self._state = state
        self._consensus = consensus
        self._has_leader_lease = has_leader_lease
        self._changed = asyncio.Event()

    def job_changed(self) -> None:
        """Let waiting reads look again for results."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def find_job(self, message: Any) -> JobRecord | Any:
        """
        Find the job that a caller's message names.

        :return: the job; UnknownJob if it does not exist or belongs to another client account;
            NotLeader if this could not be confirmed.
        """
        job_record = await self.find_any(message.job)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        if job_record.job.client_account != message.client_account:
            eliot.log_message(
                "jobs:other_account",
                job=message.job,
                message=type(message).__name__,
                owner=job_record.job.client_account,
                client_account=message.client_account,
            )
            return UnknownJob()
        return job_record

    async def find_any(self, job: str) -> JobRecord | Any:
        """
        Find a job of any client account.

        Before a job is reported as unknown, a majority of the stores must confirm that this store
        is still the leader, because a former leader may lack jobs that its successor accepted.

        :param job: id of the job.
        :return: the job; UnknownJob if it does not exist; NotLeader if the confirmation failed.
        """
        job_record = self._state.job_by_id.get(job)
        if job_record is None:
            confirmed = await self._consensus.confirm_read()
            if isinstance(confirmed, Refusal):
                return NotLeader(self._consensus.leader_hint)
            job_record = self._state.job_by_id.get(job)
        return job_record if job_record is not None else UnknownJob()

    async def read_results(self, message: ReadResults) -> Any:
        """
        Return a job's results from a position on, as far as `max_bytes` allows.

        If no result has this position yet, wait up to `hold_s` seconds for one. If the results
        exceed `inline_bytes`, return only the range of their positions; any store can then be asked
        for the results with `ReadListed`.
        """
        job_record = await self.find_job(message)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        end_s = boot_now() + message.hold_s
        while len(job_record.results) <= message.after < job_record.total and not job_record.ended:
            left_s = end_s - boot_now()
            changed = self._changed
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                break
        if not self._has_leader_lease():
            return NotLeader(self._consensus.leader_hint)
        listed = job_record.results[message.after :]
        count = count_within((len(result.output) for result in listed), message.max_bytes)
        results = tuple(listed[:count])
        size = sum(len(result.output) for result in results)
        if message.inline_bytes is not None and size > message.inline_bytes:
            return ResultsListed(job_record.total, message.after + len(results))
        return ResultsRead(job_record.total, results)

    async def read_listed(self, message: ReadListed) -> ResultsRead:
        """
        Return the results in a range of positions that the leader sent to the caller.

        This store need not be the leader. Results that it has not yet applied from the log are
        missing from the answer.
        """
        job_record = self._state.job_by_id.get(message.job)
        if job_record is None or job_record.job.client_account != message.client_account:
            return ResultsRead(0, ())
        return ResultsRead(
            job_record.total, tuple(job_record.results[message.after : message.listed])
        )

    async def read_body(self, message: ReadBody) -> Any:
        """
        Return the request body of an item without a listed result; None for any other item.

        Of a body that exceeds `max_bytes`, a part is returned.
        """
        job_record = await self.find_job(message)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        item = job_record.item_by_id.get(message.item)
        if item is None:
            return BodyRead(None)
        if message.max_bytes is None or len(item.body) <= message.max_bytes:
            return BodyRead(item.body[message.begin :])
        end = message.begin + message.max_bytes
        return BodyRead(item.body[message.begin : end], len(item.body))


__all__ = ["JobReads"]
