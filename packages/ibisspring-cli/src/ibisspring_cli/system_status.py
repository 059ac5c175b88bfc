"""`ibisspring status --seeds`: a system whose daemons find each other by seeds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

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

ONE_CALL_S = 1.0
# Without a store that leads, the directory's part is still worth showing.
JOBS_S = 3.0


def show_system(options: Options, seeds: tuple[str, ...]) -> None:
    """
    Print what the leaders of the directory and of the jobs know.

    :param seeds: peer addresses of control daemons; a follower names the leader.
    """
    directory, jobs = asyncio.run(_read(seeds, options.timeout_s))
    if not isinstance(directory, DirectoryStatus):
        message = f"no control leader answered; tried {', '.join(seeds)}"
        fail(options, EXIT_UNREACHABLE, Reason.NO_LEADER.value, message)
    known = jobs if isinstance(jobs, JobsStatus) else None
    answer = {"directory": msgspec.to_builtins(directory), "jobs": msgspec.to_builtins(known)}
    show(options, answer, [*_directory_lines(directory), *_jobs_lines(known)])


async def _read(seeds: tuple[str, ...], timeout_s: float) -> tuple[Any, Any]:
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    try:
        control = LeaderClient(client, lambda: seeds)
        directory = await control.call(ReadDirectoryStatus(), timeout_s, ONE_CALL_S)
        if not isinstance(directory, DirectoryStatus):
            return directory, None
        stores = [one for one in directory.daemons if one.role == "store"]
        stores.sort(key=lambda one: not one.leads_jobs)
        addresses = tuple(one.address for one in stores)
        if not addresses:
            return directory, None
        jobs = LeaderClient(client, lambda: addresses)
        return directory, await jobs.call(ReadJobsStatus(), JOBS_S, ONE_CALL_S)
    finally:
        await client.stop()


def _directory_lines(status: DirectoryStatus) -> list[str]:
    lines = [
        f"leader {status.leader} in term {status.term}, route table version "
        f"{status.table_version}, log on {', '.join(status.voters)}"
    ]
    lines += ["", f"daemons ({len(status.daemons)})"]
    for daemon in status.daemons:
        behind = daemon.role == "entry" and daemon.table_version < status.table_version
        lines.append(
            f"  {daemon.daemon:<22} {daemon.role:<8} {daemon.data_centre:<14} {daemon.address:<21} "
            f"table version {daemon.table_version}, heard {daemon.heard_ago_s} s ago"
            + ("  (behind)" if behind else "")
            + ("  leads the jobs" if daemon.leads_jobs else "")
        )
    lines += ["", f"endpoints ({len(status.endpoints)})"]
    loading = set(status.loading)
    for record in sorted(status.endpoints, key=lambda one: (one.service, one.endpoint)):
        versions = []
        for model, version in sorted(record.version_by_adapter.items()):
            loads = " (loads)" if (record.endpoint, model) in loading else ""
            versions.append(f"{model}={version}{loads}")
        lines.append(
            f"  {record.endpoint:<22} {record.service:<16} {record.data_centre:<14} "
            f"{record.kind:<9} {record.state:<8} {', '.join(versions)}".rstrip()
        )
    named = ", ".join(f"{model}={one}" for model, one in sorted(status.version_by_model.items()))
    lines += ["", f"newest weight versions: {named or 'none'}"]
    lines += ["", "duties"]
    for duty in status.duties:
        holder = f"{duty.holder}, number {duty.number}" if duty.holder else f"in {duty.waits_s} s"
        lines.append(f"  {duty.duty:<18} {holder}")
    lines.append(f"  newest usage window that is closed: {status.closed_window}")
    return lines


def _jobs_lines(status: JobsStatus | None) -> list[str]:
    if status is None:
        return ["", "jobs: no store answered as their leader"]
    lines = [
        "",
        f"jobs ({len(status.jobs)}), leader {status.leader} in term {status.term}, "
        f"log on {', '.join(status.voters)}",
    ]
    for job in status.jobs:
        state = "ended" if job.ended else f"{job.running} run, {job.halves} half written"
        lines.append(
            f"  {job.job:<22} {job.client_account:<14} {job.model:<14} "
            f"{job.listed} of {job.total} listed, {state}, {job.age_s} s old"
        )
    lines += ["", f"runners ({len(status.runners)})"]
    for runner in status.runners:
        lines.append(f"  {runner.address:<22} {runner.data_centre:<14} {runner.running} items")
    return lines


__all__ = ["show_system"]
