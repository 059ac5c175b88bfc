"""Jobs that are committed to the jobs' log in chunks."""

from __future__ import annotations

import asyncio
import dataclasses

from hypothesis import given
from hypothesis import strategies as st
from unit.jobs.test_state import job_of, state_after

from ibisspring_consensus.node import MAX_COMMAND_BYTES
from ibisspring_consensus.proposals import Committed
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.job_uploads import (
    CHUNK_BYTES,
    ChunksStored,
    SubmitUpload,
    UploadChunk,
    chunks_of,
    upload_id,
)
from ibisspring_core.messages.jobs import Job, JobAccepted, JobItem, RewardCall, UnknownJob
from ibisspring_gateway.job_uploads import is_large, submit_in_chunks
from ibisspring_jobs.commands import COMMANDS, AcceptJob, AcceptUpload, DropUploads, UploadItems
from ibisspring_jobs.job_commits import MAX_UPLOADS, UPLOAD_IDLE_S, JobCommits
from ibisspring_jobs.state import JobsState
from ibisspring_jobs.uploads import Upload

MIB = 1024 * 1024


def item_of(number: int, body: bytes, reward: bytes | None = None) -> JobItem:
    call = RewardCall(f"r{number}", "h", "/", reward) if reward is not None else None
    return JobItem(f"i{number}", f"/{number}", (("a", "b"),), body, 9, "g", reward=call)


def large_job(name: str = "j", mib: int = 20) -> Job:
    items = tuple(item_of(number, bytes([number]) * MIB) for number in range(mib))
    return dataclasses.replace(job_of(name), items=items)


class Log:
    """A log that applies each command at once, and refuses those from a number on."""

    def __init__(self, refused_from: int | None = None) -> None:
        self.state = JobsState()
        self.sizes: list[int] = []
        self.refused_from = refused_from
        self.commits = JobCommits(self.state, Counters.from_config(None), self.propose)

    async def call(self, message: UploadChunk | SubmitUpload) -> object:
        """Answer an entry as the leader does, without admission."""
        await asyncio.sleep(0)
        if isinstance(message, UploadChunk):
            return await self.commits.store_chunk(message)
        if message.job.job not in self.state.job_by_id:
            job = self.commits.find_uploaded(message)
            if isinstance(job, ChunksStored):
                return job
            await self.commits.commit(job)
        return JobAccepted()

    async def propose(self, command: object) -> Committed | Refusal:
        data = COMMANDS.encode(command)
        if self.refused_from is not None and len(self.sizes) >= self.refused_from:
            return Refusal(Reason.MAY_HAVE_RUN, not_run=False)
        self.sizes.append(len(data))
        return Committed(1, self.state.apply(1, data))


@given(
    st.lists(st.tuples(st.binary(max_size=40), st.none() | st.binary(max_size=40)), max_size=8),
    st.integers(1, 100),
    st.integers(0, 30),
)
def test_items_are_whole_after_any_cut_and_a_restart_between_chunks(parts, size, restart) -> None:
    # A chunk may end within an item, within its length, or at its end, and a store may restart from
    # a snapshot after any chunk.
    items = [item_of(number, *part) for number, part in enumerate(parts)]
    upload = Upload()
    for number, chunk in enumerate(chunks_of(items, size)):
        if number == restart:
            upload = Upload.from_stored(upload.to_stored("u"))
        upload.add(number, chunk)
        upload.add(number, chunk)

    assert upload.items == items
    assert upload.is_complete(len(items))


async def submit(log: Log, job: Job, timeout_s: float = 20.0) -> object:
    return await submit_in_chunks(job, log.call, lambda: 1000.0, timeout_s)


async def test_a_large_job_takes_no_command_that_is_larger_than_a_chunk() -> None:
    # One entry held the whole job. It could not be sent to other stores, and all later entries
    # waited behind it.
    log = Log()

    assert await submit(log, large_job()) == JobAccepted()

    assert max(log.sizes) < CHUNK_BYTES + 1024 < MAX_COMMAND_BYTES
    assert tuple(log.state.job_by_id["j"].item_by_id.values()) == large_job().items
    assert not log.state.upload_by_id
    assert not is_large(job_of())


