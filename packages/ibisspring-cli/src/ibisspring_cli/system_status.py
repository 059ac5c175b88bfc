"""`ibisspring status --seeds`: shows a system whose daemons discover each other through seeds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from ibisspring_cli.jobs_leader import stores_of
from ibisspring_cli.session import EXIT_UNREACHABLE, fail, show
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.messages.status import (
    DirectoryStatus,
    JobsStatus,
    ReadDirectoryStatus,
    ReadJobsStatus,
)
from ibisspring_core.peer_rpc import PeerClient

if TYPE_CHECKING:
    from ibisspring_cli.options import Options

# Time limit in seconds for the answer of one daemon.
CALL_TIMEOUT_S = 1.0
# Time limit in seconds for the answer of the leader of the job log, one of the store daemons. If no
# store is this leader, the directory's status is printed without the jobs after this time.
JOBS_TIMEOUT_S = 3.0


def show_system(options: Options, seeds: tuple[str, ...]) -> None:
    """
    Print the status that the leaders of the directory and of the job log report.

    The leader of the directory is a control daemon, the leader of the job log a store.

    :param seeds: peer addresses (IP:port) of control daemons; a follower redirects to the leader.
    """
    directory, jobs = asyncio.run(_read_status(seeds, options.timeout_s))
    if not isinstance(directory, DirectoryStatus):
        message = f"no control leader answered; tried {', '.join(seeds)}"
        fail(options, EXIT_UNREACHABLE, Reason.NO_LEADER.value, message)
    jobs_status = jobs if isinstance(jobs, JobsStatus) else None
    answer = {"directory": msgspec.to_builtins(directory), "jobs": msgspec.to_builtins(jobs_status)}
    show(options, answer, [*_directory_lines(directory), *_jobs_lines(jobs_status)])


async def _read_status(seeds: tuple[str, ...], timeout_s: float) -> tuple[Any, Any]:
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    try:
        control = LeaderClient(client, lambda: seeds)
        directory = await control.call(ReadDirectoryStatus(), timeout_s, CALL_TIMEOUT_S)
        if not isinstance(directory, DirectoryStatus):
            return directory, None
        addresses = stores_of(directory)
        if not addresses:
            return directory, None
        jobs = LeaderClient(client, lambda: addresses)
        return directory, await jobs.call(ReadJobsStatus(), JOBS_TIMEOUT_S, CALL_TIMEOUT_S)
    finally:
        await client.stop()


def _directory_lines(status: DirectoryStatus) -> list[str]:
    lines = [
        f"leader {status.leader} in term {status.term}, route table version "
        f"{status.table_version}, log replicas {', '.join(status.voters)}"
    ]
    lines += ["", f"daemons ({len(status.daemons)})"]
    for daemon in status.daemons:
        behind = daemon.role == "entry" and daemon.table_version < status.table_version
        lines.append(
            f"  {daemon.daemon:<22} {daemon.role:<8} {daemon.data_centre:<14} {daemon.address:<21} "
            f"table version {daemon.table_version}, heard {daemon.heard_ago_s} s ago"
            + ("  (behind)" if behind else "")
            + ("  leader of the job log" if daemon.leads_jobs else "")
        )
    lines += ["", f"endpoints ({len(status.endpoints)})"]
    loading = set(status.loading)
    for record in sorted(
        status.endpoints, key=lambda endpoint: (endpoint.service, endpoint.endpoint)
    ):
        versions = []
        for model, version in sorted(record.version_by_adapter.items()):
            mark = " (loading)" if (record.endpoint, model) in loading else ""
            versions.append(f"{model}={version}{mark}")
        lines.append(
            f"  {record.endpoint:<22} {record.service:<16} {record.data_centre:<14} "
            f"{record.kind:<9} {record.state:<8} {', '.join(versions)}".rstrip()
        )
    newest_versions = ", ".join(
        f"{model}={newest}" for model, newest in sorted(status.version_by_model.items())
    )
    if status.evacuated:
        lines += ["", f"evacuated data centres: {', '.join(status.evacuated)}"]
    lines += ["", f"newest weight versions: {newest_versions or 'none'}"]
    lines += ["", "duties"]
    for duty in status.duties:
        holder = (
            f"{duty.holder}, fencing number {duty.number}"
            if duty.holder
            else f"no holder for another {duty.waits_s} s"
        )
        lines.append(f"  {duty.duty:<18} {holder}")
    lines.append(f"  newest closed usage window: {status.closed_window}")
    return lines


def _jobs_lines(status: JobsStatus | None) -> list[str]:
    if status is None:
        return ["", "jobs: no store answered as their leader"]
    lines = [
        "",
        f"jobs ({len(status.jobs)}), leader {status.leader} in term {status.term}, "
        f"log replicas {', '.join(status.voters)}",
    ]
    for job in status.jobs:
        state = "ended" if job.ended else f"{job.running} running, {job.halves} partly generated"
        if job.held and not job.ended:
            state += ", held"
        lines.append(
            f"  {job.job:<22} {job.client_account:<14} {job.model:<14} "
            f"{job.listed} of {job.total} listed, {state}, {job.age_s} s old"
        )
    lines += ["", f"runners ({len(status.runners)})"]
    for runner in status.runners:
        lines.append(f"  {runner.address:<22} {runner.data_centre:<14} {runner.running} items")
    return lines


__all__ = ["show_system"]
