"""
The replicated state of the jobs.

Each store applies the same committed commands in the same order. To reach the same state on all
stores, applying a command must depend on nothing else, in particular on no clock.

An item is listed when its result has a position in its job's list of results. A carried group of a
job is one that an earlier job contained as well, because an earlier step of the trainer left the
group incomplete.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.jobs import ItemFailure, ItemResult, Job, JobItem, TextPart
from ibisspring_decisions.account_shares import AccountUsage
from ibisspring_decisions.engine_speed import KnownSpeed
from ibisspring_decisions.job_admission import Reservation
from ibisspring_jobs.commands import (
    COMMANDS,
    AcceptJob,
    AcceptUpload,
    CloseJob,
    DropReservations,
    DropUploads,
    ForgetJobs,
    HoldJob,
    KeepSpeeds,
    KeepTexts,
    KeepUsage,
    RecordFailures,
    RecordKept,
    RecordResults,
    ReservePlace,
    UploadItems,
)
from ibisspring_jobs.uploads import StoredUpload, Upload

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel

# Number of requests to hold or release a job that are remembered, to recognise repeated ones.
MAX_HOLD_REQUESTS = 8


@dataclass(frozen=True)
class StoredJob:
    """
    A job as it is encoded in a snapshot.

    :param job: the job as submitted, but only with the items that have no listed result.
    :param total: number of items that the job was submitted with.
    :param results: the listed results, in the order of their positions.
    :param ended: none of the job's items may run any more.
    :param groups: all groups of the items that the job was submitted with.
    :param carried: those of the job's groups that an earlier job of the same account and model had
        as well; the trainer waits for these groups.
    :param texts: parts of the texts of items without a listed result; the parts of an item are in
        order.
    :param failures: failed runs of items without a listed result.
    """

    job: Job
    total: int
    results: tuple[ItemResult, ...]
    ended: bool
    groups: tuple[str, ...] = ()
    carried: tuple[str, ...] = ()
    texts: tuple[TextPart, ...] = ()
    failures: tuple[ItemFailure, ...] = ()


@dataclass(frozen=True)
class JobsSnapshot:
    """
    A snapshot that holds more than jobs; a snapshot of jobs alone is the tuple of these.

    :param jobs: all jobs.
    :param usage: engine time that client accounts have used.
    :param speeds: learned speeds of engines.
    :param reservations: places that were promised to rejected jobs.
    :param held: ids of the jobs that operators hold.
    :param hold_requests: pairs of a job and the ids of the requests by which it was held and
        released, oldest first.
    :param uploads: the committed chunks of jobs that are not yet accepted.
    """

    jobs: tuple[StoredJob, ...]
    usage: tuple[AccountUsage, ...] = ()
    speeds: tuple[KnownSpeed, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    held: tuple[str, ...] = ()
    hold_requests: tuple[tuple[str, tuple[str, ...]], ...] = ()
    uploads: tuple[StoredUpload, ...] = ()


class JobRecord:
    """
    A job in the memory of a store.

    :param job: the job as submitted, but without its items.
    :param total: number of items that the job was submitted with.
    :param item_by_id: the items that have no listed result yet.
    :param results: the listed results; the index of a result is its position.
    :param ended: none of the job's items may run any more.
    :param groups: all groups of the items that the job was submitted with.
    :param carried: those of the job's groups that an earlier job of the same account and model had
        as well; the items of these groups start before the job's other items.
    :param parts_by_item: by item id, the parts of the texts of items without a listed result.
    :param failed_runs_by_item: by item id, the ids of the failed runs of items without a listed
        result.
    :param held: an operator holds the job, so that none of its items starts.
    :param hold_requests: ids of the newest requests by which operators held and released the job,
        oldest first.
    """

    def __init__(self, stored: StoredJob) -> None:
        self.job = replace(stored.job, items=())
        self.total = stored.total
        self.item_by_id: dict[str, JobItem] = {item.item: item for item in stored.job.items}
        self.results: list[ItemResult] = list(stored.results)
        self.ended = stored.ended
        self.held = False
        self.hold_requests: tuple[str, ...] = ()
        self.groups = frozenset(stored.groups)
        self.carried = frozenset(stored.carried)
        self.parts_by_item: dict[str, list[TextPart]] = {}
        for part in stored.texts:
            self.add_part(part)
        self.failed_runs_by_item: dict[str, list[str]] = {}
        for failure in stored.failures:
            self.add_failure(failure)

    def add_part(self, part: TextPart) -> None:
        """
        Append a part to the text of its item.

        A part that begins with the first event replaces the stored text. A part that does not
        continue the stored text is ignored: it was sent twice, or parts before it are missing.
        """
        parts = self.parts_by_item.setdefault(part.item, [])
        if part.after == 0:
            parts.clear()
        elif not parts or parts[-1].after + parts[-1].events != part.after:
            return
        parts.append(part)

    def add_failure(self, failure: ItemFailure) -> None:
        """Count a failed run of an item once, however often it is recorded."""
        failed_runs = self.failed_runs_by_item.setdefault(failure.item, [])
        if failure.run_id not in failed_runs:
            failed_runs.append(failure.run_id)

    def complete_text(self, item: str) -> str | None:
        """Return the text of an item if the text has ended and all its parts are stored."""
        parts = self.parts_by_item.get(item)
        if not parts or not parts[-1].whole:
            return None
        return "\n".join(part.output for part in parts if part.events)

    def change_hold(self, command: HoldJob) -> bool:
        """
        Hold or release the job, unless the request was applied before or another one came first.

        :return: whether the command was applied.
        """
        newest = self.hold_requests[-1] if self.hold_requests else ""
        if self.ended or command.request in self.hold_requests or command.after != newest:
            return False
        self.held = command.held
        self.hold_requests = (*self.hold_requests, command.request)[-MAX_HOLD_REQUESTS:]
        return True

    def to_stored(self) -> StoredJob:
        """Return the job as it is written to a snapshot."""
        job = replace(self.job, items=tuple(self.item_by_id.values()))
        groups = tuple(sorted(self.groups))
        carried = tuple(sorted(self.carried))
        texts = tuple(part for parts in self.parts_by_item.values() for part in parts)
        failures = tuple(
            ItemFailure(item, run_id)
            for item, run_ids in self.failed_runs_by_item.items()
            for run_id in run_ids
        )
        return StoredJob(
            job, self.total, tuple(self.results), self.ended, groups, carried, texts, failures
        )


class JobsState:
    """
    The service `jobs_state`: all jobs by id.

    Only the consensus service changes this state, by applying committed commands; other services
    read it.

    :param usage: engine time that client accounts have used.
    :param speeds: learned speeds of engines.
    :param reservation_by_job: places that were promised to rejected jobs.
    :param upload_by_id: the committed chunks of jobs that are not yet accepted.
    """

    name = "jobs_state"

    def __init__(self) -> None:
        self.job_by_id: dict[str, JobRecord] = {}
        self.usage: tuple[AccountUsage, ...] = ()
        self.speeds: tuple[KnownSpeed, ...] = ()
        self.reservation_by_job: dict[str, Reservation] = {}
        self.upload_by_id: dict[str, Upload] = {}
        self._subscribers: list[Callable[[str], None]] = []
        self._apply_by_type: dict[type[Any], Callable[[Any], None]] = {
            AcceptJob: self._accept_job,
            RecordResults: self._record_results,
            RecordKept: self._record_results_of_parts,
            KeepTexts: self._add_parts,
            RecordFailures: self._record_failures,
            CloseJob: self._close_job,
            ForgetJobs: self._remove_jobs,
            KeepUsage: self._keep_usage,
            KeepSpeeds: self._keep_speeds,
            ReservePlace: self._reserve_place,
            DropReservations: self._drop_reservations,
            HoldJob: self._hold_job,
            UploadItems: self._upload_items,
            AcceptUpload: self._accept_upload,
            DropUploads: self._drop_uploads,
        }

    async def start(self, kernel: Kernel) -> None:
        """No-op: the state depends on no other service."""

    async def stop(self) -> None:
        """No-op: there is no task or connection to close."""

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """
        Register a callback for changes.

        :param callback: called with the id of a job when the job is accepted, ended or removed and
            when results of it are listed; called with an empty string after a restore.
        """
        self._subscribers.append(callback)

    def apply(self, index: int, data: bytes) -> bytes:
        """
        Apply one committed command.

        :param index: log index of the command.
        :param data: the command, encoded by COMMANDS.
        :return: always empty; the effect of a command is visible in the state.
        """
        command = COMMANDS.decode(data)
        self._apply_by_type[type(command)](command)
        return b""

    def snapshot(self) -> bytes:
        """
        Encode all jobs, with their results and partial texts, for `restore`.

        A snapshot of jobs alone keeps the form that earlier releases read.
        """
        jobs = tuple(job.to_stored() for job in self.job_by_id.values())
        held = tuple(job_id for job_id, record in self.job_by_id.items() if record.held)
        reservations = tuple(self.reservation_by_job.values())
        requests = tuple(
            (job_id, record.hold_requests)
            for job_id, record in self.job_by_id.items()
            if record.hold_requests
        )
        uploads = tuple(upload.to_stored(key) for key, upload in self.upload_by_id.items())
        if not (self.usage or self.speeds or reservations or held or requests or uploads):
            return encode(jobs)
        return encode(
            JobsSnapshot(jobs, self.usage, self.speeds, reservations, held, requests, uploads)
        )

    def restore(self, data: bytes) -> None:
        """
        Replace all jobs by those of a snapshot.

        :param data: a snapshot, as `snapshot` returned it on any store.
        """
        snapshot = _decode_snapshot(data)
        self.job_by_id = {stored.job.job: JobRecord(stored) for stored in snapshot.jobs}
        for job in snapshot.held:
            self.job_by_id[job].held = True
        for job, requests in snapshot.hold_requests:
            self.job_by_id[job].hold_requests = requests
        self.usage = snapshot.usage
        self.speeds = snapshot.speeds
        self.reservation_by_job = {
            reservation.job: reservation for reservation in snapshot.reservations
        }
        self.upload_by_id = {
            stored.upload: Upload.from_stored(stored) for stored in snapshot.uploads
        }
        self._notify("")

    def _notify(self, job: str) -> None:
        for callback in self._subscribers:
            callback(job)

    def _accept_job(self, command: AcceptJob) -> None:
        job = command.job
        self.reservation_by_job.pop(job.job, None)
        if job.job in self.job_by_id:
            return
        items = {item.item: item for item in job.items}
        groups = {item.group for item in job.items}
        earlier_groups = {
            group
            for job_record in self.job_by_id.values()
            if (job_record.job.client_account, job_record.job.model)
            == (job.client_account, job.model)
            for group in job_record.groups
        }
        stored = StoredJob(
            job,
            len(items),
            (),
            False,
            tuple(sorted(groups)),
            tuple(sorted(groups & earlier_groups)),
        )
        self.job_by_id[job.job] = JobRecord(stored)
        self._notify(job.job)

    def _upload_items(self, command: UploadItems) -> None:
        upload = self.upload_by_id.get(command.upload)
        if upload is None:
            if command.number:
                return
            upload = self.upload_by_id[command.upload] = Upload()
        upload.add(command.number, command.data)

    def _accept_upload(self, command: AcceptUpload) -> None:
        upload = self.upload_by_id.pop(command.upload, None)
        if upload is not None and upload.is_complete(command.items):
            self._accept_job(AcceptJob(replace(command.job, items=tuple(upload.items))))

    def _drop_uploads(self, command: DropUploads) -> None:
        for upload in command.uploads:
            self.upload_by_id.pop(upload, None)

    def _record_results(self, command: RecordResults) -> None:
        job_record = self.job_by_id.get(command.job)
        if job_record is None:
            return
        for result in command.results:
            # An item may have run twice and have two results. Only the first is listed, because a
            # caller may already have read it at its position.
            if job_record.item_by_id.pop(result.item, None) is not None:
                job_record.results.append(result)
                job_record.parts_by_item.pop(result.item, None)
                job_record.failed_runs_by_item.pop(result.item, None)
        self._notify(command.job)

    def _record_results_of_parts(self, command: RecordKept) -> None:
        job_record = self.job_by_id.get(command.job)
        if job_record is None:
            return
        results = []
        for result in command.results:
            text = job_record.complete_text(result.item)
            # If another result of the item was listed meanwhile, its parts have been removed.
            if text is not None:
                results.append(replace(result, output=text))
        self._record_results(RecordResults(command.job, tuple(results)))

    def _add_parts(self, command: KeepTexts) -> None:
        job_record = self.job_by_id.get(command.job)
        if job_record is None:
            return
        for part in command.parts:
            if part.item in job_record.item_by_id:
                job_record.add_part(part)

    def _record_failures(self, command: RecordFailures) -> None:
        job_record = self.job_by_id.get(command.job)
        if job_record is None:
            return
        for failure in command.failures:
            if failure.item in job_record.item_by_id:
                job_record.add_failure(failure)

    def _close_job(self, command: CloseJob) -> None:
        job_record = self.job_by_id.get(command.job)
        if job_record is not None:
            job_record.ended = True
            job_record.item_by_id.clear()
            job_record.parts_by_item.clear()
            job_record.failed_runs_by_item.clear()
            self._notify(command.job)

    def _remove_jobs(self, command: ForgetJobs) -> None:
        for job in command.jobs:
            if self.job_by_id.pop(job, None) is not None:
                self._notify(job)

    def _keep_usage(self, command: KeepUsage) -> None:
        self.usage = command.usage

    def _keep_speeds(self, command: KeepSpeeds) -> None:
        self.speeds = command.speeds

    def _reserve_place(self, command: ReservePlace) -> None:
        reservation = command.reservation
        kept = self.reservation_by_job.get(reservation.job)
        if reservation.job in self.job_by_id or (kept is not None and kept.slot_s):
            return
        self.reservation_by_job[reservation.job] = reservation

    def _drop_reservations(self, command: DropReservations) -> None:
        for job in command.jobs:
            self.reservation_by_job.pop(job, None)

    def _hold_job(self, command: HoldJob) -> None:
        job_record = self.job_by_id.get(command.job)
        if job_record is not None and job_record.change_hold(command):
            self._notify(command.job)


def _decode_snapshot(data: bytes) -> JobsSnapshot:
    try:
        return decode(data, JobsSnapshot)
    except msgspec.ValidationError:
        return JobsSnapshot(decode(data, tuple[StoredJob, ...]))


__all__ = ["JobRecord", "JobsSnapshot", "JobsState"]