async def test_a_submission_at_another_entry_goes_on_after_the_stored_chunks() -> None:
    # The first entry is lost, or its leader, amid a job; or two entries submit it at once.
    log = Log(refused_from=30)
    refusal = await submit(log, large_job())
    assert isinstance(refusal, Refusal)
    assert not log.state.job_by_id
    log.refused_from = None
    stored = len(log.sizes)

    answers = await asyncio.gather(submit(log, large_job()), submit(log, large_job()))

    assert answers == [JobAccepted()] * 2
    chunks = len(list(chunks_of(large_job().items)))
    assert stored == 30
    assert len(log.sizes) <= chunks + 2
    assert tuple(log.state.job_by_id["j"].item_by_id.values()) == large_job().items


async def test_the_chunks_of_a_job_that_nobody_submits_are_removed() -> None:
    # The caller gives up amid a job. Its chunks would stay in the memory of all stores for good.
    log = Log(refused_from=10)
    await submit(log, large_job())
    log.refused_from = None
    next_leader = JobCommits(log.state, Counters.from_config(None), log.propose)

    await next_leader.drop_idle(100.0)
    await next_leader.drop_idle(100.0 + UPLOAD_IDLE_S / 2)
    assert log.state.upload_by_id
    await next_leader.drop_idle(100.0 + UPLOAD_IDLE_S)
    assert not log.state.upload_by_id


async def test_more_large_jobs_than_the_stores_take_at_once_wait_at_their_entries() -> None:
    # Five large jobs at once took the leader to several times the memory of its VM.
    log = Log()
    jobs = [large_job(f"j{number}", mib=3) for number in range(MAX_UPLOADS + 2)]

    async def watch() -> int:
        most = 0
        while len(log.state.job_by_id) < len(jobs):
            most = max(most, len(log.state.upload_by_id))
            await asyncio.sleep(0)
        return most

    most, *answers = await asyncio.gather(watch(), *(submit(log, job) for job in jobs))

    assert answers == [JobAccepted()] * len(jobs)
    assert most == MAX_UPLOADS


async def test_a_submission_ends_at_its_time_limit_between_two_chunks() -> None:
    # The limit was not looked at while the leader answered each chunk slowly: the entry went on
    # long after its caller had left.
    log = Log()

    async def call_slowly(message: UploadChunk | SubmitUpload) -> object:
        await asyncio.sleep(0.02)
        return await log.call(message)

    answer = await submit_in_chunks(large_job(), call_slowly, lambda: 1000.0, 0.1)

    assert isinstance(answer, Refusal) and answer.reason is Reason.TIMEOUT
    assert len(log.sizes) < len(list(chunks_of(large_job().items))) / 2


async def test_a_large_job_with_the_id_of_another_account_is_unknown() -> None:
    log = Log()
    await submit(log, large_job())

    other = dataclasses.replace(large_job(), client_account="other")
    assert await submit(log, other) == UnknownJob()


async def test_a_submission_without_chunks_is_told_which_are_missing() -> None:
    # A leader dropped the chunks before the last message of the submission arrived.
    log = Log()
    job = large_job()

    answer = await log.call(SubmitUpload(dataclasses.replace(job, items=()), upload_id(job), 20))

    assert answer == ChunksStored(0)


def test_a_job_with_a_missing_chunk_is_not_added() -> None:
    # Two leaders wrote chunks, or the chunks were removed as abandoned before the last command.
    job = large_job(mib=2)
    head = dataclasses.replace(job, items=())
    chunks = [UploadItems("u", n, data) for n, data in enumerate(chunks_of(job.items))]

    accepted = AcceptUpload(head, "u", 2)
    assert "j" not in state_after(*chunks[:3], *chunks[4:], accepted).job_by_id
    assert "j" not in state_after(*chunks[:-1], accepted).job_by_id
    assert "j" not in state_after(*chunks, DropUploads(("u",)), accepted).job_by_id
    assert "j" not in state_after(*chunks[1:], accepted).job_by_id
    assert state_after(*chunks, accepted).job_by_id["j"].total == 2


def test_an_upload_survives_a_snapshot() -> None:
    # A store installs a snapshot between two chunks of a job.
    job = large_job(mib=2)
    chunks = [UploadItems("u", n, data) for n, data in enumerate(chunks_of(job.items))]
    accepted = AcceptUpload(dataclasses.replace(job, items=()), "u", 2)

    restored = JobsState()
    restored.restore(state_after(*chunks[:3]).snapshot())
    for command in (*chunks[3:], accepted):
        restored.apply(1, COMMANDS.encode(command))

    assert restored.snapshot() == state_after(AcceptJob(job)).snapshot()
