"""`ibisspring jobs`: looks at, holds, releases and ends jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NoReturn

import click
import msgspec

from ibisspring_cli.jobs_leader import call_jobs_leader
from ibisspring_cli.options import Options, split_addresses, with_options, with_seeds
from ibisspring_cli.session import (
    EXIT_CONFLICT,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    fail,
    show,
)
from ibisspring_cli.share_lines import share_line
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.job_control import (
    ChangeHold,
    EndAnyJob,
    HoldChanged,
    JobRead,
    ReadJob,
)
from ibisspring_core.messages.jobs import JobEnded, UnknownJob
from ibisspring_core.messages.status import JobsStatus, ReadJobsStatus
from ibisspring_core.request_ids import new_request_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.status import JobStatus


def _with_request_id(command: Callable[..., Any]) -> Callable[..., Any]:
    return click.option(
        "--request-id",
        "request_id",
        default=None,
        help="Id of an earlier try without an answer; the request is then applied only once.",
    )(command)


@click.group()
def jobs() -> None:
    """
    Look at jobs, hold and release them, or end them.

    Changes are answered once they are durable and in force, and may be repeated.
    """


@jobs.command("list")
@with_seeds
@with_options
def list_jobs(options: Options, seeds: tuple[str, ...]) -> None:
    """List all stored jobs, the youngest first."""
    status = _ask(options, seeds, ReadJobsStatus(), JobsStatus)
    lines = [_list_line(job) for job in status.jobs]
    show(options, {"jobs": msgspec.to_builtins(status.jobs)}, lines)


@jobs.command("show")
@click.argument("job")
@with_seeds
@with_options
def show_job(options: Options, job: str, seeds: tuple[str, ...]) -> None:
    """Show the state of JOB, why its items wait, and the share of its client account."""
    read = _ask(options, seeds, ReadJob(job), JobRead)
    show(options, {"job": msgspec.to_builtins(read)}, _detail_lines(read))


@jobs.command()
@click.argument("job")
@_with_request_id
@with_seeds
@with_options
def hold(options: Options, job: str, request_id: str | None, seeds: tuple[str, ...]) -> None:
    """Hold JOB: none of its items starts, those that run go on, its time limits stay."""
    _change_hold(options, job, True, request_id, seeds)


@jobs.command()
@click.argument("job")
@_with_request_id
@with_seeds
@with_options
def release(options: Options, job: str, request_id: str | None, seeds: tuple[str, ...]) -> None:
    """Release JOB: its items may start again."""
    _change_hold(options, job, False, request_id, seeds)


@jobs.command()
@click.argument("job")
@_with_request_id
@with_seeds
@with_options
def end(options: Options, job: str, request_id: str | None, seeds: tuple[str, ...]) -> None:
    """End JOB for good: its runs are cancelled; results that exist stay readable."""
    request = request_id or new_request_id()
    retry = f"ibisspring jobs end {job} --request-id {request}"
    _ask(options, seeds, EndAnyJob(job, request), JobEnded, retry, request)
    show(options, {"job": job, "ended": True, "request_id": request}, [f"{job}: ended"])


def _change_hold(
    options: Options, job: str, held: bool, request_id: str | None, seeds: tuple[str, ...]
) -> None:
    read = _ask(options, seeds, ReadJob(job), JobRead)
    request = request_id or new_request_id()
    retry = f"ibisspring jobs {'hold' if held else 'release'} {job} --request-id {request}"
    message = ChangeHold(job, held, request, read.hold_request)
    changed = _ask(options, seeds, message, HoldChanged, retry, request)
    line = (
        f"{job}: {'held' if changed.held else 'released'}, "
        f"{changed.running} running, {changed.waiting} waiting"
    )
    show(options, {"changed": msgspec.to_builtins(changed)}, [line])


def _ask(
    options: Options,
    seeds: tuple[str, ...],
    message: Any,
    expected: type[Any],
    retry: str = "",
    request_id: str = "",
) -> Any:
    """
    Call the jobs' leader; print the error and exit unless it answers as expected.

    :param expected: type of the answer.
    :param retry: command line to print if a change may have been made; empty for a read.
    """
    answer = call_jobs_leader(split_addresses(seeds), message, options.timeout_s)
    if isinstance(answer, expected):
        return answer
    if isinstance(answer, UnknownJob):
        fail(options, EXIT_REFUSED, Reason.BAD_REQUEST.value, f"no job {message.job!r} is stored")
    if isinstance(answer, Refusal):
        _fail_refused(options, answer, retry, request_id)
    return fail(options, EXIT_REFUSED, Reason.INTERNAL.value, f"unexpected answer {answer!r}")


def _fail_refused(options: Options, answer: Refusal, retry: str, request_id: str) -> NoReturn:
    reason = answer.reason.value
    if answer.reason is Reason.CONFLICT:
        fail(options, EXIT_CONFLICT, reason, answer.detail)
    if answer.reason is not Reason.NO_LEADER:
        fail(options, EXIT_REFUSED, reason, answer.detail)
    if not retry or answer.not_run:
        fail(options, EXIT_UNREACHABLE, reason, answer.detail)
    message = f"{answer.detail}; the change may have been made; to retry: {retry}"
    fail(options, EXIT_UNKNOWN, reason, message, request_id=request_id)


def _list_line(job: JobStatus) -> str:
    state = "ended" if job.ended else "held" if job.held else "open"
    return (
        f"{job.job:<22} {job.client_account:<14} {job.model:<14} {state:<6} "
        f"{job.listed} of {job.total} listed, {job.running} running, {job.age_s} s old"
    )


def _detail_lines(read: JobRead) -> list[str]:
    state = "ended" if read.ended else "held" if read.held else "open"
    groups = "" if read.complete_groups is None else f"{read.complete_groups} groups complete, "
    lines = [
        f"{read.job}: {state}, {read.client_account}, service {read.service}, model {read.model}, "
        f"priority {read.priority}",
        f"  items: {read.listed} of {read.total} listed, {read.running} running, "
        f"{read.waiting} waiting",
        f"  groups: {groups}{read.wanted_groups} wanted",
        f"  due in {read.due_in_s} s, may be abandoned in {read.give_up_in_s} s",
    ]
    for cause in read.causes:
        engines = f" ({cause.engines} engines)" if cause.engines else ""
        lines.append(f"  waits: {cause.reason}{engines}")
    if read.predicted_end_in_s is not None:
        lines.append(f"  wanted groups are expected to be complete in {read.predicted_end_in_s} s")
    if read.hold_request:
        lines.append(f"  newest request to hold or release it: {read.hold_request}")
    lines.append(f"  share: {share_line(read.share)}")
    return lines


__all__ = ["jobs"]
