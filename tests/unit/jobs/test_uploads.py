"""Jobs that are committed to the jobs' log in chunks."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
from unit.jobs.test_state import job_of, state_after

from ibisspring_consensus.node import MAX_COMMAND_BYTES
from ibisspring_consensus.proposals import Committed
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.jobs import Job, JobItem, RewardCall
from ibisspring_jobs.commands import COMMANDS, AcceptJob, AcceptUpload, DropUploads, UploadItems
from ibisspring_jobs.job_commits import JobCommits
from ibisspring_jobs.state import JobsState
from ibisspring_jobs.uploads import CHUNK_BYTES, Upload, chunks_of

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


async def test_a_large_job_takes_no_command_that_is_larger_than_a_chunk() -> None:
    # One entry held the whole job. It could not be sent to other stores, and all later entries
    # waited behind it.
    log = Log()

    await log.commits.commit(large_job())

    assert max(log.sizes) < CHUNK_BYTES + 1024 < MAX_COMMAND_BYTES
    assert tuple(log.state.job_by_id["j"].item_by_id.values()) == large_job().items
    assert not log.state.upload_by_id


async def test_a_usual_job_is_committed_with_one_command() -> None:
    log = Log()

    await log.commits.commit(job_of())

    assert len(log.sizes) == 1
    assert log.state.job_by_id["j"].total == 3


async def test_the_chunks_of_a_job_that_was_not_added_are_removed() -> None:
    # The leader is lost amid a job. Its chunks would stay in the memory of all stores for good.
    log = Log(refused_from=10)

    refusal = await log.commits.commit(large_job())

    assert isinstance(refusal, Refusal) and refusal.not_run
    assert not log.state.job_by_id
    log.refused_from = None
    next_leader = JobCommits(log.state, Counters.from_config(None), log.propose)
    assert log.state.upload_by_id
    await next_leader.drop_abandoned()
    assert not log.state.upload_by_id


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
